#ifndef SEQUOIAGATE_DECISIONS_LOSSSTATISTICS_H
#define SEQUOIAGATE_DECISIONS_LOSSSTATISTICS_H

/// Counts how many requests are lost with their endpoints, and how soon after they were sent: a
/// request that crashes its endpoint is lost sooner than most that are lost with it.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// How requests ended. Thread safe.
struct OutcomeCounts
{
    static constexpr std::size_t AgeClasses = 10;

    uint64_t written = 0;                    ///< requests with an answer
    std::array<uint64_t, AgeClasses> lost{}; ///< requests without one, by ageClass()

    OutcomeCounts &operator+=(const OutcomeCounts &other);
    bool isEmpty() const;
    /// The chance of a request to be lost at an age of this class or a younger one, as shown by all
    /// but \p excluded of those that were.
    double lossChance(std::size_t oldestClass, std::size_t excluded) const;
};

/// \returns the class of a request that was lost at \p age; each covers twice the ages of the one
/// below. Thread safe.
std::size_t ageClass(Interval age);

/// Outcomes of the last minute. Not thread safe.
class LossStatistics
{
public:
    /// \pre \p now never decreases
    void onWritten(Instant now) { bucket(now).written += 1; }
    /// \pre \p now never decreases
    void onLost(std::size_t ageClass, Instant now) { bucket(now).lost.at(ageClass) += 1; }
    /// Outcomes since \p since, to the second.
    OutcomeCounts since(Instant since) const;

private:
    struct Bucket
    {
        Instant end{};
        OutcomeCounts counts;
    };

    OutcomeCounts &bucket(Instant now);

    std::deque<Bucket> buckets_;
};

} // namespace sequoiagate

#endif
