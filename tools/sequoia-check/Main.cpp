/// Holds the logs of a run against what must always hold.

#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "sequoiagate/History/History.h"
#include "sequoiagate/Operate/FinalState.h"
#include "sequoiagate/Platform/HttpLogService.h"
#include "sequoiagate/Service/Options.h"
#include "sequoiagate/Service/Program.h"

using namespace sequoiagate;

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("sequoia-check",
                             "checks the logs of a run: overspend, bills, answers, at most once");
    options.add_options()("h,help", "print this help and exit")("version",
                                                                "print the version and exit")(
            "log", "IP:port of the log service, for budgets and bills",
            cxxopts::value<std::string>())("shards", "ledger streams",
                                           cxxopts::value<uint32_t>()->default_value("1"))(
            "files", "JSON-lines logs of all processes and callers",
            cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"files"});
    options.positional_help("LOGFILE...");
    return options;
}

int check(const cxxopts::ParseResult &parsed)
{
    History history;
    history.events = readEvents(parsed["files"].as<std::vector<std::string>>());
    if (parsed.count("log") > 0) {
        HttpLogService log(parsed["log"].as<std::string>());
        history.bills = readBills(log, parsed["shards"].as<uint32_t>());
        history.budgets = readBudgets(log);
    } else {
        history.ledgerAvailable = false;
        fmt::print(stderr, "sequoia-check: without --log, budgets and bills aren't checked\n");
    }
    const std::vector<Violation> violations = checkHistory(history);
    fmt::print("{}", describe(violations));
    fmt::print("{} events, {} bills, {} violations\n", history.events.size(), history.bills.size(),
               violations.size());
    return violations.empty() ? ExitOk : ExitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const std::optional<cxxopts::ParseResult> parsed = parseOptions(options, argc, argv);
        if (!parsed) {
            return ExitOk;
        }
        if (parsed->count("files") == 0) {
            fmt::print(stderr, "sequoia-check: no log file given; see --help\n");
            return ExitBadInput;
        }
        return check(*parsed);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "sequoia-check: {}\n", error.what());
        return ExitBadInput;
    } catch (const std::exception &error) {
        fmt::print(stderr, "sequoia-check: {}\n", error.what());
        return ExitUnavailable;
    }
}
