#include "sequoiagate/Proxy/BufferBudget.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace sequoiagate {

namespace {

/// The part of a process's memory that may be buffered. Strings that grow take up to twice their
/// size, and the rest of the memory is for code, tables and connections.
constexpr std::size_t MemoryPerBuffered = 3;

/// A request's body is kept for a retry while its copy is being sent.
constexpr std::size_t BytesPerBody = 2;

/// A body that needs more than this part of the share counts as large.
constexpr std::size_t LargeBodyDivisor = 8;

/// How long a caller needs for its queue, as far as it has shown; the longest time is the slowest.
double expectedSeconds(std::size_t unread, std::size_t taken, Interval behindFor, Interval idleFor)
{
    const double seconds = std::chrono::duration<double>(behindFor).count();
    const double idle = std::chrono::duration<double>(idleFor).count();
    if (taken == 0) {
        return std::numeric_limits<double>::infinity();
    }
    return std::max(seconds * static_cast<double>(unread) / static_cast<double>(taken), idle);
}

void subtract(BufferUse &total, const BufferUse &use)
{
    total.unread -= use.unread;
    total.body -= use.body;
    total.other -= use.other;
}

void add(BufferUse &total, const BufferUse &use)
{
    total.unread += use.unread;
    total.body += use.body;
    total.other += use.other;
}

} // namespace

BufferBudgetSettings BufferBudgetSettings::forProcess(std::size_t memoryBytes)
{
    BufferBudgetSettings settings;
    settings.limitBytes = memoryBytes / MemoryPerBuffered;
    return settings;
}

std::size_t BufferBudget::shareOf(double share) const
{
    return static_cast<std::size_t>(static_cast<double>(settings_.limitBytes) * share);
}

BufferBudget::Id BufferBudget::add(BufferHolder &holder)
{
    entries_[++lastId_].holder = &holder;
    return lastId_;
}

void BufferBudget::remove(Id id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    endBody(id);
    endPause(id);
    bodiesShrank_ = bodiesShrank_ || found->second.use.body > 0;
    subtract(total_, found->second.use);
    entries_.erase(found);
}

void BufferBudget::update(Id id, const BufferUse &use, Instant now)
{
    Entry &entry = entries_.at(id);
    if (entry.use.unread == 0 && use.unread > 0) {
        entry.taken = 0;
        entry.behindSince = now;
        entry.lastTakenAt = now;
    }
    setUse(entry, use);
}

void BufferBudget::setUse(Entry &entry, const BufferUse &use)
{
    BufferUse counted = use;
    counted.body = std::max(use.body, entry.reserved);
    bodiesShrank_ = bodiesShrank_ || counted.body < entry.use.body;
    subtract(total_, entry.use);
    sequoiagate::add(total_, counted);
    entry.use = counted;
}

void BufferBudget::onTaken(Id id, std::size_t bytes, Instant now)
{
    Entry &entry = entries_.at(id);
    entry.taken += bytes;
    entry.lastTakenAt = now;
}

std::size_t BufferBudget::queueLimit() const
{
    const std::size_t from = shareOf(settings_.pauseShare);
    const std::size_t to = shareOf(settings_.shortestShare);
    if (total_.unread <= from) {
        return settings_.maxQueueBytes;
    }
    if (total_.unread >= to) {
        return settings_.minQueueBytes;
    }
    const double left = static_cast<double>(to - total_.unread) / static_cast<double>(to - from);
    const auto range = static_cast<double>(settings_.maxQueueBytes - settings_.minQueueBytes);
    return settings_.minQueueBytes + static_cast<std::size_t>(range * left);
}

bool BufferBudget::pauseIfFull(Id id)
{
    Entry &entry = entries_.at(id);
    if (entry.use.unread <= queueLimit()) {
        return false;
    }
    paused_ += entry.isPaused ? 0 : 1;
    entry.isPaused = true;
    resumeLimit_ = std::min(resumeLimit_, 2 * entry.use.unread);
    return true;
}

bool BufferBudget::mayResume(const Entry &entry) const
{
    return entry.use.unread <= queueLimit() / 2;
}

bool BufferBudget::resumeIfRoom(Id id)
{
    Entry &entry = entries_.at(id);
    if (entry.isPaused && mayResume(entry)) {
        endPause(id);
    }
    return !entry.isPaused;
}

void BufferBudget::endPause(Id id)
{
    Entry &entry = entries_.at(id);
    paused_ -= entry.isPaused ? 1 : 0;
    entry.isPaused = false;
}

bool BufferBudget::isLarge(std::size_t bodyBytes) const
{
    return BytesPerBody * bodyBytes > shareOf(settings_.bodyShare) / LargeBodyDivisor;
}

