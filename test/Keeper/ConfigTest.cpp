/// Configuration and endpoint news among real keepers.

#include <csignal>
#include <thread>

#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"

#include "test/Keeper/BareRouter.h"

using namespace sequoiagate;

namespace {

const char *const Workspace = "luthier";
constexpr std::size_t Hosts = 3;

FleetShape threeHosts()
{
    FleetShape shape;
    shape.hosts = {{"h1", "d1"}, {"h2", "d1"}, {"h3", "d2"}};
    shape.endpoints = {{"engine1", "d1"}, {"engine2", "d2"}};
    shape.workspaces = {{Workspace, 10'000}};
    shape.withRouters = false;
    shape.keeperSettings = {{"probe_period_ms", 100},       {"probe_timeout_ms", 80},
                            {"suspicion_ms", 400},          {"suspect_grace_ms", 1000},
                            {"log_silent_ms", 700},         {"tail_wait_ms", 200},
                            {"config_peer_period_ms", 100}, {"endpoint_probe_ms", 200}};
    return shape;
}

class Configuration : public testing::Test
{
protected:
    Configuration()
    {
        for (std::size_t host = 0; host < Hosts; ++host) {
            fleet_.waitInForce(host, 1);
        }
        // Everybody knows everybody before anything is cut.
        for (std::size_t host = 0; host < Hosts; ++host) {
            awaitPeers(host, Hosts);
        }
    }

    BareRouter router(std::size_t host)
    {
        return BareRouter(fleet_.keeper(host).address(), fleet_.endpointAddress("engine1"));
    }
    /// Cuts a keeper off and waits until its filter is in effect.
    void cut(std::size_t host, const std::vector<std::string> &blocked)
    {
        const std::size_t before = fleet_.keeper(host).lines().size();
        fleet_.cut(host, blocked);
        await("the cut", [&] {
            const std::vector<Process::Line> lines = fleet_.keeper(host).lines();
            return std::any_of(lines.begin() + static_cast<std::ptrdiff_t>(before), lines.end(),
                               [](const Process::Line &line) {
                                   return line.value("event", "") == "links.filtered";
                               });
        });
    }
    template <typename Done>
    void await(const std::string &what, const Done &done)
    {
        const Instant giveUpAt = std::chrono::steady_clock::now() + Seconds(20);
        while (!done()) {
            if (std::chrono::steady_clock::now() > giveUpAt) {
                throw std::runtime_error("waited in vain for " + what);
            }
            std::this_thread::sleep_for(Millis(20));
        }
    }
    void awaitPeers(std::size_t host, std::size_t count)
    {
        BareRouter asking = router(host);
        await("peers", [&] { return asking.status().members_size() >= static_cast<int>(count); });
    }
    /// How long after its acceptance by the log each host had the version in force.
    Millis slowest(uint64_t version, const std::vector<std::size_t> &hosts)
    {
        const std::string accepted =
                fleet_.standins()
                        .waitFor("log.accepted",
                                 [&](const Process::Line &line) {
                                     return line.value("stream", "") == "config"
                                            && line.value("offset", uint64_t{0}) + 1 == version;
                                 })
                        .value("hlc", "");
        int64_t latest = 0;
        for (const std::size_t host : hosts) {
            fleet_.waitInForce(host, version);
            const Process::Line line = fleet_.keeper(host).waitFor(
                    std::string(events::ConfigInForce), [&](const Process::Line &candidate) {
                        return candidate.value("version", uint64_t{0}) >= version;
                    });
            latest = std::max<int64_t>(latest, std::stoll(line.value("hlc", "").substr(0, 17)));
        }
        return Millis((latest - std::stoll(accepted.substr(0, 17))) / 1000);
    }

    Fleet fleet_{threeHosts()};
};

/// The product's own promise, by the events' stamps; runs far below it.
constexpr Millis InForceWithin{5000};

/// An operator's change is in force on every host that the log reaches.
TEST_F(Configuration, IsInForceOnAllReachableHosts)
{
    const uint64_t version = fleet_.topUp(Workspace, "t1", 100);
    EXPECT_LT(slowest(version, {0, 1, 2}), InForceWithin);
    expectHolds(fleet_.history());
}

/// One host is cut off from the log and hears of the change from its peers.
TEST_F(Configuration, ReachesAHostThatHasOnlyPeers)
{
    cut(1, {"log"});
    const uint64_t version = fleet_.topUp(Workspace, "t1", 100);
    EXPECT_LT(slowest(version, {0, 1, 2}), InForceWithin);
    expectHolds(fleet_.history());
}

/// One host is cut off and misses a change; another's process is replaced while the log is
/// away, and the first peer that it can ask is the stale one. It must not go back to the
/// version that was replaced, and waits until it has heard the other peers too.
TEST_F(Configuration, NeverRevertsThroughRestartOutageAndAStalePeer)
{
    cut(0, {"log", "h2", "h3"});
    const uint64_t version = fleet_.topUp(Workspace, "t1", 100);
    fleet_.waitInForce(1, version);
    fleet_.waitInForce(2, version);
    setFaults(fleet_.logAddress(), {{"down", true}});
    fleet_.keeper(2).kill();
    fleet_.keeper(1).signal(SIGSTOP);
    // The stale host can be heard again; the other one is slow.
    cut(0, {"log"});
    fleet_.restartKeeper(2);
    fleet_.keeper(2).waitFor("config.from_peer", [](const Process::Line &line) {
        return line.value("version", 0) == 1;
    });
    fleet_.keeper(1).signal(SIGCONT);
    fleet_.waitInForce(2, version);
    fleet_.waitInForce(0, version);
    setFaults(fleet_.logAddress(), {{"down", false}});
    const uint64_t next = fleet_.topUp(Workspace, "t2", 100);
    cut(0, {});
    EXPECT_LT(slowest(next, {0, 1, 2}), InForceWithin);
    expectHolds(fleet_.history());
}

/// A new process that reaches neither the log nor a peer serves nothing, and says so.
TEST_F(Configuration, NewProcessWithoutPlatformOrPeerIsNotReady)
{
    setFaults(fleet_.logAddress(), {{"down", true}});
    fleet_.keeper(0).kill();
    fleet_.keeper(1).kill();
    fleet_.keeper(2).kill();
    fleet_.restartKeeper(0);
    BareRouter asking = router(0);
    EXPECT_FALSE(asking.status().serving());
    const wire::ReserveReply reply = asking.reserve({Workspace, "r1"});
    EXPECT_EQ(reply.refused().reason(), "not_ready");
    EXPECT_EQ(reply.refused().execution(), wire::NOT_RUN);
    setFaults(fleet_.logAddress(), {{"down", false}});
    fleet_.waitInForce(0, 1);
    EXPECT_TRUE(asking.status().serving());
}

/// An engine says that it is leaving; the platform's host list would say so 30 s later.
/// The routers of every domain hear of it by the keepers' views within the three seconds
/// after which no new work may reach it.
TEST_F(Configuration, LeavingEndpointReachesEveryView)
{
    setFaults(fleet_.endpointAddress("engine2"), {{"leaving", true}});
    fleet_.standins().waitFor(std::string(events::EndpointLeaving));
    const Instant toldAt = std::chrono::steady_clock::now();
    for (std::size_t host = 0; host < Hosts; ++host) {
        BareRouter asking = router(host);
        await("the leaving endpoint", [&] {
            const wire::ReadViewReply view = asking.readView();
            return std::any_of(view.endpoints().begin(), view.endpoints().end(),
                               [](const wire::EndpointObservation &observation) {
                                   return observation.endpoint() == "engine2"
                                          && observation.leaving();
                               });
        });
    }
    const auto took = std::chrono::steady_clock::now() - toldAt;
    RecordProperty("milliseconds", static_cast<int>(took / Millis(1)));
    std::printf("known everywhere after %d ms\n", static_cast<int>(took / Millis(1)));
}

} // namespace
