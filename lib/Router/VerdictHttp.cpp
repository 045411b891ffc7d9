#include "sequoiagate/Router/VerdictHttp.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

struct StatusRow
{
    Reason reason;
    int status;
    const char *type; ///< as OpenAI's clients sort errors
};

constexpr std::array StatusTable = {
        StatusRow{Reason::BadRequest, 400, "invalid_request_error"},
        StatusRow{Reason::Unauthenticated, 401, "authentication_error"},
        StatusRow{Reason::BudgetSpent, 402, "insufficient_quota"},
        StatusRow{Reason::NotAllowed, 403, "permission_error"},
        StatusRow{Reason::UnknownService, 404, "invalid_request_error"},
        StatusRow{Reason::AlreadyRunning, 409, "conflict_error"},
        StatusRow{Reason::AlreadyClaimed, 409, "conflict_error"},
        StatusRow{Reason::KeyTooOld, 409, "conflict_error"},
        StatusRow{Reason::BodyMismatch, 422, "invalid_request_error"},
        StatusRow{Reason::QueueFull, 429, "rate_limit_error"},
        StatusRow{Reason::RateShare, 429, "rate_limit_error"},
        StatusRow{Reason::BudgetUnreachable, 429, "rate_limit_error"},
        StatusRow{Reason::EndpointFailed, 502, "server_error"},
        StatusRow{Reason::StreamCut, 502, "server_error"},
        StatusRow{Reason::Timeout, 504, "server_error"},
        StatusRow{Reason::QueueTimeout, 504, "server_error"},
};
constexpr StatusRow OtherReasons{Reason::None, 503, "server_error"};

const StatusRow &rowOf(Reason reason)
{
    const auto found = std::find_if(StatusTable.begin(), StatusTable.end(),
                                    [&](const StatusRow &row) { return row.reason == reason; });
    return found == StatusTable.end() ? OtherReasons : *found;
}

} // namespace

int httpStatusOf(const Verdict &verdict)
{
    return rowOf(verdict.reason).status;
}

nlohmann::json errorJson(const Verdict &verdict, Instant now)
{
    nlohmann::json error = {{"message", verdict.detail},
                            {"type", rowOf(verdict.reason).type},
                            {"code", reasonName(verdict.reason)},
                            {"execution", executionName(verdict.execution)}};
    if (verdict.retryAt) {
        const auto wait = std::chrono::ceil<Millis>(*verdict.retryAt - now);
        error["retry_after_ms"] = std::max<int64_t>(wait.count(), 1);
    }
    return {{"error", error}};
}

void answerVerdict(httplib::Response &response, const Verdict &verdict, Instant now)
{
    response.status = httpStatusOf(verdict);
    response.set_header("X-Execution", std::string(executionName(verdict.execution)));
    if (verdict.retryAt) {
        const auto wait = std::chrono::ceil<Seconds>(*verdict.retryAt - now);
        response.set_header("Retry-After", fmt::format("{}", std::max<int64_t>(wait.count(), 1)));
    }
    response.set_content(errorJson(verdict, now).dump(), "application/json");
}

} // namespace sequoiagate
