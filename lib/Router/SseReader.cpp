#include "sequoiagate/Router/SseReader.h"

#include <utility>

namespace sequoiagate {

std::vector<std::string> SseReader::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    partial_.append(bytes);
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = partial_.find('\n', start);
        if (end == std::string::npos) {
            break;
        }
        std::string_view line(partial_.data() + start, end - start);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        takeLine(line, events);
        start = end + 1;
    }
    partial_.erase(0, start);
    return events;
}

void SseReader::takeLine(std::string_view line, std::vector<std::string> &events)
{
    constexpr std::string_view Field = "data:";
    if (line.empty()) {
        if (hasData_) {
            events.push_back(std::exchange(data_, {}));
            hasData_ = false;
        }
        return;
    }
    if (line.substr(0, Field.size()) != Field) {
        return;
    }
    line.remove_prefix(Field.size());
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    if (hasData_) {
        data_ += '\n';
    }
    data_ += line;
    hasData_ = true;
}

} // namespace sequoiagate
