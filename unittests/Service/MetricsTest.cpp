#include "sequoiagate/Service/Metrics.h"

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

using std::chrono::milliseconds;

struct RenderedMetric
{
    const char *name;
    void (*record)(Metrics &);
    const char *expected;
};

class MetricsRender : public testing::TestWithParam<RenderedMetric>
{};

const RenderedMetric Rendered[] = {
        {"Counter",
         [](Metrics &metrics) {
             metrics.describe("bills_total", "Bills appended.");
             metrics.count("bills_total");
             metrics.count("bills_total", {}, 4);
         },
         "# HELP bills_total Bills appended.\n# TYPE bills_total counter\nbills_total 5\n"},
        {"LabelledCounter",
         [](Metrics &metrics) {
             metrics.count("refusals_total", {{"reason", "queue_full"}, {"class", "batch"}});
         },
         "refusals_total{reason=\"queue_full\",class=\"batch\"} 1\n"},
        {"EscapedLabel",
         [](Metrics &metrics) {
             metrics.gauge("g", 1.5, {{"l", "a\"b\\c\nd"}});
         },
         "# TYPE g gauge\ng{l=\"a\\\"b\\\\c\\nd\"} 1.5\n"},
        {"HistogramCount",
         [](Metrics &metrics) {
             metrics.observe("wait_seconds", milliseconds(10));
             metrics.observe("wait_seconds", std::chrono::hours(1));
         },
         "wait_seconds_bucket{le=\"+Inf\"} 2\nwait_seconds_sum 3600.01\nwait_seconds_count 2\n"},
        {"BoundBelongsBelow",
         [](Metrics &metrics) { metrics.observe("wait_seconds", milliseconds(40)); },
         "wait_seconds_bucket{le=\"0.03\"} 0\nwait_seconds_bucket{le=\"0.04\"} 1\n"},
        {"SmallestIsInFirst",
         [](Metrics &metrics) {
             metrics.observe("wait_seconds", milliseconds(0), {{"kind", "a"}});
         },
         "wait_seconds_bucket{kind=\"a\",le=\"0.0005\"} 1\n"},
};

TEST_P(MetricsRender, InTheTextFormat)
{
    Metrics metrics;
    GetParam().record(metrics);
    const std::string page = metrics.render();
    EXPECT_NE(page.find(GetParam().expected), std::string::npos) << page;
}

INSTANTIATE_TEST_SUITE_P(Kinds, MetricsRender, testing::ValuesIn(Rendered),
                         [](const auto &row) { return std::string(row.param.name); });

// A label that takes a request id would grow the page with every request, until
// the process or the collector runs out of memory.
TEST(Metrics, SeriesWithoutBoundAreDroppedAndCounted)
{
    Metrics metrics;
    constexpr int Requests = 2000;
    for (int i = 0; i < Requests; ++i) {
        metrics.count("requests_total", {{"request", std::to_string(i)}});
    }
    const std::string page = metrics.render();
    EXPECT_NE(page.find("metrics_dropped_samples_total 1488"), std::string::npos);
    EXPECT_EQ(page.find("request=\"1999\""), std::string::npos);
}

} // namespace
