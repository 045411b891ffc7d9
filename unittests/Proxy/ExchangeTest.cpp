/// What callers see of one request when endpoints answer well, badly or not at all.

#include <gtest/gtest.h>

#include "ProxyWorld.h"

using namespace sequoiagate;

namespace {

constexpr const char *Head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n";

std::string plain(const std::string &body)
{
    return std::string(Head) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string status(int code, const std::string &fields = "")
{
    return "HTTP/1.1 " + std::to_string(code) + " X\r\nRequest-Id: {id}\r\n" + fields
           + "Content-Length: 0\r\n\r\n";
}

/// A status that the endpoint itself gave.
std::string signedStatus(int code)
{
    return status(code, "Response-Stamp: s\r\n");
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string chunk(const std::string &data)
{
    return writeChunk(data);
}

std::string streamHead()
{
    return std::string(Head)
           + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

struct AnswerCase
{
    const char *name;
    const char *path;
    std::vector<std::vector<Reply>> endpoints;
    std::string expected;      ///< in what the caller gets
    std::string forbidden;     ///< not in it
    bool closes;               ///< the caller's connection
    std::vector<int> received; ///< requests, by endpoint
    int spent;                 ///< tokens
};

class ExchangeAnswer : public testing::TestWithParam<AnswerCase>
{};

const AnswerCase AnswerCases[] = {
        {"Whole", "/get/a", {{{plain("good")}}}, "good", "", false, {1}, 140},
        {"EndpointsOwnFailureIsPassedOn",
         "/once/a",
         {{{signedStatus(500)}}},
         "HTTP/1.1 500",
         "",
         false,
         {1},
         100},
        // The caller would get a failure that another endpoint's answer can spare it.
        {"IdempotentGoesElsewhereAfterAFailure",
         "/get/a",
         {{{signedStatus(500)}}, {{plain("good")}}},
         "good",
         "500",
         false,
         {1, 1},
         140},
        {"IdempotentGoesElsewhereAfterAReset",
         "/get/a",
         {{{"", Afterwards::Reset}}, {{plain("good")}}},
         "good",
         "",
         false,
         {1, 1},
         140},
        {"IdempotentGoesElsewhereAfterACutAnswer",
         "/get/a",
         {{{std::string(Head) + "Content-Length: 9\r\n\r\nhal", Afterwards::Close}},
          {{plain("good")}}},
         "good",
         "hal",
         false,
         {1, 1},
         140},
        // A booking is made twice: the endpoint ran it and its answer was lost.
        {"OnceIsNeverSentAgainAfterAReset",
         "/once/a",
         {{{"", Afterwards::Reset}}, {{plain("x")}}},
         "HTTP/1.1 502",
         "Retry-After",
         false,
         {1, 0},
         132},
        {"OnceIsNeverSentAgainAfterACutAnswer",
         "/once/a",
         {{{std::string(Head) + "Content-Length: 9\r\n\r\nhal", Afterwards::Close}},
          {{plain("x")}}},
         "HTTP/1.1 502",
         "hal",
         false,
         {1, 0},
         132},
        {"OnceGoesElsewhereIfItWasNotRun",
         "/once/a",
         {{{status(503, "Not-Executed: 1\r\n")}}, {{plain("good")}}},
         "good",
         "503",
         false,
         {1, 1},
         140},
        {"NotRunIsToldWithTheTimeToComeBack",
         "/once/a",
         {{{status(503, "Not-Executed: 1\r\n")}}},
         "Retry-After: 0.",
         "Response-Stamp",
         false,
         {1},
         0},
        // The address is another endpoint's by now: the request has not run there.
        {"AnotherEndpointHasTheAddress",
         "/once/a",
         {{{status(421)}}, {{plain("good")}}},
         "good",
         "421",
         false,
         {1, 1},
         140},
        // The caller gets another caller's answer: an endpoint's second answer to an earlier
        // request came late, where the next one was expected.
        {"AnothersAnswerIsntTaken",
         "/once/a",
         {{{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\nContent-Length: 3\r\n\r\n"
            "bad"}}},
         "HTTP/1.1 502",
         "bad",
         false,
         {1},
         100},
        // A call is made twice, or its caller is told that it wasn't run: the endpoint's refusal of
        // an earlier request came late, where the answer was expected.
        {"RefusalOfAnothersRequestPromisesNothing",
         "/once/a",
         {{{"HTTP/1.1 503 X\r\nRequest-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"}},
          {{plain("bad")}}},
         "HTTP/1.1 502",
         "bad",
         false,
         {1, 0},
         100},
        {"MisdirectionOfAnothersRequestPromisesNothing",
         "/once/a",
         {{{"HTTP/1.1 421 X\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"}}, {{plain("bad")}}},
         "HTTP/1.1 502",
         "bad",
         false,
         {1, 0},
         100},
        {"EncodedAnswerIsntTheEndpointsBody",
         "/get/a",
         {{{std::string(Head) + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nbad"}},
          {{plain("good")}}},
         "good",
         "bad",
         false,
         {1, 1},
         140},
        {"UnsignedAnswerIsntTaken",
         "/get/a",
         {{{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 3\r\n\r\nbad"}},
          {{plain("good")}}},
         "good",
         "bad",
         false,
         {1, 1},
         140},
        // Whoever has an endpoint's address by now ends a caller's request with its 404.
        {"UnsignedNotFoundIsntTheEndpointsAnswer",
         "/get/a",
         {{{status(404)}}, {{plain("good")}}},
         "good",
         "404",
         false,
         {1, 1},
         140},
        {"UnsignedRedirectIsntTheEndpointsAnswer",
         "/get/a",
         {{{status(302)}}, {{plain("good")}}},
         "good",
         "HTTP/1.1 302",
         false,
         {1, 1},
         140},
        {"UnsignedUnauthorizedIsntTheEndpointsAnswer",
         "/get/a",
         {{{status(401)}}, {{plain("good")}}},
         "good",
         "HTTP/1.1 401",
         false,
         {1, 1},
         140},
        {"UnsignedForbiddenOfACallThatMayHaveRunPromisesNothing",
         "/once/a",
         {{{status(403)}}},
         "HTTP/1.1 502",
         "HTTP/1.1 403",
         false,
         {1},
         100},
        {"UnsignedUnavailableOfACallThatMayHaveRunPromisesNothing",
         "/once/a",
         {{{status(503)}}},
         "HTTP/1.1 502",
         "HTTP/1.1 503",
         false,
         {1},
         100},
        {"EndpointsOwnNotFoundIsPassedOn",
         "/get/a",
         {{{signedStatus(404)}}},
         "HTTP/1.1 404",
         "",
         false,
         {1},
         100},
        {"UnframedAnswerEndsWithItsConnection",
         "/get/a",
         {{{std::string(Head) + "\r\ngood", Afterwards::Close}}},
         "good",
         "",
         false,
         {1},
         140},
        {"UnframedAnswerThatWasResetIsCut",
         "/once/a",
         {{{std::string(Head) + "\r\nbad", Afterwards::Reset}}},
         "HTTP/1.1 502",
         "bad",
         false,
         {1},
         132},
        {"StreamIsPassedOn",
         "/stream/a",
         {{{streamHead() + chunk(event(0)) + chunk(event(1)) + "0\r\n\r\n"}}},
         "0\r\n\r\n",
         "",
         false,
         {1},
         108},
        // A workspace gets output beside its budget.
        {"EventWithoutAnIdIsCharged",
         "/stream/a",
         {{{streamHead() + chunk(event(0)) + chunk("data: x\n\n") + "0\r\n\r\n"}}},
         "0\r\n\r\n",
         "",
         false,
         {1},
         108},
        // What the caller has must not look complete.
        {"CutStreamClosesTheConnection",
         "/stream/a",
         {{{streamHead() + chunk(event(0)), Afterwards::Reset}}, {{plain("x")}}},
         "id: 0",
         "0\r\n\r\n",
         true,
         {1, 0},
         136},
        {"HalfAnEventIsntPassedOn",
         "/stream/a",
         {{{streamHead() + chunk(event(0) + "id: 1\nda"), Afterwards::Close}}},
         "id: 0",
         "id: 1",
         true,
         {1},
         136},
        {"MissingEventEndsTheStream",
         "/stream/a",
         {{{streamHead() + chunk(event(0)) + chunk(event(2)) + "0\r\n\r\n"}}},
         "id: 0",
         "id: 2",
         true,
         {1},
         136},
        {"ResumableStreamGoesOnElsewhere",
         "/resume/a",
         {{{streamHead() + chunk(event(0)) + chunk("id: 1\nda"), Afterwards::Close}},
          {{streamHead() + chunk(event(1)) + "0\r\n\r\n"}}},
         "id: 1\ndata: x\n\n\r\n0\r\n\r\n",
         "",
         false,
         {1, 1},
         140},
        // A stream that breaks off is framed as whole: the endpoint that was to go on with it
        // answers with a failure, which is no stream, and ends in order.
        {"FailureInTheMiddleOfAStreamCutsIt",
         "/resume/a",
         {{{streamHead() + chunk(event(0)), Afterwards::Close}}, {{signedStatus(500)}}},
         "id: 0",
         "0\r\n\r\n",
         true,
         {1, 1},
         136},
        {"TimeoutIsAnsweredThen",
         "/short/a",
         {{{"", Afterwards::Hang}}},
         "HTTP/1.1 504",
         "Retry-After",
         false,
         {1},
         132},
};

TEST_P(ExchangeAnswer, IsWhatTheCallerGets)
{
    const AnswerCase &row = GetParam();
    ProxyTestHarness world(row.endpoints);
    world.send(ProxyTestHarness::request(row.path, "r1"));
    EXPECT_TRUE(world.waitFor(row.expected)) << world.got();
    if (row.closes) {
        EXPECT_TRUE(world.waitForClose()) << world.got();
    }
    EXPECT_TRUE(world.waitUntil([&world] { return world.desk.settled == 1; }));
    EXPECT_EQ(world.closed(), row.closes);
    if (!row.forbidden.empty()) {
        EXPECT_EQ(world.got().find(row.forbidden), std::string::npos) << world.got();
    }
    for (std::size_t i = 0; i < row.received.size(); ++i) {
        EXPECT_EQ(world.endpoints[i]->received().size(), row.received[i]) << "endpoint " << i;
    }
    EXPECT_EQ(world.desk.spent, row.spent);
    EXPECT_EQ(world.desk.reserved, 0U);
    EXPECT_EQ(world.placement.sent, world.placement.ended);
}

INSTANTIATE_TEST_SUITE_P(Rows, ExchangeAnswer, testing::ValuesIn(AnswerCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct RefusalCase
{
    const char *name;
    std::string request;
    std::string expected;
};

class ExchangeRefusal : public testing::TestWithParam<RefusalCase>
{};

const RefusalCase RefusalCases[] = {
        {"UnknownHost",
         "GET /get/a HTTP/1.1\r\nHost: other\r\nRequest-Id: r\r\nAuthorization: Token key\r\n\r\n",
         "HTTP/1.1 404"},
        {"UnknownPath", "GET /nowhere/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n\r\n",
         "HTTP/1.1 404"},
        {"UnknownKey",
         "GET /get/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n"
         "Authorization: Token no\r\n\r\n",
         "HTTP/1.1 401"},
        {"WithoutKey", "GET /get/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n\r\n",
         "HTTP/1.1 401"},
        {"WithoutId", "GET /get/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key\r\n\r\n",
         "HTTP/1.1 400"},
        {"BudgetSpent", ProxyTestHarness::request("/get/a", "r", "Token-Count: 1\r\n"),
         "HTTP/1.1 402"},
        {"Malformed", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400"},
};

TEST_P(ExchangeRefusal, ReachesNoEndpoint)
{
    ProxyTestHarness world({{{plain("bad")}}});
    world.desk.usable = 10;
    world.send(GetParam().request);
    EXPECT_TRUE(world.waitFor(GetParam().expected)) << world.got();
    EXPECT_TRUE(world.endpoints[0]->received().empty());
}

INSTANTIATE_TEST_SUITE_P(Rows, ExchangeRefusal, testing::ValuesIn(RefusalCases),
                         [](const auto &row) { return std::string(row.param.name); });

std::string largeRequest()
{
    return ProxyTestHarness::request("/get/a", "r",
                                     "X-Padding: " + std::string(20'000, 'x') + "\r\n");
}

struct StaleConfigCase
{
    const char *name;
    bool isKnown; ///< whether there is a configuration at all
    std::string request;
};

class ExchangeWithStaleConfig : public testing::TestWithParam<StaleConfigCase>
{};

const StaleConfigCase StaleConfigCases[] = {
        {"NoneKnown", false, ProxyTestHarness::request("/get/a", "r")},
        {"NoneKnownAndOverTheDefaultLimits", false, largeRequest()},
        {"OverItsLimits", true, largeRequest()},
        {"RouteItLacks", true, ProxyTestHarness::request("/added/a", "r")},
        {"KeyItLacks", true,
         "GET /get/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n"
         "Authorization: Token added\r\n\r\n"},
        {"BudgetItKnows", true, ProxyTestHarness::request("/get/a", "r")},
};

// A newer configuration that can't be read now may allow what the known one doesn't.
TEST_P(ExchangeWithStaleConfig, RefusesOnlyForNow)
{
    ProxyTestHarness world({{{plain("bad")}}});
    world.configIsCurrent = false;
    world.desk.usable = 10;
    if (!GetParam().isKnown) {
        world.config.reset();
    }
    world.send(GetParam().request);
    EXPECT_TRUE(world.waitFor("HTTP/1.1 503")) << world.got();
    EXPECT_NE(world.got().find("Retry-After"), std::string::npos);
    EXPECT_TRUE(world.endpoints[0]->received().empty());
}

INSTANTIATE_TEST_SUITE_P(Rows, ExchangeWithStaleConfig, testing::ValuesIn(StaleConfigCases),
                         [](const auto &row) { return std::string(row.param.name); });

// A connection that was open when the limits were raised turns away what they allow.
TEST(Exchange, RequestWithinLimitsThatWereRaisedMeanwhileIsServed)
{
    ProxyTestHarness world({{{plain("good")}}});
    const auto raised = std::make_shared<ServingConfig>(*world.config);
    raised->limits.maxHeaderBytes = 2 * world.config->limits.maxHeaderBytes;
    const std::string padding(world.config->limits.maxHeaderBytes, 'x');
    world.config = raised;
    world.send(ProxyTestHarness::request("/get/a", "r", "X-Padding: " + padding + "\r\n"));
    EXPECT_TRUE(world.waitFor("good")) << world.got();
}

// The caller sees nothing; its endpoint works on for nobody. The caller leaves while the
// endpoint still works; the endpoint's connection is closed, by which it notices.
TEST(Exchange, CallerThatLeavesEndsTheEndpointsWork)
{
    ProxyTestHarness world({{{"", Afterwards::Hang}}});
    world.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(world.waitUntil([&world] { return world.endpoints[0]->received().size() == 1; }));
    world.hangUp();
    EXPECT_TRUE(world.waitUntil([&world] { return world.endpoints[0]->closedByPeer() == 1; }));
    EXPECT_TRUE(world.waitUntil([&world] { return world.desk.settled == 1; }));
}

/// Nobody takes connections from its full queue: those that come are never answered.
class FullQueue
{
public:
    explicit FullQueue(boost::asio::io_context &io) : acceptor_(io)
    {
        using boost::asio::ip::tcp;
        acceptor_.open(tcp::v4());
        acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
        tcp::socket &first = waiting_.emplace_back(io);
        first.connect(address());
    }

    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<boost::asio::ip::tcp::socket> waiting_;
};

struct UnconnectedCase
{
    const char *name;
    const char *path;
    bool leaves; ///< the caller does, before the deadline
};

class UnconnectedExchange : public testing::TestWithParam<UnconnectedCase>
{};

const UnconnectedCase UnconnectedCases[] = {
        {"CallerLeaves", "/once/a", true},
        {"DeadlinePasses", "/short/a", false},
};

// A workspace pays for a request of which no byte left.
TEST_P(UnconnectedExchange, IsChargedNothing)
{
    ProxyTestHarness world({{{plain("x")}}});
    const FullQueue queue(world.io);
    world.placement.endpoints[0].address = queue.address();
    world.send(ProxyTestHarness::request(GetParam().path, "r"));
    EXPECT_TRUE(world.waitUntil([&world] { return world.placement.sent == 1; }));
    if (GetParam().leaves) {
        world.hangUp();
    }
    EXPECT_TRUE(world.waitUntil([&world] { return world.desk.settled == 1; }));
    EXPECT_TRUE(world.placement.missing.empty());
    EXPECT_EQ(world.desk.spent, 0U);
    EXPECT_EQ(world.desk.reserved, 0U);
}

INSTANTIATE_TEST_SUITE_P(Rows, UnconnectedExchange, testing::ValuesIn(UnconnectedCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Exchange, UnreachableEndpointIsntASending)
{
    ProxyTestHarness world({{}, {{plain("good")}}});
    world.endpoints[0]->stopListening();
    world.placement.repeatsLeft = 0;
    world.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(world.waitFor("good"));
    EXPECT_EQ(world.placement.missing, std::vector<EndpointId>{EndpointId("e0")});
}

// A caller waits until its deadline while its request is tried at one endpoint after the
// other. It is this host's own link that is full: none of them can be reached in time, and
// each would be taken for dead.
TEST(Exchange, OwnFullLinkIsntTakenForDeadEndpoints)
{
    ProxyTestHarness world({{}, {{plain("good")}}});
    world.endpoints[0]->stopListening();
    world.link.setBytesPerSecond(1'000);
    world.link.onReceived(1'000'000, std::chrono::steady_clock::now());
    world.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(world.waitFor("HTTP/1.1 429"));
    EXPECT_TRUE(world.placement.missing.empty());
    EXPECT_TRUE(world.endpoints[1]->received().empty());
}

// A caller waits until its deadline while all endpoints of a service are gone.
TEST(Exchange, GivesUpAfterThreeUnreachableEndpoints)
{
    ProxyTestHarness world({{}, {}, {}, {{plain("good")}}});
    for (int i = 0; i < 3; ++i) {
        world.endpoints[static_cast<std::size_t>(i)]->stopListening();
    }
    world.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(world.waitFor("HTTP/1.1 503"));
    EXPECT_EQ(world.placement.missing.size(), 3U);
    EXPECT_TRUE(world.endpoints[3]->received().empty());
}

TEST(Exchange, WithoutRepeatsLeftAFailureIsPassedOn)
{
    ProxyTestHarness world({{{signedStatus(500)}}, {{plain("good")}}});
    world.placement.repeatsLeft = 0;
    world.send(ProxyTestHarness::request("/get/a", "r"));
    EXPECT_TRUE(world.waitFor("HTTP/1.1 500"));
}

// The caller gets pieces twice. Its stream broke off, it asks again and names its last
// event; an endpoint that isn't told begins from the start.
TEST(Exchange, CallersOwnPositionIsForwarded)
{
    ProxyTestHarness world({{{streamHead() + chunk(event(8)) + "0\r\n\r\n"}}});
    world.send(ProxyTestHarness::request("/resume/a", "r", "Last-Event-Id: 7\r\n"));
    EXPECT_TRUE(world.waitFor("id: 8"));
    const HttpFields &fields = world.endpoints[0]->received()[0].head.fields;
    ASSERT_NE(findField(fields, "Last-Event-Id"), nullptr);
    EXPECT_EQ(*findField(fields, "Last-Event-Id"), "7");
}

TEST(Exchange, EndpointIsToldWhatTheCallerMayNotSay)
{
    ProxyTestHarness world({{{plain("good")}}});
    world.send(ProxyTestHarness::request("/once/a?q=1", "r",
                                         "Tenant: other\r\nKv-From: x\r\nX-Mine: 1\r\n"));
    EXPECT_TRUE(world.waitFor("good"));
    const CallerRequest &received = world.endpoints[0]->received()[0];
    EXPECT_EQ(received.head.target, "/once/a?q=1");
    EXPECT_EQ(received.body, "hi");
    EXPECT_EQ(*findField(received.head.fields, "Tenant"), "w");
    EXPECT_EQ(*findField(received.head.fields, "Expect-Instance"), "e0");
    EXPECT_EQ(*findField(received.head.fields, "X-Mine"), "1");
    EXPECT_EQ(findField(received.head.fields, "Kv-From"), nullptr);
    EXPECT_EQ(findField(received.head.fields, "Authorization"), nullptr);
    EXPECT_LE(std::stoi(*findField(received.head.fields, "Deadline-Ms")), 4000);
}

TEST(CallerConnection, ServesPipelinedRequestsInTheirOrder)
{
    ProxyTestHarness world({{{plain("first")}, {plain("second")}}});
    world.send(ProxyTestHarness::request("/get/a", "r1")
               + ProxyTestHarness::request("/get/b", "r2"));
    EXPECT_TRUE(world.waitFor("second"));
    EXPECT_LT(world.got().find("first"), world.got().find("second"));
}

// The next caller's request gets this one's second answer. An endpoint sends more than one
// answer; the connection it came on isn't used again.
TEST(CallerConnection, EndpointsSurplusBytesEndItsConnection)
{
    ProxyTestHarness world({{{plain("first") + plain("extra")}, {plain("second")}}});
    world.send(ProxyTestHarness::request("/get/a", "r1"));
    EXPECT_TRUE(world.waitFor("first"));
    world.send(ProxyTestHarness::request("/get/b", "r2"));
    EXPECT_TRUE(world.waitFor("second"));
    EXPECT_EQ(world.got().find("extra"), std::string::npos);
}

// A request in progress is cut off by a planned stop. It ends whole, and its answer says that
// the connection closes.
TEST(CallerConnection, StopEndsTheConnectionBehindTheAnswer)
{
    ProxyTestHarness world({{{plain("good")}}});
    world.stopping = true;
    world.send(ProxyTestHarness::request("/get/a", "r1"));
    EXPECT_TRUE(world.waitFor("good"));
    EXPECT_NE(world.got().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(world.waitForClose());
}

} // namespace
