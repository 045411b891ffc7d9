#include "WireVerdicts.h"

#include <algorithm>

namespace sequoiagate {

static wire::Execution toWire(Execution execution)
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

wire::WireVerdict toWire(const Verdict &verdict, Instant now)
{
    wire::WireVerdict answer;
    answer.set_execution(toWire(verdict.execution));
    answer.set_reason(std::string(reasonName(verdict.reason)));
    answer.set_detail(verdict.detail);
    if (verdict.comeBackAt) {
        // 0 would say that there is no use in coming back.
        const auto wait = std::chrono::duration_cast<Millis>(*verdict.comeBackAt - now);
        answer.set_retry_after_ms(std::max<int64_t>(1, wait.count()));
    }
    return answer;
}

wire::WireVerdict notRun(Reason reason, std::string detail, std::optional<Instant> comeBackAt,
                         Instant now)
{
    return toWire(Verdict{Execution::NotRun, reason, std::move(detail), comeBackAt}, now);
}

} // namespace sequoiagate
