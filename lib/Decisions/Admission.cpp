#include "sequoiagate/Decisions/Admission.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

namespace {

constexpr WorkClass Classes[] = {WorkClass::Interactive, WorkClass::Batch};

/// A waiting request is dropped when its expected wait is this many times the time left
/// until its deadline. Above 1, since the drain rate is a mean and the next slots may become
/// free sooner: a request dropped although it would have run is refused needlessly.
constexpr double OverdueFactor = 1.5;

/// Number of finished requests over which the mean slot hold time is taken: about 4 seconds
/// of them at the design size, and a mean within 10% for exponentially distributed times.
constexpr uint32_t SlotHoldSamples = 100;

/// Bounds of the retry delay that a refusal names. Below the minimum a client merely polls;
/// beyond the maximum the drain rate isn't a useful prediction.
constexpr Interval MinRetryDelay = std::chrono::milliseconds(250);
constexpr Interval MaxRetryDelay = std::chrono::seconds(120);

/// Refused callers are scheduled to retry at this fraction of the drain rate, which leaves
/// capacity for new callers. A tenfold burst affected new callers for 1 to 5 s with this
/// fraction, for 5 to 7 s with 0.25 and for over 20 s with 0.4 (bench-Decisions burst, five
/// seeds).
constexpr double RetryRateFraction = 0.2;

/// Slots count as contended for this time after a refusal.
constexpr Interval ContentionDuration = std::chrono::seconds(10);
/// With fewer slots, a single reserved one would be a large share of them.
constexpr uint32_t MinSlotsForReserve = 20;

const char *detailOf(Reason reason)
{
    switch (reason) {
    case Reason::QueueTimeout:
        return "it would not have been served before its end of waiting";
    case Reason::RateShare:
        return "the workspace is beyond its fair share while others wait";
    default:
        return "too many requests wait";
    }
}

} // namespace

Admission::Admission(AdmissionSettings settings)
    : settings_(settings), prefillLimit_(settings.firstTokenTarget), promptTokens_(SlotHoldSamples),
      slotHoldSeconds_(SlotHoldSamples), jitter_(settings.seed)
{}

AdmissionOutcome Admission::offer(const WorkItem &item, Instant now)
{
    const bool canStart = queueOf(item.workClass).empty() && mayRun(item.workClass);
    if (canStart && !isBlockedByReserve(item, now)) {
        queueOf(item.workClass).chargeUnqueued(item);
        start(item, now);
        return Admitted{item.request};
    }
    return enqueue(item, now);
}

AdmissionOutcome Admission::enqueue(const WorkItem &item, Instant now)
{
    FairQueue &queue = queueOf(item.workClass);
    const Interval maxWait = item.workClass == WorkClass::Interactive
                                     ? std::min(settings_.interactiveWait, settings_.maximumWait)
                                     : settings_.maximumWait;
    const Instant deadline = std::min(item.deadline, now + maxWait);
    const std::size_t ahead = queue.ahead(item);
    // One request may always wait: with few slots the drain rate is too coarse a basis for
    // a refusal.
    const bool wouldExpire = ahead > 0 && expectedStart(ahead, item.workClass, now) > deadline;
    if (deadline <= now || wouldExpire) {
        return refusal(refusalReason(item), now);
    }
    if (waiting() >= settings_.queueLimit && !evictFor(item, now)) {
        return refusal(refusalReason(item), now);
    }
    queue.push(item, deadline);
    return Queued{deadline};
}

bool Admission::evictFor(const WorkItem &item, Instant now)
{
    const bool interactive = item.workClass == WorkClass::Interactive;
    const double share =
            interactive ? settings_.interactiveShare : 1.0 - settings_.interactiveShare;
    FairQueue &own = queueOf(item.workClass);
    // A class may fill the whole queue, but requests beyond its share are evicted in favor
    // of the other class: otherwise a flood of batch requests would cause the refusal of
    // every interactive one.
    const bool classBelowShare = static_cast<double>(own.size()) < share * settings_.queueLimit;
    FairQueue &evictionQueue =
            classBelowShare ? queueOf(interactive ? WorkClass::Batch : WorkClass::Interactive)
                            : own;
    if (evictionQueue.empty() || (&evictionQueue == &own && own.wouldBeLast(item))) {
        return false;
    }
    const QueueEntry last = *evictionQueue.popLast();
    evicted_.push_back({last.item.request, false, refusal(Reason::RateShare, now)});
    evictedAt_ = std::min(evictedAt_, now);
    return true;
}

void Admission::onFirstToken(const RequestId &request, Instant now)
{
    firstTokensReported_ = true;
    const auto found = running_.find(request);
    if (found == running_.end() || !found->second.prefilling) {
        return;
    }
    Running &started = found->second;
    // A long prompt's first token is late because of its length and says nothing about the
    // prefill load.
    constexpr double LongPromptFactor = 4.0;
    const double tokens = static_cast<double>(started.promptTokens);
    if (tokens <= LongPromptFactor * std::max(promptTokens_.mean(), 1.0)) {
        prefillLimit_.onFirstToken(now - started.startedAt, prefilling_, now);
    }
    promptTokens_.add(tokens);
    started.prefilling = false;
    --prefilling_;
}

