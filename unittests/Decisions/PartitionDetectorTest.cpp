/// How a host tells its own partition from endpoints that are down or silent, and which hosts it
/// asks to relay.

#include <functional>
#include <set>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/PartitionDetector.h"
#include "sequoiagate/Decisions/RelaySelector.h"

using namespace sequoiagate;

namespace {

const EndpointId A("a");
const EndpointId B("b");
const EndpointId C("c");
const Instant Start{std::chrono::hours(1)};

Instant at(int millis)
{
    return Start + std::chrono::milliseconds(millis);
}

struct DetectorCase
{
    const char *name;
    std::function<void(PartitionDetector &)> events;
    bool isPartitioned;
    bool isSuspect; ///< at 2 s
};

class Detector : public testing::TestWithParam<DetectorCase>
{};

const DetectorCase DetectorCases[] = {
        {"NothingFailed", [](PartitionDetector &detector) { detector.onResponse(A, at(0)); }, false,
         false},
        {"OneEndpointIsDown",
         [](PartitionDetector &detector) {
             detector.onConnectFailed(A, at(0));
             detector.onConnectFailed(A, at(900));
         },
         false, true},
        {"AllAreUnreachable",
         [](PartitionDetector &detector) {
             detector.onConnectFailed(A, at(0));
             detector.onConnectFailed(B, at(400));
         },
         true, true},
        // Guards against taking two endpoints that are down for a partition.
        {"TwoAreDownAndAnotherResponds",
         [](PartitionDetector &detector) {
             detector.onConnectFailed(A, at(0));
             detector.onResponse(C, at(100));
             detector.onConnectFailed(B, at(400));
         },
         false, true},
        {"TwoAreDownAndAnotherAccepts",
         [](PartitionDetector &detector) {
             detector.onConnectFailed(A, at(0));
             detector.onConnected(at(100));
             detector.onConnectFailed(B, at(400));
         },
         false, true},
        // Guards against a partition that isn't noticed because old connections go on working.
        {"OldConnectionsGoOn",
         [](PartitionDetector &detector) {
             detector.onConnectFailed(A, at(0));
             detector.onResponse(A, at(100));
             detector.onConnectFailed(B, at(400));
             detector.onResponse(C, at(500));
         },
         true, true},
        {"FailuresLongAgo",
         [](PartitionDetector &detector) {
             detector.onConnectFailed(A, at(-4000));
             detector.onConnectFailed(B, at(0));
         },
         false, true},
        {"Restored",
         [](PartitionDetector &detector) {
             detector.onConnectFailed(A, at(0));
             detector.onConnectFailed(B, at(10));
             detector.onConnected(at(700));
         },
         false, false},
};

TEST_P(Detector, TellsPartitionsFromFailuresOfEndpoints)
{
    PartitionDetector detector;
    detector.setEndpointCount(3);
    GetParam().events(detector);
    EXPECT_EQ(detector.isPartitioned(), GetParam().isPartitioned);
    EXPECT_EQ(detector.isSuspect(at(2000)), GetParam().isSuspect);
}

INSTANTIATE_TEST_SUITE_P(Rows, Detector, testing::ValuesIn(DetectorCases),
                         [](const auto &row) { return row.param.name; });

TEST(PartitionDetector, TheOnlyEndpointIsEnough)
{
    PartitionDetector detector;
    detector.setEndpointCount(1);
    detector.onConnectFailed(A, at(0));
    EXPECT_TRUE(detector.isPartitioned());
    EXPECT_EQ(detector.partitionedSince(), at(0));
}

TEST(PartitionDetector, KnowsWhichOpenConnectionsStillWork)
{
    PartitionDetector detector;
    detector.onResponse(A, at(-100));
    detector.onConnectFailed(A, at(0));
    detector.onConnectFailed(B, at(0));
    EXPECT_FALSE(detector.hasRespondedSince(A));
    detector.onResponse(A, at(50));
    EXPECT_TRUE(detector.hasRespondedSince(A));
    EXPECT_FALSE(detector.hasRespondedSince(B));
}

TEST(RelaySelector, SharesTheLoadAndLeavesOutWhoRefused)
{
    RelaySelector selector(3);
    EXPECT_FALSE(selector.select(at(0)));
    selector.setHosts({HostId("x"), HostId("y"), HostId("z")});
    std::map<std::string, int> selected;
    for (int i = 0; i < 300; ++i) {
        ++selected[selector.select(at(0))->text()];
    }
    EXPECT_EQ(selected.size(), 3U);
    for (const auto &[host, count] : selected) {
        EXPECT_GT(count, 50) << host;
    }
    selector.onRefused(HostId("x"), at(0));
    selector.onRefused(HostId("y"), at(0));
    EXPECT_EQ(selector.select(at(100)), HostId("z"));
    selector.onRefused(HostId("z"), at(100));
    EXPECT_FALSE(selector.select(at(200)));
    const Instant later = at(0) + RelaySelector::FailurePause;
    EXPECT_TRUE(selector.select(later));
}

// Guards against keeping callers waiting for one unreachable host after the other, where this host
// is cut off from all of them.
TEST(RelaySelector, SelectsNobodyAfterSeveralWereUnreachable)
{
    RelaySelector selector(3);
    selector.setHosts({HostId("w"), HostId("x"), HostId("y"), HostId("z")});
    selector.onUnreachable(HostId("x"), at(0));
    EXPECT_TRUE(selector.select(at(10)));
    selector.onConnected();
    selector.onUnreachable(HostId("y"), at(20));
    EXPECT_TRUE(selector.select(at(30)));
    selector.onUnreachable(HostId("z"), at(40));
    EXPECT_FALSE(selector.select(at(50)));
    EXPECT_EQ(selector.select(at(40) + RelaySelector::IsolationPause), HostId("w"));
}

} // namespace
