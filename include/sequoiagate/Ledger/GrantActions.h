#ifndef SEQUOIAGATE_LEDGER_GRANTACTIONS_H
#define SEQUOIAGATE_LEDGER_GRANTACTIONS_H

/// The actions that the grant state machines request from their owner. The owner performs them in
/// order; each may be lost, delayed or duplicated without harm.

#include <cstdint>
#include <variant>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// Append this body to the workspace's ledger stream. The owner sets writer and sequence, and
/// resends it with the same pair until it is read back from the log.
struct AppendAction
{
    wire::Record record;
};

/// Request a window from \p witness; pass its response to GrantHolder::onWindow.
struct RequestWindowAction
{
    Incarnation witness;
    GrantId grant;
    WorkspaceId workspace;
    uint64_t receivedTokens = 0;
    uint64_t wantTokens = 0;
    uint64_t returnedTokens = 0;
};

using GrantAction = std::variant<AppendAction, RequestWindowAction>;
using GrantActions = std::vector<GrantAction>;

} // namespace sequoiagate

#endif
