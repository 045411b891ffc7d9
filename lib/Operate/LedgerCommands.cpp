#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "Operate/CommandBodies.h"
#include "sequoiagate/Platform/Streams.h"

namespace sequoiagate {

namespace {

using Json = nlohmann::json;

constexpr Millis AnswerLimit{2000};

std::string_view executionText(wire::Execution execution)
{
    switch (execution) {
    case wire::NOT_RUN:
        return executionName(Execution::NotRun);
    case wire::RAN:
        return executionName(Execution::Ran);
    default:
        return executionName(Execution::MayHaveRun);
    }
}

/// The streams that hold what is asked: one workspace's, or all.
std::vector<std::string> streamsFor(const CommandArguments &arguments, const std::string &workspace)
{
    if (!workspace.empty()) {
        return {ledgerStream(WorkspaceId(workspace), arguments.ledgerShards)};
    }
    std::vector<std::string> streams;
    for (uint32_t shard = 0; shard < arguments.ledgerShards; ++shard) {
        streams.push_back(ledgerStreamOfShard(shard));
    }
    return streams;
}

Json budgetJson(const wire::WorkspaceConfig &workspace, const LedgerFold &fold)
{
    const LedgerBudget *known = fold.budget(WorkspaceId(workspace.workspace()));
    const LedgerBudget budget = known == nullptr ? LedgerBudget() : *known;
    Json grants = Json::array();
    for (const LedgerGrant *grant : fold.grantsOf(WorkspaceId(workspace.workspace()))) {
        grants.push_back({{"grant", grant->id.text()},
                          {"tokens", grant->tokens},
                          {"holder", grant->holder.text()},
                          {"witness", grant->witness.text()}});
    }
    std::sort(grants.begin(), grants.end());
    return {{"workspace", workspace.workspace()},        {"name", workspace.name()},
            {"prepaid_tokens", prepaidTotal(workspace)}, {"funded_tokens", budget.total},
            {"funded_by_version", budget.configVersion}, {"allocated_tokens", budget.allocated},
            {"remaining_tokens", budget.remainder()},    {"billed_tokens", budget.billed},
            {"unmet_tokens", budget.unmetTokens},        {"grants", grants}};
}

std::string budgetText(const Json &budget)
{
    std::string text = line(fmt::format(
            "{} prepaid={} funded={} allocated={} remaining={} billed={} unmet={}",
            budget["workspace"].get<std::string>(), budget["prepaid_tokens"].get<uint64_t>(),
            budget["funded_tokens"].get<uint64_t>(), budget["allocated_tokens"].get<uint64_t>(),
            budget["remaining_tokens"].get<uint64_t>(), budget["billed_tokens"].get<uint64_t>(),
            budget["unmet_tokens"].get<uint64_t>()));
    for (const Json &grant : budget["grants"]) {
        text += line(fmt::format("  grant {} tokens={} holder={} witness={}",
                                 grant["grant"].get<std::string>(), grant["tokens"].get<uint64_t>(),
                                 grant["holder"].get<std::string>(),
                                 grant["witness"].get<std::string>()));
    }
    return text;
}

/// An attestation for a holder that still runs would give its tokens away a second
/// time: what it goes on spending would be beyond the budget. Whoever can be heard
/// is therefore asked first.
void refuseIfRunning(const CommandPeers &peers, const Incarnation &holder)
{
    const Instant deadline = std::chrono::steady_clock::now() + AnswerLimit;
    for (const KeeperStatus &keeper : peers.keepers.readAll("", deadline)) {
        const bool isHolder = keeper.heard && keeper.reply.self().incarnation() == holder.text();
        const bool believedLive =
                std::any_of(keeper.reply.members().begin(), keeper.reply.members().end(),
                            [&](const wire::MemberEntry &member) {
                                return member.incarnation() == holder.text()
                                       && (member.health() == wire::MEMBER_ALIVE
                                           || member.health() == wire::MEMBER_SUSPECT);
                            });
        if (isHolder || believedLive) {
            throw CommandError(ExitBadInput,
                               fmt::format("the grant's holder {} runs, as {} says: stop it first",
                                           holder.text(), keeper.host));
        }
    }
}

/// The workspaces asked for, all without a word. \throws CommandError
std::vector<wire::WorkspaceConfig> workspacesAsked(const ConfigView &view,
                                                   const CommandArguments &arguments)
{
    std::vector<wire::WorkspaceConfig> asked;
    for (const wire::WorkspaceConfig &workspace : view.fold.state().workspaces()) {
        if (arguments.words.empty() || workspace.workspace() == arguments.words.at(0)) {
            asked.push_back(workspace);
        }
    }
    if (asked.empty() && !arguments.words.empty()) {
        throw CommandError(ExitBadInput,
                           fmt::format("there is no workspace '{}'", arguments.words.at(0)));
    }
    return asked;
}

/// Each ledger stream is read once, however many workspaces it holds.
class LedgerStreams
{
public:
    LedgerStreams(LogService &log, uint32_t shards) : log_(log), shards_(shards) {}

