#ifndef SEQUOIAGATE_DECISIONS_LONGPROMPTLANES_H
#define SEQUOIAGATE_DECISIONS_LONGPROMPTLANES_H

/// Which endpoints take long work, and what long is.
///
/// Answers long work among short: one Assessment in a hundred requests with a hundred
/// times the prompt. An engine prefills prompts one after another, so a Chat Turn that
/// lands behind an Assessment waits seconds for its first token. Spread over all
/// endpoints, the few long prompts are in the way everywhere. They are therefore sent
/// to a few endpoints, their lanes, which short work avoids while others have room.
/// Lanes follow from a hash, so that routers agree on them without a word.

#include <cstddef>
#include <cstdint>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

/// Not thread safe.
class LongPromptLanes
{
public:
    /// A prompt is long from so many times the mean of the others. Short prompts that
    /// vary as exponential ones do exceed it once in 3,000.
    static constexpr double LongFactor = 8.0;
    /// Lanes stay below this share of the endpoints: short work keeps most of them,
    /// whatever share of the tokens is long.
    static constexpr double MostLanes = 1.0 / 3.0;
    /// Lanes end when no long work came for so long.
    static constexpr Interval LanesLast = std::chrono::seconds(60);

    LongPromptLanes();

    /// Whether a prompt is long beside those seen before, and learns from it.
    bool classify(uint64_t promptTokens, Instant now);
    /// How many of \p endpoints are lanes now: the share of the prompt tokens that is
    /// long, up to MostLanes and to what short work leaves; none while all work is short.
    /// \param fill mean share of the slots in use. Short work must fit into the others:
    ///     with a third as lanes at 0.7 it overflowed into them.
    std::size_t lanes(std::size_t endpoints, double fill, Instant now) const;

private:
    MovingMean shortPrompt_;
    MovingMean longShare_; ///< of the requests
    MovingMean longPrompt_;
    Instant lanesUntil_;
};

} // namespace sequoiagate

#endif
