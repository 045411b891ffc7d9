/// Routers, keepers and endpoints as separate processes, which are killed, cut
/// and stopped while callers wait. Each run's history is checked at its end.

#include <csignal>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Standins/EngineStandin.h"
#include "test/Support/Fleet.h"

using namespace sequoiagate;

namespace {

constexpr const char *Workspace = "fretwise";

FleetShape twoHosts()
{
    FleetShape shape;
    shape.hosts = {{"a1", "a"}, {"a2", "a"}};
    shape.endpoints = {{.name = "engine-1", .domain = "a", .slots = 512},
                       {.name = "bookings-1", .domain = "a", .service = "bookings", .plain = true},
                       {.name = "bookings-2", .domain = "a", .service = "bookings", .plain = true}};
    shape.workspaces = {{Workspace, 10'000'000}};
    return shape;
}

ChatCall chatOf(const Fleet &fleet, std::size_t host, const std::string &request, uint64_t tokens)
{
    ChatCall call = fleet.chatCall(host, Workspace, request);
    call.prompt = fmt::format("tokens={}", tokens);
    call.maxTokens = tokens;
    return call;
}

std::string expectedAnswer(const std::string &request, uint64_t tokens)
{
    EngineStream stream;
    stream.workspace = Workspace;
    stream.request = request;
    std::string text;
    for (uint64_t position = 0; position < tokens; ++position) {
        text += stream.token(position);
    }
    return text;
}

/// Waits until the engine has generated \p tokens of the request.
void awaitGenerated(const Fleet &fleet, const std::string &request, uint64_t tokens)
{
    httplib::Client client("http://" + fleet.endpointAddress("engine-1"));
    const std::string path = fmt::format("/v1/streams?request={}&workspace={}", request, Workspace);
    for (uint64_t generated = 0; generated < tokens;) {
        const httplib::Result result = client.Get(path);
        const nlohmann::json answer = nlohmann::json::parse(result ? result->body : "{}");
        for (const nlohmann::json &stream : answer.value("streams", nlohmann::json::array())) {
            generated = std::max(generated, stream.at("generated").get<uint64_t>());
        }
    }
}

// A caller's stream stands still when its router dies by SIGKILL. The caller comes
// back at another router with the last event id that it saw, and gets the rest of
// its own answer: the id carries what the dead router knew. It is billed once.
TEST(Fleet, StreamOutlivesItsRouter)
{
    Fleet fleet(twoHosts());
    setFaults(fleet.endpointAddress("engine-1"), {{"token_ms", 10}});
    ChatCall call = chatOf(fleet, 0, "r1", 80);
    CallerAnswer first;
    std::thread caller([&] { first = fleet.caller().chat(call); });
    awaitGenerated(fleet, "r1", 20);
    fleet.router(0).kill();
    caller.join();
    ASSERT_FALSE(first.whole);
    ASSERT_GT(first.chunks, 0U);
    call.router = fleet.chatCall(1, Workspace, "r1").router;
    call.lastEventId = first.lastEventId;
    const CallerAnswer rest = fleet.caller().chat(call);
    EXPECT_TRUE(rest.whole) << rest.code;
    EXPECT_EQ(first.content + rest.content, expectedAnswer("r1", 80));
    fleet.waitBilled(Workspace, {"r1"});
    const History history = fleet.history();
    EXPECT_EQ(history.bills.size(), 1U);
    expectHolds(history);
}

// A router dies and its caller never comes back. The keeper asks the engine how
// far the stream got, and bills that.
TEST(Fleet, StreamOfADeadRouterIsBilled)
{
    Fleet fleet(twoHosts());
    setFaults(fleet.endpointAddress("engine-1"), {{"token_ms", 10}});
    std::thread caller([&] { fleet.caller().chat(chatOf(fleet, 0, "r1", 80)); });
    awaitGenerated(fleet, "r1", 20);
    fleet.router(0).kill();
    caller.join();
    fleet.waitBilled(Workspace, {"r1"});
    expectHolds(fleet.history());
}

struct EngineFault
{
    const char *name;
    const char *faults;
};

constexpr EngineFault EngineFaults[] = {
        {"CutMidStream", R"({"cut_after": 9})"},
        {"CutBeforeTheFirstChunk", R"({"cut_after": 0})"},
        {"Swapped", R"({"swap_chunks": true})"},
};

class FleetStream : public testing::TestWithParam<EngineFault>
{};

// The engine's connection breaks, or its chunks come swapped, while several callers
// read their streams. Each gets its own whole answer.
TEST_P(FleetStream, IsWholeAndItsCallersOwn)
{
    Fleet fleet(twoHosts());
    setFaults(fleet.endpointAddress("engine-1"), nlohmann::json::parse(GetParam().faults));
    std::vector<std::thread> callers;
    std::vector<std::string> requests;
    for (std::size_t i = 0; i < 8; ++i) {
        requests.push_back(fmt::format("r{}", i));
        callers.emplace_back([&fleet, i, request = requests.back()] {
            const CallerAnswer answer = fleet.caller().chat(chatOf(fleet, i % 2, request, 40));
            EXPECT_TRUE(answer.whole) << answer.code;
            EXPECT_EQ(answer.content, expectedAnswer(request, 40));
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    fleet.waitBilled(Workspace, requests);
    expectHolds(fleet.history());
}

INSTANTIATE_TEST_SUITE_P(Faults, FleetStream, testing::ValuesIn(EngineFaults),
                         [](const auto &row) { return std::string(row.param.name); });

// A caller that sees nothing retries its request at both routers at once, again and
// again. One run answers it; the others attach, or are told that it runs or ran. One
// bill stands.
TEST(Fleet, RetriesOfOneRequestAreBilledOnce)
{
    Fleet fleet(twoHosts());
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 6; ++i) {
        callers.emplace_back([&fleet, i] {
            const CallerAnswer answer = fleet.caller().chat(chatOf(fleet, i % 2, "r1", 40));
            if (answer.status == 200) {
                EXPECT_EQ(answer.content, expectedAnswer("r1", 40));
            } else {
                EXPECT_EQ(answer.code, "already_running");
                EXPECT_NE(answer.execution, "not_run");
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    fleet.waitBilled(Workspace, {"r1"});
    const History history = fleet.history();
    EXPECT_EQ(history.bills.size(), 1U);
    expectHolds(history);
}

// A booking's answer is lost after it took effect. Its caller is told that it may
// have run, also when it retries at the other router; it isn't sent a second time.
TEST(Fleet, BookingWithALostAnswerIsNeverResent)
{
    Fleet fleet(twoHosts());
    setFaults(fleet.endpointAddress("bookings-1"), {{"lose_answers", 1}});
    setFaults(fleet.endpointAddress("bookings-2"), {{"lose_answers", 1}});
    const std::string key = uuidV7();
    for (std::size_t i = 0; i < 4; ++i) {
        const CallerAnswer answer =
                fleet.caller().plain(fleet.plainCall(i % 2, Workspace, "bookings", key));
        EXPECT_EQ(answer.execution, "may_have_run") << answer.content;
    }
    expectHolds(fleet.history());
}

// A caller asks what became of its bookings: one that it never sent, one that ran, one
// whose answer was lost. Any router tells it, and tells nobody else.
TEST(Fleet, BookingsCallerIsToldWhatBecameOfIt)
{
    Fleet fleet(twoHosts());
    const PlainCall ran = fleet.plainCall(0, Workspace, "bookings", uuidV7());
    EXPECT_EQ(fleet.caller().runState(ran), "unknown");
    EXPECT_EQ(fleet.caller().plain(ran).status, 200);
    setFaults(fleet.endpointAddress("bookings-1"), {{"lose_answers", 1}});
    setFaults(fleet.endpointAddress("bookings-2"), {{"lose_answers", 1}});
    const PlainCall lost = fleet.plainCall(0, Workspace, "bookings", uuidV7());
    EXPECT_EQ(fleet.caller().plain(lost).execution, "may_have_run");
    // The outcome reaches the log a moment after the answer.
    const Instant giveUpAt = std::chrono::steady_clock::now() + Seconds(20);
    for (const std::size_t host : {0, 1}) {
        PlainCall question = fleet.plainCall(host, Workspace, "bookings", ran.idempotencyKey);
        while (fleet.caller().runState(question) != "ran") {
            ASSERT_LT(std::chrono::steady_clock::now(), giveUpAt);
        }
        question.idempotencyKey = lost.idempotencyKey;
        const std::string state = fleet.caller().runState(question);
        EXPECT_TRUE(state == "pending" || state == "may_have_run") << state;
    }
    expectHolds(fleet.history());
}

// One booking is sent to both routers at the same moment, many times. It runs once:
// only the first claim in the log's order is sent. The others get its answer, or are
// told that it is pending.
TEST(Fleet, SameKeyAtBothRoutersRunsOnce)
{
    Fleet fleet(twoHosts());
    for (int round = 0; round < 5; ++round) {
        const std::string key = uuidV7();
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < 4; ++i) {
            callers.emplace_back([&fleet, &key, i] {
                const CallerAnswer answer =
                        fleet.caller().plain(fleet.plainCall(i % 2, Workspace, "bookings", key));
                EXPECT_TRUE(answer.status == 200 || answer.code == "already_claimed")
                        << answer.status << answer.content;
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }
    expectHolds(fleet.history());
}

// Both keepers are frozen when a stream ends and its router is asked to stop. The
// router stays until one of them holds the bill; then it ends by itself.
TEST(Fleet, PlannedStopHandsItsBillsOver)
{
    Fleet fleet(twoHosts());
    setFaults(fleet.endpointAddress("engine-1"), {{"token_ms", 10}});
    std::thread caller([&] { fleet.caller().chat(chatOf(fleet, 0, "r1", 60)); });
    awaitGenerated(fleet, "r1", 5);
    fleet.keeper(0).signal(SIGSTOP);
    fleet.keeper(1).signal(SIGSTOP);
    fleet.router(0).signal(SIGTERM);
    caller.join();
    fleet.router(0).waitFor("outbox.unreachable");
    EXPECT_TRUE(fleet.router(0).running());
    fleet.keeper(0).signal(SIGCONT);
    fleet.keeper(1).signal(SIGCONT);
    EXPECT_EQ(fleet.router(0).wait(), 0);
    fleet.waitBilled(Workspace, {"r1"});
    expectHolds(fleet.history());
}

// A keeper is frozen while requests for it arrive. They are served through the other
// one; when the first wakes, the reservations that it makes late are ended, so that
// its own planned stop finds nothing open and strands nothing.
TEST(Fleet, FrozenKeeperKeepsNoReservation)
{
    Fleet fleet(twoHosts());
    fleet.caller().chat(chatOf(fleet, 0, "r0", 10));
    const std::string home =
            fleet.router(0).waitFor(std::string(events::RequestReserved)).at("keeper");
    const std::string first =
            fleet.keeper(0).waitFor(std::string(events::ProcessStarted)).at("incarnation");
    Process &homeKeeper = fleet.keeper(home == first ? 0 : 1);
    homeKeeper.signal(SIGSTOP);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 4; ++i) {
        callers.emplace_back([&fleet, i] {
            const std::string request = fmt::format("late-{}", i);
            EXPECT_TRUE(fleet.caller().chat(chatOf(fleet, 0, request, 10)).whole);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    homeKeeper.signal(SIGCONT);
    fleet.waitBilled(Workspace, {"r0", "late-0", "late-1", "late-2", "late-3"});
    homeKeeper.signal(SIGTERM);
    EXPECT_EQ(homeKeeper.wait(), 0);
    expectHolds(fleet.history());
}

// The log is away when a request ends, so its bill can't be durable; then the keeper
// that holds it dies. The router, which kept the bill too, hands it to the other
// keeper, and it stands in the log once the log is back.
TEST(Fleet, BillOutlivesItsKeeper)
{
    Fleet fleet(twoHosts());
    fleet.caller().chat(chatOf(fleet, 0, "r1", 10));
    fleet.waitBilled(Workspace, {"r1"});
    setFaults(fleet.logAddress(), {{"down", true}});
    EXPECT_TRUE(fleet.caller().chat(chatOf(fleet, 0, "r2", 10)).whole);
    const auto ofSecond = [](const Process::Line &line) {
        return line.value("request", "") == "r2";
    };
    const std::string home =
            fleet.router(0).waitFor(std::string(events::RequestReserved), ofSecond).at("keeper");
    const std::string first =
            fleet.keeper(0).waitFor(std::string(events::ProcessStarted)).at("incarnation");
    Process &homeKeeper = fleet.keeper(home == first ? 0 : 1);
    homeKeeper.waitFor(std::string(events::ReservationSettled), ofSecond);
    homeKeeper.kill();
    setFaults(fleet.logAddress(), {{"down", false}});
    fleet.waitBilled(Workspace, {"r2"});
    expectHolds(fleet.history());
}

// One of two engines says that it leaves, while callers go on sending for several
// seconds. All are served, and the leaving one gets nothing new past the first three.
TEST(Fleet, LeavingEngineGetsNoNewWork)
{
    FleetShape shape = twoHosts();
    shape.endpoints.push_back({.name = "engine-2", .domain = "a"});
    Fleet fleet(shape);
    setFaults(fleet.endpointAddress("engine-1"), {{"leaving", true}});
    const Instant until = std::chrono::steady_clock::now() + Seconds(5);
    std::vector<std::thread> callers;
    std::vector<std::vector<std::string>> sent(4);
    for (std::size_t i = 0; i < sent.size(); ++i) {
        callers.emplace_back([&fleet, &requests = sent[i], i, until] {
            while (std::chrono::steady_clock::now() < until) {
                const std::string request = fmt::format("r{}-{}", i, requests.size());
                requests.push_back(request);
                const CallerAnswer answer = fleet.caller().chat(chatOf(fleet, i % 2, request, 10));
                EXPECT_TRUE(answer.whole) << answer.code;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const std::vector<std::string> &requests : sent) {
        fleet.waitBilled(Workspace, requests);
    }
    expectHolds(fleet.history());
}

// A router is asked to stop while forty streams are open. Each ends whole; its
// keeper holds all bills when the process ends, by itself and with exit code 0.
TEST(Fleet, PlannedStopCutsNothingOff)
{
    Fleet fleet(twoHosts());
    setFaults(fleet.endpointAddress("engine-1"), {{"token_ms", 10}});
    constexpr std::size_t Streams = 40;
    std::vector<std::thread> callers;
    std::vector<std::string> requests;
    for (std::size_t i = 0; i < Streams; ++i) {
        requests.push_back(fmt::format("r{}", i));
        callers.emplace_back([&fleet, request = requests.back()] {
            const CallerAnswer answer = fleet.caller().chat(chatOf(fleet, 0, request, 60));
            EXPECT_TRUE(answer.whole) << answer.status << answer.code;
        });
    }
    for (const std::string &request : requests) {
        awaitGenerated(fleet, request, 1);
    }
    fleet.router(0).signal(SIGTERM);
    fleet.router(0).waitFor(std::string(events::ProcessDraining));
    const CallerAnswer late = fleet.caller().chat(chatOf(fleet, 0, "late", 5));
    EXPECT_EQ(late.code, "draining");
    EXPECT_EQ(late.execution, "not_run");
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(fleet.router(0).wait(), 0);
    fleet.waitBilled(Workspace, requests);
    expectHolds(fleet.history());
}

struct OpeningRow
{
    const char *name;
    const char *workClass;
    bool comesBack; ///< may be turned away at first
};

constexpr OpeningRow OpeningRows[] = {
        {"Batch", "batch", false},
        {"Interactive", "interactive", true},
};

class FourHundredCallers : public testing::TestWithParam<OpeningRow>
{};

/// Calls, and comes back when it is told to, until it is served.
void callUntilServed(Fleet &fleet, ChatCall call, bool comesBack)
{
    for (;;) {
        const CallerAnswer answer = fleet.caller().chat(call);
        const bool turnedAway = answer.status == 429 && answer.retryAfterMs > 0;
        if (!turnedAway || !comesBack) {
            EXPECT_TRUE(answer.whole) << call.request << ' ' << answer.status << ' ' << answer.code;
            return;
        }
        EXPECT_EQ(answer.execution, "not_run");
        std::this_thread::sleep_for(Millis(answer.retryAfterMs));
    }
}

// 400 callers open their streams in one moment: a full listen backlog and a thread
// for each let all of them in. Batch work waits its turn, and is served at the first
// try. Interactive work that can't start within its 300 ms is told when to come back,
// as on a machine too busy for the engine's first tokens, and is served then.
TEST_P(FourHundredCallers, AreServed)
{
    FleetShape shape = twoHosts();
    shape.hosts.resize(1);
    shape.routerSettings = {{"connections", 450}, {"slots", 450}, {"queue_wait_ms", 20'000}};
    shape.routerSettings["queue_limit"] = 450;
    Fleet fleet(shape);
    std::vector<std::thread> callers;
    std::vector<std::string> requests;
    for (std::size_t i = 0; i < 400; ++i) {
        requests.push_back(fmt::format("r{}", i));
        callers.emplace_back([&fleet, request = requests.back()] {
            ChatCall call = chatOf(fleet, 0, request, 10);
            call.workClass = GetParam().workClass;
            callUntilServed(fleet, call, GetParam().comesBack);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    fleet.waitBilled(Workspace, requests);
    expectHolds(fleet.history());
}

INSTANTIATE_TEST_SUITE_P(Classes, FourHundredCallers, testing::ValuesIn(OpeningRows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
