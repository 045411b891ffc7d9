#include "sequoiagate/Load/LoadRunner.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <regex>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Load/SseReader.h"

namespace sequoiagate {

namespace {

Instant clockNow()
{
    return std::chrono::steady_clock::now();
}

/// The prompt: a prefix shared with the others of its number, then words of its own, and
/// last the length that an engine stand-in is to answer with.
std::string promptOf(const PlannedRequest &planned, std::size_t number)
{
    constexpr uint32_t OwnPart = 5; // a fifth of the words
    std::string prompt;
    const uint32_t own = std::max(planned.promptWords / OwnPart, 1U);
    for (uint32_t i = 0; i + own < planned.promptWords; ++i) {
        prompt += fmt::format("p{} ", planned.prefix);
    }
    for (uint32_t i = 0; i < own; ++i) {
        prompt += fmt::format("r{} ", number);
    }
    prompt += fmt::format("tokens={}", planned.maxTokens);
    return prompt;
}

std::string bodyOf(const PlannedRequest &planned, const LoadTarget &target, std::size_t number)
{
    const nlohmann::json body = {
            {"model", target.model},
            {"stream", true},
            {"max_tokens", planned.maxTokens},
            {"messages", {{{"role", "user"}, {"content", promptOf(planned, number)}}}},
    };
    return body.dump();
}

/// Takes a refusal's code from its JSON body.
std::string codeOf(const std::string &body)
{
    const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object()) {
        return "unknown";
    }
    return parsed["error"].value("code", "unknown");
}

void call(httplib::Client &client, const LoadTarget &target, std::size_t number, CallRecord &record)
{
    SseReader reader;
    std::string plainBody;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    const LoadCaller &caller = target.callers[record.planned.workspace % target.callers.size()];
    request.headers = {{"Authorization", "Bearer " + caller.key},
                       {"Content-Type", "application/json"}};
    request.body = bodyOf(record.planned, target, number);
    request.response_handler = [&](const httplib::Response &response) {
        record.status = response.status;
        record.toldWhen = response.has_header("Retry-After");
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, uint64_t, uint64_t) {
        if (record.status == 200) {
            reader.feed(std::string_view(data, size), clockNow());
        } else {
            plainBody.append(data, size);
        }
        return true;
    };
    record.sent = true;
    record.sentAt = clockNow();
    const httplib::Result result = client.send(request);
    record.endedAt = clockNow();
    record.firstTokenAt = reader.firstTokenAt();
    record.tokens = reader.tokens();
    record.whole = reader.whole();
    record.code = reader.errorCode();
    if (record.status != 200 && record.status != 0) {
        record.code = codeOf(plainBody);
    } else if (record.code.empty() && !record.whole) {
        record.code = result ? "cut" : "no_answer";
    }
}

/// Threads that each keep a connection and take requests from one queue.
class CallerPool
{
public:
    CallerPool(const LoadTarget &target, std::vector<CallRecord> &records)
        : target_(target), records_(records)
    {}

    /// Hands a request to an idle thread. \returns false if all are busy and no more are
    /// allowed.
    bool dispatch(std::size_t index)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (queue_.size() >= idle_) {
            if (threads_.size() >= target_.connections) {
                return false;
            }
            threads_.emplace_back([this] { work(); });
        }
        queue_.push_back(index);
        wake_.notify_one();
        return true;
    }

    void finish()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            closed_ = true;
        }
        wake_.notify_all();
        for (std::thread &thread : threads_) {
            thread.join();
        }
    }

private:
    void work()
    {
        httplib::Client client(target_.url);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(target_.timeout);
        client.set_read_timeout(target_.timeout);
        while (const std::optional<std::size_t> index = next()) {
            call(client, target_, *index, records_[*index]);
        }
    }

    std::optional<std::size_t> next()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        ++idle_;
        wake_.wait(lock, [this] { return closed_ || !queue_.empty(); });
        --idle_;
        if (queue_.empty()) {
            return std::nullopt;
        }
        const std::size_t index = queue_.front();
        queue_.erase(queue_.begin());
        return index;
    }

    const LoadTarget &target_;
    std::vector<CallRecord> &records_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<std::size_t> queue_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool closed_ = false;
};

} // namespace

void requireLoopback(const std::string &url)
{
    static const std::regex Loopback(
            R"(http://(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|localhost|\[::1\]):\d{1,5}/?)");
    if (!std::regex_match(url, Loopback)) {
        throw LoadError(fmt::format(
                "'{}' isn't on loopback; allowed is http://127.x.x.x:PORT, and the loads are made "
                "to overrun what they meet",
                url));
    }
}

std::vector<CallRecord> playLoad(const std::vector<PlannedRequest> &plan, const LoadTarget &target)
{
    std::vector<CallRecord> records(plan.size());
    CallerPool pool(target, records);
    for (std::size_t i = 0; i < plan.size(); ++i) {
        records[i].planned = plan[i];
        std::this_thread::sleep_until(plan[i].at);
        if (!pool.dispatch(i)) {
            records[i].code = "no_connection_left";
        }
    }
    pool.finish();
    return records;
}

SlowEndpoint::SlowEndpoint(std::string url, double factor) : url_(std::move(url))
{
    requireLoopback(url_);
    if (!order(factor)) {
        throw LoadError(fmt::format("the engine at '{}' took no order to be slow", url_));
    }
}

SlowEndpoint::~SlowEndpoint()
{
    if (!order(1.0)) {
        fmt::print(stderr, "sequoia-load: the engine at '{}' may still be slow\n", url_);
    }
}

bool SlowEndpoint::order(double factor) const
{
    httplib::Client client(url_);
    const std::string body = nlohmann::json{{"slow_factor", factor}}.dump();
    const httplib::Result result = client.Post("/admin/faults", body, "application/json");
    return result && result->status == 200;
}

} // namespace sequoiagate
