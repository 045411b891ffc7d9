#ifndef SEQUOIAGATE_DECISIONS_ESTIMATES_H
#define SEQUOIAGATE_DECISIONS_ESTIMATES_H

/// Small estimators that the policies share. Pure; none is thread safe.

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

/// How many events happened of late: a count that decays with time.
class RecentCount
{
public:
    /// After it an event counts for a third.
    static constexpr Interval Memory = std::chrono::seconds(5);

    void add(Instant now);
    double value(Instant now) const;

private:
    double value_ = 0.0;
    Instant updatedAt_;
};

} // namespace sequoiagate

#endif
