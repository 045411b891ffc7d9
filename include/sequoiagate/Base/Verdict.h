#ifndef SEQUOIAGATE_BASE_VERDICT_H
#define SEQUOIAGATE_BASE_VERDICT_H

/// What a failure says about the work behind it: whether it may have run, why,
/// and when to come back. Every failure that crosses a part or reaches a caller
/// carries one.

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Whether the work may have taken effect. Only NotRun may be retried for a
/// call that is not idempotent.
enum class Execution {
    NotRun,     ///< no byte of it reached an endpoint
    MayHaveRun, ///< it was sent, and its end isn't known
    Ran,
};

/// The closed set of reasons for a refusal or failure. Each appears in answers,
/// logs and the label of a metric under the name that reasonName gives.
enum class Reason {
    None,
    BadRequest,
    Unauthenticated,
    NotAllowed,        ///< the workspace may not call that service
    UnknownRoute,      ///< no route of the configuration leads anywhere from that place
    UnknownService,    ///< the configuration has no endpoint that offers it
    BudgetSpent,       ///< no budget remains anywhere
    BudgetUnreachable, ///< budget may remain, but can't be had here now
    QueueFull,         ///< admission turned it away
    QueueTimeout,      ///< it waited until its deadline
    RateShare,         ///< the workspace is over its fair share under saturation
    NoEndpoint,        ///< none that offers it is listed, or all are leaving, ejected or down
    EndpointFailed,    ///< the endpoint failed before or while it answered
    StreamCut,         ///< the stream ended without its end marker
    KeeperUnreachable, ///< no keeper of the failure domain answers
    LogUnavailable,    ///< what must be recorded first can't be
    AlreadyRunning,    ///< the same request is open elsewhere
    AlreadyClaimed,    ///< a run claim by somebody else stands
    KeyTooOld,         ///< the key is older than the claims' retention
    BodyMismatch,      ///< the same id came with another body
    NotReady,          ///< no configuration yet
    Draining,
    Timeout,
    Internal,
};

/// The reason's stable name in lower_snake_case.
std::string_view reasonName(Reason reason);
/// The reason of that name; nullopt for an unknown one.
std::optional<Reason> reasonFromName(std::string_view name);
std::string_view executionName(Execution execution);

/// The outcome of work that didn't come to its good end.
struct Verdict
{
    Execution execution = Execution::NotRun;
    Reason reason = Reason::None;
    std::string detail;             ///< one sentence for people, lower case
    std::optional<Instant> retryAt; ///< when asking again makes sense; nullopt: it doesn't
};

/// Carries a verdict through code that can't go on.
class VerdictError : public std::runtime_error
{
public:
    explicit VerdictError(Verdict verdict)
        : std::runtime_error(verdict.detail), verdict_(std::move(verdict))
    {}
    const Verdict &verdict() const { return verdict_; }

private:
    Verdict verdict_;
};

} // namespace sequoiagate

#endif
