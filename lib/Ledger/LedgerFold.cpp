#include "sequoiagate/Ledger/LedgerFold.h"

#include <algorithm>
#include <cassert>
#include <tuple>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

FoldResult accepted(uint64_t refund = 0)
{
    return {FoldOutcome::Accepted, {}, refund};
}

FoldResult refused(std::string reason)
{
    return {FoldOutcome::Refused, std::move(reason), 0};
}

/// A sum that saturates: a counter that wrapped would read as "nothing spent".
uint64_t saturatingAdd(uint64_t left, uint64_t right)
{
    const uint64_t sum = left + right;
    return sum < left ? UINT64_MAX : sum;
}

uint64_t saturatingSub(uint64_t from, uint64_t amount)
{
    return from > amount ? from - amount : 0;
}

std::size_t combineHash(const std::string &left, const std::string &right)
{
    const std::size_t seed = std::hash<std::string>()(left);
    return seed * 31 + std::hash<std::string>()(right);
}

/// Entries of a hash map ordered by key, so that equal states produce equal bytes.
template <typename Map, typename Less>
std::vector<const typename Map::value_type *> sortedEntries(const Map &map, Less less)
{
    std::vector<const typename Map::value_type *> entries;
    entries.reserve(map.size());
    for (const auto &entry : map) {
        entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(), [&less](const auto *left, const auto *right) {
        return less(left->first, right->first);
    });
    return entries;
}

template <typename Map>
std::vector<const typename Map::value_type *> sortedEntries(const Map &map)
{
    return sortedEntries(map, std::less<typename Map::key_type>());
}

wire::GrantState grantState(const LedgerGrant &grant)
{
    wire::GrantState state;
    state.set_grant(grant.id.text());
    state.set_workspace(grant.workspace.text());
    state.set_tokens(grant.tokens);
    state.set_holder(grant.holder.text());
    state.set_witness(grant.witness.text());
    state.set_base_signed(grant.baseSigned);
    state.set_ended(grant.ended);
    return state;
}

LedgerGrant grantFromState(const wire::GrantState &state)
{
    LedgerGrant grant;
    grant.id = GrantId(state.grant());
    grant.workspace = WorkspaceId(state.workspace());
    grant.tokens = state.tokens();
    grant.holder = Incarnation(state.holder());
    grant.witness = Incarnation(state.witness());
    grant.baseSigned = state.base_signed();
    grant.ended = state.ended();
    return grant;
}

} // namespace

void requireNoGap(uint64_t nextOffset, uint64_t oldestKept)
{
    if (nextOffset < oldestKept) {
        throw LedgerGapError(fmt::format("records {} to {} have expired unread: a checkpoint at "
                                         "offset {} or later is needed",
                                         nextOffset, oldestKept - 1, oldestKept));
    }
}

std::size_t LedgerFold::PairHash::operator()(const RunId &id) const
{
    return combineHash(id.workspace.text(), id.key.text());
}

std::size_t LedgerFold::PairHash::operator()(const BillId &id) const
{
    return combineHash(id.workspace.text(), id.request.text());
}

FoldResult LedgerFold::apply(const wire::Record &record, uint64_t offset)
{
    assert(offset == nextOffset_ && "records are folded in the log's order, without gaps");
    nextOffset_ = offset + 1;
    if (record.writer().empty() || record.sequence() == 0) {
        return refused("a record needs a writer and a sequence from 1 on");
    }
    // An append whose response was lost is resent and may be in the log twice, and a copy delayed
    // in the network may be appended much later. If a return counted twice, it would put tokens
    // into the pool that the holder still spends. A writer has one batch in flight at a time, so
    // the highest folded sequence is sufficient to detect every copy.
    uint64_t &mark = writers_[Incarnation(record.writer())];
    if (safeguards_.dropDuplicates && record.sequence() <= mark) {
        return {FoldOutcome::Duplicate, "folded before", 0};
    }
    mark = std::max(mark, record.sequence());
    return applyBody(record, offset);
}

