#ifndef SEQUOIAGATE_DECISIONS_ESTIMATES_H
#define SEQUOIAGATE_DECISIONS_ESTIMATES_H

/// Small estimators that the policies share. Pure; none is thread safe.

#include <array>
#include <cstddef>
#include <cstdint>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// \p seconds as an interval, at least zero and at most an hour, so that a division
/// by a rate near zero can't overflow the clock.
Interval intervalOf(double seconds);
double secondsOf(Interval interval);

/// A mean that forgets: the plain mean of the first samples, then one in which each
/// new sample weighs 1/Memory.
class MovingMean
{
public:
    /// \param memory samples after which an old one counts for a third
    explicit MovingMean(uint32_t memory) : memory_(memory) {}

    void add(double sample);
    uint32_t samples() const { return samples_; } ///< counted up to the memory
    double mean() const { return mean_; }         ///< 0 without samples
    void reset();

private:
    uint32_t memory_;
    uint32_t samples_ = 0;
    double mean_ = 0.0;
};

/// The median of the last few samples: unlike a mean it isn't moved by a few that are far
/// off.
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
    double median_ = 0.0; ///< worked out by add: it is asked for more often
};

} // namespace sequoiagate

#endif
