/// Endpoints that send a malformed response, or one that isn't final.

#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

using namespace sequoiagate;

namespace {

constexpr const char *EstablishedFramed = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

constexpr const char *Fields = "Request-Id: 7\r\nContent-Length: 4\r\nResponse-Stamp: s\r\n";

std::string response(const std::string &statusLine, const std::string &extra = "")
{
    return statusLine + "\r\n" + Fields + extra + "\r\nevil";
}

const std::string Sound = std::string("HTTP/1.1 200 OK\r\n") + Fields + "\r\ngood";

struct MalformedCase
{
    const char *name;
    std::string bytes;
};

const MalformedCase MalformedCases[] = {
        {"StatusZero", response("HTTP/1.1 000 Trouble")},
        {"StatusBelowAHundred", response("HTTP/1.1 020 Trouble")},
        {"StatusAboveTheRange", response("HTTP/1.1 600 Trouble")},
        {"SwitchOfProtocol", response("HTTP/1.1 101 Switching Protocols", "Upgrade: x\r\n")},
        {"StatusZeroThatSaysNotExecuted", response("HTTP/1.1 000 Trouble", "Not-Executed: 1\r\n")},
        {"BlankInAName", response("HTTP/1.1 200 OK", "Fie ld: 1\r\n")},
        {"BlankInANameThatSaysNotExecuted",
         response("HTTP/1.1 503 Full", "Not-Executed: 1\r\nFie ld: 1\r\n")},
        {"ControlByteInAName", response("HTTP/1.1 200 OK", "Fie\001ld: 1\r\n")},
        {"BlankBeforeTheColon", response("HTTP/1.1 200 OK", "Field : 1\r\n")},
        {"BlankBeforeAName", response("HTTP/1.1 200 OK", " Field: 1\r\n")},
        {"BlankInTheNameOfTheLength",
         "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nResponse-Stamp: s\r\nContent Length: 4\r\n\r\nevil"},
        {"BlankBeforeTheNameOfTheLength",
         "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nResponse-Stamp: s\r\n Content-Length: 4\r\n\r\nevil"},
};

struct Path
{
    const char *name;
    bool isRelayed;
};

const Path Paths[] = {{"", false}, {"OverARelay", true}};

class MalformedResponse : public testing::TestWithParam<std::tuple<MalformedCase, Path>>
{
protected:
    /// Endpoints that send \p responses and close behind them.
    static std::vector<std::vector<Reply>> scripts(const std::vector<std::string> &responses)
    {
        std::vector<std::vector<Reply>> result;
        for (const std::string &bytes : responses) {
            result.push_back(
                    isRelayed() ? std::vector<Reply>{{EstablishedFramed},
                                                     {writeChunk(bytes) + std::string(LastChunk)}}
                                : std::vector<Reply>{{bytes, AfterReply::Close}});
        }
        return result;
    }

    static bool isRelayed() { return std::get<1>(GetParam()).isRelayed; }

