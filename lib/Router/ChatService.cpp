#include "sequoiagate/Router/ChatService.h"

#include <thread>

#include <fmt/format.h>

#include "sequoiagate/Router/ChatDriver.h"
#include "sequoiagate/Router/ChatOrder.h"
#include "sequoiagate/Router/EndpointHttp.h"
#include "sequoiagate/Router/VerdictHttp.h"
#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

namespace {

constexpr Millis ComeBackAfter{1000};
/// How often a silent stream's caller is looked after: between tokens nothing is
/// written, so a caller that hung up shows only when it is asked for.
constexpr Millis LivenessInterval{500};
constexpr std::size_t LongestRequestId = 128;
constexpr int StatusNoContent = 204;
/// How long the router that read a stream before is waited for. It is usually dead
/// when a stream is taken up; the caller waits meanwhile.
constexpr Millis KeepTimeout{250};

Instant steadyNow()
{
    return std::chrono::steady_clock::now();
}

RequestId requestIdOf(const httplib::Request &request)
{
    const std::string given = request.get_header_value("X-Request-Id");
    if (given.size() > LongestRequestId) {
        throw VerdictError(Verdict{Execution::NotRun, Reason::BadRequest,
                                   "X-Request-Id is longer than 128 characters", std::nullopt});
    }
    return given.empty() ? randomId<RequestId>() : RequestId(given);
}

WorkClass workClassOf(const httplib::Request &request)
{
    const std::string given = request.get_header_value("X-Work-Class");
    if (given == "batch") {
        return WorkClass::Batch;
    }
    if (!given.empty() && given != "interactive") {
        throw VerdictError(Verdict{Execution::NotRun, Reason::BadRequest,
                                   "X-Work-Class must be interactive or batch", std::nullopt});
    }
    return WorkClass::Interactive;
}

OutputLimits limitsOf(const RouterSettings &settings, const CallerIdentity &caller)
{
    const uint64_t own = caller.workspace->settings().max_output_tokens();
    return {settings.defaultOutputTokens, own > 0 ? own : settings.maximumOutputTokens};
}

void logRefusal(EventLog &log, const ChatOrder &order, const Verdict &verdict)
{
    log.write(Event(events::RequestRefused)
                      .with("request", order.request)
                      .with("workspace", order.workspace)
                      .with("execution", executionName(verdict.execution))
                      .with("reason", reasonName(verdict.reason)));
}

/// Asks the router that read the stream before not to cancel it when its caller's
/// grace ends. Without it that router, alive and left by its caller, cancels at the
/// engine what is being read here, and the answer breaks off. No answer is needed:
/// a router that is dead cancels nothing.
void askToKeep(const ResumePoint &point, const std::string &token)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/internal/v1/keep";
    request.headers = {{"Last-Event-ID", token}};
    httplib::Response response;
    exchange(point.router, {KeepTimeout, KeepTimeout}, request, response);
}

} // namespace

/// One caller that reads a run. Its last act is to detach.
struct ChatService::Reader
{
    Reader(RouterContext &routerContext, std::shared_ptr<ChatRun> chatRun, GatePass gatePass)
        : context(routerContext), run(std::move(chatRun)), pass(std::move(gatePass))
    {}
    ~Reader() { run->detach(steadyNow() + context.settings.hangUpGrace); }
    Reader(const Reader &) = delete;
    Reader &operator=(const Reader &) = delete;

    RouterContext &context;
    std::shared_ptr<ChatRun> run;
    GatePass pass;
    std::size_t next = 0;               ///< index of the next chunk
    std::optional<uint64_t> hasAlready; ///< the position its caller has
    std::optional<StreamSigner> stream; ///< once the stream is known
};

void ChatService::handle(const httplib::Request &request, httplib::Response &response)
{
    const CallerIdentity caller =
            identifyCaller(context_, request.get_header_value("Authorization"));
    ChatBody body = readChatBody(request.body, limitsOf(context_.settings, caller));
    body.order.workspace = caller.id();
    body.order.request = requestIdOf(request);
    body.order.workClass = workClassOf(request);
    body.order.weight = caller.weight();
    const std::optional<ResumePoint> resumeFrom = resumePointOf(request, body.order.workspace);
    if (resumeFrom) {
        body.order.request = resumeFrom->request;
        body.order.promptBound = resumeFrom->promptTokens;
        body.order.outputCeiling = resumeFrom->outputCeiling;
    }
    response.set_header("X-Request-Id", body.order.request.text());
    requireService(caller, body.order.model, wire::MODEL_ENGINE);
    context_.log.write(Event(events::RequestReceived)
                               .with("request", body.order.request)
                               .with("workspace", body.order.workspace)
                               .with("body_hash", body.order.bodyHash)
                               .with("resumes", resumeFrom.has_value())
                               .with("idempotent", true));
    context_.gate.enterAlways();
    GatePass pass(context_.gate);
    std::shared_ptr<ChatRun> run;
    try {
        run = runFor(body.order, resumeFrom);
    } catch (const VerdictError &error) {
        logRefusal(context_.log, body.order, error.verdict());
        throw;
    }
    const auto reader = std::make_shared<Reader>(context_, std::move(run), std::move(pass));
    if (resumeFrom) {
        reader->hasAlready = resumeFrom->position;
    }
    if (body.stream || resumeFrom) {
        answerStream(reader, response);
    } else {
        answerWhole(*reader, response);
    }
}

