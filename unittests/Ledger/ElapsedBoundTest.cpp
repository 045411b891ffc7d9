/// The upper bound on the time that a terminated holder was without a batch, by clocks that can't
/// be set.

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/ElapsedBound.h"

using namespace sequoiagate;

namespace {

PeerClockReadings keptRunning(Millis span, Millis askedAfter = {})
{
    const Incarnation process("p");
    return {process, process, Millis(70), Millis(70) + span, askedAfter};
}

PeerClockReadings restarted(Millis span)
{
    return {Incarnation("p"), Incarnation("q"), Millis(70), Millis(70) + span, Millis(0)};
}

struct BoundCase
{
    const char *name;
    std::vector<PeerClockReadings> peers;
    std::optional<Millis> bound;
};

class Bound : public testing::TestWithParam<BoundCase>
{};

const BoundCase BoundCases[] = {
        {"NoPeers", {}, std::nullopt},
        {"PeerThatKeptRunning", {keptRunning(Millis(1500))}, Millis(1500)},
        {"AllPeersRestarted",
         {restarted(Millis(800)), restarted(Millis(900)), restarted(Millis(1000))},
         std::nullopt},
        {"RestartedPeerIsIgnored",
         {restarted(Millis(100)), keptRunning(Millis(1500))},
         Millis(1500)},
        {"SmallestBoundOfAllPeers",
         {keptRunning(Millis(9000)), keptRunning(Millis(1500))},
         Millis(1500)},
        {"TimeUntilRequestIsDeducted", {keptRunning(Millis(5500), Millis(4000))}, Millis(1500)},
        {"NegativeSpanIsIgnored", {keptRunning(Millis(300), Millis(400))}, std::nullopt},
};

TEST_P(Bound, UsesOnlyPeersThatKeptRunning)
{
    EXPECT_EQ(elapsedBound(GetParam().peers), GetParam().bound);
}

INSTANTIATE_TEST_SUITE_P(Rows, Bound, testing::ValuesIn(BoundCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
