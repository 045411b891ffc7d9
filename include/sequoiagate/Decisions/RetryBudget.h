#ifndef SEQUOIAGATE_DECISIONS_RETRYBUDGET_H
#define SEQUOIAGATE_DECISIONS_RETRYBUDGET_H

/// Which failed tries may be made again, and how many. Pure.

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

/// Bounds how much retries add to the load. Not thread safe.
class RetryBudget
{
public:
    /// \param ratio retries allowed per first try, 0 to 1
    explicit RetryBudget(double ratio = 0.1);
    void onFirstTry(Instant now);
    /// Whether the failed try may be made again; counts it if so. Never for a call
    /// that isn't idempotent unless the verdict is NotRun.
    bool mayRetry(const Verdict &verdict, bool idempotent, Instant now);

private:
    double ratio_;
    double tokens_ = 0.0;
};

} // namespace sequoiagate

#endif
