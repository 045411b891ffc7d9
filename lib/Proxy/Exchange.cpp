#include "sequoiagate/Proxy/Exchange.h"

#include <algorithm>

#include <fmt/format.h>

#include "Refusals.h"
#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Proxy/RelayHandshake.h"

namespace sequoiagate {

namespace {

/// An endpoint that sends nothing for this multiple of the route's latency target counts as
/// stalled, and the request is retried elsewhere if it may be. 2.5 is more than the queueing
/// time at a healthy endpoint and leaves time for another endpoint within the route's timeout,
/// which is at least five times the target.
constexpr double StallTimeoutFactor = 2.5;

/// The same for a gap in a stream, as a multiple of the route's event gap target. Callers
/// disconnect at eight times the target.
constexpr double GapTimeoutFactor = 4.0;

/// Events of a stream after which its progress is reported. At an endpoint that becomes five times
/// slower they take 0.9 s, and it is to be noticed within 2 s.
constexpr uint64_t ProgressEvents = 4;

/// How long an endpoint may leave a request unacknowledged. Sound ones fall silent for a second or
/// so; a request that may be retried is, before that.
constexpr Millis MaxEndpointSilence{4000};

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
    : context_(context), request_(std::move(request)), sink_(sink), statechart_(context.chart),
      deadlineTimer_(context.io), stallTimer_(context.io), placementTimer_(context.io),
      continuity_(context.streamOrigins)
{}

Exchange::~Exchange() = default;

Interval Exchange::remaining(Instant now) const
{
    return std::max(deadline_ - now, Interval::zero());
}

void Exchange::log(Event event)
{
    context_.log.write(std::move(event).with("request", metadata_.id));
}

void Exchange::start()
{
    self_ = shared_from_this();
    metadata_ = context_.dialect.decodeCaller(request_.head);
    config_ = context_.config();
    // A caller whose stream was interrupted resumes after its last event; a stream sent from
    // the start would repeat events.
    lastEventId_ = metadata_.lastEventId;
    admit();
}

void Exchange::admit()
{
    if (!resolveRouteAndWorkspace()) {
        return;
    }
    deadline_ = request_.receivedAt + std::min(route_->timeout, metadata_.timeout);
    deadlineTimer_.expires_at(deadline_);
    deadlineTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->onDeadline();
        }
    });
    if (refuseLate()) {
        return;
    }
    const bool isStream = route_->kind == RouteKind::Stream;
    continuity_.begin(metadata_, isStream, isStream && route_->resumable);
    if (!selectService()) {
        return;
    }
    identity_ = identifyRequest(*route_, service_->name,
                                workspace_ == nullptr ? WorkspaceId() : workspace_->name,
                                request_.head, request_.body, metadata_.prompt);
    if (refuseQuarantined()) {
        return;
    }
    if (continuity_.isResumed()) {
        findStreamOrigin();
        return;
    }
    reserveTokens();
}

Instant Exchange::expectedEnd(Instant now) const
{
    if (route_->kind != RouteKind::Idempotent) {
        return deadline_;
    }
    return std::min(deadline_, now + scaled(route_->latencyTarget, StallTimeoutFactor));
}

bool Exchange::refuseLate()
{
    const Instant now = std::chrono::steady_clock::now();
    const std::optional<Instant> latestEnd =
            context_.latestEnd ? context_.latestEnd() : std::nullopt;
    if (!latestEnd || expectedEnd(now) <= *latestEnd) {
        return false;
    }
    refuse({Execution::NotRun, Reason::Draining, "the process ends before this request may",
            now + RetryElsewhereDelay});
    return true;
}

bool Exchange::refuseQuarantined()
{
    const Instant now = std::chrono::steady_clock::now();
    std::optional<Verdict> refusal = context_.requests.refusal(identity_, now);
    if (!refusal && !metadata_.prompt.empty()) {
        refusal = context_.prompts.refusal(service_->name, metadata_.prompt, now);
    }
    if (refusal) {
        refuse(std::move(*refusal));
    }
    return refusal.has_value();
}

