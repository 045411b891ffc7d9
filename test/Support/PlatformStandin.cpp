#include "test/Support/PlatformStandin.h"

#include <chrono>

#include <absl/strings/escaping.h>
#include <fmt/format.h>

namespace sequoiagate {

namespace {

constexpr std::size_t EndpointWorkers = 128;
constexpr std::size_t MaxPageBytes = 1024 * 1024;   // of rows that the store returns
constexpr std::chrono::milliseconds EventPause(10); // a quick engine's events
constexpr std::chrono::milliseconds LateBy(1500);   // past the edge's timeout and its repeats

std::string bigEndian(uint64_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>((number >> (8 * i)) & 0xFF);
    }
    return text;
}

uint64_t readBigEndian(const std::string &text, std::size_t at, std::size_t bytes)
{
    uint64_t number = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
        number = (number << 8U) | static_cast<unsigned char>(text[at + i]);
    }
    return number;
}

uint64_t numberParam(const httplib::Request &request, const char *name)
{
    return request.has_param(name) ? std::stoull(request.get_param_value(name)) : 0;
}

} // namespace

StoreStandin::StoreStandin(const std::string &ip, std::size_t workers) : http_(ip, 0, workers)
{
    httplib::Server &server = http_.server();
    server.Get("/-/log-read",
               [this](const auto &request, auto &response) { read(request, response); });
    server.Get("/-/log-newest",
               [this](const auto &request, auto &response) { snapshot(request, response); });
    server.Post("/-/log-append",
                [this](const auto &request, auto &response) { append(request, response); });
    http_.start();
}

StoreStandin::~StoreStandin()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    http_.stop();
}

void StoreStandin::setFault(StoreFault fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    changed_.notify_all();
}

bool StoreStandin::admit(httplib::Response &response)
{
    std::unique_lock lock(mutex_);
    if (fault_ == StoreFault::Refuse) {
        response.status = 503;
        return false;
    }
    changed_.wait(lock, [this] { return fault_ != StoreFault::Silent || stopping_; });
    return !stopping_;
}

void StoreStandin::add(Topic &topic, const std::string &key, const std::string &value)
{
    if (value.empty()) {
        topic.newest.erase(key);
    } else {
        topic.newest[key] = topic.records.size();
    }
    topic.records.push_back({key, value});
}

uint64_t StoreStandin::put(const std::string &topic, const std::string &key,
                           const std::string &value)
{
    const std::lock_guard lock(mutex_);
    add(topics_[topic], key, value);
    changed_.notify_all();
    return topics_[topic].records.size() - 1;
}

void StoreStandin::notePosition(const httplib::Request &request, uint64_t from)
{
    const std::lock_guard lock(mutex_);
    positions_[{request.remote_addr, request.get_param_value("topic")}].try_emplace(
            from, std::chrono::steady_clock::now());
}

std::optional<Instant> StoreStandin::readPast(const std::string &ip, const std::string &topic,
                                              uint64_t offset)
{
    const std::lock_guard lock(mutex_);
    const auto reader = positions_.find({ip, topic});
    if (reader == positions_.end()) {
        return std::nullopt;
    }
    const auto first = reader->second.upper_bound(offset);
    return first == reader->second.end() ? std::nullopt : std::optional<Instant>(first->second);
}

std::map<std::string, std::string> StoreStandin::newest(const std::string &topic)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> rows;
    for (const auto &[key, offset] : topics_[topic].newest) {
        rows[key] = topics_[topic].records[offset].value;
    }
    return rows;
}

void StoreStandin::setView(const std::string &ip, View view)
{
    const std::lock_guard lock(mutex_);
    views_[ip] = std::move(view);
}

std::string StoreStandin::valueFor(const httplib::Request &request, const Record &record) const
{
    const auto view = views_.find(request.remote_addr);
    if (view == views_.end() || record.value.empty()) {
        return record.value;
    }
    return view->second(request.get_param_value("topic"), record.key, record.value);
}

