#ifndef UNITTESTS_SUPPORT_FLEETPOLICIES_H
#define UNITTESTS_SUPPORT_FLEETPOLICIES_H

/// What a router of the fleet model decides by: the project's policies, and the plain
/// ones that they are measured against.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sequoiagate/Decisions/Admission.h"
#include "sequoiagate/Decisions/EndpointSelector.h"

namespace sequoiagate::model {

/// How a router lets requests in. Not thread safe.
class AdmissionStrategy
{
public:
    virtual ~AdmissionStrategy() = default;
    virtual AdmissionOutcome offer(const WorkItem &item, Instant now) = 0;
    virtual void onFirstToken(const RequestId &request, Instant now) = 0;
    virtual void finished(const RequestId &request, uint64_t tokens, Instant now) = 0;
    virtual void setSlots(uint32_t slots, Instant now) = 0;
    virtual std::vector<QueueRelease> poll(Instant now) = 0;
    virtual Instant nextDeadline() const = 0;
};

/// How a router picks endpoints. Not thread safe.
class ChoiceStrategy
{
public:
    virtual ~ChoiceStrategy() = default;
    virtual void setEndpoints(const std::vector<EndpointSpec> &endpoints, Instant now) = 0;
    virtual SelectionOutcome choose(const WorkItem &item, const std::vector<EndpointId> &tried,
                                    Instant now) = 0;
    virtual void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now) = 0;
    virtual void onFirstToken(const EndpointId &endpoint, const RequestId &request,
                              Instant now) = 0;
    virtual void onEnd(const AttemptResult &result, Instant now) = 0;
    virtual void onReport(const LoadReport &report, Instant now) = 0;
    virtual void onCacheEvent(const EndpointId &endpoint, uint64_t prefix, bool stored,
                              Instant observedAt) = 0;
    /// Room for this router's requests; 0: the strategy doesn't know.
    virtual uint32_t totalSlots(Instant now) const = 0;
};

/// A named way to run a router.
struct Policy
{
    std::string name;
    std::function<std::unique_ptr<AdmissionStrategy>(uint64_t seed)> admission;
    std::function<std::unique_ptr<ChoiceStrategy>(const DomainId &self, uint64_t seed)> choice;
    bool retryBudget = true; ///< false: every failed try is made again, thrice at most
};

enum class PlainChoice {
    Random,
    RoundRobin,
    LeastInFlight,
    ConsistentHash,
};

/// The project's policies.
Policy sequoiagatePolicy(AdmissionSettings admission = {}, EndpointSelectorSettings choice = {});
/// The project's admission before a plain choice.
Policy plainChoicePolicy(const std::string &name, PlainChoice choice);
/// A plain choice, and every request is let in at once.
Policy unlimitedPolicy(const std::string &name, PlainChoice choice);

} // namespace sequoiagate::model

#endif
