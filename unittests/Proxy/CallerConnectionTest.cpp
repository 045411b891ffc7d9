/// How a caller's connection ends while a request of it is open.

#include <thread>

#include <gtest/gtest.h>

#include "ProxyWorld.h"

using namespace sequoiagate;

namespace {

constexpr const char *Head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n";

std::string plain(const std::string &body)
{
    return std::string(Head) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead()
{
    return std::string(Head)
           + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

struct CloseCase
{
    const char *name;
    void (*close)(ProxyTestHarness &world);
    const char *why;
};

class CallerConnectionClose : public testing::TestWithParam<CloseCase>
{};

const CloseCase CloseCases[] = {
        {"CallerLeaves", [](ProxyTestHarness &world) { world.hangUp(); },
         "\"why\":\"peer_closed\""},
        {"ConnectionIsReset", [](ProxyTestHarness &world) { world.reset(); },
         "\"why\":\"read_failed\""},
        {"StopIsForced", [](ProxyTestHarness &world) { world.connection().forceClose(); },
         "\"why\":\"stop_forced\""},
};

// A request has no answer, and no line says which side closed its connection.
TEST_P(CallerConnectionClose, IsLoggedWithItsReason)
{
    ProxyTestHarness world({{{"", Afterwards::Hang}}});
    world.send(ProxyTestHarness::request("/once/a", "r"));
    ASSERT_TRUE(world.waitUntil([&world] { return world.endpoints[0]->received().size() == 1; }));
    GetParam().close(world);
    EXPECT_TRUE(world.waitUntil([&world] { return world.endpoints[0]->closedByPeer() == 1; }));
    EXPECT_EQ(world.logged(GetParam().why), 1U);
    EXPECT_EQ(world.logged("\"passed_on\":true"), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, CallerConnectionClose, testing::ValuesIn(CloseCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct CutOffCase
{
    const char *name;
    const char *path;
    std::vector<Reply> replies;
    const char *before; ///< what the caller has by then
    const char *told;
    const char *untold;
};

class CallerConnectionCutOff : public testing::TestWithParam<CutOffCase>
{};

const CutOffCase CutOffCases[] = {
        {"PassedOn", "/once/a", {{"", Afterwards::Hang}}, "", "HTTP/1.1 502", "Retry-After"},
        {"StreamBegun",
         "/stream/a",
         {{streamHead() + writeChunk("id: 1\ndata: x\n\n"), Afterwards::Hang}},
         "id: 1",
         "id: 1",
         "0\r\n\r\n"},
};

// A request that outlasts the grace of a stop ends with a closed connection and no answer.
TEST_P(CallerConnectionCutOff, CallerIsTold)
{
    ProxyTestHarness world({GetParam().replies});
    world.send(ProxyTestHarness::request(GetParam().path, "r"));
    ASSERT_TRUE(world.waitUntil([&world] { return world.endpoints[0]->received().size() == 1; }));
    ASSERT_TRUE(world.waitFor(GetParam().before));
    world.stopping = true;
    world.connection().stop();
    EXPECT_TRUE(world.waitFor(GetParam().told)) << world.got();
    EXPECT_TRUE(world.waitForClose());
    EXPECT_EQ(world.got().find(GetParam().untold), std::string::npos) << world.got();
    EXPECT_EQ(world.endpoints[0]->closedByPeer(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, CallerConnectionCutOff, testing::ValuesIn(CutOffCases),
                         [](const auto &row) { return std::string(row.param.name); });

// A request is passed on and its connection closed: its idle limit passed in the same round.
TEST(CallerConnection, RequestReadTogetherWithTheIdleTimeoutIsAnswered)
{
    ProxyWorldSettings settings;
    settings.idleTimeout = std::chrono::milliseconds(1);
    ProxyTestHarness world({{{plain("good")}}}, settings);
    world.send(ProxyTestHarness::request("/once/a", "r"));
    std::this_thread::sleep_for(2 * settings.idleTimeout);
    EXPECT_TRUE(world.waitFor("good")) << world.got();
}

// A sound request gets a 400, since its bytes came together with the answer to the one before.
TEST(CallerConnection, RequestReadTogetherWithTheAnswerBeforeIsServed)
{
    ProxyTestHarness world({{{plain("first")}, {plain("second")}}});
    world.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(world.waitUntil([&world] { return world.endpoints[0]->received().size() == 1; }));
    world.send(ProxyTestHarness::request("/get/b", "r2"));
    EXPECT_TRUE(world.waitFor("second")) << world.got();
    EXPECT_EQ(world.got().find("400"), std::string::npos) << world.got();
}

// An answer is cut off by a planned stop while its caller is still taking it.
TEST(CallerConnection, StopWaitsUntilTheAnswerIsTaken)
{
    ProxyWorldSettings settings;
    settings.isCallerSlow = true;
    const std::string body(200'000, 'x');
    ProxyTestHarness world({{{plain(body + "end")}}}, settings);
    world.send(ProxyTestHarness::request("/get/a", "r"));
    ASSERT_TRUE(world.waitUntil([&world] { return world.desk.settled == 1; }));
    world.stopping = true;
    world.connection().drain();
    world.readAsCaller();
    EXPECT_TRUE(world.waitFor("xend")) << world.got().size();
    world.connection().drain();
    EXPECT_TRUE(world.waitForClose());
}

struct GoneCase
{
    const char *name;
    void (*leave)(ProxyTestHarness &world);
};

class CallerGoneUnread : public testing::TestWithParam<GoneCase>
{};

const GoneCase GoneCases[] = {
        {"Closed",
         [](ProxyTestHarness &world) {
             world.hangUp();
         }},
        {"Reset",
         [](ProxyTestHarness &world) {
             world.reset();
         }},
};

// A request is passed on though its caller's connection has ended already.
TEST_P(CallerGoneUnread, RequestIsNotPassedOn)
{
    ProxyTestHarness world({{{plain("first")}, {plain("second")}}});
    world.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(world.waitFor("first"));
    world.send(ProxyTestHarness::request("/get/b", "r2"));
    GetParam().leave(world);
    for (int i = 0; i < 20; ++i) {
        world.io.restart();
        world.io.run_one_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(world.logged("request.sent"), 1U);
    EXPECT_EQ(world.logged("request.caller_gone"), 0U);
    EXPECT_EQ(world.endpoints[0]->received().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, CallerGoneUnread, testing::ValuesIn(GoneCases),
                         [](const auto &row) { return std::string(row.param.name); });

// An endpoint that is silent is kept until the deadline if the one before broke off.
TEST(ExchangeSilence, IsWatchedAfterABreak)
{
    ProxyTestHarness world(
            {{{"", Afterwards::Close}}, {{"", Afterwards::Hang}}, {{plain("good")}}});
    world.config->routes[0].maxAttempts = 3;
    world.config->routes[0].latencyTarget = std::chrono::milliseconds(100);
    world.send(ProxyTestHarness::request("/get/a", "r"));
    EXPECT_TRUE(world.waitFor("good")) << world.got();
}

struct IdleLimitCase
{
    const char *name;
    Interval idleTimeout;
    bool stopping;
    const char *said;
    const char *unsaid;
};

class CallerConnectionIdleLimit : public testing::TestWithParam<IdleLimitCase>
{};

const IdleLimitCase IdleLimitCases[] = {
        {"Kept", std::chrono::seconds(15), false, "Keep-Alive: timeout=13\r\n",
         "Connection: close"},
        {"TooShortToSay", std::chrono::milliseconds(2900), false, "good", "Keep-Alive"},
        {"Closed", std::chrono::seconds(15), true, "Connection: close", "Keep-Alive"},
};

// Requests cross the close of their connection: callers don't know its idle limit.
TEST_P(CallerConnectionIdleLimit, IsNamedInTheAnswer)
{
    ProxyWorldSettings settings;
    settings.idleTimeout = GetParam().idleTimeout;
    ProxyTestHarness world({{{plain("good")}}}, settings);
    world.stopping = GetParam().stopping;
    world.send(ProxyTestHarness::request("/get/a", "r"));
    EXPECT_TRUE(world.waitFor("good"));
    EXPECT_NE(world.got().find(GetParam().said), std::string::npos) << world.got();
    EXPECT_EQ(world.got().find(GetParam().unsaid), std::string::npos) << world.got();
}

INSTANTIATE_TEST_SUITE_P(Rows, CallerConnectionIdleLimit, testing::ValuesIn(IdleLimitCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
