#include "sequoiagate/Decisions/PlacementCost.h"

#include <cmath>
#include <limits>
#include <string>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

struct CostCase
{
    const char *name;
    void (*worsen)(PlacementState &state);
    bool isStillCheaper; ///< than an idle endpoint that doesn't hold the prefix
};

class HeldPrefix : public testing::TestWithParam<CostCase>
{};

// Guards against a request that waits at the endpoint that holds its prefix for longer than another
// one takes to prefill it. 6,300 of 9,190 tokens take 158 ms.
const CostCase CostCases[] = {
        {"Idle", [](PlacementState &) {}, true},
        {"ShortQueue", [](PlacementState &state) { state.queued = Millis(100); }, true},
        {"LongQueue", [](PlacementState &state) { state.queued = Millis(1000); }, false},
        {"SomewhatSlow", [](PlacementState &state) { state.rate.prefillFactor = 1.7; }, true},
        {"VerySlow", [](PlacementState &state) { state.rate.prefillFactor = 8.0; }, false},
        {"SlowWithQueue",
         [](PlacementState &state) {
             state.rate.prefillFactor = 4.0;
             state.queued = Millis(150);
         },
         false},
        {"BeyondItsSlots", [](PlacementState &state) { state.requests = 24.0; }, false},
        {"OtherDomain", [](PlacementState &state) { state.roundTrip = Millis(5); }, true},
};

TEST_P(HeldPrefix, IsWeighedAgainstTheWait)
{
    const PlacementRequest request{9190, 6300};
    PlacementState holder;
    holder.slots = 20.0;
    holder.holdsPrefix = true;
    GetParam().worsen(holder);
    PlacementState idle;
    idle.slots = 20.0;
    const PlacementCostSettings settings;
    EXPECT_EQ(placementCost(request, holder, settings).total()
                      < placementCost(request, idle, settings).total(),
              GetParam().isStillCheaper);
}

INSTANTIATE_TEST_SUITE_P(Rows, HeldPrefix, testing::ValuesIn(CostCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct TrustCase
{
    const char *name;
    EndpointRate rate;
    double least;
    double most;
};

class Trust : public testing::TestWithParam<TrustCase>
{};

// Guards against a rate that is invalid, stale or rests on one sample and decides placements.
const TrustCase TrustCases[] = {
        {"Known", {4.0, 4.0, 60, Millis(500)}, 3.5, 4.0},
        {"Unknown", {4.0, 4.0, 0, Interval()}, 1.0, 1.0},
        {"OneSample", {4.0, 4.0, 1, Interval()}, 1.0, 2.0},
        {"Old", {4.0, 4.0, 60, Seconds(8)}, 2.0, 3.0},
        {"Stale", {4.0, 4.0, 60, Seconds(30)}, 1.0, 1.0},
        {"AgeInTheFuture", {4.0, 4.0, 60, -Seconds(1)}, 3.5, 4.0},
        {"NotANumber", {std::nan(""), std::nan(""), 60, Interval()}, 1.0, 1.0},
        {"Infinite", {INFINITY, INFINITY, 60, Interval()}, 1.0, 1.0},
        {"Negative", {-2.0, -2.0, 60, Interval()}, 1.0, 1.0},
        {"Zero", {0.0, 0.0, 60, Interval()}, 1.0, 1.0},
        {"Huge", {1e300, 1e300, 60, Interval()}, 9.0, 10.0},
};

TEST_P(Trust, FollowsSamplesAndAge)
{
    const EndpointRate trusted = trustedRate(GetParam().rate);
    for (const double factor : {trusted.prefillFactor, trusted.decodeFactor}) {
        EXPECT_GE(factor, GetParam().least);
        EXPECT_LE(factor, GetParam().most);
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, Trust, testing::ValuesIn(TrustCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(ShareOfRequests, IsInverseToTheTimeAndLessForTemporaryFaults)
{
    EXPECT_DOUBLE_EQ(shareOfRequests({1.0, 1.0, 9, {}}), 1.0);
    EXPECT_DOUBLE_EQ(shareOfRequests({0.5, 0.5, 9, {}}), 2.0);
    EXPECT_DOUBLE_EQ(shareOfRequests({2.0, 2.0, 9, {}}), 0.5);
    EXPECT_LT(shareOfRequests({4.0, 4.0, 9, {}}), 0.2);
}

// Guards against homes that change with each measurement, and against a change that isn't followed.
TEST(SteppedFactor, IgnoresNoiseAndFollowsChanges)
{
    SteppedFactor factor;
    Instant now{std::chrono::hours(1)};
    factor.update(1.3, now);
    const double begun = factor.value();
    EXPECT_NEAR(begun, 1.3, 0.2) << "nothing rests on the first value yet";
    now += Seconds(2);
    for (int i = 0; i < 1000; ++i) {
        now += Millis(500);
        factor.update(i % 2 == 0 ? 1.05 : 1.6, now);
        EXPECT_EQ(factor.value(), begun) << i;
    }
    factor.update(4.0, now);
    EXPECT_NEAR(factor.value(), 4.0, 0.8) << "a large change is followed at once";
    for (int i = 0; i <= 4; ++i) {
        factor.update(2.6, now += Millis(500));
    }
    EXPECT_NEAR(factor.value(), 2.6, 0.5) << "a small one after two seconds";
}

} // namespace
