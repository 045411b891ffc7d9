#include "sequoiagate/Operate/Timeline.h"

#include <fstream>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

std::string logFile(const std::string &name, const std::vector<nlohmann::json> &lines)
{
    const std::string path = testing::TempDir() + "/Timeline-" + name;
    std::ofstream file(path);
    for (const nlohmann::json &line : lines) {
        file << line.dump() << "\n";
    }
    return path;
}

nlohmann::json event(const char *hlc, const char *host, const char *name, nlohmann::json fields)
{
    fields["hlc"] = hlc;
    fields["host"] = host;
    fields["program"] = host[0] == 'r' ? "sequoia-router" : "sequoia-keeper";
    fields["incarnation"] = std::string("incarnation-") + host;
    fields["event"] = name;
    return fields;
}

/// Two processes; the keeper's clock is two seconds behind, and its stamps have been
/// moved past the router's by the calls.
std::vector<HistoryEvent> run()
{
    const std::string router =
            logFile("router", {event("00000000010000000.000000", "r1", "request.received",
                                     {{"request", "q1"}, {"workspace", "w"}}),
                               event("00000000010000000.000001", "r1", "request.sent",
                                     {{"request", "q1"}, {"workspace", "w"}, {"attempt", "a1"}}),
                               event("00000000010000900.000000", "r1", "request.answered",
                                     {{"request", "q1"}, {"workspace", "w"}, {"tokens", 7}}),
                               event("00000000010000950.000000", "r1", "request.received",
                                     {{"request", "q2"}, {"workspace", "v"}})});
    const std::string keeper =
            logFile("keeper",
                    {event("00000000010000000.000002", "k1", "endpoint.ran", {{"attempt", "a1"}}),
                     event("00000000010000901.000000", "k1", "bill.durable",
                           {{"request", "q1"}, {"workspace", "w"}}),
                     event("00000000010000990.000000", "k1", "endpoint.ran", {{"attempt", "a2"}})});
    return readEvents({router, keeper});
}

struct FilterRow
{
    const char *name;
    TimelineFilter filter;
    std::vector<std::string> events;
};

class TimelineFilters : public testing::TestWithParam<FilterRow>
{};

TEST_P(TimelineFilters, KeepWhatBelongs)
{
    std::vector<std::string> names;
    for (const HistoryEvent &shown : filterEvents(run(), GetParam().filter)) {
        names.push_back(shown.name);
    }
    EXPECT_EQ(names, GetParam().events);
}

const FilterRow Filters[] = {
        {"AllInCausalOrder",
         {},
         {"request.received", "request.sent", "endpoint.ran", "request.answered", "bill.durable",
          "request.received", "endpoint.ran"}},
        {"RequestWithItsAttempts",
         {"q1", "", ""},
         {"request.received", "request.sent", "endpoint.ran", "request.answered", "bill.durable"}},
        {"Workspace", {"", "v", ""}, {"request.received"}},
        {"Host", {"", "", "k1"}, {"endpoint.ran", "bill.durable", "endpoint.ran"}},
        {"RequestOfItsWorkspace",
         {"q1", "w", ""},
         {"request.received", "request.sent", "endpoint.ran", "request.answered", "bill.durable"}},
        {"RequestOnHost", {"q1", "", "k1"}, {"endpoint.ran", "bill.durable"}},
        {"RequestOfOtherWorkspace", {"q1", "v", ""}, {}},
        {"Nothing", {"q9", "", ""}, {}},
};

INSTANTIATE_TEST_SUITE_P(Rows, TimelineFilters, testing::ValuesIn(Filters),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Timeline, TextHasTimeHostProgramEventAndFields)
{
    const std::string text = timelineText(filterEvents(run(), {"q1", "", "r1"}));
    EXPECT_NE(text.find("00:00:10.000900 r1           sequoia-router   request.answered "
                        "request=q1 tokens=7 workspace=w\n"),
              std::string::npos)
            << text;
}

TEST(Timeline, TraceHasASpanARequestAndKeepsTheOrder)
{
    const nlohmann::json trace = timelineTrace(run()).at("traceEvents");
    std::vector<double> instants;
    int begins = 0;
    int ends = 0;
    int processes = 0;
    for (const nlohmann::json &row : trace) {
        const std::string phase = row.at("ph");
        if (phase == "i") {
            instants.push_back(row.at("ts"));
        }
        begins += phase == "b" ? 1 : 0;
        ends += phase == "e" ? 1 : 0;
        processes += phase == "M" ? 1 : 0;
    }
    EXPECT_EQ(begins, 2);
    EXPECT_EQ(ends, 1);
    EXPECT_EQ(processes, 2);
    EXPECT_EQ(instants.front(), 0.0);
    EXPECT_TRUE(std::is_sorted(instants.begin(), instants.end()));
    EXPECT_LT(instants[1], instants[2]) << "one microsecond, two counters";
}

TEST(Timeline, AnEmptyRunIsAnEmptyTrace)
{
    EXPECT_EQ(timelineText({}), "");
    EXPECT_TRUE(timelineTrace({}).at("traceEvents").empty());
}

} // namespace
