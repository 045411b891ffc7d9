#include "sequoiagate/History/History.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <stdexcept>

namespace sequoiagate {

namespace {

std::optional<HistoryEvent> parseLine(const std::string &text)
{
    nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
    const bool isEvent = line.is_object() && line.contains("event") && line.contains("hlc")
                         && line["event"].is_string() && line["hlc"].is_string();
    if (!isEvent) {
        return std::nullopt;
    }
    HistoryEvent event;
    event.stamp = line["hlc"].get<std::string>();
    event.name = line["event"].get<std::string>();
    event.host = HostId(line.value("host", std::string()));
    event.incarnation = Incarnation(line.value("incarnation", std::string()));
    event.program = line.value("program", std::string());
    event.fields = std::move(line);
    return event;
}

} // namespace

WallTime HistoryEvent::wall() const
{
    int64_t micros = 0;
    std::from_chars(stamp.data(), stamp.data() + stamp.size(), micros);
    return WallTime(std::chrono::microseconds(micros));
}

std::vector<HistoryEvent> readEvents(const std::vector<std::string> &paths)
{
    std::vector<HistoryEvent> events;
    for (const std::string &path : paths) {
        std::ifstream file(path);
        if (!file) {
            throw std::runtime_error("can't open " + path);
        }
        std::string text;
        while (std::getline(file, text)) {
            if (std::optional<HistoryEvent> event = parseLine(text)) {
                events.push_back(std::move(*event));
            }
        }
    }
    const auto earlier = [](const HistoryEvent &first, const HistoryEvent &second) {
        return first.stamp < second.stamp;
    };
    std::stable_sort(events.begin(), events.end(), earlier);
    return events;
}

std::string describe(const std::vector<Violation> &violations)
{
    std::string text;
    for (const Violation &violation : violations) {
        text += violation.property + ": " + violation.what + "\n";
    }
    return text;
}

} // namespace sequoiagate
