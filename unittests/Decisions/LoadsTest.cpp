#include <string>

#include <gtest/gtest.h>

#include "unittests/Support/FleetModel.h"

using namespace sequoiagate;
using namespace sequoiagate::model;

namespace {

/// A load and the bounds that the results must keep under it.
struct LoadCase
{
    const char *name;
    LoadSettings load;
    double maxP95; ///< first token of interactive short requests, seconds
    double maxP99;
    double minThroughput; ///< completed in time, over the capacity
    double minFairness;
    double maxRefused; ///< share of the requests, after their retries
    double maxRecovery;
    double minHitRate;
    bool designSize = false; ///< uses FleetSettings' defaults instead of smallFleet()
};

class FleetUnderLoad : public testing::TestWithParam<LoadCase>
{};

/// The first user's fleet, which is smaller than the design size.
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
/// callers wait for seconds, even long after the burst.
LoadSettings burst()
{
    LoadSettings load = steady(0.5);
    load.burstFrom = Seconds(50);
    load.burstUntil = Seconds(55);
    load.burstFactor = 10.0;
    load.comebacks = 5;
    return load;
}

/// A few prefixes make up most of the load. Placed by hash alone they overload their homes;
/// spread without regard to prefixes they are prefilled by every endpoint.
LoadSettings hotKeys()
{
    return steady(0.7);
}

/// One endpoint is ten times slower but fails no request, so it passes every health check,
/// and some of the callers wait ten times as long.
LoadSettings slowEndpoint()
{
    LoadSettings load = steady(0.6);
    load.faults = {{.endpoint = 2, .from = Seconds(20), .until = Seconds(120), .slowFactor = 10.0}};
    return load;
}

/// One endpoint rejects nine requests in ten at once. It is therefore always idle, and
/// selection by least requests in flight sends it everything.
LoadSettings failingEndpoint()
{
    LoadSettings load = steady(0.6);
    load.faults = {
            {.endpoint = 2, .from = Seconds(20), .until = Seconds(120), .failureShare = 0.9}};
    return load;
}

/// One request in a hundred has a prompt a hundred times as long. A short request behind it
/// waits 2.5 s for its first token.
LoadSettings longAmongShort()
{
    LoadSettings load = steady(0.6);
    load.longShare = 0.01;
    return load;
}

/// A sustained load above the capacity. Without admission limits all callers wait, later
/// ones longer, and the few large workspaces take the available capacity.
LoadSettings saturation()
{
    LoadSettings load = steady(1.5);
    load.duration = Seconds(240);
    load.batchShare = 0.1;
    return load;
}

/// An endpoint returns after a minute. Being idle, it attracts all requests while its cache
/// is cold.
LoadSettings returning()
{
    LoadSettings load = steady(0.6);
    load.faults = {{.endpoint = 2, .from = Seconds(0), .until = Seconds(60), .away = true}};
    return load;
}

Policy policyUnderTest(const FleetSettings &fleet)
{
    EndpointSelectorSettings selector;
    selector.routerCount = fleet.routers;
    return sequoiagatePolicy({}, selector);
}

TEST_P(FleetUnderLoad, MeetsLatencyAndFairnessBounds)
{
    const LoadCase &row = GetParam();
    const FleetSettings fleet = row.designSize ? FleetSettings{} : smallFleet();
    const Outcome outcome = play(fleet, row.load, policyUnderTest(fleet));
    uint64_t refused = 0;
    for (const auto &[reason, count] : outcome.refused) {
        refused += count;
    }
    EXPECT_LE(outcome.brief.p95, row.maxP95);
    EXPECT_LE(outcome.brief.p99, row.maxP99);
    EXPECT_GE(outcome.goodput, row.minThroughput);
    EXPECT_GE(outcome.fairness, row.minFairness);
    EXPECT_LE(static_cast<double>(refused), row.maxRefused * static_cast<double>(outcome.offered));
    EXPECT_EQ(outcome.served + refused, outcome.offered) << "requests without any outcome";
    EXPECT_LE(outcome.amplification, 1.1);
    EXPECT_GE(outcome.hitRate, row.minHitRate);
    if (row.load.burstFactor > 1.0) {
        EXPECT_LE(outcome.recovery, row.maxRecovery);
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

INSTANTIATE_TEST_SUITE_P(Loads, FleetUnderLoad, testing::ValuesIn(LoadCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
