/// What a caller receives for one request that another host relays.

#include <gtest/gtest.h>

#include "ProxyTestHarness.h"
#include "sequoiagate/Proxy/RelayHandshake.h"

using namespace sequoiagate;

namespace {

constexpr const char *Established = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr const char *Good = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                             "Content-Length: 4\r\n\r\ngood";
constexpr const char *StreamHead =
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char *Half = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                             "Content-Length: 9\r\n\r\nhal";

std::string event(int id)
{
    return writeChunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

std::string refusedWith(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n\r\n";
}

struct RelayCase
{
    const char *name;
    const char *path;
    std::vector<Reply> relay; ///< the handshake's response first
    std::string expected;     ///< substring of what the caller receives
    std::string forbidden;
    bool mayHaveRun; ///< whether tokens are charged
    std::size_t failedRelays;
};

class ExchangeRelay : public testing::TestWithParam<RelayCase>
{};

const RelayCase RelayCases[] = {
        {"Served", "/once/a", {{Established}, {Good}}, "good", "", true, 0},
        // Guards against calling a request not run that the endpoint may have run.
        {"BreaksAfterTheRequestWasSent",
         "/once/a",
         {{Established}, {"", AfterReply::Reset}},
         "HTTP/1.1 502",
         "Retry-After",
         true,
         0},
        {"BreaksInsideTheResponse",
         "/once/a",
         {{Established}, {Half, AfterReply::Close}},
         "HTTP/1.1 502",
         "hal",
         true,
         0},
        // Guards against failing a request that wasn't sent anywhere for good.
        {"EveryRelayRefuses",
         "/once/a",
         {{refusedWith(503)}, {refusedWith(503)}, {refusedWith(503)}, {refusedWith(503)}},
         "HTTP/1.1 503",
         "HTTP/1.1 502",
         false,
         4},
        {"AnotherRelayServes",
         "/once/a",
         {{refusedWith(503)}, {Established}, {Good}},
         "good",
         "503",
         true,
         1},
        {"BreaksInTheHandshake",
         "/once/a",
         {{"", AfterReply::Reset}, {Established}, {Good}},
         "good",
         "502",
         true,
         1},
        {"EndpointIsUnreachableForTheRelay",
         "/once/a",
         {{refusedWith(502)}},
         "HTTP/1.1 503",
         "good",
         false,
         0},
};

TEST_P(ExchangeRelay, KeepsItsPromises)
{
    const RelayCase &row = GetParam();
    ProxyTestHarness harness({row.relay});
    PlacementTarget &target = harness.placement.endpoints[0];
    target.relay = RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
    harness.send(ProxyTestHarness::request(row.path, "r1"));
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    if (!row.forbidden.empty()) {
        EXPECT_EQ(harness.received().find(row.forbidden), std::string::npos);
    }
    EXPECT_EQ(harness.tokenReservations.spent > 0, row.mayHaveRun);
    EXPECT_EQ(harness.tokenReservations.reserved, 0U);
    EXPECT_EQ(harness.placement.failedRelays.size(), row.failedRelays);
    const RequestHead &first = harness.endpoints[0]->received().at(0).head;
    const auto handshake = decodeRelayRequest(first);
    ASSERT_TRUE(handshake);
    EXPECT_EQ(handshake->endpoint, EndpointId("e0"));
    EXPECT_EQ(handshake->process, Incarnation("i"));
    EXPECT_LE(handshake->timeout, Millis(4000));
}

INSTANTIATE_TEST_SUITE_P(Rows, ExchangeRelay, testing::ValuesIn(RelayCases),
                         [](const auto &row) { return row.param.name; });

TEST(ExchangeRelay, StreamsAreRelayed)
{
    ProxyTestHarness harness(
            {{{Established}, {StreamHead + event(0) + event(1) + std::string(LastChunk)}}});
    harness.placement.endpoints[0].relay =
            RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
    harness.send(ProxyTestHarness::request("/stream/a", "r1"));
    EXPECT_TRUE(harness.waitFor("0\r\n\r\n"));
    EXPECT_NE(harness.received().find("id: 1"), std::string::npos);
}

// Guards against relayed requests that a search of the log by event doesn't find.
TEST(ExchangeRelay, SentRequestIsLoggedWithItsEventAndRelay)
{
    ProxyTestHarness harness({{{Established}, {Good}}});
    harness.placement.endpoints[0].relay =
            RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
    harness.placement.endpoints[0].limits = "slots";
    harness.send(ProxyTestHarness::request("/once/a", "r1"));
    ASSERT_TRUE(harness.waitFor("good")) << harness.received();
    EXPECT_EQ(harness.countLogLines("\"event\":\"request.sent\""), 1U);
    EXPECT_EQ(harness.countLogLines("\"relay\":\"other\""), 1U);
    EXPECT_EQ(harness.countLogLines("\"limits\":\"slots\""), 1U);
    EXPECT_EQ(harness.countLogLines("\"event\":\"\""), 0U);
}

// Guards against a stream that ends, or repeats events, because its relay died.
TEST(ExchangeRelay, ResumableStreamGoesOnThroughAnotherRelay)
{
    ProxyTestHarness harness(
            {{{Established}, {StreamHead + event(0) + event(1), AfterReply::Reset}},
             {{Established}, {StreamHead + event(2) + std::string(LastChunk)}}});
    for (std::size_t i = 0; i < 2; ++i) {
        harness.placement.endpoints[i].relay = RelayRoute{HostId("host" + std::to_string(i)),
                                                          harness.endpoints[i]->address(), false};
    }
    harness.send(ProxyTestHarness::request("/resume/a", "r1"));
    EXPECT_TRUE(harness.waitFor("0\r\n\r\n")) << harness.received();
    EXPECT_NE(harness.received().find("id: 2"), std::string::npos);
    const std::string *after =
            findField(harness.endpoints[1]->received().at(1).head.fields, "Last-Event-Id");
    ASSERT_NE(after, nullptr);
    EXPECT_EQ(*after, "1");
}

// Guards against a stream whose relay died and that looks complete.
TEST(ExchangeRelay, OtherStreamIsCutOffWithItsRelay)
{
    ProxyTestHarness harness(
            {{{Established}, {StreamHead + event(0), AfterReply::Reset}}, {{Established}, {Good}}});
    harness.placement.endpoints[0].relay =
            RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
    harness.send(ProxyTestHarness::request("/stream/a", "r1"));
    EXPECT_TRUE(harness.waitForClose());
    EXPECT_EQ(harness.received().find("0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(harness.endpoints[1]->received().size(), 0U);
}

// Guards against an endpoint that goes on working for a caller who has left.
TEST(ExchangeRelay, CallersCloseClosesTheRelaysConnection)
{
    ProxyTestHarness harness({{{Established}, {"", AfterReply::Hang}}});
    PlacementTarget &target = harness.placement.endpoints[0];
    target.relay = RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(harness.waitUntil([&] { return harness.endpoints[0]->received().size() == 2; }));
    harness.closeCaller();
    EXPECT_TRUE(harness.waitUntil([&] { return harness.endpoints[0]->closedByPeer() == 1; }));
}

// Guards against a relay that can't stop, since its idle connections stay open.
TEST(ExchangeRelay, ConnectionCarriesOneRequest)
{
    ProxyTestHarness harness({{{Established}, {Good}}});
    PlacementTarget &target = harness.placement.endpoints[0];
    target.relay = RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(harness.waitFor("good"));
    EXPECT_TRUE(harness.waitUntil([&] { return harness.endpoints[0]->closedByPeer() == 1; }));
}

TEST(ExchangeRelay, OpenConnectionIsPreferredWhereItStillWorks)
{
    ProxyTestHarness harness({{{Good}, {Good}}});
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(harness.waitFor("good"));
    harness.placement.endpoints[0].relay =
            RelayRoute{HostId("other"), harness.endpoints[0]->address(), true};
    harness.send(ProxyTestHarness::request("/get/a", "r2"));
    ASSERT_TRUE(harness.waitFor("Request-Id: r2"));
    EXPECT_EQ(harness.endpoints[0]->received().size(), 2U);
    EXPECT_EQ(harness.placement.connected, 1);
}

TEST(RelayHandshake, OtherRequestsAreNoHandshake)
{
    RequestHead head;
    head.method = "POST";
    head.target = "/relay/v1/e";
    head.fields = {{"Relay-Process", "i"}, {"Relay-Timeout-Ms", "50"}};
    EXPECT_TRUE(decodeRelayRequest(head));
    head.fields[1].value = "0";
    EXPECT_FALSE(decodeRelayRequest(head));
    head.fields.pop_back();
    EXPECT_FALSE(decodeRelayRequest(head));
    head.fields.push_back({"Relay-Timeout-Ms", "50"});
    head.target = "/relay/v2/e";
    EXPECT_FALSE(decodeRelayRequest(head));
}

} // namespace
