#ifndef SEQUOIAGATE_LIB_PROXY_REFUSALS_H
#define SEQUOIAGATE_LIB_PROXY_REFUSALS_H

/// HTTP status and body by which a verdict is reported to a caller.

#include <string>

#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

/// Default delay before a caller may retry: long enough for another endpoint to be selected,
/// short compared with the 1.5 s that short calls wait.
inline constexpr Interval RetryDelay = std::chrono::milliseconds(200);

/// Delay before a retry when this host can't serve a request but another host can. The next
/// connection goes to another host, so the delay only spreads simultaneous retries.
inline constexpr Interval RetryElsewhereDelay = std::chrono::milliseconds(50);

/// A non-idempotent request isn't sent on a connection that was idle for longer than this: if
/// the endpoint closes or loses the connection meanwhile, it answers the request with a TCP reset,
/// and it is unknown whether the request ran. Half of the shortest idle timeout of the endpoints.
inline constexpr Interval MaxIdleForNonIdempotent = std::chrono::milliseconds(1000);

/// Returns the HTTP status for refusing a request that hasn't run.
int refusalStatus(Reason reason);

/// Returns the verdict as JSON: execution, reason, detail.
std::string refusalBody(const Verdict &verdict);

} // namespace sequoiagate

#endif
