#include "sequoiagate/Operate/Ctl.h"

#include <cstdlib>
#include <memory>
#include <optional>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "sequoiagate/Operate/Commands.h"
#include "sequoiagate/Platform/HttpLogService.h"
#include "sequoiagate/Service/Options.h"
#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

namespace {

constexpr const char *Program = "sequoiactl";

/// Where to find the fleet: the settings file, overruled by options.
struct Targets
{
    std::string log;
    std::vector<std::string> keepers;
    std::string author;
    uint32_t ledgerShards = 1;
    nlohmann::json settings = nlohmann::json::object();
};

cxxopts::Options makeOptions()
{
    std::string commandsHelp = "Commands:\n";
    for (const Command &command : commands()) {
        const std::string words = fmt::format("{} {}", command.name, command.usage);
        commandsHelp += fmt::format("  {:<36} {}\n", words, command.help);
    }
    cxxopts::Options options(Program, "operates a sequoiagate fleet\n\n" + commandsHelp);
    options.positional_help("COMMAND [WORD...]");
    addCommonOptions(options);
    cxxopts::OptionAdder add = options.add_options();
    add("log", "IP:port of the log service", cxxopts::value<std::string>(), "ADDRESS");
    add("keepers", "keepers to ask", cxxopts::value<std::vector<std::string>>(), "A,B");
    add("json", "print JSON");
    add("author", "name that the history shows", cxxopts::value<std::string>(), "NAME");
    add("note", "a remark that the history shows", cxxopts::value<std::string>(), "TEXT");
    add("wait", "wait until the change is in force on every live host");
    add("wait-limit", "how long --wait waits", cxxopts::value<uint32_t>(), "SECONDS");
    add("timeout", "how long the log service is tried", cxxopts::value<uint32_t>(), "SECONDS");
    add("ledger-shards", "number of ledger streams", cxxopts::value<uint32_t>(), "N");
    add("workspace", "claims: of this workspace only", cxxopts::value<std::string>(), "NAME");
    add("address", "endpoint add: IP:port", cxxopts::value<std::string>(), "ADDRESS");
    add("domain", "endpoint add: its failure domain", cxxopts::value<std::string>(), "NAME");
    add("kind", "endpoint add: engine or service", cxxopts::value<std::string>(), "KIND");
    add("services", "endpoint add: models or services it offers",
        cxxopts::value<std::vector<std::string>>(), "A,B");
    add("slots", "endpoint add: requests it batches at once", cxxopts::value<uint32_t>(), "N");
    add("checks-fencing", "endpoint add: it refuses orders with an old fencing number");
    add("spent-at-most", "grant attest: upper bound of what its holder spent",
        cxxopts::value<uint64_t>(), "TOKENS");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    return options;
}

template <typename Value>
void take(const cxxopts::ParseResult &parsed, const char *name, Value &value)
{
    if (parsed.count(name) > 0) {
        value = parsed[name].as<Value>();
    }
}

Targets targetsFrom(const cxxopts::ParseResult &parsed)
{
    Targets targets;
    const char *const user = std::getenv("USER");
    targets.author = user != nullptr ? user : "operator";
    if (parsed.count("settings") > 0) {
        targets.settings = settingsFromOptions(parsed, Program);
        targets.log = targets.settings.at("log_service").get<std::string>();
        targets.keepers = targets.settings.at("keepers").get<std::vector<std::string>>();
        targets.ledgerShards = targets.settings.at("ledger_shards").get<uint32_t>();
        if (!targets.settings.at("author").get<std::string>().empty()) {
            targets.author = targets.settings.at("author").get<std::string>();
        }
    }
    take(parsed, "log", targets.log);
    take(parsed, "keepers", targets.keepers);
    take(parsed, "author", targets.author);
    take(parsed, "ledger-shards", targets.ledgerShards);
    if (targets.ledgerShards == 0) {
        throw CommandError(ExitBadInput, "--ledger-shards is 0; allowed: 1 or more");
    }
    return targets;
}

CommandArguments argumentsFrom(const cxxopts::ParseResult &parsed, const Targets &targets,
                               std::vector<std::string> words)
{
    CommandArguments arguments;
    arguments.words = std::move(words);
    arguments.author = targets.author;
    arguments.ledgerShards = targets.ledgerShards;
    take(parsed, "note", arguments.note);
    take(parsed, "workspace", arguments.workspace);
    take(parsed, "address", arguments.address);
    take(parsed, "domain", arguments.domain);
    take(parsed, "kind", arguments.kind);
    take(parsed, "services", arguments.services);
    take(parsed, "slots", arguments.slots);
    take(parsed, "spent-at-most", arguments.spentAtMost);
    arguments.hasSpentAtMost = parsed.count("spent-at-most") > 0;
    arguments.checksFencing = parsed.count("checks-fencing") > 0;
    arguments.wait = parsed.count("wait") > 0;
    uint32_t seconds = 0;
    take(parsed, "wait-limit", seconds);
    if (seconds > 0) {
        arguments.waitLimit = Seconds(seconds);
    }
    seconds = 0;
    take(parsed, "timeout", seconds);
    if (seconds > 0) {
        arguments.giveUpAfter = Seconds(seconds);
    }
    return arguments;
}

void print(const CommandResult &result, bool asJson)
{
    if (asJson) {
        fmt::print("{}\n",
                   result.json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace));
        return;
    }
    fmt::print("{}", result.text);
}

