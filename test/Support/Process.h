#ifndef TEST_SUPPORT_PROCESS_H
#define TEST_SUPPORT_PROCESS_H

/// Runs the project's programs as separate processes for the process tests:
/// settings file in, log lines out, signals by process id.

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// A folder of one test, removed at its end. That of a test that failed is left, and its path
/// printed.
class ScratchFolder
{
public:
    ScratchFolder();
    ~ScratchFolder();
    ScratchFolder(const ScratchFolder &) = delete;
    ScratchFolder &operator=(const ScratchFolder &) = delete;

    std::string path(const std::string &name) const { return path_ + "/" + name; }
    /// Writes a file whole, by rename, so that a reader never sees half of it.
    std::string write(const std::string &name, const std::string &text) const;

private:
    std::string path_;
};

/// What a program that ended by itself left.
struct ProgramResult
{
    int exitCode = -1; ///< -N: ended by signal N
    std::string out;
    std::string err;
};

/// Runs \p program (its name under bin/, or a whole path) to its end, ten seconds at most.
ProgramResult runProgram(const ScratchFolder &scratch, const std::string &program,
                         const std::vector<std::string> &arguments);

/// The path of a settings file that the test makes itself.
struct SettingsPath
{
    std::string path;
};

/// A running daemon. Not thread safe.
class Process
{
public:
    using Line = nlohmann::json;
    using Matches = std::function<bool(const Line &)>;

    /// Starts \p program (its name under bin/, or a whole path) with --settings, and with
    /// \p environment ("NAME=value") beside the test's own. \p name is unique within the scratch
    /// folder.
    Process(const ScratchFolder &scratch, const std::string &program, const std::string &name,
            const nlohmann::json &settings, std::vector<std::string> environment = {});
    /// Starts it with the settings of that file, which may be a pipe that holds the start up.
    Process(const ScratchFolder &scratch, const std::string &program, const std::string &name,
            const SettingsPath &settings, std::vector<std::string> environment = {});
    ~Process(); ///< SIGKILL if it still runs
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits for a log line of \p event that matches. The limit is for a test that
    /// has failed already; no verdict depends on how long it took. One that has ended
    /// isn't waited for.
    /// \throws std::runtime_error with the log's end when it doesn't come.
    Line waitFor(const std::string &event, const Matches &matches = nullptr,
                 Seconds limit = Seconds(120)) const;
    /// The `address` of process.started.
    std::string address() const;
    /// All lines so far; lines that aren't JSON are left out.
    std::vector<Line> lines() const;

    void signal(int number) const; ///< SIGKILL, SIGSTOP, SIGCONT, SIGTERM
    /// Waits for its end. \returns the exit code, -N if signal N ended it.
    int wait(Seconds limit = Seconds(120));
    void kill(); ///< SIGKILL and wait
    bool running();
    pid_t id() const { return id_; }
    const std::string &logPath() const { return logPath_; }

private:
    bool hasEnded() const;

    std::string name_;
    std::string logPath_;
    pid_t id_ = -1;
    bool ended_ = false;
    int exitCode_ = -1;
};

} // namespace sequoiagate

#endif
