#include "sequoiagate/Ledger/LedgerFold.h"

#include <gtest/gtest.h>

#include "unittests/Support/LedgerRecords.h"

using namespace sequoiagate;
using namespace sequoiagate::records;

namespace {

constexpr FoldOutcome Accepted = FoldOutcome::Accepted;
constexpr FoldOutcome Refused = FoldOutcome::Refused;
constexpr FoldOutcome Duplicate = FoldOutcome::Duplicate;

struct Step
{
    wire::Record record;
    FoldOutcome outcome;
    uint64_t refund = 0;
};

struct History
{
    const char *name;
    std::vector<Step> steps;
    uint64_t allocated; ///< of workspace w, at the end
};

/// Every row starts with 100 tokens of workspace w, funded by version 1.
const History Histories[] = {
        {"ClaimDebits", {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted}}, 60},
        {"ClaimOverRemainder",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("b", 1, claim("h", "w", 41, "b", "a")), Refused},
          {from("b", 2, claim("i", "w", 40, "b", "a")), Accepted}},
         100},
        {"ClaimOfUnfundedWorkspace", {{from("a", 1, claim("g", "v", 1, "a", "b")), Refused}}, 0},
        {"ClaimForAnotherHolder", {{from("a", 1, claim("g", "w", 1, "b", "a")), Refused}}, 0},
        {"ClaimOwnWitness", {{from("a", 1, claim("g", "w", 1, "a", "a")), Refused}}, 0},
        {"DuplicateClaimId",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 2, claim("g", "w", 10, "a", "b")), Refused}},
         60},
        {"ResentClaimCountsOnce",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 1, claim("g", "w", 60, "a", "b")), Duplicate}},
         60},
        {"DelayedCopyOfReturn",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 2, giveBack("g", 20)), Accepted, 20},
          {from("a", 3, giveBack("g", 10)), Accepted, 10},
          {from("a", 2, giveBack("g", 20)), Duplicate}},
         30},
        {"SealRefundsUnsigned",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("b", 1, seal("g", 25)), Accepted, 35},
          {from("a", 2, giveBack("g", 10)), Refused},
          {from("a", 3, close("g", 0)), Refused}},
         25},
        {"SealAfterReturnBelowSigned",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 2, giveBack("g", 40)), Accepted, 40},
          {from("b", 1, seal("g", 50)), Accepted, 0}},
         20},
        {"SealByAnotherKeeper",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("c", 1, seal("g", 0)), Refused}},
         60},
        {"RewitnessBeforeSeal",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 2, rewitness("g", 10, "c")), Accepted},
          {from("b", 1, seal("g", 10)), Refused},
          {from("c", 1, seal("g", 20)), Accepted, 40}},
         20},
        {"SealBeforeRewitness",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("b", 1, seal("g", 10)), Accepted, 50},
          {from("a", 2, rewitness("g", 10, "c")), Refused}},
         10},
        {"SealCountsBase",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 2, rewitness("g", 30, "c")), Accepted},
          {from("c", 1, seal("g", 0)), Accepted, 30}},
         30},
        {"RewitnessByAnotherKeeper",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("b", 1, rewitness("g", 0, "c")), Refused}},
         60},
        {"ReturnBelowBase",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 2, rewitness("g", 30, "c")), Accepted},
          {from("a", 3, giveBack("g", 31)), Refused},
          {from("a", 4, giveBack("g", 30)), Accepted, 30}},
         30},
        {"ReturnByAnotherKeeper",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("b", 1, giveBack("g", 1)), Refused}},
         60},
        {"CloseDebitsSpentTokens",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 2, close("g", 11)), Accepted, 49},
          {from("b", 1, seal("g", 0)), Refused}},
         11},
        {"AttestRequiresOperator",
         {{from("a", 1, claim("g", "w", 60, "a", "")), Accepted},
          {from("o", 1, attest("g", 20, "")), Refused},
          {from("o", 2, attest("g", 20, "rasa")), Accepted, 40},
          {from("o", 3, attest("g", 0, "rasa")), Refused}},
         20},
        {"LoweredTotalStopsClaims",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Accepted},
          {from("a", 2, funding("w", 2, 50)), Accepted},
          {from("a", 3, claim("h", "w", 1, "a", "b")), Refused},
          {from("a", 4, close("g", 20)), Accepted, 40},
          {from("a", 5, claim("i", "w", 30, "a", "b")), Accepted}},
         50},
        {"FundingOfOldVersion",
         {{from("a", 1, funding("w", 1, 500)), Refused},
          {from("a", 2, claim("h", "w", 101, "a", "b")), Refused}},
         0},
        {"MissingWriterOrSequence",
         {{from("", 1, claim("g", "w", 1, "", "b")), Refused},
          {from("a", 0, claim("g", "w", 1, "a", "b")), Refused}},
         0},
        {"ConfigRecordIsRefused",
         {{[] {
               wire::Record record;
               record.mutable_config_change();
               return from("a", 1, record);
           }(),
           Refused}},
         0},
};

