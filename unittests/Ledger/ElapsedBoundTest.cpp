/// How long a dead holder can have been without a batch, by clocks that nobody can set.

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/ElapsedBound.h"

using namespace sequoiagate;

namespace {

PeerClockReadings livedOn(Millis span, Millis askedAfter = {})
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
        {"NobodyElse", {}, std::nullopt},
        {"PeerThatLivedOn", {livedOn(Millis(1500))}, Millis(1500)},
        {"PeersThatAllDiedAsWell",
         {restarted(Millis(800)), restarted(Millis(900)), restarted(Millis(1000))},
         std::nullopt},
        {"OnlyThoseThatLivedOnCount",
         {restarted(Millis(100)), livedOn(Millis(1500))},
         Millis(1500)},
        {"PausedOrCutOffPeerLoosensNoOthersBound",
         {livedOn(Millis(9000)), livedOn(Millis(1500))},
         Millis(1500)},
        {"LessTheTimeUntilItWasAsked", {livedOn(Millis(5500), Millis(4000))}, Millis(1500)},
        {"SpanBelowZeroTellsNothing", {livedOn(Millis(300), Millis(400))}, std::nullopt},
};

TEST_P(Bound, RestsOnPeersThatLivedOn)
{
    EXPECT_EQ(elapsedBound(GetParam().peers), GetParam().bound);
}

INSTANTIATE_TEST_SUITE_P(Rows, Bound, testing::ValuesIn(BoundCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