int fail(ExitCode exitCode, const std::string &message, bool asJson)
{
    fmt::print(stderr, "{}: {}\n", Program, message);
    if (asJson) {
        const nlohmann::json error = {{"error", message}, {"exit_code", exitCode}};
        fmt::print("{}\n", error.dump(2, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    return exitCode;
}

int runCommand(const cxxopts::ParseResult &parsed)
{
    std::vector<std::string> words;
    take(parsed, "words", words);
    const Targets targets = targetsFrom(parsed);
    if (parsed.count("check-settings") > 0) {
        settingsFromOptions(parsed, Program);
        fmt::print("settings are good\n");
        return ExitOk;
    }
    const Command &command = findCommand(words);
    const CommandArguments arguments = argumentsFrom(parsed, targets, std::move(words));
    if (command.needsLog && targets.log.empty()) {
        throw CommandError(ExitBadInput, "--log IP:port or a settings file is needed");
    }
    if ((command.needsKeepers || arguments.wait) && targets.keepers.empty()) {
        throw CommandError(ExitBadInput, "--keepers IP:port,... or a settings file is needed");
    }
    ProcessIdentity identity;
    identity.program = Program;
    identity.host = HostId("operator");
    EventLog log(identity);
    Security security(targets.settings, log);
    HttpLogService logService(targets.log, HostId("operator"));
    GrpcKeeperClient keepers(targets.keepers, security);
    const CommandResult result = command.body({logService, keepers}, arguments);
    print(result, parsed.count("json") > 0);
    return result.exitCode;
}

} // namespace

int runCtl(int argc, char **argv)
{
    bool asJson = false;
    try {
        cxxopts::Options options = makeOptions();
        const std::optional<cxxopts::ParseResult> parsed = parseOptions(options, argc, argv);
        if (!parsed) {
            return ExitOk;
        }
        asJson = parsed->count("json") > 0;
        return runCommand(*parsed);
    } catch (const CommandError &error) {
        return fail(error.exitCode(), error.what(), asJson);
    } catch (const VerdictError &error) {
        return fail(ExitUnavailable, error.what(), asJson);
    } catch (const cxxopts::exceptions::exception &error) {
        return fail(ExitBadInput, error.what(), asJson);
    } catch (const SettingsError &error) {
        return fail(ExitBadInput, error.what(), asJson);
    } catch (const std::exception &error) {
        return fail(ExitFailure, error.what(), asJson);
    }
}

} // namespace sequoiagate
