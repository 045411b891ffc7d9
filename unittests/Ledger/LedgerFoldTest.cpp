#include "sequoiagate/Ledger/LedgerFold.h"

#include <gtest/gtest.h>

#include "unittests/Support/LedgerRecords.h"

using namespace sequoiagate;
using namespace sequoiagate::records;

namespace {

constexpr FoldOutcome Yes = FoldOutcome::Accepted;
constexpr FoldOutcome No = FoldOutcome::Refused;
constexpr FoldOutcome Twice = FoldOutcome::Duplicate;

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

/// Every row starts from 100 tokens of workspace w, funded from version 1.
const History Histories[] = {
        {"ClaimDebits", {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes}}, 60},
        {"ClaimOverRemainder",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("b", 1, claim("h", "w", 41, "b", "a")), No},
          {from("b", 2, claim("i", "w", 40, "b", "a")), Yes}},
         100},
        {"ClaimOfUnfunded", {{from("a", 1, claim("g", "v", 1, "a", "b")), No}}, 0},
        {"ClaimForAnother", {{from("a", 1, claim("g", "w", 1, "b", "a")), No}}, 0},
        {"ClaimOwnWitness", {{from("a", 1, claim("g", "w", 1, "a", "a")), No}}, 0},
        {"ClaimIdTwice",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 2, claim("g", "w", 10, "a", "b")), No}},
         60},
        {"ResentClaimCountsOnce",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 1, claim("g", "w", 60, "a", "b")), Twice}},
         60},
        {"LateCopyOfReturn",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 2, giveBack("g", 20)), Yes, 20},
          {from("a", 3, giveBack("g", 10)), Yes, 10},
          {from("a", 2, giveBack("g", 20)), Twice}},
         30},
        {"SealRefundsUnsigned",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("b", 1, seal("g", 25)), Yes, 35},
          {from("a", 2, giveBack("g", 10)), No},
          {from("a", 3, close("g", 0)), No}},
         25},
        {"SealAfterReturnBelowSigned",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 2, giveBack("g", 40)), Yes, 40},
          {from("b", 1, seal("g", 50)), Yes, 0}},
         20},
        {"SealByAnother",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes}, {from("c", 1, seal("g", 0)), No}},
         60},
        {"RewitnessBeforeSeal",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 2, rewitness("g", 10, "c")), Yes},
          {from("b", 1, seal("g", 10)), No},
          {from("c", 1, seal("g", 20)), Yes, 40}},
         20},
        {"SealBeforeRewitness",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("b", 1, seal("g", 10)), Yes, 50},
          {from("a", 2, rewitness("g", 10, "c")), No}},
         10},
        {"SealCountsTheBase",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 2, rewitness("g", 30, "c")), Yes},
          {from("c", 1, seal("g", 0)), Yes, 30}},
         30},
        {"RewitnessByAnother",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("b", 1, rewitness("g", 0, "c")), No}},
         60},
        {"ReturnUnderTheBase",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 2, rewitness("g", 30, "c")), Yes},
          {from("a", 3, giveBack("g", 31)), No},
          {from("a", 4, giveBack("g", 30)), Yes, 30}},
         30},
        {"ReturnByAnother",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes}, {from("b", 1, giveBack("g", 1)), No}},
         60},
        {"CloseKeepsSpent",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 2, close("g", 11)), Yes, 49},
          {from("b", 1, seal("g", 0)), No}},
         11},
        {"AttestNamesItsOperator",
         {{from("a", 1, claim("g", "w", 60, "a", "")), Yes},
          {from("o", 1, attest("g", 20, "")), No},
          {from("o", 2, attest("g", 20, "rasa")), Yes, 40},
          {from("o", 3, attest("g", 0, "rasa")), No}},
         20},
        {"LoweredTotalStopsClaims",
         {{from("a", 1, claim("g", "w", 60, "a", "b")), Yes},
          {from("a", 2, funding("w", 2, 50)), Yes},
          {from("a", 3, claim("h", "w", 1, "a", "b")), No},
          {from("a", 4, close("g", 20)), Yes, 40},
          {from("a", 5, claim("i", "w", 30, "a", "b")), Yes}},
         50},
        {"FundingOfAnOldVersion",
         {{from("a", 1, funding("w", 1, 500)), No},
          {from("a", 2, claim("h", "w", 101, "a", "b")), No}},
         0},
        {"NoWriter",
         {{from("", 1, claim("g", "w", 1, "", "b")), No},
          {from("a", 0, claim("g", "w", 1, "a", "b")), No}},
         0},
        {"ConfigRecordIsNoneOfOurs",
         {{[] {
               wire::Record record;
               record.mutable_config_change();
               return from("a", 1, record);
           }(),
           No}},
         0},
};

class LedgerHistory : public testing::TestWithParam<History>
{};

