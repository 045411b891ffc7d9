/// Endpoints that fall silent for a moment, while others can't take their requests.

#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

using namespace sequoiagate;

namespace {

constexpr const char *StreamHead =
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char *Good = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                             "Content-Length: 4\r\n\r\ngood";
constexpr const char *Better = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                               "Content-Length: 6\r\n\r\nbetter";
constexpr const char *NotExecuted = "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"
                                    "Content-Length: 0\r\n\r\n";
constexpr const char *Failed = "HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                               "Content-Length: 0\r\n\r\n";

/// Longer than an endpoint may be silent before another one is asked.
constexpr Interval Silence = std::chrono::milliseconds(600);

std::string event(int id)
{
    return writeChunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

Reply streamWithASilence()
{
    return {std::string(StreamHead) + event(0) + event(1), AfterReply::Keep,
            event(2) + std::string(LastChunk), Silence};
}

struct SilenceCase
{
    const char *name;
    const char *path;
    std::vector<std::vector<Reply>> endpoints;
    bool isSecondListening;
    const char *expected; ///< substrings of what the caller receives
    const char *forbidden;
    std::vector<std::size_t> cancelled; ///< connections that are closed, by endpoint
};

class SilentEndpoint : public testing::TestWithParam<SilenceCase>
{};

const SilenceCase SilenceCases[] = {
        {"StreamThatIsRefusedElsewhere",
         "/resume/a",
         {{streamWithASilence()}, {{NotExecuted}}},
         true,
         "id: 2\ndata: x\n\n\r\n0\r\n\r\n",
         "502",
         {0, 0}},
        {"StreamWithASilenceBeforeItsEnd",
         "/resume/a",
         {{{std::string(StreamHead) + event(0) + event(1), AfterReply::Keep, std::string(LastChunk),
            Silence}},
          {{NotExecuted}}},
         true,
         "id: 1\ndata: x\n\n\r\n0\r\n\r\n",
         "502",
         {0, 0}},
        {"StreamThatFailsElsewhere",
         "/resume/a",
         {{streamWithASilence()}, {{Failed}}},
         true,
         "id: 2\ndata: x\n\n\r\n0\r\n\r\n",
         "502",
         {0, 0}},
        {"StreamWithNoOtherEndpoint",
         "/resume/a",
         {{streamWithASilence()}, {{}}},
         false,
         "id: 2\ndata: x\n\n\r\n0\r\n\r\n",
         "502",
         {0, 0}},
        {"RequestThatIsRefusedElsewhere",
         "/get/a",
         {{{"", AfterReply::Keep, Good, Silence}}, {{NotExecuted}}},
         true,
         "good",
         "502",
         {0, 0}},
        {"RequestThatIsLostElsewhere",
         "/get/a",
         {{{"", AfterReply::Keep, Good, Silence}}, {{"", AfterReply::Reset}}},
         true,
         "good",
         "502",
         {0, 0}},
        {"RequestThatIsSilentElsewhere",
         "/get/a",
         {{{"", AfterReply::Keep, Good, Silence}}, {{"", AfterReply::Hang}}},
         true,
         "good",
         "502",
         {0, 1}},
        {"RequestThatIsRejectedLate",
         "/get/a",
         {{{"", AfterReply::Keep, NotExecuted, Silence}},
          {{"", AfterReply::Keep, Better, 2 * Silence}}},
         true,
         "better",
         "503",
         {1, 0}},
        {"StreamThatGoesOnElsewhere",
         "/resume/a",
         {{{std::string(StreamHead) + event(0) + event(1), AfterReply::Hang}},
          {{std::string(StreamHead) + event(2) + std::string(LastChunk)}}},
         true,
         "id: 2\ndata: x\n\n\r\n0\r\n\r\n",
         "502",
         {1, 0}},
        {"RequestThatIsServedElsewhere",
         "/get/a",
         {{{"", AfterReply::Keep, Good, Silence}}, {{Better}}},
         true,
         "better",
         "good",
         {1, 0}},
};

// Guards against a response that ends since its endpoint is silent, although nobody else can give
// one.
TEST_P(SilentEndpoint, IsHeardUntilAnotherOneAnswers)
{
    const SilenceCase &row = GetParam();
    ProxyTestHarness harness(row.endpoints);
    for (Route &route : harness.config->routes) {
        route.latencyTarget = std::chrono::milliseconds(80);
        route.eventGapTarget = std::chrono::milliseconds(50);
    }
    if (!row.isSecondListening) {
        harness.endpoints[1]->stopListening();
    }
    harness.send(ProxyTestHarness::request(row.path, "r1"));
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    EXPECT_EQ(harness.received().find(row.forbidden), std::string::npos) << harness.received();
    EXPECT_FALSE(harness.closed());
    EXPECT_TRUE(harness.waitUntil([&harness, &row] {
        return harness.tokenReservations.settled == 1
               && harness.endpoints[0]->closedByPeer() == row.cancelled[0]
               && harness.endpoints[1]->closedByPeer() == row.cancelled[1];
    })) << harness.endpoints[0]->closedByPeer()
        << harness.endpoints[1]->closedByPeer();
    EXPECT_EQ(harness.countLogLines("the endpoint is silent"), 1U);
    EXPECT_EQ(harness.placement.sent, harness.placement.ended);
}

INSTANTIATE_TEST_SUITE_P(Rows, SilentEndpoint, testing::ValuesIn(SilenceCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against work that goes on at a silent endpoint after the caller has left.
TEST(SilentEndpoint, IsCancelledWithItsCaller)
{
    ProxyTestHarness harness({{{"", AfterReply::Hang}}, {{"", AfterReply::Hang}}});
    harness.config->routes[0].latencyTarget = std::chrono::milliseconds(80);
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    ASSERT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[1]->received().size() == 1; }));
    harness.closeCaller();
    EXPECT_TRUE(harness.waitUntil([&harness] {
        return harness.endpoints[0]->closedByPeer() == 1
               && harness.endpoints[1]->closedByPeer() == 1;
    }));
    EXPECT_EQ(harness.tokenReservations.settled, 1);
}

} // namespace
