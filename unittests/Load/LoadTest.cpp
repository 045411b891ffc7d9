#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <httplib.h>

#include "sequoiagate/Load/LoadReport.h"
#include "sequoiagate/Load/SseReader.h"

using namespace sequoiagate;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);

const std::string Token = R"(data: {"choices":[{"delta":{"content":"a"}}]})"
                          "\n\n";
const std::string Last = R"(data: {"choices":[{"delta":{},"finish_reason":"stop"}]})"
                         "\n\n";
const std::string Done = "data: [DONE]\n\n";

struct StreamCase
{
    const char *name;
    std::string stream;
    uint64_t tokens;
    bool whole;
    const char *errorCode;
};

class Stream : public testing::TestWithParam<StreamCase>
{};

// A stream comes in pieces that end anywhere. A caller has its whole answer only if the
// end marker came; a cut stream must not be counted as served.
const StreamCase StreamCases[] = {
        {"Whole", Token + Token + Last + Done, 2, true, ""},
        {"Cut", Token + Token, 2, false, ""},
        {"Empty", "", 0, false, ""},
        {"CarriageReturns", "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\r\n\r\n" + Done,
         1, true, ""},
        {"ErrorEvent", Token + "event: error\ndata: {\"error\":{\"code\":\"stream_cut\"}}\n\n", 1,
         false, "stream_cut"},
        {"Malformed", "data: {\n\n", 0, false, "malformed"},
};

TEST_P(Stream, IsJudgedAlikeInPiecesOfAnySize)
{
    const StreamCase &row = GetParam();
    constexpr std::size_t Pieces[] = {1, 7, 4096};
    for (const std::size_t piece : Pieces) {
        SseReader reader;
        for (std::size_t at = 0; at < row.stream.size(); at += piece) {
            reader.feed(row.stream.substr(at, piece), Start);
        }
        EXPECT_EQ(reader.tokens(), row.tokens);
        EXPECT_EQ(reader.whole(), row.whole);
        EXPECT_EQ(reader.errorCode(), row.errorCode);
        EXPECT_EQ(reader.firstTokenAt().has_value(), row.tokens > 0);
    }
}

