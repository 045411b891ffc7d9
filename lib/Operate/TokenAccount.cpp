#include "sequoiagate/Operate/TokenAccount.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <stdexcept>

#include <fmt/format.h>

#include "sequoiagate/Service/Options.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

namespace {

using Json = nlohmann::json;
using Micros = std::chrono::microseconds;

/// A process without a line for several intervals of tokens.state has ended.
constexpr Micros SilentAfter = std::chrono::seconds(6);

/// What a process said of a budget while it read the store goes before what others say that
/// don't, for so long.
constexpr Micros BudgetStaleAfter = std::chrono::seconds(4);

constexpr const char *NotFoundOut = "not_found_out";

std::string text(const AccountEvent &event, const char *key)
{
    const auto found = event.fields.find(key);
    const bool isText = found != event.fields.end() && found->is_string();
    return isText ? found->get<std::string>() : std::string();
}

int64_t number(const AccountEvent &event, const char *key)
{
    const auto found = event.fields.find(key);
    const bool isNumber = found != event.fields.end() && found->is_number_integer();
    return isNumber ? found->get<int64_t>() : 0;
}

bool flag(const AccountEvent &event, const char *key, bool missing)
{
    const auto found = event.fields.find(key);
    const bool isFlag = found != event.fields.end() && found->is_boolean();
    return isFlag ? found->get<bool>() : missing;
}

std::string percent(int64_t part, int64_t whole)
{
    const double share = whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    return fmt::format("{:.2f}%", 100.0 * share);
}

/// A line as it was read, before it is known which of its times counts.
struct ReadLine
{
    std::optional<Micros> prefixed;
    Micros stamped{};
    Json fields;
};

std::optional<Micros> prefixTime(const std::string &prefix)
{
    const char *const begin = prefix.c_str();
    char *end = nullptr;
    const double seconds = std::strtod(begin, &end);
    if (end == begin) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(seconds));
}

std::optional<ReadLine> parseLine(const std::string &line, Micros before)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string::npos) {
        return std::nullopt;
    }
    ReadLine read;
    read.fields = Json::parse(line.begin() + static_cast<std::ptrdiff_t>(brace), line.end(),
                              nullptr, false);
    if (!read.fields.is_object() || !read.fields.contains("event")) {
        return std::nullopt;
    }
    read.prefixed = prefixTime(line.substr(0, brace));
    // What a process writes without a stamp stands where it was written.
    read.stamped = before;
    const auto stamp = read.fields.find("hlc");
    if (stamp != read.fields.end() && stamp->is_string()) {
        const auto digits = stamp->get<std::string>();
        int64_t micros = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), micros);
        read.stamped = Micros(micros);
    }
    return read;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("sequoia-account",
                             "adds up from the logs of all processes where each workspace's "
                             "prepaid tokens went");
    options.positional_help("LOG...");
    addCommonOptions(options);
    cxxopts::OptionAdder add = options.add_options();
    add("workspace", "only this workspace", cxxopts::value<std::string>(), "NAME");
    add("every", "also the sums each so many seconds", cxxopts::value<unsigned>(), "SECONDS");
    add("logs", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("logs");
    return options;
}

int fail(ExitCode exitCode, const std::string &message)
{
    fmt::print(stderr, "sequoia-account: {}\n", message);
    return exitCode;
}

std::string sumsLine(Micros at, const WorkspaceAccount &account)
{
    return fmt::format("{:10.3f} {} prepaid={} charged={} held={} reserved={} unallotted={} "
                       "given_up={} on_the_way={} lost={} missing={}\n",
                       std::chrono::duration<double>(at).count(), account.workspace.text(),
                       account.prepaid, account.totalCharged(), account.held, account.reserved,
                       account.unallotted, account.totalGivenUp(), account.onTheWay, account.lost,
                       account.missing());
}

