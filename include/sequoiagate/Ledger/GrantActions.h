#ifndef SEQUOIAGATE_LEDGER_GRANTACTIONS_H
#define SEQUOIAGATE_LEDGER_GRANTACTIONS_H

/// What the grant state machines ask their owner to do. The owner does it in
/// order; each may be lost, late or doubled without harm.

#include <cstdint>
#include <variant>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// Append this body to the workspace's ledger stream. The owner sets writer and
/// sequence, and sends it again under the same pair until it is read back.
struct AppendAction
{
    wire::Record record;
};

/// Ask \p witness for a window; give its answer to GrantHolder::onWindow.
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
