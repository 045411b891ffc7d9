#include "sequoiagate/Keeper/AppendQueue.h"

#include <algorithm>
#include <cassert>

namespace sequoiagate {

/// A batch's size is bounded, so that a long outage's backlog doesn't become one
/// request that times out for ever.
static constexpr std::size_t MaximumBatch = 500;

AppendQueue::AppendQueue(Incarnation writer, HostId host, Interval retryAfter)
    : writer_(std::move(writer)), host_(std::move(host)), retryAfter_(retryAfter)
{}

uint64_t AppendQueue::push(wire::Record record, Instant sendBy, WallTime wall)
{
    record.set_writer(writer_.text());
    record.set_sequence(nextSequence_);
    record.set_host(host_.text());
    const auto sinceEpoch = wall.time_since_epoch();
    record.set_wall_us(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
    entries_.push_back({nextSequence_, record.SerializeAsString(), sendBy, Progress::Waiting});
    return nextSequence_++;
}

std::vector<std::string> AppendQueue::takeBatch(Instant now)
{
    std::vector<std::string> batch;
    if (nextDeadline() > now) {
        return batch;
    }
    for (Entry &entry : entries_) {
        if (entry.progress == Progress::Acknowledged) {
            continue;
        }
        if (batch.size() == MaximumBatch) {
            break;
        }
        batch.push_back(entry.data);
        entry.progress = Progress::InFlight;
    }
    inFlight_ = !batch.empty();
    return batch;
}

void AppendQueue::onAcknowledged()
{
    assert(inFlight_ && "an answer without a batch");
    inFlight_ = false;
    for (Entry &entry : entries_) {
        if (entry.progress == Progress::InFlight) {
            entry.progress = Progress::Acknowledged;
        }
    }
}

void AppendQueue::onFailed(Instant now)
{
    assert(inFlight_ && "an answer without a batch");
    inFlight_ = false;
    notBefore_ = now + retryAfter_;
    for (Entry &entry : entries_) {
        if (entry.progress == Progress::InFlight) {
            entry.progress = Progress::Unsure;
        }
    }
}

void AppendQueue::dropFolded(const std::function<bool(uint64_t)> &isFolded)
{
    while (!entries_.empty() && isFolded(entries_.front().sequence)) {
        entries_.pop_front();
    }
}

bool AppendQueue::withdraw(uint64_t sequence)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const Entry &entry) { return entry.sequence == sequence; });
    if (found == entries_.end()) {
        return false;
    }
    const bool neverSent = found->progress == Progress::Waiting;
    entries_.erase(found);
    return neverSent;
}

Instant AppendQueue::nextDeadline() const
{
    if (inFlight_) {
        return Never;
    }
    Instant due = Never;
    for (const Entry &entry : entries_) {
        if (entry.progress == Progress::Unsure) {
            due = std::min(due, notBefore_);
        } else if (entry.progress == Progress::Waiting) {
            due = std::min(due, entry.sendBy);
        }
    }
    return due == Never ? Never : std::max(due, notBefore_);
}

} // namespace sequoiagate