int showAccount(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("settings") > 0 || parsed.count("check-settings") > 0) {
        settingsFromOptions(parsed, "sequoia-account");
    }
    if (parsed.count("check-settings") > 0) {
        fmt::print("settings are good\n");
        return ExitOk;
    }
    if (parsed.count("logs") == 0) {
        return fail(ExitBadInput, "log files are missing; --help shows the usage");
    }
    const std::string only =
            parsed.count("workspace") > 0 ? parsed["workspace"].as<std::string>() : std::string();
    const Micros every =
            std::chrono::seconds(parsed.count("every") > 0 ? parsed["every"].as<unsigned>() : 0);
    std::vector<AccountEvent> events;
    try {
        events = readAccountEvents(parsed["logs"].as<std::vector<std::string>>());
    } catch (const std::runtime_error &error) {
        return fail(ExitBadInput, error.what());
    }
    TokenAccount account;
    const auto forEach = [&](const auto &show) {
        for (const WorkspaceAccount &sums : account.workspaces()) {
            if (only.empty() || sums.workspace.text() == only) {
                show(sums);
            }
        }
    };
    Micros next = events.empty() ? Micros() : events.front().at + every;
    for (const AccountEvent &event : events) {
        for (; every > Micros::zero() && event.at >= next; next += every) {
            forEach([&](const WorkspaceAccount &sums) { fmt::print("{}", sumsLine(next, sums)); });
        }
        account.take(event);
    }
    forEach([](const WorkspaceAccount &sums) { fmt::print("{}", accountText(sums)); });
    if (account.droppedLines() > 0) {
        fmt::print("the logs lack {} lines that were dropped\n", account.droppedLines());
    }
    return ExitOk;
}

} // namespace

int64_t WorkspaceAccount::totalCharged() const
{
    int64_t total = chargedUnlogged;
    for (const auto &[end, sum] : charged) {
        total += sum.tokens;
    }
    return total;
}

int64_t WorkspaceAccount::totalGivenUp() const
{
    int64_t total = 0;
    for (const auto &[why, tokens] : givenUp) {
        total += tokens;
    }
    return total;
}

int64_t WorkspaceAccount::missing() const
{
    return prepaid - totalCharged() - held - reserved - unallotted - totalGivenUp() - onTheWay
           - lost;
}

void TokenAccount::take(const AccountEvent &event)
{
    struct Kind
    {
        std::string_view name;
        void (TokenAccount::*handle)(const AccountEvent &);
    };
    constexpr Kind Kinds[] = {{"tokens.state", &TokenAccount::onState},
                              {"request.ended", &TokenAccount::onEnded},
                              {"request.refused", &TokenAccount::onRefused},
                              {"tokens.given", &TokenAccount::onGiven},
                              {"tokens.taken", &TokenAccount::onTaken},
                              {"tokens.lost", &TokenAccount::onLost},
                              {"tokens.given_up", &TokenAccount::onGivenUp},
                              {"log.dropped", &TokenAccount::onDropped}};
    see(event);
    const std::string name = text(event, "event");
    for (const Kind &kind : Kinds) {
        if (kind.name == name) {
            (this->*kind.handle)(event);
        }
    }
}

void TokenAccount::see(const AccountEvent &event)
{
    now_ = std::max(now_, event.at);
    const std::string incarnation = text(event, "incarnation");
    if (incarnation.empty()) {
        return;
    }
    const auto [found, isNew] = holders_.try_emplace(incarnation);
    found->second.lastSeen = event.at;
    if (!isNew) {
        return;
    }
    found->second.host = text(event, "host");
    std::string &newest = processes_[found->second.host];
    if (!newest.empty()) {
        holders_[newest].replaced = true;
    }
    newest = incarnation;
}

TokenAccount::Part &TokenAccount::partOf(const AccountEvent &event)
{
    return workspaces_[text(event, "workspace")].parts[text(event, "incarnation")];
}

TokenAccount::Move &TokenAccount::moveOf(const std::string &giver, const AccountEvent &event)
{
    Move &move = moves_[fmt::format("{} {}", giver, number(event, "id"))];
    move.workspace = text(event, "workspace");
    move.from = giver;
    move.tokens = number(event, "tokens");
    return move;
}