FoldResult LedgerFold::applyBody(const wire::Record &record, uint64_t offset)
{
    const Incarnation writer(record.writer());
    switch (record.body_case()) {
    case wire::Record::kFunding:
        return applyFunding(record.funding());
    case wire::Record::kGrantClaim:
        return applyClaim(record.grant_claim(), writer);
    case wire::Record::kGrantReturn:
        return applyReturn(record.grant_return(), writer);
    case wire::Record::kGrantSeal:
        return applySeal(record.grant_seal(), writer);
    case wire::Record::kGrantRewitness:
        return applyRewitness(record.grant_rewitness(), writer);
    case wire::Record::kGrantClose:
        return applyClose(record.grant_close(), writer);
    case wire::Record::kGrantAttest:
        return applyAttest(record.grant_attest());
    case wire::Record::kBill:
        return applyBill(record.bill());
    case wire::Record::kRunClaim:
        return applyRunClaim(record.run_claim(), writer, offset);
    case wire::Record::kRunOutcome:
        return applyRunOutcome(record.run_outcome());
    case wire::Record::kCheckpoint:
        // This fold already has the checkpoint's state; the record is for readers that start from
        // it.
        return accepted();
    case wire::Record::kConfigChange:
    case wire::Record::BODY_NOT_SET:
        break;
    }
    return refused("not a ledger record");
}

FoldResult LedgerFold::applyFunding(const wire::Funding &funding)
{
    BudgetEntry &entry = budgets_[WorkspaceId(funding.workspace())];
    if (funding.config_version() <= entry.budget.configVersion) {
        return refused("funded from this version or a later one before");
    }
    entry.budget.configVersion = funding.config_version();
    entry.budget.total = funding.total_tokens();
    return accepted();
}

FoldResult LedgerFold::refuseClaim(BudgetEntry &entry, const wire::GrantClaim &claim,
                                   std::string reason)
{
    entry.budget.unmetTokens = saturatingAdd(entry.budget.unmetTokens, claim.tokens());
    if (entry.refused.size() == RefusedClaimsKept) {
        entry.refused.erase(entry.refused.begin());
    }
    entry.refused.emplace_back(claim.grant());
    return refused(std::move(reason));
}

FoldResult LedgerFold::applyClaim(const wire::GrantClaim &claim, const Incarnation &writer)
{
    const auto found = budgets_.find(WorkspaceId(claim.workspace()));
    if (found == budgets_.end()) {
        return refused("the workspace isn't funded");
    }
    BudgetEntry &entry = found->second;
    if (writer.text() != claim.holder()) {
        return refused("only the holder itself claims");
    }
    // A claim needs an id and tokens. Its witness may be empty (no witness), but can't be its
    // holder.
    if (claim.tokens() == 0 || claim.grant().empty() || claim.witness() == claim.holder()) {
        return refused("a claim needs an id, tokens, and a witness other than its holder");
    }
    if (grants_.contains(GrantId(claim.grant()))) {
        return refused("the grant's id isn't new");
    }
    if (claim.tokens() > entry.budget.remainder()) {
        return refuseClaim(entry, claim,
                           fmt::format("{} tokens asked for, {} remain", claim.tokens(),
                                       entry.budget.remainder()));
    }
    entry.budget.allocated += claim.tokens();
    entry.budget.unmetTokens = 0;
    LedgerGrant grant;
    grant.id = GrantId(claim.grant());
    grant.workspace = WorkspaceId(claim.workspace());
    grant.tokens = claim.tokens();
    grant.holder = writer;
    grant.witness = Incarnation(claim.witness());
    addGrant(entry, std::move(grant));
    return accepted();
}

LedgerGrant *LedgerFold::findOpenGrant(const std::string &id)
{
    const auto found = grants_.find(GrantId(id));
    if (found == grants_.end()) {
        return nullptr;
    }
    // Among a concurrent seal, rewitness and close, the first in the log decides what may still be
    // spent; a second one would allocate the same tokens again.
    if (safeguards_.firstEndWins && found->second.ended) {
        return nullptr;
    }
    return &found->second;
}

FoldResult LedgerFold::applyReturn(const wire::GrantReturn &grantReturn, const Incarnation &writer)
{
    LedgerGrant *grant = findOpenGrant(grantReturn.grant());
    if (!grant) {
        return refused("no such grant, or it has ended");
    }
    if (grant->holder != writer) {
        return refused("only the holder returns");
    }
    // The grant must not become smaller than baseSigned, the total from which its current witness
    // counts.
    if (grantReturn.tokens() > saturatingSub(grant->tokens, grant->baseSigned)) {
        return refused("less would be left than the witness counts from");
    }
    grant->tokens -= grantReturn.tokens();
    LedgerBudget &budget = budgets_[grant->workspace].budget;
    budget.allocated = saturatingSub(budget.allocated, grantReturn.tokens());
    return accepted(grantReturn.tokens());
}

