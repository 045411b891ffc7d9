#include "sequoiagate/Router/ChunkSequencer.h"

#include <nlohmann/json.hpp>

namespace sequoiagate {

namespace {

void readChoice(const nlohmann::json &choice, EngineChunk &chunk)
{
    const auto delta = choice.find("delta");
    if (delta != choice.end() && delta->is_object()) {
        const auto content = delta->find("content");
        if (content != delta->end() && content->is_string()) {
            chunk.content = content->get<std::string>();
        }
    }
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string()) {
        chunk.finishReason = reason->get<std::string>();
    }
}

} // namespace

std::optional<EngineChunk> parseEngineChunk(const std::string &data)
{
    const nlohmann::json json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    EngineChunk chunk;
    try {
        chunk.streamId = json.at("stream_id").get<std::string>();
        chunk.position = json.at("position").get<uint64_t>();
        const nlohmann::json &choices = json.at("choices");
        if (!choices.empty()) {
            readChoice(choices.at(0), chunk);
        }
        const auto usage = json.find("usage");
        if (usage != json.end() && usage->is_object()) {
            chunk.promptTokens = usage->at("prompt_tokens").get<uint64_t>();
            chunk.completionTokens = usage->at("completion_tokens").get<uint64_t>();
        }
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    chunk.json = data;
    return chunk;
}

ChunkFate ChunkSequencer::accept(EngineChunk chunk, std::vector<EngineChunk> &ready)
{
    if (streamId_.empty()) {
        streamId_ = chunk.streamId;
    }
    // A connection can carry what a proxy or engine kept of an earlier attempt:
    // its chunks would stand in this caller's answer.
    if (chunk.streamId != streamId_) {
        return ChunkFate::Foreign;
    }
    if (ended_ || chunk.position < next_) {
        return ChunkFate::Doubled;
    }
    if (chunk.position > next_) {
        if (held_.size() >= MaximumHeld) {
            return ChunkFate::Overflow;
        }
        held_.emplace(chunk.position, std::move(chunk));
        return ChunkFate::Held;
    }
    for (;;) {
        ended_ = chunk.ends();
        ++next_;
        ready.push_back(std::move(chunk));
        const auto following = held_.find(next_);
        if (ended_ || following == held_.end()) {
            return ChunkFate::Delivered;
        }
        chunk = std::move(following->second);
        held_.erase(following);
    }
}

} // namespace sequoiagate
