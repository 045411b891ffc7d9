#include "sequoiagate/Standins/EngineStandin.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <absl/time/clock.h>
#include <fmt/format.h>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

namespace {

constexpr uint64_t DefaultCeiling = 256;
constexpr uint64_t ShortestAnswer = 5;
constexpr uint64_t AnswerSpread = 36;
constexpr std::size_t PrefixBytes = 64;
constexpr double CachedPrefixSpeedup = 4.0;
constexpr std::string_view LengthMark = "tokens=";

std::string promptOf(const nlohmann::json &body)
{
    std::string prompt;
    for (const nlohmann::json &message : body.value("messages", nlohmann::json::array())) {
        if (message.is_object() && message.contains("content") && message["content"].is_string()) {
            prompt += message["content"].get<std::string>() + "\n";
        }
    }
    return prompt;
}

uint64_t countWords(const std::string &text)
{
    std::istringstream words(text);
    std::string word;
    uint64_t count = 0;
    while (words >> word) {
        ++count;
    }
    return count;
}

/// A prompt that says "tokens=N" gets an answer of N tokens; any other one of a
/// length that depends on the prompt alone.
uint64_t answerLength(const std::string &prompt)
{
    const std::size_t mark = prompt.find(LengthMark);
    if (mark == std::string::npos) {
        return ShortestAnswer + stableHash(prompt) % AnswerSpread;
    }
    uint64_t length = 0;
    const char *first = prompt.data() + mark + LengthMark.size();
    std::from_chars(first, prompt.data() + prompt.size(), length);
    return std::max<uint64_t>(length, 1);
}

std::string finishReason(const EngineStream &stream)
{
    if (stream.cancelled) {
        return "cancelled";
    }
    return stream.length >= stream.ceiling ? "length" : "stop";
}

nlohmann::json usage(const EngineStream &stream)
{
    return {{"prompt_tokens", stream.promptTokens},
            {"completion_tokens", stream.generated},
            {"total_tokens", stream.promptTokens + stream.generated}};
}

std::string chunkText(const EngineStream &stream, uint64_t position)
{
    const nlohmann::json choice = {{"index", 0},
                                   {"delta", {{"content", stream.token(position)}}},
                                   {"finish_reason", nullptr}};
    const nlohmann::json chunk = {{"id", stream.id},
                                  {"object", "chat.completion.chunk"},
                                  {"stream_id", stream.id},
                                  {"position", position},
                                  {"choices", nlohmann::json::array({choice})}};
    return fmt::format("data: {}\n\n", chunk.dump());
}

std::string lastChunkText(const EngineStream &stream)
{
    const nlohmann::json choice = {{"index", 0},
                                   {"delta", nlohmann::json::object()},
                                   {"finish_reason", finishReason(stream)}};
    const nlohmann::json chunk = {{"id", stream.id},
                                  {"object", "chat.completion.chunk"},
                                  {"stream_id", stream.id},
                                  {"position", stream.generated},
                                  {"choices", nlohmann::json::array({choice})},
                                  {"usage", usage(stream)}};
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", chunk.dump());
}

std::string answerText(const EngineStream &stream)
{
    std::string text;
    for (uint64_t position = 0; position < stream.generated; ++position) {
        text += stream.token(position);
    }
    return text;
}

} // namespace

std::string EngineStream::token(uint64_t position) const
{
    const uint64_t mark =
            stableHash(fmt::format("{}/{}/{}", workspace, request, position)) % 100'000;
    return fmt::format("w{:05d} ", mark);
}

EngineStandin::EngineStandin(EngineSettings settings, EventLog &log)
    : settings_(std::move(settings)), log_(log),
      http_(settings_.ip, settings_.port, settings_.workers)
{
    route();
}

EngineStandin::~EngineStandin()
{
    stop();
}

void EngineStandin::start()
{
    generator_ = std::thread([this] { generate(); });
    http_.start();
}

void EngineStandin::stop()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
        changed_.SignalAll();
    }
    http_.stop();
    if (generator_.joinable()) {
        generator_.join();
    }
}

