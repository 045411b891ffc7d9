#include "sequoiagate/Proxy/CallerCloseReason.h"

namespace sequoiagate {

namespace {

struct CloseName
{
    CallerClose why;
    std::string_view name;
};

constexpr CloseName CloseNames[] = {
        {CallerClose::Answered, "answered"},
        {CallerClose::PeerClosed, "peer_closed"},
        {CallerClose::ReadFailed, "read_failed"},
        {CallerClose::WriteFailed, "write_failed"},
        {CallerClose::Idle, "idle"},
        {CallerClose::Drained, "drained"},
        {CallerClose::StopForced, "stop_forced"},
};

} // namespace

std::string_view callerCloseName(CallerClose why)
{
    for (const CloseName &row : CloseNames) {
        if (row.why == why) {
            return row.name;
        }
    }
    return "";
}

} // namespace sequoiagate
