#ifndef SEQUOIAGATE_DECISIONS_WORKITEM_H
#define SEQUOIAGATE_DECISIONS_WORKITEM_H

/// The request properties that the decisions take as input.

#include <cstdint>
#include <optional>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/RegionRestriction.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

enum class WorkClass {
    Interactive, ///< a chat turn: a user waits for its first token
    Batch,       ///< an assessment: long, runs in the background
};

struct WorkItem
{
    RequestId request;
    WorkspaceId workspace;
    ServiceId service;
    WorkClass workClass = WorkClass::Interactive;
    uint32_t priority = 0; ///< 0 is the highest
    uint64_t promptTokens = 0;
    uint64_t outputCeiling = 0;
    uint64_t cacheablePrefixTokens = 0; ///< prompt tokens an endpoint may have cached; 0: unknown
    uint64_t prefixHash = 0;            ///< stable hash of the prompt's first block; 0: none
    bool idempotent = true;
    std::optional<SoftwareVersion> version; ///< only endpoints of this version may run it
    RegionRestriction regions;              ///< of endpoints and hosts that get its body
    bool connectFailed = false;             ///< a connection for it couldn't be established
    double weight = 1.0;                    ///< of its workspace, for fair queueing
    Instant arrivedAt;
    Instant deadline = Never; ///< a request that still waits then is refused
};

} // namespace sequoiagate

#endif
