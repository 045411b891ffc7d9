#include "sequoiagate/Decisions/EndpointOccupancy.h"

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);
constexpr uint64_t Prefix = 9;

RequestUse useOf(const char *request, uint64_t prefix = Prefix)
{
    return {RequestId(request), prefix, prefix == 0 ? 0U : 6300U, 2900, Millis(160)};
}

// Guards against memory that is counted once per request of a prefix, and against a prefix that
// isn't counted any more when the first of its requests ends.
TEST(EndpointOccupancy, CountsASharedPrefixOnce)
{
    EndpointOccupancy occupancy;
    occupancy.onSent(1, useOf("a"), Start);
    EXPECT_EQ(occupancy.additionalTokens(1, useOf("b")), 2900.0);
    EXPECT_EQ(occupancy.additionalTokens(1, useOf("b", 8)), 9200.0);
    EXPECT_EQ(occupancy.additionalTokens(2, useOf("b")), 9200.0);
    occupancy.onSent(1, useOf("b"), Start);
    occupancy.onSent(1, useOf("c", 0), Start);
    EXPECT_EQ(occupancy.own(1).tokens, 6300.0 + 3 * 2900.0);
    occupancy.onEnd(1, RequestId("a"), Start);
    EXPECT_EQ(occupancy.own(1).tokens, 6300.0 + 2 * 2900.0);
    occupancy.onEnd(1, RequestId("b"), Start);
    occupancy.onEnd(1, RequestId("c"), Start);
    EXPECT_EQ(occupancy.own(1).tokens, 0.0);
    EXPECT_EQ(occupancy.own(1).prefill, Interval::zero());
}

// Guards against a queue that never ends, since the first event of a request is reported twice, or
// not at all, or for a request of an earlier process.
TEST(EndpointOccupancy, EndsTheQueueWithTheFirstEvent)
{
    EndpointOccupancy occupancy;
    occupancy.onSent(1, useOf("a"), Start);
    occupancy.onSent(1, useOf("b"), Start);
    occupancy.onFirstEvent(1, RequestId("a"), Start);
    occupancy.onFirstEvent(1, RequestId("a"), Start);
    occupancy.onFirstEvent(1, RequestId("unknown"), Start);
    occupancy.onFirstEvent(7, RequestId("a"), Start);
    EXPECT_EQ(occupancy.own(1).prefill, Interval(Millis(160)));
    EXPECT_EQ(occupancy.own(1).requests, 2.0);
    occupancy.onEnd(1, RequestId("b"), Start);
    occupancy.onEnd(1, RequestId("b"), Start);
    EXPECT_EQ(occupancy.own(1).prefill, Interval::zero());
    EXPECT_EQ(occupancy.own(1).requests, 1.0);
    occupancy.onSent(2, useOf("c"), Start);
    occupancy.keepOnly({2}, Start);
    EXPECT_EQ(occupancy.own(1).requests, 0.0) << "its process has ended";
    EXPECT_EQ(occupancy.own(2).requests, 1.0);
}

// Guards against a host that takes an endpoint for idle since it has no request there itself.
TEST(EndpointOccupancy, ExpectsOtherHostsToUseAsMuch)
{
    EndpointOccupancy occupancy;
    occupancy.setScale(1.0 / 75, 60);
    EXPECT_EQ(occupancy.others(Start).requests, 0.0);
    occupancy.onSent(1, useOf("a"), Start);
    occupancy.onSent(2, useOf("b", 0), Start);
    const EndpointUse soon = occupancy.others(Start + Millis(100));
    EXPECT_LT(soon.requests, 0.2) << "two requests at the same time aren't a load yet";
    const EndpointUse later = occupancy.others(Start + Seconds(30));
    EXPECT_NEAR(later.requests, 2.0 * 74 / 60, 0.01);
    EXPECT_NEAR(later.tokens, (6300 + 2 * 2900) * 74.0 / 60, 10.0);
    occupancy.onEnd(1, RequestId("a"), Start + Seconds(30));
    occupancy.onEnd(2, RequestId("b"), Start + Seconds(30));
    EXPECT_LT(occupancy.others(Start + Seconds(60)).requests, 0.01);
}

// Guards against a prefix that counts as cached although newer tokens have taken its place.
TEST(EndpointOccupancy, EstimatesRetentionByTheFlowOfNewTokens)
{
    EndpointOccupancy occupancy;
    occupancy.setScale(1.0 / 75, 60);
    const Interval limit = Seconds(60);
    EXPECT_EQ(occupancy.retention(459'404, limit, Start), limit) << "nothing was sent";
    Instant now = Start;
    for (int i = 0; i < 600; ++i) {
        now += Millis(100);
        const std::string request = "r" + std::to_string(i);
        occupancy.onSent(1, useOf(request.c_str()), now);
        occupancy.onEnd(1, RequestId(request), now);
    }
    // 10 requests of 2,900 new tokens per second and host are 36,250 tokens per second and
    // endpoint.
    EXPECT_NEAR(std::chrono::duration<double>(occupancy.retention(459'404, limit, now)).count(),
                459'404 / 36'250.0, 1.0);
    EXPECT_EQ(occupancy.retention(0, limit, now), limit) << "unknown memory";
}

} // namespace
