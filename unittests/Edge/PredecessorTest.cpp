/// Callers of a workspace are refused though its tokens were never used: the process that held
/// them died with its host's power. The next one asks the peers that the last batch names.

#include <gtest/gtest.h>

#include "lib/Edge/Predecessor.h"

using namespace sequoiagate;

namespace {

const DomainId D("d");
const DomainId E("e");

BatchMoment lastBatch()
{
    BatchMoment batch;
    batch.holder = Incarnation("dead");
    batch.clocks = {{"boot", Millis(1000)}, Millis(50'000)};
    batch.peers = {{HostId("a"), Incarnation("a1"), {{std::string(), Millis(700)}, Millis(50'000)}},
                   {HostId("b"), Incarnation("b1"), {{std::string(), Millis(900)}, Millis(50'000)}},
                   {HostId("gone"), Incarnation("g1"), {{std::string(), Millis(1)}, Millis(1)}}};
    return batch;
}

class Asking : public testing::Test
{
protected:
    Asking()
        : predecessor_(lastBatch(), D, {{"boot", Millis(9)}, Millis(51'000)},
                       {{HostId("a"), D}, {HostId("b"), E}}, now_)
    {}

    void answer(const char *host, const char *process, Millis sinceBoot, Millis timeOfDay)
    {
        predecessor_.onAnswer(
                {HostId(host), Incarnation(process), {{"", sinceBoot}, timeOfDay}, Millis(100)});
    }

    Instant now_{std::chrono::hours(1)};
    Predecessor predecessor_;
};

TEST_F(Asking, GoesToListedHostsUntilTheyAnswer)
{
    EXPECT_EQ(predecessor_.asks(now_), (std::vector<HostId>{HostId("a"), HostId("b")}));
    EXPECT_TRUE(predecessor_.asks(now_).empty());
    answer("a", "a1", Millis(2000), Millis(0));
    now_ += std::chrono::seconds(1);
    EXPECT_EQ(predecessor_.asks(now_), (std::vector<HostId>{HostId("b")}));
}

TEST_F(Asking, IsDecidedWhenAllAnswered)
{
    EXPECT_FALSE(predecessor_.decided(now_));
    answer("a", "a1", Millis(2000), Millis(0));
    EXPECT_FALSE(predecessor_.decided(now_));
    answer("b", "b2", Millis(3), Millis(51'500));
    EXPECT_TRUE(predecessor_.decided(now_));
    EXPECT_EQ(predecessor_.bound(), Millis(1200));
}

TEST_F(Asking, DoesWithThoseThatAnsweredInTime)
{
    answer("a", "a1", Millis(2000), Millis(0));
    now_ += std::chrono::seconds(1);
    EXPECT_TRUE(predecessor_.decided(now_));
}

TEST_F(Asking, WaitsForMoreWhileThereIsNoBound)
{
    answer("a", "a2", Millis(3), Millis(51'400));
    now_ += std::chrono::seconds(1);
    EXPECT_FALSE(predecessor_.decided(now_));
    now_ += std::chrono::seconds(10);
    EXPECT_TRUE(predecessor_.decided(now_));
    EXPECT_FALSE(predecessor_.bound());
}

} // namespace
