/// How an exchange goes on when its endpoint falls silent and another one is asked.

#include <fmt/format.h>

#include "sequoiagate/Proxy/Exchange.h"

namespace sequoiagate {

void Exchange::SilentAttemptObserver::onHead(const ResponseHead &head)
{
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (!isSuccess && !exchange_.awaitsSilentAttempt_) {
        // The other endpoint may still serve the request.
        exchange_.onSilentAttemptLost(fmt::format("the endpoint answered {}", head.status));
        return;
    }
    takeOver();
    exchange_.onHead(head);
}

void Exchange::SilentAttemptObserver::onBody(std::string_view bytes)
{
    takeOver();
    exchange_.onBody(bytes);
}

void Exchange::SilentAttemptObserver::takeOver()
{
    exchange_.silentAttempt_->connection->setObserver(exchange_);
    exchange_.resumeSilentAttempt();
}

void Exchange::SilentAttemptObserver::onDone()
{
    // The call is over: its connection reports nothing more.
    exchange_.resumeSilentAttempt();
    exchange_.onDone();
}

void Exchange::SilentAttemptObserver::onFailed(CallFailure, const std::string &detail)
{
    exchange_.onSilentAttemptLost(detail);
}

void Exchange::keepSilentAttempt()
{
    dropSilentAttempt();
    disarmStallTimer();
    if (!attempt_->connection->wasConnected()) {
        cancelAttempt(false);
        return;
    }
    // It is placed as if it had ended, so that others avoid the endpoint.
    reportAttemptEnd(false);
    attempt_->connection->setObserver(silentObserver_);
    silentAttempt_ = std::exchange(attempt_, std::nullopt);
}

void Exchange::resumeSilentAttempt()
{
    placementTimer_.disarm();
    recordLocalEnd(AttemptOutcome::Cancelled);
    cancelAttempt(true);
    attempt_ = std::exchange(silentAttempt_, std::nullopt);
    attempt_->outcome = AttemptOutcome::ConnectionLost;
    awaitsSilentAttempt_ = false;
    statechart_.handle("heard");
    log(Event("request.heard_again")
                .with("endpoint", attempt_->endpoint)
                .with("behind_event", lastEventId_.value_or(0)));
    context_.metrics.count("proxy_silent_endpoints_heard_again_total");
}

void Exchange::dropSilentAttempt()
{
    if (!silentAttempt_) {
        return;
    }
    silentAttempt_->connection->cancel();
    attemptOutcomes_.push_back(silentAttempt_->outcome);
    silentAttempt_.reset();
}

void Exchange::onSilentAttemptLost(const std::string &detail)
{
    dropSilentAttempt();
    if (std::exchange(awaitsSilentAttempt_, false)) {
        fail(streaming_ ? Reason::StreamCut : Reason::EndpointFailed, detail, 502);
    }
}

bool Exchange::awaitSilentAttempt(Reason reason, const std::string &detail)
{
    // These end the request, whatever its endpoints do.
    const bool isFinal = reason == Reason::Timeout || reason == Reason::Draining;
    if (!silentAttempt_ || isFinal) {
        return false;
    }
    awaitsSilentAttempt_ = true;
    log(Event("request.awaits_silent_endpoint")
                .with("endpoint", silentAttempt_->endpoint)
                .with("why", detail));
    return true;
}

} // namespace sequoiagate
