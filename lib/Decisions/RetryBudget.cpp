#include "sequoiagate/Decisions/RetryBudget.h"

#include <algorithm>

namespace sequoiagate {

namespace {

/// Enough for the failures that come together when an endpoint stops, on a router that
/// has been quiet; too few to matter to the load.
constexpr double MostSavedRetries = 10.0;

bool safeToRepeat(const Verdict &verdict, bool idempotent)
{
    if (verdict.execution == Execution::Ran) {
        return false;
    }
    return idempotent || verdict.execution == Execution::NotRun;
}

} // namespace

RetryBudget::RetryBudget(double ratio) : ratio_(ratio), tokens_(MostSavedRetries) {}

void RetryBudget::onFirstAttempt(Instant /*now*/)
{
    tokens_ = std::min(tokens_ + ratio_, MostSavedRetries);
}

bool RetryBudget::mayRetry(const Verdict &verdict, bool idempotent, Instant /*now*/)
{
    if (!safeToRepeat(verdict, idempotent) || tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace sequoiagate
