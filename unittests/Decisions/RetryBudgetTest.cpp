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

// A caller of a booking sees two bookings when a try that may have run is made
// again. Only a try that reached no endpoint is repeated then; work that may be
// repeated is, unless it is known to have run.
constexpr RetryCase RetryCases[] = {
        {"NotRunIdempotent", Execution::NotRun, true, true},
        {"NotRunOnce", Execution::NotRun, false, true},
        {"MayHaveRunIdempotent", Execution::MayHaveRun, true, true},
        {"MayHaveRunOnce", Execution::MayHaveRun, false, false},
        {"RanIdempotent", Execution::Ran, true, false},
        {"RanOnce", Execution::Ran, false, false},
};

TEST_P(MayRetry, ByVerdictAndIdempotence)
{
    RetryBudget budget;
    budget.onFirstAttempt(Start);
    const Verdict verdict{GetParam().execution, Reason::EndpointFailed, "", {}};
    EXPECT_EQ(budget.mayRetry(verdict, GetParam().idempotent, Start), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(Verdicts, MayRetry, testing::ValuesIn(RetryCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(RetryBudget, KeepsAnOutageFromMultiplyingTheLoad)
{
    // Every try fails for a while. Were each made again, the endpoints that are
    // left would see twice the load just when they can least bear it.
    RetryBudget budget(0.1);
    const Verdict failed{Execution::NotRun, Reason::EndpointFailed, "", {}};
    constexpr int FirstTries = 2000;
    int retries = 0;
    for (int i = 0; i < FirstTries; ++i) {
        budget.onFirstAttempt(Start);
        retries += budget.mayRetry(failed, true, Start) ? 1 : 0;
    }
    EXPECT_LE(retries, FirstTries / 10 + 10);
    EXPECT_GE(retries, FirstTries / 10);
}

} // namespace
