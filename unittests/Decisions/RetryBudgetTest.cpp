#include "sequoiagate/Decisions/RetryBudget.h"

#include <string>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

const Instant Start{};

struct RetryCase
{
    const char *name;
    Execution execution;
    bool idempotent;
    bool allowed;
};

class MayRetry : public testing::TestWithParam<RetryCase>
{};

// If an attempt to make a booking is retried although it may have run, the booking may be
// made twice. A call that isn't idempotent is retried only if it reached no endpoint; an
// idempotent one is, unless it is known to have run.
constexpr RetryCase RetryCases[] = {
        {"NotRunIdempotent", Execution::NotRun, true, true},
        {"NotRunNonIdempotent", Execution::NotRun, false, true},
        {"MayHaveRunIdempotent", Execution::MayHaveRun, true, true},
        {"MayHaveRunNonIdempotent", Execution::MayHaveRun, false, false},
        {"RanIdempotent", Execution::Ran, true, false},
        {"RanNonIdempotent", Execution::Ran, false, false},
};

TEST_P(MayRetry, DependsOnVerdictAndIdempotence)
{
    RetryBudget budget;
    budget.onFirstAttempt(Start);
    const Verdict verdict{GetParam().execution, Reason::EndpointFailed, "", {}};
    EXPECT_EQ(budget.mayRetry(verdict, GetParam().idempotent, Start), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(Verdicts, MayRetry, testing::ValuesIn(RetryCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(RetryBudget, BoundsRetriesDuringAnOutage)
{
    // Every attempt fails for a while. If each were retried, the remaining endpoints would
    // get twice the load just when they can least handle it.
    RetryBudget budget(0.1);
    const Verdict failed{Execution::NotRun, Reason::EndpointFailed, "", {}};
    constexpr int FirstAttempts = 2000;
    int retries = 0;
    for (int i = 0; i < FirstAttempts; ++i) {
        budget.onFirstAttempt(Start);
        retries += budget.mayRetry(failed, true, Start) ? 1 : 0;
    }
    EXPECT_LE(retries, FirstAttempts / 10 + 10);
    EXPECT_GE(retries, FirstAttempts / 10);
}

} // namespace
