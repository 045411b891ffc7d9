#include "sequoiagate/Decisions/Admission.h"

#include <algorithm>

namespace sequoiagate {

Admission::Admission(AdmissionSettings settings) : settings_(settings), jitter_(settings.seed) {}

AdmissionOutcome Admission::offer(const WorkItem &item, Instant now)
{
    if (queue_.empty() && inFlight_.size() < settings_.slots) {
        inFlight_.insert(item.request);
        return Admitted{item.request};
    }
    if (queue_.size() >= settings_.queueLimit) {
        return Verdict{Execution::NotRun, Reason::QueueFull, "the queue is full", comeBackAt(now)};
    }
    const Instant until = std::min(item.deadline, now + settings_.maximumWait);
    queue_.push_back({item, until});
    return Queued{until};
}

void Admission::finished(const RequestId &request, uint64_t /*tokensServed*/, Instant /*now*/)
{
    inFlight_.erase(request);
}

void Admission::cancelled(const RequestId &request, Instant /*now*/)
{
    std::erase_if(queue_, [&](const Waiting &waiting) { return waiting.item.request == request; });
}

void Admission::setSlots(uint32_t slots, Instant /*now*/)
{
    settings_.slots = slots;
}

std::vector<QueueRelease> Admission::poll(Instant now)
{
    std::vector<QueueRelease> released;
    for (const Waiting &waiting : queue_) {
        if (waiting.until > now) {
            continue;
        }
        released.push_back({waiting.item.request, false,
                            Verdict{Execution::NotRun, Reason::QueueTimeout,
                                    "it waited until its deadline", comeBackAt(now)}});
    }
    std::erase_if(queue_, [&](const Waiting &waiting) { return waiting.until <= now; });
    admitWaiting(released);
    return released;
}

void Admission::admitWaiting(std::vector<QueueRelease> &released)
{
    while (!queue_.empty() && inFlight_.size() < settings_.slots) {
        const RequestId request = queue_.front().item.request;
        queue_.pop_front();
        inFlight_.insert(request);
        released.push_back({request, true, {}});
    }
}

Instant Admission::nextDeadline() const
{
    Instant next = Never;
    for (const Waiting &waiting : queue_) {
        next = std::min(next, waiting.until);
    }
    return next;
}

uint32_t Admission::inFlight() const
{
    return static_cast<uint32_t>(inFlight_.size());
}

uint32_t Admission::waiting() const
{
    return static_cast<uint32_t>(queue_.size());
}

Instant Admission::comeBackAt(Instant now)
{
    std::uniform_int_distribution<int> spread(500, 1500);
    return now + Millis(spread(jitter_));
}

} // namespace sequoiagate
