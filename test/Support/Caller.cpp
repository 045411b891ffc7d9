#include "test/Support/Caller.h"

#include <stdexcept>

#include <fmt/format.h>
#include <httplib.h>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

namespace {

constexpr Seconds CallerTimeout{60};

ProcessIdentity callerIdentity()
{
    return {"caller", HostId("caller"), DomainId("outside"), randomId<Incarnation>()};
}

std::string hashText(const std::string &text)
{
    return fmt::format("{:016x}", stableHash(text));
}

void readError(const nlohmann::json &body, CallerAnswer &answer)
{
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
        return;
    }
    const nlohmann::json &error = body["error"];
    answer.code = error.value("code", "");
    answer.execution = error.value("execution", "");
    answer.retryAfterMs = error.value("retry_after_ms", uint64_t{0});
}

/// Takes server-sent events apart as they arrive, in pieces of any size.
class EventReader
{
public:
    explicit EventReader(CallerAnswer &answer) : answer_(answer) {}

    void feed(const char *data, std::size_t size)
    {
        pending_.append(data, size);
        std::size_t end = 0;
        while ((end = pending_.find("\n\n")) != std::string::npos) {
            handle(pending_.substr(0, end));
            pending_.erase(0, end + 2);
        }
    }

private:
    void handle(const std::string &event)
    {
        std::string data;
        std::string name;
        std::size_t begin = 0;
        while (begin < event.size()) {
            const std::size_t end = std::min(event.find('\n', begin), event.size());
            const std::string line = event.substr(begin, end - begin);
            begin = end + 1;
            if (line.rfind("data: ", 0) == 0) {
                data = line.substr(6);
            } else if (line.rfind("event: ", 0) == 0) {
                name = line.substr(7);
            } else if (line.rfind("id: ", 0) == 0) {
                answer_.lastEventId = line.substr(4);
            }
        }
        take(name, data);
    }

    void take(const std::string &name, const std::string &data)
    {
        if (data == "[DONE]") {
            answer_.whole = true;
            return;
        }
        const nlohmann::json body = nlohmann::json::parse(data, nullptr, false);
        if (name == "error") {
            readError(body, answer_);
            return;
        }
        if (!body.is_object() || !body.contains("choices") || body["choices"].empty()) {
            return;
        }
        const nlohmann::json delta = body["choices"][0].value("delta", nlohmann::json::object());
        if (delta.contains("content")) {
            answer_.content += delta["content"].get<std::string>();
            ++answer_.chunks;
        }
    }

    CallerAnswer &answer_;
    std::string pending_;
};

httplib::Client clientFor(const std::string &address)
{
    httplib::Client client("http://" + address);
    client.set_read_timeout(CallerTimeout);
    client.set_connection_timeout(CallerTimeout);
    client.set_keep_alive(false);
    return client;
}

nlohmann::json chatBody(const ChatCall &call)
{
    const nlohmann::json message = {{"role", "user"}, {"content", call.prompt}};
    return {{"model", call.model},
            {"stream", call.stream},
            {"max_tokens", call.maxTokens},
            {"messages", nlohmann::json::array({message})}};
}

httplib::Request chatRequest(const ChatCall &call)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.set_header("Authorization", "Bearer " + call.key);
    request.set_header("Content-Type", "application/json");
    if (!call.request.empty()) {
        request.set_header("X-Request-Id", call.request.text());
    }
    if (!call.lastEventId.empty()) {
        request.set_header("Last-Event-ID", call.lastEventId);
    }
    if (!call.workClass.empty()) {
        request.set_header("X-Work-Class", call.workClass);
    }
    request.body = chatBody(call).dump();
    return request;
}

void readWholeChat(const std::string &text, CallerAnswer &answer)
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    readError(body, answer);
    if (answer.status != 200 || !body.is_object() || !body.contains("choices")) {
        return;
    }
    answer.content = body["choices"][0]["message"].value("content", "");
    answer.whole = true;
}

} // namespace

Caller::Caller(const std::string &path)
    : file_(std::fopen(path.c_str(), "a")), log_(callerIdentity(), file_)
{
    if (file_ == nullptr) {
        throw std::runtime_error("can't open " + path);
    }
}

