/// After all hosts lost power, requests are served as long as the budget has tokens that were never
/// used.

#include <memory>
#include <tuple>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Ledger/TokenHolder.h"

using namespace sequoiagate;

namespace {

const WorkspaceId Workspace("w");
constexpr int Hosts = 8;
constexpr Interval Step = std::chrono::milliseconds(100);
constexpr int StepsPerSecond = 10;
constexpr uint64_t TokensPerRequest = 100;
constexpr int DaySeconds = 62;
constexpr int PowerLostAt = 42;
constexpr int LastSeconds = 4; // at the end of the day, when served requests are counted
constexpr uint64_t DayTokens = uint64_t{Hosts} * StepsPerSecond * TokensPerRequest * DaySeconds;

/// A fleet whose store accepts each batch immediately.
class Fleet
{
public:
    Fleet(uint64_t prepaid, ReservePolicy policy) : prepaid_(prepaid), policy_(policy)
    {
        startAll();
    }

    /// \p elapsed: the bound that the new processes have on the time since the last batches
    void losePower(std::optional<Interval> elapsed)
    {
        const std::vector<Incarnation> ended = processes_;
        startAll();
        for (std::size_t i = 0; i < ended.size(); ++i) {
            append(holders_[i]->sealRows(ended[i], elapsed));
        }
        readStore();
    }

    /// Each host gets a request and writes its batch if one is due.
    /// \returns the number of requests served.
    int step()
    {
        int served = 0;
        for (const auto &holder : holders_) {
            if (holder->reserve(Workspace, TokensPerRequest, now_)) {
                holder->settle(Workspace, TokensPerRequest, TokensPerRequest, now_);
                ++served;
            }
        }
        for (const auto &holder : holders_) {
            writeBatch(*holder);
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
            TokenHolderSettings settings;
            settings.policy = policy_;
            holders_.push_back(std::make_unique<TokenHolder>(processes_.back(), settings));
            TokenHolder &holder = *holders_.back();
            holder.setBudgets({{Workspace, prepaid_}}, now_);
            holder.setHolderCount(Hosts);
            holder.setStoreReachable(true);
            for (std::size_t row = 0; row < log_.size(); ++row) {
                holder.onRow(log_[row], row + 1, now_);
            }
            holder.onReadUpTo(log_.size() + 1);
        }
    }

    void writeBatch(TokenHolder &writer)
    {
        append(writer.nextBatch(now_).value_or(std::vector<AllotmentRow>()));
        writer.onBatchWritten();
        readStore();
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

    void readStore()
    {
        for (const auto &holder : holders_) {
            holder->onReadUpTo(log_.size() + 1);
        }
    }

    uint64_t prepaid_;
    ReservePolicy policy_;
    int starts_ = 0;
    Instant now_{std::chrono::hours(1)};
    std::vector<AllotmentRow> log_;
    std::vector<Incarnation> processes_;
    std::vector<std::unique_ptr<TokenHolder>> holders_;
};

void expectQuarterServed(std::optional<Interval> elapsed, ReservePolicy policy)
{
    constexpr uint64_t Prepaid = DayTokens * 85 / 100;
    Fleet fleet(Prepaid, policy);
    uint64_t spent = 0;
    int servedLast = 0;
    for (int step = 0; step < DaySeconds * StepsPerSecond; ++step) {
        if (step == PowerLostAt * StepsPerSecond) {
            fleet.losePower(elapsed);
        }
        const int served = fleet.step();
        spent += static_cast<uint64_t>(served) * TokensPerRequest;
        servedLast += step >= (DaySeconds - LastSeconds) * StepsPerSecond ? served : 0;
    }
    EXPECT_LE(spent, Prepaid);
    const bool usedUp = spent >= Prepaid * 97 / 100;
    EXPECT_TRUE(usedUp || servedLast * 4 >= Hosts * StepsPerSecond * LastSeconds)
            << spent << " of " << Prepaid << " used, " << servedLast << " served at the end";
}

constexpr ReservePolicy Policies[] = {ReservePolicy::MeanDemand, ReservePolicy::PeakDemand};

class PowerLoss : public testing::TestWithParam<ReservePolicy>
{};

TEST_P(PowerLoss, QuarterIsServedWhileUnusedTokensRemain)
{
    expectQuarterServed(std::nullopt, GetParam());
}

// The time from the last batches to the start of the next processes is known to be at most 1700 ms.
TEST_P(PowerLoss, QuarterIsServedIfElapsedTimeIsKnown)
{
    expectQuarterServed(std::chrono::milliseconds(1700), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Policies, PowerLoss, testing::ValuesIn(Policies));

class PowerLossNearTheEnd : public testing::TestWithParam<std::tuple<int, ReservePolicy>>
{};

// Guards against refusing callers for a budget of which more than 3% was never used.
TEST_P(PowerLossNearTheEnd, CostsAtMostThreePercentOfTheBudget)
{
    constexpr uint64_t Prepaid = DayTokens * 85 / 100;
    const auto [percentLeft, policy] = GetParam();
    Fleet fleet(Prepaid, policy);
    uint64_t spent = 0;
    bool isPowerLost = false;
    for (int step = 0; step < DaySeconds * StepsPerSecond; ++step) {
        const uint64_t left = Prepaid - spent;
        if (!isPowerLost && left * 100 <= Prepaid * static_cast<uint64_t>(percentLeft)) {
            isPowerLost = true;
            fleet.losePower(std::nullopt);
        }
        spent += static_cast<uint64_t>(fleet.step()) * TokensPerRequest;
    }
    ASSERT_TRUE(isPowerLost);
    EXPECT_LE(spent, Prepaid);
    EXPECT_GE(spent * 100, Prepaid * 97) << spent << " of " << Prepaid << " used";
}

INSTANTIATE_TEST_SUITE_P(PercentLeft, PowerLossNearTheEnd,
                         testing::Combine(testing::Values(30, 20, 10),
                                          testing::ValuesIn(Policies)));

} // namespace
