#include "Trace.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sequoiagate::soak {

namespace {

using Timeline = std::multimap<Instant, std::string>;

std::string runsText(const Record &record, const std::string &id)
{
    std::string text;
    for (const Run &run : record.runs) {
        if (run.id == id) {
            text += fmt::format(" [{}: {} events{}]", run.endpoint, run.events,
                                run.spoilt ? ", spoilt" : "");
        }
    }
    return text;
}

int64_t millisBetween(Instant from, Instant to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

void addSteps(const Record &record, Timeline &timeline)
{
    for (const PlayedStep &step : record.played) {
        const bool isTest = step.target == PlayedStep::TestItself;
        timeline.emplace(step.at, fmt::format("{} {} {}, done in {} ms",
                                              isTest ? "test" : std::to_string(step.target),
                                              step.what, step.begins ? "begins" : "ends",
                                              millisBetween(step.at, step.doneAt)));
    }
}

void addAttempts(const Record &record, Timeline &timeline)
{
    for (const Attempt &attempt : record.attempts) {
        if (attempt.whole) {
            continue;
        }
        timeline.emplace(attempt.sentAt,
                         fmt::format("{} {} to host {}.{}: {} after {} ms, {} events, {}{}{}",
                                     attempt.id, attempt.route, attempt.sentTo.host,
                                     attempt.sentTo.incarnation, attempt.status,
                                     millisBetween(attempt.sentAt, attempt.endedAt), attempt.events,
                                     attempt.leftByCaller ? "left by its caller " : "",
                                     attempt.error, runsText(record, attempt.id)));
    }
}

std::set<std::string> wordsOf(const std::vector<std::string> &findings)
{
    std::set<std::string> words;
    for (const std::string &finding : findings) {
        std::istringstream text(finding);
        std::string word;
        while (text >> word) {
            words.insert(word);
        }
    }
    return words;
}

} // namespace

std::string timelineOf(const Record &record)
{
    Timeline timeline;
    addSteps(record, timeline);
    addAttempts(record, timeline);
    std::string text;
    for (const auto &[at, what] : timeline) {
        text += fmt::format("{:>6} {}\n", millisBetween(timeline.begin()->first, at), what);
    }
    return text;
}

std::string logLinesOf(const std::vector<std::string> &findings, const std::string &folder)
{
    const std::set<std::string> words = wordsOf(findings);
    std::string lines;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream log(file.path());
        std::string line;
        while (file.path().extension() == ".log" && std::getline(log, line)) {
            const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
            if (parsed.is_object() && words.count(parsed.value("request", "")) > 0) {
                lines += fmt::format("{}: {}\n", file.path().filename().string(), line);
            }
        }
    }
    return lines;
}

} // namespace sequoiagate::soak
