#include "sequoiagate/Decisions/Estimates.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

double secondsOf(Interval interval)
{
    return std::chrono::duration<double>(interval).count();
}

Interval intervalOf(double seconds)
{
    constexpr double Longest = 3600.0;
    return std::chrono::duration_cast<Interval>(
            std::chrono::duration<double>(std::clamp(seconds, 0.0, Longest)));
}

void MovingMean::add(double sample)
{
    samples_ = std::min(samples_ + 1, memory_);
    mean_ += (sample - mean_) / samples_;
}

void MovingMean::reset()
{
    samples_ = 0;
    mean_ = 0.0;
}

void RecentCount::add(Instant now)
{
    value_ = value(now) + 1.0;
    updatedAt_ = std::max(updatedAt_, now);
}

double RecentCount::value(Instant now) const
{
    const Interval age = std::max(now - updatedAt_, Interval::zero());
    return value_ * std::exp(-secondsOf(age) / secondsOf(Memory));
}

} // namespace sequoiagate
