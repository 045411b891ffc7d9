/// A holder's steps with the store, its peers, and the process that comes after it.

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/TokenHolder.h"

using namespace sequoiagate;

namespace {

const WorkspaceId W("w");
constexpr uint64_t Prepaid = 1000;
constexpr Instant Now{std::chrono::hours(1)};
constexpr Interval JustNow = Interval::zero();

TokenHolderSettings testSettings()
{
    TokenHolderSettings settings;
    settings.initialShare = 0.2;
    settings.idleShare = 1000.0;
    return settings;
}

/// A store that takes each batch at once, in order, and shows it to all.
class OneLog
{
public:
    void write(const std::vector<AllotmentRow> &rows, std::initializer_list<TokenHolder *> readers)
    {
        for (const AllotmentRow &row : rows) {
            for (TokenHolder *reader : readers) {
                reader->onRow(row, offset_, Now);
            }
            ++offset_;
        }
        for (TokenHolder *reader : readers) {
            reader->onReadUpTo(offset_);
        }
    }

private:
    uint64_t offset_ = 0;
};

class Holding : public testing::Test
{
protected:
    Holding() : a_(Incarnation("a"), testSettings()), b_(Incarnation("b"), testSettings())
    {
        for (TokenHolder *holder : {&a_, &b_}) {
            holder->setBudgets({{W, Prepaid}}, now_);
            holder->setHolderCount(2);
            holder->setStoreReachable(true);
        }
    }

    void round(TokenHolder &holder)
    {
        const auto rows = holder.nextBatch(now_);
        if (rows) {
            log_.write(*rows, {&a_, &b_});
            holder.onBatchWritten();
        }
    }

