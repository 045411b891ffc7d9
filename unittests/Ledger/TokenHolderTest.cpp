/// A holder's interaction with the store, its peers, and the next process on its host.

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/TokenHolder.h"

using namespace sequoiagate;

namespace {

const WorkspaceId Workspace("w");
constexpr uint64_t Prepaid = 1000;
constexpr Instant Now{std::chrono::hours(1)};
constexpr Interval NoTime = Interval::zero();

TokenHolderSettings testSettings()
{
    TokenHolderSettings settings;
    settings.initialShare = 0.2;
    settings.maxIdleShare = 1000.0;
    return settings;
}

/// A store that accepts each batch immediately, in order, and is read by all holders.
class TestStore
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

class TokenHolderTest : public testing::Test
{
protected:
    TokenHolderTest() : a_(Incarnation("a"), testSettings()), b_(Incarnation("b"), testSettings())
    {
        for (TokenHolder *holder : {&a_, &b_}) {
            holder->setBudgets({{Workspace, Prepaid}}, now_);
            holder->setHolderCount(2);
            holder->setStoreReachable(true);
        }
    }

    void writeBatch(TokenHolder &holder)
    {
        const auto rows = holder.nextBatch(now_);
        if (rows) {
            store_.write(*rows, {&a_, &b_});
            holder.onBatchWritten();
        }
    }

    Instant now_ = Now;
    TestStore store_;
    TokenHolder a_;
    TokenHolder b_;
};

TEST_F(TokenHolderTest, NothingIsSpentBeforeClaimIsReadBack)
{
    const auto rows = a_.nextBatch(now_);
    ASSERT_TRUE(rows);
    EXPECT_FALSE(a_.reserve(Workspace, 10, now_));
    store_.write(*rows, {&a_, &b_});
    EXPECT_TRUE(a_.reserve(Workspace, 10, now_));
}

TEST_F(TokenHolderTest, WorkspaceWithoutBudgetIsUnlimited)
{
    EXPECT_TRUE(a_.reserve(WorkspaceId("free"), 1'000'000, now_));
}

// Guards against both holders spending the same tokens: their claims are written at the same time,
// and each was composed before the other one was read.
TEST_F(TokenHolderTest, ConcurrentClaimsNeverExceedBudget)
{
    a_.reserve(Workspace, 700, now_);
    b_.reserve(Workspace, 700, now_);
    const auto fromA = a_.nextBatch(now_);
    const auto fromB = b_.nextBatch(now_);
    store_.write(*fromA, {&a_, &b_});
    store_.write(*fromB, {&a_, &b_});
    EXPECT_LE(a_.usable(Workspace) + b_.usable(Workspace), Prepaid);
    EXPECT_GE(a_.usable(Workspace), 700U);
    // The part of the claim that was not accepted is corrected, and the rest can be claimed.
    writeBatch(b_);
    EXPECT_EQ(a_.unallotted(Workspace), Prepaid - a_.usable(Workspace) - b_.usable(Workspace));
}

TEST_F(TokenHolderTest, LoweredBudgetReturnsUnspentTokens)
{
    writeBatch(a_);
    ASSERT_TRUE(a_.reserve(Workspace, 20, now_));
    a_.setBudgets({{Workspace, 30}}, now_);
    EXPECT_EQ(a_.usable(Workspace), 0U);
    a_.settle(Workspace, 20, 5, now_);
    EXPECT_EQ(a_.usable(Workspace), 0U);
    writeBatch(a_);
    writeBatch(a_);
    EXPECT_LE(a_.usable(Workspace) + a_.spent(Workspace), 30U);
}

// Guards against requesting tokens for one waiting request at a time, so that the others time out.
TEST_F(TokenHolderTest, RequestsTokensForAllWaitingRequests)
{
    ASSERT_FALSE(b_.reserve(Workspace, 70, now_));
    b_.setRequiredTokens(Workspace, 70 + 50);
    const std::vector<TokenRequest> requests = b_.peerRequests(now_);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].need, 120U);
    b_.setRequiredTokens(Workspace, 0);
    EXPECT_TRUE(b_.peerRequests(now_ + std::chrono::seconds(1)).empty());
}

