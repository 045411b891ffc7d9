#include "sequoiagate/Proxy/EventSplitter.h"

#include <charconv>

namespace sequoiagate {

namespace {

struct EventEnd
{
    std::size_t end = std::string::npos; ///< offset after the blank line
};

/// Lines end with LF or CRLF; a blank line ends the event.
EventEnd findBlankLine(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') {
            return {at + 2};
        }
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
            return {at + 3};
        }
    }
    return {};
}

std::optional<uint64_t> parseEventId(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    std::size_t line = 0;
    while (line < event.size()) {
        std::size_t end = event.find('\n', line);
        end = end == std::string_view::npos ? event.size() : end;
        std::string_view text = event.substr(line, end - line);
        line = end + 1;
        if (text.substr(0, Field.size()) != Field) {
            continue;
        }
        text.remove_prefix(Field.size());
        while (!text.empty() && text.front() == ' ') {
            text.remove_prefix(1);
        }
        uint64_t id = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), id);
        if (parsed.ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    // The blank line may start up to two bytes before the new data.
    const std::size_t from = pending_.size() < 2 ? 0 : pending_.size() - 2;
    pending_.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    for (EventEnd found = findBlankLine(pending_, from); found.end != std::string::npos;
         found = findBlankLine(pending_, begin)) {
        std::string text = pending_.substr(begin, found.end - begin);
        const std::optional<uint64_t> id = parseEventId(text);
        events.push_back({std::move(text), id});
        begin = found.end;
    }
    pending_.erase(0, begin);
    return events;
}

} // namespace sequoiagate
