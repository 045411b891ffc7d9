#include "sequoiagate/Load/SseReader.h"

#include <nlohmann/json.hpp>

namespace sequoiagate {

namespace {

bool hasContent(const nlohmann::json &chunk)
{
    const auto choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array() || choices->empty()) {
        return false;
    }
    const nlohmann::json delta = choices->front().value("delta", nlohmann::json::object());
    return !delta.value("content", std::string()).empty();
}

} // namespace

void SseReader::feed(std::string_view bytes, Instant now)
{
    rest_.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = rest_.find('\n'); end != std::string::npos;
         end = rest_.find('\n', begin)) {
        std::string_view line(rest_.data() + begin, end - begin);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        takeLine(line, now);
        begin = end + 1;
    }
    rest_.erase(0, begin);
}

void SseReader::takeLine(std::string_view line, Instant now)
{
    constexpr std::string_view Data = "data: ";
    constexpr std::string_view ErrorEvent = "event: error";
    if (line.empty()) {
        errorEvent_ = false;
    } else if (line == ErrorEvent) {
        errorEvent_ = true;
    } else if (line.substr(0, Data.size()) == Data) {
        takeData(line.substr(Data.size()), now);
    }
}

void SseReader::takeData(std::string_view data, Instant now)
{
    if (data == "[DONE]") {
        whole_ = true;
        return;
    }
    const nlohmann::json chunk = nlohmann::json::parse(data, nullptr, false);
    if (!chunk.is_object()) {
        errorCode_ = "malformed";
        return;
    }
    if (errorEvent_ || chunk.contains("error")) {
        errorCode_ = chunk.value("error", nlohmann::json::object()).value("code", "unknown");
        return;
    }
    if (!hasContent(chunk)) {
        return;
    }
    ++tokens_;
    if (!firstTokenAt_.has_value()) {
        firstTokenAt_ = now;
    }
}

} // namespace sequoiagate