std::size_t BufferBudget::bodyLimit(std::size_t bytes) const
{
    return shareOf(isLarge(bytes) ? settings_.bodyShare : settings_.smallBodyShare);
}

bool BufferBudget::admitBody(Id id, std::size_t bytes)
{
    Entry &entry = entries_.at(id);
    if (entry.reserved > 0) {
        return true;
    }
    std::vector<Id> &waiting = waiting_[isLarge(bytes)];
    const std::size_t others = total_.body - entry.use.body;
    const std::size_t needed = std::max(entry.use.body, BytesPerBody * bytes);
    const bool isNext = waiting.empty() || waiting.front() == id;
    // One that exceeds the limit by itself could never be sent otherwise.
    if (others == 0 || (isNext && others + needed <= bodyLimit(bytes))) {
        std::erase(waiting, id);
        entry.reserved = std::max<std::size_t>(needed, 1);
        setUse(entry, entry.use);
        return true;
    }
    if (!isWaiting(id)) {
        waiting.push_back(id);
    }
    return false;
}

void BufferBudget::endBody(Id id)
{
    entries_.at(id).reserved = 0;
    for (auto &[isLarge, ids] : waiting_) {
        // The next one in the queue may fit where this one didn't.
        bodiesShrank_ = std::erase(ids, id) > 0 || bodiesShrank_;
    }
}

bool BufferBudget::isWaiting(Id id) const
{
    return std::any_of(waiting_.begin(), waiting_.end(), [id](const auto &queue) {
        return std::find(queue.second.begin(), queue.second.end(), id) != queue.second.end();
    });
}

std::size_t BufferBudget::waiting() const
{
    std::size_t sum = 0;
    for (const auto &[isLarge, ids] : waiting_) {
        sum += ids.size();
    }
    return sum;
}

std::size_t BufferBudget::otherLimit() const
{
    const std::size_t share = shareOf(settings_.otherShare);
    const std::size_t room = share - std::min(share, total_.other);
    return std::clamp(room, settings_.minOtherBytes, settings_.maxOtherBytes);
}

bool BufferBudget::needsAction() const
{
    return total_.unread > cutOffLimit() || (paused_ > 0 && queueLimit() >= resumeLimit_)
           || (bodiesShrank_ && waiting() > 0);
}

std::optional<BufferBudget::Id> BufferBudget::slowest(Instant now) const
{
    // Whether it was behind for long enough to tell, the time it needs, and what closing it frees.
    using Rank = std::tuple<bool, double, std::size_t>;
    std::optional<Id> slowest;
    Rank highest{};
    for (const auto &[id, entry] : entries_) {
        if (entry.use.unread == 0) {
            continue;
        }
        const Interval behindFor = now - entry.behindSince;
        const bool isKnown =
                behindFor >= settings_.minTimeBehind && entry.use.unread > settings_.minQueueBytes;
        const double seconds = isKnown ? expectedSeconds(entry.use.unread, entry.taken, behindFor,
                                                         now - entry.lastTakenAt)
                                       : 0;
        const Rank rank{isKnown, seconds, entry.use.unread};
        if (!slowest || rank > highest) {
            slowest = id;
            highest = rank;
        }
    }
    return slowest;
}

bool BufferBudget::cutOffSlowest(Instant now)
{
    if (total_.unread <= cutOffLimit()) {
        return false;
    }
    const std::optional<Id> id = slowest(now);
    if (!id) {
        return false;
    }
    const Entry entry = entries_.at(*id);
    const BufferCutOff figures{entry.use.unread, total_.unread,           cutOffLimit(),
                               entry.taken,      now - entry.behindSince, now - entry.lastTakenAt};
    remove(*id);
    entry.holder->onCutOff(figures);
    return true;
}

std::vector<BufferBudget::Id> BufferBudget::takeNotifiable()
{
    std::vector<Id> ids;
    if (bodiesShrank_) {
        for (const auto &[isLarge, waiting] : waiting_) {
            ids.insert(ids.end(), waiting.begin(), waiting.end());
        }
        bodiesShrank_ = false;
    }
    if (paused_ == 0 || queueLimit() < resumeLimit_) {
        return ids;
    }
    resumeLimit_ = SIZE_MAX;
    for (const auto &[id, entry] : entries_) {
        if (entry.isPaused && mayResume(entry)) {
            ids.push_back(id);
        } else if (entry.isPaused) {
            resumeLimit_ = std::min(resumeLimit_, 2 * entry.use.unread);
        }
    }
    return ids;
}

void BufferBudget::act(Instant now)
{
    while (cutOffSlowest(now)) {
    }
    for (const Id id : takeNotifiable()) {
        // A holder that was notified before may have ended this one.
        const auto found = entries_.find(id);
        if (found != entries_.end()) {
            found->second.holder->onBufferRoom();
        }
    }
}

} // namespace sequoiagate
