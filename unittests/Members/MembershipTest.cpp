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

bool waitUntilConverged(GossipNetwork &net)
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

TEST_P(MembershipOfSize, JoinsThroughSeedsWithoutSuspicions)
{
    GossipNetwork net = network(GetParam());
    ASSERT_TRUE(waitUntilConverged(net));
    net.clearObservations();
    net.run(seconds(60));
    EXPECT_TRUE(net.observations().empty()) << "no suspicions without packet loss";
}

TEST_P(MembershipOfSize, DetectsFailureWithBoundedDatagrams)
{
    GossipNetwork net = network(GetParam());
    ASSERT_TRUE(waitUntilConverged(net));
    net.kill(GetParam() - 1);
    EXPECT_TRUE(net.runUntil([&] { return net.converged(); }, minutes(1)));
    constexpr uint64_t SafeDatagram = 1400;
    EXPECT_LE(net.takeTraffic().largest, SafeDatagram);
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipOfSize, testing::Values(2, 3, 9, 40),
                         [](const auto &row) { return "Of" + std::to_string(row.param); });

// The process of a host is killed and a new one starts at the same address. The first
// message from that address under another incarnation shows that the old process has
// terminated: it is declared dead at once, without a suspicion period.
TEST(Membership, RestartedProcessReplacesOldIncarnation)
{
    GossipNetwork net = network(5);
    ASSERT_TRUE(waitUntilConverged(net));
    const Incarnation old = net.incarnation(4);
    net.clearObservations();
    net.kill(4);
    net.restart(4);
    ASSERT_TRUE(waitUntilConverged(net));
    EXPECT_TRUE(net.runUntil([&] { return !net.at(0).alive(old); }, seconds(10)));
    EXPECT_NE(net.incarnation(4), old);
    EXPECT_EQ(changesTo(net, wire::MEMBER_SUSPECT), 0U);
}

// A partition lasts until both sides have declared each other dead. From then on, no
// regular message is sent to the other side, since dead members aren't chosen as peers.
// Without the probes of dead members, the sides would stay separate permanently after
// the partition heals.
TEST(Membership, ConvergesAfterLongPartition)
{
    GossipNetwork net = network(12);
    ASSERT_TRUE(waitUntilConverged(net));
    net.cutAt(5);
    net.run(minutes(30));
    ASSERT_EQ(net.believersIn(0), 5U);
    ASSERT_EQ(net.believersIn(11), 7U);
    net.clearObservations();
    net.cutAt(0);
    EXPECT_TRUE(waitUntilConverged(net));
    EXPECT_EQ(changesTo(net, wire::MEMBER_DEAD), 0U)
            << "no member may be declared dead when the partition heals";
}

// A process is paused for longer than any timeout, so the others declare it dead. It
// resumes with overdue timers before it has read any response. If it acted on those
// timers, it would suspect all others. It must suspect no member, and refute its own
// death.
TEST(Membership, PausedMemberResumesWithoutSuspectingOthers)
{
    GossipNetwork net = network(6);
    ASSERT_TRUE(waitUntilConverged(net));
    // Pauses at different points of the probe period: before, during and after a probe.
    constexpr int Pauses = 50;
    for (int pause = 0; pause < Pauses; ++pause) {
        net.run(std::chrono::milliseconds(500 + 10 * pause));
        net.setPaused(2, true);
        net.run(seconds(30));
        ASSERT_EQ(net.believersIn(2), 1U) << "sees only itself alive";
        net.clearObservations();
        net.setPaused(2, false);
        ASSERT_TRUE(waitUntilConverged(net));
        const bool suspectedOthers = std::any_of(
                net.observations().begin(), net.observations().end(), [](const auto &observation) {
                    return observation.by == 2
                           && observation.change.member.health() != wire::MEMBER_ALIVE;
                });
        ASSERT_FALSE(suspectedOthers) << "after pause " << pause;
    }
}

TEST(Membership, LeaveIsDisseminatedWithoutSuspicion)
{
    GossipNetwork net = network(9);
    ASSERT_TRUE(waitUntilConverged(net));
    net.clearObservations();
    net.at(3).leave(net.now());
    const Incarnation left = net.incarnation(3);
    net.run(seconds(10));
    EXPECT_EQ(changesTo(net, wire::MEMBER_LEFT), 8U);
    EXPECT_EQ(changesTo(net, wire::MEMBER_SUSPECT), 0U);
    EXPECT_FALSE(net.at(0).alive(left));
    EXPECT_EQ(net.at(3).nextDeadline(), Never);
}

TEST(Membership, DrainingIsDisseminated)
{
    GossipNetwork net = network(9);
    ASSERT_TRUE(waitUntilConverged(net));
    net.clearObservations();
    net.at(3).setDraining(true);
    net.run(seconds(10));
    std::size_t notified = 0;
    for (const auto &observation : net.observations()) {
        notified += observation.change.member.draining() ? 1 : 0;
    }
    EXPECT_EQ(notified, 8U);
}

// Datagrams can come from anywhere, for example from another system at a reused
// address. Foreign or malformed ones must not change the membership.
TEST(Membership, IgnoresForeignAndMalformedDatagrams)
{
    GossipNetwork net = network(3);
    ASSERT_TRUE(waitUntilConverged(net));
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

// At 5% loss, one probe in ten gets no direct response. False suspicions may arise, but
// must be refuted in time: when a member is wrongly declared dead, its keys move.
RC_GTEST_PROP(MembershipUnderLoss, FalseSuspicionsAreRefutedInTime, ())
{
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    const auto members = *rc::gen::inRange<std::size_t>(2, 14);
    GossipNetwork net = network(members, 0.05, seed);
    RC_ASSERT(waitUntilConverged(net));
    net.clearObservations();
    net.run(seconds(30));
    RC_ASSERT(changesTo(net, wire::MEMBER_DEAD) == 0U);
}

// At 10% loss there are many suspicions, and a member that misses a refutation wrongly
// declares the suspect dead. Three mechanisms prevent this: each message to a suspected
// member contains its entry, suspects are probed again before their deadline, and each
// change is sent in some copies more than the logarithmic number. The test fails if any
// one of them is missing.
TEST(Membership, NoFalseDeathsAtTenPercentLoss)
{
    constexpr uint64_t Runs = 600;
    constexpr double Loss = 0.1;
    std::size_t suspicions = 0;
    for (uint64_t seed = 1; seed <= Runs; ++seed) {
        GossipNetwork net = network(8, Loss, seed);
        ASSERT_TRUE(waitUntilConverged(net));
        net.clearObservations();
        net.run(minutes(1));
        suspicions += changesTo(net, wire::MEMBER_SUSPECT);
        ASSERT_EQ(changesTo(net, wire::MEMBER_DEAD), 0U) << "seed " << seed;
    }
    EXPECT_GT(suspicions, Runs) << "the runs must contain suspicions to refute";
}

// After joining, the members undergo packet loss, kills, restarts, partitions and pauses
// in any order. Once these end, each running member considers exactly the running members
// alive.
RC_GTEST_PROP(MembershipUnderLoss, ConvergesAfterAnyFaults, ())
{
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    const auto members = *rc::gen::inRange<std::size_t>(3, 10);
    const auto faults = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
    GossipNetwork net = network(members, 0.1, seed);
    RC_ASSERT(waitUntilConverged(net));
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
