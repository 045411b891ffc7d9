#ifndef SEQUOIAGATE_OPERATE_COMMANDS_H
#define SEQUOIAGATE_OPERATE_COMMANDS_H

/// The commands of sequoiactl, without its options' parsing and its printing.

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Operate/KeeperClient.h"
#include "sequoiagate/Platform/LogService.h"
#include "sequoiagate/Service/Program.h"

namespace sequoiagate {

/// Ends a command with \p exitCode and one line for people.
class CommandError : public std::runtime_error
{
public:
    CommandError(ExitCode exitCode, const std::string &message)
        : std::runtime_error(message), exitCode_(exitCode)
    {}
    ExitCode exitCode() const { return exitCode_; }

private:
    ExitCode exitCode_;
};

/// What was typed after the command's own words.
struct CommandArguments
{
    std::vector<std::string> words;
    std::string author;
    std::string note;
    std::string workspace;
    bool wait = false;
    Millis waitLimit{30'000};
    Millis giveUpAfter{10'000};
    std::string address; ///< of an endpoint, IP:port
    std::string domain;
    std::string kind = "engine";
    std::vector<std::string> services;
    uint32_t slots = 1;
    bool checksFencing = false;
    uint64_t spentAtMost = 0;
    bool hasSpentAtMost = false;
    uint32_t ledgerShards = 1;
};

/// What a command found or did, for people and for programs.
struct CommandResult
{
    ExitCode exitCode = ExitOk;
    std::string text;
    nlohmann::json json;
};

/// Whom a command speaks to. Both outlive it.
struct CommandPeers
{
    LogService &log;
    KeeperClient &keepers;
};

using CommandBody = CommandResult (*)(const CommandPeers &, const CommandArguments &);

struct Command
{
    const char *name;  ///< one or two words
    const char *usage; ///< the words after it
    std::size_t fewestWords;
    std::size_t mostWords;
    bool needsLog;
    bool needsKeepers;
    CommandBody body;
    const char *help;
};

/// All commands, in the order in which the help shows them.
const std::vector<Command> &commands();

/// The command that \p words begin with; its own words are taken out of them.
/// \throws CommandError for an unknown one, or too few or too many words.
const Command &findCommand(std::vector<std::string> &words);

} // namespace sequoiagate

#endif
