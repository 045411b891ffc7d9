#include "sequoiagate/Decisions/LinkLoad.h"

#include <algorithm>

namespace sequoiagate {

namespace {

constexpr uint64_t SegmentBytes = 1'448; ///< payload of a full segment
/// Ethernet, IP and TCP with time stamps: an event of 100 bytes takes two thirds more than its
/// size.
constexpr uint64_t HeaderBytes = 66;
constexpr uint64_t SegmentsPerAcknowledgement = 2;

uint64_t segmentsOf(uint64_t bytes)
{
    return bytes / SegmentBytes + 1;
}

} // namespace

void LinkLoad::Direction::add(uint64_t bytes, Instant now, Interval window)
{
    if (now >= windowStart + window) {
        previous = now < windowStart + 2 * window ? current : 0;
        current = 0;
        windowStart = now;
    }
    current += bytes;
}

double LinkLoad::Direction::bytesInWindow(Instant now, Interval window) const
{
    const double windowsElapsed = std::chrono::duration<double>(now - windowStart)
                                  / std::chrono::duration<double>(window);
    if (windowsElapsed >= 2.0) {
        return 0.0;
    }
    if (windowsElapsed >= 1.0) {
        return static_cast<double>(current) * (2.0 - windowsElapsed);
    }
    return static_cast<double>(previous) * (1.0 - windowsElapsed) + static_cast<double>(current);
}

void LinkLoad::onReceived(uint64_t bytes, Instant now)
{
    addMessage(in_, out_, bytes, now);
}

void LinkLoad::onSent(uint64_t bytes, Instant now)
{
    addMessage(out_, in_, bytes, now);
}

void LinkLoad::addMessage(Direction &data, Direction &acknowledgements, uint64_t bytes,
                          Instant now) const
{
    const uint64_t headers = segmentsOf(bytes) * HeaderBytes;
    data.add(bytes + headers, now, settings_.window);
    acknowledgements.add(headers / SegmentsPerAcknowledgement, now, settings_.window);
}

double LinkLoad::share(Instant now) const
{
    if (settings_.bytesPerSecond == 0) {
        return 0.0;
    }
    const double windowCapacity = static_cast<double>(settings_.bytesPerSecond)
                                  * std::chrono::duration<double>(settings_.window).count();
    return std::max(in_.bytesInWindow(now, settings_.window),
                    out_.bytesInWindow(now, settings_.window))
           / windowCapacity;
}

bool LinkLoad::shedding(Instant now)
{
    if (share(now) > settings_.shedThreshold) {
        if (now >= sheddingUntil_) {
            const bool recurred = now < sheddingUntil_ + settings_.recurrenceWindow;
            doublings_ = recurred ? std::min(doublings_ + 1, settings_.maxDoublings) : 0;
        }
        sheddingUntil_ =
                std::max(sheddingUntil_, now + settings_.shedDuration * (1U << doublings_));
    }
    return now < sheddingUntil_;
}

bool LinkLoad::refuses(uint64_t bytes, Instant now) const
{
    return bytes >= settings_.minRefusedBytes && share(now) > settings_.refuseThreshold;
}

} // namespace sequoiagate
