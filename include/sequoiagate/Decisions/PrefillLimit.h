#ifndef SEQUOIAGATE_DECISIONS_PREFILLLIMIT_H
#define SEQUOIAGATE_DECISIONS_PREFILLLIMIT_H

/// How many requests may be between being sent and their first token.
///
/// Answers a burst that meets free slots. Slots bound the streams, but all requests of
/// a burst would begin in the same moment: an engine prefills one prompt after another,
/// and with 75 slots free the last of them has its first token after 3.4 s (tenfold
/// burst, p95 without this limit: 8 s when routers minded slots alone, 0.76 s for 0.35 s
/// as they choose endpoints now). They wait here instead, where the order is
/// fair and an early refusal is still possible.
///
/// The engines' speed at prefill isn't known and is shared with other routers, so the
/// limit finds it: it grows by one for each limit's worth of first tokens in time, and
/// falls by a fifth when one comes late (additive increase, multiplicative decrease;
/// Chiu and Jain, 1989: routers that share an engine come to equal parts).

#include <cstdint>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

/// Not thread safe.
class PrefillLimit
{
public:
    /// Enough for ten times the design's load of a router (24 requests a second, 50 ms
    /// to the first token) at the start.
    static constexpr double Initial = 16.0;
    /// At so few first tokens are as quick as they get: their times are the yardstick
    /// of a service that is slow by nature.
    static constexpr double Least = 4.0;

    /// \param target first tokens later than this are late, unless the service's own
    ///     time is near it
    explicit PrefillLimit(Interval target);

    /// \param took from sending to the first token
    /// \param starting requests without a first token when it came
    void onFirstToken(Interval took, uint32_t starting, Instant now);
    uint32_t limit() const { return static_cast<uint32_t>(limit_); }
    /// Requests a second that may begin, as things are; 0 while unknown.
    double perSecond() const;

private:
    Interval lateAfter() const;

    Interval target_;
    double limit_ = Initial;
    MovingMean unloadedSeconds_;
    MovingMean seconds_;
    Instant mayFallAt_;
};

} // namespace sequoiagate

#endif
