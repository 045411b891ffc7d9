#include "sequoiagate/Standins/LogStandin.h"

#include <algorithm>
#include <charconv>
#include <thread>

#include <absl/time/clock.h>

#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

namespace {

constexpr uint64_t DefaultLimit = 1000;
constexpr uint64_t LongestWaitMillis = 30'000;

uint64_t numberParam(const httplib::Request &request, const char *name, uint64_t fallback)
{
    if (!request.has_param(name)) {
        return fallback;
    }
    const std::string text = request.get_param_value(name);
    uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

LogStandin::LogStandin(LogStandinSettings settings, EventLog &log)
    : settings_(std::move(settings)), log_(log),
      http_(settings_.ip, settings_.port, settings_.workers)
{
    route();
}

void LogStandin::stop()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    http_.stop();
}

void LogStandin::route()
{
    httplib::Server &server = http_.server();
    server.Post(R"(/v1/streams/([A-Za-z0-9._-]+)/append)",
                [this](const auto &request, auto &response) { append(request, response); });
    server.Get(R"(/v1/streams/([A-Za-z0-9._-]+)/records)",
               [this](const auto &request, auto &response) { read(request, response); });
    server.Post("/admin/faults",
                [this](const auto &request, auto &response) { setFaults(request, response); });
    server.Get("/admin/counts", [this](const auto &, auto &response) {
        absl::MutexLock lock(&mutex_);
        answerJson(response, {{"append_calls", appendCalls_}, {"append_bytes", appendBytes_}});
    });
}

bool LogStandin::refuses(const httplib::Request &request)
{
    int slowMillis = 0;
    {
        absl::MutexLock lock(&mutex_);
        if (faults_.down || faults_.cutHosts.count(request.get_header_value("X-Sender")) > 0) {
            return true;
        }
        slowMillis = faults_.slowMillis;
    }
    std::this_thread::sleep_for(Millis(slowMillis));
    return false;
}

void LogStandin::pace()
{
    Instant turn;
    {
        absl::MutexLock lock(&mutex_);
        const Instant now = std::chrono::steady_clock::now();
        turn = std::max(now, nextAppendAt_);
        nextAppendAt_ = turn + Interval(Seconds(1)) / settings_.appendsPerSecond;
    }
    std::this_thread::sleep_until(turn);
}

void LogStandin::expire(Stream &stream)
{
    if (stream.records.size() <= settings_.retainRecords) {
        return;
    }
    const std::size_t surplus = stream.records.size() - settings_.retainRecords;
    stream.records.erase(stream.records.begin(),
                         stream.records.begin() + static_cast<std::ptrdiff_t>(surplus));
    stream.oldest += surplus;
}

void LogStandin::append(const httplib::Request &request, httplib::Response &response)
{
    if (refuses(request)) {
        answerJson(response, {{"error", "log service unavailable"}}, 503);
        return;
    }
    const nlohmann::json body = jsonBody(request);
    if (!body.contains("records") || !body["records"].is_array()) {
        answerJson(response, {{"error", "records must be an array"}}, 400);
        return;
    }
    pace();
    const std::string name = request.matches[1];
    absl::MutexLock lock(&mutex_);
    Stream &stream = streams_[name];
    const uint64_t first = stream.oldest + stream.records.size();
    for (const nlohmann::json &record : body["records"]) {
        stream.records.push_back(record.get<std::string>());
    }
    ++appendCalls_;
    appendBytes_ += request.body.size();
    expire(stream);
    log_.write(Event(events::LogAccepted)
                       .with("stream", name)
                       .with("offset", first)
                       .with("records", body["records"].size())
                       .with("sender", request.get_header_value("X-Sender")));
    if (faults_.answersToLose > 0) {
        --faults_.answersToLose;
        answerJson(response, {{"error", "answer lost"}}, 500);
        return;
    }
    answerJson(response, {{"offset", first}});
}

void LogStandin::read(const httplib::Request &request, httplib::Response &response)
{
    if (refuses(request)) {
        answerJson(response, {{"error", "log service unavailable"}}, 503);
        return;
    }
    const std::string name = request.matches[1];
    const uint64_t from = numberParam(request, "from", 0);
    const uint64_t limit = numberParam(request, "limit", DefaultLimit);
    const uint64_t wait = std::min(numberParam(request, "wait_ms", 0), LongestWaitMillis);

    absl::MutexLock lock(&mutex_);
    const auto readable = [&] {
        mutex_.AssertHeld();
        const Stream &stream = streams_[name];
        return stopping_ || faults_.down || stream.oldest + stream.records.size() > from;
    };
    mutex_.AwaitWithTimeout(absl::Condition(&readable), absl::Milliseconds(wait));
    const Stream &stream = streams_[name];
    const uint64_t next = stream.oldest + stream.records.size();
    nlohmann::json records = nlohmann::json::array();
    for (uint64_t offset = std::max(from, stream.oldest);
         from >= stream.oldest && offset < next && records.size() < limit; ++offset) {
        records.push_back({{"offset", offset}, {"data", stream.records[offset - stream.oldest]}});
    }
    answerJson(response,
               {{"oldest", stream.oldest}, {"next", next}, {"records", std::move(records)}});
}

void LogStandin::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = jsonBody(request);
    absl::MutexLock lock(&mutex_);
    faults_.down = body.value("down", faults_.down);
    faults_.slowMillis = body.value("slow_ms", faults_.slowMillis);
    faults_.answersToLose = body.value("lose_answers", faults_.answersToLose);
    faults_.cutHosts = body.value("cut_hosts", faults_.cutHosts);
    settings_.retainRecords = body.value("retain", settings_.retainRecords);
    for (auto &[name, stream] : streams_) {
        expire(stream);
    }
    answerJson(response, nlohmann::json::object());
}

} // namespace sequoiagate
