#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTSPEC_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTSPEC_H

/// The endpoint properties and observations that the decisions take as input.

#include <cstdint>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// An endpoint as the configuration defines it.
struct EndpointSpec
{
    EndpointId id;
    DomainId domain;
    std::vector<ServiceId> services;
    uint32_t slots = 1; ///< requests it batches at once
    bool plainService = false;
    bool leaving = false;
    uint64_t kvTokens = 0;        ///< that its memory holds; 0: unknown
    uint64_t startedAtMillis = 0; ///< identifies its process
};

/// An endpoint's report of its own load; it arrives with a delay.
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

/// The outcome of one attempt at an endpoint.
struct AttemptResult
{
    EndpointId endpoint;
    RequestId request;
    bool succeeded = false; ///< also if the caller disconnected
    Interval firstToken{};  ///< 0: no token arrived
    uint64_t tokens = 0;
};

} // namespace sequoiagate

#endif
