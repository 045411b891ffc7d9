#include "sequoiagate/Transport/WireVerdict.h"

#include <algorithm>

namespace sequoiagate {

wire::Execution executionToWire(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return wire::NOT_RUN;
    case Execution::MayHaveRun:
        return wire::MAY_HAVE_RUN;
    case Execution::Ran:
        return wire::RAN;
    }
    return wire::MAY_HAVE_RUN;
}

Execution executionFromWire(wire::Execution execution)
{
    switch (execution) {
    case wire::NOT_RUN:
        return Execution::NotRun;
    case wire::RAN:
        return Execution::Ran;
    default:
        return Execution::MayHaveRun;
    }
}

wire::WireVerdict verdictToWire(const Verdict &verdict, Instant now)
{
    wire::WireVerdict wire;
    wire.set_execution(executionToWire(verdict.execution));
    wire.set_reason(std::string(reasonName(verdict.reason)));
    wire.set_detail(verdict.detail);
    if (verdict.retryAt) {
        // 0 would say that there is no use in coming back.
        const auto wait = std::chrono::duration_cast<Millis>(*verdict.retryAt - now);
        wire.set_retry_after_ms(static_cast<uint64_t>(std::max<int64_t>(1, wait.count())));
    }
    return wire;
}

Verdict verdictFromWire(const wire::WireVerdict &wire, Instant now)
{
    Verdict verdict;
    verdict.execution = executionFromWire(wire.execution());
    verdict.reason = reasonFromName(wire.reason()).value_or(Reason::Internal);
    verdict.detail = wire.detail();
    if (wire.retry_after_ms() > 0) {
        verdict.retryAt = now + Millis(wire.retry_after_ms());
    }
    return verdict;
}

wire::WireVerdict notRunOnWire(Reason reason, std::string detail, std::optional<Instant> comeBackAt,
                               Instant now)
{
    return verdictToWire(Verdict{Execution::NotRun, reason, std::move(detail), comeBackAt}, now);
}

} // namespace sequoiagate
