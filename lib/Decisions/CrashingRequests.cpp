#include "sequoiagate/Decisions/CrashingRequests.h"

#include <algorithm>
#include <utility>

namespace sequoiagate {

namespace {

struct ScopeRule
{
    RequestScope scope;
    std::size_t lossesToRefuse;
    Interval firstRefusal;
    bool isOneRequest; ///< whether a key stands for one request, not for several alike
};

/// Refusing a session costs its caller more than refusing one request. A request without a prompt
/// may be that of many callers, so that it is soon allowed again.
constexpr ScopeRule ScopeRules[] = {
        {RequestScope::WithPrompt, 3, std::chrono::minutes(30), true},
        {RequestScope::WithoutPrompt, 3, CrashingRequests::RefusalOfAnswered, false},
        {RequestScope::Session, 6, std::chrono::minutes(30), false},
};

/// The growth of refusals, as a power of two.
constexpr uint32_t RefusalGrowthBits = 2;
constexpr uint32_t MaxGrowthSteps = 8;

/// Of the endpoints that were lost meanwhile, as many at most were lost under a request in a herd.
constexpr std::size_t MaxPercentInHerd = 60;

constexpr Interval BroadcastPeriod = std::chrono::seconds(1);
constexpr Interval DropInterval = std::chrono::seconds(1);

const ScopeRule &ruleOf(RequestScope scope)
{
    return ScopeRules[static_cast<std::size_t>(scope)];
}

bool isLater(const std::optional<Instant> &a, const std::optional<Instant> &b)
{
    return a && (!b || *b < *a);
}

Instant lastLoss(const RequestLosses &known)
{
    Instant last{};
    for (const auto &[process, loss] : known.losses) {
        last = std::max(last, loss.at);
    }
    return last;
}

/// Adds the parts of an attempt: those of another service have other keys.
void noteParts(RequestLosses &known, const std::vector<PartKey> &parts)
{
    for (const PartKey part : parts) {
        const auto end = known.sharedParts.end();
        const bool isKnown = std::find(known.sharedParts.begin(), end, part) != end;
        if (!isKnown && known.sharedParts.size() < CrashingRequests::MaxSharedParts) {
            known.sharedParts.push_back(part);
        }
    }
}

Instant firstLoss(const RequestLosses &known)
{
    Instant first = Never;
    for (const auto &[process, loss] : known.losses) {
        first = std::min(first, loss.at);
    }
    return first;
}

} // namespace

void CrashingRequests::setHosts(const std::vector<HostPlace> &others, Instant now)
{
    std::set<HostId> hosts;
    std::set<HostId> added;
    for (const HostPlace &place : others) {
        hosts.insert(place.host);
        if (hosts_.count(place.host) == 0) {
            added.insert(place.host);
        }
    }
    hosts_ = std::move(hosts);
    placement_.setHosts(others);
    reportToAdded(added, now);
}

std::size_t CrashingRequests::lossesToRefuse(RequestScope scope)
{
    return ruleOf(scope).lossesToRefuse;
}

std::size_t CrashingRequests::countLosses(const RequestLosses &known)
{
    if (ruleOf(known.scope).isOneRequest) {
        return known.losses.size();
    }
    std::vector<RequestLoss> order;
    for (const auto &[process, loss] : known.losses) {
        order.push_back(loss);
    }
    std::sort(order.begin(), order.end(),
              [](const RequestLoss &a, const RequestLoss &b) { return a.at < b.at; });
    std::size_t count = 0;
    Instant last{};
    for (const RequestLoss &loss : order) {
        if (count == 0 || loss.sentAt + AgeTolerance >= last) {
            ++count;
            last = loss.at;
        }
    }
    return count;
}

void CrashingRequests::onAnswered(const RequestIdentity &identity, Instant now)
{
    if (answered_.size() >= MaxAnswered) {
        answeredBefore_ = std::exchange(answered_, {});
    }
    for (const RequestKey key : {identity.request, identity.session}) {
        if (key == 0) {
            continue;
        }
        answered_[key] = now;
        const auto known = records_.find(key);
        if (known == records_.end()) {
            continue;
        }
        const bool wasRefused = now < known->second.refusedUntil;
        known->second.answeredAt = now;
        clearAnswered(known->second);
        if (wasRefused) {
            broadcastOrReport(known->second, now);
        }
    }
}

void CrashingRequests::onEndpointLost(const RequestIdentity &identity,
                                      const EndpointProcess &process, Instant sentAt, Instant now)
{
    dropOld(now);
    const RequestLoss loss{sentAt, now};
    const bool hasPrompt = identity.session != 0;
    const RequestLosses &request = addLoss(
            identity.request, hasPrompt ? RequestScope::WithPrompt : RequestScope::WithoutPrompt,
            identity, process, loss);
    tell(request, now);
    if (!hasPrompt) {
        return;
    }
    const std::size_t lossesOfRequest = request.losses.size();
    const RequestLosses &session =
            addLoss(identity.session, RequestScope::Session, identity, process, loss);
    if (session.losses.size() > lossesOfRequest) {
        tell(session, now);
    } else {
        report(session);
    }
}

RequestLosses &CrashingRequests::addLoss(RequestKey key, RequestScope scope,
                                         const RequestIdentity &identity,
                                         const EndpointProcess &process, const RequestLoss &loss)
{
    RequestLosses &known = record(key, scope, loss.at);
    known.service = identity.service;
    noteParts(known, identity.sharedParts);
    noteLoss(known, process, loss);
    review(known, loss.at);
    return known;
}

void CrashingRequests::tell(const RequestLosses &known, Instant now)
{
    if (known.losses.size() < LossesToBroadcast) {
        report(known);
        return;
    }
    broadcastOrReport(known, now);
}

void CrashingRequests::broadcastOrReport(const RequestLosses &known, Instant now)
{
    renewBroadcastPeriod(now);
    // Refusals matter more than what may lead to one.
    const std::size_t limit =
            now < known.refusedUntil ? 2 * MaxBroadcastDatagrams : MaxBroadcastDatagrams;
    if (broadcastDatagrams_ > 0 && broadcastDatagrams_ + hosts_.size() > limit) {
        report(known);
        return;
    }
    broadcastDatagrams_ += hosts_.size();
    broadcast(known);
}

void CrashingRequests::renewBroadcastPeriod(Instant now)
{
    if (now >= broadcastPeriodEnd_) {
        broadcastPeriodEnd_ = now + BroadcastPeriod;
        broadcastDatagrams_ = 0;
    }
}

std::vector<HostId> CrashingRequests::recordHolders(RequestKey key) const
{
    std::vector<HostId> holders;
    const std::size_t replicas = placement_.replicasPerDomain();
    for (const ReplicaCandidates &hosts : placement_.candidates(key)) {
        for (std::size_t i = 0; i < std::min(replicas, hosts.size()); ++i) {
            holders.push_back(hosts[i]);
        }
    }
    return holders;
}

void CrashingRequests::report(const RequestLosses &known)
{
    for (const HostId &host : recordHolders(known.key)) {
        sendReport(host, known);
    }
}

void CrashingRequests::reportToAdded(const std::set<HostId> &added, Instant now)
{
    if (added.empty() || records_.empty()) {
        return;
    }
    renewBroadcastPeriod(now);
    for (const auto &[key, known] : records_) {
        if (known.losses.empty()) {
            continue;
        }
        for (const HostId &host : recordHolders(key)) {
            if (broadcastDatagrams_ >= MaxBroadcastDatagrams) {
                return;
            }
            if (added.count(host) > 0) {
                ++broadcastDatagrams_;
                sendReport(host, known);
            }
        }
    }
}

RequestLosses &CrashingRequests::record(RequestKey key, RequestScope scope, Instant now)
{
    const auto found = records_.find(key);
    if (found != records_.end()) {
        return found->second;
    }
    if (records_.size() >= MaxRecords) {
        dropOldestRecords(now);
    }
    RequestLosses &known = records_[key];
    known.key = key;
    known.scope = scope;
    known.answeredAt = answeredAt(key);
    return known;
}

void CrashingRequests::dropOldestRecords(Instant now)
{
    using Rank = std::pair<bool, Instant>;
    std::vector<std::pair<Rank, RequestKey>> order;
    order.reserve(records_.size());
    for (const auto &[key, known] : records_) {
        order.push_back({{now < known.refusedUntil, lastLoss(known)}, key});
    }
    // Several at a time, since finding them takes a look at all.
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(order.size() / 4);
    std::nth_element(order.begin(), end, order.end());
    std::for_each(order.begin(), end, [this](const auto &entry) {
        broadcasts_.erase(entry.second);
        records_.erase(entry.second);
    });
}

std::optional<Instant> CrashingRequests::answeredAt(RequestKey key) const
{
    for (const auto *generation : {&answered_, &answeredBefore_}) {
        const auto found = generation->find(key);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

void CrashingRequests::clearAnswered(RequestLosses &known)
{
    if (!known.answeredAt) {
        return;
    }
    std::erase_if(known.losses,
                  [&known](const auto &loss) { return loss.second.at <= *known.answeredAt; });
    if (countLosses(known) < lossesToRefuse(known.scope)) {
        known.refusals = 0;
        known.refusedUntil = {};
    }
}

CrashingRequests::Change CrashingRequests::merge(RequestLosses &known, const RequestLosses &other,
                                                 Instant now)
{
    const RequestLosses before = known;
    if (isLater(other.answeredAt, known.answeredAt)) {
        known.answeredAt = other.answeredAt;
    }
    noteParts(known, other.sharedParts);
    // A kept refusal names none.
    if (other.service != 0) {
        known.service = other.service;
    }
    for (const auto &[process, loss] : other.losses) {
        noteLoss(known, process, loss);
    }
    if (other.refusals > known.refusals) {
        known.refusals = other.refusals;
        known.refusedUntil = other.refusedUntil;
    } else if (other.refusals == known.refusals) {
        known.refusedUntil = std::max(known.refusedUntil, other.refusedUntil);
    }
    clearAnswered(known);
    if (now < known.refusedUntil && now >= before.refusedUntil) {
        onRefused(known);
    }
    return {known.losses != before.losses && !known.losses.empty(),
            isLater(known.answeredAt, before.answeredAt)};
}

void CrashingRequests::review(RequestLosses &known, Instant now)
{
    // Losses of requests that were under way when it was refused don't lengthen the refusal.
    const bool isNew = known.refusals == 0 || lastLoss(known) >= known.refusedUntil;
    if (now < known.refusedUntil || !isNew || countLosses(known) < lossesToRefuse(known.scope)) {
        return;
    }
    ++known.refusals;
    known.refusedUntil = now + refusalTime(known);
    broadcasts_.try_emplace(known.key, now + ResendDelay);
    onRefused(known);
    if (onDecided && known.refusedUntil >= now + LongRefusal) {
        onDecided(known);
    }
}

bool CrashingRequests::isInHerd(const RequestLosses &known) const
{
    const auto processes = lostProcesses_.find(known.service);
    if (processes == lostProcesses_.end()) {
        return false;
    }
    const Instant first = firstLoss(known);
    const auto others = std::count_if(
            processes->second.begin(), processes->second.end(), [&](const auto &lost) {
                return lost.second >= first
                       && known.losses.count(knownProcess(known.losses, lost.first)) == 0;
            });
    const std::size_t all = known.losses.size() + static_cast<std::size_t>(others);
    return 100 * known.losses.size() <= MaxPercentInHerd * all;
}

Interval CrashingRequests::refusalTime(const RequestLosses &known) const
{
    Interval first = ruleOf(known.scope).firstRefusal;
    if (isInHerd(known)) {
        first = std::min(first, RefusalInHerd);
    }
    if (known.answeredAt) {
        first = std::min(first, RefusalOfAnswered);
    }
    const uint32_t steps = std::min(known.refusals - 1, MaxGrowthSteps);
    return std::min<Interval>(first * (1U << (RefusalGrowthBits * steps)), MaxRefusal);
}

const RequestLosses *CrashingRequests::findRefused(const RequestIdentity &identity,
                                                   Instant now) const
{
    if (records_.empty()) {
        return nullptr;
    }
    for (const RequestKey key : {identity.request, identity.session}) {
        const auto known = records_.find(key);
        if (known != records_.end() && now < known->second.refusedUntil) {
            return &known->second;
        }
    }
    return nullptr;
}

bool CrashingRequests::explains(PartKey part, const std::vector<EndpointProcess> &processes) const
{
    // A request that explains all crashes but a few was lost at one of the first ones.
    const std::size_t count = std::min(processes.size(), CrashesOfOthers);
    for (std::size_t i = 0; i < count; ++i) {
        const auto lost = lostAt_.find(knownProcess(lostAt_, processes[i]));
        if (lost == lostAt_.end()) {
            continue;
        }
        for (const RequestKey key : lost->second) {
            if (isExplainedBy(key, part, processes)) {
                return true;
            }
        }
    }
    return false;
}

bool CrashingRequests::isExplainedBy(RequestKey key, PartKey part,
                                     const std::vector<EndpointProcess> &processes) const
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return false;
    }
    const RequestLosses &known = found->second;
    const bool hasPart = std::find(known.sharedParts.begin(), known.sharedParts.end(), part)
                         != known.sharedParts.end();
    if (!hasPart || known.losses.size() < LossesToBroadcast) {
        return false;
    }
    const auto explained = static_cast<std::size_t>(
            std::count_if(processes.begin(), processes.end(), [&known](const auto &process) {
                return known.losses.count(knownProcess(known.losses, process)) > 0;
            }));
    return explained + CrashesOfOthers > processes.size();
}

void CrashingRequests::noteLoss(RequestLosses &known, const EndpointProcess &process,
                                const RequestLoss &loss)
{
    const auto [noted, isNew] = known.losses.try_emplace(knownProcess(known.losses, process), loss);
    if (!isNew) {
        return;
    }
    lostAt_[noted->first].push_back(known.key);
    auto &processes = lostProcesses_[known.service];
    Instant &lostAt = processes[knownProcess(processes, process)];
    lostAt = std::max(lostAt, loss.at);
    if (known.losses.size() > MaxLosses) {
        known.losses.erase(std::min_element(
                known.losses.begin(), known.losses.end(),
                [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
    }
}

void CrashingRequests::onReport(const RequestLosses &report, Instant now)
{
    dropOld(now);
    RequestLosses &known = record(report.key, report.scope, now);
    const Change change = merge(known, report, now);
    review(known, now);
    if (change.hasLaterAnswer) {
        // Other hosts may know of a later one.
        broadcasts_.try_emplace(report.key, now + ResponseTime);
    } else if (change.hasNewLosses && known.losses.size() >= LossesToBroadcast) {
        tell(known, now);
    }
}

std::optional<RequestLosses> CrashingRequests::onBroadcast(const RequestLosses &known, Instant now)
{
    dropOld(now);
    RequestLosses &own = record(known.key, known.scope, now);
    merge(own, known, now);
    review(own, now);
    return isLater(own.answeredAt, known.answeredAt) ? std::optional(own) : std::nullopt;
}

void CrashingRequests::onKept(RequestLosses kept, Instant now)
{
    // Their times are unknown: any answer that a host knows of counts as later.
    const Instant at = now - MaxRefusal;
    for (auto &[process, loss] : kept.losses) {
        loss = {at, at};
    }
    merge(record(kept.key, kept.scope, now), kept, now);
}

std::vector<RequestLosses> CrashingRequests::nextGossiped(Instant now)
{
    std::vector<RequestLosses> found;
    const auto take = [&](auto from, auto until) {
        for (; from != until && found.size() < MaxGossiped; ++from) {
            if (now < from->second.refusedUntil) {
                found.push_back(from->second);
            }
        }
    };
    const auto next = records_.upper_bound(lastGossiped_);
    take(next, records_.end());
    take(records_.begin(), next);
    lastGossiped_ = found.empty() ? 0 : found.back().key;
    return found;
}

std::size_t CrashingRequests::countRefused(Instant now) const
{
    return static_cast<std::size_t>(
            std::count_if(records_.begin(), records_.end(),
                          [now](const auto &entry) { return now < entry.second.refusedUntil; }));
}

void CrashingRequests::dropOld(Instant now)
{
    if (now < nextDropAt_) {
        return;
    }
    nextDropAt_ = now + DropInterval;
    std::erase_if(records_, [now](const auto &entry) {
        const RequestLosses &known = entry.second;
        const Interval kept = known.refusals > 0 ? MaxRefusal : LossLifetime;
        return now >= std::max(known.refusedUntil, lastLoss(known)) + kept
               && (!known.answeredAt || now >= *known.answeredAt + LossLifetime);
    });
    for (auto &[key, known] : records_) {
        if (known.refusals == 0) {
            std::erase_if(known.losses,
                          [now](const auto &loss) { return now >= loss.second.at + LossLifetime; });
        }
    }
    for (auto &[service, processes] : lostProcesses_) {
        std::erase_if(processes,
                      [now](const auto &lost) { return now >= lost.second + LossLifetime; });
    }
    std::erase_if(lostProcesses_, [](const auto &service) { return service.second.empty(); });
    lostAt_.clear();
    for (const auto &[key, known] : records_) {
        for (const auto &[process, loss] : known.losses) {
            lostAt_[process].push_back(key);
        }
    }
}

void CrashingRequests::tick(Instant now)
{
    std::erase_if(broadcasts_, [this, now](const auto &due) {
        if (now < due.second) {
            return false;
        }
        const auto known = records_.find(due.first);
        if (known != records_.end()) {
            broadcastOrReport(known->second, now);
        }
        return true;
    });
}

Instant CrashingRequests::nextDeadline() const
{
    Instant next = Never;
    for (const auto &[key, at] : broadcasts_) {
        next = std::min(next, at);
    }
    return next;
}

} // namespace sequoiagate
