/// What endpoints say about new requests, by process, entry and time.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/EndpointWithdrawals.h"

using namespace sequoiagate;

namespace {

const EndpointId Endpoint("e");
constexpr uint64_t FirstProcess = 1;

class EndpointWithdrawalsTest : public testing::Test
{
protected:
    EndpointWithdrawalsTest() { withdrawals_.setEndpoint(Endpoint, FirstProcess); }

    static NoticeSource source(uint64_t process = FirstProcess, const char *request = "r")
    {
        return {Endpoint, process, RequestId(request), Instant()};
    }

    Instant now_{std::chrono::hours(1)};
    EndpointWithdrawals withdrawals_;
};

TEST_F(EndpointWithdrawalsTest, LeavingIsNewOnce)
{
    EXPECT_TRUE(withdrawals_.onLeaving(source(), now_));
    EXPECT_FALSE(withdrawals_.onLeaving(source(FirstProcess, "later"), now_ + Millis(5)));
    EXPECT_TRUE(withdrawals_.isLeaving(Endpoint));
    EXPECT_EQ(withdrawals_.leavingCount(), 1U);
    EXPECT_EQ(withdrawals_.describe(Endpoint, now_ + Millis(40)),
              "e: leaving, said 40 ms ago to r");
}

// Guards against using an endpoint that is leaving again because its entry went for a while.
TEST_F(EndpointWithdrawalsTest, LeavingOutlivesTheEntry)
{
    withdrawals_.onLeaving(source(), now_);
    withdrawals_.removeEndpoint(Endpoint, now_);
    EXPECT_EQ(withdrawals_.leavingCount(), 0U);
    withdrawals_.dropExpired(now_ + EndpointWithdrawals::DelistedLifetime - Millis(1));
    withdrawals_.setEndpoint(Endpoint, FirstProcess);
    EXPECT_TRUE(withdrawals_.isLeaving(Endpoint));
    withdrawals_.removeEndpoint(Endpoint, now_);
    withdrawals_.dropExpired(now_ + EndpointWithdrawals::DelistedLifetime);
    EXPECT_FALSE(withdrawals_.isLeaving(Endpoint));
}

TEST_F(EndpointWithdrawalsTest, LeavingEndsWithTheProcess)
{
    withdrawals_.onLeaving(source(), now_);
    withdrawals_.setEndpoint(Endpoint, FirstProcess + 1);
    EXPECT_FALSE(withdrawals_.isLeaving(Endpoint));
    EXPECT_FALSE(withdrawals_.onLeaving(source(), now_));
    EXPECT_FALSE(withdrawals_.isLeaving(Endpoint));
}

// Guards against forgetting what an endpoint says after its entry has gone.
TEST_F(EndpointWithdrawalsTest, ResponseAfterTheEntryIsGoneCounts)
{
    EndpointWithdrawals withdrawals;
    EXPECT_TRUE(withdrawals.onLeaving(source(), now_));
    withdrawals.setEndpoint(Endpoint, FirstProcess);
    EXPECT_TRUE(withdrawals.isLeaving(Endpoint));
    withdrawals.setEndpoint(Endpoint, FirstProcess + 1);
    EXPECT_FALSE(withdrawals.isLeaving(Endpoint));
}

} // namespace