void Admission::finished(const RequestId &request, uint64_t tokensServed, Instant now)
{
    const auto found = running_.find(request);
    if (found == running_.end()) {
        return;
    }
    const Running &ended = found->second;
    queueOf(ended.workClass)
            .adjustCost(ended.workspace, ended.expectedCost, static_cast<double>(tokensServed),
                        ended.weight);
    interactiveRunning_ -= ended.workClass == WorkClass::Interactive ? 1 : 0;
    prefilling_ -= ended.prefilling ? 1 : 0;
    slotHoldSeconds_.add(secondsOf(now - ended.startedAt));
    const auto usage = slotUsage_.find(ended.workspace);
    if (--usage->second.slots == 0) {
        slotUsage_.erase(usage);
    }
    running_.erase(found);
}

void Admission::cancelled(const RequestId &request, Instant /*now*/)
{
    if (!interactive_.remove(request)) {
        batch_.remove(request);
    }
}

void Admission::setSlots(uint32_t slots, Instant /*now*/)
{
    settings_.slots = slots;
}

std::vector<QueueRelease> Admission::poll(Instant now)
{
    std::vector<QueueRelease> released = std::move(evicted_);
    evicted_.clear();
    evictedAt_ = Never;
    // Drop overdue requests first, so that none is admitted after its deadline.
    for (const WorkClass workClass : Classes) {
        dropOverdue(workClass, released, now);
    }
    admitWaiting(released, now);
    return released;
}

void Admission::dropOverdue(WorkClass workClass, std::vector<QueueRelease> &released, Instant now)
{
    const double rate = classRate(workClass);
    const auto isOverdue = [&](const QueueEntry &entry, std::size_t position) {
        if (entry.deadline <= now) {
            return true;
        }
        if (position == 0 || rate <= 0.0) {
            return false;
        }
        const Interval wait = intervalOf(static_cast<double>(position) / rate);
        return wait > (entry.deadline - now) * OverdueFactor;
    };
    for (const QueueEntry &entry : queueOf(workClass).extractIf(isOverdue)) {
        released.push_back({entry.item.request, false, refusal(Reason::QueueTimeout, now)});
    }
}

void Admission::admitWaiting(std::vector<QueueRelease> &released, Instant now)
{
    const auto allowed = [&](const QueueEntry &entry) {
        return !isBlockedByReserve(entry.item, now);
    };
    while (const std::optional<WorkClass> next = nextClass()) {
        const bool contended = !interactive_.empty() && !batch_.empty();
        const std::optional<QueueEntry> entry = queueOf(*next).popFirst(allowed);
        if (!entry.has_value()) {
            return;
        }
        if (contended) {
            chargeClass(*next, FairQueue::expectedCost(entry->item));
        }
        start(entry->item, now);
        released.push_back({entry->item.request, true, {}});
    }
}

bool Admission::isBlockedByReserve(const WorkItem &item, Instant now) const
{
    const auto reserve =
            static_cast<std::size_t>(std::ceil(settings_.smallWorkspaceReserve * settings_.slots));
    const bool enoughFree = running_.size() + reserve < settings_.slots;
    if (enoughFree || now >= contendedUntil_ || settings_.slots < MinSlotsForReserve) {
        return false;
    }
    const auto own = slotUsage_.find(item.workspace);
    if (own == slotUsage_.end() || slotUsage_.size() == 1) {
        return false;
    }
    const double held = own->second.slots / own->second.weight;
    return std::all_of(slotUsage_.begin(), slotUsage_.end(), [&](const auto &other) {
        return other.first == item.workspace || other.second.slots / other.second.weight < held;
    });
}

std::optional<WorkClass> Admission::nextClass() const
{
    const bool interactive = !interactive_.empty() && mayRun(WorkClass::Interactive);
    const bool batch = !batch_.empty() && mayRun(WorkClass::Batch);
    if (interactive && batch) {
        const ClassShares &shares = classShares_;
        return shares.interactiveFinish <= std::max(shares.virtualTime, shares.batchFinish)
                       ? WorkClass::Interactive
                       : WorkClass::Batch;
    }
    if (interactive) {
        return WorkClass::Interactive;
    }
    return batch ? std::optional(WorkClass::Batch) : std::nullopt;
}

void Admission::chargeClass(WorkClass workClass, double cost)
{
    constexpr double MinShare = 0.01;
    const bool interactive = workClass == WorkClass::Interactive;
    const double share =
            interactive ? settings_.interactiveShare : 1.0 - settings_.interactiveShare;
    double &finish = interactive ? classShares_.interactiveFinish : classShares_.batchFinish;
    classShares_.virtualTime = std::max(classShares_.virtualTime, finish);
    finish = classShares_.virtualTime + cost / std::max(share, MinShare);
}

