/// After a loss of power of all hosts a budget serves on, as long as tokens of it were never used.

#include <memory>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Ledger/TokenHolder.h"

using namespace sequoiagate;

namespace {

const WorkspaceId W("w");
constexpr int Hosts = 8;
constexpr Interval Step = std::chrono::milliseconds(100);
constexpr int StepsASecond = 10;
constexpr uint64_t TokensARequest = 100;
constexpr int DaySeconds = 62;
constexpr int PowerLostAt = 42;
constexpr int LastSeconds = 4; // of the day, in which it is looked at who is served
constexpr uint64_t DayTokens = uint64_t{Hosts} * StepsASecond * TokensARequest * DaySeconds;

/// A fleet whose store takes each batch at once.
class Fleet
{
public:
    explicit Fleet(uint64_t prepaid) : prepaid_(prepaid) { startAll(); }

    /// \p elapsed: what the new processes know of the time since the last batches
    void losePower(std::optional<Interval> elapsed)
    {
        const std::vector<Incarnation> ended = processes_;
        startAll();
        for (std::size_t i = 0; i < ended.size(); ++i) {
            append(holders_[i]->sealRows(ended[i], elapsed));
        }
        readBack();
    }

    /// Each host gets a request and writes what is due. \returns requests that were served.
    int step()
    {
        int served = 0;
        for (const auto &holder : holders_) {
            if (holder->reserve(W, TokensARequest, now_)) {
                holder->settle(W, TokensARequest, TokensARequest, now_);
                ++served;
            }
        }
        for (const auto &holder : holders_) {
            write(*holder);
        }
        now_ += Step;
        return served;
    }

private:
    void startAll()
    {
        ++starts_;
        holders_.clear();
        processes_.clear();
        for (int i = 0; i < Hosts; ++i) {
            processes_.emplace_back(fmt::format("h{}-{}", i, starts_));
            holders_.push_back(std::make_unique<TokenHolder>(processes_.back()));
            TokenHolder &holder = *holders_.back();
            holder.setBudgets({{W, prepaid_}}, now_);
            holder.setHolderCount(Hosts);
            holder.setStoreReachable(true);
            for (std::size_t row = 0; row < log_.size(); ++row) {
                holder.onRow(log_[row], row + 1, now_);
            }
            holder.onReadUpTo(log_.size() + 1);
        }
    }

    void write(TokenHolder &writer)
    {
        append(writer.nextBatch(now_).value_or(std::vector<AllotmentRow>()));
        writer.onBatchWritten();
        readBack();
    }

    void append(const std::vector<AllotmentRow> &rows)
    {
        for (const AllotmentRow &row : rows) {
            log_.push_back(row);
            for (const auto &holder : holders_) {
                holder->onRow(row, log_.size(), now_);
            }
        }
    }

    void readBack()
    {
        for (const auto &holder : holders_) {
            holder->onReadUpTo(log_.size() + 1);
        }
    }

    uint64_t prepaid_;
    int starts_ = 0;
    Instant now_{std::chrono::hours(1)};
    std::vector<AllotmentRow> log_;
    std::vector<Incarnation> processes_;
    std::vector<std::unique_ptr<TokenHolder>> holders_;
};

void expectAQuarterServed(std::optional<Interval> elapsed)
{
    constexpr uint64_t Prepaid = DayTokens * 85 / 100;
    Fleet fleet(Prepaid);
    uint64_t spent = 0;
    int servedLast = 0;
    for (int step = 0; step < DaySeconds * StepsASecond; ++step) {
        if (step == PowerLostAt * StepsASecond) {
            fleet.losePower(elapsed);
        }
        const int served = fleet.step();
        spent += static_cast<uint64_t>(served) * TokensARequest;
        servedLast += step >= (DaySeconds - LastSeconds) * StepsASecond ? served : 0;
    }
    EXPECT_LE(spent, Prepaid);
    const bool usedUp = spent >= Prepaid * 97 / 100;
    EXPECT_TRUE(usedUp || servedLast * 4 >= Hosts * StepsASecond * LastSeconds)
            << spent << " of " << Prepaid << " used, " << servedLast << " served at the end";
}

TEST(PowerLoss, LeavesAQuarterServedAsLongAsTokensWereNeverUsed)
{
    expectAQuarterServed(std::nullopt);
}

TEST(PowerLoss, LeavesAQuarterServedWherePeersThatLivedOnTellTheTime)
{
    expectAQuarterServed(std::chrono::milliseconds(1700));
}

class PowerLossNearTheEnd : public testing::TestWithParam<int>
{};

// Guards against refusing callers for a budget of which more than 3% was never used.
TEST_P(PowerLossNearTheEnd, CostsAtMostThreePercentOfTheBudget)
{
    constexpr uint64_t Prepaid = DayTokens * 85 / 100;
    Fleet fleet(Prepaid);
    uint64_t spent = 0;
    bool isPowerLost = false;
    for (int step = 0; step < DaySeconds * StepsASecond; ++step) {
        const uint64_t left = Prepaid - spent;
        if (!isPowerLost && left * 100 <= Prepaid * static_cast<uint64_t>(GetParam())) {
            isPowerLost = true;
            fleet.losePower(std::nullopt);
        }
        spent += static_cast<uint64_t>(fleet.step()) * TokensARequest;
    }
    ASSERT_TRUE(isPowerLost);
    EXPECT_LE(spent, Prepaid);
    EXPECT_GE(spent * 100, Prepaid * 97) << spent << " of " << Prepaid << " used";
}

INSTANTIATE_TEST_SUITE_P(PercentLeft, PowerLossNearTheEnd, testing::Values(30, 20, 10));

} // namespace
