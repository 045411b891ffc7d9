#include "sequoiagate/Service/Program.h"

#include <csignal>
#include <fstream>
#include <iterator>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

ProcessIdentity identityFrom(const nlohmann::json &settings, const std::string &program)
{
    ProcessIdentity identity;
    identity.program = program;
    identity.host = HostId(settings.at("host").get<std::string>());
    identity.domain = DomainId(settings.at("domain").get<std::string>());
    identity.incarnation = randomId<Incarnation>();
    return identity;
}

} // namespace

StopSignal::StopSignal()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closes its end must give an error from write, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait()
{
    const sigset_t signals = stopSignals();
    int caught = 0;
    sigwait(&signals, &caught);
}

std::string readShareFile(const std::string &relativePath)
{
    const std::string path = std::string(SEQUOIAGATE_SOURCE_DIR) + "/share/" + relativePath;
    std::ifstream file(path);
    if (!file) {
        throw SettingsError(fmt::format("'{}' can't be opened", path));
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

int runDaemon(int argc, char **argv, const std::string &program, const std::string &summary,
              const std::function<int(DaemonContext &)> &body)
{
    StopSignal stop;
    cxxopts::Options options(program, summary);
    options.add_options()("h,help", "print this help and exit")("version",
                                                                "print the version and exit")(
            "settings", "the JSON settings file",
            cxxopts::value<std::string>())("check-settings", "check the settings file and exit");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}", options.help());
            return ExitOk;
        }
        if (parsed.count("version") > 0) {
            fmt::print("{} {}\n", program, SEQUOIAGATE_VERSION);
            return ExitOk;
        }
        const nlohmann::json schema =
                nlohmann::json::parse(readShareFile("schemas/" + program + ".json"));
        const nlohmann::json settings = loadSettings(parsed["settings"].as<std::string>(), schema);
        if (parsed.count("check-settings") > 0) {
            fmt::print("settings are good\n");
            return ExitOk;
        }
        EventLog log(identityFrom(settings, program));
        DaemonContext context{settings, log, stop};
        return body(context);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "{}: {}\n", program, error.what());
        return ExitBadInput;
    } catch (const SettingsError &error) {
        fmt::print(stderr, "{}: {}\n", program, error.what());
        return ExitBadInput;
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}: {}\n", program, error.what());
        return ExitFailure;
    }
}

} // namespace sequoiagate