TEST_P(LedgerHistory, HasTheseOutcomes)
{
    LedgerFold fold;
    ASSERT_EQ(fold.apply(from("operator", 1, funding("w", 1, 100)), 0).outcome, Yes);
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

TEST(LedgerFold, ShowsUnmetDemandUntilAClaimIsMet)
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

/// The caller sees its request billed once. Its router and its home keeper both
/// append the bill, and a third copy comes from a keeper that took over.
TEST(LedgerFold, BillsARequestOnce)
{
    LedgerFold fold;
    EXPECT_EQ(fold.apply(from("a", 1, bill("w", "r", 7)), 0).outcome, Yes);
    EXPECT_EQ(fold.apply(from("b", 1, bill("w", "r", 9)), 1).outcome, No);
    EXPECT_EQ(fold.apply(from("a", 1, bill("w", "r", 7)), 2).outcome, Twice);
    EXPECT_EQ(fold.apply(from("a", 2, bill("v", "r", 1)), 3).outcome, Yes);
    EXPECT_TRUE(fold.billed(WorkspaceId("w"), RequestId("r")));
    EXPECT_EQ(fold.budget(WorkspaceId("w"))->billed, 7U);
}

/// A booking is claimed at two routers. The log's first claim holds the key; the
/// other's outcome, which can only come from a confused claimer, changes nothing.
TEST(LedgerFold, GivesAKeyToItsFirstClaimer)
{
    LedgerFold fold;
    EXPECT_EQ(fold.apply(from("a", 1, runClaim("w", "k", "first")), 0).outcome, Yes);
    EXPECT_EQ(fold.apply(from("b", 1, runClaim("w", "k", "second")), 1).outcome, No);
    EXPECT_EQ(fold.apply(from("b", 2, runOutcome("w", "k", "second", wire::NOT_RUN)), 2).outcome,
              No);
    EXPECT_EQ(
            fold.apply(from("a", 2, runOutcome("w", "k", "first", wire::MAY_HAVE_RUN)), 3).outcome,
            Yes);
    EXPECT_EQ(fold.apply(from("a", 3, runOutcome("w", "k", "first", wire::RAN)), 4).outcome, Yes);
    EXPECT_EQ(fold.apply(from("a", 4, runOutcome("w", "k", "first", wire::NOT_RUN)), 5).outcome,
              No);
    const LedgerRun *run = fold.run(WorkspaceId("w"), RunKey("k"));
    ASSERT_NE(run, nullptr);
    EXPECT_EQ(run->writer, Incarnation("a"));
    EXPECT_EQ(run->outcome->execution(), wire::RAN);
}

/// A claim lands after its claimer gave up and said "not run". Its caller comes back
/// under the same key and is served; the first claimer's late word changes nothing.
TEST(LedgerFold, FreesAKeyWhoseCallWasNotRun)
{
    LedgerFold fold;
    EXPECT_EQ(fold.apply(from("a", 1, runClaim("w", "k", "first")), 0).outcome, Yes);
    EXPECT_EQ(fold.apply(from("b", 1, runClaim("w", "k", "early")), 1).outcome, No);
    EXPECT_EQ(fold.apply(from("a", 2, runOutcome("w", "k", "first", wire::NOT_RUN)), 2).outcome,
              Yes);
    EXPECT_EQ(fold.apply(from("b", 2, runClaim("w", "k", "second")), 3).outcome, Yes);
    EXPECT_EQ(fold.apply(from("c", 1, runClaim("w", "k", "third")), 4).outcome, No);
    EXPECT_EQ(fold.apply(from("a", 3, runOutcome("w", "k", "first", wire::NOT_RUN)), 5).outcome,
              No);
    EXPECT_EQ(fold.run(WorkspaceId("w"), RunKey("k"))->writer, Incarnation("b"));
}

/// A call was sent and its answer lost. Whatever its claimer says afterwards, the key
/// stays taken: a second claim would be a second run.
TEST(LedgerFold, NeverFreesAKeyWhoseCallMayHaveRun)
{
    LedgerFold fold;
    EXPECT_EQ(fold.apply(from("a", 1, runClaim("w", "k", "first")), 0).outcome, Yes);
    EXPECT_EQ(
            fold.apply(from("a", 2, runOutcome("w", "k", "first", wire::MAY_HAVE_RUN)), 1).outcome,
            Yes);
    EXPECT_EQ(fold.apply(from("a", 3, runOutcome("w", "k", "first", wire::NOT_RUN)), 2).outcome,
              No);
    EXPECT_EQ(fold.apply(from("b", 1, runClaim("w", "k", "second")), 3).outcome, No);
}

/// A keeper starts from a checkpoint that is older than the oldest record kept. It
/// would miss debits and grant the same tokens again, so it has to refuse to serve.
TEST(LedgerFold, RefusesToStartOverAGap)
{
    EXPECT_NO_THROW(requireNoGap(10, 10));
    EXPECT_NO_THROW(requireNoGap(10, 3));
    EXPECT_THROW(requireNoGap(10, 11), LedgerGapError);
}

} // namespace