void TokenAccount::onState(const AccountEvent &event)
{
    Part &part = partOf(event);
    const int64_t spent = number(event, "spent");
    part.usable = number(event, "usable");
    part.reserved = number(event, "reserved");
    part.unlogged = spent - part.logged;
    part.movedOut = number(event, "owned") - part.usable - part.reserved - spent;

    Budget &budget = workspaces_[text(event, "workspace")].budget;
    const bool current = flag(event, "current", true);
    if (current || !budget.current || event.at >= budget.at + BudgetStaleAfter) {
        budget = {event.at, current, number(event, "prepaid"), number(event, "unallotted")};
    }
}

void TokenAccount::onEnded(const AccountEvent &event)
{
    const std::string name = text(event, "workspace");
    const int64_t tokens = number(event, "tokens");
    if (name.empty()) {
        return;
    }
    const std::string end = fmt::format("{} {}", text(event, "outcome"), number(event, "status"));
    ChargeSum &sum = workspaces_[name].charged[end];
    sum.tokens += tokens;
    ++sum.requests;
    Part &part = partOf(event);
    part.logged += tokens;
    // Reserved since the last tokens.state or before: together both are right.
    const int64_t fromReserved = std::min(part.reserved, tokens);
    part.reserved -= fromReserved;
    part.usable -= tokens - fromReserved;
}

void TokenAccount::onRefused(const AccountEvent &event)
{
    const std::string reason = text(event, "reason");
    const std::string name = text(event, "workspace");
    if (!name.empty() && (reason == "budget_spent" || reason == "budget_unreachable")) {
        ++workspaces_[name].refused;
    }
}

void TokenAccount::onGiven(const AccountEvent &event)
{
    Move &move = moveOf(text(event, "incarnation"), event);
    move.to = text(event, "to");
    leaveGiver(move);
}

void TokenAccount::leaveGiver(Move &move)
{
    if (move.given) {
        return;
    }
    move.given = true;
    Part &giver = workspaces_[move.workspace].parts[move.from];
    giver.usable -= move.tokens;
    giver.movedOut += move.tokens;
}

void TokenAccount::onTaken(const AccountEvent &event)
{
    Part &part = partOf(event);
    const int64_t tokens = number(event, "tokens");
    part.usable += tokens;
    part.movedOut -= tokens;
    Move &move = moveOf(text(event, "from"), event);
    move.taken = true;
    // The giver's line may have been dropped.
    leaveGiver(move);
}

void TokenAccount::onLost(const AccountEvent &event)
{
    moveOf(text(event, "incarnation"), event).lost = true;
}

void TokenAccount::onGivenUp(const AccountEvent &event)
{
    workspaces_[text(event, "workspace")].parts[text(event, "holder")].kept =
            number(event, "tokens");
    holders_[text(event, "holder")].whyGivenUp = text(event, "why");
}

void TokenAccount::onDropped(const AccountEvent &event)
{
    droppedLines_ += static_cast<uint64_t>(number(event, "lines"));
}

bool TokenAccount::hasEnded(const std::string &incarnation) const
{
    const auto found = holders_.find(incarnation);
    return found == holders_.end() || found->second.replaced
           || now_ > found->second.lastSeen + SilentAfter;
}

int64_t TokenAccount::lostMoves(const std::string &workspace) const
{
    int64_t tokens = 0;
    for (const auto &[name, move] : moves_) {
        const bool nobodyTakes = move.lost || hasEnded(move.from) || hasEnded(move.to);
        if (move.workspace == workspace && !move.taken && nobodyTakes) {
            tokens += move.tokens;
        }
    }
    return tokens;
}

