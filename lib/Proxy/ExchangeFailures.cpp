/// How an exchange goes on, or ends, when an attempt or the request fails.

#include <algorithm>

#include <fmt/format.h>

#include "Refusals.h"
#include "sequoiagate/Proxy/Exchange.h"

namespace sequoiagate {

namespace {

/// Endpoints abort a response that stays unread for some seconds. A loss counts as such an abort
/// if reading was paused for at least this long,
constexpr Interval MinUnreadTime = std::chrono::seconds(1);

/// and was resumed at most this long ago: what the endpoint had sent before is read first.
constexpr Interval MaxAfterUnread = std::chrono::seconds(1);

/// Maximum number of endpoints that a request fails to connect to. At 0.4 s each, three use up
/// most of the 1.5 s that short calls wait.
constexpr uint32_t MaxConnectFailures = 3;

/// Maximum number of hosts that fail as relays of a request. Most refuse within a round trip.
constexpr uint32_t MaxRelayFailures = 4;

/// The parts of \p prompt that other requests may share, for logs.
std::string describeShared(const std::vector<PromptPart> &prompt)
{
    std::string text;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        text += fmt::format("{}{:x}", text.empty() ? "" : " ", prompt[i].id);
    }
    return text;
}

/// The part of \p prompt that belongs to the request or its session, for logs.
std::string describeOwn(const std::vector<PromptPart> &prompt)
{
    return prompt.empty() ? "" : fmt::format("{:x}", prompt.back().id);
}

std::optional<Interval> timeUntil(std::optional<Instant> at, Instant now)
{
    return at ? std::optional(std::max(*at - now, Interval::zero())) : std::nullopt;
}

} // namespace

void Exchange::onNotExecuted()
{
    --possibleExecutions_;
    const Instant now = std::chrono::steady_clock::now();
    const int status = attempt_->head.status;
    const EndpointId endpoint = attempt_->endpoint;
    if (status == MisdirectedStatus) {
        context_.placement.onStaleEndpoint(endpoint, now);
    }
    attempt_->outcome = AttemptOutcome::NotExecuted;
    endAttempt(status != MisdirectedStatus);
    statechart_.handle("not_run");
    const std::string detail = fmt::format("endpoint {} refused with {}", endpoint.text(), status);
    const bool mayRetryNow =
            sendCount_ < route_->maxAttempts && context_.placement.mayRetry(service_->name, now);
    if (mayRetryNow) {
        retryElsewhere(detail);
        return;
    }
    const Instant retryAt =
            context_.placement.returnTime(workItem(), now).value_or(now + RetryDelay);
    refuse({Execution::NotRun, Reason::NoEndpoint, detail, retryAt});
}

void Exchange::onFailed(CallFailure failure, const std::string &detail)
{
    const Instant now = std::chrono::steady_clock::now();
    if (failure == CallFailure::RelayEnded) {
        // Says nothing of the endpoint.
        logLoss(detail, now);
        endAttempt(true);
        retryOrFail(detail);
        return;
    }
    if (failure == CallFailure::Malformed) {
        onMalformedResponse(detail);
        return;
    }
    if (failure != CallFailure::MaybeSent) {
        // No byte was sent, so this doesn't count as a sent attempt.
        --possibleExecutions_;
        --sendCount_;
        if (failure == CallFailure::NotConnected) {
            onNotConnected(detail, now);
        } else {
            const bool refused = failure == CallFailure::RelayRefused;
            onRelayFailed(refused ? RelayResult::Refused : RelayResult::Unreachable, detail, now);
        }
        return;
    }
    if (wasLeftUnread(now)) {
        // The endpoint is sound, and its prompt isn't to blame.
        logUnread(detail, now);
        endAttempt(true);
        retryOrFail("the endpoint aborted the unread response: " + detail);
        return;
    }
    logLoss(detail, now);
    reportLoss(now);
    endAttempt(false);
    retryOrFail(detail);
}

