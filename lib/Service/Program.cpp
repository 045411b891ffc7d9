#include "sequoiagate/Service/Program.h"

#include <unistd.h>

#include <csignal>

#include <absl/debugging/failure_signal_handler.h>
#include <fmt/format.h>

#include "Service/ShareFiles.h"
#include "sequoiagate/Service/BoundedLineSink.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Options.h"
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

sigset_t heldSignals()
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGHUP);
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

std::unique_ptr<LineSink> sinkFor(LogOutput output)
{
    if (output == LogOutput::BoundedStandardOutput) {
        return std::make_unique<BoundedLineSink>(STDOUT_FILENO);
    }
    return flushedFileSink(stderr);
}

/// Runs the body; what escapes it is logged, where the time line shows it.
int runBody(DaemonContext &context, const std::function<int(DaemonContext &)> &body)
{
    try {
        return body(context);
    } catch (const SettingsError &) {
        throw;
    } catch (const std::exception &error) {
        context.log.write(Event("process.failed").with("error", error.what()));
        return ExitFailure;
    }
}

/// Has a crash leave its signal and stack on standard error before it ends the process.
void reportCrashes()
{
    absl::InstallFailureSignalHandler(absl::FailureSignalHandlerOptions());
}

} // namespace

StopSignal::StopSignal()
{
    const sigset_t signals = heldSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closes its end must give an error from write, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::unblock()
{
    const sigset_t signals = heldSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void StopSignal::wait()
{
    sigset_t hangUp;
    sigemptyset(&hangUp);
    sigaddset(&hangUp, SIGHUP);
    pthread_sigmask(SIG_UNBLOCK, &hangUp, nullptr);
    const sigset_t signals = stopSignals();
    int caught = 0;
    sigwait(&signals, &caught);
}

std::string readShareFile(const std::string &relativePath)
{
    for (const ShareFile &file : shareFiles()) {
        if (file.path == relativePath) {
            return std::string(file.text);
        }
    }
    throw SettingsError(fmt::format("'share/{}' isn't part of this program", relativePath));
}

int runDaemon(int argc, char **argv, const std::string &program, const std::string &summary,
              const std::function<int(DaemonContext &)> &body, LogOutput output)
{
    StopSignal stop;
    reportCrashes();
    cxxopts::Options options(program, summary);
    addCommonOptions(options);
    try {
        const std::optional<cxxopts::ParseResult> parsed = parseOptions(options, argc, argv);
        if (!parsed) {
            return ExitOk;
        }
        const nlohmann::json settings = settingsFromOptions(*parsed, program);
        if (parsed->count("check-settings") > 0) {
            fmt::print("settings are good\n");
            return ExitOk;
        }
        EventLog log(identityFrom(settings, program), sinkFor(output));
        DaemonContext context{settings, log, stop, [&parsed, &program] {
                                  return settingsFromOptions(*parsed, program);
                              }};
        return runBody(context, body);
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
