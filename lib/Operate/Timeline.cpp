#include "sequoiagate/Operate/Timeline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <set>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Options.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

namespace {

using Json = nlohmann::json;

/// Fields that name a part of a request's life in events without its id.
constexpr std::array LinkFields = {"attempt", "reservation", "stream_id", "key"};

/// Fields that each line has; the text shows them in its columns.
constexpr std::array ColumnFields = {"hlc", "host", "domain", "incarnation", "program", "event"};

bool isColumn(const std::string &key)
{
    return std::find(ColumnFields.begin(), ColumnFields.end(), key) != ColumnFields.end();
}

/// A field as text; empty where it is missing or not a text.
std::string fieldText(const HistoryEvent &event, const char *key)
{
    const auto found = event.fields.find(key);
    const bool isText = found != event.fields.end() && found->is_string();
    return isText ? found->get<std::string>() : std::string();
}

/// What links further events to the request asked for: "attempt=..." and so on.
std::set<std::string> linksOf(const std::vector<HistoryEvent> &events, const TimelineFilter &filter)
{
    std::set<std::string> links;
    for (const HistoryEvent &event : events) {
        const bool isOf =
                fieldText(event, "request") == filter.request
                && (filter.workspace.empty() || fieldText(event, "workspace") == filter.workspace);
        if (!isOf) {
            continue;
        }
        for (const char *field : LinkFields) {
            const std::string value = fieldText(event, field);
            if (!value.empty()) {
                links.insert(fmt::format("{}={}", field, value));
            }
        }
    }
    return links;
}

bool isLinked(const HistoryEvent &event, const std::set<std::string> &links)
{
    return std::any_of(LinkFields.begin(), LinkFields.end(), [&](const char *field) {
        return links.count(fmt::format("{}={}", field, fieldText(event, field))) > 0;
    });
}

bool passes(const HistoryEvent &event, const TimelineFilter &filter,
            const std::set<std::string> &links)
{
    const std::string request = fieldText(event, "request");
    const bool ofRequest = filter.request.empty() || request == filter.request
                           || (request.empty() && isLinked(event, links));
    const std::string workspace = fieldText(event, "workspace");
    // An event that is only linked to the request may not name its workspace.
    const bool ofWorkspace =
            filter.workspace.empty() || workspace == filter.workspace
            || (!filter.request.empty() && workspace.empty() && isLinked(event, links));
    const bool ofHost = filter.host.empty() || event.host.text() == filter.host;
    return ofRequest && ofWorkspace && ofHost;
}

std::string clockText(const HistoryEvent &event)
{
    constexpr int64_t MicrosPerSecond = 1'000'000;
    const int64_t micros =
            std::chrono::duration_cast<std::chrono::microseconds>(event.wall().time_since_epoch())
                    .count();
    const auto whole = std::chrono::time_point_cast<std::chrono::seconds>(event.wall());
    return fmt::format("{:%H:%M:%S}.{:06}", fmt::gmtime(whole), micros % MicrosPerSecond);
}

/// Microseconds since \p first. The stamp's counter becomes a fraction, so that
/// events within one microsecond keep their order in a viewer.
double traceTime(const HistoryEvent &event, WallTime first)
{
    constexpr std::size_t WallDigits = 17;
    constexpr double CounterScale = 1e-6;
    uint32_t counter = 0;
    if (event.stamp.size() > WallDigits) {
        const char *const begin = event.stamp.data() + WallDigits + 1;
        std::from_chars(begin, event.stamp.data() + event.stamp.size(), counter);
    }
    const std::chrono::duration<double, std::micro> since = event.wall() - first;
    return since.count() + counter * CounterScale;
}

/// Gives each process of the run a number, and its name in the trace.
class TraceProcesses
{
public:
    explicit TraceProcesses(Json &trace) : trace_(trace) {}

    int numberOf(const HistoryEvent &event)
    {
        const std::string name = fmt::format("{} {} {}", event.host.text(), event.program,
                                             event.incarnation.text().substr(0, ShortName));
        const auto known = std::find(names_.begin(), names_.end(), name);
        const auto number = static_cast<int>(known - names_.begin()) + 1;
        if (known == names_.end()) {
            names_.push_back(name);
            trace_.push_back({{"ph", "M"},
                              {"name", "process_name"},
                              {"pid", number},
                              {"args", {{"name", name}}}});
        }
        return number;
    }

private:
    static constexpr std::size_t ShortName = 8;

