/// When refused callers are told to return.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/ReturnSchedule.h"

using namespace sequoiagate;

namespace {

struct Refused
{
    uint32_t priority;
    Millis returnsAfter; ///< the earliest time
};

struct ReturnCase
{
    const char *name;
    std::vector<Refused> callers; ///< in the order of their refusals
};

class ReturnScheduleTest : public testing::TestWithParam<ReturnCase>
{};

// Guards against callers that all return at the same moment, and against less urgent ones that
// return before more urgent ones.
TEST_P(ReturnScheduleTest, SpacesReturnsByUrgencyAndAge)
{
    const Instant earliest{std::chrono::hours(1)};
    ReturnSchedule schedule;
    for (const Refused &caller : GetParam().callers) {
        EXPECT_EQ(schedule.assign(caller.priority, earliest), earliest + caller.returnsAfter);
    }
}

const ReturnCase ReturnCases[] = {
        {"One", {{0, Millis(0)}}},
        {"OlderFirst", {{1, Millis(0)}, {1, Millis(10)}, {1, Millis(20)}}},
        {"LessUrgentLater", {{0, Millis(0)}, {2, Millis(10)}, {0, Millis(10)}, {2, Millis(20)}}},
        {"MoreUrgentDoNotWait", {{5, Millis(0)}, {5, Millis(10)}, {0, Millis(0)}}},
};

INSTANTIATE_TEST_SUITE_P(Rows, ReturnScheduleTest, testing::ValuesIn(ReturnCases),
                         [](const auto &row) { return row.param.name; });

TEST(ReturnSchedule, IsBounded)
{
    const Instant earliest{std::chrono::hours(1)};
    ReturnSchedule schedule;
    Instant last{};
    for (int i = 0; i < 1000; ++i) {
        last = schedule.assign(0, earliest);
    }
    EXPECT_EQ(last, earliest + ReturnSchedule::MaxSpread);
    const Instant later = earliest + std::chrono::seconds(10);
    EXPECT_EQ(schedule.assign(0, later), later);
}

} // namespace