TEST_F(TokenHolderTest, TransferredTokensLeaveSenderFirst)
{
    writeBatch(a_);
    writeBatch(b_);
    const uint64_t before = a_.usable(Workspace) + b_.usable(Workspace);
    ASSERT_FALSE(b_.reserve(Workspace, 70, now_));
    const std::vector<TokenRequest> requests = b_.peerRequests(now_);
    ASSERT_EQ(requests.size(), 1U);
    // The row allows a part to be transferred at once, the rest after the next row.
    uint64_t transferred = a_.transferOut(requests[0], now_);
    EXPECT_LT(transferred, requests[0].need);
    writeBatch(a_);
    transferred += a_.transferOut(requests[0], now_);
    EXPECT_GE(transferred, requests[0].need);
    EXPECT_EQ(a_.usable(Workspace) + b_.usable(Workspace) + transferred, before);
    b_.transferIn(Workspace, transferred, now_);
    EXPECT_EQ(a_.usable(Workspace) + b_.usable(Workspace), before);
}

// Guards against tokens that stay unused at a home because none of the homes that were asked at
// once has enough alone.
TEST(TokenHolderHome, TransfersPartIfAllHomesAreAsked)
{
    TokenHolder home(Incarnation("home"), testSettings());
    home.setBudgets({{Workspace, Prepaid}}, Now);
    home.setHomes(Workspace, 1, true);
    home.transferIn(Workspace, 30, Now);
    TokenRequest request{Workspace, 50, 0, 0, 0};
    EXPECT_EQ(home.transferOut(request, Now), 0U);
    request.acceptsPart = true;
    EXPECT_EQ(home.transferOut(request, Now), 30U);
}

// Guards against holding tokens for a request that another holder served as long as other requests
// arrive.
TEST(TokenHolderHome, HoldsNothingForExpiredRequest)
{
    TokenHolderSettings settings;
    settings.maxIdleShare = 0; // holds only requested tokens
    TokenHolder home(Incarnation("home"), settings);
    home.setBudgets({{Workspace, Prepaid}}, Now);
    home.setHomes(Workspace, 1, true);
    home.setStoreReachable(true);
    TestStore store;
    Instant now = Now;
    const auto write = [&] {
        if (const auto rows = home.nextBatch(now)) {
            store.write(*rows, {&home});
            home.onBatchWritten();
        }
    };
    EXPECT_EQ(home.transferOut({Workspace, 200, 0, 0, 0}, now), 0U);
    write();
    EXPECT_EQ(home.usable(Workspace), 200U);
    for (int ask = 0; ask < 10; ++ask) {
        now += std::chrono::milliseconds(500);
        write();
        home.transferOut({Workspace, 10, 0, 0, 0}, now);
        write();
    }
    EXPECT_LE(home.usable(Workspace), 10U);
}

TEST_F(TokenHolderTest, StopReturnsUnreservedTokens)
{
    writeBatch(a_);
    ASSERT_TRUE(a_.reserve(Workspace, 20, now_));
    a_.returnAll();
    writeBatch(a_);
    EXPECT_EQ(b_.unallotted(Workspace), Prepaid - 20);
}

// Guards against refusing a workspace whose tokens nobody spent: the process that held them was
// killed. The next one on its host knows from the last batch the maximum that was used.
TEST_F(TokenHolderTest, SealReturnsUnusedTokens)
{
    writeBatch(a_);
    writeBatch(a_);
    ASSERT_TRUE(a_.reserve(Workspace, 1, now_));
    const uint64_t unallotted = b_.unallotted(Workspace);
    const std::vector<AllotmentRow> seal = b_.sealRows(Incarnation("a"), NoTime);
    ASSERT_EQ(seal.size(), 1U);
    EXPECT_GE(seal[0].allotment.tokens, 1U);
    store_.write(seal, {&b_});
    EXPECT_GT(b_.unallotted(Workspace), unallotted);
}

// Guards against overspending by a holder that uses more than its last row states and then
// terminates, so that too much is returned. It observes the row until the batch is too old to be
// relied on.
TEST_F(TokenHolderTest, ObservesRowUntilBatchExpires)
{
    writeBatch(a_);
    writeBatch(a_);
    const uint64_t held = a_.usable(Workspace);
    const std::vector<AllotmentRow> seal = b_.sealRows(Incarnation("a"), NoTime);
    ASSERT_EQ(seal.size(), 1U);
    ASSERT_LT(seal[0].allotment.tokens, held);
    a_.setStoreReachable(false);
    EXPECT_FALSE(a_.reserve(Workspace, held, now_));
    now_ += testSettings().batchValidity;
    EXPECT_TRUE(a_.reserve(Workspace, held, now_));
}

