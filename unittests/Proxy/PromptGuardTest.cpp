/// What is reported of prompts whose endpoints end, and which prompts aren't sent.

#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

using namespace sequoiagate;

namespace {

constexpr const char *Head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n";

std::string streamHead()
{
    return std::string(Head)
           + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id)
{
    return writeChunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

constexpr const char *Prompt = "Prompt-Prefix: a1:10,bad:20,c3:30\r\n";
constexpr uint64_t BadPart = 0xBAD;

struct GuardCase
{
    const char *name;
    const char *path;
    const char *fields;
    std::vector<std::vector<Reply>> endpoints;
    const char *expected; ///< substring of what the caller receives
    int written;
    std::vector<EndpointId> lost;
};

class Guard : public testing::TestWithParam<GuardCase>
{};

const GuardCase GuardCases[] = {
        {"WholeStream",
         "/stream/a",
         Prompt,
         {{{streamHead() + event(0) + "0\r\n\r\n"}}},
         "0\r\n\r\n",
         1,
         {}},
        {"WholeAnswer",
         "/get/a",
         Prompt,
         {{{std::string(Head) + "Content-Length: 4\r\n\r\ngood"}}},
         "good",
         1,
         {}},
        {"LostBeforeTheAnswer",
         "/stream/a",
         Prompt,
         {{{"", AfterReply::Reset}}},
         "HTTP/1.1 502",
         0,
         {EndpointId("e0")}},
        {"ClosedBeforeTheAnswer",
         "/stream/a",
         Prompt,
         {{{"", AfterReply::Close}}},
         "HTTP/1.1 502",
         0,
         {EndpointId("e0")}},
        {"LostJustAfterItBegan",
         "/stream/a",
         Prompt,
         {{{streamHead() + event(0), AfterReply::Reset}}},
         "id: 0",
         0,
         {EndpointId("e0")}},
        // Guards against blaming prompts for an endpoint that rejects or fails them.
        {"Failed",
         "/stream/a",
         Prompt,
         {{{"HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: "
            "0\r\n\r\n"}}},
         "HTTP/1.1 500",
         0,
         {}},
        {"WithoutPrompt", "/stream/a", "", {{{"", AfterReply::Reset}}}, "HTTP/1.1 502", 0, {}},
};

TEST_P(Guard, IsToldHowPromptsEnd)
{
    const GuardCase &row = GetParam();
    ProxyTestHarness harness(row.endpoints);
    harness.send(ProxyTestHarness::request(row.path, "r1", row.fields));
    EXPECT_TRUE(harness.waitFor(row.expected)) << harness.received();
    harness.waitUntil([&harness] { return harness.tokenReservations.settled > 0; });
    EXPECT_EQ(harness.prompts.written, row.written);
    EXPECT_EQ(harness.prompts.lost, row.lost);
}

INSTANTIATE_TEST_SUITE_P(Rows, Guard, testing::ValuesIn(GuardCases),
                         [](const auto &row) { return row.param.name; });

// Guards against sending a prompt that is known to crash endpoints, and against tokens that stay
// reserved for it.
TEST(QuarantinedPrompt, IsRefusedAtOnceAsNotRun)
{
    ProxyTestHarness harness({{{streamHead()}}});
    harness.prompts.quarantined = BadPart;
    harness.send(ProxyTestHarness::request("/stream/a", "r1", Prompt));
    EXPECT_TRUE(harness.waitFor("prompt_quarantined"));
    EXPECT_NE(harness.received().find("HTTP/1.1 503"), std::string::npos);
    EXPECT_NE(harness.received().find("Retry-After: "), std::string::npos);
    EXPECT_NE(harness.received().find("\"execution\":\"not_run\""), std::string::npos);
    EXPECT_TRUE(harness.endpoints[0]->received().empty());
    EXPECT_EQ(harness.tokenReservations.reserved, 0U);
}

// Guards against carrying a prompt to another endpoint after it was quarantined.
TEST(QuarantinedPrompt, IsNotRepeated)
{
    ProxyTestHarness harness({{{"", AfterReply::Reset}}, {{streamHead()}}});
    harness.prompts.quarantined = BadPart;
    harness.prompts.refuseAfter = 2; // before tokens are reserved, and before it is sent
    harness.send(ProxyTestHarness::request("/resume/a", "r1", Prompt));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 502")) << harness.received();
    EXPECT_TRUE(harness.endpoints[1]->received().empty());
}

// Guards against losses that tell nothing, and against a probe over a path that this host lacks.
TEST(QuarantinedPrompt, LossesOverARelayNameTheRelay)
{
    constexpr const char *Established = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    ProxyTestHarness harness({{{Established}, {"", AfterReply::Reset}}});
    PlacementTarget &target = harness.placement.endpoints[0];
    target.relay = RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
    harness.send(ProxyTestHarness::request("/stream/a", "r1", Prompt));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 502"));
    ASSERT_EQ(harness.prompts.relays.size(), 1U);
    EXPECT_EQ(harness.prompts.relays.front(), HostId("other"));
}

} // namespace