Caller::~Caller()
{
    std::fclose(file_);
}

CallerAnswer Caller::chat(const ChatCall &call)
{
    const AttemptId callerTry = randomId<AttemptId>();
    log_.write(Event(events::CallerSent)
                       .with("try", callerTry)
                       .with("request", call.request)
                       .with("workspace", call.workspace)
                       .with("router", call.router)
                       .with("resumes", !call.lastEventId.empty()));
    CallerAnswer answer;
    EventReader reader(answer);
    std::string plainBody;
    httplib::Request request = chatRequest(call);
    request.content_receiver = [&](const char *data, std::size_t size, uint64_t, uint64_t) {
        reader.feed(data, size);
        plainBody.append(data, size);
        return call.hangUpAfter == 0 || answer.chunks < call.hangUpAfter;
    };
    httplib::Client client = clientFor(call.router);
    const httplib::Result result = client.send(request);
    answer.status = result ? result->status : 0;
    const bool isEventStream =
            result && result->get_header_value("Content-Type") == "text/event-stream";
    if (result && !isEventStream) {
        readWholeChat(plainBody, answer);
    }
    sawChat(call, callerTry, answer);
    return answer;
}

void Caller::sawChat(const ChatCall &call, const AttemptId &callerTry, const CallerAnswer &answer)
{
    log_.write(Event(events::CallerGot)
                       .with("try", callerTry)
                       .with("request", call.request)
                       .with("workspace", call.workspace)
                       .with("router", call.router)
                       .with("status", answer.status)
                       .with("whole", answer.whole)
                       .with("resumes", !call.lastEventId.empty())
                       .with("code", answer.code)
                       .with("execution", answer.execution)
                       .with("answer_hash", hashText(answer.content)));
}

CallerAnswer Caller::plain(const PlainCall &call)
{
    const AttemptId callerTry = randomId<AttemptId>();
    log_.write(Event(events::CallerSent)
                       .with("try", callerTry)
                       .with("key", call.idempotencyKey)
                       .with("workspace", call.workspace)
                       .with("router", call.router));
    httplib::Client client = clientFor(call.router);
    const std::string path = fmt::format("/v1/services/{}/{}", call.service, call.operation);
    const httplib::Headers headers = {{"Authorization", "Bearer " + call.key},
                                      {"Idempotency-Key", call.idempotencyKey}};
    const httplib::Result result =
            client.Post(path.c_str(), headers, call.body, "application/json");
    CallerAnswer answer;
    if (result) {
        answer.status = result->status;
        answer.content = result->body;
        answer.whole = true;
        readError(nlohmann::json::parse(result->body, nullptr, false), answer);
    }
    log_.write(Event(events::CallerGot)
                       .with("try", callerTry)
                       .with("key", call.idempotencyKey)
                       .with("workspace", call.workspace)
                       .with("router", call.router)
                       .with("status", answer.status)
                       .with("code", answer.code)
                       .with("execution", answer.execution));
    return answer;
}

std::string Caller::runState(const PlainCall &call)
{
    httplib::Client client = clientFor(call.router);
    const std::string path = "/v1/runs/" + call.idempotencyKey;
    const httplib::Result result =
            client.Get(path.c_str(), {{"Authorization", "Bearer " + call.key}});
    if (!result || result->status != 200) {
        return "";
    }
    return nlohmann::json::parse(result->body).value("state", "");
}

void setFaults(const std::string &address, const nlohmann::json &faults)
{
    httplib::Client client = clientFor(address);
    const httplib::Result result = client.Post("/admin/faults", faults.dump(), "application/json");
    if (!result || result->status != 200) {
        throw std::runtime_error("can't set faults at " + address);
    }
}

std::string uuidV7(Seconds age)
{
    const auto wall = std::chrono::system_clock::now() - age;
    const auto millis = std::chrono::duration_cast<Millis>(wall.time_since_epoch()).count();
    const std::string random = randomHex128();
    const std::string time = fmt::format("{:012x}", millis);
    return fmt::format("{}-{}-7{}-8{}-{}", time.substr(0, 8), time.substr(8, 4),
                       random.substr(0, 3), random.substr(3, 3), random.substr(6, 12));
}

} // namespace sequoiagate