void Exchange::onMalformedResponse(const std::string &detail)
{
    // The endpoint has responded, so the request isn't reported as one that ends its endpoints.
    log(Event("response.malformed")
                .with("endpoint", attempt_->endpoint)
                .with("relay", attempt_->relay)
                .with("detail", detail)
                .with("events", forwardedEvents_));
    context_.metrics.count("proxy_malformed_responses_total");
    const bool hasHead = attempt_->head.status != 0;
    if (!hasHead) {
        attempt_->outcome = AttemptOutcome::ResponseRejected;
    }
    endAttempt(false);
    retryOrFail(detail);
}

bool Exchange::wasLeftUnread(Instant now) const
{
    return attempt_->longestPause >= MinUnreadTime
           && (attempt_->pausedAt != Never || now - attempt_->resumedAt <= MaxAfterUnread);
}

void Exchange::logUnread(const std::string &detail, Instant now)
{
    log(Event("request.left_unread")
                .with("endpoint", attempt_->endpoint)
                .with("detail", detail)
                .with("paused_ms",
                      std::chrono::duration_cast<Millis>(attempt_->longestPause).count())
                .with("resumed_ago_ms",
                      std::chrono::duration_cast<Millis>(now - attempt_->resumedAt).count())
                .with("events", forwardedEvents_)
                .with("may_resume", mayRetry()));
    context_.metrics.count("proxy_responses_left_unread_total");
}

void Exchange::logLoss(const std::string &detail, Instant now)
{
    const auto age = std::chrono::duration_cast<Millis>(now - attempt_->sentAt);
    log(Event("request.connection_lost")
                .with("endpoint", attempt_->endpoint)
                .with("started_at", attempt_->startedAtMillis)
                .with("relay", attempt_->relay)
                .with("detail", detail)
                .with("age_ms", age.count())
                .with("events", forwardedEvents_)
                .with("shared_parts", describeShared(metadata_.prompt))
                .with("own_part", describeOwn(metadata_.prompt))
                .with("request_key", fmt::format("{:016x}", identity_.request)));
}

void Exchange::reportLoss(Instant now)
{
    if (attempt_->outcome != AttemptOutcome::ConnectionLost) {
        return;
    }
    const EndpointProcess process{attempt_->endpoint, attempt_->startedAtMillis};
    context_.requests.onEndpointLost(identity_, process, attempt_->sentAt, now);
    repeatAt_ = context_.requests.repeatTime(now);
    if (metadata_.prompt.empty() || attempt_->isAnswerReported) {
        return;
    }
    context_.prompts.onConnectionLost({service_->name, process, attempt_->relay, attempt_->sentAt},
                                      metadata_.prompt, now);
}

void Exchange::onNotConnected(const std::string &detail, Instant now)
{
    // While this host's own link is saturated, no endpoint connects in time. Treating each one
    // as dead and trying the next led to 6,700 attempts in a minute on a link of 10 Mbit/s and
    // kept callers waiting until their deadlines.
    const bool ownLinkBusy = context_.link.busy(now);
    if (!ownLinkBusy && attempt_->relay.empty()) {
        context_.placement.onConnectFailed(attempt_->endpoint, now);
    } else if (!ownLinkBusy) {
        context_.placement.onStaleEndpoint(attempt_->endpoint, now);
    }
    attempt_->outcome = AttemptOutcome::NotConnected;
    endAttempt(false);
    statechart_.handle("not_run");
    ++connectFailures_;
    if (ownLinkBusy || connectFailures_ >= MaxConnectFailures) {
        refuse({Execution::NotRun, ownLinkBusy ? Reason::QueueFull : Reason::NoEndpoint, detail,
                now + (ownLinkBusy ? RetryElsewhereDelay : RetryDelay)});
        return;
    }
    retryElsewhere(detail);
}

