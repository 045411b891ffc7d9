#include "test/Support/Process.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "unittests/Support/TreePaths.h"

extern char **environ;

namespace sequoiagate {

namespace {

constexpr Millis PollPeriod{10};
constexpr Seconds ProgramLimit{10};
constexpr std::size_t TailBytes = 3000;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string programPath(const std::string &program)
{
    return buildFolder() / "bin" / program;
}

/// Starts a program with its output in files. A test harness may start
/// processes; the programs themselves never do.
pid_t spawn(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &outPath, const std::string &errPath,
            std::vector<std::string> environment = {})
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int Flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outPath.c_str(), Flags, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errPath.c_str(), Flags, 0600);
    const std::string path = programPath(program);
    std::vector<char *> argv = {const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    std::vector<char *> envp;
    for (std::string &variable : environment) {
        envp.push_back(variable.data());
    }
    for (char **variable = environ; *variable != nullptr; ++variable) {
        envp.push_back(*variable);
    }
    envp.push_back(nullptr);
    pid_t id = -1;
    const int failed = posix_spawn(&id, path.c_str(), &actions, nullptr, argv.data(), envp.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error(fmt::format("can't start {}: error {}", path, failed));
    }
    return id;
}

int exitCodeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

/// Polls for the end of \p id until \p limit. \returns whether it ended.
bool reap(pid_t id, Seconds limit, int &status)
{
    const Instant giveUpAt = std::chrono::steady_clock::now() + limit;
    while (waitpid(id, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > giveUpAt) {
            return false;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return true;
}

} // namespace

ScratchFolder::ScratchFolder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "sequoiagate-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("can't make a scratch folder");
    }
    path_ = pattern;
}

ScratchFolder::~ScratchFolder()
{
    // What a test throws is counted as its failure only behind this.
    const bool hasFailed = std::uncaught_exceptions() > 0 || testing::Test::HasFailure();
    if (hasFailed) {
        fmt::print("the failed test's files are kept in {}\n", path_);
    }
    if (!hasFailed && std::getenv("SEQUOIAGATE_KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
}

std::string ScratchFolder::write(const std::string &name, const std::string &text) const
{
    const std::string target = path(name);
    {
        std::ofstream file(target + ".new", std::ios::binary);
        file << text;
    }
    std::filesystem::rename(target + ".new", target);
    return target;
}

ProgramResult runProgram(const ScratchFolder &scratch, const std::string &program,
                         const std::vector<std::string> &arguments)
{
    const std::string out = scratch.path(program + ".stdout");
    const std::string err = scratch.path(program + ".stderr");
    std::filesystem::remove(out);
    std::filesystem::remove(err);
    const pid_t id = spawn(program, arguments, out, err);
    int status = 0;
    if (!reap(id, ProgramLimit, status)) {
        ::kill(id, SIGKILL);
        waitpid(id, &status, 0);
        throw std::runtime_error(fmt::format("{} didn't end: {}", program, readFile(err)));
    }
    return {exitCodeOf(status), readFile(out), readFile(err)};
}

Process::Process(const ScratchFolder &scratch, const std::string &program, const std::string &name,
                 const nlohmann::json &settings, std::vector<std::string> environment)
    : Process(scratch, program, name, SettingsPath{scratch.write(name + ".json", settings.dump(4))},
              std::move(environment))
{}

Process::Process(const ScratchFolder &scratch, const std::string &program, const std::string &name,
                 const SettingsPath &settings, std::vector<std::string> environment)
    : name_(name), logPath_(scratch.path(name + ".log"))
{
    // The edge logs on standard output, the others on standard error.
    id_ = spawn(program, {"--settings", settings.path}, logPath_, logPath_, std::move(environment));
}

Process::~Process()
{
    if (running()) {
        kill();
    }
}

std::vector<Process::Line> Process::lines() const
{
    std::vector<Line> lines;
    std::ifstream file(logPath_);
    std::string text;
    while (std::getline(file, text)) {
        Line line = Line::parse(text, nullptr, false);
        if (line.is_object()) {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

bool Process::hasEnded() const
{
    siginfo_t info{};
    // It stays there to be waited for.
    const int found = waitid(P_PID, static_cast<id_t>(id_), &info, WEXITED | WNOHANG | WNOWAIT);
    return ended_ || (found == 0 && info.si_pid == id_);
}

Process::Line Process::waitFor(const std::string &event, const Matches &matches,
                               Seconds limit) const
{
    const Instant giveUpAt = std::chrono::steady_clock::now() + limit;
    bool ended = false;
    while (!ended && std::chrono::steady_clock::now() < giveUpAt) {
        // Looked at before its lines: they are complete then.
        ended = hasEnded();
        for (const Line &line : lines()) {
            const bool found = line.value("event", "") == event && (!matches || matches(line));
            if (found) {
                return line;
            }
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    const std::string log = readFile(logPath_);
    const std::string tail = log.substr(log.size() > TailBytes ? log.size() - TailBytes : 0);
    throw std::runtime_error(
            fmt::format("{}: no '{}' came; its log ends:\n{}", name_, event, tail));
}

std::string Process::address() const
{
    return waitFor("process.started").value("address", "");
}

void Process::signal(int number) const
{
    ::kill(id_, number);
}

bool Process::running()
{
    if (ended_) {
        return false;
    }
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_) {
        return true;
    }
    ended_ = true;
    exitCode_ = exitCodeOf(status);
    return false;
}

int Process::wait(Seconds limit)
{
    if (ended_) {
        return exitCode_;
    }
    int status = 0;
    if (!reap(id_, limit, status)) {
        throw std::runtime_error(fmt::format("{} didn't end", name_));
    }
    ended_ = true;
    exitCode_ = exitCodeOf(status);
    return exitCode_;
}

void Process::kill()
{
    if (ended_) {
        return;
    }
    // A stopped process dies of SIGKILL too.
    ::kill(id_, SIGKILL);
    wait();
}

} // namespace sequoiagate
