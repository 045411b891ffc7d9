/// When a store that stops responding is noticed.

#include <gtest/gtest.h>

#include "lib/Edge/StoreLoss.h"

using namespace sequoiagate;

namespace {

struct LossCase
{
    const char *name;
    bool readsAnswered;
    Millis lastAnswer;                ///< of a read, after the start
    std::optional<Millis> unanswered; ///< when an unanswered append was sent
    bool isLost;
};

class StoreLossTest : public testing::TestWithParam<LossCase>
{};

// Guards against an outage that is noticed only when most tokens are used, and against a single
// lost append that is taken for an outage.
TEST_P(StoreLossTest, IsDatedByTheLastAnswer)
{
    const LossCase &row = GetParam();
    const Instant start{std::chrono::hours(1)};
    StoreLoss loss;
    if (row.unanswered) {
        loss.onUnansweredAppend(start + *row.unanswered);
    }
    const std::optional<Instant> since = loss.since(row.readsAnswered, start + row.lastAnswer);
    EXPECT_EQ(since.has_value(), row.isLost);
    EXPECT_EQ(since.value_or(start + row.lastAnswer), start + row.lastAnswer);
}

const LossCase LossCases[] = {
        {"Responds", true, Millis(500), std::nullopt, false},
        {"ReadsFail", false, Millis(500), std::nullopt, true},
        {"AppendUnanswered", true, Millis(500), Millis(600), true},
        {"ReadAnsweredSince", true, Millis(700), Millis(600), false},
        {"BothFail", false, Millis(500), Millis(600), true},
};

INSTANTIATE_TEST_SUITE_P(Rows, StoreLossTest, testing::ValuesIn(LossCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