FoldResult LedgerFold::applySeal(const wire::GrantSeal &seal, const Incarnation &writer)
{
    LedgerGrant *grant = findOpenGrant(seal.grant());
    if (!grant) {
        return refused("no such grant, or it has ended");
    }
    // A witness that was replaced while paused has not counted what the new one signed; its seal
    // would refund tokens that the holder spends.
    if (safeguards_.firstEndWins && grant->witness != writer) {
        return refused("only the present witness seals");
    }
    return endGrant(*grant, std::max(seal.signed_tokens(), grant->baseSigned));
}

FoldResult LedgerFold::applyRewitness(const wire::GrantRewitness &change, const Incarnation &writer)
{
    LedgerGrant *grant = findOpenGrant(change.grant());
    if (!grant) {
        return refused("no such grant, or it has ended");
    }
    if (grant->holder != writer) {
        return refused("only the holder names a new witness");
    }
    if (change.witness() == writer.text()) {
        return refused("a holder can't be its own witness");
    }
    if (change.received_tokens() < grant->baseSigned) {
        return refused("less than what the present witness counts from");
    }
    unindex(*grant);
    grant->witness = Incarnation(change.witness());
    grant->baseSigned = change.received_tokens();
    index(*grant);
    return accepted();
}

FoldResult LedgerFold::applyClose(const wire::GrantClose &close, const Incarnation &writer)
{
    LedgerGrant *grant = findOpenGrant(close.grant());
    if (!grant) {
        return refused("no such grant, or it has ended");
    }
    if (grant->holder != writer) {
        return refused("only the holder closes");
    }
    return endGrant(*grant, close.spent_tokens());
}

FoldResult LedgerFold::applyAttest(const wire::GrantAttest &attest)
{
    LedgerGrant *grant = findOpenGrant(attest.grant());
    if (!grant) {
        return refused("no such grant, or it has ended");
    }
    if (attest.operator_name().empty()) {
        return refused("an attestation names its operator");
    }
    return endGrant(*grant, attest.spent_at_most());
}

FoldResult LedgerFold::endGrant(LedgerGrant &grant, uint64_t used)
{
    BudgetEntry &entry = budgets_[grant.workspace];
    const uint64_t refund = saturatingSub(grant.tokens, used);
    entry.budget.allocated = saturatingSub(entry.budget.allocated, refund);
    if (!grant.ended) {
        unindex(grant);
        grant.ended = true;
        grant.baseSigned = used;
        std::erase(entry.live, grant.id);
        entry.ended.push_back(grant.id);
        trimEndedGrants(entry);
    }
    return accepted(refund);
}

FoldResult LedgerFold::applyBill(const wire::Bill &bill)
{
    const uint64_t tokens = saturatingAdd(bill.prompt_tokens(), bill.completion_tokens());
    const BillId id{WorkspaceId(bill.workspace()), RequestId(bill.request())};
    // The router, the home keeper and a keeper that took over may each append the same bill.
    if (!bills_.emplace(id, tokens).second) {
        return refused("the request is billed");
    }
    LedgerBudget &budget = budgets_[id.workspace].budget;
    budget.billed = saturatingAdd(budget.billed, tokens);
    return accepted();
}

FoldResult LedgerFold::applyRunClaim(const wire::RunClaim &claim, const Incarnation &writer,
                                     uint64_t offset)
{
    LedgerRun run{claim, writer, std::nullopt, offset};
    const RunId id{WorkspaceId(claim.workspace()), RunKey(claim.key())};
    const auto [existing, isNew] = runs_.try_emplace(id, run);
    if (isNew) {
        return accepted();
    }
    // A claimer that reports "not run" has committed to never sending the call, so the key is free
    // again. Otherwise a caller whose claim was appended too late, and who retries with the same
    // key as instructed, would be told "not run" forever.
    if (!existing->second.keyAvailable()) {
        return refused("the key is claimed");
    }
    existing->second = std::move(run);
    return accepted();
}