class LedgerHistory : public testing::TestWithParam<History>
{};

TEST_P(LedgerHistory, OutcomesMatch)
{
    LedgerFold fold;
    ASSERT_EQ(fold.apply(from("operator", 1, funding("w", 1, 100)), 0).outcome, Accepted);
    int number = 0;
    for (const Step &step : GetParam().steps) {
        const FoldResult result = fold.apply(step.record, fold.nextOffset());
        EXPECT_EQ(result.outcome, step.outcome) << "step " << number << ": " << result.reason;
        EXPECT_EQ(result.refundTokens, step.refund) << "step " << number;
        ++number;
    }
    EXPECT_EQ(fold.budget(WorkspaceId("w"))->allocated, GetParam().allocated);
}

INSTANTIATE_TEST_SUITE_P(Rules, LedgerHistory, testing::ValuesIn(Histories),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(LedgerFold, ReportsUnmetDemandUntilClaimIsAccepted)
{
    LedgerFold fold;
    fold.apply(from("o", 1, funding("w", 1, 100)), 0);
    fold.apply(from("a", 1, claim("g", "w", 90, "a", "b")), 1);
    fold.apply(from("b", 1, claim("h", "w", 30, "b", "a")), 2);
    const WorkspaceId workspace("w");
    EXPECT_EQ(fold.budget(workspace)->unmetTokens, 30U);
    EXPECT_TRUE(fold.claimRefused(workspace, GrantId("h")));
    EXPECT_FALSE(fold.claimRefused(workspace, GrantId("g")));
    fold.apply(from("a", 2, giveBack("g", 50)), 3);
    fold.apply(from("b", 2, claim("i", "w", 30, "b", "a")), 4);
    EXPECT_EQ(fold.budget(workspace)->unmetTokens, 0U);
}

TEST(LedgerFold, IndexesGrantsByHolderAndWitness)
{
    LedgerFold fold;
    fold.apply(from("o", 1, funding("w", 1, 100)), 0);
    fold.apply(from("a", 1, claim("g", "w", 10, "a", "b")), 1);
    fold.apply(from("a", 2, claim("h", "w", 10, "a", "b")), 2);
    fold.apply(from("a", 3, rewitness("g", 0, "c")), 3);
    EXPECT_EQ(fold.grantsHeldBy(Incarnation("a")).size(), 2U);
    EXPECT_EQ(fold.grantsWitnessedBy(Incarnation("b")).size(), 1U);
    EXPECT_EQ(fold.grantsWitnessedBy(Incarnation("c")).size(), 1U);
    fold.apply(from("c", 1, seal("g", 0)), 4);
    EXPECT_TRUE(fold.grantsWitnessedBy(Incarnation("c")).empty());
    EXPECT_EQ(fold.grantsOf(WorkspaceId("w")).size(), 1U);
}

/// A request is billed once, though its router, its home keeper and a keeper that took over each
/// append the bill.
TEST(LedgerFold, BillsRequestOnce)
{
    LedgerFold fold;
    EXPECT_EQ(fold.apply(from("a", 1, bill("w", "r", 7)), 0).outcome, Accepted);
    EXPECT_EQ(fold.apply(from("b", 1, bill("w", "r", 9)), 1).outcome, Refused);
    EXPECT_EQ(fold.apply(from("a", 1, bill("w", "r", 7)), 2).outcome, Duplicate);
    EXPECT_EQ(fold.apply(from("a", 2, bill("v", "r", 1)), 3).outcome, Accepted);
    EXPECT_TRUE(fold.billed(WorkspaceId("w"), RequestId("r")));
    EXPECT_EQ(fold.budget(WorkspaceId("w"))->billed, 7U);
}

/// A run is claimed at two routers. The first claim in the log gets the key; the outcome reported
/// by the other claimer, which is faulty, changes nothing.
TEST(LedgerFold, FirstClaimerGetsKey)
{
    LedgerFold fold;
    EXPECT_EQ(fold.apply(from("a", 1, runClaim("w", "k", "first")), 0).outcome, Accepted);
    EXPECT_EQ(fold.apply(from("b", 1, runClaim("w", "k", "second")), 1).outcome, Refused);
    EXPECT_EQ(fold.apply(from("b", 2, runOutcome("w", "k", "second", wire::NOT_RUN)), 2).outcome,
              Refused);
    EXPECT_EQ(
            fold.apply(from("a", 2, runOutcome("w", "k", "first", wire::MAY_HAVE_RUN)), 3).outcome,
            Accepted);
    EXPECT_EQ(fold.apply(from("a", 3, runOutcome("w", "k", "first", wire::RAN)), 4).outcome,
              Accepted);
    EXPECT_EQ(fold.apply(from("a", 4, runOutcome("w", "k", "first", wire::NOT_RUN)), 5).outcome,
              Refused);
    const LedgerRun *run = fold.run(WorkspaceId("w"), RunKey("k"));
    ASSERT_NE(run, nullptr);
    EXPECT_EQ(run->writer, Incarnation("a"));
    EXPECT_EQ(run->outcome->execution(), wire::RAN);
}

/// A claim is appended after its claimer gave up and reported "not run". The caller's retry with
/// the same key is accepted; a late outcome of the first claimer changes nothing.
TEST(LedgerFold, KeyIsFreeAfterNotRun)
{
    LedgerFold fold;
    EXPECT_EQ(fold.apply(from("a", 1, runClaim("w", "k", "first")), 0).outcome, Accepted);
    EXPECT_EQ(fold.apply(from("b", 1, runClaim("w", "k", "early")), 1).outcome, Refused);
    EXPECT_EQ(fold.apply(from("a", 2, runOutcome("w", "k", "first", wire::NOT_RUN)), 2).outcome,
              Accepted);
    EXPECT_EQ(fold.apply(from("b", 2, runClaim("w", "k", "second")), 3).outcome, Accepted);
    EXPECT_EQ(fold.apply(from("c", 1, runClaim("w", "k", "third")), 4).outcome, Refused);
    EXPECT_EQ(fold.apply(from("a", 3, runOutcome("w", "k", "first", wire::NOT_RUN)), 5).outcome,
              Refused);
    EXPECT_EQ(fold.run(WorkspaceId("w"), RunKey("k"))->writer, Incarnation("b"));
}

/// A call was sent and its response lost. Whatever its claimer reports afterwards, the key stays
/// taken: a second claim would be a second run.
TEST(LedgerFold, KeyStaysTakenAfterMayHaveRun)
{
    LedgerFold fold;
    EXPECT_EQ(fold.apply(from("a", 1, runClaim("w", "k", "first")), 0).outcome, Accepted);
    EXPECT_EQ(
            fold.apply(from("a", 2, runOutcome("w", "k", "first", wire::MAY_HAVE_RUN)), 1).outcome,
            Accepted);
    EXPECT_EQ(fold.apply(from("a", 3, runOutcome("w", "k", "first", wire::NOT_RUN)), 2).outcome,
              Refused);
    EXPECT_EQ(fold.apply(from("b", 1, runClaim("w", "k", "second")), 3).outcome, Refused);
}

/// A keeper starts from a checkpoint that is older than the oldest record in the log. It must
/// refuse to serve, since it would miss debits and grant the same tokens again.
TEST(LedgerFold, RefusesToStartAcrossGap)
{
    EXPECT_NO_THROW(requireNoGap(10, 10));
    EXPECT_NO_THROW(requireNoGap(10, 3));
    EXPECT_THROW(requireNoGap(10, 11), LedgerGapError);
}

} // namespace
