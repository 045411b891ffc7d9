#include "sequoiagate/Operate/Commands.h"

#include <algorithm>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "Operate/CommandBodies.h"

namespace sequoiagate {

namespace {

std::vector<std::string> wordsOf(const Command &command)
{
    const std::string name = command.name;
    const std::size_t space = name.find(' ');
    if (space == std::string::npos) {
        return {name};
    }
    return {name.substr(0, space), name.substr(space + 1)};
}

bool beginsWith(const std::vector<std::string> &words, const std::vector<std::string> &start)
{
    return words.size() >= start.size() && std::equal(start.begin(), start.end(), words.begin());
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> Table = {
            {"sheet check", "FILE", 1, 1, false, false, checkSheet,
             "check a sheet; exit 2 with line, column and reason for every fault"},
            {"sheet apply", "FILE", 1, 1, true, false, applySheet,
             "put a sheet into force, whole or not at all; applied twice it tops up once"},
            {"budget", "[WORKSPACE]", 0, 1, true, false, showBudgets,
             "show prepaid, allocated and billed tokens and open grants"},
            {"endpoint list", "", 0, 0, true, false, listEndpoints, "list endpoints"},
            {"endpoint add", "NAME", 1, 1, true, false, addEndpoint,
             "add or replace one (--address, --domain, --kind, --services, --slots)"},
            {"endpoint leave", "NAME", 1, 1, true, false, leaveEndpoint,
             "give it no new work; what runs there goes on"},
            {"endpoint remove", "NAME", 1, 1, true, false, removeEndpoint, "remove one"},
            {"key add", "WORKSPACE", 1, 1, true, false, addKey,
             "make an API key and print it, once: only its SHA-256 is stored"},
            {"key remove", "WORKSPACE KEY-OR-SHA256", 2, 2, true, false, removeKey,
             "remove an API key"},
            {"config history", "", 0, 0, true, false, showHistory,
             "list the configuration's versions with their authors"},
            {"status", "", 0, 0, true, true, showStatus,
             "name each host and each endpoint or route that isn't served, with the reason"},
            {"drain", "HOST", 1, 1, false, true, drainHost,
             "ask a host's keeper to take no new work and give its grants back"},
            {"claims", "KEY", 1, 1, true, false, showClaims,
             "show what is known of a call that runs at most once"},
            {"invoice", "[WORKSPACE]", 0, 1, true, false, writeInvoice,
             "write billed tokens per workspace as CSV"},
            {"grant attest", "GRANT", 1, 1, true, true, attestGrant,
             "attest that a grant's holder is off for good (--spent-at-most, --author)"},
    };
    return Table;
}

/// The commands that begin with \p word and need another: "endpoint add, endpoint list".
static std::string completionsOf(const std::string &word)
{
    std::string names;
    for (const Command &command : commands()) {
        const std::string name = command.name;
        if (!word.empty() && name.rfind(word + " ", 0) == 0) {
            names += (names.empty() ? "" : ", ") + name;
        }
    }
    return names;
}

const Command &findCommand(std::vector<std::string> &words)
{
    for (const Command &command : commands()) {
        const std::vector<std::string> own = wordsOf(command);
        if (!beginsWith(words, own)) {
            continue;
        }
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(own.size()));
        const bool fits = words.size() >= command.fewestWords && words.size() <= command.mostWords;
        if (!fits) {
            throw CommandError(ExitBadInput,
                               fmt::format("usage: {} {}", command.name, command.usage));
        }
        return command;
    }
    const std::string given = words.empty() ? "" : words.front();
    const std::string completions = completionsOf(given);
    if (!completions.empty()) {
        throw CommandError(ExitBadInput, fmt::format("'{}' needs another word; there are: {}",
                                                     given, completions));
    }
    throw CommandError(ExitBadInput,
                       given.empty() ? "a command is missing; --help lists them"
                                     : fmt::format("unknown command '{}'; --help lists them",
                                                   fmt::join(words, " ")));
}

std::string line(const std::string &text)
{
    return text + "\n";
}

std::string timeText(int64_t wallMicros)
{
    const WallTime time{std::chrono::microseconds(wallMicros)};
    const auto whole = std::chrono::time_point_cast<std::chrono::seconds>(time);
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(whole));
}

} // namespace sequoiagate
