/// What a caller receives for one request when endpoints respond, fail or don't respond.

#include <absl/strings/match.h>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

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

/// A status with the endpoint's own signature.
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

struct ResponseCase
{
    const char *name;
    const char *path;
    std::vector<std::vector<Reply>> endpoints;
    std::string expected;      ///< substring of what the caller receives
    std::string forbidden;     ///< substring that must not occur there
    bool closes;               ///< whether the caller's connection closes
    std::vector<int> received; ///< number of requests, by endpoint
    int spent;                 ///< tokens charged
};

class ExchangeResponse : public testing::TestWithParam<ResponseCase>
{};

const ResponseCase ResponseCases[] = {
        {"Complete", "/get/a", {{{plain("good")}}}, "good", "", false, {1}, 140},
        {"SignedFailureIsForwarded",
         "/once/a",
         {{{signedStatus(500)}}},
         "HTTP/1.1 500",
         "",
         false,
         {1},
         100},
        // Guards against forwarding a failure although another endpoint could serve the request.
        {"IdempotentIsRetriedAfterAFailure",
         "/get/a",
         {{{signedStatus(500)}}, {{plain("good")}}},
         "good",
         "500",
         false,
         {1, 1},
         140},
        {"IdempotentIsRetriedAfterAReset",
         "/get/a",
         {{{"", AfterReply::Reset}}, {{plain("good")}}},
         "good",
         "",
         false,
         {1, 1},
         140},
        {"IdempotentIsRetriedAfterATruncatedResponse",
         "/get/a",
         {{{std::string(Head) + "Content-Length: 9\r\n\r\nhal", AfterReply::Close}},
          {{plain("good")}}},
         "good",
         "hal",
         false,
         {1, 1},
         140},
        // Guards against running a request twice: the endpoint ran it, and the response was lost.
        {"NonIdempotentIsNotRetriedAfterAReset",
         "/once/a",
         {{{"", AfterReply::Reset}}, {{plain("x")}}},
         "HTTP/1.1 502",
         "Retry-After",
         false,
         {1, 0},
         132},
        {"NonIdempotentIsNotRetriedAfterATruncatedResponse",
         "/once/a",
         {{{std::string(Head) + "Content-Length: 9\r\n\r\nhal", AfterReply::Close}},
          {{plain("x")}}},
         "HTTP/1.1 502",
         "hal",
         false,
         {1, 0},
         132},
        {"NonIdempotentIsRetriedIfItWasNotExecuted",
         "/once/a",
         {{{status(503, "Not-Executed: 1\r\n")}}, {{plain("good")}}},
         "good",
         "503",
         false,
         {1, 1},
         140},
        {"NotExecutedIsRefusedWithRetryAfter",
         "/once/a",
         {{{status(503, "Not-Executed: 1\r\n")}}},
         "Retry-After: 0.",
         "Response-Stamp",
         false,
         {1},
         0},
        // The address belongs to another endpoint by now, which doesn't run the request.
        {"MisdirectedRequestIsRetried",
         "/once/a",
         {{{status(421)}}, {{plain("good")}}},
         "good",
         "421",
         false,
         {1, 1},
         140},
        // Guards against giving a caller another caller's response: an endpoint's second
        // response to an earlier request arrives late, where the next one is expected.
        {"ResponseToAnotherRequestIsRejected",
         "/once/a",
         {{{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\nContent-Length: 3\r\n\r\n"
            "bad"}}},
         "HTTP/1.1 502",
         "bad",
         false,
         {1},
         100},
        // Guards against running a request twice or reporting it as not run: the endpoint's refusal
        // of an earlier request arrives late, where the response is expected.
        {"RefusalOfAnotherRequestIsRejected",
         "/once/a",
         {{{"HTTP/1.1 503 X\r\nRequest-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"}},
          {{plain("bad")}}},
         "HTTP/1.1 502",
         "bad",
         false,
         {1, 0},
         100},
        {"MisdirectedStatusOfAnotherRequestIsRejected",
         "/once/a",
         {{{"HTTP/1.1 421 X\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"}}, {{plain("bad")}}},
         "HTTP/1.1 502",
         "bad",
         false,
         {1, 0},
         100},
        {"ResponseWithContentEncodingIsRejected",
         "/get/a",
         {{{std::string(Head) + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nbad"}},
          {{plain("good")}}},
         "good",
         "bad",
         false,
         {1, 1},
         140},
        {"UnsignedResponseIsRejected",
         "/get/a",
         {{{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 3\r\n\r\nbad"}},
          {{plain("good")}}},
         "good",
         "bad",
         false,
         {1, 1},
         140},
        // Guards against forwarding the 404 of a program that has taken over an endpoint's address.
        {"UnsignedNotFoundIsRejected",
         "/get/a",
         {{{status(404)}}, {{plain("good")}}},
         "good",
         "404",
         false,
         {1, 1},
         140},
        {"UnsignedRedirectIsRejected",
         "/get/a",
         {{{status(302)}}, {{plain("good")}}},
         "good",
         "HTTP/1.1 302",
         false,
         {1, 1},
         140},
        {"UnsignedUnauthorizedIsRejected",
         "/get/a",
         {{{status(401)}}, {{plain("good")}}},
         "good",
         "HTTP/1.1 401",
         false,
         {1, 1},
         140},
        {"UnsignedForbiddenOfANonIdempotentRequestIsRejected",
         "/once/a",
         {{{status(403)}}},
         "HTTP/1.1 502",
         "HTTP/1.1 403",
         false,
         {1},
         100},
        {"UnsignedUnavailableOfANonIdempotentRequestIsRejected",
         "/once/a",
         {{{status(503)}}},
         "HTTP/1.1 502",
         "HTTP/1.1 503",
         false,
         {1},
         100},
        {"SignedNotFoundIsForwarded",
         "/get/a",
         {{{signedStatus(404)}}},
         "HTTP/1.1 404",
         "",
         false,
         {1},
         100},
        {"UnframedResponseEndsWithItsConnection",
         "/get/a",
         {{{std::string(Head) + "\r\ngood", AfterReply::Close}}},
         "good",
         "",
         false,
         {1},
         140},
        {"UnframedResponseThatWasResetIsRejected",
         "/once/a",
         {{{std::string(Head) + "\r\nbad", AfterReply::Reset}}},
         "HTTP/1.1 502",
         "bad",
         false,
         {1},
         132},
        {"StreamIsForwarded",
         "/stream/a",
         {{{streamHead() + chunk(event(0)) + chunk(event(1)) + "0\r\n\r\n"}}},
         "0\r\n\r\n",
         "",
         false,
         {1},
         108},
        // Guards against output that isn't charged to the workspace's budget.
        {"EventWithoutAnIdIsCharged",
         "/stream/a",
         {{{streamHead() + chunk(event(0)) + chunk("data: x\n\n") + "0\r\n\r\n"}}},
         "0\r\n\r\n",
         "",
         false,
         {1},
         108},
        // Guards against a truncated stream that looks complete to the caller.
        {"TruncatedStreamClosesTheConnection",
         "/stream/a",
         {{{streamHead() + chunk(event(0)), AfterReply::Reset}}, {{plain("x")}}},
         "id: 0",
         "0\r\n\r\n",
         true,
         {1, 0},
         136},
        {"PartialEventIsNotForwarded",
         "/stream/a",
         {{{streamHead() + chunk(event(0) + "id: 1\nda"), AfterReply::Close}}},
         "id: 0",
         "id: 1",
         true,
         {1},
         136},
        {"MissingEventAbortsTheStream",
         "/stream/a",
         {{{streamHead() + chunk(event(0)) + chunk(event(2)) + "0\r\n\r\n"}}},
         "id: 0",
         "id: 2",
         true,
         {1},
         136},
        {"ResumableStreamIsResumedElsewhere",
         "/resume/a",
         {{{streamHead() + chunk(event(0)) + chunk("id: 1\nda"), AfterReply::Close}},
          {{streamHead() + chunk(event(1)) + "0\r\n\r\n"}}},
         "id: 1\ndata: x\n\n\r\n0\r\n\r\n",
         "",
         false,
         {1, 1},
         140},
        // Guards against ending a truncated stream as if it were complete: the endpoint that
        // should resume it responds with a failure, which isn't a stream and ends in order.
        {"FailureOnResumeAbortsTheStream",
         "/resume/a",
         {{{streamHead() + chunk(event(0)), AfterReply::Close}}, {{signedStatus(500)}}},
         "id: 0",
         "0\r\n\r\n",
         true,
         {1, 1},
         136},
        {"TimeoutIsAnsweredAtOnce",
         "/short/a",
         {{{"", AfterReply::Hang}}},
         "HTTP/1.1 504",
         "Retry-After",
         false,
         {1},
         132},
};

TEST_P(ExchangeResponse, IsReceivedByTheCaller)
{
    const ResponseCase &row = GetParam();
    ProxyTestHarness harness(row.endpoints);
    harness.send(ProxyTestHarness::request(row.path, "r1"));
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    if (row.closes) {
        EXPECT_TRUE(harness.waitForClose()) << harness.received();
    }
    EXPECT_TRUE(harness.waitUntil([&harness] { return harness.tokenReservations.settled == 1; }));
    EXPECT_EQ(harness.closed(), row.closes);
    if (!row.forbidden.empty()) {
        EXPECT_EQ(harness.received().find(row.forbidden), std::string::npos) << harness.received();
    }
    for (std::size_t i = 0; i < row.received.size(); ++i) {
        EXPECT_EQ(harness.endpoints[i]->received().size(), row.received[i]) << "endpoint " << i;
    }
    EXPECT_EQ(harness.tokenReservations.spent, row.spent);
    EXPECT_EQ(harness.tokenReservations.reserved, 0U);
    EXPECT_EQ(harness.placement.sent, harness.placement.ended);
}

INSTANTIATE_TEST_SUITE_P(Rows, ExchangeResponse, testing::ValuesIn(ResponseCases),
                         [](const auto &row) { return std::string(row.param.name); });

/// Accepts one connection, and reads nothing from it until it is told to.
class UnreadingEndpoint
{
public:
    explicit UnreadingEndpoint(boost::asio::io_context &io) : acceptor_(io), socket_(io)
    {
        constexpr int SmallBufferBytes = 4096;
        acceptor_.open(boost::asio::ip::tcp::v4());
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(SmallBufferBytes));
        acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        acceptor_.async_accept(socket_, [](const boost::system::error_code &) {});
    }

    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void readAndAnswer(const std::string &answer)
    {
        socket_.async_read_some(
                boost::asio::buffer(buffer_),
                [this, answer](const boost::system::error_code &error, std::size_t bytes) {
                    received_.append(buffer_.data(), error ? 0 : bytes);
                    if (error || absl::EndsWith(received_, "THE END")) {
                        boost::system::error_code ignored;
                        boost::asio::write(socket_, boost::asio::buffer(answer), ignored);
                        return;
                    }
                    readAndAnswer(answer);
                });
    }

private:
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 65536> buffer_;
    std::string received_;
};

// Guards against giving up on a sound endpoint that acknowledges nothing for a second or two: a
// request that may run once then fails, though the endpoint goes on.
TEST(Exchange, BearsAnEndpointThatIsSilentForAMoment)
{
    ProxyTestHarness harness(std::vector<std::vector<Reply>>(1));
    UnreadingEndpoint endpoint(harness.io);
    harness.placement.endpoints[0].address = endpoint.address();
    const std::string body(3'500'000, 'x');
    harness.config->limits.maxBodyBytes = 2 * body.size();
    harness.send(fmt::format("POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
                             "Deadline-Ms: 9000\r\nAuthorization: Token key\r\n"
                             "Token-Count: 100,40\r\nContent-Length: {}\r\n\r\n{}THE END",
                             body.size() + 7, body));
    boost::asio::steady_timer silence(harness.io, std::chrono::milliseconds(2600));
    const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
                               "Content-Length: 4\r\n\r\ngood";
    silence.async_wait([&](const boost::system::error_code &) { endpoint.readAndAnswer(answer); });
    EXPECT_TRUE(harness.waitFor("good")) << harness.received();
}

// Guards against taking over the notice of another server that has got the endpoint's address.
TEST(Exchange, PassesOnNoticesOfTheEndpointAlone)
{
    ProxyTestHarness harness({{{status(421, "Server-Limit: 9\r\n")}},
                              {{status(503, "Not-Executed: 1\r\nServer-Limit: 2.5\r\n")}},
                              {{plain("good")}}});
    harness.config->routes[0].maxAttempts = 3;
    harness.config->buildIndexes();
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(harness.waitFor("good"));
    ASSERT_EQ(harness.placement.notices.size(), 2U);
    EXPECT_EQ(harness.placement.notices[0].maxRequestsPerSecond, 2.5);
    EXPECT_TRUE(harness.placement.notices[0].rejected);
    EXPECT_FALSE(harness.placement.notices[1].maxRequestsPerSecond);
}

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
    ProxyTestHarness harness({{{plain("bad")}}});
    harness.tokenReservations.usable = 10;
    harness.send(GetParam().request);
    EXPECT_TRUE(harness.waitFor(GetParam().expected)) << harness.received();
    EXPECT_TRUE(harness.endpoints[0]->received().empty());
}

INSTANTIATE_TEST_SUITE_P(Rows, ExchangeRefusal, testing::ValuesIn(RefusalCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against an allocation of tokens that doesn't know the route, the rank or the times of a
// request, or ranks all requests of a workspace alike since the workspace has a priority.
TEST(Exchange, DescribesTheRequestToTheTokenReservations)
{
    ProxyTestHarness harness({{{plain("ok")}}});
    harness.config->workspaces.front().overridesPriority = true;
    harness.config->workspaces.front().priority = Route().priority + 1;
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(harness.waitUntil([&harness] { return harness.tokenReservations.settled == 1; }));
    const ReservationRequest &request = harness.tokenReservations.last;
    EXPECT_EQ(request.workspace, WorkspaceId("w"));
    EXPECT_EQ(request.route, "get");
    EXPECT_EQ(request.priority, Route().priority);
    EXPECT_GT(request.tokens, 0U);
    EXPECT_EQ(request.latencyTarget, std::chrono::seconds(2));
    EXPECT_LE(request.receivedAt, std::chrono::steady_clock::now());
    EXPECT_LE(request.deadline, request.receivedAt + std::chrono::seconds(5));
}

std::string largeRequest()
{
    return ProxyTestHarness::request("/get/a", "r",
                                     "X-Padding: " + std::string(20'000, 'x') + "\r\n");
}

struct StaleConfigCase
{
    const char *name;
    bool isKnown; ///< whether a configuration is loaded
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

// A newer configuration that can't be read at the moment may allow what the loaded one doesn't.
TEST_P(ExchangeWithStaleConfig, RefusesTemporarily)
{
    ProxyTestHarness harness({{{plain("bad")}}});
    harness.configIsCurrent = false;
    harness.tokenReservations.usable = 10;
    if (!GetParam().isKnown) {
        harness.config.reset();
    }
    harness.send(GetParam().request);
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 503")) << harness.received();
    EXPECT_NE(harness.received().find("Retry-After"), std::string::npos);
    EXPECT_TRUE(harness.endpoints[0]->received().empty());
}

INSTANTIATE_TEST_SUITE_P(Rows, ExchangeWithStaleConfig, testing::ValuesIn(StaleConfigCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against a connection that keeps using the old limits after they were raised.
TEST(Exchange, RaisedLimitsApplyToOpenConnections)
{
    ProxyTestHarness harness({{{plain("good")}}});
    const auto raised = std::make_shared<ServingConfig>(*harness.config);
    raised->limits.maxHeaderBytes = 2 * harness.config->limits.maxHeaderBytes;
    const std::string padding(harness.config->limits.maxHeaderBytes, 'x');
    harness.config = raised;
    harness.send(ProxyTestHarness::request("/get/a", "r", "X-Padding: " + padding + "\r\n"));
    EXPECT_TRUE(harness.waitFor("good")) << harness.received();
}

// Guards against an endpoint that keeps working for a caller that has disconnected. The
// endpoint notices by the close of its own connection.
TEST(Exchange, CallerDisconnectClosesTheEndpointsConnection)
{
    ProxyTestHarness harness({{{"", AfterReply::Hang}}});
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[0]->received().size() == 1; }));
    harness.closeCaller();
    EXPECT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[0]->closedByPeer() == 1; }));
    EXPECT_TRUE(harness.waitUntil([&harness] { return harness.tokenReservations.settled == 1; }));
}

/// A listening socket with a full backlog: further connection attempts get no reply.
class FullListenQueue
{
public:
    explicit FullListenQueue(boost::asio::io_context &io) : acceptor_(io)
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
    bool callerDisconnects; ///< whether the caller disconnects before the deadline
};

class UnconnectedExchange : public testing::TestWithParam<UnconnectedCase>
{};

const UnconnectedCase UnconnectedCases[] = {
        {"CallerDisconnects", "/once/a", true},
        {"DeadlinePasses", "/short/a", false},
};

// Guards against charging a workspace for a request of which no byte was sent.
TEST_P(UnconnectedExchange, IsChargedNothing)
{
    ProxyTestHarness harness({{{plain("x")}}});
    const FullListenQueue queue(harness.io);
    harness.placement.endpoints[0].address = queue.address();
    harness.send(ProxyTestHarness::request(GetParam().path, "r"));
    EXPECT_TRUE(harness.waitUntil([&harness] { return harness.placement.sent == 1; }));
    if (GetParam().callerDisconnects) {
        harness.closeCaller();
    }
    EXPECT_TRUE(harness.waitUntil([&harness] { return harness.tokenReservations.settled == 1; }));
    EXPECT_TRUE(harness.placement.staleEndpoints.empty());
    EXPECT_EQ(harness.tokenReservations.spent, 0U);
    EXPECT_EQ(harness.tokenReservations.reserved, 0U);
}

INSTANTIATE_TEST_SUITE_P(Rows, UnconnectedExchange, testing::ValuesIn(UnconnectedCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Exchange, UnreachableEndpointNeedsNoRetryBudget)
{
    ProxyTestHarness harness({{}, {{plain("good")}}});
    harness.endpoints[0]->stopListening();
    harness.placement.retriesLeft = 0;
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(harness.waitFor("good"));
    EXPECT_EQ(harness.placement.staleEndpoints, std::vector<EndpointId>{EndpointId("e0")});
}

// Guards against trying one endpoint after another until the deadline while this host's own
// link is saturated: none can be reached in time, and each would be treated as dead.
TEST(Exchange, SaturatedOwnLinkDoesNotMarkEndpointsStale)
{
    ProxyTestHarness harness({{}, {{plain("good")}}});
    harness.endpoints[0]->stopListening();
    harness.link.setBytesPerSecond(1'000);
    harness.link.onReceived(1'000'000, std::chrono::steady_clock::now());
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 429"));
    EXPECT_TRUE(harness.placement.staleEndpoints.empty());
    EXPECT_TRUE(harness.endpoints[1]->received().empty());
}

// Guards against waiting until the deadline when all endpoints of a service are gone.
TEST(Exchange, RefusesAfterThreeUnreachableEndpoints)
{
    ProxyTestHarness harness({{}, {}, {}, {{plain("good")}}});
    for (int i = 0; i < 3; ++i) {
        harness.endpoints[static_cast<std::size_t>(i)]->stopListening();
    }
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 503"));
    EXPECT_EQ(harness.placement.staleEndpoints.size(), 3U);
    EXPECT_TRUE(harness.endpoints[3]->received().empty());
}

TEST(Exchange, WithoutRetryBudgetAFailureIsForwarded)
{
    ProxyTestHarness harness({{{signedStatus(500)}}, {{plain("good")}}});
    harness.placement.retriesLeft = 0;
    harness.send(ProxyTestHarness::request("/get/a", "r"));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 500"));
}

struct PartlyForwardedCase
{
    const char *name;
    AfterReply then; ///< of the endpoint, in the middle of its response
};

class PartlyForwarded : public testing::TestWithParam<PartlyForwardedCase>
{};

// Guards against a response that looks complete and holds the beginning of one endpoint's and the
// whole of another's: it is too large to be buffered, and the request may be repeated.
TEST_P(PartlyForwarded, ResponseIsNotFollowedByAnother)
{
    const std::string body(600 * 1024, 'a');
    const std::string whole = plain(body);
    ProxyTestHarness harness({{{whole.substr(0, whole.size() - 100 * 1024), GetParam().then}},
                              {{plain(std::string(600 * 1024, 'b'))}}});
    harness.send(ProxyTestHarness::request("/get/a", "r"));
    harness.waitUntil(
            [&harness] { return harness.closed() || absl::EndsWith(harness.received(), "bbbb"); });
    // A reset may drop what the first endpoint sent; then the second one's response is the whole.
    const bool isPartOfFirst = absl::StrContains(harness.received(), "aaaa");
    EXPECT_FALSE(isPartOfFirst && absl::StrContains(harness.received(), "bbbb"));
    EXPECT_FALSE(isPartOfFirst && absl::EndsWith(harness.received(), "0\r\n\r\n"));
}

INSTANTIATE_TEST_SUITE_P(Rows, PartlyForwarded,
                         testing::Values(PartlyForwardedCase{"Closed", AfterReply::Close},
                                         PartlyForwardedCase{"Reset", AfterReply::Reset},
                                         PartlyForwardedCase{"Stalled", AfterReply::Hang}),
                         [](const auto &row) { return row.param.name; });

// Guards against rates of endpoints that are measured with the first event, which waits for the
// prompt, or without the last ones.
TEST(Exchange, ReportsTheProgressOfAStreamAfterItsFirstEvent)
{
    std::string stream = streamHead();
    for (int i = 0; i < 7; ++i) {
        stream += chunk(event(i));
    }
    ProxyTestHarness harness({{{stream + "0\r\n\r\n"}}});
    harness.send(ProxyTestHarness::request("/stream/a", "r", ""));
    EXPECT_TRUE(harness.waitFor("0\r\n\r\n"));
    uint64_t events = 0;
    for (const uint64_t reported : harness.placement.progress) {
        events += reported;
    }
    EXPECT_EQ(events, 6U);
}

// Guards against duplicate events: the caller resumes an interrupted stream by its last event
// id, and an endpoint that doesn't get this id starts from the beginning.
TEST(Exchange, CallersLastEventIdIsForwarded)
{
    ProxyTestHarness harness({{{streamHead() + chunk(event(8)) + "0\r\n\r\n"}}});
    harness.streamOrigins.origins[RequestId("r0")] = SoftwareVersion();
    harness.send(
            ProxyTestHarness::request("/resume/a", "r", "Last-Event-Id: 7\r\nResumes: r0\r\n"));
    EXPECT_TRUE(harness.waitFor("id: 8"));
    const HttpFields &fields = harness.endpoints[0]->received()[0].head.fields;
    ASSERT_NE(findField(fields, "Last-Event-Id"), nullptr);
    EXPECT_EQ(*findField(fields, "Last-Event-Id"), "7");
}

TEST(Exchange, ReservedFieldsAreReplaced)
{
    ProxyTestHarness harness({{{plain("good")}}});
    harness.send(ProxyTestHarness::request("/once/a?q=1", "r",
                                           "Tenant: other\r\nKv-From: x\r\nX-Mine: 1\r\n"));
    EXPECT_TRUE(harness.waitFor("good"));
    const CallerRequest &received = harness.endpoints[0]->received()[0];
    EXPECT_EQ(received.head.target, "/once/a?q=1");
    EXPECT_EQ(received.body, "hi");
    EXPECT_EQ(*findField(received.head.fields, "Tenant"), "w");
    EXPECT_EQ(*findField(received.head.fields, "Expect-Instance"), "e0");
    EXPECT_EQ(*findField(received.head.fields, "X-Mine"), "1");
    EXPECT_EQ(findField(received.head.fields, "Kv-From"), nullptr);
    EXPECT_EQ(findField(received.head.fields, "Authorization"), nullptr);
    EXPECT_LE(std::stoi(*findField(received.head.fields, "Deadline-Ms")), 4000);
}

TEST(CallerConnection, ServesPipelinedRequestsInOrder)
{
    ProxyTestHarness harness({{{plain("first")}, {plain("second")}}});
    harness.send(ProxyTestHarness::request("/get/a", "r1")
                 + ProxyTestHarness::request("/get/b", "r2"));
    EXPECT_TRUE(harness.waitFor("second"));
    EXPECT_LT(harness.received().find("first"), harness.received().find("second"));
}

// Guards against reading an endpoint's surplus response as the response to the next request:
// the connection on which it arrived isn't reused.
TEST(CallerConnection, SurplusBytesCloseTheEndpointsConnection)
{
    ProxyTestHarness harness({{{plain("first") + plain("extra")}, {plain("second")}}});
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    EXPECT_TRUE(harness.waitFor("first"));
    harness.send(ProxyTestHarness::request("/get/b", "r2"));
    EXPECT_TRUE(harness.waitFor("second"));
    EXPECT_EQ(harness.received().find("extra"), std::string::npos);
}

// Guards against a planned stop that interrupts a request in progress. The request completes,
// and its response announces the close of the connection.
TEST(CallerConnection, StopClosesTheConnectionAfterTheResponse)
{
    ProxyTestHarness harness({{{plain("good")}}});
    harness.stopping = true;
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    EXPECT_TRUE(harness.waitFor("good"));
    EXPECT_NE(harness.received().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(harness.waitForClose());
}

// Guards against telling a caller to return at once while all endpoints want no requests.
TEST(ExchangeBackoff, TurnedAwayCallerReturnsWhenTheFirstBackoffEnds)
{
    ProxyTestHarness harness({{{status(503, "Not-Executed: 1\r\nRetry-After: 3\r\n")}}});
    harness.placement.backoff = Millis(2500);
    harness.placement.retriesLeft = 0;
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(harness.waitFor("Retry-After: 2.")) << harness.received();
    ASSERT_EQ(harness.placement.notices.size(), 1U);
    EXPECT_EQ(harness.placement.notices[0].backoff, std::chrono::seconds(3));
}

} // namespace
