#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTCHOICE_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTCHOICE_H

/// Where a request goes: among the endpoints that offer its service, by prefix
/// affinity with bounded load, locality and health. Pure.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Decisions/Admission.h"
#include "sequoiagate/Decisions/RetryBudget.h"

namespace sequoiagate {

/// An endpoint as configuration names it.
struct EndpointSpec
{
    EndpointId id;
    DomainId domain;
    std::vector<ServiceId> services;
    uint32_t slots = 1; ///< requests it batches at once
    bool plainService = false;
    bool leaving = false;
};

/// What an endpoint said of itself, late.
struct LoadReport
{
    EndpointId endpoint;
    uint32_t running = 0;
    uint32_t waiting = 0;
    double kvUsed = 0.0; ///< share of its KV memory, 0 to 1
    bool leaving = false;
    bool reachable = true;
    Instant observedAt;
};

/// How one try at an endpoint went.
struct TryResult
{
    EndpointId endpoint;
    RequestId request;
    bool succeeded = false;
    Interval firstToken{}; ///< 0: none came
    uint64_t tokens = 0;
};

/// Why an endpoint that offers the service isn't used.
struct UnservedRoute
{
    EndpointId endpoint;
    std::string why; ///< "leaving", "ejected", "unreachable", "full", ...
};

struct Chosen
{
    EndpointId endpoint;
    std::string why; ///< "prefix", "least_loaded", "spill", ...
};

using ChoiceOutcome = std::variant<Chosen, Verdict>;

/// Not thread safe.
class EndpointChoice
{
public:
    explicit EndpointChoice(DomainId self);

    /// Replaces the set; what is known of endpoints that stay is kept.
    void setEndpoints(const std::vector<EndpointSpec> &endpoints, Instant now);
    /// \p tried are left out: a retry never goes into the same failing endpoint.
    ChoiceOutcome choose(const WorkItem &item, const std::vector<EndpointId> &tried, Instant now);
    void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now);
    void onEnd(const TryResult &result, Instant now);
    void onReport(const LoadReport &report, Instant now);
    std::vector<UnservedRoute> unserved(const ServiceId &service, Instant now) const;
    /// Requests the endpoints of all services have room for now.
    uint32_t totalSlots(Instant now) const;

private:
    struct Endpoint
    {
        EndpointSpec spec;
        LoadReport report;
        uint32_t inFlight = 0;
    };

    Endpoint *find(const EndpointId &id);

    DomainId self_;
    std::vector<Endpoint> endpoints_;
};

} // namespace sequoiagate

#endif