void EngineStandin::route()
{
    httplib::Server &server = http_.server();
    server.Post("/v1/chat/completions",
                [this](const auto &request, auto &response) { complete(request, response); });
    server.Get(R"(/v1/streams/([0-9a-f]+)/status)", [this](const auto &request, auto &response) {
        const StreamPtr stream = find(request.matches[1]);
        if (!stream) {
            answerJson(response, {{"error", "unknown stream"}}, 404);
            return;
        }
        absl::MutexLock lock(&mutex_);
        answerJson(response, status(*stream));
    });
    server.Get(R"(/v1/streams/([0-9a-f]+))",
               [this](const auto &request, auto &response) { resume(request, response); });
    server.Delete(R"(/v1/streams/([0-9a-f]+))",
                  [this](const auto &request, auto &response) { cancel(request, response); });
    server.Get("/v1/streams",
               [this](const auto &request, auto &response) { list(request, response); });
    server.Get("/v1/load", [this](const auto &, auto &response) { load(response); });
    server.Post("/admin/faults",
                [this](const auto &request, auto &response) { setFaults(request, response); });
}

bool EngineStandin::cached(const std::string &prompt)
{
    const std::string prefix = prompt.substr(0, PrefixBytes);
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    const bool hit = found != prefixes_.end();
    if (hit) {
        prefixes_.erase(found);
    }
    prefixes_.push_back(prefix);
    if (prefixes_.size() > settings_.cachedPrefixes) {
        prefixes_.pop_front();
    }
    return hit;
}

EngineStandin::StreamPtr EngineStandin::openStream(const httplib::Request &request,
                                                   const nlohmann::json &body)
{
    const std::string prompt = promptOf(body);
    auto stream = std::make_shared<EngineStream>();
    stream->id = randomHex128();
    stream->workspace = request.get_header_value("X-Workspace");
    stream->request = request.get_header_value("X-Request-Id");
    stream->attempt = request.get_header_value("X-Attempt");
    stream->promptTokens = countWords(prompt);
    stream->ceiling = body.value("max_tokens", DefaultCeiling);
    stream->length = std::min(answerLength(prompt), stream->ceiling);
    log_.write(Event(events::EndpointReceived)
                       .with("endpoint", settings_.name)
                       .with("workspace", stream->workspace)
                       .with("request", stream->request)
                       .with("attempt", stream->attempt)
                       .with("stream", stream->id));
    absl::MutexLock lock(&mutex_);
    const double speedup = cached(prompt) ? CachedPrefixSpeedup : 1.0;
    const auto prefill = std::chrono::duration_cast<Interval>(settings_.firstToken / speedup);
    stream->nextTokenAt = std::chrono::steady_clock::now() + prefill;
    streams_[stream->id] = stream;
    unfinished_.push_back(stream);
    changed_.SignalAll();
    return stream;
}

void EngineStandin::complete(const httplib::Request &request, httplib::Response &response)
{
    Faults faults;
    {
        absl::MutexLock lock(&mutex_);
        faults = faults_;
    }
    if (faults.refuse) {
        answerJson(response, {{"error", "engine refuses"}}, 503);
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array()) {
        answerJson(response, {{"error", "messages must be an array"}}, 400);
        return;
    }
    const StreamPtr stream = openStream(request, body);
    if (faults.hang) {
        absl::MutexLock lock(&mutex_);
        const auto released = [this] {
            mutex_.AssertHeld();
            return stopping_ || !faults_.hang;
        };
        mutex_.AwaitWithTimeout(absl::Condition(&released), absl::Seconds(30));
    }
    response.set_header("X-Stream-Id", stream->id);
    if (body.value("stream", false)) {
        answerChunks(stream, 0, response);
    } else {
        answerWhole(stream, response);
    }
}

bool EngineStandin::awaitToken(const StreamPtr &stream, uint64_t position)
{
    absl::MutexLock lock(&mutex_);
    while (!stopping_ && stream->generated <= position && !stream->finished()) {
        changed_.Wait(&mutex_);
    }
    return stream->generated > position;
}

