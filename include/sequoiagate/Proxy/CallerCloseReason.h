#ifndef SEQUOIAGATE_PROXY_CALLERCLOSEREASON_H
#define SEQUOIAGATE_PROXY_CALLERCLOSEREASON_H

/// The reason why a caller's connection was closed, for logs and metrics.

#include <string_view>

namespace sequoiagate {

enum class CallerCloseReason {
    Answered,    ///< after a response with "Connection: close"
    PeerClosed,  ///< the caller closed the connection
    ReadFailed,  ///< a read failed, e.g. by a reset
    WriteFailed, ///< a write failed, e.g. by a reset
    Idle,        ///< no request arrived within the idle timeout
    Drained,     ///< idle while the process drains or sheds connections
    StopForced,  ///< closed by force when the process stops
    CutOff,      ///< the slowest caller, since the process buffers too much for callers
};

std::string_view callerCloseReasonName(CallerCloseReason reason);

} // namespace sequoiagate

#endif
