#ifndef SEQUOIAGATE_DECISIONS_RETRYBUDGET_H
#define SEQUOIAGATE_DECISIONS_RETRYBUDGET_H

/// Which failed attempts may be retried, and how many. Pure.
///
/// Guards against retry storms when endpoints fail. If each failed attempt were retried,
/// the remaining endpoints would get twice the load just when they can least handle it and
/// fail in turn, and the outage would continue after its cause has gone. Retries are
/// therefore limited to a fraction of the first attempts: one in ten keeps the load within
/// the target of 1.1 times, and is far above what one failing endpoint needs until it is
/// ejected (1.004 attempts a request, bench-Decisions failing-endpoint).
///
/// A call that isn't idempotent is retried only if its verdict is NotRun: a booking that
/// may have run would otherwise be made twice.

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

/// Bounds how much retries add to the load. Not thread safe.
class RetryBudget
{
public:
    /// \param ratio retries allowed per first attempt, 0 to 1
    explicit RetryBudget(double ratio = 0.1);
    void onFirstAttempt(Instant now);
    /// Whether the failed attempt may be retried; counts the retry if so. Never true for a
    /// call that isn't idempotent unless the verdict is NotRun.
    bool mayRetry(const Verdict &verdict, bool idempotent, Instant now);

private:
    double ratio_;
    double tokens_ = 0.0;
};

} // namespace sequoiagate

#endif
