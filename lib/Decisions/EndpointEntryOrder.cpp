#include "sequoiagate/Decisions/EndpointEntryOrder.h"

namespace sequoiagate {

namespace {

/// The number of a process's first write.
constexpr uint64_t FirstSequence = 1;

} // namespace

EntryVerdict EndpointEntryOrder::onEntry(const EndpointProcess &process, uint64_t sequence,
                                         EntrySource source, Instant now)
{
    const uint64_t startedAt = process.startedAtMillis;
    if (startedAt == 0 || sequence == 0) {
        return EntryVerdict::Holds;
    }
    const auto [found, added] = endpoints_.try_emplace(process.endpoint);
    Endpoint &known = found->second;
    if (added) {
        setKnown(known, startedAt, sequence);
        if (source == EntrySource::Tail && sequence > FirstSequence && !isJustAfterOutage(now)) {
            suspect(known, now);
        }
        return EntryVerdict::Holds;
    }
    const EntryVerdict verdict = compare(known, startedAt, sequence, now);
    if (verdict != EntryVerdict::Holds && source == EntrySource::Snapshot && known.isListed()) {
        suspect(known, now);
    }
    return verdict;
}

EntryVerdict EndpointEntryOrder::compare(Endpoint &known, uint64_t startedAtMillis,
                                         uint64_t sequence, Instant now)
{
    if (startedAtMillis < known.startedAtMillis || startedAtMillis == known.displacedStart) {
        return defer(known, startedAtMillis, sequence, now);
    }
    if (startedAtMillis > known.startedAtMillis) {
        setKnown(known, startedAtMillis, sequence);
        known.displacedStart = 0;
        known.suspectUntil = Instant();
        return EntryVerdict::Holds;
    }
    const bool isRepeated = sequence == known.sequence && known.isListed();
    if (sequence <= known.sequence) {
        return isRepeated ? EntryVerdict::Holds : EntryVerdict::Older;
    }
    setKnown(known, startedAtMillis, sequence);
    if (now >= known.confirmableAt) {
        known.suspectUntil = Instant();
    }
    return EntryVerdict::Holds;
}

EntryVerdict EndpointEntryOrder::defer(Endpoint &known, uint64_t startedAtMillis, uint64_t sequence,
                                       Instant now)
{
    if (!known.earlier || known.earlier->startedAtMillis != startedAtMillis) {
        known.earlier = EarlierProcess{startedAtMillis, sequence, now + EarlierStartDelay};
        return EntryVerdict::Deferred;
    }
    if (sequence <= known.earlier->sequence) {
        return EntryVerdict::Older;
    }
    known.earlier->sequence = sequence;
    return EntryVerdict::Deferred;
}

bool EndpointEntryOrder::takeDue(const EndpointProcess &process, Instant now)
{
    if (!isDeferred(process)) {
        return false;
    }
    Endpoint &known = endpoints_.at(process.endpoint);
    const EarlierProcess earlier = *known.earlier;
    // While the store is silent, no entry of the known process can follow.
    if (now < earlier.dueAt || readAsOf_ < earlier.dueAt) {
        return false;
    }
    known.displacedStart = known.startedAtMillis;
    known.suspectUntil = Instant();
    setKnown(known, earlier.startedAtMillis, earlier.sequence);
    return true;
}

bool EndpointEntryOrder::isDeferred(const EndpointProcess &process) const
{
    const auto found = endpoints_.find(process.endpoint);
    return found != endpoints_.end() && found->second.earlier
           && found->second.earlier->startedAtMillis == process.startedAtMillis;
}

void EndpointEntryOrder::setKnown(Endpoint &endpoint, uint64_t startedAtMillis, uint64_t sequence)
{
    endpoint.startedAtMillis = startedAtMillis;
    endpoint.sequence = sequence;
    endpoint.earlier.reset();
    endpoint.forgetAt = Never;
}

void EndpointEntryOrder::suspect(Endpoint &endpoint, Instant now)
{
    endpoint.suspectUntil = now + SuspicionLifetime;
    lastSuspectUntil_ = endpoint.suspectUntil;
    endpoint.confirmableAt = now + ConfirmationSpan;
}

bool EndpointEntryOrder::isJustAfterOutage(Instant now) const
{
    return storeReturnedAt_ != Instant() && now < storeReturnedAt_ + ReturnSpan;
}

void EndpointEntryOrder::onRemoved(const EndpointId &id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    found->second.earlier.reset();
    if (found->second.isListed()) {
        found->second.forgetAt = now + RemovedLifetime;
        removals_.push_back({id, found->second.forgetAt});
    }
}

void EndpointEntryOrder::setStoreReachable(bool reachable, Instant now)
{
    if (!reachable) {
        hasLostStore_ = true;
        return;
    }
    if (!hasLostStore_) {
        return;
    }
    hasLostStore_ = false;
    storeReturnedAt_ = now;
    for (auto &[id, endpoint] : endpoints_) {
        if (endpoint.earlier) {
            endpoint.earlier->dueAt = now + EarlierStartDelay;
        }
    }
}

void EndpointEntryOrder::dropExpired(Instant now)
{
    while (!removals_.empty()
           && (now >= removals_.front().forgetAt || removals_.size() > MaxRemoved)) {
        const auto found = endpoints_.find(removals_.front().endpoint);
        if (found != endpoints_.end() && found->second.forgetAt == removals_.front().forgetAt) {
            endpoints_.erase(found);
        }
        removals_.pop_front();
    }
}

bool EndpointEntryOrder::isSuspect(const EndpointId &id, Instant now) const
{
    const auto found = endpoints_.find(id);
    return found != endpoints_.end() && now < found->second.suspectUntil;
}

} // namespace sequoiagate
