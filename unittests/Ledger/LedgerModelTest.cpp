#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "sequoiagate/Ledger/LedgerFold.h"
#include "unittests/Support/LedgerRecords.h"

using namespace sequoiagate;
using namespace sequoiagate::records;

namespace {

std::string oneOf(const std::vector<std::string> &names)
{
    return *rc::gen::elementOf(names);
}

/// A record with any body. The few different names make records interact.
wire::Record anyBody()
{
    const std::vector<std::string> keepers = {"a", "b", "c"};
    const std::vector<std::string> grants = {"g1", "g2", "g3", "g4"};
    const auto tokens = *rc::gen::inRange<uint64_t>(0, 60);
    switch (*rc::gen::inRange(0, 10)) {
    case 0:
        return funding("w", *rc::gen::inRange<uint64_t>(1, 4), tokens * 4);
    case 1:
        return giveBack(oneOf(grants), tokens / 4);
    case 2:
        return seal(oneOf(grants), tokens);
    case 3:
        return rewitness(oneOf(grants), tokens, oneOf(keepers));
    case 4:
        return close(oneOf(grants), tokens);
    case 5:
        return attest(oneOf(grants), tokens, "rasa");
    case 6:
        return bill("w", oneOf({"r1", "r2", "r3"}), tokens);
    case 7:
        return runClaim("w", oneOf({"k1", "k2"}), oneOf({"x", "y"}));
    case 8:
        return runOutcome("w", oneOf({"k1", "k2"}), oneOf({"x", "y"}), wire::RAN);
    default:
        return claim(oneOf(grants), "w", tokens, oneOf(keepers), oneOf(keepers));
    }
}

/// A log of several writers: each writer's sequences are in order, with immediate and delayed
/// copies of resent records in between.
std::vector<wire::Record> anyLog()
{
    std::vector<wire::Record> log;
    std::map<std::string, uint64_t> sequences;
    log.push_back(from("operator", 1, funding("w", 1, 100)));
    const int length = *rc::gen::inRange(1, 80);
    for (int step = 0; step < length; ++step) {
        if (*rc::gen::inRange(0, 5) == 0) {
            log.push_back(log[*rc::gen::inRange<std::size_t>(0, log.size())]);
            continue;
        }
        wire::Record body = anyBody();
        const std::string writer =
                body.has_grant_claim() ? body.grant_claim().holder() : oneOf({"a", "b", "c"});
        ++sequences[writer];
        log.push_back(from(writer, sequences[writer], std::move(body)));
    }
    return log;
}

void foldAll(LedgerFold &fold, const std::vector<wire::Record> &log)
{
    while (fold.nextOffset() < log.size()) {
        const uint64_t offset = fold.nextOffset();
        fold.apply(log[offset], offset);
    }
}

/// A keeper that starts from a checkpoint sent over the network must have the same state as one
/// that read the whole log: otherwise they would decide differently about a claim.
RC_GTEST_PROP(LedgerModel, CheckpointAndRemainingLogEqualWholeLog, ())
{
    const std::vector<wire::Record> log = anyLog();
    LedgerFold whole;
    foldAll(whole, log);
    const auto cut = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
    LedgerFold first;
    foldAll(first, {log.begin(), log.begin() + static_cast<std::ptrdiff_t>(cut)});
    wire::LedgerState state;
    RC_ASSERT(state.ParseFromString(first.checkpoint().SerializeAsString()));
    LedgerFold resumed;
    resumed.restore(state);
    RC_ASSERT(resumed.checkpoint().SerializeAsString() == state.SerializeAsString());
    foldAll(resumed, log);
    RC_ASSERT(resumed.checkpoint().SerializeAsString() == whole.checkpoint().SerializeAsString());
}

/// Appends whose responses were lost are resent, immediately or much later. However many copies the
/// log contains, the state equals that of the log with only the first copies.
RC_GTEST_PROP(LedgerModel, DuplicatesChangeNothing, ())
{
    const std::vector<wire::Record> log = anyLog();
    std::vector<wire::Record> firstCopies;
    LedgerFold withDuplicates;
    for (const wire::Record &record : log) {
        const FoldResult result = withDuplicates.apply(record, withDuplicates.nextOffset());
        if (result.outcome != FoldOutcome::Duplicate) {
            firstCopies.push_back(record);
        }
    }
    LedgerFold withoutDuplicates;
    foldAll(withoutDuplicates, firstCopies);
    wire::LedgerState left = withDuplicates.checkpoint();
    wire::LedgerState right = withoutDuplicates.checkpoint();
    // Copies take up offsets; nothing else may differ.
    for (wire::LedgerState *state : {&left, &right}) {
        state->clear_offset();
        for (wire::RunState &run : *state->mutable_runs()) {
            run.clear_offset();
        }
    }
    RC_ASSERT(left.SerializeAsString() == right.SerializeAsString());
}

/// The allocated tokens are exactly those that open grants may spend and those that ended grants
/// counted as spent, in any order of seals, returns, closes and attestations.
RC_GTEST_PROP(LedgerModel, AllocatedEqualsSpendableTokensOfGrants, ())
{
    LedgerFold fold;
    for (const wire::Record &record : anyLog()) {
        fold.apply(record, fold.nextOffset());
        const wire::LedgerState state = fold.checkpoint();
        for (const wire::BudgetState &budget : state.budgets()) {
            uint64_t sum = 0;
            for (const wire::GrantState &grant : budget.grants()) {
                sum += grant.ended() ? std::min(grant.tokens(), grant.base_signed())
                                     : grant.tokens();
            }
            RC_ASSERT(sum == budget.allocated_tokens());
        }
    }
}

} // namespace
