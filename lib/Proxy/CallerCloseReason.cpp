#include "sequoiagate/Proxy/CallerCloseReason.h"

namespace sequoiagate {

namespace {

struct CloseName
{
    CallerCloseReason reason;
    std::string_view name;
};

constexpr CloseName CloseNames[] = {
        {CallerCloseReason::Answered, "answered"},
        {CallerCloseReason::PeerClosed, "peer_closed"},
        {CallerCloseReason::ReadFailed, "read_failed"},
        {CallerCloseReason::WriteFailed, "write_failed"},
        {CallerCloseReason::Idle, "idle"},
        {CallerCloseReason::Drained, "drained"},
        {CallerCloseReason::StopForced, "stop_forced"},
        {CallerCloseReason::CutOff, "cut_off"},
};

} // namespace

std::string_view callerCloseReasonName(CallerCloseReason reason)
{
    for (const CloseName &row : CloseNames) {
        if (row.reason == reason) {
            return row.name;
        }
    }
    return "";
}

} // namespace sequoiagate
