#include "sequoiagate/Decisions/Admission.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

namespace {

constexpr WorkClass Classes[] = {WorkClass::Interactive, WorkClass::Batch};

/// A request that waits is given up when its expected wait is this many times what it
/// has left. Above 1, since the drain rate is a mean and the next ends may come sooner:
/// giving up what would have run is a false refusal.
constexpr double HopelessFactor = 1.5;

/// Ends over which the mean time in a slot is taken: at the design size some 4 seconds
/// of them, and a mean within 10% for times that vary as exponential ones do.
constexpr uint32_t HeldSamples = 100;

/// Bounds of the wait that a refusal names. Below the shortest a client merely polls;
/// past the longest the drain rate says nothing any more.
constexpr Interval ShortestComeBack = std::chrono::milliseconds(250);
constexpr Interval LongestComeBack = std::chrono::seconds(120);

/// Those refused return at this part of the drain rate, so that callers who come for the
/// first time find room beside them. A tenfold burst was felt by new callers for 1 to 5 s
/// at this part, for 5 to 7 s at a quarter, for over 20 s at 0.4 (bench-Decisions burst,
/// five seeds).
constexpr double PartForReturns = 0.2;

/// A refusal says that slots are short for so long.
constexpr Interval ContentionLasts = std::chrono::seconds(10);
/// With fewer slots one kept free would be a large part of them.
constexpr uint32_t FewestSlotsReserved = 20;

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
    : settings_(settings), startLimit_(settings.startTarget), promptTokens_(HeldSamples),
      heldSeconds_(HeldSamples), jitter_(settings.seed)
{}

AdmissionOutcome Admission::offer(const WorkItem &item, Instant now)
{
    const bool free = queueOf(item.workClass).empty() && mayRun(item.workClass);
    if (free && !lastSlotsClosedTo(item, now)) {
        queueOf(item.workClass).chargeServed(item);
        start(item, now);
        return Admitted{item.request};
    }
    return enqueue(item, now);
}

AdmissionOutcome Admission::enqueue(const WorkItem &item, Instant now)
{
    FairQueue &queue = queueOf(item.workClass);
    const Interval patience = item.workClass == WorkClass::Interactive
                                      ? std::min(settings_.interactiveWait, settings_.maximumWait)
                                      : settings_.maximumWait;
    const Instant until = std::min(item.deadline, now + patience);
    const std::size_t ahead = queue.ahead(item);
    // One may always wait: with few slots the drain rate is too coarse to refuse on.
    const bool tooLate = ahead > 0 && expectedStart(ahead, item.workClass, now) > until;
    if (until <= now || tooLate) {
        return refusal(crowdingReason(item), now);
    }
    if (waiting() >= settings_.queueLimit && !makeRoom(item, now)) {
        return refusal(crowdingReason(item), now);
    }
    queue.push(item, until);
    return Queued{until};
}

bool Admission::makeRoom(const WorkItem &item, Instant now)
{
    const bool interactive = item.workClass == WorkClass::Interactive;
    const double share =
            interactive ? settings_.interactiveShare : 1.0 - settings_.interactiveShare;
    FairQueue &own = queueOf(item.workClass);
    // A class may fill the whole queue, but gives up what is beyond its part to the
    // other: a flood of batch work would else turn every Chat Turn away.
    const bool classHasRoom = static_cast<double>(own.size()) < share * settings_.queueLimit;
    FairQueue &victims =
            classHasRoom ? queueOf(interactive ? WorkClass::Batch : WorkClass::Interactive) : own;
    if (victims.empty() || (&victims == &own && own.wouldBeLast(item))) {
        return false;
    }
    const QueueEntry last = *victims.popLast();
    displaced_.push_back({last.item.request, false, refusal(Reason::RateShare, now)});
    displacedAt_ = std::min(displacedAt_, now);
    return true;
}

void Admission::onFirstToken(const RequestId &request, Instant now)
{
    firstTokensTold_ = true;
    const auto found = running_.find(request);
    if (found == running_.end() || !found->second.starting) {
        return;
    }
    Running &started = found->second;
    // A long prompt's first token is late by itself and says nothing of the others.
    constexpr double LongFactor = 4.0;
    const double tokens = static_cast<double>(started.promptTokens);
    if (tokens <= LongFactor * std::max(promptTokens_.mean(), 1.0)) {
        startLimit_.onFirstToken(now - started.startedAt, starting_, now);
    }
    promptTokens_.add(tokens);
    started.starting = false;
    --starting_;
}

void Admission::finished(const RequestId &request, uint64_t tokensServed, Instant now)
{
    const auto found = running_.find(request);
    if (found == running_.end()) {
        return;
    }
    const Running &ended = found->second;
    queueOf(ended.workClass)
            .settle(ended.workspace, ended.expectedCost, static_cast<double>(tokensServed),
                    ended.weight);
    interactiveRunning_ -= ended.workClass == WorkClass::Interactive ? 1 : 0;
    starting_ -= ended.starting ? 1 : 0;
    heldSeconds_.add(secondsOf(now - ended.startedAt));
    const auto holding = holdings_.find(ended.workspace);
    if (--holding->second.slots == 0) {
        holdings_.erase(holding);
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
    std::vector<QueueRelease> released = std::move(displaced_);
    displaced_.clear();
    displacedAt_ = Never;
    // Deadlines first: a request that is past its own is not sent any more.
    for (const WorkClass workClass : Classes) {
        giveUp(workClass, released, now);
    }
    admitWaiting(released, now);
    return released;
}

void Admission::giveUp(WorkClass workClass, std::vector<QueueRelease> &released, Instant now)
{
    const double rate = classRate(workClass);
    const auto hopeless = [&](const QueueEntry &entry, std::size_t position) {
        if (entry.until <= now) {
            return true;
        }
        if (position == 0 || rate <= 0.0) {
            return false;
        }
        const Interval wait = intervalOf(static_cast<double>(position) / rate);
        return wait > (entry.until - now) * HopelessFactor;
    };
    for (const QueueEntry &entry : queueOf(workClass).takeIf(hopeless)) {
        released.push_back({entry.item.request, false, refusal(Reason::QueueTimeout, now)});
    }
}

void Admission::admitWaiting(std::vector<QueueRelease> &released, Instant now)
{
    const auto allowed = [&](const QueueEntry &entry) {
        return !lastSlotsClosedTo(entry.item, now);
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

bool Admission::lastSlotsClosedTo(const WorkItem &item, Instant now) const
{
    const auto reserve =
            static_cast<std::size_t>(std::ceil(settings_.smallReserve * settings_.slots));
    const bool plenty = running_.size() + reserve < settings_.slots;
    if (plenty || now >= contendedUntil_ || settings_.slots < FewestSlotsReserved) {
        return false;
    }
    const auto own = holdings_.find(item.workspace);
    if (own == holdings_.end() || holdings_.size() == 1) {
        return false;
    }
    const double held = own->second.slots / own->second.weight;
    return std::all_of(holdings_.begin(), holdings_.end(), [&](const auto &other) {
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
    constexpr double SmallestShare = 0.01;
    const bool interactive = workClass == WorkClass::Interactive;
    const double share =
            interactive ? settings_.interactiveShare : 1.0 - settings_.interactiveShare;
    double &finish = interactive ? classShares_.interactiveFinish : classShares_.batchFinish;
    classShares_.virtualTime = std::max(classShares_.virtualTime, finish);
    finish = classShares_.virtualTime + cost / std::max(share, SmallestShare);
}

bool Admission::mayRun(WorkClass workClass) const
{
    const bool startsAreFull = firstTokensTold_ && starting_ >= startLimit_.limit();
    if (running_.size() >= settings_.slots || startsAreFull) {
        return false;
    }
    if (workClass == WorkClass::Interactive) {
        return true;
    }
    // At least one, or batch work would never run on a router with few slots.
    const uint32_t reserve = static_cast<uint32_t>(settings_.interactiveReserve * settings_.slots);
    const std::size_t batchRunning = running_.size() - interactiveRunning_;
    return batchRunning < std::max<uint32_t>(settings_.slots - reserve, 1);
}

void Admission::start(const WorkItem &item, Instant now)
{
    running_.emplace(item.request,
                     Running{item.workspace, item.workClass, FairQueue::expectedCost(item),
                             item.weight, item.promptTokens, now, true});
    ++starting_;
    Holding &holding = holdings_[item.workspace];
    ++holding.slots;
    holding.weight = std::max(item.weight, 1e-3);
    interactiveRunning_ += item.workClass == WorkClass::Interactive ? 1 : 0;
}

double Admission::slotRate() const
{
    constexpr double ShortestHeld = 1e-3;
    return heldSeconds_.samples() == 0
                   ? 0.0
                   : settings_.slots / std::max(heldSeconds_.mean(), ShortestHeld);
}

double Admission::drainRate() const
{
    const bool slotsAreFree = running_.size() < settings_.slots;
    return slotsAreFree && firstTokensTold_ ? startLimit_.perSecond() : slotRate();
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
    // Nothing has ended yet, so nothing is known: wait, and be given up in time.
    return rate <= 0.0 ? now : now + intervalOf(static_cast<double>(ahead) / rate);
}

Reason Admission::crowdingReason(const WorkItem &item) const
{
    const FairQueue &queue = queueOf(item.workClass);
    const std::size_t fairPart = queue.size() / std::max<std::size_t>(queue.waitingWorkspaces(), 1);
    const bool alone = queue.waitingWorkspaces() <= 1 && queue.waitingOf(item.workspace) > 0;
    return !alone && queue.waitingOf(item.workspace) > fairPart ? Reason::RateShare
                                                                : Reason::QueueFull;
}

Verdict Admission::refusal(Reason reason, Instant now)
{
    contendedUntil_ = now + ContentionLasts;
    return {Execution::NotRun, reason, detailOf(reason), comeBackAt(now)};
}

Instant Admission::comeBackAt(Instant now)
{
    // What slots sustain: the pace of starts lasts only while slots are free.
    const double pace = std::max(slotRate(), 1.0) * PartForReturns;
    nextReturnAt_ = std::max(nextReturnAt_, now + ShortestComeBack) + intervalOf(1.0 / pace);
    // The schedule keeps them apart; the jitter keeps clients of other routers, whose
    // schedules began in the same moment, from meeting them.
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    if (nextReturnAt_ <= now + LongestComeBack) {
        return now + intervalOf(secondsOf(nextReturnAt_ - now) * jitter(jitter_));
    }
    nextReturnAt_ = now + LongestComeBack;
    std::uniform_real_distribution<double> late(0.5, 1.0);
    return now + intervalOf(secondsOf(LongestComeBack) * late(jitter_));
}

Instant Admission::nextDeadline() const
{
    return std::min({displacedAt_, interactive_.nextDeadline(), batch_.nextDeadline()});
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
