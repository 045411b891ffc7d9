#include "sequoiagate/Members/Membership.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unittests/Support/GossipNetwork.h"

using namespace sequoiagate;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

GossipNetwork network(std::size_t members, double loss = 0.0, uint64_t seed = 7)
{
    GossipNetwork::Options options;
    options.members = members;
    options.loss = loss;
    options.seed = seed;
    return GossipNetwork(options);
}

bool joined(GossipNetwork &net)
{
    return net.runUntil([&] { return net.converged(); }, minutes(2)).has_value();
}

std::size_t changesTo(const GossipNetwork &net, wire::MemberHealth health)
{
    return static_cast<std::size_t>(std::count_if(
            net.observations().begin(), net.observations().end(),
            [&](const auto &observation) { return observation.change.member.health() == health; }));
}

class MembershipOfSize : public testing::TestWithParam<std::size_t>
{};

TEST_P(MembershipOfSize, JoinsThroughSeedsAndStaysQuiet)
{
    GossipNetwork net = network(GetParam());
    ASSERT_TRUE(joined(net));
    net.clearObservations();
    net.run(seconds(60));
    EXPECT_TRUE(net.observations().empty()) << "without loss nobody is ever doubted";
}

TEST_P(MembershipOfSize, FindsADeathAndABoundedDatagramSuffices)
{
    GossipNetwork net = network(GetParam());
    ASSERT_TRUE(joined(net));
    net.kill(GetParam() - 1);
    EXPECT_TRUE(net.runUntil([&] { return net.converged(); }, minutes(1)));
    constexpr uint64_t SafeDatagram = 1400;
    EXPECT_LE(net.takeTraffic().largest, SafeDatagram);
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipOfSize, testing::Values(2, 3, 9, 40),
                         [](const auto &row) { return "Of" + std::to_string(row.param); });

// The process of a host is killed and a new one starts at the same address. Its
// first words come from an address at which another incarnation is known: that one
// has ended, and is believed dead at once, without a suspicion's wait.
TEST(Membership, AReplacedHostRejoinsUnderANewIncarnation)
{
    GossipNetwork net = network(5);
    ASSERT_TRUE(joined(net));
    const Incarnation old = net.incarnation(4);
    net.clearObservations();
    net.kill(4);
    net.restart(4);
    ASSERT_TRUE(joined(net));
    EXPECT_TRUE(net.runUntil([&] { return !net.at(0).alive(old); }, seconds(10)));
    EXPECT_NE(net.incarnation(4), old);
    EXPECT_EQ(changesTo(net, wire::MEMBER_SUSPECT), 0U);
}

// A partition lasts until both sides hold each other dead. No message crosses by
// itself any more, since the dead are nobody's peers: without the probes of the
// lost, the sides would stay apart for ever after the network is whole again.
TEST(Membership, TwoSidesFindEachOtherAfterALongPartition)
{
    GossipNetwork net = network(12);
    ASSERT_TRUE(joined(net));
    net.cutAt(5);
    net.run(minutes(30));
    ASSERT_EQ(net.believersIn(0), 5U);
    ASSERT_EQ(net.believersIn(11), 7U);
    net.clearObservations();
    net.cutAt(0);
    EXPECT_TRUE(joined(net));
    EXPECT_EQ(changesTo(net, wire::MEMBER_DEAD), 0U) << "healing must kill nobody";
}

// A process is stopped for longer than any timeout, others hold it dead, and it
// wakes with overdue timers before it has read one answer. Judging by those would
// have it hold all others dead; it must judge nobody, and refute its own death.
TEST(Membership, APausedMemberWakesWithoutSuspectingOthers)
{
    GossipNetwork net = network(6);
    ASSERT_TRUE(joined(net));
    // Wherever in its probe period it is stopped: before, within or after a probe.
    constexpr int Stops = 50;
    for (int stop = 0; stop < Stops; ++stop) {
        net.run(std::chrono::milliseconds(500 + 10 * stop));
        net.setPaused(2, true);
        net.run(seconds(30));
        ASSERT_EQ(net.believersIn(2), 1U) << "only itself";
        net.clearObservations();
        net.setPaused(2, false);
        ASSERT_TRUE(joined(net));
        const bool suspectedOthers = std::any_of(
                net.observations().begin(), net.observations().end(), [](const auto &observation) {
                    return observation.by == 2
                           && observation.change.member.health() != wire::MEMBER_ALIVE;
                });
        ASSERT_FALSE(suspectedOthers) << "after stop " << stop;
    }
}