void StoreStandin::forget(const std::string &topic)
{
    const std::lock_guard lock(mutex_);
    topics_[topic].first = topics_[topic].records.size();
    changed_.notify_all();
}

void StoreStandin::read(const httplib::Request &request, httplib::Response &response)
{
    notePosition(request, numberParam(request, "from"));
    if (!admit(response)) {
        return;
    }
    const std::string name = request.get_param_value("topic");
    const uint64_t from = numberParam(request, "from");
    const std::chrono::milliseconds wait(numberParam(request, "wait-ms"));
    std::unique_lock lock(mutex_);
    Topic &topic = topics_[name];
    changed_.wait_for(lock, wait, [&topic, from, this] {
        return topic.records.size() > from || topic.first > from || stopping_;
    });
    if (from < topic.first) {
        answerJson(response, {{"first", topic.first}}, 410);
        return;
    }
    std::string body = bigEndian(topic.records.size(), 8) + bigEndian(topic.first, 8);
    for (std::size_t i = from; i < topic.records.size() && body.size() < MaxPageBytes; ++i) {
        const Record &record = topic.records[i];
        const std::string content =
                bigEndian(record.key.size(), 1) + record.key + valueFor(request, record);
        body += bigEndian(content.size(), 4) + content;
    }
    response.set_content(body, "application/octet-stream");
}

void StoreStandin::snapshot(const httplib::Request &request, httplib::Response &response)
{
    if (!admit(response)) {
        return;
    }
    const std::lock_guard lock(mutex_);
    const Topic &topic = topics_[request.get_param_value("topic")];
    nlohmann::json items = nlohmann::json::array();
    std::size_t bytes = 0;
    auto next = topic.newest.upper_bound(request.get_param_value("after"));
    for (; next != topic.newest.end() && bytes < MaxPageBytes; ++next) {
        const auto &[key, offset] = *next;
        const std::string value = valueFor(request, topic.records[offset]);
        bytes += key.size() + value.size();
        items.push_back({{"key", key}, {"value", absl::Base64Escape(value)}, {"offset", offset}});
    }
    answerJson(response, {{"items", items},
                          {"has-more", next != topic.newest.end()},
                          {"end", topic.records.size()}});
}

nlohmann::json StoreStandin::take(Topic &topic, const httplib::Request &request)
{
    const std::size_t offset = topic.records.size();
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
        const uint64_t length = readBigEndian(request.body, at, 4);
        const uint64_t keyLength = readBigEndian(request.body, at + 4, 1);
        add(topic, request.body.substr(at + 5, keyLength),
            request.body.substr(at + 5 + keyLength, length - 1 - keyLength));
        at += 4 + length;
    }
    changed_.notify_all();
    return {{"offset", offset}, {"end", topic.records.size()}};
}

void StoreStandin::append(const httplib::Request &request, httplib::Response &response)
{
    if (!admit(response)) {
        return;
    }
    std::unique_lock lock(mutex_);
    const bool late = fault_ == StoreFault::Late;
    if (late) {
        changed_.wait_for(lock, LateBy, [this] { return stopping_; });
    }
    const uint64_t seq = numberParam(request, "seq");
    const std::string writer = request.get_param_value("producer");
    const auto known = writers_.find(writer);
    const bool again = known != writers_.end() && known->second.first == seq;
    if (known != writers_.end() && !again && seq != known->second.first + 1) {
        answerJson(response, {{"reason", "seq"}, {"seq", known->second.first + 1}}, 409);
        return;
    }
    if (!again) {
        Topic &topic = topics_[request.get_param_value("topic")];
        writers_[writer] = {seq, take(topic, request).dump()};
    }
    if (late || fault_ == StoreFault::LoseAnswers) {
        changed_.wait(lock, [this] {
            return (fault_ != StoreFault::LoseAnswers && fault_ != StoreFault::Late) || stopping_;
        });
    }
    response.set_content(writers_[writer].second, "application/json");
}

