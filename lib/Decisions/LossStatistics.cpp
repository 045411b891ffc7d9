#include "sequoiagate/Decisions/LossStatistics.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace sequoiagate {

namespace {

constexpr Interval YoungestAge = std::chrono::milliseconds(25);
constexpr Interval BucketTime = std::chrono::seconds(1);
constexpr std::size_t MaxBuckets = 60;

} // namespace

std::size_t ageClass(Interval age)
{
    std::size_t result = 0;
    for (Interval limit = YoungestAge; age > limit && result + 1 < OutcomeCounts::AgeClasses;
         limit *= 2) {
        ++result;
    }
    return result;
}

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &other)
{
    written += other.written;
    std::transform(lost.begin(), lost.end(), other.lost.begin(), lost.begin(), std::plus<>());
    return *this;
}

bool OutcomeCounts::isEmpty() const
{
    return written == 0
           && std::all_of(lost.begin(), lost.end(), [](uint64_t count) { return count == 0; });
}

double OutcomeCounts::lossChance(std::size_t oldestClass, std::size_t excluded) const
{
    // As if one request more had been lost by half, since few requests tell little.
    constexpr double Prior = 0.5;
    const auto sum = [this](std::size_t classes) {
        const auto end = lost.begin() + static_cast<std::ptrdiff_t>(classes);
        return std::accumulate(lost.begin(), end, uint64_t{0});
    };
    const uint64_t within = sum(std::min(oldestClass + 1, AgeClasses));
    const uint64_t others = within - std::min<uint64_t>(within, excluded);
    const uint64_t rest = written + sum(AgeClasses) - within;
    return (static_cast<double>(others) + Prior) / (static_cast<double>(others + rest) + 2 * Prior);
}

OutcomeCounts &LossStatistics::bucket(Instant now)
{
    if (buckets_.empty() || now >= buckets_.back().end) {
        buckets_.push_back({now + BucketTime, {}});
        if (buckets_.size() > MaxBuckets) {
            buckets_.pop_front();
        }
    }
    return buckets_.back().counts;
}

OutcomeCounts LossStatistics::since(Instant since) const
{
    OutcomeCounts counts;
    for (const Bucket &bucket : buckets_) {
        if (bucket.end > since) {
            counts += bucket.counts;
        }
    }
    return counts;
}

} // namespace sequoiagate