FoldResult LedgerFold::applyRunOutcome(const wire::RunOutcome &outcome)
{
    const auto found = runs_.find(RunId{WorkspaceId(outcome.workspace()), RunKey(outcome.key())});
    if (found == runs_.end() || found->second.claim.attempt() != outcome.attempt()) {
        return refused("only the attempt that holds the claim has an outcome");
    }
    // "May have run" is also the assumption without an outcome; a later record may replace it.
    std::optional<wire::RunOutcome> &known = found->second.outcome;
    if (known && known->execution() != wire::MAY_HAVE_RUN) {
        return refused("the outcome is known");
    }
    // After a report that the call may have run, "not run" is refused: it would free the key for a
    // second run.
    if (known && outcome.execution() == wire::NOT_RUN) {
        return refused("the call may have run");
    }
    known = outcome;
    return accepted();
}

void LedgerFold::addGrant(BudgetEntry &entry, LedgerGrant grant)
{
    (grant.ended ? entry.ended : entry.live).push_back(grant.id);
    index(grant);
    const GrantId id = grant.id;
    grants_.emplace(id, std::move(grant));
}

void LedgerFold::index(const LedgerGrant &grant)
{
    if (grant.ended) {
        return;
    }
    byHolder_[grant.holder].insert(grant.id);
    if (!grant.witness.empty()) {
        byWitness_[grant.witness].insert(grant.id);
    }
}

static void eraseFrom(std::unordered_map<Incarnation, std::unordered_set<GrantId>> &index,
                      const Incarnation &incarnation, const GrantId &grant)
{
    const auto found = index.find(incarnation);
    if (found == index.end()) {
        return;
    }
    found->second.erase(grant);
    if (found->second.empty()) {
        index.erase(found);
    }
}

void LedgerFold::unindex(const LedgerGrant &grant)
{
    eraseFrom(byHolder_, grant.holder, grant.id);
    eraseFrom(byWitness_, grant.witness, grant.id);
}

void LedgerFold::trimEndedGrants(BudgetEntry &entry)
{
    if (entry.ended.size() <= EndedGrantsKept) {
        return;
    }
    grants_.erase(entry.ended.front());
    entry.ended.erase(entry.ended.begin());
}

const LedgerBudget *LedgerFold::budget(const WorkspaceId &workspace) const
{
    const auto found = budgets_.find(workspace);
    return found == budgets_.end() ? nullptr : &found->second.budget;
}

const LedgerGrant *LedgerFold::grant(const GrantId &grant) const
{
    const auto found = grants_.find(grant);
    return found == grants_.end() ? nullptr : &found->second;
}

const LedgerRun *LedgerFold::run(const WorkspaceId &workspace, const RunKey &key) const
{
    const auto found = runs_.find(RunId{workspace, key});
    return found == runs_.end() ? nullptr : &found->second;
}

bool LedgerFold::billed(const WorkspaceId &workspace, const RequestId &request) const
{
    return bills_.contains(BillId{workspace, request});
}

bool LedgerFold::claimRefused(const WorkspaceId &workspace, const GrantId &grant) const
{
    const auto found = budgets_.find(workspace);
    if (found == budgets_.end()) {
        return false;
    }
    const std::vector<GrantId> &refusedClaims = found->second.refused;
    return std::find(refusedClaims.begin(), refusedClaims.end(), grant) != refusedClaims.end();
}

std::vector<const LedgerGrant *> LedgerFold::grantsOf(const WorkspaceId &workspace) const
{
    std::vector<const LedgerGrant *> result;
    const auto found = budgets_.find(workspace);
    if (found == budgets_.end()) {
        return result;
    }
    for (const GrantId &id : found->second.live) {
        result.push_back(grant(id));
    }
    return result;
}

std::vector<const LedgerGrant *> LedgerFold::grantsIn(const GrantIndex &index,
                                                      const Incarnation &incarnation) const
{
    std::vector<const LedgerGrant *> result;
    const auto found = index.find(incarnation);
    if (found == index.end()) {
        return result;
    }
    for (const GrantId &id : found->second) {
        result.push_back(grant(id));
    }
    std::sort(result.begin(), result.end(), [](const LedgerGrant *left, const LedgerGrant *right) {
        return left->id < right->id;
    });
    return result;
}

std::vector<const LedgerGrant *> LedgerFold::grantsHeldBy(const Incarnation &incarnation) const
{
    return grantsIn(byHolder_, incarnation);
}

