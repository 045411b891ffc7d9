#ifndef SEQUOIAGATE_LIB_PROXY_REFUSALS_H
#define SEQUOIAGATE_LIB_PROXY_REFUSALS_H

/// How a verdict is told to a caller over HTTP.

#include <string>

#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

/// When a caller may come back where nothing better is known: long enough for an endpoint
/// to be chosen anew, short beside the second and a half that short calls wait.
inline constexpr Interval ComeBackSoon = std::chrono::milliseconds(200);

/// When a caller may come back that this host can't serve and another one can: its next
/// connection goes to another one, so at once but for a moment that spreads a crowd.
inline constexpr Interval ComeBackElsewhere = std::chrono::milliseconds(50);

/// A request that may run once only isn't sent on a connection that was idle for longer:
/// an endpoint that closes or forgets it meanwhile resets what is sent next, and whether
/// it ran nobody knows. Half of the shortest time that endpoints keep idle ones for.
inline constexpr Interval FreshForOnce = std::chrono::milliseconds(1000);

/// The status for a refusal of a request that hasn't run.
int refusalStatus(Reason reason);

/// The verdict as JSON: execution, reason, detail.
std::string refusalBody(const Verdict &verdict);

} // namespace sequoiagate

#endif
