#include "sequoiagate/Decisions/EndpointHealth.h"

#include <algorithm>
#include <vector>

namespace sequoiagate {

namespace {

/// Samples in a mean: a slow endpoint is seen after a handful of requests, and one
/// that recovered is seen as such after as many.
constexpr uint32_t HealthSamples = 16;
constexpr uint32_t FewestSamples = 5;
constexpr uint32_t FewestFailures = 3;
constexpr uint32_t ProbesToReturn = 3;
/// Below this first tokens may differ by any factor and nobody notices.
constexpr double UnnoticedSeconds = 0.05;
/// An answer shorter than this says nothing about the time between tokens.
constexpr uint64_t FewestTokens = 8;
/// A request without a first token must be late by more than one that has it: it may
/// just be waiting its turn.
constexpr double PendingFactor = 2.0;
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

EndpointHealth::EndpointHealth()
    : firstToken_(HealthSamples), firstTokenSeconds_(HealthSamples), tokenSeconds_(HealthSamples),
      failures_(HealthSamples)
{}

void EndpointHealth::onSent(const RequestId &request, Interval expected, Instant now)
{
    open_[request] = OpenTry{expected, now, Never};
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
    if (!counts(open)) {
        return;
    }
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

double EndpointHealth::slowness() const
{
    const bool noticed = firstTokenSeconds_.mean() > UnnoticedSeconds;
    return firstToken_.samples() >= FewestSamples && noticed ? firstToken_.mean() : 0.0;
}

double EndpointHealth::tokenSlowness() const
{
    return tokenSeconds_.samples() >= FewestSamples ? tokenSeconds_.mean() : 0.0;
}

double EndpointHealth::pendingSlowness(Instant now) const
{
    if (!firstTokensTold_ || pending_.size() < 2) {
        return 0.0;
    }
    const OpenTry &open = open_.at(pending_[1]);
    const double waited = secondsOf(now - open.sentAt);
    return waited > UnnoticedSeconds ? waited / std::max(secondsOf(open.expected), 1e-6) : 0.0;
}

void OutlierDetection::review(std::span<EndpointHealth *const> peers, Instant now)
{
    nextReviewAt_ = now + settings_.reviewInterval;
    const Medians medians = mediansOf(peers);
    std::size_t out = 0;
    for (EndpointHealth *peer : peers) {
        if (peer->probing(now)) {
            settleProbe(*peer, medians, now);
        }
        out += peer->ejected(now) || peer->probing(now) ? 1 : 0;
    }
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
        --mayLeave;
        nextShiftAt_ = now + settings_.shiftInterval;
    }
}

OutlierDetection::Medians OutlierDetection::mediansOf(std::span<EndpointHealth *const> peers)
{
    std::vector<double> firstTokens;
    std::vector<double> tokens;
    std::vector<double> failures;
    for (const EndpointHealth *peer : peers) {
        if (peer->firstToken_.samples() >= FewestSamples) {
            firstTokens.push_back(peer->firstToken_.mean());
        }
        if (peer->tokenSeconds_.samples() >= FewestSamples) {
            tokens.push_back(peer->tokenSeconds_.mean());
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
        && (health.slowness() > slowLimit
            || health.pendingSlowness(now) > PendingFactor * slowLimit)) {
        return true;
    }
    return medians.token > 0.0 && health.tokenSlowness() > settings_.slowFactor * medians.token;
}

void OutlierDetection::settleProbe(EndpointHealth &health, const Medians &medians, Instant now)
{
    const double slowLimit = settings_.slowFactor * medians.firstToken;
    const bool slow = medians.firstToken > 0.0 && health.firstToken_.mean() > slowLimit
                      && health.firstTokenSeconds_.mean() > UnnoticedSeconds;
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