    Instant now_ = Now;
    OneLog log_;
    TokenHolder a_;
    TokenHolder b_;
};

TEST_F(Holding, NothingIsSpentBeforeItsClaimIsReadBack)
{
    const auto rows = a_.nextBatch(now_);
    ASSERT_TRUE(rows);
    EXPECT_FALSE(a_.reserve(W, 10, now_));
    log_.write(*rows, {&a_, &b_});
    EXPECT_TRUE(a_.reserve(W, 10, now_));
}

TEST_F(Holding, WorkspaceWithoutABudgetIsntBounded)
{
    EXPECT_TRUE(a_.reserve(WorkspaceId("free"), 1'000'000, now_));
}

// Both holders would spend the same tokens: their claims are written at the same time, and
// each was composed before the other's was seen.
TEST_F(Holding, ClaimsThatRaceNeverFitTogetherBeyondTheBudget)
{
    a_.reserve(W, 700, now_);
    b_.reserve(W, 700, now_);
    const auto fromA = a_.nextBatch(now_);
    const auto fromB = b_.nextBatch(now_);
    log_.write(*fromA, {&a_, &b_});
    log_.write(*fromB, {&a_, &b_});
    EXPECT_LE(a_.usable(W) + b_.usable(W), Prepaid);
    EXPECT_GE(a_.usable(W), 700U);
    // What was claimed in vain is corrected, and the rest can be had.
    round(b_);
    EXPECT_EQ(a_.unallotted(W), Prepaid - a_.usable(W) - b_.usable(W));
}

TEST_F(Holding, LoweredBudgetTakesBackWhatIsntSpent)
{
    round(a_);
    ASSERT_TRUE(a_.reserve(W, 20, now_));
    a_.setBudgets({{W, 30}}, now_);
    EXPECT_EQ(a_.usable(W), 0U);
    a_.settle(W, 20, 5, now_);
    EXPECT_EQ(a_.usable(W), 0U);
    round(a_);
    round(a_);
    EXPECT_LE(a_.usable(W) + a_.spent(W), 30U);
}

// Guards against asking for one waiting request at a time, so that the others time out.
TEST_F(Holding, AsksForAllRequestsThatWait)
{
    ASSERT_FALSE(b_.reserve(W, 70, now_));
    b_.setRequiredTokens(W, 70 + 50);
    const std::vector<TokenRequest> asks = b_.peerRequests(now_);
    ASSERT_EQ(asks.size(), 1U);
    EXPECT_EQ(asks[0].need, 120U);
    b_.setRequiredTokens(W, 0);
    EXPECT_TRUE(b_.peerRequests(now_ + std::chrono::seconds(1)).empty());
}

TEST_F(Holding, MovedTokensLeaveTheirGiverFirst)
{
    round(a_);
    round(b_);
    const uint64_t before = a_.usable(W) + b_.usable(W);
    ASSERT_FALSE(b_.reserve(W, 70, now_));
    const std::vector<TokenRequest> asks = b_.peerRequests(now_);
    ASSERT_EQ(asks.size(), 1U);
    // The row lets it move a part of that at once, the rest when it says so.
    uint64_t moved = a_.transferOut(asks[0], now_);
    EXPECT_LT(moved, asks[0].need);
    round(a_);
    moved += a_.transferOut(asks[0], now_);
    EXPECT_GE(moved, asks[0].need);
    EXPECT_EQ(a_.usable(W) + b_.usable(W) + moved, before);
    b_.transferIn(W, moved, now_);
    EXPECT_EQ(a_.usable(W) + b_.usable(W), before);
}

// Guards against holding tokens for an ask that was met elsewhere as long as other asks arrive.
TEST(HomeHolding, HoldsNothingForAnAskThatIsLongOver)
{
    TokenHolderSettings settings;
    settings.idleShare = 0; // holds only what is asked for
    TokenHolder home(Incarnation("home"), settings);
    home.setBudgets({{W, Prepaid}}, Now);
    home.setHomes(W, 1, true);
    home.setStoreReachable(true);
    OneLog log;
    Instant now = Now;
    const auto write = [&] {
        if (const auto rows = home.nextBatch(now)) {
            log.write(*rows, {&home});
            home.onBatchWritten();
        }
    };
    EXPECT_EQ(home.transferOut({W, 200, 0, 0, 0}, now), 0U);
    write();
    EXPECT_EQ(home.usable(W), 200U);
    for (int ask = 0; ask < 10; ++ask) {
        now += std::chrono::milliseconds(500);
        write();
        home.transferOut({W, 10, 0, 0, 0}, now);
        write();
    }
    EXPECT_LE(home.usable(W), 10U);
}

TEST_F(Holding, StopGivesBackAllThatIsntReserved)
{
    round(a_);
    ASSERT_TRUE(a_.reserve(W, 20, now_));
    a_.returnAll();
    round(a_);
    EXPECT_EQ(b_.unallotted(W), Prepaid - 20);
}

// The workspace is refused though nobody spent its tokens: the process that held them was
// killed. The next one on its host knows from the last batch how much was used at most.
TEST_F(Holding, SealGivesBackWhatADeadHolderDidntUse)
{
    round(a_);
    round(a_);
    ASSERT_TRUE(a_.reserve(W, 1, now_));
    const uint64_t unallotted = b_.unallotted(W);
    const std::vector<AllotmentRow> seal = b_.sealRows(Incarnation("a"), JustNow);
    ASSERT_EQ(seal.size(), 1U);
    EXPECT_GE(seal[0].allotment.tokens, 1U);
    log_.write(seal, {&b_});
    EXPECT_GT(b_.unallotted(W), unallotted);
}

// The budget is overspent: a holder used more than its last row says, died, and its row was
// believed. It keeps to the row until the batch is so old that nobody believes it.
TEST_F(Holding, KeepsToItsRowUntilTheBatchIsTooOldToBeBelieved)
{
    round(a_);
    round(a_);
    const uint64_t held = a_.usable(W);
    const std::vector<AllotmentRow> seal = b_.sealRows(Incarnation("a"), JustNow);
    ASSERT_EQ(seal.size(), 1U);
    ASSERT_LT(seal[0].allotment.tokens, held);
    a_.setStoreReachable(false);
    EXPECT_FALSE(a_.reserve(W, held, now_));
    now_ += testSettings().batchValidity;
    EXPECT_TRUE(a_.reserve(W, held, now_));
}

// The budget is overspent: with the store back, a batch vouched for a row that says less
// than was used without it, since no claim or window asked for that row.
TEST_F(Holding, FirstBatchAfterAnOutageCorrectsTheRow)
{
    round(a_);
    round(a_);
    a_.setStoreReachable(false);
    now_ += testSettings().batchValidity;
    const uint64_t held = a_.usable(W);
    ASSERT_TRUE(a_.reserve(W, held, now_));
    a_.settle(W, held, held, now_);
    now_ += std::chrono::minutes(1);
    a_.setStoreReachable(true);
    round(a_);
    const std::vector<AllotmentRow> seal = b_.sealRows(Incarnation("a"), JustNow);
    EXPECT_TRUE(seal.empty() || seal[0].allotment.tokens >= held);
}

// A workspace stays refused though a dead holder left tokens: nobody knows how long that one had
// been cut off, so it may have used all. With a bound, it may have used what its row allowed
// until then, and that grows with the time.
TEST_F(Holding, SealGivesBackLessTheLongerTheHolderMayHaveBeenCutOff)
{
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(a_.reserve(W, i == 0 ? 0 : 20, now_));
        round(a_);
    }
    const Interval spans[] = {JustNow, std::chrono::seconds(2), testSettings().batchValidity};
    uint64_t before = 0;
    for (const Interval span : spans) {
        const std::vector<AllotmentRow> seal = b_.sealRows(Incarnation("a"), span);
        ASSERT_EQ(seal.size(), 1U);
        EXPECT_GE(seal[0].allotment.tokens, before);
        before = seal[0].allotment.tokens;
    }
    const std::vector<AllotmentRow> unknown = b_.sealRows(Incarnation("a"), std::nullopt);
    ASSERT_EQ(unknown.size(), 1U);
    EXPECT_EQ(unknown[0].allotment.tokens, before);
    EXPECT_EQ(unknown[0].allotment.tokens, a_.usable(W) + 60);
}

