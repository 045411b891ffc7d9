/// Which endpoints count as cold, and until when, by entry, process, evacuation and connection.

#include <functional>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/ColdEndpoints.h"

using namespace sequoiagate;

namespace {

const EndpointId Endpoint("e");
const ServiceId Service("s");
constexpr Interval ColdTime = std::chrono::seconds(3);
constexpr double PerSecond = 8.0;
constexpr Interval Zero = Interval::zero();

ColdEntry entry(std::optional<Interval> left, uint64_t startedAt = 1)
{
    return {Endpoint, Service, startedAt, left};
}

struct ColdCase
{
    const char *name;
    std::function<void(ColdEndpoints &cold, Instant now)> act; ///< the endpoint is listed as warm
    Interval coldFor;                                          ///< afterwards; 0: it is warm
};

class ColdEndpointsTest : public testing::TestWithParam<ColdCase>
{};

const ColdCase ColdCases[] = {
        {"NothingHappens", [](ColdEndpoints &, Instant) {}, Zero},
        {"EntryStatesATime",
         [](ColdEndpoints &cold, Instant now) { cold.onEntry(entry(Millis(1800)), now); },
         Millis(1800)},
        {"LaterEntriesStateLess",
         [](ColdEndpoints &cold, Instant now) {
             cold.onEntry(entry(Millis(1800)), now);
             cold.onEntry(entry(Millis(300)), now);
             cold.onEntry(entry(Zero), now);
         },
         Millis(1800)},
        {"EntryOfARunningProcessStatesNothing",
         [](ColdEndpoints &cold, Instant now) { cold.onEntry(entry(std::nullopt), now); }, Zero},
        {"EntryOfANewProcessStatesNothing",
         [](ColdEndpoints &cold, Instant now) { cold.onEntry(entry(std::nullopt, 2), now); },
         ColdTime},
        {"EntryOfANewProcessStatesThatItIsWarm",
         [](ColdEndpoints &cold, Instant now) { cold.onEntry(entry(Zero, 2), now); }, Zero},
        // Guards against an earlier process's time that is kept for the one after it.
        {"ProcessThatWasColdIsReplaced",
         [](ColdEndpoints &cold, Instant now) {
             cold.onEntry(entry(Millis(1800)), now);
             cold.onEntry(entry(Millis(100), 2), now);
         },
         Millis(100)},
        {"TakenBack", [](ColdEndpoints &cold, Instant now) { cold.onTakenBack(Endpoint, now); },
         ColdTime},
        {"EntryOfBeforeSaysWarmAfterTakenBack",
         [](ColdEndpoints &cold, Instant now) {
             cold.onTakenBack(Endpoint, now);
             cold.onEntry(entry(Zero), now);
         },
         ColdTime},
        {"ConnectionFails",
         [](ColdEndpoints &cold, Instant now) { cold.onConnectFailed(Endpoint, now); },
         ColdEndpoints::UnreachableLifetime},
        {"ReachedAgain",
         [](ColdEndpoints &cold, Instant now) {
             cold.onConnectFailed(Endpoint, now - Millis(2000));
             cold.onConnected(Endpoint, now);
         },
         ColdTime},
        {"ReachedAgainTwice",
         [](ColdEndpoints &cold, Instant now) {
             cold.onConnectFailed(Endpoint, now - Millis(2000));
             cold.onConnected(Endpoint, now - Millis(1000));
             cold.onConnected(Endpoint, now);
         },
         ColdTime - Millis(1000)},
        {"ConnectedWithoutAFailure",
         [](ColdEndpoints &cold, Instant now) { cold.onConnected(Endpoint, now); }, Zero},
        {"ConnectedWhileItIsColdForAnotherReason",
         [](ColdEndpoints &cold, Instant now) {
             cold.onEntry(entry(Millis(1800)), now);
             cold.onConnected(Endpoint, now);
         },
         Millis(1800)},
        {"ToldByAnotherHost",
         [](ColdEndpoints &cold, Instant now) { cold.onTold(Endpoint, 1, now + Millis(700), now); },
         Millis(700)},
        // Guards against a host that isn't able to connect and slows all others down for long.
        {"ToldALongerTimeThanEndpointsAreCold",
         [](ColdEndpoints &cold, Instant now) {
             cold.onTold(Endpoint, 1, now + std::chrono::seconds(30), now);
         },
         ColdTime},
        {"ToldOfAnotherProcess",
         [](ColdEndpoints &cold, Instant now) { cold.onTold(Endpoint, 7, now + Millis(700), now); },
         Zero},
        {"ToldOfAnUnknownEndpoint",
         [](ColdEndpoints &cold, Instant now) {
             cold.onTold(EndpointId("other"), 1, now + Millis(700), now);
             cold.onTakenBack(EndpointId("other"), now);
             cold.onConnectFailed(EndpointId("other"), now);
             cold.onConnected(EndpointId("other"), now);
         },
         Zero},
        // Guards against a time that an entry stated long ago and that each configuration renews.
        {"ConfigurationsComeAfterTheEntry",
         [](ColdEndpoints &cold, Instant now) {
             cold.setServices({}, now);
             cold.onEntry(entry(Millis(1800), 2), now - Millis(800));
             for (int i = 0; i < 3; ++i) {
                 cold.setServices({{Service, {ColdTime, PerSecond}}}, now);
             }
         },
         Millis(1000)},
        {"ItsServiceIsNeverCold",
         [](ColdEndpoints &cold, Instant now) {
             cold.setServices({}, now);
             cold.onEntry(entry(Millis(1800), 2), now);
             cold.onTakenBack(Endpoint, now);
             cold.onConnectFailed(Endpoint, now);
         },
         Zero},
};

TEST_P(ColdEndpointsTest, AreColdForTheirTime)
{
    const ColdCase &row = GetParam();
    const Instant now{std::chrono::hours(1)};
    ColdEndpoints cold;
    cold.setServices({{Service, {ColdTime, PerSecond}}}, now);
    cold.onEntry(entry(Zero), now - std::chrono::minutes(1));
    row.act(cold, now);
    EXPECT_EQ(std::max(cold.coldUntil(Endpoint), now), now + row.coldFor);
    EXPECT_EQ(cold.coldCount(now), row.coldFor > Zero ? 1U : 0U);
    EXPECT_EQ(cold.describe(Endpoint, now).empty(), row.coldFor == Zero);
}

INSTANTIATE_TEST_SUITE_P(Rows, ColdEndpointsTest, testing::ValuesIn(ColdCases),
                         [](const auto &row) { return row.param.name; });

TEST(ColdEndpointsOfAService, AreDescribedWithReasonAndAge)
{
    const Instant now{std::chrono::hours(1)};
    ColdEndpoints cold;
    cold.setServices({{Service, {ColdTime, PerSecond}}}, now);
    EXPECT_EQ(cold.requestsPerSecond(Endpoint), 0.0);
    cold.onEntry(entry(Millis(900)), now);
    EXPECT_EQ(cold.requestsPerSecond(Endpoint), PerSecond);
    EXPECT_EQ(cold.describe(Endpoint, now + Millis(100)), "e: cold for 800 ms, stated 100 ms ago");
    cold.removeEndpoint(Endpoint);
    EXPECT_EQ(cold.coldCount(now), 0U);
}

} // namespace
