#include "sequoiagate/Router/PlainService.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <vector>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Config/Sha256.h"
#include "sequoiagate/Router/EndpointHttp.h"
#include "sequoiagate/Router/VerdictHttp.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Transport/WireVerdict.h"

namespace sequoiagate {

namespace {

constexpr Millis ComeBackAfter{1000};
constexpr int StatusOk = 200;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusServerError = 500;
/// An outcome rides in the log and in each keeper's state while its key may come again.
constexpr std::size_t LongestRecordedAnswer = 4096;

Instant steadyNow()
{
    return std::chrono::steady_clock::now();
}

[[noreturn]] void refuse(Reason reason, Execution execution, std::string detail)
{
    throw VerdictError(Verdict{execution, reason, std::move(detail), steadyNow() + ComeBackAfter});
}

} // namespace

bool isUuidV7(const std::string &key)
{
    constexpr std::string_view Form = "xxxxxxxx-xxxx-7xxx-yxxx-xxxxxxxxxxxx";
    constexpr std::string_view Variants = "89abAB";
    if (key.size() != Form.size()) {
        return false;
    }
    for (std::size_t i = 0; i < Form.size(); ++i) {
        const char c = key[i];
        const bool fits = Form[i] == 'x'   ? std::isxdigit(static_cast<unsigned char>(c)) != 0
                          : Form[i] == 'y' ? Variants.find(c) != std::string_view::npos
                                           : c == Form[i];
        if (!fits) {
            return false;
        }
    }
    return true;
}

/// One call on its way.
struct PlainService::Call
{
    Call(RouterContext &context, ServiceId serviceId, std::string operationName)
        : service(std::move(serviceId)), operation(std::move(operationName)), scheduler(context)
    {}

    /// Ends the call's place in admission, whatever happened.
    struct Place
    {
        explicit Place(RouterContext &routerContext) : context(routerContext) {}
        ~Place()
        {
            if (admitted) {
                context.scheduler.finished(item, 0);
            }
        }
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

        RouterContext &context;
        WorkItem item;
        bool admitted = false;
    };

