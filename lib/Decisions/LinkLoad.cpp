#include "sequoiagate/Decisions/LinkLoad.h"

#include <algorithm>

namespace sequoiagate {

void LinkLoad::Direction::add(uint64_t bytes, Instant now, Interval window)
{
    if (now >= begun + window) {
        previous = now < begun + 2 * window ? current : 0;
        current = 0;
        begun = now;
    }
    current += bytes;
}

double LinkLoad::Direction::over(Instant now, Interval window) const
{
    const double passed =
            std::chrono::duration<double>(now - begun) / std::chrono::duration<double>(window);
    if (passed >= 2.0) {
        return 0.0;
    }
    if (passed >= 1.0) {
        return static_cast<double>(current) * (2.0 - passed);
    }
    return static_cast<double>(previous) * (1.0 - passed) + static_cast<double>(current);
}

double LinkLoad::share(Instant now) const
{
    if (settings_.bytesPerSecond == 0) {
        return 0.0;
    }
    const double room = static_cast<double>(settings_.bytesPerSecond)
                        * std::chrono::duration<double>(settings_.window).count();
    return std::max(in_.over(now, settings_.window), out_.over(now, settings_.window)) / room;
}

bool LinkLoad::shedding(Instant now)
{
    if (share(now) > settings_.shedAbove) {
        if (now >= sheddingUntil_) {
            const bool cameBack = now < sheddingUntil_ + settings_.settledAfter;
            doublings_ = cameBack ? std::min(doublings_ + 1, settings_.mostDoublings) : 0;
        }
        sheddingUntil_ = std::max(sheddingUntil_, now + settings_.shedFor * (1U << doublings_));
    }
    return now < sheddingUntil_;
}

bool LinkLoad::refuses(uint64_t bytes, Instant now) const
{
    return bytes >= settings_.largeBytes && share(now) > settings_.refuseAbove;
}

} // namespace sequoiagate
