#ifndef SEQUOIAGATE_DECISIONS_WORKITEM_H
#define SEQUOIAGATE_DECISIONS_WORKITEM_H

/// What the decisions know of a request.

#include <cstdint>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

enum class WorkClass {
    Interactive, ///< a Chat Turn: somebody waits for its first token
    Batch,       ///< an Assessment: long, waited for in the background
};

struct WorkItem
{
    RequestId request;
    WorkspaceId workspace;
    ServiceId service;
    WorkClass workClass = WorkClass::Interactive;
    uint64_t promptTokens = 0;
    uint64_t outputCeiling = 0;
    uint64_t cacheablePrefixTokens =
            0;               ///< of the prompt, that an endpoint may have cached; 0: unknown
    uint64_t prefixHash = 0; ///< stable hash of the prompt's first block; 0: none
    bool idempotent = true;
    double weight = 1.0; ///< of its workspace, for fair shares
    Instant arrivedAt;
    Instant deadline = Never; ///< it is given up, and answered, when it still waits then
};

} // namespace sequoiagate

#endif
