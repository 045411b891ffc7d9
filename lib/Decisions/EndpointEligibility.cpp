#include "sequoiagate/Decisions/EndpointEligibility.h"

#include <algorithm>

namespace sequoiagate {

namespace {

/// The end of a reason that doesn't hold.
constexpr Instant NotExcluded{};

/// The end of a reason that ends at no known time.
Instant neverIf(bool holds)
{
    return holds ? Never : NotExcluded;
}

/// Whether an endpoint with this reason can't run the request later either.
bool isUnsuitable(Exclusion reason)
{
    return reason == Exclusion::OtherVersion || reason == Exclusion::Leaving
           || reason == Exclusion::OtherRegion;
}

} // namespace

const std::array<EndpointEligibility::Rule, ExclusionCount> EndpointEligibility::Rules = {
        {{Exclusion::OtherVersion, "other_version", Strictness::Always,
          &EndpointEligibility::otherVersionEnd, &EndpointEligibility::hasVersion},
         {Exclusion::Leaving, "leaving", Strictness::Always, &EndpointEligibility::leavingEnd,
          &EndpointEligibility::always},
         {Exclusion::OtherRegion, "other_region", Strictness::Always,
          &EndpointEligibility::otherRegionEnd, &EndpointEligibility::hasRegions},
         {Exclusion::Evacuated, "evacuated", Strictness::Always,
          &EndpointEligibility::evacuationEnd, &EndpointEligibility::hasEvacuations},
         {Exclusion::BackingOff, "backing_off", Strictness::Always,
          &EndpointEligibility::backoffEnd, &EndpointEligibility::hasWithdrawals},
         {Exclusion::Unconfirmed, "unconfirmed", Strictness::Always,
          &EndpointEligibility::confirmationEnd, &EndpointEligibility::hasVersion},
         {Exclusion::Limited, "limited", Strictness::Always, &EndpointEligibility::limitEnd,
          &EndpointEligibility::hasLimits},
         {Exclusion::Unreachable, "unreachable", Strictness::WhileOthersCanBeUsed,
          &EndpointEligibility::unreachableEnd, &EndpointEligibility::always},
         {Exclusion::Suspected, "suspected", Strictness::WhileOthersCanBeUsed,
          &EndpointEligibility::suspicionEnd, &EndpointEligibility::always},
         {Exclusion::OnTrial, "on_trial", Strictness::WhileOthersCanBeUsed,
          &EndpointEligibility::trialEnd, &EndpointEligibility::hasWithdrawals}}};

void ExcludedEndpoints::add(const EndpointId &endpoint, std::optional<Exclusion> reason,
                            Instant end)
{
    suitable_ += reason && isUnsuitable(*reason) ? 0 : 1;
    if (!reason) {
        return;
    }
    const auto index = static_cast<std::size_t>(*reason);
    byReason_[index].push_back(endpoint);
    firstEnds_[index] = std::min(firstEnds_[index], end);
}

bool ExcludedEndpoints::areAll(std::initializer_list<Exclusion> reasons) const
{
    std::size_t excluded = 0;
    for (const Exclusion reason : reasons) {
        excluded += of(reason).size();
    }
    return suitable_ > 0 && excluded == suitable_;
}

std::vector<EndpointId> ExcludedEndpoints::of(Strictness strictness) const
{
    std::vector<EndpointId> endpoints;
    for (std::size_t i = 0; i < ExclusionCount; ++i) {
        if (EndpointEligibility::strictnessOf(static_cast<Exclusion>(i)) == strictness) {
            endpoints.insert(endpoints.end(), byReason_[i].begin(), byReason_[i].end());
        }
    }
    return endpoints;
}

const char *EndpointEligibility::nameOf(Exclusion reason)
{
    return Rules[static_cast<std::size_t>(reason)].name;
}

Strictness EndpointEligibility::strictnessOf(Exclusion reason)
{
    return Rules[static_cast<std::size_t>(reason)].strictness;
}

EndpointEligibility::Checks EndpointEligibility::checksFor(const WorkItem &item, Instant now) const
{
    Checks checks(*this, item, now);
    for (const Rule &rule : Rules) {
        if ((this->*rule.mayHold)(item, now)) {
            checks.rules_[checks.ruleCount_++] = &rule;
        }
    }
    return checks;
}

void EndpointEligibility::Checks::check(const EndpointState &endpoint,
                                        ExcludedEndpoints &excluded) const
{
    for (std::size_t i = 0; i < ruleCount_; ++i) {
        const Rule &rule = *rules_[i];
        const Instant end = (eligibility_.*rule.endOf)(endpoint, item_, now_);
        if (end > now_) {
            excluded.add(endpoint.id, rule.reason, end);
            return;
        }
    }
    excluded.add(endpoint.id, std::nullopt, now_);
}

Instant EndpointEligibility::otherVersionEnd(const EndpointState &endpoint, const WorkItem &item,
                                             Instant) const
{
    return neverIf(item.version && endpoint.version != *item.version);
}

Instant EndpointEligibility::leavingEnd(const EndpointState &endpoint, const WorkItem &,
                                        Instant) const
{
    return neverIf(endpoint.isLeaving);
}

Instant EndpointEligibility::otherRegionEnd(const EndpointState &endpoint, const WorkItem &item,
                                            Instant) const
{
    return neverIf(!item.regions.allows(endpoint.region));
}

Instant EndpointEligibility::evacuationEnd(const EndpointState &endpoint, const WorkItem &,
                                           Instant) const
{
    return neverIf(evacuations_.isEvacuated(endpoint.domain));
}

Instant EndpointEligibility::backoffEnd(const EndpointState &endpoint, const WorkItem &,
                                        Instant now) const
{
    return withdrawals_.isBackingOff(endpoint.id, now) ? withdrawals_.backoffEnd(endpoint.id)
                                                       : NotExcluded;
}

Instant EndpointEligibility::confirmationEnd(const EndpointState &endpoint, const WorkItem &item,
                                             Instant) const
{
    return neverIf(item.version && !endpoint.isVersionConfirmed);
}

Instant EndpointEligibility::limitEnd(const EndpointState &endpoint, const WorkItem &,
                                      Instant now) const
{
    return limits_.isEmpty() ? NotExcluded : limits_.availableAt(endpoint.id, now);
}

Instant EndpointEligibility::unreachableEnd(const EndpointState &endpoint, const WorkItem &,
                                            Instant) const
{
    return endpoint.unreachableUntil;
}

Instant EndpointEligibility::suspicionEnd(const EndpointState &endpoint, const WorkItem &,
                                          Instant) const
{
    return neverIf(endpoint.isSuspect);
}

Instant EndpointEligibility::trialEnd(const EndpointState &endpoint, const WorkItem &,
                                      Instant now) const
{
    return withdrawals_.isOnTrial(endpoint.id, now) ? withdrawals_.trialEnd(endpoint.id)
                                                    : NotExcluded;
}

} // namespace sequoiagate