void Exchange::findStreamOrigin()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    continuity_.findOrigin(service_->name, std::chrono::steady_clock::now(),
                           [weak](const StreamOrigin &origin) {
                               const std::shared_ptr<Exchange> self = weak.lock();
                               if (self && !self->ended()) {
                                   self->onStreamOrigin(origin);
                               }
                           });
}

void Exchange::onStreamOrigin(const StreamOrigin &origin)
{
    const char *source = originSourceName(origin.source);
    log(Event("stream.resumes")
                .with("stream", metadata_.resumedStream)
                .with("after_event", *lastEventId_)
                .with("version", origin.version)
                .with("source", source)
                .with("told_by", origin.host)
                .with("asked", origin.asked)
                .with("responded", origin.responded));
    context_.metrics.count("proxy_resumptions_total", {{"source", source}});
    continuity_.onOriginFound(origin);
    if (!continuity_.version()) {
        refuse({Execution::NotRun,
                Reason::StreamNotResumable,
                "the software version that began the stream isn't known",
                {}});
        return;
    }
    reserveTokens();
}

bool Exchange::resolveRouteAndWorkspace()
{
    const Instant now = request_.receivedAt;
    if (!config_) {
        refuse({Execution::NotRun, Reason::NotReady, "no configuration is known yet",
                now + RetryDelay});
        return false;
    }
    const std::string *host = findField(request_.head.fields, "Host");
    if (host == nullptr || metadata_.id.empty()) {
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
    workspace_ = config_->findWorkspaceByKey(metadata_.key);
    if (workspace_ == nullptr) {
        refuseByConfig(Reason::Unauthenticated, "no workspace has that key");
        return false;
    }
    return true;
}

bool Exchange::selectService()
{
    // A split route chooses its service by a hash and the weights, so that all requests for a
    // stream go to one service.
    uint64_t total = 0;
    for (const WeightedService &candidate : route_->services) {
        total += candidate.weight;
    }
    if (total == 0) {
        refuse({Execution::NotRun, Reason::NoEndpoint, "the route leads nowhere",
                request_.receivedAt + RetryDelay});
        return false;
    }
    uint64_t pick = stableHash(continuity_.serviceKey().text()) % total;
    for (const WeightedService &candidate : route_->services) {
        service_ = config_->findService(candidate.service);
        if (pick < candidate.weight) {
            break;
        }
        pick -= candidate.weight;
    }
    if (service_ == nullptr) {
        refuse({Execution::NotRun, Reason::NoEndpoint, "the route's service isn't configured",
                request_.receivedAt + RetryDelay});
        return false;
    }
    return true;
}

void Exchange::reserveTokens()
{
    const Instant now = std::chrono::steady_clock::now();
    if (context_.link.refuses(request_.body.size(), now)) {
        refuse({Execution::NotRun, Reason::QueueFull, "this host's link is full",
                now + RetryElsewhereDelay});
        return;
    }
    context_.placement.onRequest(service_->name, request_.receivedAt);
    const bool prepaid = workspace_ != nullptr && workspace_->isPrepaid && metadata_.hasTokenCounts;
    if (!prepaid) {
        place();
        return;
    }
    statechart_.handle("reserve");
    reservedTokens_ = metadata_.promptTokens + metadata_.maxOutputTokens;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    const ReservationRequest reservation{
            workspace_->name,    route_->name,          route_->priority, reservedTokens_,
            request_.receivedAt, route_->latencyTarget, deadline_};
    const ReservationTicket ticket =
            context_.tokens.reserve(reservation, [weak](std::optional<Verdict> refusal) {
                if (const std::shared_ptr<Exchange> self = weak.lock()) {
                    self->onReserved(std::move(refusal));
                }
            });
    if (!hasReservation_ && !ended()) {
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
    hasReservation_ = true;
    place();
}

uint32_t Exchange::priority() const
{
    const bool isOverridden = workspace_ != nullptr && workspace_->overridesPriority;
    return isOverridden ? workspace_->priority : route_->priority;
}

WorkItem Exchange::workItem() const
{
    WorkItem item;
    item.request = metadata_.id;
    item.workspace = workspace_ == nullptr ? WorkspaceId() : workspace_->name;
    item.service = service_->name;
    const bool isInteractive = route_->priority == 0;
    item.workClass = isInteractive ? WorkClass::Interactive : WorkClass::Batch;
    item.priority = priority();
    item.promptTokens = metadata_.promptTokens;
    item.outputCeiling = metadata_.maxOutputTokens;
    item.idempotent = route_->kind == RouteKind::Idempotent || route_->resumable;
    item.version = continuity_.version();
    item.regions = workspace_ == nullptr ? route_->regions
                                         : route_->regions.combinedWith(workspace_->regions);
    item.connectFailed = connectFailures_ > 0;
    item.arrivedAt = request_.receivedAt;
    item.deadline = deadline_;
    return item;
}

void Exchange::place()
{
    statechart_.handle("place");
    if (std::chrono::steady_clock::now() < repeatAt_) {
        placeAt(repeatAt_);
        return;
    }
    placeNow();
}

void Exchange::placeAt(Instant at)
{
    placementTimer_.arm(at, [self = shared_from_this()] {
        if (!self->ended()) {
            self->placeNow();
        }
    });
}

void Exchange::placeNow()
{
    // While the event loop is held up, what was awaited may be handled before the caller's close,
    // and an endpoint would do work whose result nobody receives.
    if (sink_.checkCallerGone() || refuseQuarantined()) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    PlacementResult result =
            context_.placement.place(workItem(), metadata_.prompt, triedEndpoints_, now);
    if (auto *verdict = std::get_if<Verdict>(&result)) {
        if (sendCount_ > 0 && possibleExecutions_ > 0) {
            fail(Reason::EndpointFailed, verdict->detail, 502);
            return;
        }
        refuse(std::move(*verdict));
        return;
    }
    if (const auto *delay = std::get_if<PlacementDelay>(&result)) {
        placeAt(delay->until);
        return;
    }
    send(std::get<PlacementTarget>(result));
}

RequestHead Exchange::forwardHead(Instant now, const EndpointId &endpoint) const
{
    ForwardMetadata metadata;
    metadata.timeout = remaining(now);
    metadata.endpoint = endpoint;
    metadata.resumeAfter = lastEventId_;
    if (workspace_ != nullptr) {
        metadata.workspace = workspace_->name;
    }
    metadata.sendPriority = service_->isModelEngine;
    metadata.priority = priority();
    return context_.dialect.encodeForward(request_.head, metadata);
}

void Exchange::send(const PlacementTarget &target)
{
    const Instant now = std::chrono::steady_clock::now();
    statechart_.handle("send");
    triedEndpoints_.push_back(target.endpoint);
    ++sendCount_;
    ++possibleExecutions_;
    attempt_.emplace(target.endpoint, now);
    attempt_->version = target.version;
    attempt_->isVersionConfirmed = target.isVersionConfirmed;
    attempt_->startedAtMillis = target.startedAtMillis;
    attempt_->connection = connectionTo(target, now);
    attempt_->connection->setUnacknowledgedTimeout(MaxEndpointSilence);
    if (attempt_->connection->isRelayed()) {
        attempt_->relay = target.relay->host;
        context_.metrics.count("proxy_relayed_total");
    }
    Event event = Event("request.sent")
                          .with("endpoint", target.endpoint)
                          .with("why", target.reason)
                          .with("version", target.version)
                          .with("attempt", sendCount_)
                          .with("left_ms", millis(remaining(now)).count())
                          .with("config", config_->version);
    if (!attempt_->relay.empty()) {
        event.add("relay", attempt_->relay);
    }
    if (!target.limits.empty()) {
        event.add("limits", target.limits);
    }
    log(std::move(event));
    context_.placement.onSent(target.endpoint, workItem(), now);
    std::string bytes = writeRequestHead(forwardHead(now, target.endpoint), request_.body.size());
    bytes += request_.body;
    context_.link.onSent(bytes.size(), now);
    setStallTimeout(scaled(route_->latencyTarget, StallTimeoutFactor));
    attempt_->connection->call(std::move(bytes), *this);
}

std::shared_ptr<HttpConnection> Exchange::connectionTo(const PlacementTarget &target, Instant now)
{
    const bool repeatable = route_->kind == RouteKind::Idempotent || route_->resumable;
    const Interval maxIdle =
            repeatable ? ConnectionPoolSettings().maxIdleTime : MaxIdleForNonIdempotent;
    const std::optional<RelayRoute> &relay = target.relay;
    const bool hasOpen = relay && relay->prefersOpenConnection
                         && context_.pool.hasIdle(target.address, maxIdle, now);
    if (!relay || hasOpen) {
        return repeatable ? context_.pool.take(target.address, now)
                          : context_.pool.take(target.address, MaxIdleForNonIdempotent, now);
    }
    const RelayRequest request{target.endpoint, context_.log.identity().incarnation,
                               std::max(millis(remaining(now)), Millis(1))};
    return context_.pool.connectThrough(target.address,
                                        {relay->address, encodeRelayRequest(request)});
}

void Exchange::setStallTimeout(Interval limit)
{
    stallDeadline_ = mayRetry() ? std::chrono::steady_clock::now() + limit : Never;
    if (!stallTimerArmed_ && stallDeadline_ != Never) {
        armStallTimer();
    }
}

void Exchange::armStallTimer()
{
    // Each event moves the deadline. The timer checks it again when it fires, since rearming it
    // for each event cost as much as reading the event.
    stallTimerArmed_ = true;
    stallTimer_.arm(stallDeadline_, [self = shared_from_this()] {
        self->stallTimerArmed_ = false;
        if (!self->attempt_ || self->stallDeadline_ == Never) {
            return;
        }
        if (std::chrono::steady_clock::now() < self->stallDeadline_) {
            self->armStallTimer();
            return;
        }
        self->onStalled();
    });
}

void Exchange::disarmStallTimer()
{
    stallDeadline_ = Never;
    stallTimerArmed_ = false;
    stallTimer_.disarm();
}

void Exchange::onStalled()
{
    if (ended() || !mayRetry()) {
        return;
    }
    if (!context_.placement.mayRetry(service_->name, std::chrono::steady_clock::now())) {
        return;
    }
    recordLocalEnd(AttemptOutcome::Stalled);
    keepSilentAttempt();
    statechart_.handle("cut");
    retryElsewhere("the endpoint is silent");
}

bool Exchange::mayRetry() const
{
    const bool repeatable = route_->kind == RouteKind::Idempotent || route_->resumable;
    // A plain response of which a part was forwarded can't go on with another endpoint's.
    return repeatable && !hasForwardedPart_ && continuity_.mayContinue()
           && sendCount_ < route_->maxAttempts;
}

void Exchange::onConnected()
{
    const Instant now = std::chrono::steady_clock::now();
    if (attempt_->relay.empty()) {
        context_.placement.onConnected(attempt_->endpoint, now);
    } else {
        context_.placement.onRelayResult(attempt_->relay, RelayResult::Connected, now);
    }
    sink_.checkCallerGone();
}

void Exchange::onWritable()
{
    sink_.checkCallerGone();
}

void Exchange::onHead(const ResponseHead &head)
{
    attempt_->head = head;
    attempt_->metadata = context_.dialect.decodeResponse(head);
    const ResponseMetadata &metadata = attempt_->metadata;
    const Instant now = std::chrono::steady_clock::now();
    if (attempt_->relay.empty()) {
        context_.placement.onResponse(attempt_->endpoint, now);
    }
    if (metadata.keepAliveTimeout) {
        // Half a second less than the endpoint's own timeout: a request in flight when the
        // endpoint closes may have run.
        constexpr Interval Margin = std::chrono::milliseconds(500);
        attempt_->connection->setReusableUntil(now + *metadata.keepAliveTimeout - Margin);
    }
    const bool isSuccess = head.status >= 200 && head.status < 300;
    const bool needsId = isSuccess && !metadata.notExecuted;
    const bool isForOtherRequest =
            metadata.requestId.empty() ? needsId : metadata.requestId != metadata_.id;
    // Without the signature a response of any status may come from another program that has
    // taken over the address.
    const bool isUnsigned = !metadata.notExecuted && !metadata.hasSignature;
    const bool isUntrusted = isUnsigned || (needsId && metadata.hasContentEncoding);
    if (isForOtherRequest || isUntrusted) {
        // The response belongs to another request and came late, or isn't the endpoint's own.
        // Further data on this connection can't be trusted either.
        attempt_->outcome = AttemptOutcome::ResponseRejected;
        cancelAttempt(false);
        retryOrFail(isForOtherRequest ? "another request's answer came" : "the answer is spoilt");
        return;
    }
    const bool isOwnResponse = head.status != MisdirectedStatus;
    if (isOwnResponse) {
        const NoticeSource source{attempt_->endpoint, attempt_->startedAtMillis, metadata_.id,
                                  attempt_->sentAt};
        context_.placement.onNotice(source, metadata.notice, now);
    }
    if (metadata.notExecuted) {
        return;
    }
    attempt_->isSuccess = isSuccess;
    if (isSuccess) {
        dropSilentAttempt();
    }
    if (isSuccess && route_->kind != RouteKind::Stream) {
        setStallTimeout(scaled(route_->latencyTarget, StallTimeoutFactor));
    }
}

void Exchange::onBody(std::string_view bytes)
{
    context_.link.onReceived(bytes.size(), std::chrono::steady_clock::now());
    Attempt &attempt = *attempt_;
    attempt.bodyBytes += bytes.size();
    if (attempt.isSuccess && route_->kind == RouteKind::Stream) {
        onStreamBytes(bytes);
        return;
    }
    // A failure in place of the rest of a stream isn't forwarded, nor is a rejection.
    const bool isDropped = attempt.metadata.notExecuted || (streaming_ && !attempt.passThrough);
    if (isDropped) {
        endOversizedFailure();
        return;
    }
    if (attempt.passThrough) {
        sink_.streamData(bytes);
    } else {
        attempt.body.append(bytes);
        if (attempt.body.size() > sink_.maxBufferedBytes()) {
            dropSilentAttempt();
            attempt.passThrough = true;
            hasForwardedPart_ = true;
            plainResponseForwarded_ = attempt.isSuccess;
            beginStream();
            sink_.streamData(std::exchange(attempt.body, std::string()));
        }
    }
    pauseIfFull();
}

void Exchange::endOversizedFailure()
{
    if (attempt_->bodyBytes <= sink_.maxBufferedBytes()) {
        return;
    }
    attempt_->connection->cancel();
    if (attempt_->metadata.notExecuted) {
        onNotExecuted();
        return;
    }
    attempt_->outcome = AttemptOutcome::Failed;
    endAttempt(false);
    retryOrFail("the body of a failure is too large");
}

void Exchange::pauseIfFull()
{
    if (!sink_.isFull()) {
        return;
    }
    attempt_->wasPaused = true;
    attempt_->connection->pauseReading();
    if (context_.buffers == nullptr || attempt_->pausedAt != Never) {
        return;
    }
    attempt_->pausedAt = std::chrono::steady_clock::now();
    if (route_->kind == RouteKind::Stream) {
        // An endpoint that isn't read doesn't stall.
        disarmStallTimer();
    }
    if (context_.buffers->isScarce()) {
        log(Event("stream.paused")
                    .with("endpoint", attempt_->endpoint)
                    .with("unread", sink_.backlog())
                    .with("queue_limit", context_.buffers->queueLimit())
                    .with("unread_total", context_.buffers->total().unread)
                    .with("limit", context_.buffers->cutOffLimit())
                    .with("paused", context_.buffers->paused()));
        context_.metrics.count("proxy_streams_paused_total");
    }
}

std::size_t Exchange::requestBytes() const
{
    return request_.body.empty() ? 0 : request_.body.capacity() + request_.body.size();
}

std::size_t Exchange::responseBytes() const
{
    if (!attempt_) {
        return 0;
    }
    const std::size_t body = attempt_->body.empty() ? 0 : attempt_->body.capacity();
    return body + attempt_->splitter.pending();
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
        if (!forwardEvent(event)) {
            return;
        }
    }
    if (attempt_->splitter.overflowed()) {
        cancelAttempt(false);
        retryOrFail("an event is too large");
        return;
    }
    if (attempt_->hasFirstEvent) {
        const Instant now = std::chrono::steady_clock::now();
        reportAnswer(now);
        if (attempt_->unreportedEvents >= ProgressEvents) {
            reportProgress(now);
        }
        setStallTimeout(scaled(route_->eventGapTarget, GapTimeoutFactor));
    }
    pauseIfFull();
}

void Exchange::reportProgress(Instant now)
{
    const uint64_t events = attempt_->wasPaused ? 0 : attempt_->unreportedEvents;
    attempt_->unreportedEvents = 0;
    attempt_->wasPaused = false;
    context_.placement.onStreamProgress(attempt_->endpoint, metadata_.id, events, now);
}

bool Exchange::forwardEvent(const StreamEvent &event)
{
    if (event.id && lastEventId_ && *event.id != *lastEventId_ + 1) {
        cancelAttempt(false);
        retryOrFail("the events aren't in order");
        return false;
    }
    if (!attempt_->hasFirstEvent) {
        attempt_->hasFirstEvent = true;
        const Instant now = std::chrono::steady_clock::now();
        attempt_->firstEventAt = now;
        context_.placement.onFirstToken(attempt_->endpoint, metadata_.id, now);
        continuity_.onFirstEvent(service_->name, attempt_->version, attempt_->isVersionConfirmed,
                                 now);
        statechart_.handle("event");
    } else {
        ++attempt_->unreportedEvents;
    }
    beginStream();
    if (event.id) {
        lastEventId_ = event.id;
    }
    ++forwardedEvents_;
    sink_.streamData(event.bytes);
    return true;
}

void Exchange::onBacklogReduced()
{
    if (!attempt_ || !sink_.hasRoom()) {
        return;
    }
    if (attempt_->pausedAt != Never) {
        const Instant now = std::chrono::steady_clock::now();
        attempt_->longestPause = std::max(attempt_->longestPause, now - attempt_->pausedAt);
        attempt_->pausedAt = Never;
        attempt_->resumedAt = now;
        if (route_->kind == RouteKind::Stream) {
            setStallTimeout(scaled(route_->eventGapTarget, GapTimeoutFactor));
        }
    }
    attempt_->connection->resumeReading();
}

void Exchange::logUnframedEnd()
{
    log(Event("response.ends_with_connection")
                .with("endpoint", attempt_->endpoint)
                .with("relay", attempt_->relay)
                .with("body_bytes", attempt_->bodyBytes)
                .with("events", forwardedEvents_));
    context_.metrics.count("proxy_unframed_responses_total",
                           {{"path", attempt_->relay.empty() ? "direct" : "relay"}});
}

void Exchange::onDone()
{
    if (attempt_->connection->endedWithConnection()) {
        logUnframedEnd();
    }
    if (attempt_->metadata.notExecuted) {
        onNotExecuted();
        return;
    }
    // One that leaves may end its process with its last response.
    if (attempt_->connection->hasServerEnded()
        && !context_.placement.isLeaving(attempt_->endpoint)) {
        onFailed(CallFailure::MaybeSent, "the endpoint's process ended with its response");
        return;
    }
    if (!attempt_->isSuccess) {
        onPlainResponse();
        return;
    }
    if (route_->kind != RouteKind::Stream) {
        onPlainResponse();
        return;
    }
    if (attempt_->splitter.pending() > 0 || !attempt_->hasFirstEvent) {
        reportLoss(std::chrono::steady_clock::now());
        endAttempt(false);
        retryOrFail("the stream ended inside an event");
        return;
    }
    attempt_->outcome = AttemptOutcome::Completed;
    endAttempt(true);
    sink_.endStream();
    finish("whole", "answered", 200);
}

void Exchange::onPlainResponse()
{
    const int status = attempt_->head.status;
    const bool failed = status >= 500;
    attempt_->outcome = attempt_->isSuccess ? AttemptOutcome::Completed : AttemptOutcome::Failed;
    if (failed && mayRetry()
        && context_.placement.mayRetry(service_->name, std::chrono::steady_clock::now())) {
        endAttempt(false);
        statechart_.handle("cut");
        retryElsewhere(fmt::format("the endpoint answered {}", status));
        return;
    }
    if (failed && silentAttempt_) {
        endAttempt(false);
        fail(Reason::EndpointFailed, fmt::format("the endpoint answered {}", status), 502);
        return;
    }
    if (streaming_ && !attempt_->passThrough) {
        // The caller has received part of a stream that this endpoint should have resumed.
        // Ending it here in order would make that part look complete.
        endAttempt(!failed);
        fail(Reason::StreamCut, fmt::format("the stream was to go on, and {} came", status), 502);
        return;
    }
    const ResponseHead head = context_.dialect.encodeResponse(attempt_->head);
    const std::string body = std::move(attempt_->body);
    hasForwardedPart_ = true;
    plainResponseForwarded_ = plainResponseForwarded_ || attempt_->isSuccess;
    endAttempt(!failed);
    if (streaming_) {
        sink_.endStream();
    } else {
        sink_.sendResponse(head, body);
    }
    finish("whole", failed ? "failed_by_endpoint" : "answered", status);
}

void Exchange::reportAnswer(Instant now)
{
    const bool isLongEnough = attempt_->outcome == AttemptOutcome::Completed
                              || now >= attempt_->firstEventAt + PromptGuard::BeginningOfAnswer;
    if (metadata_.prompt.empty() || attempt_->isAnswerReported || !isLongEnough) {
        return;
    }
    attempt_->isAnswerReported = true;
    context_.prompts.onAnswerWritten(service_->name, metadata_.prompt, now);
}

void Exchange::endAttempt(bool succeeded)
{
    disarmStallTimer();
    if (!attempt_) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    const bool isWhole = attempt_->outcome == AttemptOutcome::Completed
                         || attempt_->outcome == AttemptOutcome::Failed;
    if (isWhole) {
        context_.requests.onAnswered(identity_, now);
    }
    if (attempt_->outcome == AttemptOutcome::Completed) {
        reportAnswer(now);
        if (attempt_->unreportedEvents > 0) {
            reportProgress(now);
        }
    }
    attemptOutcomes_.push_back(attempt_->outcome);
    reportAttemptEnd(succeeded);
    attempt_.reset();
}

void Exchange::reportAttemptEnd(bool succeeded)
{
    if (std::exchange(attempt_->isEndReported, true)) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    AttemptResult result;
    result.endpoint = attempt_->endpoint;
    result.request = metadata_.id;
    result.succeeded = succeeded;
    result.tokens = forwardedEvents_;
    if (route_->kind != RouteKind::Stream) {
        result.firstToken = now - attempt_->sentAt;
    }
    context_.placement.onAttemptEnd(result, now);
}

void Exchange::cancelAttempt(bool succeeded)
{
    if (attempt_) {
        attempt_->connection->cancel();
    }
    endAttempt(succeeded);
}

void Exchange::onCallerClosed(CallerCloseReason reason, const std::string &detail)
{
    if (ended() || !self_) {
        return;
    }
    constexpr int64_t Unknown = -1;
    const auto unacknowledged =
            attempt_ ? attempt_->connection->unacknowledgedBytes() : std::nullopt;
    log(Event("request.caller_gone")
                .with("why", callerCloseReasonName(reason))
                .with("detail", detail)
                .with("state", statechart_.state())
                .with("age_ms",
                      millis(std::chrono::steady_clock::now() - request_.receivedAt).count())
                .with("passed_on", possibleExecutions_ > 0)
                .with("unacknowledged_bytes",
                      unacknowledged ? static_cast<int64_t>(*unacknowledged) : Unknown)
                .with("answering", streaming_));
    recordLocalEnd(AttemptOutcome::Cancelled);
    cancelAttempt(true);
    finish("hang_up", "cancelled", 0);
}

void Exchange::stop()
{
    if (ended()) {
        return;
    }
    const std::string detail = "the process ends";
    if (possibleExecutions_ > 0) {
        recordLocalEnd(AttemptOutcome::Cancelled);
        fail(Reason::Draining, detail, 502);
        return;
    }
    refuse({Execution::NotRun, Reason::Draining, detail,
            std::chrono::steady_clock::now() + RetryElsewhereDelay});
}

void Exchange::recordLocalEnd(AttemptOutcome outcome)
{
    if (attempt_) {
        attempt_->outcome =
                attempt_->connection->wasConnected() ? outcome : AttemptOutcome::NotConnected;
    }
}

uint64_t Exchange::spentTokens() const
{
    RequestUsage use;
    use.promptTokens = metadata_.promptTokens;
    use.maxOutputTokens = metadata_.maxOutputTokens;
    use.tokensPerEvent = service_->tokensPerEvent;
    use.attempts = attemptOutcomes_;
    use.eventsForwarded = forwardedEvents_;
    use.nonStreamingResponseForwarded = plainResponseForwarded_;
    return tokensToCharge(use);
}

void Exchange::settle()
{
    if (ticket_) {
        context_.tokens.cancel(*ticket_);
        ticket_.reset();
    }
    if (hasReservation_) {
        hasReservation_ = false;
        context_.tokens.settle(workspace_->name, reservedTokens_, spentTokens());
    }
}

void Exchange::finish(std::string_view event, std::string_view outcome, int status)
{
    const std::shared_ptr<Exchange> self = std::move(self_);
    const Instant now = std::chrono::steady_clock::now();
    dropSilentAttempt();
    const uint64_t spent = hasReservation_ ? spentTokens() : 0;
    settle();
    deadlineTimer_.cancel();
    disarmStallTimer();
    placementTimer_.disarm();
    statechart_.handle(event);
    const Interval took = now - request_.receivedAt;
    log(Event("request.ended")
                .with("outcome", outcome)
                .with("status", status)
                .with("route", route_ == nullptr ? std::string() : route_->name)
                .with("workspace", workspace_ == nullptr ? WorkspaceId() : workspace_->name)
                .with("took_ms", millis(took).count())
                .with("events", forwardedEvents_)
                .with("tokens", spent)
                .with("attempts", sendCount_)
                .essential(spent > 0));
    context_.metrics.count("proxy_requests_total", {{"outcome", std::string(outcome)}});
    context_.metrics.observe("proxy_request_seconds", took, {{"outcome", std::string(outcome)}});
}

} // namespace sequoiagate
