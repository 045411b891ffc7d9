#include "sequoiagate/Base/Verdict.h"

#include <algorithm>
#include <array>

namespace sequoiagate {

namespace {

struct ReasonEntry
{
    Reason reason;
    std::string_view name;
};

constexpr std::array Reasons = {
        ReasonEntry{Reason::None, "none"},
        ReasonEntry{Reason::BadRequest, "bad_request"},
        ReasonEntry{Reason::Unauthenticated, "unauthenticated"},
        ReasonEntry{Reason::NotAllowed, "not_allowed"},
        ReasonEntry{Reason::UnknownRoute, "unknown_route"},
        ReasonEntry{Reason::UnknownService, "unknown_service"},
        ReasonEntry{Reason::BudgetSpent, "budget_spent"},
        ReasonEntry{Reason::BudgetUnreachable, "budget_unreachable"},
        ReasonEntry{Reason::QueueFull, "queue_full"},
        ReasonEntry{Reason::QueueTimeout, "queue_timeout"},
        ReasonEntry{Reason::RateShare, "rate_share"},
        ReasonEntry{Reason::NoEndpoint, "no_endpoint"},
        ReasonEntry{Reason::EndpointFailed, "endpoint_failed"},
        ReasonEntry{Reason::StreamCut, "stream_cut"},
        ReasonEntry{Reason::PromptQuarantined, "prompt_quarantined"},
        ReasonEntry{Reason::RequestQuarantined, "request_quarantined"},
        ReasonEntry{Reason::StreamNotResumable, "stream_not_resumable"},
        ReasonEntry{Reason::KeeperUnreachable, "keeper_unreachable"},
        ReasonEntry{Reason::LogUnavailable, "log_unavailable"},
        ReasonEntry{Reason::AlreadyRunning, "already_running"},
        ReasonEntry{Reason::AlreadyClaimed, "already_claimed"},
        ReasonEntry{Reason::KeyTooOld, "key_too_old"},
        ReasonEntry{Reason::BodyMismatch, "body_mismatch"},
        ReasonEntry{Reason::NotReady, "not_ready"},
        ReasonEntry{Reason::Draining, "draining"},
        ReasonEntry{Reason::Timeout, "timeout"},
        ReasonEntry{Reason::Internal, "internal"},
};

} // namespace

std::string_view reasonName(Reason reason)
{
    for (const ReasonEntry &entry : Reasons) {
        if (entry.reason == reason) {
            return entry.name;
        }
    }
    return "internal";
}

std::optional<Reason> reasonFromName(std::string_view name)
{
    for (const ReasonEntry &entry : Reasons) {
        if (entry.name == name) {
            return entry.reason;
        }
    }
    return std::nullopt;
}

std::string_view executionName(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::MayHaveRun:
        return "may_have_run";
    case Execution::Ran:
        return "ran";
    }
    return "may_have_run";
}

} // namespace sequoiagate