INSTANTIATE_TEST_SUITE_P(Streams, Stream, testing::ValuesIn(StreamCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct UrlCase
{
    const char *name;
    const char *url;
    bool allowed;
};

class Target : public testing::TestWithParam<UrlCase>
{};

// The loads overrun what they meet. Aimed at another host by mistake they would be an
// outage there.
constexpr UrlCase UrlCases[] = {
        {"Loopback", "http://127.0.0.1:8080", true},
        {"OtherLoopback", "http://127.1.2.3:80", true},
        {"Localhost", "http://localhost:8080/", true},
        {"Ipv6Loopback", "http://[::1]:8080", true},
        {"OtherHost", "http://10.0.0.1:8080", false},
        {"Name", "http://example.org:80", false},
        {"LoopbackAsPrefix", "http://127.0.0.1.example.org:80", false},
        {"LoopbackAsUser", "http://127.0.0.1:80@example.org:80", false},
        {"NoPort", "http://127.0.0.1", false},
        {"Https", "https://127.0.0.1:8080", false},
};

TEST_P(Target, IsOnLoopbackOnly)
{
    if (GetParam().allowed) {
        EXPECT_NO_THROW(requireLoopback(GetParam().url));
        return;
    }
    EXPECT_THROW(requireLoopback(GetParam().url), LoadError);
}

INSTANTIATE_TEST_SUITE_P(Urls, Target, testing::ValuesIn(UrlCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct PlanCase
{
    const char *load;
    double requests; ///< expected, at 20 a second for 60 s
};

class Plan : public testing::TestWithParam<PlanCase>
{};

constexpr PlanCase PlanCases[] = {
        {"burst", 1500}, // 600 and, in 10 s, 900 more
        {"hot-keys", 840}, {"slow-endpoint", 720}, {"long-among-short", 720}, {"saturation", 1800},
};

TEST_P(Plan, HasItsRateAndIsTheSameForASeed)
{
    LoadOptions options;
    options.capacity = 20.0;
    options.seconds = 60;
    options.workspaces = 5;
    const auto plan = planLoad(GetParam().load, options, Start);
    EXPECT_NEAR(static_cast<double>(plan.size()), GetParam().requests, 0.12 * GetParam().requests);
    const auto again = planLoad(GetParam().load, options, Start);
    ASSERT_EQ(plan.size(), again.size());
    for (std::size_t i = 0; i < plan.size(); ++i) {
        EXPECT_EQ(plan[i].at, again[i].at);
        EXPECT_LT(plan[i].workspace, options.workspaces);
        EXPECT_LT(plan[i].at, Start + Seconds(options.seconds));
    }
    options.mostRequests = 100;
    EXPECT_THROW(planLoad(GetParam().load, options, Start), LoadError);
}

INSTANTIATE_TEST_SUITE_P(Loads, Plan, testing::ValuesIn(PlanCases), [](const auto &row) {
    std::string name = row.param.load;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

TEST(LoadRunner, TellsServedRefusedAndCutApart)
{
    // A router serves one caller in three, refuses one and cuts one's stream. The report
    // must not count the cut one as served, nor the refusal without its time as polite.
    httplib::Server server;
    std::atomic<int> calls{0};
    server.Post("/v1/chat/completions", [&](const httplib::Request &, httplib::Response &response) {
        const int kind = calls++ % 3;
        if (kind == 0) {
            response.set_content(Token + Token + Done, "text/event-stream");
        } else if (kind == 1) {
            response.set_content(Token, "text/event-stream");
        } else {
            response.status = 429;
            response.set_content(R"({"error":{"code":"queue_full"}})", "application/json");
        }
    });
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread serving([&] { server.listen_after_bind(); });
    LoadTarget target;
    target.url = "http://127.0.0.1:" + std::to_string(port);
    target.callers = {{"w", "key"}};
    // Builds the library's static patterns before threads start: the thread sanitizer doesn't see
    // their guards, since the library isn't instrumented.
    httplib::Client(target.url).Get("/");
    std::vector<PlannedRequest> plan(30);
    target.connections = plan.size();
    const Instant now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < plan.size(); ++i) {
        plan[i].at = now + Millis(20) * static_cast<int>(i);
        plan[i].promptWords = 5;
        plan[i].maxTokens = 5;
    }
    const LoadSummary summary = summarise("test", playLoad(plan, target));
    server.stop();
    serving.join();
    EXPECT_EQ(summary.planned, 30U);
    EXPECT_EQ(summary.sent, 30U);
    EXPECT_EQ(summary.failures.count("no_connection_left"), 0U);
    EXPECT_EQ(summary.whole, 10U);
    EXPECT_EQ(summary.failures.at("queue_full"), 10U);
    EXPECT_EQ(summary.failures.at("cut"), 10U);
    EXPECT_EQ(summary.refusedWithoutTime, 10U);
    const std::string table = reportMarkdown({summary}, "sequoia-load --load test");
    EXPECT_NE(table.find("sequoia-load --load test"), std::string::npos);
    EXPECT_NE(reportSvg({summary}, "a < b").find("a &lt; b"), std::string::npos);
    EXPECT_EQ(reportJson({summary}, "c")["loads"][0]["whole"], 10);
}

// Guards against a report that reads as if all planned requests had been sent.
TEST(LoadReport, TellsWhatWasNotSentForWantOfConnections)
{
    std::vector<CallRecord> records(5);
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].sent = i < 2;
        records[i].code = records[i].sent ? "" : "no_connection_left";
    }
    const LoadSummary summary = summarise("burst", records);
    EXPECT_EQ(summary.planned, 5U);
    EXPECT_EQ(summary.sent, 2U);
    EXPECT_EQ(summary.failures.at("no_connection_left"), 3U);
    const std::string told = "burst: 3 of 5 requests were not sent, all connections were in use";
    EXPECT_NE(reportMarkdown({summary}, "c").find(told), std::string::npos);
    records.resize(2);
    EXPECT_EQ(reportMarkdown({summarise("burst", records)}, "c").find("not sent"),
              std::string::npos);
}

} // namespace
