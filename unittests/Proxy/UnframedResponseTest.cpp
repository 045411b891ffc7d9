/// Responses without a length or chunks, which end with their connection.

#include <absl/strings/str_replace.h>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

using namespace sequoiagate;
using boost::asio::ip::tcp;

namespace {

constexpr const char *Head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n";
constexpr const char *Established = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr const char *EstablishedFramed = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string plain(const std::string &body)
{
    return std::string(Head) + "\r\n" + body;
}

std::string stream(const std::string &events)
{
    return std::string(Head) + "Content-Type: text/event-stream\r\n\r\n" + events;
}

const char *const FirstEvents = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n";
const char *const LastEvent = "id: 2\ndata: x\n\n";

struct UnframedCase
{
    const char *name;
    const char *path;
    std::vector<Reply> replies; ///< of two endpoints, one reply each
    bool isWhole;               ///< whether the caller's response looks complete
    const char *expected;       ///< substring of what the caller receives
    const char *forbidden;
};

const UnframedCase UnframedCases[] = {
        {"WholeAnswer", "/once/a", {{plain("good"), AfterReply::Close}}, true, "good", "502"},
        // Guards against a part of an answer that looks whole.
        {"AnswerCutByReset",
         "/once/a",
         {{plain("hal"), AfterReply::Reset}},
         true,
         "HTTP/1.1 502",
         "hal"},
        {"WholeStream",
         "/stream/a",
         {{stream(FirstEvents), AfterReply::Close}},
         true,
         "id: 1",
         "502"},
        // Guards against a stream that ends as if it were whole inside an event.
        {"StreamClosedInsideAnEvent",
         "/stream/a",
         {{stream(std::string(FirstEvents) + "id: 2\nda"), AfterReply::Close}},
         false,
         "id: 1",
         "id: 2"},
        // Guards against a process whose end, like an endpoint's close, ends its connections.
        {"AnswerOfAProcessThatEnds",
         "/once/a",
         {{plain("hal"), AfterReply::Exit}},
         true,
         "HTTP/1.1 502",
         "hal"},
        {"StreamOfAProcessThatEnds",
         "/stream/a",
         {{stream(FirstEvents), AfterReply::Exit}},
         false,
         "id: 1",
         "id: 2"},
        {"StreamThatIsResumedAfterItsProcessEnded",
         "/resume/a",
         {{stream(FirstEvents), AfterReply::Exit}, {stream(LastEvent), AfterReply::Close}},
         true,
         "id: 2\ndata: x",
         "502"},
        {"StreamReset",
         "/stream/a",
         {{stream(FirstEvents), AfterReply::Reset}},
         false,
         "id: 1",
         "id: 2"},
        {"StreamThatIsResumed",
         "/resume/a",
         {{stream(std::string(FirstEvents) + "id: 2\nda"), AfterReply::Close},
          {stream(LastEvent), AfterReply::Close}},
         true,
         "id: 2\ndata: x",
         "502"},
        {"StreamThatIsResumedAfterAReset",
         "/resume/a",
         {{stream(FirstEvents), AfterReply::Reset}, {stream(LastEvent), AfterReply::Close}},
         true,
         "id: 2\ndata: x",
         "502"},
        {"StreamWithoutEvents",
         "/stream/a",
         {{stream(""), AfterReply::Close}},
         true,
         "HTTP/1.1 502",
         "id:"},
};

/// \p bytes of a response to r1.
std::string forRequest(const std::string &bytes)
{
    return absl::StrReplaceAll(bytes, {{"{id}", "r1"}});
}

/// The chunk in which a relay that frames sends \p bytes of a response to r1.
std::string chunkOf(const std::string &bytes)
{
    return writeChunk(forRequest(bytes));
}

/// \p reply, as a relay that frames sends it.
Reply framed(const Reply &reply)
{
    const bool isOrderly = reply.then == AfterReply::Close;
    return {(reply.bytes.empty() ? "" : chunkOf(reply.bytes))
                    + (isOrderly ? std::string(LastChunk) : ""),
            isOrderly ? AfterReply::Keep : AfterReply::Reset};
}

class Unframed : public testing::TestWithParam<std::tuple<UnframedCase, bool>>
{};

TEST_P(Unframed, EndsWithItsConnection)
{
    const auto &[row, isRelayed] = GetParam();
    std::vector<std::vector<Reply>> scripts;
    for (const Reply &reply : row.replies) {
        scripts.push_back(isRelayed ? std::vector<Reply>{{EstablishedFramed}, framed(reply)}
                                    : std::vector<Reply>{reply});
    }
    ProxyTestHarness harness(scripts);
    for (std::size_t i = 0; isRelayed && i < scripts.size(); ++i) {
        harness.placement.endpoints[i].relay =
                RelayRoute{HostId("other"), harness.endpoints[i]->address(), false};
    }
    harness.send(ProxyTestHarness::request(row.path, "r1"));
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    const bool isStream = std::string(row.expected).rfind("id:", 0) == 0;
    if (!row.isWhole) {
        EXPECT_TRUE(harness.waitForClose());
        EXPECT_EQ(harness.received().find("0\r\n\r\n"), std::string::npos);
    } else if (isStream) {
        EXPECT_TRUE(harness.waitFor("0\r\n\r\n")) << harness.received();
    }
    EXPECT_EQ(harness.received().find(row.forbidden), std::string::npos) << harness.received();
    // A caller that keeps its connection goes on using it after a whole response.
    EXPECT_EQ(harness.closed(), !row.isWhole);
}

INSTANTIATE_TEST_SUITE_P(Rows, Unframed,
                         testing::Combine(testing::ValuesIn(UnframedCases), testing::Bool()),
                         [](const auto &row) {
                             return std::string(std::get<0>(row.param).name)
                                    + (std::get<1>(row.param) ? "OverARelay" : "");
                         });

// Guards against failing the last response of an endpoint that ends its process behind it.
TEST(Unframed, LastResponseOfAnEndpointThatLeavesIsWhole)
{
    ProxyTestHarness harness({{{plain("good"), AfterReply::Exit}}});
    harness.placement.areLeaving = true;
    harness.send(ProxyTestHarness::request("/once/a", "r1"));
    EXPECT_TRUE(harness.waitFor("good")) << harness.received();
}

struct RelayEndCase
{
    const char *name;
    const char *path;
    std::vector<Reply> replies; ///< of relays, each behind a handshake of its own
    std::vector<const char *> handshakes;
    bool isWhole; ///< whether the caller's response looks complete
    const char *expected;
    const char *forbidden;
};

const RelayEndCase RelayEndCases[] = {
        {"AnswerOfARelayThatDies",
         "/once/a",
         {{chunkOf(plain("hal")), AfterReply::Close}},
         {EstablishedFramed},
         true,
         "HTTP/1.1 502",
         "hal"},
        {"StreamOfARelayThatDies",
         "/stream/a",
         {{chunkOf(stream(FirstEvents)), AfterReply::Close}},
         {EstablishedFramed},
         false,
         "id: 1",
         "0\r\n\r\n"},
        {"StreamOfARelayThatIsReset",
         "/stream/a",
         {{chunkOf(stream(FirstEvents)), AfterReply::Reset}},
         {EstablishedFramed},
         false,
         "id: 1",
         "0\r\n\r\n"},
        {"StreamThatIsResumed",
         "/resume/a",
         {{chunkOf(stream(FirstEvents)), AfterReply::Close},
          {chunkOf(stream(LastEvent)) + std::string(LastChunk)}},
         {EstablishedFramed, EstablishedFramed},
         true,
         "id: 2\ndata: x",
         "502"},
        {"FramingThatIsNone",
         "/stream/a",
         {{chunkOf(stream(FirstEvents)) + "no chunk\r\n"}},
         {EstablishedFramed},
         false,
         "id: 1",
         "0\r\n\r\n"},
        {"WholeAnswerOfAnEarlierRelease",
         "/once/a",
         {{plain("good"), AfterReply::Close}},
         {Established},
         true,
         "HTTP/1.1 502",
         "good"},
        {"StreamOfAnEarlierRelease",
         "/stream/a",
         {{stream(FirstEvents), AfterReply::Close}},
         {Established},
         false,
         "id: 1",
         "0\r\n\r\n"},
        {"AnswerWithALengthOfAnEarlierRelease",
         "/once/a",
         {{std::string(Head) + "Content-Length: 4\r\n\r\ngood", AfterReply::Close}},
         {Established},
         true,
         "good",
         "502"},
};

class RelayEnds : public testing::TestWithParam<RelayEndCase>
{};

// Guards against the end of a relay that is taken for the end of a response.
TEST_P(RelayEnds, AreNotTheEndpointsOwn)
{
    const RelayEndCase &row = GetParam();
    std::vector<std::vector<Reply>> scripts;
    for (std::size_t i = 0; i < row.replies.size(); ++i) {
        scripts.push_back({{row.handshakes[i]}, row.replies[i]});
    }
    ProxyTestHarness harness(scripts);
    for (std::size_t i = 0; i < scripts.size(); ++i) {
        harness.placement.endpoints[i].relay =
                RelayRoute{HostId("other"), harness.endpoints[i]->address(), false};
    }
    harness.send(ProxyTestHarness::request(row.path, "r1"));
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    if (!row.isWhole) {
        EXPECT_TRUE(harness.waitForClose());
    }
    EXPECT_EQ(harness.received().find(row.forbidden), std::string::npos) << harness.received();
    // The endpoint isn't known to have ended.
    EXPECT_EQ(harness.requests.lost.size(),
              row.replies.front().then == AfterReply::Reset ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Rows, RelayEnds, testing::ValuesIn(RelayEndCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against a reset that is taken for the end of a response since a write has reported it.
TEST(Unframed, ResetBesideAFailedWriteIsNoEnd)
{
    ProxyTestHarness harness(std::vector<std::vector<Reply>>(1));
    harness.config->limits.maxBodyBytes = 16 * 1024 * 1024;
    tcp::acceptor acceptor(harness.io);
    acceptor.open(tcp::v4());
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    harness.placement.endpoints[0].address = acceptor.local_endpoint();
    constexpr std::size_t BodyBytes = 12 * 1024 * 1024;
    harness.send(fmt::format("POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
                             "Deadline-Ms: 4000\r\nAuthorization: Token key\r\n"
                             "Token-Count: 100,40\r\nContent-Length: {}\r\n\r\n",
                             BodyBytes));
    harness.sendWhileTaken(BodyBytes);
    ASSERT_TRUE(harness.waitUntil([&harness] { return harness.placement.connected == 1; }));
    tcp::socket endpoint = acceptor.accept();
    // The request's body stays unread, so that the close resets the connection.
    boost::asio::write(endpoint, boost::asio::buffer(forRequest(plain("hal"))));
    endpoint.close();
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 502")) << harness.received();
    EXPECT_EQ(harness.received().find("hal"), std::string::npos) << harness.received();
}

struct OldCallerCase
{
    const char *name;
    std::string bytes;
    AfterReply then;
    bool isWhole;
};

class UnframedForOldCallers : public testing::TestWithParam<OldCallerCase>
{};

const OldCallerCase OldCallerCases[] = {
        {"Whole", stream(FirstEvents), AfterReply::Close, true},
        {"ClosedInsideAnEvent", stream(std::string(FirstEvents) + "id: 2\nda"), AfterReply::Close,
         false},
        {"Reset", stream(FirstEvents), AfterReply::Reset, false},
};

// Guards against a broken stream that looks whole to a caller of HTTP/1.0, for whom an orderly
// close is its end.
TEST_P(UnframedForOldCallers, BrokenStreamsAreReset)
{
    const OldCallerCase &row = GetParam();
    ProxyTestHarness harness({{{row.bytes, row.then}}});
    std::string request = ProxyTestHarness::request("/stream/a", "r1");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    harness.send(request);
    EXPECT_TRUE(harness.waitForClose());
    EXPECT_EQ(harness.wasReset(), !row.isWhole) << harness.received();
    EXPECT_EQ(harness.received().find("id: 2"), std::string::npos);
    EXPECT_EQ(harness.received().find("chunked"), std::string::npos);
}

// Guards against a stream that looks whole to a caller of HTTP/1.0 when a stop closes it by force.
TEST(UnframedForOldCallers, StreamsClosedByForceAreReset)
{
    ProxyTestHarness harness({{{stream(FirstEvents), AfterReply::Hang}}});
    std::string request = ProxyTestHarness::request("/stream/a", "r1");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    harness.send(request);
    ASSERT_TRUE(harness.waitFor("id: 1"));
    harness.connection().forceClose();
    EXPECT_TRUE(harness.waitForClose());
    EXPECT_TRUE(harness.wasReset());
}

INSTANTIATE_TEST_SUITE_P(Rows, UnframedForOldCallers, testing::ValuesIn(OldCallerCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
