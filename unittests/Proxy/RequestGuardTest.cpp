/// What is reported of requests whose endpoints end, and which requests aren't repeated.

#include <gtest/gtest.h>

#include "ProxyTestHarness.h"
#include "sequoiagate/Proxy/RelayHandshake.h"

using namespace sequoiagate;

namespace {

constexpr const char *Head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n";
constexpr const char *Prompt = "Prompt-Prefix: a1:10,c3:30\r\n";

struct ReportCase
{
    const char *name;
    const char *path;
    const char *fields;
    std::vector<std::vector<Reply>> endpoints;
    const char *expected; ///< substring of what the caller receives
    int answered;
    std::size_t lost;
};

class Reports : public testing::TestWithParam<ReportCase>
{};

// Guards against crashes that no host counts: without a prompt, or late in an answer.
TEST_P(Reports, TellHowRequestsEnd)
{
    const ReportCase &row = GetParam();
    ProxyTestHarness harness(row.endpoints);
    harness.send(ProxyTestHarness::request(row.path, "r1", row.fields));
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    EXPECT_EQ(harness.requests.answered, row.answered);
    EXPECT_EQ(harness.requests.lost.size(), row.lost);
}

const std::string Whole = std::string(Head) + "Content-Length: 4\r\n\r\ngood";
const std::string Failed =
        "HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n";

const ReportCase ReportCases[] = {
        {"Answered", "/get/a", "", {{{Whole}}}, "good", 1, 0},
        {"FailedByTheEndpoint", "/stream/a", "", {{{Failed}}}, "HTTP/1.1 500", 1, 0},
        {"Lost", "/stream/a", "", {{{"", AfterReply::Reset}}}, "HTTP/1.1 502", 0, 1},
        {"LostWithPrompt", "/stream/a", Prompt, {{{"", AfterReply::Close}}}, "HTTP/1.1 502", 0, 1},
        {"LostAndAnsweredElsewhere",
         "/resume/a",
         Prompt,
         {{{"", AfterReply::Reset}}, {{Failed}}},
         "HTTP/1.1 500",
         1,
         1},
};

INSTANTIATE_TEST_SUITE_P(Rows, Reports, testing::ValuesIn(ReportCases),
                         [](const auto &row) { return row.param.name; });

// Guards against carrying a request to another endpoint after the last allowed one was lost.
TEST(QuarantinedRequest, IsNotRepeated)
{
    ProxyTestHarness harness({{{"", AfterReply::Reset}}, {{Whole}}});
    harness.requests.lossesToRefuse = 1;
    harness.send(ProxyTestHarness::request("/resume/a", "r1", Prompt));
    EXPECT_TRUE(harness.waitFor("request_quarantined")) << harness.received();
    EXPECT_NE(harness.received().find("HTTP/1.1 502"), std::string::npos);
    EXPECT_NE(harness.received().find("\"execution\":\"may_have_run\""), std::string::npos);
    EXPECT_NE(harness.received().find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(harness.endpoints[1]->received().empty());
    EXPECT_EQ(harness.tokenReservations.reserved, 0U);
}

struct DelayCase
{
    const char *name;
    std::chrono::milliseconds delay;
    bool isRefusedMeanwhile;
    const char *expected; ///< substring of what the caller receives
    std::size_t sentAgain;
};

class Repeats : public testing::TestWithParam<DelayCase>
{};

// Guards against a repeat that crashes one endpoint more, since it is sent before other hosts could
// tell of the losses that they know.
TEST_P(Repeats, WaitForOtherHosts)
{
    const DelayCase &row = GetParam();
    ProxyTestHarness harness({{{"", AfterReply::Reset}}, {{Whole}}});
    harness.requests.repeatDelay = row.delay;
    std::string request = ProxyTestHarness::request("/get/a", "r1", Prompt);
    const std::string deadline = "Deadline-Ms: 4000";
    request.replace(request.find(deadline), deadline.size(), "Deadline-Ms: 500");
    harness.send(request);
    harness.waitUntil([&harness] { return !harness.requests.lost.empty(); });
    EXPECT_TRUE(harness.endpoints[1]->received().empty());
    harness.requests.lossesToRefuse = row.isRefusedMeanwhile ? 1 : 100;
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    EXPECT_EQ(harness.endpoints[1]->received().size(), row.sentAgain);
}

constexpr std::chrono::milliseconds ShortDelay(50);
constexpr std::chrono::milliseconds LongDelay(20'000);

INSTANTIATE_TEST_SUITE_P(
        Rows, Repeats,
        testing::Values(DelayCase{"RefusedMeanwhile", ShortDelay, true, "request_quarantined", 0},
                        DelayCase{"NothingTold", ShortDelay, false, "good", 1},
                        DelayCase{"DeadlineMeanwhile", LongDelay, false, "HTTP/1.1 504", 0}),
        [](const auto &row) { return row.param.name; });

// Guards against sending a refused request, and against a caller who isn't told that it wasn't run.
TEST(QuarantinedRequest, IsRefusedAtOnceAsNotRun)
{
    ProxyTestHarness harness({{{Whole}}});
    harness.requests.lossesToRefuse = 0;
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    EXPECT_TRUE(harness.waitFor("request_quarantined")) << harness.received();
    EXPECT_NE(harness.received().find("HTTP/1.1 503"), std::string::npos);
    EXPECT_NE(harness.received().find("\"execution\":\"not_run\""), std::string::npos);
    EXPECT_NE(harness.received().find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(harness.endpoints[0]->received().empty());
}

constexpr const char *Established = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr const char *RelayBusy = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
constexpr const char *NoEndpoint = "HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n";

std::string streamOf(int id)
{
    return std::string(Head)
           + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
           + writeChunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

struct AttemptCase
{
    const char *name;
    const char *path;
    bool isRelayed;
    std::vector<bool> listens; ///< by endpoint; those that aren't named do
    std::vector<std::vector<Reply>> endpoints;
};

class Attempts : public testing::TestWithParam<AttemptCase>
{};

const Reply Lost{"", AfterReply::Reset};

const AttemptCase AttemptCases[] = {
        {"LostBeforeTheResponse", "/get/a", false, {}, {{Lost}, {Lost}, {Lost}, {Lost}}},
        {"LostInTheirStreams",
         "/resume/a",
         false,
         {},
         {{{streamOf(0), AfterReply::Reset}},
          {{streamOf(1), AfterReply::Reset}},
          {{streamOf(2), AfterReply::Reset}},
          {{streamOf(3), AfterReply::Reset}}}},
        {"BesideConnectionsThatArentMade",
         "/get/a",
         false,
         {false, true, false},
         {{}, {Lost}, {}, {Lost}, {Lost}, {Lost}}},
        {"LostWithTheirRelays",
         "/resume/a",
         true,
         {},
         {{{Established}, Lost}, {{Established}, Lost}, {{Established}, Lost}}},
        {"BesideRelaysThatRefuse",
         "/resume/a",
         true,
         {},
         {{{RelayBusy}, {Established}, Lost},
          {{NoEndpoint}},
          {{Established}, Lost},
          {{Established}, Lost}}},
};

// Guards against a request that is sent to more endpoints in one attempt of its caller than the
// route allows, since a send that wasn't one is taken back.
TEST_P(Attempts, AreNoMoreThanTheRouteAllows)
{
    const AttemptCase &row = GetParam();
    constexpr std::size_t MaxAttempts = 2;
    ProxyTestHarness harness(row.endpoints);
    for (std::size_t i = 0; i < row.endpoints.size(); ++i) {
        if (i < row.listens.size() && !row.listens[i]) {
            harness.endpoints[i]->stopListening();
        }
        if (row.isRelayed) {
            harness.placement.endpoints[i].relay = RelayRoute{
                    HostId("host" + std::to_string(i)), harness.endpoints[i]->address(), false};
        }
    }
    harness.send(ProxyTestHarness::request(row.path, "r1", Prompt));
    harness.waitUntil([&harness] { return harness.tokenReservations.settled > 0; });
    std::size_t reached = 0;
    for (const auto &endpoint : harness.endpoints) {
        for (const CallerRequest &received : endpoint->received()) {
            reached += decodeRelayRequest(received.head) ? 0 : 1;
        }
    }
    EXPECT_EQ(reached, MaxAttempts);
    EXPECT_EQ(harness.requests.lost.size(), MaxAttempts);
}

INSTANTIATE_TEST_SUITE_P(Rows, Attempts, testing::ValuesIn(AttemptCases),
                         [](const auto &row) { return row.param.name; });

struct IdentityCase
{
    const char *name;
    const char *workspace;
    const char *target;
    const char *body;
    std::vector<PromptPart> prompt;
    bool isSameRequest;
    bool isSameSession;
    const char *service = "s";
    const char *host = "h.example";
};

class Identity : public testing::TestWithParam<IdentityCase>
{};

// Guards against attempts of one request that aren't known as such, and against refusing one for
// the crashes of another.
TEST_P(Identity, IsThatOfTheContent)
{
    const IdentityCase &row = GetParam();
    const ServiceId service("s");
    const RequestHead first{"POST", "/a/x", {{"Request-Id", "1"}, {"Deadline-Ms", "900"}}};
    const RequestHead second{"POST",
                             row.target,
                             {{"Request-Id", "2"}, {"Deadline-Ms", "100"}, {"Last-Event-Id", "7"}}};
    Route firstRoute;
    firstRoute.host = "h.example";
    Route secondRoute;
    secondRoute.host = row.host;
    const auto one = identifyRequest(firstRoute, service, WorkspaceId("w"), first, "body",
                                     {{1, 10}, {2, 20}});
    const auto other = identifyRequest(secondRoute, ServiceId(row.service),
                                       WorkspaceId(row.workspace), second, row.body, row.prompt);
    EXPECT_EQ(one.request == other.request, row.isSameRequest);
    EXPECT_EQ(one.session == other.session, row.isSameSession);
    EXPECT_EQ(one.sharedParts, std::vector<PartKey>{partKey(service, 1)});
}

const IdentityCase IdentityCases[] = {
        {"SentAgain", "w", "/a/x", "body", {{1, 10}, {2, 20}}, true, true},
        {"OtherBody", "w", "/a/x", "more", {{1, 10}, {2, 20}}, false, true},
        {"OtherPath", "w", "/a/y", "body", {{1, 10}, {2, 20}}, false, true},
        {"OtherSharedPart", "w", "/a/x", "body", {{3, 10}, {2, 20}}, false, true},
        {"OtherOwnPart", "w", "/a/x", "body", {{1, 10}, {4, 20}}, false, false},
        {"OtherWorkspace", "v", "/a/x", "body", {{1, 10}, {2, 20}}, false, false},
        {"WithoutPrompt", "w", "/a/x", "body", {}, false, false},
        {"OtherService", "w", "/a/x", "body", {{1, 10}, {2, 20}}, true, true, "t"},
        {"OtherHostName", "w", "/a/x", "body", {{1, 10}, {2, 20}}, false, true, "s", "i.example"},
};

INSTANTIATE_TEST_SUITE_P(Rows, Identity, testing::ValuesIn(IdentityCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
