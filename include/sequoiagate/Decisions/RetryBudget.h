#ifndef SEQUOIAGATE_DECISIONS_RETRYBUDGET_H
#define SEQUOIAGATE_DECISIONS_RETRYBUDGET_H

/// Which failed tries may be made again, and how many. Pure.
///
/// Answers an endpoint, or many, that fail. When each failed try is made again the
/// endpoints that are left get twice the load just when they can least bear it, fail in
/// turn, and callers see an outage that goes on after its cause has gone. Retries are
/// therefore a share of the first tries: one in ten keeps the load within the goal of
/// 1.1 times, and is far above what one failing endpoint needs until it is ejected
/// (1.004 tries a request, bench-Decisions failing-endpoint).
///
/// A call that isn't idempotent is made again only if its verdict is NotRun: a booking
/// that may have run would else be made twice.

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

/// Bounds how much retries add to the load. Not thread safe.
class RetryBudget
{
public:
    /// \param ratio retries allowed per first try, 0 to 1
    explicit RetryBudget(double ratio = 0.1);
    void onFirstAttempt(Instant now);
    /// Whether the failed try may be made again; counts it if so. Never for a call
    /// that isn't idempotent unless the verdict is NotRun.
    bool mayRetry(const Verdict &verdict, bool idempotent, Instant now);

private:
    double ratio_;
    double tokens_ = 0.0;
};

} // namespace sequoiagate

#endif