bool Admission::mayRun(WorkClass workClass) const
{
    const bool prefillIsFull = firstTokensReported_ && prefilling_ >= prefillLimit_.limit();
    if (running_.size() >= settings_.slots || prefillIsFull) {
        return false;
    }
    if (workClass == WorkClass::Interactive) {
        return true;
    }
    // At least one, or batch requests would never run on a router with few slots.
    const uint32_t reserve = static_cast<uint32_t>(settings_.interactiveReserve * settings_.slots);
    const std::size_t batchRunning = running_.size() - interactiveRunning_;
    return batchRunning < std::max<uint32_t>(settings_.slots - reserve, 1);
}

void Admission::start(const WorkItem &item, Instant now)
{
    running_.emplace(item.request,
                     Running{item.workspace, item.workClass, FairQueue::expectedCost(item),
                             item.weight, item.promptTokens, now, true});
    ++prefilling_;
    SlotUsage &usage = slotUsage_[item.workspace];
    ++usage.slots;
    usage.weight = std::max(item.weight, 1e-3);
    interactiveRunning_ += item.workClass == WorkClass::Interactive ? 1 : 0;
}

double Admission::slotReleaseRate() const
{
    constexpr double MinHoldSeconds = 1e-3;
    return slotHoldSeconds_.samples() == 0
                   ? 0.0
                   : settings_.slots / std::max(slotHoldSeconds_.mean(), MinHoldSeconds);
}

double Admission::drainRate() const
{
    const bool hasFreeSlots = running_.size() < settings_.slots;
    return hasFreeSlots && firstTokensReported_ ? prefillLimit_.startsPerSecond()
                                                : slotReleaseRate();
}

double Admission::classRate(WorkClass workClass) const
{
    const double rate = drainRate();
    if (interactive_.empty() || batch_.empty()) {
        return rate;
    }
    const double share = settings_.interactiveShare;
    return rate * (workClass == WorkClass::Interactive ? share : 1.0 - share);
}

Instant Admission::expectedStart(std::size_t ahead, WorkClass workClass, Instant now) const
{
    const double rate = classRate(workClass);
    // No request has finished yet, so the rate is unknown: let the request wait until its
    // deadline.
    return rate <= 0.0 ? now : now + intervalOf(static_cast<double>(ahead) / rate);
}

Reason Admission::refusalReason(const WorkItem &item) const
{
    const FairQueue &queue = queueOf(item.workClass);
    const std::size_t fairShare =
            queue.size() / std::max<std::size_t>(queue.waitingWorkspaces(), 1);
    const bool alone = queue.waitingWorkspaces() <= 1 && queue.waitingOf(item.workspace) > 0;
    return !alone && queue.waitingOf(item.workspace) > fairShare ? Reason::RateShare
                                                                 : Reason::QueueFull;
}

Verdict Admission::refusal(Reason reason, Instant now)
{
    contendedUntil_ = now + ContentionDuration;
    return {Execution::NotRun, reason, detailOf(reason), nextRetryTime(now)};
}

Instant Admission::nextRetryTime(Instant now)
{
    // Use the rate at which slots are released: the prefill rate holds only while slots are
    // free.
    const double retryRate = std::max(slotReleaseRate(), 1.0) * RetryRateFraction;
    nextRetryAt_ = std::max(nextRetryAt_, now + MinRetryDelay) + intervalOf(1.0 / retryRate);
    // The schedule separates this router's callers; the jitter separates them from those of
    // other routers, whose schedules may have begun at the same moment.
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    if (nextRetryAt_ <= now + MaxRetryDelay) {
        return now + intervalOf(secondsOf(nextRetryAt_ - now) * jitter(jitter_));
    }
    nextRetryAt_ = now + MaxRetryDelay;
    std::uniform_real_distribution<double> lateJitter(0.5, 1.0);
    return now + intervalOf(secondsOf(MaxRetryDelay) * lateJitter(jitter_));
}

Instant Admission::nextDeadline() const
{
    return std::min({evictedAt_, interactive_.nextDeadline(), batch_.nextDeadline()});
}

uint32_t Admission::inFlight() const
{
    return static_cast<uint32_t>(running_.size());
}

uint32_t Admission::waiting() const
{
    return static_cast<uint32_t>(interactive_.size() + batch_.size());
}

FairQueue &Admission::queueOf(WorkClass workClass)
{
    return workClass == WorkClass::Interactive ? interactive_ : batch_;
}

const FairQueue &Admission::queueOf(WorkClass workClass) const
{
    return workClass == WorkClass::Interactive ? interactive_ : batch_;
}

} // namespace sequoiagate
