#ifndef SEQUOIAGATE_EDGE_TOKENSTATELOG_H
#define SEQUOIAGATE_EDGE_TOKENSTATELOG_H

/// Selects the workspaces whose token state is logged at each reporting interval. Every process
/// tracks all workspaces but uses few at a time, so logging all of them would make log volume
/// grow with the product of hosts and workspaces.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// A process's token counts for a workspace, and its view of the workspace's budget.
struct TokenState
{
    WorkspaceId workspace;
    uint64_t prepaid = 0;
    uint64_t owned = 0; ///< according to the store
    uint64_t usable = 0;
    uint64_t reserved = 0;
    uint64_t spent = 0;
    uint64_t unallotted = 0; ///< as of the last read
    bool current = false;    ///< the store is reachable and a snapshot of it was read

    friend bool operator==(const TokenState &, const TokenState &) = default;
};

/// Not thread safe.
class TokenStateLog
{
public:
    /// \returns the states of \p all to log: those that are new or changed since they were last
    /// selected. If there are none, returns one state in round-robin order as a heartbeat, so that
    /// a running process can be told from one that ended.
    std::vector<TokenState> select(const std::vector<TokenState> &all);

private:
    std::unordered_map<WorkspaceId, TokenState> lastLogged_;
    std::size_t nextHeartbeat_ = 0;
};

} // namespace sequoiagate

#endif
