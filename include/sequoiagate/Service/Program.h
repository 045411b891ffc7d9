#ifndef SEQUOIAGATE_SERVICE_PROGRAM_H
#define SEQUOIAGATE_SERVICE_PROGRAM_H

/// What every daemon's main does: options, settings, logs, and a planned stop.

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// Exit codes that all programs share; docs/OPERATIONS.md lists them.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailure = 1,
    ExitBadInput = 2,    ///< options, settings or a file given by the user
    ExitUnavailable = 3, ///< what was asked couldn't be reached
    ExitConflict = 4,    ///< somebody else's change won
};

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and those it starts later: one
/// that comes during the start is held. Construct it first thing in main.
class StopSignal
{
public:
    StopSignal();
    /// Returns when the process is asked to stop by SIGTERM or SIGINT. SIGHUP has its default
    /// action again. Call from one thread.
    void wait();
    /// Lets the signals through again, for a body that takes them in its own event loop. Call
    /// it after the body has installed its handlers: those held come at once.
    void unblock();
};

/// Where a daemon's events go.
enum class LogOutput {
    StandardError,         ///< each line is flushed: none is lost
    BoundedStandardOutput, ///< never blocks; under load lines are dropped and counted
};

/// What a daemon's body is given.
struct DaemonContext
{
    nlohmann::json settings;
    EventLog &log;
    StopSignal &stop;
    /// Reads the settings file again. \throws SettingsError if it isn't good
    std::function<nlohmann::json()> reread;
};

/// Parses --help, --version, --settings FILE and --check-settings, loads the
/// settings by the schema named \p program in share/schemas, and runs \p body.
/// Settings common to all daemons: host, domain.
/// \returns the process's exit code; an exception from \p body is logged and
/// gives ExitFailure.
int runDaemon(int argc, char **argv, const std::string &program, const std::string &summary,
              const std::function<int(DaemonContext &)> &body,
              LogOutput output = LogOutput::StandardError);

/// The text of share/<relativePath>, which is embedded in the program. Thread safe.
/// \throws SettingsError if there is no such file
std::string readShareFile(const std::string &relativePath);

} // namespace sequoiagate

#endif
