#include "sequoiagate/Decisions/EndpointHealth.h"

#include <algorithm>
#include <vector>

namespace sequoiagate {

namespace {

constexpr uint32_t FailureSamples = 16;
/// A slow endpoint is seen after as many requests, more than half of a full window; one
/// that is slow by twice the factor already after the smaller number.
constexpr std::size_t FewestSamples = 5;
constexpr std::size_t FewestVerySlow = 3;
constexpr double VerySlow = 2.0;
constexpr uint32_t FewestFailures = 3;
constexpr uint32_t ProbesToReturn = 3;
/// Below this, a quarter of the goal of 0.63 s, first tokens may differ by any factor.
constexpr double UnnoticedSeconds = 0.15;
/// An answer shorter than this says nothing about the time between tokens.
constexpr uint64_t FewestTokens = 8;
/// Requests without a first token that must be late together, by more than one that has
/// it and by more than the goal of 0.63 s: they may just be waiting their turn. (Two that
/// were 0.15 s late ejected a thousand endpoints in ten minutes of saturation.)
constexpr std::size_t LatePending = 3;
constexpr double PendingFactor = 2.0;
constexpr double PendingSeconds = 0.63;
constexpr double LeastRampShare = 0.1;

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
    open_[request] = OpenTry{expected, now, full, Never};
    pending_.push_back(request);
    pendingWork_ += expected;
}

Interval EndpointHealth::pendingWork() const
{
    return firstTokensTold_ ? pendingWork_ : Interval::zero();
}

void EndpointHealth::noLongerPending(const RequestId &request, const OpenTry &open)
{
    pendingWork_ -= std::erase(pending_, request) > 0 ? open.expected : Interval::zero();
}

void EndpointHealth::onFirstToken(const RequestId &request, Instant now)
{
    const auto open = open_.find(request);
    if (open == open_.end() || open->second.firstTokenAt != Never) {
        return;
    }
    firstTokensTold_ = true;
    noLongerPending(request, open->second);
    sampleFirstToken(open->second, now);
}

void EndpointHealth::sampleFirstToken(OpenTry &open, Instant at)
{
    open.firstTokenAt = at;
    if (!counts(open) || open.full) {
        return;
    }
    if (at >= firstTokensExpireAt_) {
        firstToken_.reset();
        firstTokenSeconds_.reset();
    }
    firstTokensExpireAt_ = at + FirstTokensLast;
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
    OpenTry &open = found->second;
    if (counts(open)) {
        failures_.add(succeeded ? 0.0 : 1.0);
    }
    if (open.firstTokenAt == Never && firstToken > Interval::zero()) {
        sampleFirstToken(open, open.sentAt + firstToken);
    }
    if (succeeded && counts(open) && tokens >= FewestTokens && open.firstTokenAt != Never) {
        tokenSeconds_.add(secondsOf(now - open.firstTokenAt) / static_cast<double>(tokens));
    }
    noLongerPending(request, open);
    open_.erase(found);
}

double EndpointHealth::rampShare(Instant now) const
{
    if (now >= rampUntil_) {
        return 1.0;
    }
    const double done = secondsOf(now - rampFrom_) / secondsOf(rampUntil_ - rampFrom_);
    return std::max(LeastRampShare, done);
}

void EndpointHealth::startRamp(Instant now, const HealthSettings &settings)
{
    rampFrom_ = now;
    rampUntil_ = now + settings.slowStart;
}

double EndpointHealth::slowness(std::size_t fewest, Instant now) const
{
    const bool noticed = firstTokenSeconds_.median() > UnnoticedSeconds;
    const bool enough = firstToken_.samples() >= fewest && now < firstTokensExpireAt_;
    return enough && noticed ? firstToken_.median() : 0.0;
}

double EndpointHealth::tokenSlowness() const
{
    return tokenSeconds_.samples() >= FewestSamples ? tokenSeconds_.median() : 0.0;
}

double EndpointHealth::pendingSlowness(Instant now) const
{
    if (!firstTokensTold_ || pending_.size() < LatePending) {
        return 0.0;
    }
    const OpenTry &open = open_.at(pending_[LatePending - 1]);
    if (open.full) {
        return 0.0;
    }
    const double waited = secondsOf(now - open.sentAt);
    return waited > PendingSeconds ? waited / std::max(secondsOf(open.expected), 1e-6) : 0.0;
}

void OutlierDetection::review(std::span<EndpointHealth *const> peers, Instant now)
{
    nextReviewAt_ = now + settings_.reviewInterval;
    const Medians medians = mediansOf(peers, now);
    std::size_t out = 0;
    for (EndpointHealth *peer : peers) {
        if (peer->probing(now)) {
            settleProbe(*peer, medians, now);
        }
        out += peer->ejected(now) || peer->probing(now) ? 1 : 0;
    }
    someOut_ = out > 0;
    const double count = static_cast<double>(peers.size());
    const auto most = static_cast<std::size_t>(count * settings_.mostEjected);
    if (out >= most || now < nextShiftAt_) {
        return;
    }
    std::size_t mayLeave =
            std::max<std::size_t>(static_cast<std::size_t>(count * settings_.shiftShare), 1);
    mayLeave = std::min(mayLeave, most - out);
    for (EndpointHealth *peer : peers) {
        const bool serving = !peer->ejected(now) && !peer->probing(now);
        if (mayLeave == 0 || !serving || !isOutlier(*peer, medians, now)) {
            continue;
        }
        eject(*peer, now);
        someOut_ = true;
        --mayLeave;
        nextShiftAt_ = now + settings_.shiftInterval;
    }
}

OutlierDetection::Medians OutlierDetection::mediansOf(std::span<EndpointHealth *const> peers,
                                                      Instant now)
{
    std::vector<double> firstTokens;
    std::vector<double> tokens;
    std::vector<double> failures;
    for (const EndpointHealth *peer : peers) {
        if (peer->firstToken_.samples() >= FewestSamples && now < peer->firstTokensExpireAt_) {
            firstTokens.push_back(peer->firstToken_.median());
        }
        if (peer->tokenSeconds_.samples() >= FewestSamples) {
            tokens.push_back(peer->tokenSeconds_.median());
        }
        failures.push_back(peer->failures_.mean());
    }
    return {median(firstTokens), median(tokens), median(failures)};
}

bool OutlierDetection::isOutlier(const EndpointHealth &health, const Medians &medians,
                                 Instant now) const
{
    const bool failing = health.failures_.samples() >= FewestFailures
                         && health.failures_.mean() > 0.5
                         && health.failures_.mean() > medians.failures + settings_.failureMargin;
    if (failing) {
        return true;
    }
    const double slowLimit = settings_.slowFactor * medians.firstToken;
    if (medians.firstToken > 0.0
        && (health.slowness(FewestSamples, now) > slowLimit
            || health.slowness(FewestVerySlow, now) > VerySlow * slowLimit
            || health.pendingSlowness(now) > PendingFactor * slowLimit)) {
        return true;
    }
    return medians.token > 0.0 && health.tokenSlowness() > settings_.slowFactor * medians.token;
}

void OutlierDetection::settleProbe(EndpointHealth &health, const Medians &medians, Instant now)
{
    const double slowLimit = settings_.slowFactor * medians.firstToken;
    const bool slow = medians.firstToken > 0.0 && health.firstToken_.median() > slowLimit
                      && health.firstTokenSeconds_.median() > UnnoticedSeconds;
    if (slow || health.failures_.mean() > 0.0) {
        eject(health, now);
        return;
    }
    if (health.firstToken_.samples() >= health.probesLeft_) {
        health.probesLeft_ = 0;
        health.startRamp(now, settings_);
    }
}

void OutlierDetection::eject(EndpointHealth &health, Instant now)
{
    if (now >= health.forgiveAt_) {
        health.ejections_ = 0;
    }
    const Interval length =
            std::min(settings_.firstEjection * (1 << health.ejections_), settings_.longestEjection);
    constexpr uint32_t MostDoublings = 8;
    health.ejections_ = std::min(health.ejections_ + 1, MostDoublings);
    health.ejectedUntil_ = now + length;
    health.forgiveAt_ = health.ejectedUntil_ + settings_.longestEjection;
    health.probesLeft_ = ProbesToReturn;
    // What was measured before says nothing about how it does when it is back.
    health.firstToken_.reset();
    health.firstTokenSeconds_.reset();
    health.tokenSeconds_.reset();
    health.failures_.reset();
    health.pending_.clear();
    health.pendingWork_ = Interval::zero();
}

} // namespace sequoiagate
