/// Plays the loads of bench-Decisions against a running system on loopback, and writes
/// what callers got.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Load/LoadReport.h"
#include "sequoiagate/Service/Program.h"

using namespace sequoiagate;

namespace {

constexpr double SlowFactor = 10.0;
constexpr uint32_t MostSeconds = 600;
constexpr uint32_t MostConnections = 1024;
constexpr uint32_t MostRequests = 100'000;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("sequoia-load",
                             "plays loads against a running system on loopback, and reports");
    options.add_options()("h,help", "print this help and exit");
    options.add_options()("version", "print the version and exit");
    options.add_options()("target", "URL of a router, on loopback", cxxopts::value<std::string>());
    options.add_options()("keys", "JSON file: {\"workspace\": \"key\", ...}, the busiest first",
                          cxxopts::value<std::string>());
    options.add_options()("model", "the model asked for", cxxopts::value<std::string>());
    options.add_options()("load",
                          "loads, by commas; all when left out (slow-endpoint needs "
                          "--slow-engine)",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("slow-engine", "URL of the engine stand-in to make ten times slower",
                          cxxopts::value<std::string>());
    options.add_options()("capacity", "requests a second that the fleet serves",
                          cxxopts::value<double>()->default_value("5"));
    options.add_options()("seconds", "length of each load, 1 to 600",
                          cxxopts::value<uint32_t>()->default_value("30"));
    options.add_options()("max-requests", "requests of each load, up to 100000",
                          cxxopts::value<uint32_t>()->default_value("2000"));
    options.add_options()("connections", "streams open at once, up to 1024",
                          cxxopts::value<uint32_t>()->default_value("256"));
    options.add_options()("prompt-words", "length of a short prompt",
                          cxxopts::value<uint32_t>()->default_value("50"));
    options.add_options()("output-tokens", "mean length of an answer",
                          cxxopts::value<uint32_t>()->default_value("20"));
    options.add_options()("seed", "of the draw", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()("out", "folder for load.json, load.md and load.svg",
                          cxxopts::value<std::string>()->default_value("."));
    return options;
}

void requireRange(const std::string &name, uint32_t value, uint32_t most)
{
    if (value < 1 || value > most) {
        throw LoadError(fmt::format("--{} is {}; allowed is 1 to {}", name, value, most));
    }
}

std::vector<LoadCaller> readCallers(const std::string &path)
{
    std::ifstream file(path);
    const nlohmann::ordered_json keys = nlohmann::ordered_json::parse(file, nullptr, false);
    if (!keys.is_object() || keys.empty()) {
        throw LoadError(fmt::format("'{}' isn't a JSON object of workspaces and keys", path));
    }
    std::vector<LoadCaller> callers;
    for (const auto &[workspace, key] : keys.items()) {
        if (!key.is_string()) {
            throw LoadError(fmt::format("the key of '{}' in '{}' isn't a string", workspace, path));
        }
        callers.push_back({workspace, key.get<std::string>()});
    }
    return callers;
}

LoadTarget targetFrom(const cxxopts::ParseResult &parsed)
{
    LoadTarget target;
    target.url = parsed["target"].as<std::string>();
    requireLoopback(target.url);
    target.model = parsed["model"].as<std::string>();
    target.callers = readCallers(parsed["keys"].as<std::string>());
    target.connections = parsed["connections"].as<uint32_t>();
    requireRange("connections", target.connections, MostConnections);
    return target;
}

LoadOptions loadOptionsFrom(const cxxopts::ParseResult &parsed, const LoadTarget &target)
{
    LoadOptions options;
    options.capacity = parsed["capacity"].as<double>();
    if (!(options.capacity > 0.0)) {
        throw LoadError("--capacity must be above 0");
    }
    options.seconds = parsed["seconds"].as<uint32_t>();
    requireRange("seconds", options.seconds, MostSeconds);
    options.mostRequests = parsed["max-requests"].as<uint32_t>();
    requireRange("max-requests", options.mostRequests, MostRequests);
    options.promptWords = parsed["prompt-words"].as<uint32_t>();
    options.outputTokens = parsed["output-tokens"].as<uint32_t>();
    options.workspaces = target.callers.size();
    options.seed = parsed["seed"].as<uint64_t>();
    return options;
}

std::vector<std::string> loadsFrom(const cxxopts::ParseResult &parsed)
{
    const bool canSlow = parsed.count("slow-engine") > 0;
    if (parsed.count("load") == 0) {
        std::vector<std::string> loads = loadNames();
        std::erase_if(loads,
                      [&](const std::string &l) { return !canSlow && needsSlowEndpoint(l); });
        return loads;
    }
    const auto loads = parsed["load"].as<std::vector<std::string>>();
    for (const std::string &load : loads) {
        if (needsSlowEndpoint(load) && !canSlow) {
            throw LoadError(fmt::format("load '{}' needs --slow-engine", load));
        }
    }
    return loads;
}

LoadSummary play(const std::string &load, const LoadOptions &options, const LoadTarget &target,
                 const cxxopts::ParseResult &parsed)
{
    std::optional<SlowEndpoint> slow;
    if (needsSlowEndpoint(load)) {
        slow.emplace(parsed["slow-engine"].as<std::string>(), SlowFactor);
    }
    fmt::print(stderr, "playing {} for {} s\n", load, options.seconds);
    const Instant start = std::chrono::steady_clock::now() + Millis(100);
    return summarise(load, playLoad(planLoad(load, options, start), target));
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        throw LoadError(fmt::format("'{}' can't be written", path.string()));
    }
}

int run(const cxxopts::ParseResult &parsed, const std::string &command)
{
    const LoadTarget target = targetFrom(parsed);
    const LoadOptions options = loadOptionsFrom(parsed, target);
    const std::vector<std::string> loads = loadsFrom(parsed);
    for (const std::string &load : loads) {
        planLoad(load, options, Instant()); // refuses before anything is sent
    }
    std::vector<LoadSummary> summaries;
    for (const std::string &load : loads) {
        summaries.push_back(play(load, options, target, parsed));
    }
    const std::filesystem::path out = parsed["out"].as<std::string>();
    std::filesystem::create_directories(out);
    writeFile(out / "load.json", reportJson(summaries, command).dump(2) + "\n");
    writeFile(out / "load.md", reportMarkdown(summaries, command));
    writeFile(out / "load.svg", reportSvg(summaries, command));
    fmt::print("{}", reportMarkdown(summaries, command));
    const bool answered = std::any_of(summaries.begin(), summaries.end(),
                                      [](const LoadSummary &summary) { return summary.whole > 0; });
    return answered ? ExitOk : ExitUnavailable;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string command = fmt::format("{}", fmt::join(argv, argv + argc, " "));
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}", options.help());
            return ExitOk;
        }
        if (parsed.count("version") > 0) {
            fmt::print("sequoia-load {}\n", SEQUOIAGATE_VERSION);
            return ExitOk;
        }
        for (const char *needed : {"target", "keys", "model"}) {
            if (parsed.count(needed) == 0) {
                throw LoadError(fmt::format("--{} is missing", needed));
            }
        }
        return run(parsed, command);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "sequoia-load: {}\n", error.what());
        return ExitBadInput;
    } catch (const LoadError &error) {
        fmt::print(stderr, "sequoia-load: {}\n", error.what());
        return ExitBadInput;
    } catch (const std::exception &error) {
        fmt::print(stderr, "sequoia-load: {}\n", error.what());
        return ExitFailure;
    }
}
