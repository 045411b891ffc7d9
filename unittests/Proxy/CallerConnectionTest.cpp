/// Closing, draining and stopping of callers' connections, and their idle timeout.

#include <thread>

#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

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
    void (*close)(ProxyTestHarness &harness);
    const char *logField;
};

class CallerConnectionClose : public testing::TestWithParam<CloseCase>
{};

const CloseCase CloseCases[] = {
        {"CallerDisconnects", [](ProxyTestHarness &harness) { harness.closeCaller(); },
         "\"why\":\"peer_closed\""},
        {"ConnectionIsReset", [](ProxyTestHarness &harness) { harness.reset(); },
         "\"why\":\"read_failed\""},
        {"StopIsForced", [](ProxyTestHarness &harness) { harness.connection().forceClose(); },
         "\"why\":\"stop_forced\""},
};

// Guards against a request that ends without a response and without a log line saying which
// side closed its connection.
TEST_P(CallerConnectionClose, IsLoggedWithItsReason)
{
    ProxyTestHarness harness({{{"", AfterReply::Hang}}});
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    ASSERT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[0]->received().size() == 1; }));
    GetParam().close(harness);
    EXPECT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[0]->closedByPeer() == 1; }));
    EXPECT_EQ(harness.countLogLines(GetParam().logField), 1U);
    EXPECT_EQ(harness.countLogLines("\"passed_on\":true"), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, CallerConnectionClose, testing::ValuesIn(CloseCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct StopCase
{
    const char *name;
    const char *path;
    std::vector<Reply> replies;
    const char *before; ///< received by the caller before the stop
    const char *expected;
    const char *forbidden;
};

class CallerConnectionStop : public testing::TestWithParam<StopCase>
{};

const StopCase StopCases[] = {
        {"RequestForwarded",
         "/once/a",
         {{"", AfterReply::Hang}},
         "",
         "HTTP/1.1 502",
         "Retry-After"},
        {"StreamStarted",
         "/stream/a",
         {{streamHead() + writeChunk("id: 1\ndata: x\n\n"), AfterReply::Hang}},
         "id: 1",
         "id: 1",
         "0\r\n\r\n"},
};

// Guards against closing the connection without a response when a request outlasts the grace
// period of a stop.
TEST_P(CallerConnectionStop, CallerGetsAnErrorOrATruncatedStream)
{
    ProxyTestHarness harness({GetParam().replies});
    harness.send(ProxyTestHarness::request(GetParam().path, "r"));
    ASSERT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[0]->received().size() == 1; }));
    ASSERT_TRUE(harness.waitFor(GetParam().before));
    harness.stopping = true;
    harness.connection().stop();
    EXPECT_TRUE(harness.waitFor(GetParam().expected)) << harness.received();
    EXPECT_TRUE(harness.waitForClose());
    EXPECT_EQ(harness.received().find(GetParam().forbidden), std::string::npos)
            << harness.received();
    EXPECT_EQ(harness.endpoints[0]->closedByPeer(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, CallerConnectionStop, testing::ValuesIn(StopCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against closing the connection of a request that was forwarded, when its idle timeout
// expires in the same iteration of the event loop.
TEST(CallerConnection, RequestReadTogetherWithTheIdleTimeoutIsAnswered)
{
    ProxyTestSettings settings;
    settings.idleTimeout = std::chrono::milliseconds(1);
    ProxyTestHarness harness({{{plain("good")}}}, settings);
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    std::this_thread::sleep_for(2 * settings.idleTimeout);
    EXPECT_TRUE(harness.waitFor("good")) << harness.received();
}

// Guards against a 400 for a valid request whose bytes arrive together with the response to the
// previous one.
TEST(CallerConnection, RequestReadTogetherWithThePreviousResponseIsServed)
{
    ProxyTestHarness harness({{{plain("first")}, {plain("second")}}});
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[0]->received().size() == 1; }));
    harness.send(ProxyTestHarness::request("/get/b", "r2"));
    EXPECT_TRUE(harness.waitFor("second")) << harness.received();
    EXPECT_EQ(harness.received().find("400"), std::string::npos) << harness.received();
}