// Guards against overspending after an outage of the store: the first batch must correct a row that
// states less than was used during the outage, even if no claim or window requires that row.
TEST_F(TokenHolderTest, FirstBatchAfterOutageCorrectsRow)
{
    writeBatch(a_);
    writeBatch(a_);
    a_.setStoreReachable(false);
    now_ += testSettings().batchValidity;
    const uint64_t held = a_.usable(Workspace);
    ASSERT_TRUE(a_.reserve(Workspace, held, now_));
    a_.settle(Workspace, held, held, now_);
    now_ += std::chrono::minutes(1);
    a_.setStoreReachable(true);
    writeBatch(a_);
    const std::vector<AllotmentRow> seal = b_.sealRows(Incarnation("a"), NoTime);
    EXPECT_TRUE(seal.empty() || seal[0].allotment.tokens >= held);
}

// Guards against returning too little or too much of a terminated holder's tokens. If it is unknown
// how long the holder was without the store, it may have used all; with a bound, it may have used
// what its row allowed until then, which grows with time.
TEST_F(TokenHolderTest, SealReturnsLessWithGreaterElapsedTime)
{
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(a_.reserve(Workspace, i == 0 ? 0 : 20, now_));
        writeBatch(a_);
    }
    const Interval spans[] = {NoTime, std::chrono::seconds(2), testSettings().batchValidity};
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
    EXPECT_EQ(unknown[0].allotment.tokens, a_.usable(Workspace) + 60);
}

// Guards against treating a budget as scarce after a process restart, so that callers wait for a
// row with each request though the budget lasts for hours: the new process reads the use of the
// whole day, which must not count as current use.
TEST_F(TokenHolderTest, UseBeforeStartIsNotCurrentUse)
{
    TokenHolder started(Incarnation("c"), testSettings());
    started.setBudgets({{Workspace, Prepaid}}, now_);
    started.setHolderCount(2);
    started.setStoreReachable(true);
    started.onRow({Workspace, Incarnation("old"), {800, 800, 0}}, 0, now_);
    started.onReadUpTo(1);
    ASSERT_FALSE(started.reserve(Workspace, 10, now_));
    const auto rows = started.nextBatch(now_);
    ASSERT_TRUE(rows);
    ASSERT_EQ(rows->size(), 1U);
    started.onRow((*rows)[0], 1, now_);
    started.onReadUpTo(2);
    ASSERT_TRUE(started.reserve(Workspace, 10, now_));
    started.clearRequiredTokens(Workspace);
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

class MaxUsedAfter : public testing::TestWithParam<UseCase>
{};

const UseCase UseCases[] = {
        {"Immediately", {100, 20, 10}, std::chrono::seconds(0), 20},
        {"Later", {100, 20, 10}, std::chrono::seconds(2), 40},
        {"RoundedUp", {100, 20, 10}, std::chrono::milliseconds(1), 21},
        {"LimitedByTokens", {100, 20, 10}, std::chrono::seconds(60), 100},
        {"WithoutUsePerSecond", {100, 20, 0}, std::chrono::seconds(60), 20},
        {"HugeUsePerSecond", {100, 20, UINT64_MAX}, std::chrono::hours(9), 100},
};

TEST_P(MaxUsedAfter, IsBounded)
{
    EXPECT_EQ(GetParam().row.maxUsedAfter(GetParam().elapsed), GetParam().used);
}

INSTANTIATE_TEST_SUITE_P(Rows, MaxUsedAfter, testing::ValuesIn(UseCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST_F(TokenHolderTest, HeartbeatIsInFlightUntilWritten)
{
    writeBatch(a_);
    writeBatch(a_);
    writeBatch(a_);
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

class TokenHolderBudgetState : public testing::TestWithParam<StateCase>
{};

const StateCase StateCases[] = {
        {"AvailableInStore", 500, true, BudgetState::Available},
        {"ExceedsPrepaidBudget", 1001, true, BudgetState::Exhausted},
        {"ExceedsKnownBudgetWithoutStore", 1001, false, BudgetState::Unreachable},
        {"StoreUnreachable", 500, false, BudgetState::Unreachable},
};

TEST_P(TokenHolderBudgetState, MatchesStore)
{
    TokenHolder holder(Incarnation("a"), testSettings());
    holder.setBudgets({{Workspace, Prepaid}}, Instant());
    holder.setStoreReachable(GetParam().reachable);
    EXPECT_EQ(holder.budgetState(Workspace, GetParam().need), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(Rows, TokenHolderBudgetState, testing::ValuesIn(StateCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(AllotmentTable, OlderRowsAreIgnored)
{
    AllotmentTable table;
    table.set({Workspace, Incarnation("a"), {50, 10, 0}}, 7);
    table.set({Workspace, Incarnation("a"), {20, 0, 0}}, 3);
    table.set({Workspace, Incarnation("b"), {5, 0, 0}}, 4);
    EXPECT_EQ(table.allotted(Workspace), 55U);
}

} // namespace
