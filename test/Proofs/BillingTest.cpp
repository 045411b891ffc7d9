/// Each request is billed once, whoever dies between its answer and its bill.

#include <csignal>
#include <thread>

#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"
#include "test/Support/Fleet.h"

using namespace sequoiagate;

namespace {

constexpr const char *Workspace = "fretwise";

FleetShape twoHosts()
{
    FleetShape shape;
    shape.hosts = {{"a1", "a"}, {"a2", "a"}};
    shape.endpoints = {{"engine-1", "a"}};
    shape.workspaces = {{Workspace, 1'000'000}};
    // A router that is lost shall be noticed soon, so that the test is short.
    shape.keeperSettings = {{"router_silent_ms", 2000}};
    return shape;
}

/// Index of the host whose keeper made the reservation of \p request.
std::size_t homeOf(Fleet &fleet, const std::string &request)
{
    const auto isOurs = [&](const Process::Line &line) {
        return line.value("request", "") == request;
    };
    const Process::Line reserved =
            fleet.router(0).waitFor(std::string(events::RequestReserved), isOurs);
    const std::string home = reserved.value("keeper", "");
    return fleet.keeper(0).lines().front().value("incarnation", "") == home ? 0 : 1;
}

/// A stream by the router of host 0 that is open when \p fault strikes, and whose
/// caller doesn't come back.
CallerAnswer callWhile(Fleet &fleet, const std::string &request, const std::function<void()> &fault)
{
    ChatCall call = fleet.chatCall(0, Workspace, request);
    call.prompt = "tokens=400";
    call.maxTokens = 400;
    CallerAnswer answer;
    std::thread caller([&] { answer = fleet.caller().chat(call); });
    fleet.standins().waitFor(std::string(events::EndpointReceived));
    fault();
    caller.join();
    return answer;
}

struct LossRow
{
    const char *name;
    void (*strike)(Fleet &fleet, const std::string &request);
};

class BilledOnce : public testing::TestWithParam<LossRow>
{};

TEST_P(BilledOnce, ThroughALossWhileTheStreamIsOpen)
{
    // The caller's stream is open when a process is lost; it ends whole, or it breaks and
    // the caller gives up. Somebody who is left knows the reservation and asks the engine
    // or holds the answer's count, so that what the engine did is billed, once.
    Fleet fleet(twoHosts());
    const std::string request = "r1";
    callWhile(fleet, request, [&] { GetParam().strike(fleet, request); });
    fleet.waitBilled(Workspace, {request});
    const History history = fleet.history();
    EXPECT_EQ(history.bills.size(), 1U);
    for (const FinalBill &bill : history.bills) {
        EXPECT_FALSE(bill.inDoubt);
    }
    expectHolds(history);
}

void killRouter(Fleet &fleet, const std::string & /*request*/)
{
    fleet.router(0).kill();
}

void killHomeKeeper(Fleet &fleet, const std::string &request)
{
    fleet.keeper(homeOf(fleet, request)).kill();
}

void loseAppendAnswers(Fleet &fleet, const std::string & /*request*/)
{
    setFaults(fleet.logAddress(), {{"lose_answers", 3}});
}

void killHomeKeeperWithTheLogAway(Fleet &fleet, const std::string &request)
{
    setFaults(fleet.logAddress(), {{"down", true}});
    fleet.keeper(homeOf(fleet, request)).kill();
    setFaults(fleet.logAddress(), {{"down", false}});
}

INSTANTIATE_TEST_SUITE_P(Losses, BilledOnce,
                         testing::Values(LossRow{"RouterKilled", killRouter},
                                         LossRow{"HomeKeeperKilled", killHomeKeeper},
                                         LossRow{"AppendAnswersLost", loseAppendAnswers},
                                         LossRow{"HomeKeeperKilledWithTheLogAway",
                                                 killHomeKeeperWithTheLogAway}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(BilledOnce, ThroughRetriesAtOtherRouters)
{
    // A client that lost its answer sends the same id to another router. It gets the
    // running stream, or is told that the request is billed; never a second run.
    Fleet fleet(twoHosts());
    ChatCall call = fleet.chatCall(0, Workspace, "r1");
    call.hangUpAfter = 3;
    call.prompt = "tokens=60";
    fleet.caller().chat(call);
    for (const std::size_t host : {1, 0, 1}) {
        ChatCall again = fleet.chatCall(host, Workspace, "r1");
        again.prompt = call.prompt;
        fleet.caller().chat(again);
    }
    fleet.waitBilled(Workspace, {"r1"});
    const History history = fleet.history();
    EXPECT_EQ(history.bills.size(), 1U);
    int runs = 0;
    for (const HistoryEvent &event : history.events) {
        runs += event.name == events::EndpointReceived ? 1 : 0;
    }
    EXPECT_EQ(runs, 1);
    expectHolds(history);
}

} // namespace