// Guards against a planned stop that truncates a response while its caller is still reading.
TEST(CallerConnection, DrainWaitsUntilTheResponseIsWritten)
{
    ProxyTestSettings settings;
    settings.isCallerSlow = true;
    const std::string body(200'000, 'x');
    ProxyTestHarness harness({{{plain(body + "end")}}}, settings);
    harness.send(ProxyTestHarness::request("/get/a", "r"));
    ASSERT_TRUE(harness.waitUntil([&harness] { return harness.tokenReservations.settled == 1; }));
    harness.stopping = true;
    harness.connection().drain();
    harness.readAsCaller();
    EXPECT_TRUE(harness.waitFor("xend")) << harness.received().size();
    harness.connection().drain();
    EXPECT_TRUE(harness.waitForClose());
}

// Guards against a planned stop that closes a connection whose request has arrived and isn't read
// yet: a busy host reads it some hundred milliseconds later.
TEST(CallerConnection, DrainAnswersARequestThatHasArrived)
{
    ProxyTestHarness harness({{{plain("first")}, {plain("second")}}});
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(harness.waitFor("first"));
    harness.stopping = true;
    harness.send(ProxyTestHarness::request("/get/a", "r2"));
    harness.connection().drain();
    EXPECT_TRUE(harness.waitFor("second"));
    EXPECT_FALSE(harness.wasReset());
    EXPECT_TRUE(harness.waitForClose());
}

// Guards against a planned stop that closes a new connection whose request has been taken from the
// socket while the handler of the read waits behind those of other connections.
TEST(CallerConnection, DrainAnswersARequestWhoseReadHandlerIsQueued)
{
    ProxyTestSettings settings;
    settings.sentBefore = ProxyTestHarness::request("/get/a", "r");
    ProxyTestHarness harness({{{plain("good")}}}, settings);
    harness.stopping = true;
    harness.connection().drain();
    EXPECT_TRUE(harness.waitFor("good")) << harness.received();
    EXPECT_FALSE(harness.wasReset());
    EXPECT_TRUE(harness.waitForClose());
}

// Guards against a planned stop that waits for callers who have nothing to send.
TEST(CallerConnection, DrainClosesAnIdleConnection)
{
    ProxyTestHarness harness({{{plain("good")}}});
    harness.stopping = true;
    harness.connection().drain();
    EXPECT_TRUE(harness.waitForClose());
    EXPECT_EQ(harness.received(), "");
}

struct DisconnectCase
{
    const char *name;
    void (*disconnect)(ProxyTestHarness &harness);
};

class CallerDisconnectedEarly : public testing::TestWithParam<DisconnectCase>
{};

const DisconnectCase DisconnectCases[] = {
        {"Closed",
         [](ProxyTestHarness &harness) {
             harness.closeCaller();
         }},
        {"Reset",
         [](ProxyTestHarness &harness) {
             harness.reset();
         }},
};

// Guards against forwarding a request whose caller has already disconnected.
TEST_P(CallerDisconnectedEarly, RequestIsNotForwarded)
{
    ProxyTestHarness harness({{{plain("first")}, {plain("second")}}});
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(harness.waitFor("first"));
    harness.send(ProxyTestHarness::request("/get/b", "r2"));
    GetParam().disconnect(harness);
    for (int i = 0; i < 20; ++i) {
        harness.io.restart();
        harness.io.run_one_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(harness.countLogLines("request.sent"), 1U);
    EXPECT_EQ(harness.countLogLines("request.caller_gone"), 0U);
    EXPECT_EQ(harness.endpoints[0]->received().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, CallerDisconnectedEarly, testing::ValuesIn(DisconnectCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against waiting for a stalled endpoint until the deadline when the previous attempt
// had lost its connection.
TEST(ExchangeStall, IsDetectedAfterALostConnection)
{
    ProxyTestHarness harness(
            {{{"", AfterReply::Close}}, {{"", AfterReply::Hang}}, {{plain("good")}}});
    harness.config->routes[0].maxAttempts = 3;
    harness.config->routes[0].latencyTarget = std::chrono::milliseconds(100);
    harness.send(ProxyTestHarness::request("/get/a", "r"));
    EXPECT_TRUE(harness.waitFor("good")) << harness.received();
}

struct IdleTimeoutCase
{
    const char *name;
    Interval idleTimeout;
    bool stopping;
    const char *expected;
    const char *forbidden;
};

class CallerConnectionIdleTimeout : public testing::TestWithParam<IdleTimeoutCase>
{};

const IdleTimeoutCase IdleTimeoutCases[] = {
        {"Kept", std::chrono::seconds(15), false, "Keep-Alive: timeout=13\r\n",
         "Connection: close"},
        {"TooShortToAdvertise", std::chrono::milliseconds(2900), false, "good", "Keep-Alive"},
        {"Closed", std::chrono::seconds(15), true, "Connection: close", "Keep-Alive"},
};

// Guards against requests that are in flight when their idle connection is closed, because
// callers don't know the idle timeout.
TEST_P(CallerConnectionIdleTimeout, IsAdvertisedInTheResponse)
{
    ProxyTestSettings settings;
    settings.idleTimeout = GetParam().idleTimeout;
    ProxyTestHarness harness({{{plain("good")}}}, settings);
    harness.stopping = GetParam().stopping;
    harness.send(ProxyTestHarness::request("/get/a", "r"));
    EXPECT_TRUE(harness.waitFor("good"));
    EXPECT_NE(harness.received().find(GetParam().expected), std::string::npos)
            << harness.received();
    EXPECT_EQ(harness.received().find(GetParam().forbidden), std::string::npos)
            << harness.received();
}

INSTANTIATE_TEST_SUITE_P(Rows, CallerConnectionIdleTimeout, testing::ValuesIn(IdleTimeoutCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
