/// A host is lost with all that ran on it: its router and its keeper die in one moment.

#include <csignal>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"
#include "test/Support/Fleet.h"

using namespace sequoiagate;

namespace {

/// Half of these have their home keeper on either host.
constexpr int Workspaces = 6;

FleetShape twoHosts()
{
    FleetShape shape;
    shape.hosts = {{"a1", "a"}, {"a2", "a"}};
    shape.endpoints = {{"engine-1", "a"}};
    for (int i = 0; i < Workspaces; ++i) {
        shape.workspaces.push_back({fmt::format("w{}", i), 1'000'000});
    }
    // A router that is lost shall be noticed soon, so that the test is short.
    shape.keeperSettings = {{"router_silent_ms", 2000}};
    return shape;
}

void loseHost(Fleet &fleet)
{
    // SIGKILL is sent to both before either is waited for: one moment.
    fleet.router(0).signal(SIGKILL);
    fleet.keeper(0).signal(SIGKILL);
    fleet.router(0).kill();
    fleet.keeper(0).kill();
}

ChatCall callOf(Fleet &fleet, int workspace, const char *prompt)
{
    ChatCall call = fleet.chatCall(0, fmt::format("w{}", workspace), "r1");
    call.prompt = prompt;
    call.maxTokens = 400;
    return call;
}

void waitBilled(Fleet &fleet)
{
    for (int i = 0; i < Workspaces; ++i) {
        fleet.waitBilled(fmt::format("w{}", i), {"r1"});
    }
}

void getWholeAnswers(Fleet &fleet)
{
    std::vector<std::thread> callers;
    for (int i = 0; i < Workspaces; ++i) {
        callers.emplace_back([&fleet, i] {
            EXPECT_TRUE(fleet.caller().chat(callOf(fleet, i, "tokens=30")).whole);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
}

// Callers have just got their whole answers when the host is lost. Each answer is
// billed all the same: before its end was passed on, a keeper on another host held
// the bill, since the host's own router and keeper die together.
TEST(HostLost, AfterAWholeAnswerItIsBilled)
{
    Fleet fleet(twoHosts());
    getWholeAnswers(fleet);
    loseHost(fleet);
    waitBilled(fleet);
    expectHolds(fleet.history());
}

// The second keeper has just started and hasn't read the ledger: it takes the bills all the same.
TEST(HostLost, BesideAKeeperWithoutTheLedgerAnswersAreBilled)
{
    Fleet fleet(twoHosts());
    fleet.keeper(1).kill();
    fleet.restartKeeper(1, {"log"});
    const std::string started = fleet.keeper(1).waitFor("process.started").at("incarnation");
    fleet.keeper(0).waitFor("member.changed", [&](const Process::Line &line) {
        return line.value("member_incarnation", "") == started && line.value("draining", false);
    });
    fleet.keeper(1).waitFor("member.changed");
    // Its first view of the keepers is one with the second in this state.
    fleet.restartRouter(0);
    getWholeAnswers(fleet);
    loseHost(fleet);
    fleet.cut(1, {});
    waitBilled(fleet);
    expectHolds(fleet.history());
}

// Streams are open when the host is lost, and their callers give up. What the engine
// did for them is billed by a keeper on another host, which knew of the streams.
TEST(HostLost, WithOpenStreamsTheyAreBilled)
{
    Fleet fleet(twoHosts());
    std::vector<std::thread> callers;
    for (int i = 0; i < Workspaces; ++i) {
        callers.emplace_back([&fleet, i] { fleet.caller().chat(callOf(fleet, i, "tokens=400")); });
    }
    for (int i = 0; i < Workspaces; ++i) {
        const std::string workspace = fmt::format("w{}", i);
        fleet.standins().waitFor(std::string(events::EndpointReceived),
                                 [&](const Process::Line &line) {
                                     return line.value("workspace", "") == workspace;
                                 });
    }
    // Some tokens have come, so that the routers have told the keepers of the streams.
    std::this_thread::sleep_for(Millis(200));
    loseHost(fleet);
    for (std::thread &caller : callers) {
        caller.join();
    }
    waitBilled(fleet);
    expectHolds(fleet.history());
}

} // namespace
