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
    int sentBefore; ///< own, before the report was observed
    int sentAfter;
    int endedAfter;
    Interval askedAfter; ///< since the report was observed
    double requests;
    double ownThen;
};

class LateReport : public testing::TestWithParam<LagCase>
{};

// An endpoint's report is a second old when it is read. Taken as it is, what was sent
// since seems not to be there, and the router keeps sending to an endpoint that is full.
constexpr LagCase LagCases[] = {
        {"NothingSince", 5, 2, 0, 0, Seconds(1), 5, 2},
        {"SentSince", 5, 2, 10, 0, Seconds(1), 15, 2},
        {"EndedSince", 5, 2, 0, 2, Seconds(1), 3, 2},
        {"OwnIsTheLeast", 0, 3, 0, 0, Seconds(1), 3, 3},
        {"TooOldToCount", 50, 2, 1, 0, Seconds(6), 3, 3},
};

TEST_P(LateReport, IsCorrectedByWhatWasSentSince)
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
    EXPECT_DOUBLE_EQ(load.requests(Start + row.askedAfter), row.requests);
    EXPECT_DOUBLE_EQ(load.ownWhenReported(Start + row.askedAfter), row.ownThen);
    report.running = 99;
    report.observedAt = Start - Seconds(1);
    load.onReport(report);
    EXPECT_DOUBLE_EQ(load.requests(Start + row.askedAfter), row.requests) << "an older report won";
}

INSTANTIATE_TEST_SUITE_P(Lags, LateReport, testing::ValuesIn(LagCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
