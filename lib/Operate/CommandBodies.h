#ifndef SEQUOIAGATE_LIB_OPERATE_COMMANDBODIES_H
#define SEQUOIAGATE_LIB_OPERATE_COMMANDBODIES_H

/// The bodies that the table in Commands.cpp names, by the file they live in, and
/// what several of them need. All throw CommandError, VerdictError and LogError.

#include "sequoiagate/Operate/Commands.h"
#include "sequoiagate/Operate/LogReader.h"
#include "sequoiagate/Operate/Publisher.h"

namespace sequoiagate {

// ---- SheetCommands.cpp ----
CommandResult checkSheet(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult applySheet(const CommandPeers &peers, const CommandArguments &arguments);

// ---- ConfigCommands.cpp ----
CommandResult listEndpoints(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult addEndpoint(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult leaveEndpoint(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult removeEndpoint(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult addKey(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult removeKey(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult showHistory(const CommandPeers &peers, const CommandArguments &arguments);

// ---- LedgerCommands.cpp ----
CommandResult showBudgets(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult showClaims(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult writeInvoice(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult attestGrant(const CommandPeers &peers, const CommandArguments &arguments);

// ---- FleetCommands.cpp ----
CommandResult showStatus(const CommandPeers &peers, const CommandArguments &arguments);
CommandResult drainHost(const CommandPeers &peers, const CommandArguments &arguments);

/// Publishes \p change and, if asked to, waits until it is in force.
CommandResult publishChange(const CommandPeers &peers, const CommandArguments &arguments,
                            wire::ConfigChange change);

/// Waits until every live host has \p version in force, and names those not heard
/// from. \p result gets both.
void waitInForce(const CommandPeers &peers, const CommandArguments &arguments, uint64_t version,
                 CommandResult &result);

/// A line of \p text that ends with a line feed.
std::string line(const std::string &text);

/// The time of \p wallMicros since 1970 as RFC 3339 in UTC.
std::string timeText(int64_t wallMicros);

} // namespace sequoiagate

#endif