    const LedgerFold &of(const std::string &workspace)
    {
        const std::string stream = ledgerStream(WorkspaceId(workspace), shards_);
        auto found = views_.find(stream);
        if (found == views_.end()) {
            found = views_.emplace(stream, readLedger(log_, stream)).first;
        }
        return found->second.fold;
    }

private:
    LogService &log_;
    uint32_t shards_;
    std::map<std::string, LedgerView> views_;
};

Json runJson(const wire::RunState &run)
{
    Json found = {{"workspace", run.claim().workspace()},
                  {"key", run.claim().key()},
                  {"attempt", run.claim().attempt()},
                  {"claimed_by", run.writer()},
                  {"offset", run.offset()},
                  {"execution", run.has_outcome() ? executionText(run.outcome().execution())
                                                  : executionName(Execution::MayHaveRun)},
                  {"pending", !run.has_outcome()}};
    if (run.has_outcome()) {
        found["status"] = run.outcome().status();
    }
    return found;
}

/// Quotes a CSV field where it must be (RFC 4180). A leading sign or equals mark
/// gets an apostrophe, or a spreadsheet would run a name as a formula.
std::string csvField(std::string text)
{
    if (!text.empty() && std::string("=+-@").find(text[0]) != std::string::npos) {
        text = "'" + text;
    }
    if (text.find_first_of(",\"\r\n") == std::string::npos) {
        return text;
    }
    std::string quoted = "\"";
    for (const char c : text) {
        quoted += c == '"' ? "\"\"" : std::string(1, c);
    }
    return quoted + "\"";
}

uint64_t requestsBilled(const wire::LedgerState &ledger, const std::string &workspace)
{
    return static_cast<uint64_t>(std::count_if(
            ledger.bills().begin(), ledger.bills().end(),
            [&](const wire::BillKey &bill) { return bill.workspace() == workspace; }));
}

} // namespace

CommandResult showBudgets(const CommandPeers &peers, const CommandArguments &arguments)
{
    const ConfigView config = readConfig(peers.log);
    LedgerStreams ledgers(peers.log, arguments.ledgerShards);
    CommandResult result;
    result.json = {{"version", config.fold.version()}, {"budgets", Json::array()}};
    for (const wire::WorkspaceConfig &workspace : workspacesAsked(config, arguments)) {
        const Json budget = budgetJson(workspace, ledgers.of(workspace.workspace()));
        result.text += budgetText(budget);
        result.json["budgets"].push_back(budget);
    }
    return result;
}

CommandResult showClaims(const CommandPeers &peers, const CommandArguments &arguments)
{
    CommandResult result;
    result.json = {{"claims", Json::array()}};
    for (const std::string &stream : streamsFor(arguments, arguments.workspace)) {
        const wire::LedgerState state = readLedger(peers.log, stream).fold.checkpoint();
        for (const wire::RunState &run : state.runs()) {
            const bool asked = run.claim().key() == arguments.words.at(0)
                               && (arguments.workspace.empty()
                                   || run.claim().workspace() == arguments.workspace);
            if (!asked) {
                continue;
            }
            const Json found = runJson(run);
            result.json["claims"].push_back(found);
            const std::string outcome =
                    run.has_outcome()
                            ? fmt::format("outcome known: {} with status {}",
                                          executionText(run.outcome().execution()),
                                          run.outcome().status())
                            : "pending: claimed, and no outcome is recorded; it may have run";
            result.text += line(
                    fmt::format("{} {} {}", run.claim().workspace(), run.claim().key(), outcome));
        }
    }
    if (result.json["claims"].empty()) {
        result.text = line("no claim of this key is recorded");
    }
    return result;
}

CommandResult writeInvoice(const CommandPeers &peers, const CommandArguments &arguments)
{
    const ConfigView config = readConfig(peers.log);
    LedgerStreams ledgers(peers.log, arguments.ledgerShards);
    CommandResult result;
    result.text = line("workspace,name,prepaid_tokens,billed_tokens,requests");
    result.json = {{"invoices", Json::array()}};
    for (const wire::WorkspaceConfig &workspace : workspacesAsked(config, arguments)) {
        const LedgerFold &fold = ledgers.of(workspace.workspace());
        const LedgerBudget *budget = fold.budget(WorkspaceId(workspace.workspace()));
        const uint64_t billed = budget == nullptr ? 0 : budget->billed;
        const uint64_t requests = requestsBilled(fold.checkpoint(), workspace.workspace());
        result.text += line(fmt::format("{},{},{},{},{}", csvField(workspace.workspace()),
                                        csvField(workspace.name()), prepaidTotal(workspace), billed,
                                        requests));
        result.json["invoices"].push_back({{"workspace", workspace.workspace()},
                                           {"name", workspace.name()},
                                           {"prepaid_tokens", prepaidTotal(workspace)},
                                           {"billed_tokens", billed},
                                           {"requests", requests}});
    }
    return result;
}

CommandResult attestGrant(const CommandPeers &peers, const CommandArguments &arguments)
{
    if (!arguments.hasSpentAtMost) {
        throw CommandError(ExitBadInput, "--spent-at-most TOKENS is needed: the most that the "
                                         "grant's holder may have spent, by the engines' usage");
    }
    const GrantId grant(arguments.words.at(0));
    for (const std::string &stream : streamsFor(arguments, "")) {
        const LedgerView view = readLedger(peers.log, stream);
        const LedgerGrant *known = view.fold.grant(grant);
        if (known == nullptr) {
            continue;
        }
        if (known->ended) {
            throw CommandError(ExitBadInput,
                               fmt::format("grant {} has ended already", grant.text()));
        }
        refuseIfRunning(peers, known->holder);
        wire::Record record;
        record.mutable_grant_attest()->set_grant(grant.text());
        record.mutable_grant_attest()->set_spent_at_most(arguments.spentAtMost);
        record.mutable_grant_attest()->set_operator_name(arguments.author);
        Publisher publisher(peers.log, HostId("sequoiactl"), arguments.giveUpAfter);
        const PublishOutcome outcome = publisher.publish(stream, std::move(record));
        if (const RefusedRecord *refused = std::get_if<RefusedRecord>(&outcome)) {
            throw CommandError(ExitBadInput, fmt::format("refused: {}", refused->why));
        }
        CommandResult result;
        result.text = line(fmt::format("grant {} of workspace {} is ended; what it may not have "
                                       "spent is back in the budget",
                                       grant.text(), known->workspace.text()));
        result.json = {{"grant", grant.text()}, {"workspace", known->workspace.text()}};
        return result;
    }
    throw CommandError(ExitBadInput, fmt::format("there is no grant '{}'", grant.text()));
}

} // namespace sequoiagate