void Exchange::onRelayFailed(RelayResult result, const std::string &detail, Instant now)
{
    context_.placement.onRelayResult(attempt_->relay, result, now);
    attempt_->outcome = AttemptOutcome::NotConnected;
    endAttempt(true);
    // The endpoint may still serve the request, through another relay.
    triedEndpoints_.pop_back();
    statechart_.handle("not_run");
    if (++relayFailures_ >= MaxRelayFailures) {
        refuse({Execution::NotRun, Reason::NoEndpoint, detail, now + RetryElsewhereDelay});
        return;
    }
    retryElsewhere(detail);
}

void Exchange::retryOrFail(const std::string &detail)
{
    const Instant now = std::chrono::steady_clock::now();
    if (mayRetry() && context_.placement.mayRetry(service_->name, now)) {
        statechart_.handle("cut");
        retryElsewhere(detail);
        return;
    }
    fail(streaming_ ? Reason::StreamCut : Reason::EndpointFailed, detail, 502);
}

void Exchange::retryElsewhere(const std::string &detail)
{
    log(Event("request.repeats")
                .with("why", detail)
                .with("behind_event", lastEventId_.value_or(0)));
    context_.metrics.count("proxy_repeats_total");
    place();
}

void Exchange::refuse(Verdict verdict)
{
    const Instant now = std::chrono::steady_clock::now();
    if (possibleExecutions_ > 0) {
        const bool isQuarantined = verdict.reason == Reason::RequestQuarantined;
        fail(verdict.reason, verdict.detail, 502, isQuarantined ? verdict.retryAt : std::nullopt);
        return;
    }
    cancelAttempt(true);
    const std::optional<Interval> after = timeUntil(verdict.retryAt, now);
    const int status = refusalStatus(verdict.reason);
    log(Event("request.refused")
                .with("workspace", workspace_ == nullptr ? WorkspaceId() : workspace_->name)
                .with("reason", reasonName(verdict.reason))
                .with("detail", verdict.detail)
                .with("execution", executionName(verdict.execution))
                .with("come_back_ms",
                      after ? std::chrono::duration_cast<Millis>(*after).count() : -1));
    context_.metrics.count("proxy_refusals_total",
                           {{"reason", std::string(reasonName(verdict.reason))}});
    const std::string body = refusalBody(verdict);
    sink_.sendResponse(context_.dialect.encodeRefusal(status, metadata_.id, after), body);
    finish("refuse", "refused", status);
}

void Exchange::refuseByConfig(Reason reason, const std::string &detail)
{
    if (context_.configIsCurrent()) {
        refuse({Execution::NotRun, reason, detail, {}});
        return;
    }
    refuse({Execution::NotRun, Reason::NotReady, detail + "; the configuration may be out of date",
            std::chrono::steady_clock::now() + RetryElsewhereDelay});
}

void Exchange::fail(Reason reason, const std::string &detail, int status,
                    std::optional<Instant> retryAt)
{
    cancelAttempt(false);
    if (awaitSilentAttempt(reason, detail)) {
        return;
    }
    log(Event("request.failed")
                .with("reason", reasonName(reason))
                .with("detail", detail)
                .with("execution", executionName(Execution::MayHaveRun)));
    context_.metrics.count("proxy_failures_total", {{"reason", std::string(reasonName(reason))}});
    if (streaming_) {
        sink_.abort();
    } else {
        const Verdict verdict{Execution::MayHaveRun, reason, detail, {}};
        const auto after = timeUntil(retryAt, std::chrono::steady_clock::now());
        sink_.sendResponse(context_.dialect.encodeRefusal(status, metadata_.id, after),
                           refusalBody(verdict));
    }
    finish("give_up", "failed", status);
}

void Exchange::onDeadline()
{
    if (ended()) {
        return;
    }
    if (possibleExecutions_ > 0) {
        recordLocalEnd(AttemptOutcome::TimedOut);
        fail(Reason::Timeout, "the time for this request is over", 504);
        return;
    }
    refuse({Execution::NotRun, Reason::Timeout, "the time for this request is over",
            std::chrono::steady_clock::now() + RetryDelay});
}

} // namespace sequoiagate
