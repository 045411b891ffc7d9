/// Endpoints whose rows are written late, so that an older row is read after a newer one.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/PlatformRows.h"
#include "sequoiagate/Edge/EndpointDirectory.h"

using namespace sequoiagate;

namespace {

struct Row
{
    const char *state;
    int start;
    int number; ///< of the rows that the process wrote
};

struct RowOrderCase
{
    const char *name;
    std::vector<Row> rows;
    std::size_t usable; ///< endpoints after the last row
};

class EndpointRowOrder : public testing::TestWithParam<RowOrderCase>
{};

const RowOrderCase RowOrderCases[] = {
        {"InOrder", {{"ready", 5, 1}, {"draining", 5, 2}}, 0},
        {"OlderRowAfterANewerOne", {{"ready", 5, 7}, {"draining", 5, 9}, {"ready", 5, 8}}, 0},
        {"SameRowTwice", {{"ready", 5, 7}, {"draining", 5, 9}, {"draining", 5, 9}}, 0},
        {"ReadyAgain", {{"draining", 5, 9}, {"ready", 5, 10}}, 1},
        {"StartedAgain", {{"draining", 5, 9}, {"ready", 6, 1}}, 1},
        {"WithoutANumber", {{"draining", 5, 9}, {"ready", 5, -1}}, 1},
};

// Guards against sending to an endpoint that drains because an older row of it was written late.
TEST_P(EndpointRowOrder, NewestRowHolds)
{
    std::FILE *file = std::tmpfile();
    EventLog log({"test", HostId("h"), DomainId("d"), Incarnation("i")}, file);
    EndpointDirectory directory(HostId("h"), DomainId("d"), {}, log);
    const Instant now{std::chrono::hours(1)};
    for (const Row &row : GetParam().rows) {
        std::string text = fmt::format("{{\"backend\":\"s\",\"address\":\"127.0.0.1:9\","
                                       "\"zone\":\"d\",\"slots\":4,\"state\":\"{}\",\"born\":{}",
                                       row.state, row.start);
        text += row.number < 0 ? "}" : fmt::format(",\"seq\":{}}}", row.number);
        directory.update(platform::decodeEndpoint("e", text), now);
    }
    EXPECT_EQ(directory.usable(), GetParam().usable);
    std::fclose(file);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndpointRowOrder, testing::ValuesIn(RowOrderCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