void ChatService::keep(const httplib::Request &request, httplib::Response &response)
{
    const auto point = context_.signer.verify(request.get_header_value("Last-Event-ID"));
    const auto run = point ? context_.runs.findStream(*point) : nullptr;
    if (!run || !run->keepGoing()) {
        throw VerdictError(Verdict{Execution::MayHaveRun, Reason::BadRequest,
                                   "no such stream is open here", std::nullopt});
    }
    response.status = StatusNoContent;
}

std::optional<ResumePoint> ChatService::resumePointOf(const httplib::Request &request,
                                                      const WorkspaceId &workspace) const
{
    const std::string token = request.get_header_value("Last-Event-ID");
    if (token.empty()) {
        return std::nullopt;
    }
    std::optional<ResumePoint> point = context_.signer.verify(token);
    // An id of another workspace gets the answer of a forged one: that it is
    // genuine is nothing for this caller.
    if (!point || point->workspace != workspace) {
        throw VerdictError(Verdict{Execution::MayHaveRun, Reason::BadRequest,
                                   "Last-Event-ID is not one of this workspace's", std::nullopt});
    }
    return point;
}

std::shared_ptr<ChatRun> ChatService::runFor(const ChatOrder &order,
                                             const std::optional<ResumePoint> &resumeFrom)
{
    // A run that is open here is read on also while the router drains: telling its
    // caller "not run" would be false.
    if (auto run = context_.runs.find(order)) {
        return run;
    }
    if (!context_.gate.enter()) {
        const Execution execution = resumeFrom ? Execution::MayHaveRun : Execution::NotRun;
        throw VerdictError(Verdict{execution, Reason::Draining, "this router is stopping",
                                   steadyNow() + ComeBackAfter});
    }
    GatePass pass(context_.gate);
    const OpenRuns::Found found = context_.runs.findOrMake(order);
    if (found.isNew) {
        start(found.run, resumeFrom);
    }
    return found.run;
}

void ChatService::start(const std::shared_ptr<ChatRun> &run,
                        const std::optional<ResumePoint> &resumeFrom)
{
    context_.gate.enterAlways();
    std::thread([&context = context_, run, resumeFrom] {
        const GatePass pass(context.gate);
        ChatDriver driver(context, run);
        if (resumeFrom) {
            if (resumeFrom->router != context.address) {
                askToKeep(*resumeFrom, context.signer.sign(*resumeFrom));
            }
            driver.takeUp(*resumeFrom);
        } else {
            driver.serve();
        }
    }).detach();
}

void ChatService::answerWhole(Reader &reader, httplib::Response &response)
{
    RunSlice slice;
    do {
        slice = reader.run->read(reader.next, Never);
        reader.next += slice.chunks.size();
    } while (slice.end == nullptr);
    if (slice.end->failure) {
        throw VerdictError(*slice.end->failure);
    }
    const nlohmann::json choice = {
            {"index", 0},
            {"message", {{"role", "assistant"}, {"content", slice.end->content}}},
            {"finish_reason", slice.end->finishReason}};
    nlohmann::json answer = {{"id", reader.run->order().request.text()},
                             {"object", "chat.completion"},
                             {"model", reader.run->order().model.text()},
                             {"stream_id", reader.run->source().engineStream},
                             {"choices", nlohmann::json::array({choice})}};
    // The end chunk carries the engine's count.
    const RunSlice last = reader.run->read(reader.next - 1, Never);
    const nlohmann::json lastJson = nlohmann::json::parse(last.chunks.front()->json);
    if (lastJson.contains("usage")) {
        answer["usage"] = lastJson.at("usage");
    }
    response.set_header("X-Execution", std::string(executionName(Execution::Ran)));
    response.set_content(answer.dump(), "application/json");
}

void ChatService::answerStream(std::shared_ptr<Reader> reader, httplib::Response &response)
{
    // The status line waits for the first chunk, so that a request which fails
    // before it gets its own status instead of a stream that breaks off.
    const RunSlice first = reader->run->read(0, Never);
    if (first.chunks.empty() && first.end->failure) {
        throw VerdictError(*first.end->failure);
    }
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider("text/event-stream",
                                          [this, reader](std::size_t, httplib::DataSink &sink) {
                                              return writeNext(*reader, sink);
                                          });
}

bool ChatService::writeNext(Reader &reader, httplib::DataSink &sink)
{
    const RunSlice slice = reader.run->read(reader.next, steadyNow() + LivenessInterval);
    if (!reader.stream) {
        reader.stream.emplace(context_.signer, reader.run->source());
    }
    std::string text;
    for (const RunChunk *chunk : slice.chunks) {
        if (reader.hasAlready && chunk->position <= *reader.hasAlready) {
            continue;
        }
        text += fmt::format("id: {}\ndata: {}\n\n", reader.stream->sign(chunk->position),
                            chunk->json);
    }
    reader.next += slice.chunks.size();
    if (slice.end != nullptr && slice.end->failure) {
        text += fmt::format("event: error\ndata: {}\n\n",
                            errorJson(*slice.end->failure, steadyNow()).dump());
    } else if (slice.end != nullptr) {
        text += "data: [DONE]\n\n";
    }
    if (text.empty()) {
        return sink.is_writable();
    }
    if (!sink.write(text.data(), text.size())) {
        return false;
    }
    if (slice.end != nullptr) {
        sink.done();
    }
    return true;
}

} // namespace sequoiagate
