#ifndef SEQUOIAGATE_PLATFORM_STREAMS_H
#define SEQUOIAGATE_PLATFORM_STREAMS_H

/// Names of the log streams that the system keeps, and the shard a key falls in.

#include <cstdint>
#include <string>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// The one stream of configuration changes, which operators publish on.
std::string configStream();
/// The stream that holds the budgets, bills and run claims of \p workspace. One
/// stream for all three, so that one writer's records about a workspace keep
/// their order. \pre shards > 0.
std::string ledgerStream(const WorkspaceId &workspace, uint32_t shards);
/// The stream of shard \p index. \pre index < shards.
std::string ledgerStreamOfShard(uint32_t index);

} // namespace sequoiagate

#endif