void EngineStandin::answerWhole(const StreamPtr &stream, httplib::Response &response)
{
    awaitToken(stream, stream->length);
    absl::MutexLock lock(&mutex_);
    const nlohmann::json choice = {
            {"index", 0},
            {"message", {{"role", "assistant"}, {"content", answerText(*stream)}}},
            {"finish_reason", finishReason(*stream)}};
    answerJson(response, {{"id", stream->id},
                          {"object", "chat.completion"},
                          {"stream_id", stream->id},
                          {"choices", nlohmann::json::array({choice})},
                          {"usage", usage(*stream)}});
}

void EngineStandin::answerChunks(const StreamPtr &stream, uint64_t from,
                                 httplib::Response &response)
{
    int64_t chunksLeft = -1;
    bool swap = false;
    {
        absl::MutexLock lock(&mutex_);
        chunksLeft = std::exchange(faults_.cutAfter, -1);
        swap = faults_.swapChunks;
    }
    auto position = std::make_shared<uint64_t>(from);
    const auto provider = [this, stream, position, chunksLeft,
                           swap](std::size_t, httplib::DataSink &sink) mutable {
        if (chunksLeft == 0) {
            return false;
        }
        const uint64_t at = *position;
        const bool swapped = swap && at + 1 < stream->length && awaitToken(stream, at + 1);
        if (swapped) {
            const std::string pair = chunkText(*stream, at + 1) + chunkText(*stream, at);
            *position += 2;
            return sink.write(pair.data(), pair.size());
        }
        if (awaitToken(stream, at)) {
            --chunksLeft;
            *position += 1;
            const std::string chunk = chunkText(*stream, at);
            return sink.write(chunk.data(), chunk.size());
        }
        const std::string chunk = lastChunkText(*stream);
        sink.write(chunk.data(), chunk.size());
        sink.done();
        return true;
    };
    response.set_chunked_content_provider("text/event-stream", provider);
}

void EngineStandin::resume(const httplib::Request &request, httplib::Response &response)
{
    const StreamPtr stream = find(request.matches[1]);
    if (!stream) {
        answerJson(response, {{"error", "unknown stream"}}, 404);
        return;
    }
    uint64_t from = 0;
    if (request.has_param("from")) {
        const std::string text = request.get_param_value("from");
        std::from_chars(text.data(), text.data() + text.size(), from);
    }
    response.set_header("X-Stream-Id", stream->id);
    answerChunks(stream, from, response);
}

void EngineStandin::cancel(const httplib::Request &request, httplib::Response &response)
{
    const StreamPtr stream = find(request.matches[1]);
    if (!stream) {
        answerJson(response, {{"error", "unknown stream"}}, 404);
        return;
    }
    absl::MutexLock lock(&mutex_);
    if (!stream->finished()) {
        stream->cancelled = true;
        changed_.SignalAll();
    }
    answerJson(response, status(*stream));
}

void EngineStandin::list(const httplib::Request &request, httplib::Response &response)
{
    const std::string wantedRequest = request.get_param_value("request");
    const std::string wantedWorkspace = request.get_param_value("workspace");
    absl::MutexLock lock(&mutex_);
    nlohmann::json found = nlohmann::json::array();
    for (const auto &[id, stream] : streams_) {
        if (stream->request == wantedRequest && stream->workspace == wantedWorkspace) {
            found.push_back(status(*stream));
        }
    }
    answerJson(response, {{"streams", found}});
}

void EngineStandin::load(httplib::Response &response)
{
    const Instant shown = std::chrono::steady_clock::now() - settings_.loadLag;
    absl::MutexLock lock(&mutex_);
    while (samples_.size() > 1 && samples_[1].at <= shown) {
        samples_.pop_front();
    }
    const LoadSample sample = samples_.empty() ? LoadSample{} : samples_.front();
    answerJson(response,
               {{"running", sample.running},
                {"waiting", sample.waiting},
                {"kv_used", static_cast<double>(sample.running) / settings_.slots},
                {"leaving", faults_.leaving},
                {"age_ms", std::chrono::duration_cast<Millis>(settings_.loadLag).count()}});
}

