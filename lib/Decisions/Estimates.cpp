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
    constexpr double MaxSeconds = 3600.0;
    return std::chrono::duration_cast<Interval>(
            std::chrono::duration<double>(std::clamp(seconds, 0.0, MaxSeconds)));
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

void DecayingSum::add(double amount, Instant now)
{
    sum_ = at(now) + amount;
    updatedAt_ = std::max(updatedAt_, now);
}

double DecayingSum::at(Instant now) const
{
    const Interval age = std::max(now - updatedAt_, Interval::zero());
    return sum_ * std::exp(-secondsOf(age) / secondsOf(timeConstant_));
}

void RecentMedian::add(double sample)
{
    ring_[next_] = sample;
    next_ = (next_ + 1) % Window;
    count_ = std::min(count_ + 1, Window);
    std::array<double, Window> sorted = ring_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count_);
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>((count_ - 1) / 2);
    std::nth_element(sorted.begin(), middle, end);
    median_ = *middle;
}

void RecentMedian::reset()
{
    next_ = 0;
    count_ = 0;
    median_ = 0.0;
}

} // namespace sequoiagate
