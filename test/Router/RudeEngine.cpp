#include "test/Router/RudeEngine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sequoiagate {

namespace {

std::string eventOf(const RudeChunk &chunk)
{
    nlohmann::json delta = nlohmann::json::object();
    nlohmann::json reason;
    if (chunk.finishReason != nullptr) {
        reason = chunk.finishReason;
    } else {
        const bool own = std::string_view(chunk.stream) == "s1";
        delta["content"] = fmt::format("{}{} ", own ? 'P' : 'F', chunk.position);
    }
    const nlohmann::json choice = {{"index", 0}, {"delta", delta}, {"finish_reason", reason}};
    const nlohmann::json json = {{"stream_id", chunk.stream},
                                 {"position", chunk.position},
                                 {"choices", nlohmann::json::array({choice})}};
    return fmt::format("data: {}\n\n", json.dump());
}

} // namespace

RudeEngine::RudeEngine()
{
    server_.Post("/v1/chat/completions", [this](const auto &, auto &response) {
        absl::MutexLock lock(&mutex_);
        std::string text;
        for (const RudeChunk &chunk : first_) {
            text += eventOf(chunk);
        }
        response.set_header("X-Stream-Id", "s1");
        response.set_content(text, "text/event-stream");
    });
    server_.Get("/v1/streams/s1", [this](const auto &request, auto &response) {
        absl::MutexLock lock(&mutex_);
        const uint64_t from = std::stoull(request.get_param_value("from"));
        std::string text;
        for (const RudeChunk &chunk : later_) {
            text += chunk.position >= from ? eventOf(chunk) : "";
        }
        response.set_content(text, "text/event-stream");
    });
    server_.Delete("/v1/streams/s1", [this](const auto &, auto &response) {
        absl::MutexLock lock(&mutex_);
        cancelled_ = true;
        const nlohmann::json status = {{"stream_id", "s1"},
                                       {"generated", 3},
                                       {"finished", true},
                                       {"cancelled", true},
                                       {"prompt_tokens", 1}};
        response.set_content(status.dump(), "application/json");
    });
    address_ = fmt::format("127.0.0.1:{}", server_.bind_to_any_port("127.0.0.1"));
    thread_ = std::thread([this] { server_.listen_after_bind(); });
}

RudeEngine::~RudeEngine()
{
    server_.stop();
    thread_.join();
}

void RudeEngine::script(std::vector<RudeChunk> first, std::vector<RudeChunk> later)
{
    absl::MutexLock lock(&mutex_);
    first_ = std::move(first);
    later_ = std::move(later);
}

bool RudeEngine::cancelled() const
{
    absl::MutexLock lock(&mutex_);
    return cancelled_;
}

} // namespace sequoiagate
