#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTSPEC_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTSPEC_H

/// What the decisions are told of an endpoint.

#include <cstdint>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

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
struct AttemptResult
{
    EndpointId endpoint;
    RequestId request;
    bool succeeded = false; ///< also when it was the caller who hung up
    Interval firstToken{};  ///< 0: none came
    uint64_t tokens = 0;
};

} // namespace sequoiagate

#endif