WorkspaceAccount TokenAccount::sumsOf(const std::string &name, const Workspace &workspace) const
{
    WorkspaceAccount sums;
    sums.workspace = WorkspaceId(name);
    sums.prepaid = workspace.budget.prepaid;
    sums.unallotted = workspace.budget.unallotted;
    sums.charged = workspace.charged;
    sums.refused = workspace.refused;
    int64_t moved = 0;
    for (const auto &[incarnation, part] : workspace.parts) {
        sums.chargedUnlogged += part.unlogged;
        moved += part.movedOut;
        const auto holder = holders_.find(incarnation);
        const std::string why =
                holder == holders_.end() ? std::string() : holder->second.whyGivenUp;
        if (!why.empty()) {
            // Without a row of its own it had only what peers gave it.
            sums.givenUp[why] += part.kept - part.logged - part.unlogged - part.movedOut;
        } else if (!hasEnded(incarnation)) {
            sums.held += part.usable;
            sums.reserved += part.reserved;
        } else if (part.usable + part.reserved != 0) {
            sums.givenUp[NotFoundOut] += part.usable + part.reserved;
        }
    }
    // A move whose line of taking was dropped seems lost.
    sums.lost = std::min(lostMoves(name), std::max<int64_t>(moved, 0));
    sums.onTheWay = moved - sums.lost;
    return sums;
}

std::vector<WorkspaceAccount> TokenAccount::workspaces() const
{
    std::vector<WorkspaceAccount> all;
    for (const auto &[name, workspace] : workspaces_) {
        if (workspace.budget.prepaid > 0) {
            all.push_back(sumsOf(name, workspace));
        }
    }
    return all;
}

std::vector<AccountEvent> readAccountEvents(const std::vector<std::string> &paths)
{
    std::vector<ReadLine> lines;
    for (const std::string &path : paths) {
        std::ifstream file(path);
        if (!file) {
            throw std::runtime_error("can't open " + path);
        }
        Micros before{};
        std::string line;
        while (std::getline(file, line)) {
            if (std::optional<ReadLine> read = parseLine(line, before)) {
                before = read->stamped;
                lines.push_back(std::move(*read));
            }
        }
    }
    const bool allPrefixed = std::all_of(lines.begin(), lines.end(), [](const ReadLine &line) {
        return line.prefixed.has_value();
    });
    std::vector<AccountEvent> events;
    events.reserve(lines.size());
    for (ReadLine &line : lines) {
        events.push_back({allPrefixed ? *line.prefixed : line.stamped, std::move(line.fields)});
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const AccountEvent &first, const AccountEvent &second) {
                         return first.at < second.at;
                     });
    return events;
}

std::string accountText(const WorkspaceAccount &account)
{
    const auto row = [&account](const std::string &what, int64_t tokens) {
        return fmt::format("  {:<32} {:>12} {:>8}", what, tokens, percent(tokens, account.prepaid));
    };
    const int64_t unused = account.prepaid - account.totalCharged();
    std::string shown = fmt::format("{}: prepaid {}, not charged {} ({}), {} requests refused for "
                                    "the budget\n",
                                    account.workspace.text(), account.prepaid, unused,
                                    percent(unused, account.prepaid), account.refused);
    for (const auto &[end, sum] : account.charged) {
        shown += fmt::format("{} {} requests\n", row("charged, " + end, sum.tokens), sum.requests);
    }
    shown += row("charged, lines dropped", account.chargedUnlogged) + "\n";
    shown += row("held", account.held) + "\n";
    shown += row("reserved", account.reserved) + "\n";
    shown += row("given to nobody", account.unallotted) + "\n";
    for (const auto &[why, tokens] : account.givenUp) {
        shown += row("given up, " + why, tokens) + "\n";
    }
    shown += row("on the way", account.onTheWay) + "\n";
    shown += row("lost between hosts", account.lost) + "\n";
    if (account.missing() == 0) {
        return shown + "  adds up\n";
    }
    const char *const what =
            account.missing() > 0 ? "doesn't add up: missing" : "doesn't add up: beyond";
    return shown + row(what, std::abs(account.missing())) + "\n";
}

int runAccount(int argc, char **argv)
{
    try {
        cxxopts::Options options = makeOptions();
        const std::optional<cxxopts::ParseResult> parsed = parseOptions(options, argc, argv);
        return parsed ? showAccount(*parsed) : static_cast<int>(ExitOk);
    } catch (const cxxopts::exceptions::exception &error) {
        return fail(ExitBadInput, error.what());
    } catch (const SettingsError &error) {
        return fail(ExitBadInput, error.what());
    } catch (const std::exception &error) {
        return fail(ExitFailure, error.what());
    }
}

} // namespace sequoiagate
