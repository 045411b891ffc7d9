#include "sequoiagate/Proxy/Exchange.h"

#include <algorithm>

#include <fmt/format.h>

#include "Refusals.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// A plain answer up to this size is held until it is whole, so that a broken one can be
/// replaced by another endpoint's. The users' are under 5 KB.
constexpr std::size_t MostHeldBytes = 256 * 1024;

/// Bytes that a caller may leave untaken before its endpoint is no longer read. Some
/// hundred events; it bounds memory, and the endpoint feels that its caller is slow.
constexpr std::size_t MostBacklogBytes = 128 * 1024;

/// An endpoint that is silent for this many times the route's objective is given up where
/// another may run the request: 2.5 is past what a queue at a sound endpoint takes, and
/// leaves another one time within the route's timeout (five objectives and more).
constexpr double SilenceFactor = 2.5;

/// The same for a pause in a stream, in objectives for pauses: callers leave at eight.
constexpr double PauseFactor = 4.0;

/// Endpoints that a request tries to connect to: at 0.4 s each the third uses up most of the
/// second and a half that short calls wait.
constexpr uint32_t MostUnconnected = 3;

Interval scaled(Interval interval, double factor)
{
    return std::chrono::duration_cast<Interval>(interval * factor);
}

Millis millis(Interval interval)
{
    return std::chrono::duration_cast<Millis>(interval);
}

} // namespace

Exchange::Exchange(ProxyContext &context, CallerRequest request, ResponseSink &sink)
    : context_(context), request_(std::move(request)), sink_(sink), position_(context.chart),
      deadlineTimer_(context.io), silenceTimer_(context.io)
{}

Exchange::~Exchange() = default;

Interval Exchange::remaining(Instant now) const
{
    return std::max(deadline_ - now, Interval::zero());
}

void Exchange::log(Event event)
{
    context_.log.write(std::move(event).with("request", terms_.id));
}

void Exchange::start()
{
    self_ = shared_from_this();
    terms_ = context_.dialect.decodeCaller(request_.head);
    config_ = context_.config();
    // A caller whose stream broke off goes on behind what it has; sent from the start, its
    // stream would have pieces twice.
    lastEvent_ = terms_.lastEventId;
    decide();
}

void Exchange::decide()
{
    if (!allowed()) {
        return;
    }
    deadline_ = request_.receivedAt + std::min(route_->timeout, terms_.timeout);
    deadlineTimer_.expires_at(deadline_);
    deadlineTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->onDeadline();
        }
    });
    reserve();
}

bool Exchange::allowed()
{
    const Instant now = request_.receivedAt;
    if (!config_) {
        refuse({Execution::NotRun, Reason::NotReady, "no configuration is known yet",
                now + ComeBackSoon});
        return false;
    }
    const std::string *host = findField(request_.head.fields, "Host");
    if (host == nullptr || terms_.id.empty()) {
        refuse({Execution::NotRun, Reason::BadRequest, "a request needs a host and an id", {}});
        return false;
    }
    route_ = config_->findRoute(*host, request_.head.target);
    if (route_ == nullptr) {
        refuseByConfig(Reason::UnknownRoute, "no route has that host and path");
        return false;
    }
    if (!route_->requiresApiKey) {
        return true;
    }
    workspace_ = config_->findWorkspaceByKey(terms_.key);
    if (workspace_ == nullptr) {
        refuseByConfig(Reason::Unauthenticated, "no workspace has that key");
        return false;
    }
    return true;
}

