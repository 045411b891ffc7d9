#include <algorithm>
#include <thread>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "Operate/CommandBodies.h"
#include "Operate/StatusReport.h"

namespace sequoiagate {

namespace {

using Json = nlohmann::json;

constexpr Millis PollPeriod{200};
constexpr Millis AnswerLimit{2000};

Instant answerDeadline()
{
    return std::chrono::steady_clock::now() + AnswerLimit;
}

std::string ageText(const std::optional<Seconds> &age)
{
    return age ? fmt::format("{} s ago", age->count()) : "never";
}

Json ageJson(const std::optional<Seconds> &age)
{
    return age ? Json(age->count()) : Json();
}

void addHost(const HostRow &row, CommandResult &result)
{
    result.text += line(fmt::format("host {} domain={} address={} {}", row.host, row.domain,
                                    row.address, row.state));
    result.json["hosts"].push_back({{"host", row.host},
                                    {"domain", row.domain},
                                    {"address", row.address},
                                    {"heard", row.heard},
                                    {"state", row.state},
                                    {"config_version", row.configVersion},
                                    {"ledger_offset", row.ledgerOffset},
                                    {"grants", row.grants},
                                    {"open_reservations", row.openReservations},
                                    {"pending_bills", row.pendingBills},
                                    {"log_heard_seconds_ago", ageJson(row.logAge)}});
    if (row.heard) {
        result.text += line(fmt::format(
                "  config={} ledger_offset={} grants={} open_reservations={} pending_bills={} "
                "log heard {}",
                row.configVersion, row.ledgerOffset, row.grants, row.openReservations,
                row.pendingBills, ageText(row.logAge)));
    }
}

void addUnserved(const char *kind, const char *key, const std::vector<UnservedRow> &rows,
                 CommandResult &result)
{
    result.json[key] = Json::array();
    for (const UnservedRow &row : rows) {
        const std::string seen =
                row.age ? fmt::format(" (observed {})", ageText(row.age)) : std::string();
        result.text +=
                line(fmt::format("{} {} isn't served: {}{}", kind, row.name, row.reason, seen));
        result.json[key].push_back({{"name", row.name},
                                    {"reason", row.reason},
                                    {"observed_seconds_ago", ageJson(row.age)}});
    }
}

std::string nameOf(const KeeperStatus &keeper)
{
    return keeper.host.empty() ? keeper.address : keeper.host;
}

std::string addressOfHost(const std::vector<KeeperStatus> &keepers, const std::string &host)
{
    for (const KeeperStatus &keeper : keepers) {
        if (keeper.host == host || keeper.address == host) {
            return keeper.address;
        }
    }
    throw CommandError(ExitBadInput, fmt::format("no keeper of host '{}' is known", host));
}

} // namespace

CommandResult showStatus(const CommandPeers &peers, const CommandArguments & /*arguments*/)
{
    CommandResult result;
    wire::ConfigState config;
    try {
        config = readConfig(peers.log).fold.state();
    } catch (const VerdictError &error) {
        // During a log outage status matters most: what the keepers say is shown.
        result.text += line(fmt::format("the log can't be read: {}", error.what()));
        result.json["log_fault"] = error.what();
        result.exitCode = ExitUnavailable;
    }
    const std::vector<KeeperStatus> keepers = peers.keepers.readAll("", answerDeadline());
    const StatusReport report = makeStatusReport(keepers, config, std::chrono::system_clock::now());
    result.text += line(fmt::format("configuration version {}", config.version()));
    result.json["config_version"] = config.version();
    result.json["hosts"] = Json::array();
    for (const HostRow &row : report.hosts) {
        addHost(row, result);
        if (!row.heard) {
            result.exitCode = ExitUnavailable;
        }
    }
    addUnserved("endpoint", "unserved_endpoints", report.endpoints, result);
    addUnserved("service", "unserved_services", report.services, result);
    return result;
}

CommandResult drainHost(const CommandPeers &peers, const CommandArguments &arguments)
{
    const std::vector<KeeperStatus> keepers = peers.keepers.readAll("", answerDeadline());
    const std::string address = addressOfHost(keepers, arguments.words.at(0));
    const std::string reason =
            arguments.note.empty() ? "asked by " + arguments.author : arguments.note;
    const wire::DrainReply reply = peers.keepers.drain(address, reason, answerDeadline());
    CommandResult result;
    result.text = line(fmt::format("host {} drains; {} reservations are open",
                                   arguments.words.at(0), reply.open_reservations()));
    result.json = {{"host", arguments.words.at(0)},
                   {"draining", reply.draining()},
                   {"open_reservations", reply.open_reservations()}};
    return result;
}

void waitInForce(const CommandPeers &peers, const CommandArguments &arguments, uint64_t version,
                 CommandResult &result)
{
    const Instant deadline = std::chrono::steady_clock::now() + arguments.waitLimit;
    std::vector<std::string> inForce;
    std::vector<std::string> behind;
    std::vector<std::string> unheard;
    while (true) {
        inForce.clear();
        behind.clear();
        unheard.clear();
        for (const KeeperStatus &keeper : peers.keepers.readAll("", answerDeadline())) {
            const bool has = keeper.heard && keeper.reply.config_version() >= version;
            (!keeper.heard ? unheard : has ? inForce : behind).push_back(nameOf(keeper));
        }
        const bool done = behind.empty() && unheard.empty() && !inForce.empty();
        if (done || std::chrono::steady_clock::now() + PollPeriod >= deadline) {
            break;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    result.text += line(fmt::format("in force on {} hosts", inForce.size()));
    if (!behind.empty()) {
        result.text += line(fmt::format("not yet in force on: {}", fmt::join(behind, ", ")));
    }
    if (!unheard.empty()) {
        result.text += line(fmt::format("not heard from: {}", fmt::join(unheard, ", ")));
    }
    result.json["in_force"] = inForce;
    result.json["not_in_force"] = behind;
    result.json["not_heard"] = unheard;
    const bool everywhere = behind.empty() && unheard.empty() && !inForce.empty();
    result.exitCode = everywhere ? ExitOk : ExitUnavailable;
}

} // namespace sequoiagate
