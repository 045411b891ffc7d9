#include <string>

#include <gtest/gtest.h>

#include "unittests/Support/FleetModel.h"

using namespace sequoiagate;
using namespace sequoiagate::model;

namespace {

/// A load, and the least that callers must get under it.
struct LoadCase
{
    const char *name;
    LoadSettings load;
    double latestP95; ///< first token of interactive short requests, seconds
    double latestP99;
    double leastThroughput; ///< in time, over the capacity
    double leastFairness;
    double mostRefused; ///< of the requests, after their comebacks
    double latestRecovery;
    double leastHitRate;
    bool designSize = false; ///< engines of the design's size; today's otherwise
};

class CallersUnder : public testing::TestWithParam<LoadCase>
{};

/// The first user's today.
FleetSettings smallFleet()
{
    FleetSettings fleet;
    fleet.endpoints = 12;
    fleet.slots = 40;
    fleet.routers = 6;
    fleet.cachedPrefixes = 60;
    return fleet;
}

LoadSettings steady(double utilization)
{
    LoadSettings load;
    load.utilization = utilization;
    load.duration = Seconds(120);
    load.warmUp = Seconds(30);
    load.workspaces = 30;
    load.prefixes = 300;
    return load;
}

/// Ten times the load for five seconds. Without limits the engines' own queues grow, and
/// callers wait for seconds long after the burst is over.
LoadSettings burst()
{
    LoadSettings load = steady(0.5);
    load.burstFrom = Seconds(50);
    load.burstUntil = Seconds(55);
    load.burstFactor = 10.0;
    load.comebacks = 5;
    return load;
}

/// A few prefixes take most of the load. Sent by hash alone they overrun their home;
/// spread without regard to prefixes each endpoint prefills them anew.
LoadSettings hotKeys()
{
    return steady(0.7);
}

/// One endpoint answers ten times slower and fails nothing, so every probe calls it
/// healthy; a share of the callers waits ten times as long.
LoadSettings slowEndpoint()
{
    LoadSettings load = steady(0.6);
    load.faults = {{.endpoint = 2, .from = Seconds(20), .until = Seconds(120), .slowFactor = 10.0}};
    return load;
}

/// One endpoint turns nine requests in ten away at once. It is always idle, and least in
/// flight therefore sends it everything.
LoadSettings failingEndpoint()
{
    LoadSettings load = steady(0.6);
    load.faults = {
            {.endpoint = 2, .from = Seconds(20), .until = Seconds(120), .failureShare = 0.9}};
    return load;
}

/// One request in a hundred has a hundred times the prompt. A short one behind it waits
/// 2.5 s for its first token.
LoadSettings longAmongShort()
{
    LoadSettings load = steady(0.6);
    load.longShare = 0.01;
    return load;
}

/// More than can be served, for long. Let in without limits all callers wait, the later
/// the longer, and the few large workspaces take what there is.
LoadSettings saturation()
{
    LoadSettings load = steady(1.5);
    load.duration = Seconds(240);
    load.batchShare = 0.1;
    return load;
}

/// An endpoint returns after a minute. Idle and cold, it draws everything at once.
LoadSettings returning()
{
    LoadSettings load = steady(0.6);
    load.faults = {{.endpoint = 2, .from = Seconds(0), .until = Seconds(60), .away = true}};
    return load;
}

Policy policyUnderTest(const FleetSettings &fleet)
{
    EndpointSelectorSettings choice;
    choice.routerCount = fleet.routers;
    return sequoiagatePolicy({}, choice);
}

TEST_P(CallersUnder, GetTheirAnswersInTime)
{
    const LoadCase &row = GetParam();
    const FleetSettings fleet = row.designSize ? FleetSettings{} : smallFleet();
    const Outcome outcome = play(fleet, row.load, policyUnderTest(fleet));
    uint64_t refused = 0;
    for (const auto &[reason, count] : outcome.refused) {
        refused += count;
    }
    EXPECT_LE(outcome.brief.p95, row.latestP95);
    EXPECT_LE(outcome.brief.p99, row.latestP99);
    EXPECT_GE(outcome.goodput, row.leastThroughput);
    EXPECT_GE(outcome.fairness, row.leastFairness);
    EXPECT_LE(static_cast<double>(refused), row.mostRefused * static_cast<double>(outcome.offered));
    EXPECT_EQ(outcome.served + refused, outcome.offered) << "somebody never got an answer";
    EXPECT_LE(outcome.amplification, 1.1);
    EXPECT_GE(outcome.hitRate, row.leastHitRate);
    if (row.load.burstFactor > 1.0) {
        EXPECT_LE(outcome.recovery, row.latestRecovery);
    }
}

const LoadCase LoadCases[] = {
        {"Burst", burst(), 0.63, 2.0, 0.5, 0.95, 0.01, 5.0, 0.6},
        {"BurstAtDesignSize", burst(), 0.63, 1.0, 0.5, 0.95, 0.01, 5.0, 0.6, true},
        {"HotKeys", hotKeys(), 0.1, 0.15, 0.6, 0.99, 0.0, 0.0, 0.85},
        {"SlowEndpoint", slowEndpoint(), 0.1, 1.0, 0.5, 0.99, 0.01, 0.0, 0.7},
        {"FailingEndpoint", failingEndpoint(), 0.1, 0.15, 0.5, 0.99, 0.0, 0.0, 0.75},
        {"LongAmongShort", longAmongShort(), 0.1, 0.3, 0.5, 0.99, 0.0, 0.0, 0.7},
        {"Saturation", saturation(), 0.63, 1.3, 0.92, 0.9, 0.4, 0.0, 0.6},
        {"ReturningEndpoint", returning(), 0.1, 0.15, 0.5, 0.99, 0.0, 0.0, 0.75},
};

INSTANTIATE_TEST_SUITE_P(Loads, CallersUnder, testing::ValuesIn(LoadCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
