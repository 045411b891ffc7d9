#include "sequoiagate/Decisions/LongPromptLanes.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

namespace {

/// Requests over which shares are averaged: enough to see ten long prompts at one in a hundred.
constexpr uint32_t ShareSamples = 1000;
constexpr uint32_t PromptSamples = 100;
/// No prompt counts as long before this many short ones were seen.
constexpr uint32_t MinSamples = 20;

/// Utilization that the remaining endpoints may reach when some become lanes.
constexpr double MaxShortUtilization = 0.9;

} // namespace

LongPromptLanes::LongPromptLanes()
    : shortPrompt_(PromptSamples), longShare_(ShareSamples), longPrompt_(PromptSamples)
{}

bool LongPromptLanes::classify(uint64_t promptTokens, Instant now)
{
    const double tokens = static_cast<double>(promptTokens);
    const bool hasBaseline = shortPrompt_.samples() >= MinSamples;
    const bool isLong =
            hasBaseline && tokens > LongPromptFactor * std::max(shortPrompt_.mean(), 1.0);
    longShare_.add(isLong ? 1.0 : 0.0);
    if (isLong) {
        longPrompt_.add(tokens);
        lanesExpireAt_ = now + LaneLifetime;
        return true;
    }
    shortPrompt_.add(tokens);
    return false;
}

std::size_t LongPromptLanes::laneCount(std::size_t endpoints, double utilization, Instant now) const
{
    if (now >= lanesExpireAt_ || longPrompt_.samples() == 0) {
        return 0;
    }
    const double longTokens = longShare_.mean() * longPrompt_.mean();
    const double shortTokens = (1.0 - longShare_.mean()) * shortPrompt_.mean();
    const double share = longTokens / std::max(longTokens + shortTokens, 1.0);
    const double count = static_cast<double>(endpoints);
    const double spareShare =
            std::clamp(1.0 - utilization / MaxShortUtilization, 0.0, MaxLaneShare);
    const auto maxLanes = static_cast<std::size_t>(count * spareShare);
    return std::min(maxLanes, static_cast<std::size_t>(std::ceil(count * share)));
}

} // namespace sequoiagate
