#include "sequoiagate/Platform/Streams.h"

#include <cassert>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

std::string configStream()
{
    return "config";
}

std::string ledgerStream(const WorkspaceId &workspace, uint32_t shards)
{
    assert(shards > 0 && "a ledger has at least one shard");
    return ledgerStreamOfShard(static_cast<uint32_t>(stableHash(workspace.text()) % shards));
}

std::string ledgerStreamOfShard(uint32_t index)
{
    return fmt::format("ledger-{}", index);
}

} // namespace sequoiagate
