#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTLIMITRECORD_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTLIMITRECORD_H

/// The limits that an endpoint's process named, as hosts tell them to each other.

#include <cstdint>
#include <optional>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// The limits of an endpoint as last observed by any host.
struct EndpointLimitRecord
{
    EndpointId endpoint;
    uint64_t startedAtMillis = 0; ///< identifies the endpoint's process
    std::optional<double> maxRequestsPerSecond;
    std::optional<uint32_t> maxRejectionsPerSecond;
    Instant observedAt{}; ///< by this host's clock

    bool hasLimit() const { return maxRequestsPerSecond || maxRejectionsPerSecond; }
};

} // namespace sequoiagate

#endif
