/// How often requests are lost, by their age.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/LossStatistics.h"

using namespace sequoiagate;

namespace {

const Instant Start{std::chrono::hours(1)};

struct AgeCase
{
    const char *name;
    std::chrono::milliseconds age;
    std::size_t expected;
};

class AgeClasses : public testing::TestWithParam<AgeCase>
{};

const AgeCase AgeCases[] = {
        {"None", std::chrono::milliseconds(0), 0},
        {"AtALimit", std::chrono::milliseconds(25), 0},
        {"AboveALimit", std::chrono::milliseconds(26), 1},
        {"Middle", std::chrono::milliseconds(300), 4},
        {"VeryOld", std::chrono::hours(100), OutcomeCounts::AgeClasses - 1},
};

TEST_P(AgeClasses, DoubleFromOneToTheNext)
{
    EXPECT_EQ(ageClass(GetParam().age), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, AgeClasses, testing::ValuesIn(AgeCases),
                         [](const auto &row) { return row.param.name; });

struct ChanceCase
{
    const char *name;
    uint64_t written;
    uint64_t lostEarly; ///< in class 1
    uint64_t lostLate;  ///< in class 5
    std::size_t oldest;
    std::size_t excluded;
    double expected;
};

class LossChance : public testing::TestWithParam<ChanceCase>
{};

const ChanceCase ChanceCases[] = {
        {"NothingKnown", 0, 0, 0, 5, 0, 0.5},
        {"AllAges", 89, 4, 6, 5, 0, 10.5 / 100},
        {"EarlyOnes", 89, 4, 6, 1, 0, 4.5 / 100},
        {"NoneSoEarly", 89, 4, 6, 0, 0, 0.5 / 100},
        {"WithoutThoseOfThePart", 89, 4, 6, 1, 3, 1.5 / 97},
        {"MoreExcludedThanLost", 89, 4, 6, 1, 30, 0.5 / 96},
        {"ClassOutOfRange", 89, 4, 6, 1000, 0, 10.5 / 100},
};

TEST_P(LossChance, CountsRequestsLostAsEarly)
{
    const ChanceCase &row = GetParam();
    OutcomeCounts counts;
    counts.written = row.written;
    counts.lost[1] = row.lostEarly;
    counts.lost[5] = row.lostLate;
    EXPECT_DOUBLE_EQ(counts.lossChance(row.oldest, row.excluded), row.expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, LossChance, testing::ValuesIn(ChanceCases),
                         [](const auto &row) { return row.param.name; });

TEST(LossStatistics, CountsSinceATimeAndForgets)
{
    LossStatistics statistics;
    for (int second = 0; second < 100; ++second) {
        const Instant now = Start + std::chrono::seconds(second);
        statistics.onWritten(now);
        statistics.onLost(2, now);
    }
    const OutcomeCounts last = statistics.since(Start + std::chrono::seconds(90));
    EXPECT_EQ(last.written, 10U);
    EXPECT_EQ(last.lost[2], 10U);
    EXPECT_EQ(statistics.since(Start).written, 60U);
    EXPECT_TRUE(statistics.since(Start + std::chrono::seconds(100)).isEmpty());
}

} // namespace
