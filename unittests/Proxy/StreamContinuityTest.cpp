/// At which endpoints a stream goes on, inside one response and over its caller's requests.

#include <limits>

#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

using namespace sequoiagate;

namespace {

constexpr const char *StreamHead =
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

constexpr const char *Misdirected =
        "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n";

/// Events of a stream, from \p first on.
std::string events(int first, int count)
{
    std::string text = StreamHead;
    for (int id = first; id < first + count; ++id) {
        text += writeChunk("id: " + std::to_string(id) + "\ndata: x\n\n");
    }
    return text;
}

std::string wholeFrom(int first)
{
    return events(first, 2) + "0\r\n\r\n";
}

struct ScriptedVersion
{
    const char *version;
    std::vector<Reply> replies;
    bool isConfirmed = true;
};

struct ContinuityCase
{
    const char *name;
    const char *path;
    std::vector<ScriptedVersion> endpoints; ///< selected in this order
    const char *fields;                     ///< of the caller's request
    const char *expected;                   ///< substring of what the caller receives
    const char *forbidden;
    std::vector<int> received; ///< number of requests, by endpoint
};

class Continuity : public testing::TestWithParam<ContinuityCase>
{};

const char *const TakeUp = "Last-Event-Id: 3\r\nResumes: r0\r\n";

const ContinuityCase ContinuityCases[] = {
        {"NewStreamGoesAnywhere",
         "/resume/a",
         {{"v2", {{wholeFrom(0)}}}},
         "",
         "0\r\n\r\n",
         "503",
         {1}},
        {"GoesOnInOneResponseAtTheSameVersion",
         "/resume/a",
         {{"v1", {{events(0, 2), AfterReply::Reset}}},
          {"v2", {{wholeFrom(2)}}},
          {"v1", {{wholeFrom(2)}}}},
         "",
         "0\r\n\r\n",
         "503",
         {1, 0, 1}},
        // Guards against a stream that holds events of two versions.
        {"EndsIfNoOtherEndpointHasTheVersion",
         "/resume/a",
         {{"v1", {{events(0, 2), AfterReply::Reset}}}, {"v2", {{wholeFrom(2)}}}},
         "",
         "id: 1",
         "id: 2",
         {1, 0}},
        // Guards against a stream that goes on at the listed version of an endpoint which may have
        // started again with another one.
        {"EndsIfItsEndpointsVersionWasNotConfirmed",
         "/resume/a",
         {{"v1", {{events(0, 2), AfterReply::Reset}}, false}, {"v1", {{wholeFrom(2)}}}},
         "",
         "id: 1",
         "id: 2",
         {1, 0}},
        // Guards against failing a request because another version is left, while no event of it
        // was forwarded.
        {"MayChangeTheVersionBeforeTheFirstEvent",
         "/resume/a",
         {{"v1", {{StreamHead, AfterReply::Reset}}}, {"v2", {{wholeFrom(0)}}}},
         "",
         "0\r\n\r\n",
         "502",
         {1, 1}},
        {"IsTakenUpAtItsVersion",
         "/resume/a",
         {{"v2", {{wholeFrom(4)}}}, {"v1", {{wholeFrom(4)}}}},
         TakeUp,
         "id: 4",
         "503",
         {0, 1}},
        // Guards against a change of version before the first event of a stream taken up.
        {"KeepsItsVersionWhenItsEndpointBreaks",
         "/resume/a",
         {{"v1", {{"", AfterReply::Reset}}}, {"v2", {{wholeFrom(4)}}}, {"v1", {{wholeFrom(4)}}}},
         TakeUp,
         "id: 4",
         "502",
         {1, 0, 1}},
        // Guards against another version that took over an endpoint's address.
        {"GoesOnAtItsVersionAfterAMisdirectedRequest",
         "/resume/a",
         {{"v1", {{Misdirected}}}, {"v2", {{wholeFrom(4)}}}, {"v1", {{wholeFrom(4)}}}},
         TakeUp,
         "id: 4",
         "503",
         {1, 0, 1}},
        {"IsRefusedAfterAMisdirectedRequest",
         "/resume/a",
         {{"v1", {{Misdirected}}}, {"v2", {{wholeFrom(4)}}}},
         TakeUp,
         "HTTP/1.1 503",
         "id: 4",
         {1, 0}},
        {"IsRefusedIfItsVersionIsGone",
         "/resume/a",
         {{"v2", {{wholeFrom(4)}}}},
         TakeUp,
         "HTTP/1.1 503",
         "id: 4",
         {0}},
        {"IsRefusedIfItsVersionIsUnknown",
         "/resume/a",
         {{"v1", {{wholeFrom(4)}}}},
         "Last-Event-Id: 3\r\nResumes: unknown\r\n",
         "stream_not_resumable",
         "Retry-After",
         {0}},
        {"IsRefusedIfItNamesNoStream",
         "/resume/a",
         {{"v1", {{wholeFrom(4)}}}},
         "Last-Event-Id: 3\r\n",
         "\"execution\":\"not_run\"",
         "Retry-After",
         {0}},
        {"OtherRequestsDontNameVersions",
         "/get/a",
         {{"v2",
           {{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
             "Content-Length: 4\r\n\r\ngood"}}}},
         TakeUp,
         "good",
         "503",
         {1}},
};

TEST_P(Continuity, KeepsTheVersion)
{
    const ContinuityCase &row = GetParam();
    std::vector<std::vector<Reply>> scripts;
    for (const ScriptedVersion &endpoint : row.endpoints) {
        scripts.push_back(endpoint.replies);
    }
    ProxyTestHarness harness(scripts);
    for (std::size_t i = 0; i < row.endpoints.size(); ++i) {
        harness.placement.endpoints[i].version = SoftwareVersion(row.endpoints[i].version);
        harness.placement.endpoints[i].isVersionConfirmed = row.endpoints[i].isConfirmed;
    }
    harness.streamOrigins.origins[RequestId("r0")] = SoftwareVersion("v1");
    harness.send(ProxyTestHarness::request(row.path, "r1", row.fields));
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    if (std::string(row.expected).rfind("id:", 0) == 0 && !harness.closed()) {
        harness.waitFor("0\r\n\r\n");
    }
    EXPECT_EQ(harness.received().find(row.forbidden), std::string::npos) << harness.received();
    for (std::size_t i = 0; i < row.received.size(); ++i) {
        EXPECT_EQ(harness.endpoints[i]->received().size(),
                  static_cast<std::size_t>(row.received[i]))
                << i;
    }
    EXPECT_EQ(harness.tokenReservations.reserved, 0U);
}

INSTANTIATE_TEST_SUITE_P(Rows, Continuity, testing::ValuesIn(ContinuityCases),
                         [](const auto &row) { return row.param.name; });

struct RecordCase
{
    const char *name;
    const char *path;
    const char *fields;
    std::vector<std::string> recorded; ///< ids by which the stream is known afterwards
};

class StreamRecords : public testing::TestWithParam<RecordCase>
{};

const RecordCase RecordCases[] = {
        {"NewStream", "/resume/a", "", {"r1"}},
        // Guards against a stream that can be taken up once, and not a second time.
        {"StreamThatIsTakenUp", "/resume/a", TakeUp, {"r0", "r1"}},
        {"StreamThatCannotBeTakenUp", "/stream/a", "", {}},
};

TEST_P(StreamRecords, AreWrittenBeforeTheFirstEventIsForwarded)
{
    const RecordCase &row = GetParam();
    const int first = *row.fields == '\0' ? 0 : 4;
    ProxyTestHarness harness({{{events(first, 1), AfterReply::Hang}}});
    harness.placement.endpoints[0].version = SoftwareVersion("v1");
    harness.streamOrigins.origins[RequestId("r0")] = SoftwareVersion("v1");
    harness.send(ProxyTestHarness::request(row.path, "r1", row.fields));
    EXPECT_TRUE(harness.waitFor("id: "));
    std::vector<std::string> recorded;
    for (const FakeStreamOrigins::Begun &begun : harness.streamOrigins.begun) {
        recorded.push_back(begun.first.text());
        EXPECT_EQ(begun.version, SoftwareVersion("v1"));
    }
    EXPECT_EQ(recorded, row.recorded);
}

INSTANTIATE_TEST_SUITE_P(Rows, StreamRecords, testing::ValuesIn(RecordCases),
                         [](const auto &row) { return row.param.name; });

// Guards against a stream that goes on at another service of a split route.
TEST(Continuity, SplitRouteSendsAllRequestsForAStreamToOneService)
{
    constexpr int Streams = 20;
    for (int i = 0; i < Streams; ++i) {
        ProxyTestHarness harness({{{events(0, 1), AfterReply::Hang}, {wholeFrom(4)}}});
        ServiceSpec other = harness.config->services[0];
        other.name = ServiceId("t");
        harness.config->services.push_back(other);
        harness.config->routes[3].services = {{ServiceId("s"), 1}, {ServiceId("t"), 1}};
        harness.config->buildIndexes();
        const std::string first = "first" + std::to_string(i);
        harness.streamOrigins.origins[RequestId(first)] = SoftwareVersion();
        harness.send(ProxyTestHarness::request("/resume/a", first));
        ASSERT_TRUE(harness.waitFor("id: 0"));
        ProxyTestHarness second({{{wholeFrom(4)}}});
        second.config->services.push_back(other);
        second.config->routes[3].services = harness.config->routes[3].services;
        second.config->buildIndexes();
        second.streamOrigins.origins[RequestId(first)] = SoftwareVersion();
        second.send(ProxyTestHarness::request("/resume/a", "second",
                                              "Last-Event-Id: 3\r\nResumes: " + first + "\r\n"));
        ASSERT_TRUE(second.waitFor("id: 4"));
        EXPECT_EQ(harness.streamOrigins.begun.at(0).service,
                  second.streamOrigins.begun.at(0).service);
    }
}

// Guards against weights whose sum wraps around, so that the route leads nowhere.
TEST(Continuity, SplitRouteTakesTheLargestWeights)
{
    constexpr auto Largest = std::numeric_limits<uint32_t>::max();
    ProxyTestHarness harness({{{wholeFrom(0)}}});
    harness.config->routes[3].services = {{ServiceId("s"), Largest}, {ServiceId("s"), 1}};
    harness.config->buildIndexes();
    harness.send(ProxyTestHarness::request("/resume/a", "r1"));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 200")) << harness.received();
}

// Guards against a resumed stream whose relay is lost and that changes its version.
TEST(Continuity, HoldsOverARelay)
{
    constexpr const char *Established = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    ProxyTestHarness harness({{{Established}, {events(4, 1), AfterReply::Reset}},
                              {{Established}, {wholeFrom(5)}},
                              {{Established}, {wholeFrom(5)}}});
    const char *versions[] = {"v1", "v2", "v1"};
    for (std::size_t i = 0; i < 3; ++i) {
        PlacementTarget &target = harness.placement.endpoints[i];
        target.version = SoftwareVersion(versions[i]);
        target.relay = RelayRoute{HostId("other"), harness.endpoints[i]->address(), false};
    }
    harness.streamOrigins.origins[RequestId("r0")] = SoftwareVersion("v1");
    harness.send(ProxyTestHarness::request("/resume/a", "r1", TakeUp));
    EXPECT_TRUE(harness.waitFor("id: 6"));
    EXPECT_TRUE(harness.endpoints[1]->received().empty());
}

} // namespace
