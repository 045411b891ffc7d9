#ifndef SEQUOIAGATE_DECISIONS_DISTRIBUTEDRETRYBUDGET_H
#define SEQUOIAGATE_DECISIONS_DISTRIBUTEDRETRYBUDGET_H

/// How many repeats this process may add to a service's load, where the bound is one for
/// all processes together. Pure.
///
/// Answers endpoints that fail or refuse in numbers. Repeats that each process counts by
/// itself add up to several times the bound, just when the endpoints that are left can
/// least bear it. Here each process takes an equal part of the fixed allowance and its own
/// requests' part of the proportional one, so that the sum keeps the bound without a word
/// between them. Processes that aren't known make the sum too high: only a part of the
/// bound is used.

#include <deque>
#include <unordered_map>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct DistributedRetryBudgetSettings
{
    double ratio = 0.2;                         ///< repeats per request
    double baseRetries = 50.0;                  ///< repeats beside, all processes together
    Interval window = std::chrono::seconds(10); ///< over which the bound holds
    double usableFraction = 0.7; ///< of the bound: processes come and go, and windows slide
};

/// Not thread safe.
class DistributedRetryBudget
{
public:
    explicit DistributedRetryBudget(DistributedRetryBudgetSettings settings) : settings_(settings)
    {}

    void setSettings(DistributedRetryBudgetSettings settings) { settings_ = settings; }
    /// \pre count > 0
    void setProcessCount(uint32_t count) { processes_ = count; }
    void onRequest(const ServiceId &service, Instant now);
    /// Whether a request may be sent to \p service once more; counts it if so.
    bool mayRetry(const ServiceId &service, Instant now);

private:
    struct Counts
    {
        std::deque<Instant> requests;
        std::deque<Instant> repeats;
    };

    void expire(Counts &counts, Instant now) const;

    DistributedRetryBudgetSettings settings_;
    uint32_t processes_ = 1;
    std::unordered_map<ServiceId, Counts> services_;
};

} // namespace sequoiagate

#endif