TEST(Membership, LeavingIsSpreadWithoutSuspicion)
{
    GossipNetwork net = network(9);
    ASSERT_TRUE(joined(net));
    net.clearObservations();
    net.at(3).leave(net.now());
    const Incarnation left = net.incarnation(3);
    net.run(seconds(10));
    EXPECT_EQ(changesTo(net, wire::MEMBER_LEFT), 8U);
    EXPECT_EQ(changesTo(net, wire::MEMBER_SUSPECT), 0U);
    EXPECT_FALSE(net.at(0).alive(left));
    EXPECT_EQ(net.at(3).nextDeadline(), Never);
}

TEST(Membership, DrainingIsSpread)
{
    GossipNetwork net = network(9);
    ASSERT_TRUE(joined(net));
    net.clearObservations();
    net.at(3).setDraining(true);
    net.run(seconds(10));
    std::size_t told = 0;
    for (const auto &observation : net.observations()) {
        told += observation.change.member.draining() ? 1 : 0;
    }
    EXPECT_EQ(told, 8U);
}

// Datagrams come from anywhere, also from another system at a reused address.
// Whatever they hold, the membership stays as it was.
TEST(Membership, ForeignAndBrokenDatagramsChangeNothing)
{
    GossipNetwork net = network(3);
    ASSERT_TRUE(joined(net));
    net.clearObservations();
    wire::GossipMessage message;
    net.at(0).onMessage(message, net.now());
    message.mutable_from()->set_incarnation("x");
    net.at(0).onMessage(message, net.now());
    wire::MemberEntry *unknown = message.add_members();
    unknown->set_incarnation("forgotten");
    unknown->set_health(wire::MEMBER_DEAD);
    message.set_acknowledge(true);
    message.set_probe(1);
    net.at(0).onMessage(message, net.now());
    EXPECT_TRUE(net.at(0).takeChanges().empty());
    EXPECT_EQ(net.at(0).members().size(), 3U);
}

// At 5% loss one probe in ten has no direct answer. A false suspicion may arise,
// but must be refuted in time: a member held dead by mistake moves its keys.
RC_GTEST_PROP(MembershipUnderLoss, FalseSuspicionsEndBeforeADeath, ())
{
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    const auto members = *rc::gen::inRange<std::size_t>(2, 14);
    GossipNetwork net = network(members, 0.05, seed);
    RC_ASSERT(joined(net));
    net.clearObservations();
    net.run(seconds(30));
    RC_ASSERT(changesTo(net, wire::MEMBER_DEAD) == 0U);
}

// At 10% loss suspicions are many, and a member that misses a refutation holds the
// suspect dead by mistake. Three things are there against it: a doubted member is told
// so in each message to it, suspects are asked once more before their time is up, and
// a change rides on some copies more than the logarithm. Without any one of them this
// fails.
TEST(Membership, NoFalseDeathAtTenPercentLoss)
{
    constexpr uint64_t Runs = 600;
    constexpr double Loss = 0.1;
    std::size_t suspicions = 0;
    for (uint64_t seed = 1; seed <= Runs; ++seed) {
        GossipNetwork net = network(8, Loss, seed);
        ASSERT_TRUE(joined(net));
        net.clearObservations();
        net.run(minutes(1));
        suspicions += changesTo(net, wire::MEMBER_SUSPECT);
        ASSERT_EQ(changesTo(net, wire::MEMBER_DEAD), 0U) << "seed " << seed;
    }
    EXPECT_GT(suspicions, Runs) << "the runs must have something to refute";
}

// Members that have met suffer loss, kills, restarts, cuts and pauses in any order;
// once these end, all that run believe each other live and nobody else.
RC_GTEST_PROP(MembershipUnderLoss, ConvergesAfterAnyFaults, ())
{
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    const auto members = *rc::gen::inRange<std::size_t>(3, 10);
    const auto faults = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
    GossipNetwork net = network(members, 0.1, seed);
    RC_ASSERT(joined(net));
    std::vector<bool> running(members, true);
    std::vector<bool> paused(members, false);
    for (std::size_t i = 0; i < faults.size(); ++i) {
        const std::size_t victim = (seed + i) % members;
        if (faults[i] == 0 && !paused[victim]) {
            running[victim] ? net.kill(victim) : net.restart(victim);
            running[victim] = !running[victim];
        } else if (faults[i] == 1) {
            net.cutAt((seed + i) % members);
        } else if (faults[i] == 2 && running[victim]) {
            paused[victim] = !paused[victim];
            net.setPaused(victim, paused[victim]);
        }
        net.run(seconds(1 + static_cast<int>(seed % 7)));
    }
    net.cutAt(0);
    for (std::size_t i = 0; i < members; ++i) {
        if (paused[i]) {
            net.setPaused(i, false);
        }
    }
    net.setLoss(0.0);
    RC_ASSERT(net.runUntil([&] { return net.converged(); }, minutes(5)).has_value());
}

} // namespace
