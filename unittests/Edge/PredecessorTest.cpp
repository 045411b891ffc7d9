/// Which peers a process queries about its host's previous process, and when it stops waiting.

#include <gtest/gtest.h>

#include "lib/Edge/Predecessor.h"

using namespace sequoiagate;

namespace {

using boost::asio::ip::make_address;
using boost::asio::ip::udp;

const udp::endpoint A(make_address("10.0.0.1"), 7200);
const udp::endpoint B(make_address("10.0.0.2"), 7200);
const udp::endpoint Unlisted(make_address("10.0.0.3"), 7200);

BatchHeader lastBatch()
{
    BatchHeader batch;
    batch.holder = Incarnation("dead");
    batch.sinceBoot = Millis(1000);
    batch.peers = {{A, Incarnation("a1"), Millis(700)},
                   {B, Incarnation("b1"), Millis(900)},
                   {Unlisted, Incarnation("g1"), Millis(1)}};
    return batch;
}

class PredecessorTest : public testing::Test
{
protected:
    PredecessorTest() : predecessor_(lastBatch(), {A, B}, now_) {}

    void respond(const udp::endpoint &address, const char *process, Millis sinceBoot)
    {
        predecessor_.onResponse({address, Incarnation(process), sinceBoot, Millis(100)});
    }

    Instant now_{std::chrono::hours(1)};
    Predecessor predecessor_;
};

TEST_F(PredecessorTest, QueriesListedAddressesUntilTheyRespond)
{
    EXPECT_EQ(predecessor_.addressesToQuery(now_), (std::vector<udp::endpoint>{A, B}));
    EXPECT_TRUE(predecessor_.addressesToQuery(now_).empty());
    respond(A, "a1", Millis(2000));
    now_ += std::chrono::seconds(1);
    EXPECT_EQ(predecessor_.addressesToQuery(now_), (std::vector<udp::endpoint>{B}));
}

TEST_F(PredecessorTest, IsCompleteWhenAllResponded)
{
    EXPECT_FALSE(predecessor_.isComplete(now_));
    respond(A, "a1", Millis(2000));
    EXPECT_FALSE(predecessor_.isComplete(now_));
    respond(B, "b2", Millis(3));
    EXPECT_TRUE(predecessor_.isComplete(now_));
    EXPECT_EQ(predecessor_.elapsedUpperBound(), Millis(1200));
}

TEST_F(PredecessorTest, IsCompleteWithSomeResponsesAfterTimeout)
{
    respond(A, "a1", Millis(2000));
    now_ += std::chrono::seconds(1);
    EXPECT_TRUE(predecessor_.isComplete(now_));
}

TEST_F(PredecessorTest, WaitsLongerWithoutBound)
{
    respond(A, "a2", Millis(3));
    now_ += std::chrono::seconds(1);
    EXPECT_FALSE(predecessor_.isComplete(now_));
    now_ += std::chrono::seconds(10);
    EXPECT_TRUE(predecessor_.isComplete(now_));
    EXPECT_FALSE(predecessor_.elapsedUpperBound());
}

} // namespace