void EngineStandin::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = jsonBody(request);
    absl::MutexLock lock(&mutex_);
    const bool wasLeaving = faults_.leaving;
    faults_.leaving = body.value("leaving", faults_.leaving);
    faults_.cutAfter = body.value("cut_after", faults_.cutAfter);
    faults_.slowFactor = body.value("slow_factor", faults_.slowFactor);
    faults_.refuse = body.value("refuse", faults_.refuse);
    faults_.swapChunks = body.value("swap_chunks", faults_.swapChunks);
    faults_.hang = body.value("hang", faults_.hang);
    if (body.contains("token_ms")) {
        settings_.betweenTokens = Millis(body["token_ms"].get<int64_t>());
    }
    if (body.contains("first_token_ms")) {
        settings_.firstToken = Millis(body["first_token_ms"].get<int64_t>());
    }
    if (faults_.leaving && !wasLeaving) {
        log_.write(Event(events::EndpointLeaving).with("endpoint", settings_.name));
    }
    answerJson(response, nlohmann::json::object());
}

EngineStandin::StreamPtr EngineStandin::find(const std::string &id)
{
    absl::MutexLock lock(&mutex_);
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second;
}

nlohmann::json EngineStandin::status(const EngineStream &stream) const
{
    return {{"stream_id", stream.id},
            {"generated", stream.generated},
            {"finished", stream.finished()},
            {"cancelled", stream.cancelled},
            {"prompt_tokens", stream.promptTokens}};
}

void EngineStandin::finish(EngineStream &stream)
{
    log_.write(
            Event(events::EndpointRan)
                    .with("endpoint", settings_.name)
                    .with("workspace", stream.workspace)
                    .with("request", stream.request)
                    .with("attempt", stream.attempt)
                    .with("stream", stream.id)
                    .with("prompt_tokens", stream.promptTokens)
                    .with("completion_tokens", stream.generated)
                    .with("tokens", stream.promptTokens + stream.generated)
                    .with("cancelled", stream.cancelled)
                    .with("idempotent", true)
                    .with("answer_hash", fmt::format("{:016x}", stableHash(answerText(stream)))));
}

Instant EngineStandin::step(Instant now)
{
    const auto pause =
            std::chrono::duration_cast<Interval>(settings_.betweenTokens * faults_.slowFactor);
    uint32_t running = 0;
    uint32_t waiting = 0;
    Instant next = Never;
    for (const StreamPtr &stream : unfinished_) {
        if (!stream->running && running < settings_.slots) {
            stream->running = true;
            stream->nextTokenAt = std::max(stream->nextTokenAt, now);
        }
        ++(stream->running ? running : waiting);
        const bool due = stream->running && !stream->finished() && stream->nextTokenAt <= now;
        if (due) {
            ++stream->generated;
            // From the time it was due, so that a busy machine doesn't slow the rate.
            stream->nextTokenAt = std::max(stream->nextTokenAt + pause, now - pause);
        }
        if (stream->finished()) {
            finish(*stream);
        } else if (stream->running) {
            next = std::min(next, stream->nextTokenAt);
        }
    }
    const auto isFinished = [](const StreamPtr &stream) {
        return stream->finished();
    };
    unfinished_.erase(std::remove_if(unfinished_.begin(), unfinished_.end(), isFinished),
                      unfinished_.end());
    const bool differs = samples_.empty() || samples_.back().running != running
                         || samples_.back().waiting != waiting;
    if (differs) {
        samples_.push_back({now, running, waiting});
    }
    return next;
}

void EngineStandin::generate()
{
    absl::MutexLock lock(&mutex_);
    while (!stopping_) {
        const Instant now = std::chrono::steady_clock::now();
        const Instant next = step(now);
        changed_.SignalAll();
        const Interval wait = next == Never ? Interval(Seconds(1)) : next - now;
        changed_.WaitWithTimeout(&mutex_, absl::FromChrono(std::max(wait, Interval(Millis(1)))));
    }
}

} // namespace sequoiagate