    static void setRelays(ProxyTestHarness &harness)
    {
        for (std::size_t i = 0; isRelayed() && i < harness.endpoints.size(); ++i) {
            harness.placement.endpoints[i].relay =
                    RelayRoute{HostId("other"), harness.endpoints[i]->address(), false};
        }
    }
};

// Guards against a malformed response that reaches the caller.
TEST_P(MalformedResponse, IsNoAnswer)
{
    ProxyTestHarness harness(scripts({std::get<0>(GetParam()).bytes}));
    setRelays(harness);
    harness.send(ProxyTestHarness::request("/once/a", "7"));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 502")) << harness.received();
    EXPECT_EQ(harness.received().find("evil"), std::string::npos) << harness.received();
    EXPECT_FALSE(harness.closed());
    EXPECT_EQ(harness.placement.sent, 1);
    EXPECT_TRUE(harness.waitFor("may_have_run")) << harness.received();
    EXPECT_EQ(harness.received().find("Not-Executed"), std::string::npos);
}

TEST_P(MalformedResponse, IsRepeatedElsewhere)
{
    ProxyTestHarness harness(scripts({std::get<0>(GetParam()).bytes, Sound}));
    setRelays(harness);
    harness.send(ProxyTestHarness::request("/get/a", "7"));
    EXPECT_TRUE(harness.waitFor("good")) << harness.received();
    EXPECT_EQ(harness.received().find("evil"), std::string::npos) << harness.received();
    EXPECT_EQ(harness.received().rfind("HTTP/1.1 200 OK", 0), 0U);
}

// Guards against a sound request that is quarantined since live endpoints sent malformed responses.
TEST_P(MalformedResponse, IsNoLossOfItsEndpoint)
{
    ProxyTestHarness harness(scripts({std::get<0>(GetParam()).bytes}));
    setRelays(harness);
    harness.send(ProxyTestHarness::request("/once/a", "7", "Prompt-Prefix: a1:10\r\n"));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 502")) << harness.received();
    EXPECT_TRUE(harness.requests.lost.empty());
    EXPECT_TRUE(harness.prompts.lost.empty());
    // Nothing was delivered, and the prompt may have been read.
    EXPECT_EQ(harness.tokenReservations.spent, 100U);
}

INSTANTIATE_TEST_SUITE_P(Rows, MalformedResponse,
                         testing::Combine(testing::ValuesIn(MalformedCases),
                                          testing::ValuesIn(Paths)),
                         [](const auto &row) {
                             return std::string(std::get<0>(row.param).name)
                                    + std::get<1>(row.param).name;
                         });

struct InterimCase
{
    const char *name;
    std::string heads;
};

const InterimCase InterimCases[] = {
        {"Continue", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"EarlyHints", "HTTP/1.1 103 Early Hints\r\nLink: </evil>\r\n\r\n"},
        {"Several",
         "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\nLink: </evil>\r\n\r\n"},
};

class InterimResponse : public testing::TestWithParam<std::tuple<InterimCase, Path, bool>>
{};

// Guards against an interim response that is taken for the final one, which is lost with it.
TEST_P(InterimResponse, PrecedesTheFinalOne)
{
    const auto &[row, path, isInParts] = GetParam();
    const std::string first = isInParts ? row.heads : row.heads + Sound;
    Reply reply{path.isRelayed ? writeChunk(first) : first};
    if (isInParts) {
        reply.later = path.isRelayed ? writeChunk(Sound) : Sound;
        reply.silence = std::chrono::milliseconds(20);
    }
    std::vector<Reply> script = {reply};
    if (path.isRelayed) {
        script.insert(script.begin(), {EstablishedFramed});
    }
    ProxyTestHarness harness({script});
    if (path.isRelayed) {
        harness.placement.endpoints[0].relay =
                RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
    }
    harness.send(ProxyTestHarness::request("/once/a", "7"));
    EXPECT_TRUE(harness.waitFor("good")) << harness.received();
    EXPECT_EQ(harness.received().rfind("HTTP/1.1 200 OK", 0), 0U) << harness.received();
    EXPECT_EQ(harness.received().find("evil"), std::string::npos) << harness.received();
}

INSTANTIATE_TEST_SUITE_P(Rows, InterimResponse,
                         testing::Combine(testing::ValuesIn(InterimCases), testing::ValuesIn(Paths),
                                          testing::Bool()),
                         [](const auto &row) {
                             return std::string(std::get<0>(row.param).name)
                                    + std::get<1>(row.param).name
                                    + (std::get<2>(row.param) ? "InParts" : "");
                         });

// Guards against a connection that is kept open by interim responses alone.
TEST(InterimResponses, DoNotPutOffTheDeadline)
{
    ProxyTestHarness harness({{{"HTTP/1.1 100 Continue\r\n\r\n", AfterReply::Hang}}});
    harness.send(ProxyTestHarness::request("/short/a", "7"));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 504")) << harness.received();
}

} // namespace