    Json &trace_;
    std::vector<std::string> names_;
};

/// "b" for an event that begins a request's span, "e" for one that ends it.
const char *spanMark(const HistoryEvent &event)
{
    if (event.name == events::RequestReceived) {
        return "b";
    }
    const bool ends = event.name == events::RequestAnswered || event.name == events::RequestRefused;
    return ends ? "e" : nullptr;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("sequoia-timeline",
                             "merges the logs of all processes into one time line");
    options.positional_help("LOG...");
    addCommonOptions(options);
    cxxopts::OptionAdder add = options.add_options();
    add("request", "only what belongs to this request", cxxopts::value<std::string>(), "ID");
    add("workspace", "only events of this workspace", cxxopts::value<std::string>(), "NAME");
    add("host", "only events of this host", cxxopts::value<std::string>(), "NAME");
    add("trace", "write a trace file for a browser's trace viewer instead of text",
        cxxopts::value<std::string>(), "FILE");
    add("logs", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("logs");
    return options;
}

std::string optionText(const cxxopts::ParseResult &parsed, const char *name)
{
    return parsed.count(name) > 0 ? parsed[name].as<std::string>() : std::string();
}

int fail(ExitCode exitCode, const std::string &message)
{
    fmt::print(stderr, "sequoia-timeline: {}\n", message);
    return exitCode;
}

int writeTrace(const std::string &path, const std::vector<HistoryEvent> &events)
{
    std::ofstream file(path);
    file << timelineTrace(events).dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
    file.flush();
    if (!file) {
        return fail(ExitBadInput, fmt::format("'{}' can't be written", path));
    }
    fmt::print("{} events written to {}\n", events.size(), path);
    return ExitOk;
}

int showTimeline(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("settings") > 0 || parsed.count("check-settings") > 0) {
        settingsFromOptions(parsed, "sequoia-timeline");
    }
    if (parsed.count("check-settings") > 0) {
        fmt::print("settings are good\n");
        return ExitOk;
    }
    if (parsed.count("logs") == 0) {
        return fail(ExitBadInput, "log files are missing; --help shows the usage");
    }
    std::vector<HistoryEvent> all;
    try {
        all = readEvents(parsed["logs"].as<std::vector<std::string>>());
    } catch (const std::runtime_error &error) {
        return fail(ExitBadInput, error.what());
    }
    const TimelineFilter filter{optionText(parsed, "request"), optionText(parsed, "workspace"),
                                optionText(parsed, "host")};
    const std::vector<HistoryEvent> shown = filterEvents(all, filter);
    const std::string trace = optionText(parsed, "trace");
    if (!trace.empty()) {
        return writeTrace(trace, shown);
    }
    fmt::print("{}", timelineText(shown));
    return ExitOk;
}

} // namespace

std::vector<HistoryEvent> filterEvents(const std::vector<HistoryEvent> &events,
                                       const TimelineFilter &filter)
{
    const std::set<std::string> links =
            filter.request.empty() ? std::set<std::string>() : linksOf(events, filter);
    std::vector<HistoryEvent> passed;
    for (const HistoryEvent &event : events) {
        if (passes(event, filter, links)) {
            passed.push_back(event);
        }
    }
    return passed;
}

std::string timelineText(const std::vector<HistoryEvent> &events)
{
    std::string text;
    for (const HistoryEvent &event : events) {
        text += fmt::format("{} {:<12} {:<16} {}", clockText(event), event.host.text(),
                            event.program, event.name);
        for (const auto &[key, value] : event.fields.items()) {
            if (!isColumn(key)) {
                const std::string shown =
                        value.is_string()
                                ? value.get<std::string>()
                                : value.dump(-1, ' ', false, Json::error_handler_t::replace);
                text += fmt::format(" {}={}", key, shown);
            }
        }
        text += "\n";
    }
    return text;
}

nlohmann::json timelineTrace(const std::vector<HistoryEvent> &events)
{
    Json trace = Json::array();
    TraceProcesses processes(trace);
    for (const HistoryEvent &event : events) {
        const int process = processes.numberOf(event);
        const double time = traceTime(event, events.front().wall());
        trace.push_back({{"ph", "i"},
                         {"s", "p"},
                         {"name", event.name},
                         {"ts", time},
                         {"pid", process},
                         {"tid", 1},
                         {"args", event.fields}});
        if (const char *const mark = spanMark(event)) {
            const std::string request = fieldText(event, "request");
            trace.push_back({{"ph", mark},
                             {"cat", "request"},
                             {"name", "request " + request},
                             {"id", fieldText(event, "workspace") + "/" + request},
                             {"ts", time},
                             {"pid", process},
                             {"tid", 1}});
        }
    }
    return {{"traceEvents", trace}, {"displayTimeUnit", "ms"}};
}

int runTimeline(int argc, char **argv)
{
    try {
        cxxopts::Options options = makeOptions();
        const std::optional<cxxopts::ParseResult> parsed = parseOptions(options, argc, argv);
        return parsed ? showTimeline(*parsed) : static_cast<int>(ExitOk);
    } catch (const cxxopts::exceptions::exception &error) {
        return fail(ExitBadInput, error.what());
    } catch (const SettingsError &error) {
        return fail(ExitBadInput, error.what());
    } catch (const std::exception &error) {
        return fail(ExitFailure, error.what());
    }
}

} // namespace sequoiagate
