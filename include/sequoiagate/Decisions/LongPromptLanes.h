#ifndef SEQUOIAGATE_DECISIONS_LONGPROMPTLANES_H
#define SEQUOIAGATE_DECISIONS_LONGPROMPTLANES_H

/// Which prompts are long, and how many endpoints (lanes) are reserved for them.
///
/// Guards against head-of-line blocking by long prompts: one batch request in a hundred
/// with a hundred times the prompt. An engine prefills prompts one after another, so an
/// interactive request behind a long prompt waits seconds for its first token. Spread over
/// all endpoints, the few long prompts would delay requests everywhere. They are therefore
/// sent to a few endpoints, the lanes, which short requests avoid while others have
/// capacity. A hash determines the lanes, so that routers agree on them without
/// communicating.

#include <cstddef>
#include <cstdint>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

/// Not thread safe.
class LongPromptLanes
{
public:
    /// A prompt is long above this many times the mean of the others. One in 3,000 short
    /// prompts of exponentially distributed length exceeds it.
    static constexpr double LongPromptFactor = 8.0;
    /// Upper bound of the lanes' share of the endpoints: short prompts keep most of them,
    /// whatever share of the tokens is long.
    static constexpr double MaxLaneShare = 1.0 / 3.0;
    /// Lanes are released when no long prompt has arrived for this time.
    static constexpr Interval LaneLifetime = std::chrono::seconds(60);

    LongPromptLanes();

    /// Returns whether a prompt is long compared with earlier ones, and adds it to the
    /// statistics.
    bool classify(uint64_t promptTokens, Instant now);
    /// How many of \p endpoints are lanes now: the share of prompt tokens that belongs to
    /// long prompts, limited by MaxLaneShare and by the capacity that short prompts leave;
    /// 0 while all prompts are short.
    /// \param utilization mean share of the slots in use. Short prompts must fit into the
    ///     other endpoints: with a third as lanes at 0.7 they overflowed into the lanes.
    std::size_t laneCount(std::size_t endpoints, double utilization, Instant now) const;

private:
    MovingMean shortPrompt_;
    MovingMean longShare_; ///< of the requests
    MovingMean longPrompt_;
    Instant lanesExpireAt_;
};

} // namespace sequoiagate

#endif
