#ifndef SEQUOIAGATE_DECISIONS_ESTIMATES_H
#define SEQUOIAGATE_DECISIONS_ESTIMATES_H

/// Small estimators shared by the policies. Pure; none is thread safe.

#include <array>
#include <cstddef>
#include <cstdint>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Converts \p seconds, clamped to between zero and an hour so that a division by a rate
/// near zero can't overflow the clock.
Interval intervalOf(double seconds);
double secondsOf(Interval interval);

/// A moving mean: the plain mean of the first samples, then an exponential one in which
/// each new sample has the weight 1/memory.
class MovingMean
{
public:
    /// \param memory number of samples after which the weight of an old one has fallen to a third
    explicit MovingMean(uint32_t memory) : memory_(memory) {}

    void add(double sample);
    uint32_t samples() const { return samples_; } ///< at most memory
    double mean() const { return mean_; }         ///< 0 without samples
    void reset();

private:
    uint32_t memory_;
    uint32_t samples_ = 0;
    double mean_ = 0.0;
};

/// A sum in which amounts lose weight over time.
class DecayingSum
{
public:
    /// \pre timeConstant > 0: an amount added that long ago has a weight of 1/e.
    explicit DecayingSum(Interval timeConstant) : timeConstant_(timeConstant) {}

    void add(double amount, Instant now);
    double at(Instant now) const;

private:
    Interval timeConstant_;
    double sum_ = 0.0; ///< at updatedAt_
    Instant updatedAt_{};
};

/// The median of the last Window samples: unlike a mean it isn't affected by a few
/// extreme ones.
class RecentMedian
{
public:
    static constexpr std::size_t Window = 9;

    void add(double sample);
    std::size_t samples() const { return count_; } ///< up to Window
    double median() const { return median_; }      ///< 0 without samples
    void reset();

private:
    std::array<double, Window> ring_ = {};
    std::size_t next_ = 0;
    std::size_t count_ = 0;
    double median_ = 0.0; ///< computed by add, as it is read more often
};

} // namespace sequoiagate

#endif