// Callers of a workspace wait for a row with each request after their host's process started
// again, though its budget lasts for hours: the new process read what was used all day, took it
// for the use of this moment, and the budget for scarce.
TEST_F(Holding, UseBeforeTheStartIsntTakenForABurst)
{
    TokenHolder started(Incarnation("c"), testSettings());
    started.setBudgets({{W, Prepaid}}, now_);
    started.setHolderCount(2);
    started.setStoreReachable(true);
    started.onRow({W, Incarnation("old"), {800, 800, 0}}, 0, now_);
    started.onReadUpTo(1);
    ASSERT_FALSE(started.reserve(W, 10, now_));
    const auto rows = started.nextBatch(now_);
    ASSERT_TRUE(rows);
    ASSERT_EQ(rows->size(), 1U);
    started.onRow((*rows)[0], 1, now_);
    started.onReadUpTo(2);
    ASSERT_TRUE(started.reserve(W, 10, now_));
    started.noLongerShort(W);
    const auto next = started.nextBatch(now_);
    ASSERT_TRUE(next);
    ASSERT_EQ(next->size(), 1U);
    // Room for the next request, beyond the one that was served.
    EXPECT_GE((*next)[0].allotment.maxUsed, 20U);
}

struct UseCase
{
    const char *name;
    Allotment row;
    Interval elapsed;
    uint64_t used;
};

class UsedAfter : public testing::TestWithParam<UseCase>
{};

const UseCase UseCases[] = {
        {"AtOnce", {100, 20, 10}, std::chrono::seconds(0), 20},
        {"Later", {100, 20, 10}, std::chrono::seconds(2), 40},
        {"RoundedUp", {100, 20, 10}, std::chrono::milliseconds(1), 21},
        {"NeverMoreThanItHas", {100, 20, 10}, std::chrono::seconds(60), 100},
        {"WithoutPace", {100, 20, 0}, std::chrono::seconds(60), 20},
        {"HugePace", {100, 20, UINT64_MAX}, std::chrono::hours(9), 100},
};

TEST_P(UsedAfter, IsBounded)
{
    EXPECT_EQ(GetParam().row.usedAfter(GetParam().elapsed), GetParam().used);
}

INSTANTIATE_TEST_SUITE_P(Rows, UsedAfter, testing::ValuesIn(UseCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST_F(Holding, HeartbeatWithoutRowsIsInFlightUntilItIsWritten)
{
    round(a_);
    round(a_);
    round(a_);
    now_ += testSettings().heartbeat;
    const auto rows = a_.nextBatch(now_);
    ASSERT_TRUE(rows);
    EXPECT_TRUE(rows->empty());
    EXPECT_FALSE(a_.nextBatch(now_));
    a_.onBatchWritten();
    EXPECT_FALSE(a_.batchInFlight());
}

struct StateCase
{
    const char *name;
    uint64_t need;
    bool reachable;
    BudgetState state;
};

class HoldingState : public testing::TestWithParam<StateCase>
{};

const StateCase StateCases[] = {
        {"FromTheStore", 500, true, BudgetState::Available},
        {"MoreThanWasPaidFor", 1001, true, BudgetState::Exhausted},
        {"MoreThanIsKnownToBePaidForWithoutStore", 1001, false, BudgetState::Unreachable},
        {"StoreAway", 500, false, BudgetState::Unreachable},
};

TEST_P(HoldingState, IsTold)
{
    TokenHolder holder(Incarnation("a"), testSettings());
    holder.setBudgets({{W, Prepaid}}, Instant());
    holder.setStoreReachable(GetParam().reachable);
    EXPECT_EQ(holder.budgetState(W, GetParam().need), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(Rows, HoldingState, testing::ValuesIn(StateCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(AllotmentTable, OlderRowsAreIgnored)
{
    AllotmentTable table;
    table.set({W, Incarnation("a"), {50, 10, 0}}, 7);
    table.set({W, Incarnation("a"), {20, 0, 0}}, 3);
    table.set({W, Incarnation("b"), {5, 0, 0}}, 4);
    EXPECT_EQ(table.allotted(W), 55U);
}

} // namespace
