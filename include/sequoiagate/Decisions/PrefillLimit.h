#ifndef SEQUOIAGATE_DECISIONS_PREFILLLIMIT_H
#define SEQUOIAGATE_DECISIONS_PREFILLLIMIT_H

/// Adaptive limit of the requests in prefill: sent, but without a first token.
///
/// Guards against a burst that arrives while slots are free. Slots bound the streams, but
/// all requests of a burst would start at the same moment: an engine prefills one prompt
/// after another, and with 75 free slots the last of them gets its first token after 3.4 s
/// (tenfold burst, p95 without this limit: 8 s when routers considered slots alone, and
/// 0.76 s instead of 0.35 s with EndpointSelector). With the limit they wait in this
/// router's queue instead, where the order is fair and an early refusal is still possible.
///
/// The engines' prefill throughput isn't known and is shared with other routers, so the
/// limit adapts to it: it grows by one for each limit's worth of first tokens that are on
/// time, and falls by a fifth when one is late (additive increase, multiplicative decrease;
/// Chiu and Jain, 1989: routers that share an engine converge to equal shares).

#include <cstdint>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

/// Not thread safe.
class PrefillLimit
{
public:
    /// Initially enough for ten times a router's load at the design size (24 requests a
    /// second, 50 ms to the first token).
    static constexpr double InitialLimit = 16.0;
    /// With so few requests in prefill, first tokens are as fast as they can be: their
    /// times are the reference for a service that is inherently slow.
    static constexpr double MinLimit = 4.0;

    /// \param target first tokens later than this are late, unless the service's unloaded
    ///     time is near it
    explicit PrefillLimit(Interval target);

    /// \param latency from sending to the first token
    /// \param prefilling requests without a first token when it arrived
    void onFirstToken(Interval latency, uint32_t prefilling, Instant now);
    uint32_t limit() const { return static_cast<uint32_t>(limit_); }
    /// Requests per second that may start prefill at the current limit; 0 while unknown.
    double startsPerSecond() const;

private:
    Interval latenessThreshold() const;

    Interval target_;
    double limit_ = InitialLimit;
    MovingMean unloadedSeconds_;
    MovingMean firstTokenSeconds_;
    Instant nextDecreaseAt_;
};

} // namespace sequoiagate

#endif