EndpointStandin::EndpointStandin(const std::string &ip, std::string id, std::string version)
    : id_(std::move(id)), version_(std::move(version)), http_(ip, 0, EndpointWorkers)
{
    const auto handler = [this](const auto &request, auto &response) {
        serve(request, response);
    };
    http_.server().Get(".*", handler);
    http_.server().Post(".*", handler);
    http_.start();
}

std::string EndpointStandin::id() const
{
    const std::lock_guard lock(mutex_);
    return id_;
}

void EndpointStandin::setId(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    id_ = id;
}

void EndpointStandin::crashOn(const std::string &part, std::function<void()> crash)
{
    crashPart_ = part;
    crash_ = std::move(crash);
}

void EndpointStandin::hold(bool held)
{
    const std::lock_guard lock(mutex_);
    held_ = held;
    released_.notify_all();
}

void EndpointStandin::setLimit(std::optional<double> perSecond)
{
    const std::lock_guard lock(mutex_);
    limit_ = perSecond;
}

void EndpointStandin::setLeaving(bool leaving)
{
    const std::lock_guard lock(mutex_);
    leaving_ = leaving;
}

void EndpointStandin::setBackoff(std::optional<std::chrono::milliseconds> backoff)
{
    const std::lock_guard lock(mutex_);
    backoff_ = backoff;
}

bool EndpointStandin::applyNotices(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(std::chrono::steady_clock::now());
    arrivalsById_[request.get_header_value("Request-Id")] = arrivals_.back();
    if (limit_) {
        response.set_header("Server-Limit", fmt::format("{}", *limit_));
    }
    if (leaving_) {
        response.set_header("Server-Leaving", "1");
    }
    if (backoff_) {
        const std::chrono::duration<double> seconds = *backoff_;
        response.set_header("Retry-After", fmt::format("{}", seconds.count()));
    }
    return backoff_.has_value();
}

std::vector<Instant> EndpointStandin::arrivals()
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

std::map<std::string, Instant> EndpointStandin::arrivalsById()
{
    const std::lock_guard lock(mutex_);
    return arrivalsById_;
}

void EndpointStandin::serve(const httplib::Request &request, httplib::Response &response)
{
    const bool rejects = applyNotices(request, response);
    response.set_header("Request-Id", request.get_header_value("Request-Id"));
    const std::string id = this->id();
    if (request.get_header_value("Expect-Instance") != id) {
        response.status = 421;
        return;
    }
    if (rejects) {
        response.status = 503;
        response.set_header("Not-Executed", "1");
        return;
    }
    ++runs_;
    const std::string prompt = request.get_header_value("Prompt-Prefix");
    const bool isCrashing = prompt.find(crashPart_ + ":") != std::string::npos
                            || request.path.find(crashPart_) != std::string::npos;
    if (crash_ && isCrashing) {
        crash_();
        return;
    }
    std::unique_lock lock(mutex_);
    released_.wait(lock, [this] { return !held_; });
    response.set_header("Response-Stamp", id);
    if (request.has_header("X-Events")) {
        const int events = std::stoi(request.get_header_value("X-Events"));
        const bool breaks = request.has_header("X-Break");
        const std::string after = request.get_header_value("Last-Event-Id");
        const int first = after.empty() ? 0 : std::stoi(after) + 1;
        response.set_chunked_content_provider(
                "text/event-stream", [this, first, events, breaks, breaksBefore = breaks_.load()](
                                             std::size_t, httplib::DataSink &sink) {
                    for (int i = first; i < events; ++i) {
                        if (breaks_ != breaksBefore) {
                            return false;
                        }
                        const std::string event =
                                fmt::format("id: {}\ndata: {:50}\n\n", i, version_);
                        sink.write(event.data(), event.size());
                        std::this_thread::sleep_for(EventPause);
                    }
                    if (breaks) {
                        return false;
                    }
                    sink.done();
                    return true;
                });
        return;
    }
    response.set_content(fmt::format("{} ran {}", id, request.path), "text/plain");
}

} // namespace sequoiagate
