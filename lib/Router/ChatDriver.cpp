#include "sequoiagate/Router/ChatDriver.h"

#include <algorithm>
#include <array>

#include <absl/time/clock.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Transport/WireVerdict.h"

namespace sequoiagate {

namespace {

constexpr Millis ComeBackAfter{1000};
/// First wait before a cut stream is taken up again; it doubles with each try, so
/// that an engine that restarts isn't asked hundreds of times by each stream.
constexpr Millis FirstResumeWait{20};
constexpr int MaximumWaitDoublings = 6;
constexpr int StatusNotFound = 404;

/// Finish reasons of an answer that the engine didn't bring to its end. Passing
/// one on as a whole answer would show a caller half of it as all.
constexpr std::array<std::string_view, 4> BrokenOff = {"cancelled", "abort", "aborted", "error"};

bool brokenOff(const std::string &finishReason)
{
    return std::find(BrokenOff.begin(), BrokenOff.end(), finishReason) != BrokenOff.end();
}

/// What the state says about whether the engine may have run the request. Read
/// from the chart's position, so that no failure path can claim otherwise.
struct StateExecution
{
    std::string_view state;
    Execution execution;
};

constexpr std::array StateExecutions = {
        StateExecution{"received", Execution::NotRun},
        StateExecution{"admitted", Execution::NotRun},
        StateExecution{"reserved", Execution::NotRun},
};

Instant steadyNow()
{
    return std::chrono::steady_clock::now();
}

WorkItem workItemOf(const ChatOrder &order)
{
    WorkItem item;
    item.request = randomId<RequestId>();
    item.workspace = order.workspace;
    item.service = order.model;
    item.workClass = order.workClass;
    item.promptTokens = order.promptBound;
    item.outputCeiling = order.outputCeiling;
    item.prefixHash = order.prefixHash;
    item.idempotent = true;
    item.weight = order.weight;
    item.arrivedAt = steadyNow();
    return item;
}

} // namespace

ChatDriver::ChatDriver(RouterContext &context, std::shared_ptr<ChatRun> run)
    : context_(context), run_(std::move(run)), order_(run_->order()), item_(workItemOf(order_)),
      attempt_(randomId<AttemptId>()), position_(context.requestChart)
{}

void ChatDriver::serve()
{
    conclude(&ChatDriver::serveSteps);
}

void ChatDriver::takeUp(const ResumePoint &point)
{
    endpoint_ = point.endpoint;
    endpointAddress_ = point.endpointAddress;
    reservation_.set_id(point.reservation.text());
    reservation_.set_keeper(point.keeper.text());
    reservation_.set_tokens(point.promptTokens + point.outputCeiling);
    sequencer_ = ChunkSequencer(point.engineStream, 0);
    conclude(&ChatDriver::takeUpSteps);
}

void ChatDriver::conclude(Step step)
{
    std::optional<Verdict> failure;
    try {
        (this->*step)();
    } catch (const VerdictError &error) {
        failure = error.verdict();
    } catch (const std::exception &error) {
        failure = failureNow(Reason::Internal, error.what());
    }
    if (!position_.isFinished()) {
        position_.handle(failure ? "give_up" : "whole");
    }
    settle(failure);
    logOutcome(failure);
    if (admitted_) {
        context_.scheduler.finished(item_, billedTokens_);
    }
    context_.runs.remove(*run_);
    run_->end({std::move(failure), std::move(content_), finishReason_});
}

void ChatDriver::serveSteps()
{
    // Before admission, so that nothing waits in the queue for tokens it can't have.
    reserve();
    context_.scheduler.admit(item_);
    admitted_ = true;
    position_.handle("admitted");
    sendUntilWhole();
}

void ChatDriver::takeUpSteps()
{
    for (const std::string_view event : {"reserved", "admitted", "sent"}) {
        position_.handle(event);
    }
    reserved_ = true;
    sawStream(sequencer_.streamId());
    resumeOnce();
    followStream();
}

void ChatDriver::reserve()
{
    wire::ReserveRequest request;
    request.set_workspace(order_.workspace.text());
    request.set_request(order_.request.text());
    request.set_body_hash(order_.bodyHash);
    request.set_attempt(attempt_.text());
    request.set_prompt_tokens(order_.promptBound);
    request.set_output_ceiling(order_.outputCeiling);
    request.set_router(context_.log.identity().incarnation.text());
    request.set_model(order_.model.text());
    request.set_router_address(context_.address);
    const wire::ReserveReply reply = askForReservation(request);
    switch (reply.outcome_case()) {
    case wire::ReserveReply::kReservation:
        break;
    case wire::ReserveReply::kRefused:
        throw VerdictError(verdictFromWire(reply.refused(), steadyNow()));
    case wire::ReserveReply::kRunning:
        throw VerdictError(Verdict{Execution::MayHaveRun, Reason::AlreadyRunning,
                                   "the same request is running at another router",
                                   steadyNow() + ComeBackAfter});
    case wire::ReserveReply::kBilled:
        throw VerdictError(Verdict{Execution::Ran, Reason::AlreadyRunning,
                                   "the same request was run and is billed", std::nullopt});
    case wire::ReserveReply::OUTCOME_NOT_SET:
        throw VerdictError(failureNow(Reason::KeeperUnreachable, "the keeper's answer is empty"));
    }
    reservation_ = reply.reservation();
    reserved_ = true;
    position_.handle("reserved");
    context_.log.write(Event(events::RequestReserved)
                               .with("request", order_.request)
                               .with("workspace", order_.workspace)
                               .with("tokens", reservation_.tokens())
                               .with("keeper", reservation_.keeper()));
}

wire::ReserveReply ChatDriver::askForReservation(const wire::ReserveRequest &request)
{
    std::vector<std::string> unanswered;
    const auto releaseUnanswered = [&] {
        for (const std::string &keeper : unanswered) {
            context_.outbox.release(keeper, request);
        }
    };
    try {
        wire::ReserveReply reply = context_.keepers.reserve(request, unanswered);
        releaseUnanswered();
        return reply;
    } catch (const VerdictError &) {
        releaseUnanswered();
        throw;
    }
}

void ChatDriver::sendUntilWhole()
{
    std::vector<EndpointId> tried;
    for (;;) {
        const EndpointId chosen = context_.scheduler.choose(item_, tried);
        std::optional<Verdict> failure;
        try {
            stream(chosen);
        } catch (const VerdictError &error) {
            failure = error.verdict();
        }
        AttemptResult result;
        result.endpoint = chosen;
        result.request = item_.request;
        result.succeeded = !failure;
        result.firstToken = firstToken_;
        result.tokens = contentTokens();
        context_.scheduler.onEnd(result);
        if (!failure) {
            return;
        }
        // Once an engine may have the request, sending it to another would generate
        // tokens that the one reservation doesn't cover: such a stream is only
        // ever taken up where it runs.
        const bool again = failure->execution == Execution::NotRun
                           && context_.scheduler.mayRetry(*failure, item_.idempotent);
        if (!again) {
            throw VerdictError(*failure);
        }
        tried.push_back(chosen);
    }
}

void ChatDriver::stream(const EndpointId &endpoint)
{
    const auto view = context_.view.get();
    const wire::EndpointChange *spec = view->config ? view->config->endpoint(endpoint) : nullptr;
    if (spec == nullptr) {
        throw VerdictError(failureNow(Reason::NoEndpoint, "the endpoint left the configuration"));
    }
    endpoint_ = endpoint;
    endpointAddress_ = spec->address();
    openStream();
    followStream();
}

EngineClient ChatDriver::engine() const
{
    return EngineClient(endpointAddress_, context_.settings.connectTimeout,
                        context_.settings.stallTimeout);
}

void ChatDriver::openStream()
{
    context_.log.write(Event(events::RequestSent)
                               .with("request", order_.request)
                               .with("workspace", order_.workspace)
                               .with("endpoint", endpoint_)
                               .with("attempt", attempt_));
    position_.handle("sent");
    tellBackup(std::string());
    sentAt_ = steadyNow();
    EngineStreamHandlers handlers;
    handlers.onStreamId = [this](const std::string &id) {
        sawStream(id);
    };
    handlers.onEvent = [this](const std::string &data) {
        return onEvent(data);
    };
    const EngineRequest request{order_.request, order_.workspace, attempt_, order_.engineBody};
    const ConnectionResult result = engine().open(request, handlers);
    const bool notRun =
            result.end == ConnectionEnd::NotSent || result.end == ConnectionEnd::Refused;
    if (notRun) {
        position_.handle("not_run");
        throw VerdictError(failureNow(Reason::EndpointFailed, result.detail));
    }
}

void ChatDriver::followStream()
{
    uint32_t idleResumes = 0;
    uint64_t progress = sequencer_.next();
    while (!over()) {
        position_.handle("cut");
        idleResumes = sequencer_.next() > progress ? 0 : idleResumes + 1;
        progress = sequencer_.next();
        if (idleResumes > context_.settings.streamResumes) {
            throw VerdictError(failureNow(sequencer_.streamId().empty() ? Reason::EndpointFailed
                                                                        : Reason::StreamCut,
                                          "the engine's stream broke off"));
        }
        const int doublings = std::min<int>(static_cast<int>(idleResumes), MaximumWaitDoublings);
        absl::SleepFor(absl::FromChrono(FirstResumeWait * (1 << doublings)));
        if (run_->abandoned(steadyNow())) {
            abandoned_ = true;
            break;
        }
        if (!sequencer_.streamId().empty() || findStream()) {
            resumeOnce();
        }
    }
    if (brokenOff_) {
        throw VerdictError(failureNow(Reason::StreamCut, "the engine broke the answer off"));
    }
    if (atCeiling_) {
        finishAtCeiling();
    }
    if (abandoned_) {
        const Verdict verdict =
                failureNow(Reason::StreamCut, "the caller hung up and didn't come back");
        position_.handle("hang_up");
        throw VerdictError(verdict);
    }
}

void ChatDriver::resumeOnce()
{
    context_.log.write(Event(events::StreamResumed)
                               .with("request", order_.request)
                               .with("workspace", order_.workspace)
                               .with("endpoint", endpoint_)
                               .with("stream", sequencer_.streamId())
                               .with("position", sequencer_.next()));
    sequencer_.restart();
    EngineStreamHandlers handlers;
    handlers.onStreamId = [](const std::string &) {
    };
    handlers.onEvent = [this](const std::string &data) {
        return onEvent(data);
    };
    const ConnectionResult result =
            engine().resume(sequencer_.streamId(), sequencer_.next(), handlers);
    if (result.status == StatusNotFound) {
        throw VerdictError(failureNow(Reason::StreamCut, "the engine no longer has the stream"));
    }
}

/// The connection broke before the engine named the stream. It is asked whether
/// it began one, so that what it generates reaches the caller and the bill.
bool ChatDriver::findStream()
{
    const auto streams = engine().streamsOf(order_.request, order_.workspace);
    if (!streams || streams->empty()) {
        return false;
    }
    sawStream(streams->back().streamId);
    return true;
}

void ChatDriver::sawStream(const std::string &streamId)
{
    sequencer_ = ChunkSequencer(streamId, 0);
    ResumePoint source;
    source.workspace = order_.workspace;
    source.request = order_.request;
    source.model = order_.model;
    source.endpoint = endpoint_;
    source.endpointAddress = endpointAddress_;
    source.engineStream = streamId;
    source.reservation = ReservationId(reservation_.id());
    source.keeper = Incarnation(reservation_.keeper());
    source.promptTokens = order_.promptBound;
    source.outputCeiling = order_.outputCeiling;
    source.router = context_.address;
    run_->setSource(std::move(source));
    context_.outbox.announceOpen(openNote(streamId));
    tellBackup(streamId);
}

wire::SettleRequest ChatDriver::openNote(const std::string &streamId) const
{
    wire::SettleRequest open;
    open.set_reservation(reservation_.id());
    open.set_keeper(reservation_.keeper());
    open.set_router(context_.log.identity().incarnation.text());
    open.set_still_open(true);
    open.set_endpoint_address(endpointAddress_);
    open.set_engine_stream(streamId);
    open.mutable_bill()->set_workspace(order_.workspace.text());
    open.mutable_bill()->set_request(order_.request.text());
    open.mutable_bill()->set_model(order_.model.text());
    open.mutable_bill()->set_endpoint(endpoint_.text());
    return open;
}

std::vector<std::string> ChatDriver::backupKeepers() const
{
    return context_.keepers.backupsFor(order_.workspace.text(), Incarnation(reservation_.keeper()),
                                       context_.log.identity().host);
}

/// A host that is lost takes this router and the keeper beside it in one moment. If that
/// keeper holds the reservation, one on another host is told of the stream, before it is
/// sent and when it is seen, and bills it if we are gone.
void ChatDriver::tellBackup(const std::string &streamId)
{
    std::vector<std::string> backups = backupKeepers();
    if (backups.empty()) {
        return;
    }
    wire::SettleRequest note = openNote(streamId);
    note.set_backup(true);
    note.set_reserved_tokens(reservation_.tokens());
    note.set_prompt_bound(order_.promptBound);
    note.set_router_address(context_.address);
    note.set_body_hash(order_.bodyHash);
    context_.outbox.announceBackup(std::move(backups.front()), std::move(note));
}

/// Before the caller learns of its answer's end, a keeper on another host has the bill:
/// else a host lost just then leaves a whole answer that nobody bills. One round trip at
/// a stream's end, and only where the reservation is held on our own host. A backup that
/// gives no answer isn't waited for beyond the keepers' timeout, and the next is asked; the
/// log says so.
void ChatDriver::settleWithBackup(wire::SettleRequest request)
{
    request.set_backup(true);
    for (const std::string &backup : backupKeepers()) {
        try {
            if (context_.keepers.settleWith(backup, request).held()) {
                return;
            }
        } catch (const VerdictError &error) {
            context_.log.write(Event("backup.unreachable")
                                       .with("request", order_.request)
                                       .with("workspace", order_.workspace)
                                       .with("keeper", backup)
                                       .with("detail", error.verdict().detail));
        }
    }
}

bool ChatDriver::onEvent(const std::string &data)
{
    if (run_->abandoned(steadyNow())) {
        abandoned_ = true;
        return false;
    }
    std::optional<EngineChunk> chunk = parseEngineChunk(data);
    if (!chunk) {
        return true;
    }
    std::vector<EngineChunk> ready;
    const ChunkFate fate = sequencer_.accept(std::move(*chunk), ready);
    if (fate == ChunkFate::Foreign) {
        context_.log.write(Event("stream.foreign_chunk")
                                   .with("request", order_.request)
                                   .with("workspace", order_.workspace)
                                   .with("endpoint", endpoint_));
    }
    if (fate == ChunkFate::Overflow) {
        return false;
    }
    return ready.empty() || deliver(std::move(ready));
}

bool ChatDriver::deliver(std::vector<EngineChunk> ready)
{
    // The reservation covers so many tokens: an engine that ignores max_tokens
    // would be spent from budget that nobody holds.
    const auto past = std::find_if(ready.begin(), ready.end(), [&](const EngineChunk &chunk) {
        return !chunk.ends() && chunk.position >= order_.outputCeiling;
    });
    if (past != ready.end()) {
        atCeiling_ = true;
        ready.erase(past, ready.end());
    }
    if (firstToken_ == Interval{} && sentAt_ != Never) {
        firstToken_ = steadyNow() - sentAt_;
        context_.scheduler.onFirstToken(item_, endpoint_);
    }
    for (const EngineChunk &chunk : ready) {
        content_ += chunk.content;
        if (!chunk.ends()) {
            continue;
        }
        promptTokens_ = chunk.promptTokens;
        completionTokens_ = chunk.completionTokens;
        finishReason_ = chunk.finishReason;
        brokenOff_ = brokenOff(chunk.finishReason);
    }
    if (brokenOff_) {
        ready.pop_back();
    }
    position_.handle("chunk");
    run_->append(std::move(ready));
    return !atCeiling_;
}

void ChatDriver::finishAtCeiling()
{
    const auto status = engine().cancel(sequencer_.streamId());
    if (status) {
        promptTokens_ = status->promptTokens;
    }
    completionTokens_ = order_.outputCeiling;
    const uint64_t prompt = promptTokens_.value_or(order_.promptBound);
    const nlohmann::json choice = {
            {"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", "length"}};
    const nlohmann::json json = {{"id", sequencer_.streamId()},
                                 {"object", "chat.completion.chunk"},
                                 {"stream_id", sequencer_.streamId()},
                                 {"position", order_.outputCeiling},
                                 {"choices", nlohmann::json::array({choice})},
                                 {"usage",
                                  {{"prompt_tokens", prompt},
                                   {"completion_tokens", order_.outputCeiling},
                                   {"total_tokens", prompt + order_.outputCeiling}}}};
    EngineChunk chunk;
    chunk.streamId = sequencer_.streamId();
    chunk.position = order_.outputCeiling;
    finishReason_ = "length";
    chunk.json = json.dump();
    run_->append({std::move(chunk)});
}

Execution ChatDriver::execution() const
{
    for (const StateExecution &row : StateExecutions) {
        if (row.state == position_.state()) {
            return row.execution;
        }
    }
    return Execution::MayHaveRun;
}

Verdict ChatDriver::failureNow(Reason reason, std::string detail) const
{
    return Verdict{execution(), reason, std::move(detail), steadyNow() + ComeBackAfter};
}

uint64_t ChatDriver::contentTokens() const
{
    const uint64_t seen = std::min(sequencer_.next(), order_.outputCeiling);
    return completionTokens_.value_or(seen);
}

void ChatDriver::settle(const std::optional<Verdict> &failure)
{
    if (!reserved_) {
        return;
    }
    wire::SettleRequest request;
    request.set_reservation(reservation_.id());
    request.set_keeper(reservation_.keeper());
    request.set_router(context_.log.identity().incarnation.text());
    request.set_execution(failure ? executionToWire(failure->execution) : wire::RAN);
    request.set_endpoint_address(endpointAddress_);
    request.set_engine_stream(sequencer_.streamId());
    *request.mutable_bill() = billOf(failure);
    billedTokens_ = request.bill().prompt_tokens() + request.bill().completion_tokens();
    settleWithBackup(request);
    context_.outbox.settle(std::move(request));
}

wire::Bill ChatDriver::billOf(const std::optional<Verdict> &failure)
{
    wire::Bill bill;
    bill.set_workspace(order_.workspace.text());
    bill.set_request(order_.request.text());
    bill.set_model(order_.model.text());
    bill.set_endpoint(endpoint_.text());
    bill.set_domain(context_.settings.domain.text());
    *bill.mutable_draws() = reservation_.draws();
    if (failure && failure->execution == Execution::NotRun) {
        return bill;
    }
    if (failure && !sequencer_.streamId().empty()) {
        // Cancelled also where the stream broke off: an engine that went on would
        // generate tokens after they were counted.
        const auto status = engine().cancel(sequencer_.streamId());
        bill.set_in_doubt(!status);
        promptTokens_ = status ? status->promptTokens : order_.promptBound;
        completionTokens_ = status ? status->generated : order_.outputCeiling;
    } else if (failure) {
        bill.set_in_doubt(true);
        promptTokens_ = order_.promptBound;
        completionTokens_ = order_.outputCeiling;
    }
    // Never above the reservation: the rest was never taken out of a grant.
    const uint64_t prompt =
            std::min(promptTokens_.value_or(order_.promptBound), reservation_.tokens());
    bill.set_prompt_tokens(prompt);
    bill.set_completion_tokens(std::min(contentTokens(), reservation_.tokens() - prompt));
    return bill;
}

void ChatDriver::logOutcome(const std::optional<Verdict> &failure)
{
    if (failure) {
        context_.log.write(Event(events::RequestRefused)
                                   .with("request", order_.request)
                                   .with("workspace", order_.workspace)
                                   .with("execution", executionName(failure->execution))
                                   .with("reason", reasonName(failure->reason))
                                   .with("detail", failure->detail));
        return;
    }
    context_.log.write(Event(events::RequestAnswered)
                               .with("request", order_.request)
                               .with("workspace", order_.workspace)
                               .with("endpoint", endpoint_)
                               .with("answer_hash", fmt::format("{:016x}", stableHash(content_)))
                               .with("tokens", billedTokens_));
}

} // namespace sequoiagate
