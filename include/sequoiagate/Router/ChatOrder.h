#ifndef SEQUOIAGATE_ROUTER_CHATORDER_H
#define SEQUOIAGATE_ROUTER_CHATORDER_H

/// Reads a chat request's body: what it asks for, and the most it can cost. Pure.

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Router/ChatRun.h"

namespace sequoiagate {

/// Tokens a message may take beside its content: role, separators, and what chat
/// templates add. Templates in use add four to ten.
inline constexpr uint64_t TokensPerMessage = 16;
/// Tokens an image may take whose bytes don't stand in the request. Engines scale
/// an image down to at most some 6,000 tokens.
inline constexpr uint64_t TokensPerImage = 8192;

struct OutputLimits
{
    uint64_t byDefault = 0; ///< for a request that names none
    uint64_t highest = 0;
};

struct ChatBody
{
    ChatOrder order; ///< without workspace, request and weight
    bool stream = false;
};

/// The most tokens that the prompt of \p body can have: a token covers at least a
/// byte of text, so the bytes bound it without the model's own tokenizer.
uint64_t promptBoundOf(const nlohmann::json &body);

/// \throws VerdictError with BadRequest, naming the key at fault.
ChatBody readChatBody(const std::string &text, const OutputLimits &limits);

} // namespace sequoiagate

#endif
