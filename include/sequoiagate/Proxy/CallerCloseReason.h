#ifndef SEQUOIAGATE_PROXY_CALLERCLOSEREASON_H
#define SEQUOIAGATE_PROXY_CALLERCLOSEREASON_H

/// Why a caller's connection was closed, for logs and metrics.

#include <string_view>

namespace sequoiagate {

enum class CallerCloseReason {
    Answered,    ///< behind an answer that says so
    PeerClosed,  ///< the caller closed it
    ReadFailed,  ///< reset, or lost otherwise
    WriteFailed, ///< reset, or lost otherwise
    Idle,        ///< no request came within the idle limit
    Drained,     ///< it waited for a request while callers were sent away
    StopForced,  ///< the time for a planned stop was over
};

std::string_view callerCloseReasonName(CallerCloseReason why);

} // namespace sequoiagate

#endif
