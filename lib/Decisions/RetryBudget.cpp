#include "sequoiagate/Decisions/RetryBudget.h"

#include <algorithm>

namespace sequoiagate {

namespace {

/// Enough for the simultaneous failures when an endpoint stops, on a router that has been
/// idle; too few to affect the load.
constexpr double MaxSavedRetries = 10.0;

bool isSafeToRetry(const Verdict &verdict, bool idempotent)
{
    if (verdict.execution == Execution::Ran) {
        return false;
    }
    return idempotent || verdict.execution == Execution::NotRun;
}

} // namespace

RetryBudget::RetryBudget(double ratio) : ratio_(ratio), tokens_(MaxSavedRetries) {}

void RetryBudget::onFirstAttempt(Instant /*now*/)
{
    tokens_ = std::min(tokens_ + ratio_, MaxSavedRetries);
}

bool RetryBudget::mayRetry(const Verdict &verdict, bool idempotent, Instant /*now*/)
{
    if (!isSafeToRetry(verdict, idempotent) || tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace sequoiagate