std::vector<const LedgerGrant *> LedgerFold::grantsWitnessedBy(const Incarnation &incarnation) const
{
    return grantsIn(byWitness_, incarnation);
}

bool LedgerFold::folded(const Incarnation &writer, uint64_t sequence) const
{
    const auto found = writers_.find(writer);
    return found != writers_.end() && sequence <= found->second;
}

wire::BudgetState LedgerFold::budgetState(const WorkspaceId &workspace,
                                          const BudgetEntry &entry) const
{
    wire::BudgetState state;
    state.set_workspace(workspace.text());
    state.set_total_tokens(entry.budget.total);
    state.set_allocated_tokens(entry.budget.allocated);
    state.set_config_version(entry.budget.configVersion);
    state.set_unmet_tokens(entry.budget.unmetTokens);
    state.set_billed_tokens(entry.budget.billed);
    // Ended grants in the order in which they ended, since the oldest is removed first.
    for (const GrantId &id : entry.ended) {
        *state.add_grants() = grantState(grants_.at(id));
    }
    for (const GrantId &id : entry.live) {
        *state.add_grants() = grantState(grants_.at(id));
    }
    for (const GrantId &id : entry.refused) {
        state.add_refused_claims(id.text());
    }
    return state;
}

wire::LedgerState LedgerFold::checkpoint() const
{
    wire::LedgerState state;
    state.set_offset(nextOffset_);
    for (const auto *entry : sortedEntries(budgets_)) {
        *state.add_budgets() = budgetState(entry->first, entry->second);
    }
    const auto byRun = [](const RunId &left, const RunId &right) {
        return std::tie(left.workspace, left.key) < std::tie(right.workspace, right.key);
    };
    for (const auto *entry : sortedEntries(runs_, byRun)) {
        wire::RunState *run = state.add_runs();
        *run->mutable_claim() = entry->second.claim;
        run->set_writer(entry->second.writer.text());
        run->set_offset(entry->second.offset);
        if (entry->second.outcome) {
            *run->mutable_outcome() = *entry->second.outcome;
        }
    }
    const auto byBill = [](const BillId &left, const BillId &right) {
        return std::tie(left.workspace, left.request) < std::tie(right.workspace, right.request);
    };
    for (const auto *entry : sortedEntries(bills_, byBill)) {
        wire::BillKey *bill = state.add_bills();
        bill->set_workspace(entry->first.workspace.text());
        bill->set_request(entry->first.request.text());
        bill->set_tokens(entry->second);
    }
    for (const auto *entry : sortedEntries(writers_)) {
        wire::WriterMark *mark = state.add_writers();
        mark->set_writer(entry->first.text());
        mark->set_sequence(entry->second);
    }
    return state;
}

void LedgerFold::restoreBudget(const wire::BudgetState &state)
{
    BudgetEntry &entry = budgets_[WorkspaceId(state.workspace())];
    entry.budget.total = state.total_tokens();
    entry.budget.allocated = state.allocated_tokens();
    entry.budget.configVersion = state.config_version();
    entry.budget.unmetTokens = state.unmet_tokens();
    entry.budget.billed = state.billed_tokens();
    for (const wire::GrantState &grant : state.grants()) {
        addGrant(entry, grantFromState(grant));
    }
    for (const std::string &claim : state.refused_claims()) {
        entry.refused.emplace_back(claim);
    }
}

void LedgerFold::restore(const wire::LedgerState &state)
{
    assert(state.offset() >= nextOffset_ && "a reader never goes back");
    *this = LedgerFold(safeguards_);
    nextOffset_ = state.offset();
    for (const wire::BudgetState &budget : state.budgets()) {
        restoreBudget(budget);
    }
    for (const wire::RunState &run : state.runs()) {
        LedgerRun &entry =
                runs_[RunId{WorkspaceId(run.claim().workspace()), RunKey(run.claim().key())}];
        entry.claim = run.claim();
        entry.writer = Incarnation(run.writer());
        entry.offset = run.offset();
        if (run.has_outcome()) {
            entry.outcome = run.outcome();
        }
    }
    for (const wire::BillKey &bill : state.bills()) {
        bills_[BillId{WorkspaceId(bill.workspace()), RequestId(bill.request())}] = bill.tokens();
    }
    for (const wire::WriterMark &mark : state.writers()) {
        writers_[Incarnation(mark.writer())] = mark.sequence();
    }
}

} // namespace sequoiagate
