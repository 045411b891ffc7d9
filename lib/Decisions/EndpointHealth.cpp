#include "sequoiagate/Decisions/EndpointHealth.h"

#include <algorithm>
#include <vector>

namespace sequoiagate {

namespace {

constexpr uint32_t FailureSamples = 16;
/// Samples needed to detect a slow endpoint: more than half of a full window. The smaller
/// number suffices for one that exceeds the slow limit by VerySlowFactor.
constexpr std::size_t MinSamples = 5;
constexpr std::size_t MinVerySlowSamples = 3;
constexpr double VerySlowFactor = 2.0;
constexpr uint32_t MinFailureSamples = 3;
constexpr uint32_t ProbesToReturn = 3;
/// First-token times below this, a quarter of the target of 0.63 s, may differ by any factor.
constexpr double NegligibleSeconds = 0.15;
/// A response with fewer tokens says nothing about the time between tokens.
constexpr uint64_t MinTokens = 8;
/// Number of requests without a first token that must be late at the same time, by a larger
/// factor than requests that have one and by more than the target of 0.63 s, since they may
/// just be queued. (Two that were 0.15 s late ejected a thousand endpoints in ten minutes of
/// saturation.)
constexpr std::size_t MinLatePending = 3;
constexpr double PendingSlowFactor = 2.0;
constexpr double MinPendingSeconds = 0.63;
constexpr double MinSlowStartShare = 0.1;

double median(std::vector<double> &values)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

EndpointHealth::EndpointHealth() : failures_(FailureSamples) {}

void EndpointHealth::onSent(const RequestId &request, Interval expected, bool full, Instant now)
{
    open_[request] = OpenAttempt{expected, now, full, Never};
    pending_.push_back(request);
    pendingWork_ += expected;
}

Interval EndpointHealth::pendingWork() const
{
    return firstTokensReported_ ? pendingWork_ : Interval::zero();
}

void EndpointHealth::removePending(const RequestId &request, const OpenAttempt &open)
{
    pendingWork_ -= std::erase(pending_, request) > 0 ? open.expected : Interval::zero();
}

void EndpointHealth::onFirstToken(const RequestId &request, Instant now)
{
    const auto open = open_.find(request);
    if (open == open_.end() || open->second.firstTokenAt != Never) {
        return;
    }
    firstTokensReported_ = true;
    removePending(request, open->second);
    sampleFirstToken(open->second, now);
}

void EndpointHealth::sampleFirstToken(OpenAttempt &open, Instant at)
{
    open.firstTokenAt = at;
    if (!isCurrent(open) || open.full) {
        return;
    }
    if (at >= firstTokensExpireAt_) {
        firstToken_.reset();
        firstTokenSeconds_.reset();
    }
    firstTokensExpireAt_ = at + FirstTokenLifetime;
    const double expected = std::max(secondsOf(open.expected), 1e-6);
    firstToken_.add(secondsOf(at - open.sentAt) / expected);
    firstTokenSeconds_.add(secondsOf(at - open.sentAt));
}

void EndpointHealth::onEnd(const RequestId &request, bool succeeded, Interval firstToken,
                           uint64_t tokens, Instant now)
{
    const auto found = open_.find(request);
    if (found == open_.end()) {
        return;
    }
    OpenAttempt &open = found->second;
    if (isCurrent(open)) {
        failures_.add(succeeded ? 0.0 : 1.0);
    }
    if (open.firstTokenAt == Never && firstToken > Interval::zero()) {
        sampleFirstToken(open, open.sentAt + firstToken);
    }
    if (succeeded && isCurrent(open) && tokens >= MinTokens && open.firstTokenAt != Never) {
        tokenSeconds_.add(secondsOf(now - open.firstTokenAt) / static_cast<double>(tokens));
    }
    removePending(request, open);
    open_.erase(found);
}

double EndpointHealth::slowStartShare(Instant now) const
{
    if (now >= slowStartUntil_) {
        return 1.0;
    }
    const double done =
            secondsOf(now - slowStartFrom_) / secondsOf(slowStartUntil_ - slowStartFrom_);
    return std::max(MinSlowStartShare, done);
}

void EndpointHealth::beginSlowStart(Instant now, const HealthSettings &settings)
{
    slowStartFrom_ = now;
    slowStartUntil_ = now + settings.slowStart;
}

double EndpointHealth::slowness(std::size_t minSamples, Instant now) const
{
    const bool isNoticeable = firstTokenSeconds_.median() > NegligibleSeconds;
    const bool hasEnoughSamples = firstToken_.samples() >= minSamples && now < firstTokensExpireAt_;
    return hasEnoughSamples && isNoticeable ? firstToken_.median() : 0.0;
}

double EndpointHealth::tokenSlowness() const
{
    return tokenSeconds_.samples() >= MinSamples ? tokenSeconds_.median() : 0.0;
}

double EndpointHealth::pendingSlowness(Instant now) const
{
    if (!firstTokensReported_ || pending_.size() < MinLatePending) {
        return 0.0;
    }
    const OpenAttempt &open = open_.at(pending_[MinLatePending - 1]);
    if (open.full) {
        return 0.0;
    }
    const double waited = secondsOf(now - open.sentAt);
    return waited > MinPendingSeconds ? waited / std::max(secondsOf(open.expected), 1e-6) : 0.0;
}

void OutlierDetection::review(std::span<EndpointHealth *const> peers, Instant now)
{
    nextReviewAt_ = now + settings_.reviewInterval;
    const Medians medians = mediansOf(peers, now);
    std::size_t outOfService = 0;
    for (EndpointHealth *peer : peers) {
        if (peer->probing(now)) {
            evaluateProbe(*peer, medians, now);
        }
        outOfService += peer->ejected(now) || peer->probing(now) ? 1 : 0;
    }
    anyOutOfService_ = outOfService > 0;
    const double count = static_cast<double>(peers.size());
    const auto maxOut = static_cast<std::size_t>(count * settings_.maxEjectedShare);
    if (outOfService >= maxOut || now < nextEjectionAt_) {
        return;
    }
    std::size_t mayEject = std::max<std::size_t>(
            static_cast<std::size_t>(count * settings_.ejectionBatchShare), 1);
    mayEject = std::min(mayEject, maxOut - outOfService);
    for (EndpointHealth *peer : peers) {
        const bool serving = !peer->ejected(now) && !peer->probing(now);
        if (mayEject == 0 || !serving || !isOutlier(*peer, medians, now)) {
            continue;
        }
        eject(*peer, now);
        anyOutOfService_ = true;
        --mayEject;
        nextEjectionAt_ = now + settings_.ejectionInterval;
    }
}

OutlierDetection::Medians OutlierDetection::mediansOf(std::span<EndpointHealth *const> peers,
                                                      Instant now)
{
    std::vector<double> firstTokens;
    std::vector<double> tokens;
    std::vector<double> failures;
    for (const EndpointHealth *peer : peers) {
        if (peer->firstToken_.samples() >= MinSamples && now < peer->firstTokensExpireAt_) {
            firstTokens.push_back(peer->firstToken_.median());
        }
        if (peer->tokenSeconds_.samples() >= MinSamples) {
            tokens.push_back(peer->tokenSeconds_.median());
        }
        failures.push_back(peer->failures_.mean());
    }
    return {median(firstTokens), median(tokens), median(failures)};
}

bool OutlierDetection::isOutlier(const EndpointHealth &health, const Medians &medians,
                                 Instant now) const
{
    const bool isFailing = health.failures_.samples() >= MinFailureSamples
                           && health.failures_.mean() > 0.5
                           && health.failures_.mean() > medians.failures + settings_.failureMargin;
    if (isFailing) {
        return true;
    }
    const double slowLimit = settings_.slowFactor * medians.firstToken;
    if (medians.firstToken > 0.0
        && (health.slowness(MinSamples, now) > slowLimit
            || health.slowness(MinVerySlowSamples, now) > VerySlowFactor * slowLimit
            || health.pendingSlowness(now) > PendingSlowFactor * slowLimit)) {
        return true;
    }
    return medians.token > 0.0 && health.tokenSlowness() > settings_.slowFactor * medians.token;
}

void OutlierDetection::evaluateProbe(EndpointHealth &health, const Medians &medians, Instant now)
{
    const double slowLimit = settings_.slowFactor * medians.firstToken;
    const bool isSlow = medians.firstToken > 0.0 && health.firstToken_.median() > slowLimit
                        && health.firstTokenSeconds_.median() > NegligibleSeconds;
    if (isSlow || health.failures_.mean() > 0.0) {
        eject(health, now);
        return;
    }
    if (health.firstToken_.samples() >= health.probesLeft_) {
        health.probesLeft_ = 0;
        health.beginSlowStart(now, settings_);
    }
}

void OutlierDetection::eject(EndpointHealth &health, Instant now)
{
    if (now >= health.ejectionsExpireAt_) {
        health.ejections_ = 0;
    }
    const Interval duration =
            std::min(settings_.firstEjection * (1 << health.ejections_), settings_.maxEjection);
    constexpr uint32_t MaxDoublings = 8;
    health.ejections_ = std::min(health.ejections_ + 1, MaxDoublings);
    health.ejectedUntil_ = now + duration;
    health.ejectionsExpireAt_ = health.ejectedUntil_ + settings_.maxEjection;
    health.probesLeft_ = ProbesToReturn;
    // Earlier samples say nothing about the endpoint's state after the ejection.
    health.firstToken_.reset();
    health.firstTokenSeconds_.reset();
    health.tokenSeconds_.reset();
    health.failures_.reset();
    health.pending_.clear();
    health.pendingWork_ = Interval::zero();
}

} // namespace sequoiagate