void Exchange::reserve()
{
    // The parts of a split route get their share by chance; a repeat stays at its service.
    uint32_t total = 0;
    for (const WeightedService &part : route_->services) {
        total += part.weight;
    }
    if (total == 0) {
        refuse({Execution::NotRun, Reason::NoEndpoint, "the route leads nowhere",
                request_.receivedAt + ComeBackSoon});
        return;
    }
    uint64_t pick = stableHash(terms_.id.text()) % total;
    for (const WeightedService &part : route_->services) {
        service_ = config_->findService(part.service);
        if (pick < part.weight) {
            break;
        }
        pick -= part.weight;
    }
    if (service_ == nullptr) {
        refuse({Execution::NotRun, Reason::NoEndpoint, "the route's service isn't configured",
                request_.receivedAt + ComeBackSoon});
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    if (context_.link.refuses(request_.body.size(), now)) {
        refuse({Execution::NotRun, Reason::QueueFull, "this host's link is full",
                now + ComeBackElsewhere});
        return;
    }
    context_.placement.onRequest(service_->name, request_.receivedAt);
    const bool prepaid = workspace_ != nullptr && workspace_->isPrepaid && terms_.countsTokens;
    if (!prepaid) {
        place();
        return;
    }
    position_.handle("reserve");
    reserved_ = terms_.promptTokens + terms_.maxOutputTokens;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    const TokenRequestId ticket = context_.tokens.reserve(
            workspace_->name, reserved_, deadline_, [weak](std::optional<Verdict> refusal) {
                if (const std::shared_ptr<Exchange> self = weak.lock()) {
                    self->onReserved(std::move(refusal));
                }
            });
    if (!holdsTokens_ && !ended()) {
        ticket_ = ticket;
    }
}

void Exchange::onReserved(std::optional<Verdict> refusal)
{
    ticket_.reset();
    if (refusal && refusal->reason == Reason::BudgetSpent) {
        refuseByConfig(refusal->reason, refusal->detail);
        return;
    }
    if (refusal) {
        refuse(std::move(*refusal));
        return;
    }
    holdsTokens_ = true;
    place();
}

WorkItem Exchange::workItem() const
{
    WorkItem item;
    item.request = terms_.id;
    item.workspace = workspace_ == nullptr ? WorkspaceId() : workspace_->name;
    item.service = service_->name;
    const bool urgent = route_->priority == 0;
    item.workClass = urgent ? WorkClass::Interactive : WorkClass::Batch;
    item.promptTokens = terms_.promptTokens;
    item.outputCeiling = terms_.maxOutputTokens;
    item.idempotent = route_->kind == RouteKind::Idempotent || route_->resumable;
    item.arrivedAt = request_.receivedAt;
    item.deadline = deadline_;
    return item;
}

void Exchange::place()
{
    position_.handle("place");
    const Instant now = std::chrono::steady_clock::now();
    PlacementResult placing = context_.placement.place(workItem(), terms_.prompt, tried_, now);
    if (auto *verdict = std::get_if<Verdict>(&placing)) {
        if (sends_ > 0 && possibleRuns_ > 0) {
            fail(Reason::EndpointFailed, verdict->detail, 502);
            return;
        }
        refuse(std::move(*verdict));
        return;
    }
    send(std::get<PlacementTarget>(placing));
}

RequestHead Exchange::forwardHead(Instant now, const EndpointId &endpoint) const
{
    ForwardMetadata terms;
    terms.timeout = remaining(now);
    terms.endpoint = endpoint;
    terms.resumeBehind = lastEvent_;
    if (workspace_ != nullptr) {
        terms.workspace = workspace_->name;
    }
    terms.byUrgency = service_->isModelEngine;
    terms.urgency = workspace_ != nullptr && workspace_->overridesPriority ? workspace_->priority
                                                                           : route_->priority;
    return context_.dialect.encodeForward(request_.head, terms);
}

void Exchange::send(const PlacementTarget &placed)
{
    const Instant now = std::chrono::steady_clock::now();
    position_.handle("send");
    tried_.push_back(placed.endpoint);
    ++sends_;
    ++possibleRuns_;
    attempt_.emplace(placed.endpoint, now);
    const bool repeatable = route_->kind == RouteKind::Idempotent || route_->resumable;
    attempt_->connection = repeatable ? context_.pool.take(placed.address, now)
                                      : context_.pool.take(placed.address, FreshForOnce, now);
    log(Event("request.sent")
                .with("endpoint", placed.endpoint)
                .with("why", placed.reason)
                .with("attempt", sends_)
                .with("left_ms", millis(remaining(now)).count())
                .with("config", config_->version));
    context_.placement.onSent(placed.endpoint, workItem(), now);
    std::string bytes = writeRequestHead(forwardHead(now, placed.endpoint), request_.body.size());
    bytes += request_.body;
    context_.link.onSent(bytes.size(), now);
    armSilence(scaled(route_->latencyTarget, SilenceFactor));
    attempt_->connection->call(std::move(bytes), *this);
}

void Exchange::armSilence(Interval limit)
{
    silentAt_ = mayRunAgain() ? std::chrono::steady_clock::now() + limit : Never;
    if (!awaitsSilence_ && silentAt_ != Never) {
        awaitSilence();
    }
}

void Exchange::awaitSilence()
{
    // Each event moves the moment; the timer looks again when it fires, since arming it for
    // each event cost as much as reading one.
    awaitsSilence_ = true;
    silenceTimer_.arm(silentAt_, [self = shared_from_this()] {
        self->awaitsSilence_ = false;
        if (!self->attempt_ || self->silentAt_ == Never) {
            return;
        }
        if (std::chrono::steady_clock::now() < self->silentAt_) {
            self->awaitSilence();
            return;
        }
        self->onSilence();
    });
}

void Exchange::noLongerAwaitSilence()
{
    silentAt_ = Never;
    awaitsSilence_ = false;
    silenceTimer_.disarm();
}

void Exchange::onSilence()
{
    if (ended() || !mayRunAgain()) {
        return;
    }
    if (!context_.placement.mayRetry(service_->name, std::chrono::steady_clock::now())) {
        return;
    }
    noteBrokenOff(AttemptOutcome::Stalled);
    dropAttempt(false);
    position_.handle("cut");
    tryElsewhere("the endpoint is silent");
}

bool Exchange::mayRunAgain() const
{
    const bool repeatable = route_->kind == RouteKind::Idempotent || route_->resumable;
    return repeatable && sends_ < route_->maxAttempts;
}

void Exchange::onHead(const ResponseHead &head)
{
    attempt_->head = head;
    attempt_->terms = context_.dialect.decodeResponse(head);
    const ResponseMetadata &terms = attempt_->terms;
    const Instant now = std::chrono::steady_clock::now();
    if (terms.keptOpenFor) {
        // Half a second before the endpoint's own time: a request that crosses its close
        // may have run.
        constexpr Interval Margin = std::chrono::milliseconds(500);
        attempt_->connection->setIdleUntil(now + *terms.keptOpenFor - Margin);
    }
    const bool good = head.status >= 200 && head.status < 300;
    const bool needsId = good && !terms.notExecuted;
    const bool foreign = terms.echoedId.empty() ? needsId : terms.echoedId != terms_.id;
    // Without the signature any status may be another program's that has the address by now.
    const bool isUnsigned = !terms.notExecuted && !terms.signedByEndpoint;
    const bool spoilt = isUnsigned || (needsId && terms.encoded);
    if (foreign || spoilt) {
        // An answer to somebody else's request, come late, or not the endpoint's own. What
        // follows on this connection can't be trusted either.
        attempt_->end = AttemptOutcome::ResponseRejected;
        dropAttempt(false);
        runAgainOrFail(foreign ? "another request's answer came" : "the answer is spoilt");
        return;
    }
    if (terms.notExecuted) {
        return;
    }
    attempt_->answering = good;
    if (good && route_->kind != RouteKind::Stream) {
        armSilence(scaled(route_->latencyTarget, SilenceFactor));
    }
}

void Exchange::onBody(std::string_view bytes)
{
    context_.link.onReceived(bytes.size(), std::chrono::steady_clock::now());
    Attempt &attempt = *attempt_;
    if (attempt.answering && route_->kind == RouteKind::Stream) {
        onStreamBytes(bytes);
        return;
    }
    if (attempt.passThrough) {
        sink_.streamData(bytes);
    } else {
        attempt.body.append(bytes);
        if (attempt.answering && attempt.body.size() > MostHeldBytes) {
            attempt.passThrough = true;
            plainAnswerTold_ = true;
            beginStream();
            sink_.streamData(std::exchange(attempt.body, std::string()));
        }
    }
    if (sink_.backlog() > MostBacklogBytes) {
        attempt.connection->pauseReading();
    }
}

void Exchange::beginStream()
{
    if (!streaming_) {
        streaming_ = true;
        sink_.beginStream(context_.dialect.encodeResponse(attempt_->head));
    }
}

void Exchange::onStreamBytes(std::string_view bytes)
{
    for (const StreamEvent &event : attempt_->splitter.feed(bytes)) {
        if (!takeEvent(event)) {
            return;
        }
    }
    if (attempt_->splitter.overflowed()) {
        dropAttempt(false);
        runAgainOrFail("an event is too large");
        return;
    }
    if (attempt_->firstEvent) {
        armSilence(scaled(route_->eventGapTarget, PauseFactor));
    }
    if (sink_.backlog() > MostBacklogBytes) {
        attempt_->connection->pauseReading();
    }
}

bool Exchange::takeEvent(const StreamEvent &event)
{
    if (event.id && lastEvent_ && *event.id != *lastEvent_ + 1) {
        dropAttempt(false);
        runAgainOrFail("the events aren't in order");
        return false;
    }
    if (!attempt_->firstEvent) {
        attempt_->firstEvent = true;
        const Instant now = std::chrono::steady_clock::now();
        context_.placement.onFirstToken(attempt_->endpoint, terms_.id, now);
        position_.handle("event");
    }
    beginStream();
    if (event.id) {
        lastEvent_ = event.id;
    }
    ++eventsTold_;
    sink_.streamData(event.bytes);
    return true;
}

void Exchange::callerTook()
{
    if (attempt_ && sink_.backlog() <= MostBacklogBytes / 2) {
        attempt_->connection->resumeReading();
    }
}

void Exchange::onDone()
{
    if (attempt_->terms.notExecuted) {
        onNotExecuted();
        return;
    }
    if (!attempt_->answering) {
        onPlainAnswer();
        return;
    }
    if (route_->kind != RouteKind::Stream) {
        onPlainAnswer();
        return;
    }
    if (attempt_->splitter.pending() > 0 || !attempt_->firstEvent) {
        endAttempt(false);
        runAgainOrFail("the stream ended inside an event");
        return;
    }
    attempt_->end = AttemptOutcome::Completed;
    endAttempt(true);
    sink_.endStream();
    finish("whole", "answered", 200);
}

void Exchange::onPlainAnswer()
{
    const int status = attempt_->head.status;
    const bool failed = status >= 500;
    attempt_->end = attempt_->answering ? AttemptOutcome::Completed : AttemptOutcome::Failed;
    if (failed && mayRunAgain()
        && context_.placement.mayRetry(service_->name, std::chrono::steady_clock::now())) {
        endAttempt(false);
        position_.handle("cut");
        tryElsewhere(fmt::format("the endpoint answered {}", status));
        return;
    }
    if (streaming_ && !attempt_->passThrough) {
        // The caller has a part of a stream that this endpoint was to go on with. Ending it
        // here would frame that part as the whole.
        endAttempt(!failed);
        fail(Reason::StreamCut, fmt::format("the stream was to go on, and {} came", status), 502);
        return;
    }
    const ResponseHead head = context_.dialect.encodeResponse(attempt_->head);
    const std::string body = std::move(attempt_->body);
    plainAnswerTold_ = plainAnswerTold_ || attempt_->answering;
    endAttempt(!failed);
    if (streaming_) {
        sink_.endStream();
    } else {
        sink_.answer(head, body);
    }
    finish("whole", failed ? "failed_by_endpoint" : "answered", status);
}

void Exchange::onNotExecuted()
{
    --possibleRuns_;
    const Instant now = std::chrono::steady_clock::now();
    const int status = attempt_->head.status;
    const EndpointId endpoint = attempt_->endpoint;
    if (status == 421) {
        context_.placement.onStaleEndpoint(endpoint, now);
    }
    attempt_->end = AttemptOutcome::NotExecuted;
    endAttempt(status != 421);
    position_.handle("not_run");
    const std::string why = fmt::format("endpoint {} refused with {}", endpoint.text(), status);
    const bool again =
            sends_ < route_->maxAttempts && context_.placement.mayRetry(service_->name, now);
    if (again) {
        tryElsewhere(why);
        return;
    }
    refuse({Execution::NotRun, Reason::NoEndpoint, why, now + ComeBackSoon});
}

void Exchange::onBroken(CallBreak how, const std::string &why)
{
    const Instant now = std::chrono::steady_clock::now();
    if (how == CallBreak::NotConnected) {
        // No byte left, so this sending wasn't one.
        --possibleRuns_;
        --sends_;
        onNotConnected(why, now);
        return;
    }
    endAttempt(false);
    runAgainOrFail(why);
}

void Exchange::onNotConnected(const std::string &why, Instant now)
{
    // While this host's own link is full no endpoint connects in time. Taking each for dead
    // and trying the next made 6,700 tries in a minute on a link of 10 Mbit/s, and kept
    // callers until their deadlines.
    const bool ownLink = context_.link.busy(now);
    if (!ownLink) {
        context_.placement.onStaleEndpoint(attempt_->endpoint, now);
    }
    attempt_->end = AttemptOutcome::NotConnected;
    endAttempt(false);
    position_.handle("not_run");
    ++unconnected_;
    if (ownLink || unconnected_ >= MostUnconnected) {
        refuse({Execution::NotRun, ownLink ? Reason::QueueFull : Reason::NoEndpoint, why,
                now + (ownLink ? ComeBackElsewhere : ComeBackSoon)});
        return;
    }
    tryElsewhere(why);
}

void Exchange::runAgainOrFail(const std::string &why)
{
    const Instant now = std::chrono::steady_clock::now();
    if (mayRunAgain() && context_.placement.mayRetry(service_->name, now)) {
        position_.handle("cut");
        tryElsewhere(why);
        return;
    }
    fail(streaming_ ? Reason::StreamCut : Reason::EndpointFailed, why, 502);
}

void Exchange::tryElsewhere(const std::string &why)
{
    log(Event("request.repeats").with("why", why).with("behind_event", lastEvent_.value_or(0)));
    context_.metrics.count("proxy_repeats_total");
    place();
}

void Exchange::endAttempt(bool succeeded)
{
    noLongerAwaitSilence();
    if (!attempt_) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    AttemptResult result;
    result.endpoint = attempt_->endpoint;
    result.request = terms_.id;
    result.succeeded = succeeded;
    result.tokens = eventsTold_;
    if (route_->kind != RouteKind::Stream) {
        result.firstToken = now - attempt_->sentAt;
    }
    ends_.push_back(attempt_->end);
    attempt_.reset();
    context_.placement.onAttemptEnd(result, now);
}

void Exchange::dropAttempt(bool succeeded)
{
    if (attempt_) {
        attempt_->connection->cancel();
    }
    endAttempt(succeeded);
}

void Exchange::refuse(Verdict verdict)
{
    const Instant now = std::chrono::steady_clock::now();
    if (possibleRuns_ > 0) {
        fail(verdict.reason, verdict.detail, 502);
        return;
    }
    dropAttempt(true);
    std::optional<Interval> after;
    if (verdict.retryAt) {
        after = std::max(*verdict.retryAt - now, Interval::zero());
    }
    const int status = refusalStatus(verdict.reason);
    log(Event("request.refused")
                .with("workspace", workspace_ == nullptr ? WorkspaceId() : workspace_->name)
                .with("reason", reasonName(verdict.reason))
                .with("detail", verdict.detail)
                .with("execution", executionName(verdict.execution))
                .with("come_back_ms", after ? millis(*after).count() : -1));
    context_.metrics.count("proxy_refusals_total",
                           {{"reason", std::string(reasonName(verdict.reason))}});
    const std::string body = refusalBody(verdict);
    sink_.answer(context_.dialect.encodeRefusal(status, terms_.id, after), body);
    finish("refuse", "refused", status);
}

void Exchange::refuseByConfig(Reason reason, const std::string &why)
{
    if (context_.configIsCurrent()) {
        refuse({Execution::NotRun, reason, why, {}});
        return;
    }
    refuse({Execution::NotRun, Reason::NotReady, why + "; the configuration may be out of date",
            std::chrono::steady_clock::now() + ComeBackElsewhere});
}

void Exchange::fail(Reason reason, const std::string &why, int status)
{
    dropAttempt(false);
    log(Event("request.failed")
                .with("reason", reasonName(reason))
                .with("detail", why)
                .with("execution", executionName(Execution::MayHaveRun)));
    context_.metrics.count("proxy_failures_total", {{"reason", std::string(reasonName(reason))}});
    if (streaming_) {
        sink_.abort();
    } else {
        const Verdict verdict{Execution::MayHaveRun, reason, why, {}};
        sink_.answer(context_.dialect.encodeRefusal(status, terms_.id, std::nullopt),
                     refusalBody(verdict));
    }
    finish("give_up", "failed", status);
}

void Exchange::onDeadline()
{
    if (ended()) {
        return;
    }
    if (possibleRuns_ > 0) {
        noteBrokenOff(AttemptOutcome::TimedOut);
        fail(Reason::Timeout, "the time for this request is over", 504);
        return;
    }
    refuse({Execution::NotRun, Reason::Timeout, "the time for this request is over",
            std::chrono::steady_clock::now() + ComeBackSoon});
}

void Exchange::callerGone(CallerCloseReason why, const std::string &detail)
{
    if (ended() || !self_) {
        return;
    }
    log(Event("request.caller_gone")
                .with("why", callerCloseName(why))
                .with("detail", detail)
                .with("passed_on", possibleRuns_ > 0)
                .with("answering", streaming_));
    noteBrokenOff(AttemptOutcome::Cancelled);
    dropAttempt(true);
    finish("hang_up", "cancelled", 0);
}

void Exchange::cutOff()
{
    if (ended()) {
        return;
    }
    const std::string why = "the process ends";
    if (possibleRuns_ > 0) {
        noteBrokenOff(AttemptOutcome::Cancelled);
        fail(Reason::Draining, why, 502);
        return;
    }
    refuse({Execution::NotRun, Reason::Draining, why,
            std::chrono::steady_clock::now() + ComeBackElsewhere});
}

void Exchange::noteBrokenOff(AttemptOutcome end)
{
    if (attempt_) {
        attempt_->end = attempt_->connection->wasConnected() ? end : AttemptOutcome::NotConnected;
    }
}

uint64_t Exchange::spentTokens() const
{
    RequestUsage use;
    use.promptTokens = terms_.promptTokens;
    use.maxOutputTokens = terms_.maxOutputTokens;
    use.tokensPerEvent = service_->tokensPerEvent;
    use.attempts = ends_;
    use.eventsForwarded = eventsTold_;
    use.nonStreamingResponseForwarded = plainAnswerTold_;
    return tokensToCharge(use);
}

void Exchange::settle()
{
    if (ticket_) {
        context_.tokens.cancel(*ticket_);
        ticket_.reset();
    }
    if (holdsTokens_) {
        holdsTokens_ = false;
        context_.tokens.settle(workspace_->name, reserved_, spentTokens());
    }
}

void Exchange::finish(std::string_view event, std::string_view outcome, int status)
{
    const std::shared_ptr<Exchange> self = std::move(self_);
    const Instant now = std::chrono::steady_clock::now();
    const uint64_t spent = holdsTokens_ ? spentTokens() : 0;
    settle();
    deadlineTimer_.cancel();
    noLongerAwaitSilence();
    position_.handle(event);
    const Interval took = now - request_.receivedAt;
    log(Event("request.ended")
                .with("outcome", outcome)
                .with("status", status)
                .with("route", route_ == nullptr ? std::string() : route_->name)
                .with("workspace", workspace_ == nullptr ? WorkspaceId() : workspace_->name)
                .with("took_ms", millis(took).count())
                .with("events", eventsTold_)
                .with("tokens", spent)
                .with("attempts", sends_)
                .essential(spent > 0));
    context_.metrics.count("proxy_requests_total", {{"outcome", std::string(outcome)}});
    context_.metrics.observe("proxy_request_seconds", took, {{"outcome", std::string(outcome)}});
}

} // namespace sequoiagate