    ServiceId service;
    std::string operation;
    WorkspaceId workspace;
    RequestId name; ///< the key, or a made-up name: what events call it
    bool once = false;
    std::string bodyHash;
    AttemptId attempt = randomId<AttemptId>();
    httplib::Request http;
    httplib::Response answer;
    EndpointId endpoint;
    std::vector<EndpointId> tried;
    Place scheduler;
    bool replayed = false; ///< the answer is the recorded one of an earlier call
};

void PlainService::callOnce(const ServiceId &service, const std::string &operation,
                            const httplib::Request &request, httplib::Response &response)
{
    const CallerIdentity caller =
            identifyCaller(context_, request.get_header_value("Authorization"));
    const std::string key = request.get_header_value("Idempotency-Key");
    if (!isUuidV7(key)) {
        throw VerdictError(Verdict{Execution::NotRun, Reason::BadRequest,
                                   "Idempotency-Key must be a UUIDv7", std::nullopt});
    }
    requireService(caller, service, wire::PLAIN_SERVICE);
    Call call(context_, service, operation);
    call.workspace = caller.id();
    call.name = RequestId(key);
    call.once = true;
    call.bodyHash = sha256Hex(operation + '\n' + request.body);
    call.scheduler.item.weight = caller.weight();
    call.http.method = "POST";
    call.http.body = request.body;
    call.http.headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", key}};
    context_.log.write(Event(events::RequestReceived)
                               .with("request", call.name)
                               .with("key", key)
                               .with("workspace", call.workspace)
                               .with("body_hash", call.bodyHash)
                               .with("idempotent", false));
    try {
        send(call, false);
    } catch (const VerdictError &error) {
        logRefusal(call, error.verdict());
        throw;
    }
    relay(call, response);
}

void PlainService::callRepeatable(const ServiceId &service, const std::string &operation,
                                  const httplib::Request &request, httplib::Response &response)
{
    const CallerIdentity caller =
            identifyCaller(context_, request.get_header_value("Authorization"));
    requireService(caller, service, wire::PLAIN_SERVICE);
    Call call(context_, service, operation);
    call.workspace = caller.id();
    call.name = randomId<RequestId>();
    call.scheduler.item.weight = caller.weight();
    call.http.method = "GET";
    context_.log.write(Event(events::RequestReceived)
                               .with("request", call.name)
                               .with("workspace", call.workspace)
                               .with("body_hash", "")
                               .with("idempotent", true));
    try {
        send(call, true);
    } catch (const VerdictError &error) {
        logRefusal(call, error.verdict());
        throw;
    }
    relay(call, response);
}

void PlainService::describeRun(const std::string &key, const httplib::Request &request,
                               httplib::Response &response)
{
    const CallerIdentity caller =
            identifyCaller(context_, request.get_header_value("Authorization"));
    wire::ReadRunRequest question;
    question.set_workspace(caller.id().text());
    question.set_key(key);
    const wire::ReadRunReply reply = context_.keepers.readRun(question);
    nlohmann::json answer = {{"key", key}, {"state", "unknown"}};
    if (reply.has_run() && !reply.run().has_outcome()) {
        answer["state"] = "pending";
    } else if (reply.has_run()) {
        const wire::RunOutcome &outcome = reply.run().outcome();
        answer["state"] = executionName(executionFromWire(outcome.execution()));
        if (executionFromWire(outcome.execution()) == Execution::Ran) {
            answer["status"] = outcome.status();
            answer["answer"] = outcome.answer();
            answer["content_type"] = outcome.content_type();
        }
    }
    using ErrorHandler = nlohmann::json::error_handler_t;
    response.set_content(answer.dump(-1, ' ', false, ErrorHandler::replace), "application/json");
}

void PlainService::claim(Call &call)
{
    std::vector<AttemptId> attempts;
    wire::ClaimRunReply reply;
    try {
        reply = askForClaim(call, attempts);
    } catch (const VerdictError &) {
        dropClaims(call, attempts);
        throw;
    }
    call.attempt = attempts.back();
    attempts.pop_back();
    dropClaims(call, attempts);
    judgeClaim(call, reply);
}

wire::ClaimRunReply PlainService::askForClaim(const Call &call, std::vector<AttemptId> &attempts)
{
    wire::ClaimRunRequest request;
    request.mutable_claim()->set_workspace(call.workspace.text());
    request.mutable_claim()->set_key(call.name.text());
    request.mutable_claim()->set_body_hash(call.bodyHash);
    request.set_router(context_.log.identity().incarnation.text());
    return context_.keepers.claimRun(std::move(request), attempts);
}

/// A claim whose answer got lost may stand, and would say "may have run" for ever.
/// Nothing is ever sent under it: its outcome says so.
void PlainService::dropClaims(const Call &call, const std::vector<AttemptId> &attempts)
{
    for (const AttemptId &attempt : attempts) {
        finish(call, attempt, Execution::NotRun);
    }
}

void PlainService::judgeClaim(Call &call, const wire::ClaimRunReply &reply)
{
    if (reply.has_may_run() && reply.may_run()) {
        return;
    }
    if (reply.has_refused()) {
        throw VerdictError(verdictFromWire(reply.refused(), steadyNow()));
    }
    if (!reply.has_taken()) {
        refuse(Reason::KeeperUnreachable, Execution::NotRun, "the keeper's answer is empty");
    }
    const wire::RunState &taken = reply.taken();
    if (taken.claim().body_hash() != call.bodyHash) {
        throw VerdictError(Verdict{Execution::MayHaveRun, Reason::BodyMismatch,
                                   "the key was used with another body", std::nullopt});
    }
    if (!taken.has_outcome()) {
        refuse(Reason::AlreadyClaimed, Execution::MayHaveRun,
               "pending: the call was begun under this key, and its outcome isn't known");
    }
    const wire::RunOutcome &outcome = taken.outcome();
    if (executionFromWire(outcome.execution()) != Execution::Ran) {
        throw VerdictError(Verdict{executionFromWire(outcome.execution()), Reason::AlreadyClaimed,
                                   "the key was used; its call ended without an answer",
                                   std::nullopt});
    }
    call.replayed = true;
    call.answer.status = static_cast<int>(outcome.status());
    call.answer.body = outcome.answer();
    call.answer.set_header("Content-Type", outcome.content_type());
}

void PlainService::send(Call &call, bool idempotent)
{
    if (!context_.gate.enter()) {
        refuse(Reason::Draining, Execution::NotRun, "this router is stopping");
    }
    const GatePass pass(context_.gate);
    WorkItem &item = call.scheduler.item;
    item.request = randomId<RequestId>();
    item.workspace = call.workspace;
    item.service = call.service;
    item.idempotent = idempotent;
    item.arrivedAt = steadyNow();
    context_.scheduler.admit(item);
    call.scheduler.admitted = true;
    if (idempotent) {
        sendRepeatable(call);
    } else {
        sendOnce(call);
    }
}

void PlainService::sendOnce(Call &call)
{
    claim(call);
    if (call.replayed) {
        return;
    }
    try {
        for (;;) {
            call.endpoint = context_.scheduler.choose(call.scheduler.item, call.tried);
            try {
                trySending(call, call.endpoint);
                break;
            } catch (const VerdictError &error) {
                // Only a call of which no byte left may go to another endpoint.
                if (!context_.scheduler.mayRetry(error.verdict(), false)) {
                    throw;
                }
                call.tried.push_back(call.endpoint);
            }
        }
    } catch (const VerdictError &error) {
        finish(call, call.attempt, error.verdict().execution);
        throw;
    }
    finish(call, call.attempt, Execution::Ran);
}

void PlainService::sendRepeatable(Call &call)
{
    std::optional<VerdictError> failed;
    for (;;) {
        try {
            call.endpoint = context_.scheduler.choose(call.scheduler.item, call.tried);
        } catch (const VerdictError &) {
            // That no other endpoint is left says nothing of the try that was sent:
            // "not run" would be false.
            if (failed) {
                throw *failed;
            }
            throw;
        }
        try {
            trySending(call, call.endpoint);
            return;
        } catch (const VerdictError &error) {
            if (!context_.scheduler.mayRetry(error.verdict(), true)) {
                throw;
            }
            failed = error;
            call.tried.push_back(call.endpoint);
        }
    }
}

void PlainService::trySending(Call &call, const EndpointId &endpoint)
{
    const Instant sentAt = steadyNow();
    const ConnectionResult sent = sendTo(call, endpoint);
    AttemptResult result;
    result.endpoint = endpoint;
    result.request = call.scheduler.item.request;
    const bool overloaded =
            sent.status == StatusTooManyRequests || sent.status >= StatusServerError;
    result.succeeded = sent.end == ConnectionEnd::Closed && !overloaded;
    result.firstToken = steadyNow() - sentAt;
    context_.scheduler.onEnd(result);
    if (sent.end == ConnectionEnd::NotSent) {
        refuse(Reason::EndpointFailed, Execution::NotRun, sent.detail);
    }
    if (sent.end != ConnectionEnd::Closed) {
        refuse(Reason::EndpointFailed, Execution::MayHaveRun,
               "the call was sent, and no whole answer came");
    }
    // A failure status says nothing of how far the service got.
    if (overloaded) {
        refuse(Reason::EndpointFailed, Execution::MayHaveRun,
               fmt::format("the service answered {}", sent.status));
    }
}

ConnectionResult PlainService::sendTo(Call &call, const EndpointId &endpoint)
{
    const auto view = context_.view.get();
    const wire::EndpointChange *spec = view->config ? view->config->endpoint(endpoint) : nullptr;
    if (spec == nullptr) {
        ConnectionResult result;
        result.detail = "the endpoint left the configuration";
        return result;
    }
    context_.log.write(Event(events::RequestSent)
                               .with("request", call.name)
                               .with("workspace", call.workspace)
                               .with("endpoint", endpoint)
                               .with("attempt", call.attempt));
    httplib::Request http = call.http;
    http.path = "/call/" + call.operation;
    http.headers.emplace("X-Attempt", call.attempt.text());
    http.headers.emplace("X-Workspace", call.workspace.text());
    call.answer = httplib::Response();
    return exchange(spec->address(),
                    {context_.settings.connectTimeout, context_.settings.callTimeout}, http,
                    call.answer);
}

void PlainService::finish(const Call &call, const AttemptId &attempt, Execution execution)
{
    wire::FinishRunRequest request;
    wire::RunOutcome &outcome = *request.mutable_outcome();
    outcome.set_workspace(call.workspace.text());
    outcome.set_key(call.name.text());
    outcome.set_attempt(attempt.text());
    outcome.set_execution(executionToWire(execution));
    if (execution == Execution::Ran) {
        outcome.set_status(static_cast<uint32_t>(call.answer.status));
        outcome.set_answer(call.answer.body.substr(0, LongestRecordedAnswer));
        outcome.set_content_type(call.answer.get_header_value("Content-Type"));
    }
    context_.outbox.finishRun(std::move(request));
}

void PlainService::relay(const Call &call, httplib::Response &response) const
{
    context_.log.write(
            Event(events::RequestAnswered)
                    .with("request", call.name)
                    .with("workspace", call.workspace)
                    .with("replayed", call.replayed)
                    .with("status", call.answer.status)
                    .with("answer_hash", fmt::format("{:016x}", stableHash(call.answer.body)))
                    .with("tokens", 0));
    response.status = call.answer.status == 0 ? StatusOk : call.answer.status;
    response.set_header("X-Execution", std::string(executionName(Execution::Ran)));
    if (call.replayed) {
        response.set_header("Idempotent-Replayed", "true");
    }
    std::string type = call.answer.get_header_value("Content-Type");
    if (type.empty()) {
        type = "application/octet-stream";
    }
    response.set_content(call.answer.body, type);
}

void PlainService::logRefusal(const Call &call, const Verdict &verdict)
{
    context_.log.write(Event(events::RequestRefused)
                               .with("request", call.name)
                               .with("workspace", call.workspace)
                               .with("execution", executionName(verdict.execution))
                               .with("reason", reasonName(verdict.reason))
                               .with("detail", verdict.detail));
}

} // namespace sequoiagate
