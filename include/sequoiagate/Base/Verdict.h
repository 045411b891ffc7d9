#ifndef SEQUOIAGATE_BASE_VERDICT_H
#define SEQUOIAGATE_BASE_VERDICT_H

/// The description of failed work: whether it may have run, why it failed and when to
/// retry. Every failure that crosses a component boundary or reaches a caller has one.

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Whether the work may have taken effect. A call that isn't idempotent may be retried
/// only after NotRun.
enum class Execution {
    NotRun,     ///< no byte of it reached an endpoint
    MayHaveRun, ///< it was sent, but its outcome is unknown
    Ran,
};

/// The closed set of reasons for a rejection or failure. Responses, logs and metric
/// labels show the name that reasonName() returns.
enum class Reason {
    None,
    BadRequest,
    Unauthenticated,
    NotAllowed,         ///< the workspace may not call that service
    UnknownRoute,       ///< no configured route matches the host and path
    UnknownService,     ///< no configured endpoint offers it
    BudgetSpent,        ///< no budget remains anywhere
    BudgetUnreachable,  ///< budget may remain, but can't be obtained here now
    QueueFull,          ///< rejected by admission control
    QueueTimeout,       ///< its deadline passed while it was queued
    RateShare,          ///< the workspace exceeds its fair share under saturation
    NoEndpoint,         ///< none that offers it is listed, or all are leaving, ejected or down
    EndpointFailed,     ///< the endpoint failed before or during its response
    StreamCut,          ///< the stream ended without its end marker
    PromptQuarantined,  ///< a part of the prompt crashed endpoints
    RequestQuarantined, ///< endpoints crashed under the request
    StreamNotResumable, ///< no endpoint can continue the stream, now or later
    KeeperUnreachable,  ///< no keeper of the failure domain responds
    LogUnavailable,     ///< a record that must be written first can't be written
    AlreadyRunning,     ///< the same request is in progress elsewhere
    AlreadyClaimed,     ///< another party holds a claim on the run
    KeyTooOld,          ///< the idempotency key is older than the retention of claims
    BodyMismatch,       ///< the same id was used with another body
    NotReady,           ///< no configuration yet
    Draining,
    Timeout,
    Internal,
};

/// The reason's stable name in lower_snake_case.
std::string_view reasonName(Reason reason);
/// The reason of that name; nullopt for an unknown one.
std::optional<Reason> reasonFromName(std::string_view name);
std::string_view executionName(Execution execution);

/// Describes work that didn't complete successfully.
struct Verdict
{
    Execution execution = Execution::NotRun;
    Reason reason = Reason::None;
    std::string detail;             ///< one sentence for people, lower case
    std::optional<Instant> retryAt; ///< when to retry; nullopt: a retry won't help
};

/// Thrown by code that can't continue; carries the verdict to its caller.
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
