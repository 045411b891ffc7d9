/// When many endpoints fail, the retries of all processes together stay within the bound.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/DistributedRetryBudget.h"

using namespace sequoiagate;

namespace {

struct FleetCase
{
    const char *name;
    uint32_t processes;
    int requestsPerSecond; ///< at each process; each one fails and would be retried
};

class FleetRetries : public testing::TestWithParam<FleetCase>
{};

const FleetCase FleetCases[] = {{"NineProcesses", 9, 9},
                                {"SeventyFiveProcesses", 75, 5},
                                {"OneProcess", 1, 50},
                                {"NoRequests", 9, 0}};

TEST_P(FleetRetries, StayWithinTheBoundInEveryWindow)
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
    std::vector<int> retries;
    Instant now{std::chrono::hours(1)};
    for (int second = 0; second < 40; ++second) {
        requests.push_back(0);
        retries.push_back(0);
        for (DistributedRetryBudget &process : fleet) {
            for (int i = 0; i < GetParam().requestsPerSecond; ++i) {
                process.onRequest(service, now);
                ++requests.back();
                retries.back() += process.mayRetry(service, now) ? 1 : 0;
            }
        }
        now += std::chrono::seconds(1);
    }
    for (std::size_t from = 0; from + 10 <= requests.size(); ++from) {
        int requestCount = 0;
        int retryCount = 0;
        for (std::size_t i = from; i < from + 10; ++i) {
            requestCount += requests[i];
            retryCount += retries[i];
        }
        EXPECT_LE(retryCount, settings.ratio * requestCount + settings.baseRetries);
        if (GetParam().requestsPerSecond > 0) {
            EXPECT_GT(retryCount, 0);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, FleetRetries, testing::ValuesIn(FleetCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
