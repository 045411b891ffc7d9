#include "sequoiagate/Decisions/PrefillLimit.h"

#include <algorithm>

namespace sequoiagate {

namespace {

constexpr uint32_t Samples = 32;
constexpr double DecreaseFactor = 0.8;
/// A first token is late after this many times the time an unloaded endpoint takes.
constexpr double LateFactor = 3.0;
/// Far above what any engine can use; bounds the growth of the limit under light load.
constexpr double MaxLimit = 4096.0;

} // namespace

PrefillLimit::PrefillLimit(Interval target)
    : target_(target), unloadedSeconds_(Samples), firstTokenSeconds_(Samples)
{}

Interval PrefillLimit::latenessThreshold() const
{
    return std::max(target_, intervalOf(LateFactor * unloadedSeconds_.mean()));
}

void PrefillLimit::onFirstToken(Interval latency, uint32_t prefilling, Instant now)
{
    firstTokenSeconds_.add(secondsOf(latency));
    if (prefilling <= MinLimit) {
        unloadedSeconds_.add(secondsOf(latency));
    }
    if (latency <= latenessThreshold()) {
        // First tokens on time confirm the limit only if at least half of it is in use.
        const bool isUsed = 2.0 * prefilling >= limit_;
        limit_ = isUsed ? std::min(limit_ + 1.0 / limit_, MaxLimit) : limit_;
        return;
    }
    if (now < nextDecreaseAt_) {
        return;
    }
    limit_ = std::max(limit_ * DecreaseFactor, MinLimit);
    // Requests in flight were sent under the old limit: ignore that they are late.
    nextDecreaseAt_ = now + latency;
}

double PrefillLimit::startsPerSecond() const
{
    constexpr double MinSeconds = 1e-3;
    return firstTokenSeconds_.samples() == 0
                   ? 0.0
                   : limit_ / std::max(firstTokenSeconds_.mean(), MinSeconds);
}

} // namespace sequoiagate
