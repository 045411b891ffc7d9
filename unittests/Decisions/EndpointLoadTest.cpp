#include "sequoiagate/Decisions/EndpointLoad.h"

#include <string>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);

struct LagCase
{
    const char *name;
    uint32_t reported;
    int sentBefore; ///< by this router, before the report was observed
    int sentAfter;
    int endedAfter;
    Interval queriedAfter; ///< since the report was observed
    double requests;
    double ownAtReport;
};

class LaggingReport : public testing::TestWithParam<LagCase>
{};

// An endpoint's report is a second old when it is read. Taken unchanged it omits the requests
// sent since, and the router keeps sending to an endpoint that is full.
constexpr LagCase LagCases[] = {
        {"NoChangeSince", 5, 2, 0, 0, Seconds(1), 5, 2},
        {"SentSince", 5, 2, 10, 0, Seconds(1), 15, 2},
        {"EndedSince", 5, 2, 0, 2, Seconds(1), 3, 2},
        {"OwnRequestsAreLowerBound", 0, 3, 0, 0, Seconds(1), 3, 3},
        {"ExpiredReport", 50, 2, 1, 0, Seconds(6), 3, 3},
};

TEST_P(LaggingReport, IsCorrectedByRequestsSinceThen)
{
    const LagCase &row = GetParam();
    EndpointLoad load;
    for (int i = 0; i < row.sentBefore; ++i) {
        load.onSent(Start - Millis(100));
    }
    for (int i = 0; i < row.sentAfter; ++i) {
        load.onSent(Start + Millis(100));
    }
    for (int i = 0; i < row.endedAfter; ++i) {
        load.onEnd(Start + Millis(200));
    }
    LoadReport report;
    report.running = row.reported;
    report.observedAt = Start;
    load.onReport(report);
    EXPECT_DOUBLE_EQ(load.requests(Start + row.queriedAfter), row.requests);
    EXPECT_DOUBLE_EQ(load.ownRequestsAtReport(Start + row.queriedAfter), row.ownAtReport);
    report.running = 99;
    report.observedAt = Start - Seconds(1);
    load.onReport(report);
    EXPECT_DOUBLE_EQ(load.requests(Start + row.queriedAfter), row.requests)
            << "an older report replaced a newer one";
}

INSTANTIATE_TEST_SUITE_P(Lags, LaggingReport, testing::ValuesIn(LagCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
