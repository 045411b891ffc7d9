#include "Refusals.h"

#include <nlohmann/json.hpp>

namespace sequoiagate {

namespace {

struct ReasonStatus
{
    Reason reason;
    int status;
};

/// Every other reason is reported as 503: not run, retry later.
constexpr ReasonStatus Statuses[] = {
        {Reason::BadRequest, 400}, {Reason::Unauthenticated, 401}, {Reason::BudgetSpent, 402},
        {Reason::NotAllowed, 403}, {Reason::UnknownRoute, 404},    {Reason::QueueFull, 429},
        {Reason::RateShare, 429},
};

} // namespace

int refusalStatus(Reason reason)
{
    constexpr int ServiceUnavailable = 503;
    for (const ReasonStatus &row : Statuses) {
        if (row.reason == reason) {
            return row.status;
        }
    }
    return ServiceUnavailable;
}

std::string refusalBody(const Verdict &verdict)
{
    const nlohmann::json body = {{"execution", executionName(verdict.execution)},
                                 {"reason", reasonName(verdict.reason)},
                                 {"detail", verdict.detail}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace sequoiagate
