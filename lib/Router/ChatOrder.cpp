#include "sequoiagate/Router/ChatOrder.h"

#include <algorithm>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Config/Sha256.h"
#include "sequoiagate/Router/RouterView.h"

namespace sequoiagate {

namespace {

/// How much of the prompt names its prefix for the choice of endpoint. Engines
/// cache by blocks of some 16 tokens, about 64 bytes; four of them tell system
/// prompts apart.
constexpr std::size_t PrefixBytes = 256;

[[noreturn]] void refuse(std::string detail)
{
    throw VerdictError(
            Verdict{Execution::NotRun, Reason::BadRequest, std::move(detail), std::nullopt});
}

uint64_t contentBound(const nlohmann::json &content)
{
    if (content.is_string()) {
        return content.get_ref<const std::string &>().size();
    }
    if (content.is_null()) {
        return 0;
    }
    uint64_t bound = content.dump().size();
    if (content.is_array()) {
        const auto images = std::count_if(content.begin(), content.end(), [](const auto &part) {
            return part.is_object() && part.contains("image_url");
        });
        bound += static_cast<uint64_t>(images) * TokensPerImage;
    }
    return bound;
}

uint64_t messageBound(const nlohmann::json &message)
{
    uint64_t bound = TokensPerMessage;
    for (const auto &[key, value] : message.items()) {
        bound += key == "content" ? contentBound(value) : value.dump().size();
    }
    return bound;
}

uint64_t ceilingOf(const nlohmann::json &body, const OutputLimits &limits)
{
    uint64_t ceiling = std::min(limits.byDefault, limits.highest);
    for (const char *key : {"max_tokens", "max_completion_tokens"}) {
        const auto found = body.find(key);
        if (found == body.end() || found->is_null()) {
            continue;
        }
        if (!found->is_number_unsigned() || found->get<uint64_t>() == 0) {
            refuse(fmt::format("'{}' must be a whole number above 0", key));
        }
        ceiling = std::min(found->get<uint64_t>(), limits.highest);
    }
    return ceiling;
}

void checkBody(const nlohmann::json &body)
{
    if (!body.is_object()) {
        refuse("the body must be a JSON object");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string() || model->get<std::string>().empty()) {
        refuse("'model' must be a string");
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        refuse("'messages' must be a list with at least one message");
    }
    for (const nlohmann::json &message : *messages) {
        if (!message.is_object()) {
            refuse("each of 'messages' must be an object");
        }
    }
    // More choices would multiply the output past the reservation.
    const auto choices = body.find("n");
    if (choices != body.end() && *choices != 1) {
        refuse("'n' must be 1");
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean()) {
        refuse("'stream' must be true or false");
    }
}

} // namespace

uint64_t promptBoundOf(const nlohmann::json &body)
{
    uint64_t bound = 0;
    for (const nlohmann::json &message : body.at("messages")) {
        bound += messageBound(message);
    }
    // Tool descriptions and answer schemas become part of the prompt.
    for (const char *key : {"tools", "functions", "response_format"}) {
        if (body.contains(key)) {
            bound += body.at(key).dump().size();
        }
    }
    return bound;
}

ChatBody readChatBody(const std::string &text, const OutputLimits &limits)
{
    nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    checkBody(body);
    ChatBody result;
    result.stream = body.value("stream", false);
    result.order.model = ServiceId(body.at("model").get<std::string>());
    result.order.bodyHash = sha256Hex(text);
    result.order.promptBound = promptBoundOf(body);
    result.order.outputCeiling = ceilingOf(body, limits);
    const std::string prompt = body.at("messages").dump();
    result.order.prefixHash = stableHash(prompt.substr(0, PrefixBytes));
    body["stream"] = true;
    body["max_tokens"] = result.order.outputCeiling;
    body.erase("max_completion_tokens");
    body.erase("stream_options");
    result.order.engineBody = body.dump();
    return result;
}

} // namespace sequoiagate
