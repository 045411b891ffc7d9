/// Endpoints that fail in numbers: the fleet's repeats stay within the bound for all.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/DistributedRetryBudget.h"

using namespace sequoiagate;

namespace {

struct FleetCase
{
    const char *name;
    uint32_t processes;
    int requestsPerSecond; ///< at each process; every one fails and would be repeated
};

class RetryFleet : public testing::TestWithParam<FleetCase>
{};

const FleetCase FleetCases[] = {{"Today", 9, 9}, {"Grown", 75, 5}, {"One", 1, 50}, {"Idle", 9, 0}};

TEST_P(RetryFleet, KeepsTheBoundInEveryWindow)
{
    DistributedRetryBudgetSettings settings;
    settings.ratio = 0.2;
    settings.baseRetries = 50;
    const ServiceId service("s");
    std::vector<DistributedRetryBudget> fleet(GetParam().processes,
                                              DistributedRetryBudget(settings));
    for (DistributedRetryBudget &process : fleet) {
        process.setProcessCount(GetParam().processes);
    }
    std::vector<int> requests;
    std::vector<int> repeats;
    Instant now{std::chrono::hours(1)};
    for (int second = 0; second < 40; ++second) {
        requests.push_back(0);
        repeats.push_back(0);
        for (DistributedRetryBudget &process : fleet) {
            for (int i = 0; i < GetParam().requestsPerSecond; ++i) {
                process.onRequest(service, now);
                ++requests.back();
                repeats.back() += process.mayRetry(service, now) ? 1 : 0;
            }
        }
        now += std::chrono::seconds(1);
    }
    for (std::size_t from = 0; from + 10 <= requests.size(); ++from) {
        int asked = 0;
        int repeated = 0;
        for (std::size_t i = from; i < from + 10; ++i) {
            asked += requests[i];
            repeated += repeats[i];
        }
        EXPECT_LE(repeated, settings.ratio * asked + settings.baseRetries);
        if (GetParam().requestsPerSecond > 0) {
            EXPECT_GT(repeated, 0);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, RetryFleet, testing::ValuesIn(FleetCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
