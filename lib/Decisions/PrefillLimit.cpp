#include "sequoiagate/Decisions/PrefillLimit.h"

#include <algorithm>

namespace sequoiagate {

namespace {

constexpr uint32_t Samples = 32;
constexpr double Fall = 0.8;
/// A first token is late at this many times what an unloaded endpoint takes.
constexpr double LateFactor = 3.0;
/// Far above any engine's use; keeps an idle spell of growth from making it endless.
constexpr double Most = 4096.0;

} // namespace

PrefillLimit::PrefillLimit(Interval target)
    : target_(target), unloadedSeconds_(Samples), seconds_(Samples)
{}

Interval PrefillLimit::lateAfter() const
{
    return std::max(target_, intervalOf(LateFactor * unloadedSeconds_.mean()));
}

void PrefillLimit::onFirstToken(Interval took, uint32_t starting, Instant now)
{
    seconds_.add(secondsOf(took));
    if (starting <= Least) {
        unloadedSeconds_.add(secondsOf(took));
    }
    if (took <= lateAfter()) {
        // Only a limit that is used is known to be good.
        const bool used = 2.0 * starting >= limit_;
        limit_ = used ? std::min(limit_ + 1.0 / limit_, Most) : limit_;
        return;
    }
    if (now < mayFallAt_) {
        return;
    }
    limit_ = std::max(limit_ * Fall, Least);
    // What is under way was sent under the old limit: its lateness is no news.
    mayFallAt_ = now + took;
}

double PrefillLimit::perSecond() const
{
    constexpr double Shortest = 1e-3;
    return seconds_.samples() == 0 ? 0.0 : limit_ / std::max(seconds_.mean(), Shortest);
}

} // namespace sequoiagate
