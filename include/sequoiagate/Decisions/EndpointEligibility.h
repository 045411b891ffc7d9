#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTELIGIBILITY_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTELIGIBILITY_H

/// Decides which endpoints of a service may get a request, and why the others may not. Pure.
///
/// Each reason is one row of a table: its name, whether it excludes an endpoint in every case or
/// only while another one can be used, and when it ends. The rows are checked in order, and the
/// first one that holds is the endpoint's reason.

#include <array>
#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/DomainEvacuations.h"
#include "sequoiagate/Decisions/EndpointLimits.h"
#include "sequoiagate/Decisions/EndpointWithdrawals.h"
#include "sequoiagate/Decisions/WorkItem.h"

namespace sequoiagate {

/// Why an endpoint may not get a request now, in order of precedence.
enum class Exclusion {
    OtherVersion, ///< another software version must run the request
    Leaving,      ///< by its entry or its responses
    OtherRegion,  ///< the request's body may not be sent to its region
    Evacuated,    ///< its failure domain is
    BackingOff,   ///< it asked this host to send nothing
    Unconfirmed,  ///< it may have started again with another version since its entry was written
    Limited,      ///< this host's share of its limits is used up
    Unreachable,  ///< a connection failed a moment ago
    Suspected,    ///< this host may have missed its removal
    OnTrial,      ///< the first request after a backoff isn't answered yet
};
inline constexpr std::size_t ExclusionCount = 10;

/// How strictly a reason excludes an endpoint.
enum class Strictness {
    Always,
    WhileOthersCanBeUsed,
};

/// What is known of a listed endpoint. The references must outlive the object.
struct EndpointState
{
    const EndpointId &id;
    const SoftwareVersion &version;
    const DomainId &domain;
    const RegionId &region; ///< empty if it isn't known
    bool isLeaving = false;
    Instant unreachableUntil{};
    bool isVersionConfirmed = true; ///< by an entry written since a connection failed
    bool isSuspect = false;         ///< its removal may have been missed
};

/// The endpoints of a service that may not get a request, by reason.
class ExcludedEndpoints
{
public:
    /// Records an endpoint of the service. \param reason nullopt if the endpoint may get the
    /// request \param end when the reason ends; Never if that isn't known
    void add(const EndpointId &endpoint, std::optional<Exclusion> reason, Instant end);

    const std::vector<EndpointId> &of(Exclusion reason) const
    {
        return byReason_[static_cast<std::size_t>(reason)];
    }
    /// All endpoints that a reason of \p strictness excludes.
    std::vector<EndpointId> of(Strictness strictness) const;
    /// The number of endpoints that may get the request now or later.
    std::size_t suitable() const { return suitable_; }
    /// Whether there are suitable endpoints, all of which \p reason excludes.
    bool areAll(Exclusion reason) const { return areAll({reason}); }
    /// The same for the reasons together.
    bool areAll(std::initializer_list<Exclusion> reasons) const;
    /// The earliest end of \p reason; Never if it isn't known or excludes no endpoint.
    Instant firstEnd(Exclusion reason) const
    {
        return firstEnds_[static_cast<std::size_t>(reason)];
    }

private:
    static constexpr std::array<Instant, ExclusionCount> noEnds()
    {
        std::array<Instant, ExclusionCount> ends{};
        ends.fill(Never);
        return ends;
    }

    std::array<std::vector<EndpointId>, ExclusionCount> byReason_;
    std::array<Instant, ExclusionCount> firstEnds_ = noEnds();
    std::size_t suitable_ = 0;
};

/// Not thread safe.
class EndpointEligibility
{
    struct Rule;

public:
    /// The checks of all endpoints for one request, without those that can't exclude any endpoint
    /// now. To be used at once.
    class Checks
    {
    public:
        /// Checks an endpoint of the request's service and adds it to \p excluded.
        void check(const EndpointState &endpoint, ExcludedEndpoints &excluded) const;

    private:
        friend class EndpointEligibility;

        Checks(const EndpointEligibility &eligibility, const WorkItem &item, Instant now)
            : eligibility_(eligibility), item_(item), now_(now)
        {}

        const EndpointEligibility &eligibility_;
        const WorkItem &item_;
        Instant now_;
        std::array<const Rule *, ExclusionCount> rules_{};
        std::size_t ruleCount_ = 0;
    };

    /// \pre the arguments outlive this object
    EndpointEligibility(const EndpointLimits &limits, const EndpointWithdrawals &withdrawals,
                        const DomainEvacuations &evacuations)
        : limits_(limits), withdrawals_(withdrawals), evacuations_(evacuations)
    {}

    /// \pre \p item outlives the result
    Checks checksFor(const WorkItem &item, Instant now) const;

    /// The name of \p reason in logs.
    static const char *nameOf(Exclusion reason);
    static Strictness strictnessOf(Exclusion reason);

private:
    /// When a reason ends; not after \p now if it doesn't hold, Never if its end isn't known.
    using EndOf = Instant (EndpointEligibility::*)(const EndpointState &endpoint,
                                                   const WorkItem &item, Instant now) const;

    /// Whether a reason may hold for any endpoint.
    using MayHold = bool (EndpointEligibility::*)(const WorkItem &item, Instant now) const;

    struct Rule
    {
        Exclusion reason;
        const char *name;
        Strictness strictness;
        EndOf endOf;
        MayHold mayHold;
    };

    static const std::array<Rule, ExclusionCount> Rules;

    bool always(const WorkItem &, Instant) const { return true; }
    bool hasVersion(const WorkItem &item, Instant) const { return item.version.has_value(); }
    bool hasRegions(const WorkItem &item, Instant) const { return item.regions.isRestricted(); }
    bool hasEvacuations(const WorkItem &, Instant) const { return evacuations_.count() > 0; }
    bool hasLimits(const WorkItem &, Instant) const { return !limits_.isEmpty(); }
    bool hasWithdrawals(const WorkItem &, Instant now) const { return !withdrawals_.isQuiet(now); }

    Instant otherVersionEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant leavingEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant otherRegionEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant evacuationEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant backoffEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant confirmationEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant limitEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant unreachableEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant suspicionEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;
    Instant trialEnd(const EndpointState &endpoint, const WorkItem &item, Instant now) const;

    const EndpointLimits &limits_;
    const EndpointWithdrawals &withdrawals_;
    const DomainEvacuations &evacuations_;
};

} // namespace sequoiagate

#endif
