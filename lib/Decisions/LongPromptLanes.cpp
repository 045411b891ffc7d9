#include "sequoiagate/Decisions/LongPromptLanes.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

namespace {

/// Requests over which shares are taken: enough to see one long in a hundred ten times.
constexpr uint32_t ShareSamples = 1000;
constexpr uint32_t PromptSamples = 100;
/// Before so many short ones were seen nothing is called long.
constexpr uint32_t FewestSamples = 20;

/// Share of their slots that the endpoints of short work may come to by giving lanes up.
constexpr double FullestShort = 0.9;

} // namespace

LongPromptLanes::LongPromptLanes()
    : shortPrompt_(PromptSamples), longShare_(ShareSamples), longPrompt_(PromptSamples)
{}

bool LongPromptLanes::classify(uint64_t promptTokens, Instant now)
{
    const double tokens = static_cast<double>(promptTokens);
    const bool known = shortPrompt_.samples() >= FewestSamples;
    const bool isLong = known && tokens > LongFactor * std::max(shortPrompt_.mean(), 1.0);
    longShare_.add(isLong ? 1.0 : 0.0);
    if (isLong) {
        longPrompt_.add(tokens);
        lanesUntil_ = now + LanesLast;
        return true;
    }
    shortPrompt_.add(tokens);
    return false;
}

std::size_t LongPromptLanes::lanes(std::size_t endpoints, double fill, Instant now) const
{
    if (now >= lanesUntil_ || longPrompt_.samples() == 0) {
        return 0;
    }
    const double longTokens = longShare_.mean() * longPrompt_.mean();
    const double shortTokens = (1.0 - longShare_.mean()) * shortPrompt_.mean();
    const double share = longTokens / std::max(longTokens + shortTokens, 1.0);
    const double count = static_cast<double>(endpoints);
    const double spare = std::clamp(1.0 - fill / FullestShort, 0.0, MostLanes);
    const auto most = static_cast<std::size_t>(count * spare);
    return std::min(most, static_cast<std::size_t>(std::ceil(count * share)));
}

} // namespace sequoiagate
