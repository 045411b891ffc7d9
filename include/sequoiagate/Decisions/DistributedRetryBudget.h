#ifndef SEQUOIAGATE_DECISIONS_DISTRIBUTEDRETRYBUDGET_H
#define SEQUOIAGATE_DECISIONS_DISTRIBUTEDRETRYBUDGET_H

/// This process's share of a retry budget that bounds the retries of all processes together.
/// Pure.
///
/// Guards against many endpoints that fail or refuse requests. If each process bounded its
/// retries independently, their sum would be several times the bound, just when the remaining
/// endpoints can least handle it. Instead, each process uses an equal share of the fixed allowance
/// and a proportional allowance for its own requests, so that the sum stays within the bound
/// without communication. Processes that aren't counted would make the sum too high: only a
/// part of the bound is used.

#include <deque>
#include <unordered_map>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct DistributedRetryBudgetSettings
{
    double ratio = 0.2;                         ///< retries per request
    double baseRetries = 50.0;                  ///< further retries, of all processes together
    Interval window = std::chrono::seconds(10); ///< over which retries are bounded
    /// Fraction of the bound that is used: the number of processes changes, and windows slide.
    double usableFraction = 0.7;
};

/// Not thread safe.
class DistributedRetryBudget
{
public:
    explicit DistributedRetryBudget(DistributedRetryBudgetSettings settings) : settings_(settings)
    {}

    void setSettings(DistributedRetryBudgetSettings settings) { settings_ = settings; }
    /// \pre count > 0
    void setProcessCount(uint32_t count) { processCount_ = count; }
    void onRequest(const ServiceId &service, Instant now);
    /// Whether a request to \p service may be retried; counts the retry if so.
    bool mayRetry(const ServiceId &service, Instant now);

private:
    struct Counts
    {
        std::deque<Instant> requests;
        std::deque<Instant> retries;
    };

    void expire(Counts &counts, Instant now) const;

    DistributedRetryBudgetSettings settings_;
    uint32_t processCount_ = 1;
    std::unordered_map<ServiceId, Counts> services_;
};

} // namespace sequoiagate

#endif
