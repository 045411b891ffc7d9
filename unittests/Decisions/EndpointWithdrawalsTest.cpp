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

    static NoticeSource source(uint64_t process = FirstProcess, const char *request = "r",
                               Instant sentAt = Instant())
    {
        return {Endpoint, process, RequestId(request), sentAt};
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

// Guards against forgetting what a process said when a row of an earlier start is read after its
// own.
TEST_F(EndpointWithdrawalsTest, StatementsOutliveAnEarlierRowThatIsReadAgain)
{
    withdrawals_.onLeaving(source(), now_);
    withdrawals_.onBackoff(source(), std::chrono::seconds(9), now_);
    withdrawals_.setEndpoint(Endpoint, FirstProcess - 1);
    EXPECT_FALSE(withdrawals_.isLeaving(Endpoint));
    EXPECT_FALSE(withdrawals_.isBackingOff(Endpoint, now_));
    withdrawals_.setEndpoint(Endpoint, FirstProcess);
    EXPECT_TRUE(withdrawals_.isLeaving(Endpoint));
    EXPECT_TRUE(withdrawals_.isBackingOff(Endpoint, now_));
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

struct BackoffCase
{
    const char *name;
    std::vector<std::pair<Millis, Interval>> asked; ///< when, and for how long
    Interval endsAfter;
};

class EndpointBackoffTimes : public testing::TestWithParam<BackoffCase>
{};

const BackoffCase BackoffCases[] = {
        {"Once", {{Millis(0), std::chrono::seconds(3)}}, std::chrono::seconds(3)},
        {"Fraction", {{Millis(0), Millis(250)}}, Millis(250)},
        {"Prolonged",
         {{Millis(0), std::chrono::seconds(3)}, {Millis(1000), std::chrono::seconds(3)}},
         std::chrono::seconds(4)},
        // Guards against ending what was asked for first.
        {"ShorterLater",
         {{Millis(0), std::chrono::seconds(3)}, {Millis(100), std::chrono::seconds(1)}},
         std::chrono::seconds(3)},
        {"LongerThanIsKept",
         {{Millis(0), std::chrono::hours(24)}},
         EndpointWithdrawals::MaxBackoff},
};

TEST_P(EndpointBackoffTimes, AreKept)
{
    const BackoffCase &row = GetParam();
    const Instant from{std::chrono::hours(1)};
    EndpointWithdrawals withdrawals;
    withdrawals.setEndpoint(Endpoint, FirstProcess);
    for (const auto &[at, duration] : row.asked) {
        withdrawals.onBackoff({Endpoint, FirstProcess, RequestId("r"), from}, duration, from + at);
    }
    EXPECT_EQ(withdrawals.backoffEnd(Endpoint), from + row.endsAfter);
    EXPECT_TRUE(withdrawals.isBackingOff(Endpoint, from + row.endsAfter - Millis(1)));
    EXPECT_FALSE(withdrawals.isBackingOff(Endpoint, from + row.endsAfter));
}

INSTANTIATE_TEST_SUITE_P(Rows, EndpointBackoffTimes, testing::ValuesIn(BackoffCases),
                         [](const auto &row) { return row.param.name; });

TEST_F(EndpointWithdrawalsTest, BackoffIsNewIfTheEndpointTookRequests)
{
    EXPECT_TRUE(withdrawals_.onBackoff(source(), Millis(500), now_));
    EXPECT_FALSE(withdrawals_.onBackoff(source(), Millis(500), now_ + Millis(1)));
    EXPECT_EQ(withdrawals_.backingOffCount(now_), 1U);
    EXPECT_EQ(withdrawals_.describe(Endpoint, now_ + Millis(101)),
              "e: backoff for 400 ms, said 100 ms ago to r");
    EXPECT_EQ(withdrawals_.describe(Endpoint, now_ + Millis(600)), "");
    EXPECT_TRUE(withdrawals_.onBackoff(source(), Millis(500), now_ + Millis(600)));
}

// Guards against sending to an endpoint that has asked for a backoff because its entry went and
// returned, and against holding the next process to it.
TEST_F(EndpointWithdrawalsTest, BackoffBelongsToTheProcess)
{
    withdrawals_.onBackoff(source(), std::chrono::seconds(3), now_);
    withdrawals_.removeEndpoint(Endpoint, now_);
    withdrawals_.dropExpired(now_ + Millis(100));
    withdrawals_.setEndpoint(Endpoint, FirstProcess);
    EXPECT_TRUE(withdrawals_.isBackingOff(Endpoint, now_ + Millis(100)));
    withdrawals_.setEndpoint(Endpoint, FirstProcess + 1);
    EXPECT_FALSE(withdrawals_.isBackingOff(Endpoint, now_ + Millis(100)));
    EXPECT_FALSE(withdrawals_.onBackoff(source(), std::chrono::seconds(3), now_));
    EXPECT_FALSE(withdrawals_.isBackingOff(Endpoint, now_ + Millis(100)));
}

// Guards against sending everything that waited to an endpoint that is still overloaded.
TEST_F(EndpointWithdrawalsTest, OneTrialAtATimeAfterABackoff)
{
    withdrawals_.onBackoff(source(), Millis(500), now_);
    const Instant end = now_ + Millis(500);
    EXPECT_FALSE(withdrawals_.isOnTrial(Endpoint, end));
    withdrawals_.onSent(Endpoint, end);
    EXPECT_TRUE(withdrawals_.isOnTrial(Endpoint, end + Millis(1)));
    // A response to a request that was sent before the backoff doesn't decide.
    withdrawals_.onAccepted(source(FirstProcess, "earlier", now_ - Millis(1)));
    EXPECT_TRUE(withdrawals_.isOnTrial(Endpoint, end + Millis(1)));
    EXPECT_FALSE(withdrawals_.isOnTrial(Endpoint, end + EndpointWithdrawals::TrialTimeout));
    withdrawals_.onAccepted(source(FirstProcess, "trial", end));
    EXPECT_FALSE(withdrawals_.isOnTrial(Endpoint, end + Millis(2)));
    withdrawals_.onSent(Endpoint, end + Millis(3));
    EXPECT_FALSE(withdrawals_.isOnTrial(Endpoint, end + Millis(4)));
}

TEST_F(EndpointWithdrawalsTest, RejectedTrialBeginsABackoff)
{
    withdrawals_.onBackoff(source(), Millis(500), now_);
    const Instant end = now_ + Millis(500);
    withdrawals_.onSent(Endpoint, end);
    withdrawals_.onBackoff(source(), Millis(500), end + Millis(5));
    EXPECT_FALSE(withdrawals_.isOnTrial(Endpoint, end + Millis(6)));
    EXPECT_TRUE(withdrawals_.isBackingOff(Endpoint, end + Millis(500)));
}

} // namespace
