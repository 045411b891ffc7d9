#include "sequoiagate/Edge/EndpointDirectory.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace sequoiagate {

namespace {

/// When callers return whom no endpoint can serve, for a reason whose end isn't known.
constexpr Interval UnknownEndRetryDelay = std::chrono::seconds(2);

} // namespace

ExcludedEndpoints EndpointDirectory::excludedFor(const WorkItem &item, Instant now) const
{
    ExcludedEndpoints excluded;
    const EndpointEligibility::Checks checks = eligibility_.checksFor(item, now);
    for (const auto &[id, listed] : entries_) {
        if (listed.entry.service == item.service) {
            checks.check({id, listed.entry.version, listed.entry.domain, listed.region,
                          listed.isLeaving, listed.excludedUntil, listed.entriesToConfirm == 0,
                          listed.isSuspect},
                         excluded);
        }
    }
    return excluded;
}

bool EndpointDirectory::mayRelayTo(const EndpointId &endpoint, Instant now) const
{
    const auto found = entries_.find(endpoint);
    const bool isEvacuated =
            found != entries_.end() && evacuations_.isEvacuated(found->second.entry.domain);
    return !isEvacuated && !withdrawals_.isBackingOff(endpoint, now);
}

RegionId EndpointDirectory::regionOf(const DomainId &domain) const
{
    const auto found = regions_.find(domain);
    return found == regions_.end() ? RegionId() : found->second;
}

void EndpointDirectory::beginEvacuation(const DomainId &domain, uint64_t offset, Instant now)
{
    if (!evacuations_.begin(domain, offset, now)) {
        return;
    }
    const auto endpoints =
            std::count_if(entries_.begin(), entries_.end(), [&domain](const auto &entry) {
                return entry.second.entry.domain == domain;
            });
    log_.write(Event("domain.evacuated")
                       .with("evacuated", domain)
                       .with("offset", offset)
                       .with("region", regionOf(domain))
                       .with("endpoints", endpoints)
                       .essential());
}

void EndpointDirectory::endEvacuation(const DomainId &domain, Instant now)
{
    if (!evacuations_.end(domain)) {
        return;
    }
    log_.write(Event("domain.taken_back").with("evacuated", domain).essential());
    for (const auto &[id, listed] : entries_) {
        if (listed.entry.domain == domain) {
            cold_.onTakenBack(id, now);
            limitWhileCold(id, now);
        }
    }
}

void EndpointDirectory::setServices(const std::vector<ServiceSpec> &services, Instant now)
{
    std::map<ServiceId, ColdService> cold;
    std::map<ServiceId, uint64_t> kvTokens;
    for (const ServiceSpec &service : services) {
        if (service.kvTokens > 0) {
            kvTokens[service.name] = service.kvTokens;
        }
        if (service.coldRequestsPerSecond > 0.0) {
            cold[service.name] = {service.coldDuration, service.coldRequestsPerSecond};
        }
    }
    cold_.setServices(std::move(cold), now);
    if (kvTokens != kvTokens_) {
        kvTokens_ = std::move(kvTokens);
        changed_ = true;
    }
    for (const auto &[id, listed] : entries_) {
        limitWhileCold(id, now);
    }
}

SlotResponse EndpointDirectory::lendSlot(const SlotRequest &request, Instant now)
{
    const EndpointId &endpoint = request.record.endpoint;
    if (request.known) {
        cold_.onTold(endpoint, request.record.startedAtMillis, request.known->until, now);
        limitWhileCold(endpoint, now);
    }
    return limits_.lendSlot(request, now);
}

void EndpointDirectory::limitWhileCold(const EndpointId &endpoint, Instant now)
{
    const Instant until = cold_.coldUntil(endpoint);
    const bool wasLimited = limits_.hasKnownLimit(endpoint);
    if (until > now || wasLimited) {
        limits_.setKnownLimit(endpoint, {cold_.requestsPerSecond(endpoint), until}, now);
    }
    if (until > now && !wasLimited) {
        log_.write(Event("endpoint.cold")
                           .with("endpoint", endpoint)
                           .with("detail", cold_.describe(endpoint, now)));
    }
}

std::optional<Instant> EndpointDirectory::returnTime(const WorkItem &item, Instant now)
{
    return returnTime(item, excludedFor(item, now), now);
}

std::optional<Instant> EndpointDirectory::returnTime(const WorkItem &item,
                                                     const ExcludedEndpoints &excluded, Instant now)
{
    if (!excluded.areAll({Exclusion::Evacuated, Exclusion::BackingOff, Exclusion::Unconfirmed})) {
        return std::nullopt;
    }
    Instant earliest = excluded.firstEnd(Exclusion::BackingOff);
    if (earliest == Never) {
        earliest = now + UnknownEndRetryDelay;
    }
    return returns_[item.service].assign(item.priority, earliest);
}

Verdict EndpointDirectory::refuseByRegion(const WorkItem &item, Instant now)
{
    ++refusedByRegion_;
    return {Execution::NotRun, Reason::NoEndpoint,
            "no endpoint lies in an allowed region: " + item.regions.describe(),
            now + UnknownEndRetryDelay};
}

Verdict EndpointDirectory::refuseWithoutTakers(const ExcludedEndpoints &excluded, Instant returnAt,
                                               Instant now)
{
    const std::vector<EndpointId> &backingOff = excluded.of(Exclusion::BackingOff);
    const bool isEvacuated = !excluded.of(Exclusion::Evacuated).empty();
    refusedInBackoff_ += backingOff.empty() ? 0 : 1;
    refusedByEvacuation_ += isEvacuated ? 1 : 0;
    std::vector<std::string> causes;
    if (!backingOff.empty()) {
        causes.push_back(describeWithdrawals(backingOff, now));
    }
    if (isEvacuated) {
        causes.push_back(evacuations_.describe(now));
    }
    if (const auto count = excluded.of(Exclusion::Unconfirmed).size(); count > 0) {
        causes.push_back(
                fmt::format("the version of {} isn't certain since a connection failed", count));
    }
    return {Execution::NotRun, Reason::NoEndpoint,
            fmt::format("no endpoint takes requests: {}", fmt::join(causes, "; ")), returnAt};
}

std::string EndpointDirectory::describeLimitsOf(const EndpointId &chosen,
                                                const ExcludedEndpoints &excluded,
                                                Instant now) const
{
    std::string text = limits_.describe(chosen, now);
    const auto append = [&text](const std::string &part) {
        text += (text.empty() ? "" : "; ") + part;
    };
    if (const std::string cold = cold_.describe(chosen, now); !cold.empty()) {
        append(cold);
    }
    if (const std::vector<EndpointId> &limited = excluded.of(Exclusion::Limited);
        !limited.empty()) {
        append("not available: " + describeLimits(limited, now));
    }
    if (const std::vector<EndpointId> &backingOff = excluded.of(Exclusion::BackingOff);
        !backingOff.empty()) {
        append(describeWithdrawals(backingOff, now));
    }
    if (!excluded.of(Exclusion::Evacuated).empty()) {
        append(evacuations_.describe(now));
    }
    return text;
}

} // namespace sequoiagate
