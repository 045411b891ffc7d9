#include "sequoiagate/Base/Statechart.h"

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

struct BadChart
{
    const char *name;
    const char *json;
    const char *complaint;
};

class StatechartRefuses : public testing::TestWithParam<BadChart>
{};

constexpr BadChart BadCharts[] = {
        {"NotJson", "{", "can't be read"},
        {"Unreachable",
         R"({"name":"c","initial":"a","final":["a","b"],"events":["e"],
             "states":{"a":{"e":"a"},"b":{"e":"b"}}})",
         "'b' can't be reached"},
        {"Unhandled",
         R"({"name":"c","initial":"a","final":["a"],"events":["e"],"states":{"a":{}}})",
         "doesn't handle event 'e'"},
        {"NoEnd",
         R"({"name":"c","initial":"a","final":["b"],"events":["e","f"],
             "states":{"a":{"e":"b","f":"c"},"b":{"e":"b","f":"b"},"c":{"e":"c","f":"c"}}})",
         "'c' leads to no final state"},
        {"UnknownTarget",
         R"({"name":"c","initial":"a","final":["a"],"events":["e"],"states":{"a":{"e":"x"}}})",
         "unknown state 'x'"},
};

TEST_P(StatechartRefuses, NamesTheFault)
{
    try {
        Statechart::parse(GetParam().json);
        FAIL() << "the chart was taken";
    } catch (const StatechartError &error) {
        EXPECT_NE(std::string(error.what()).find(GetParam().complaint), std::string::npos)
                << error.what();
    }
}

INSTANTIATE_TEST_SUITE_P(Charts, StatechartRefuses, testing::ValuesIn(BadCharts),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Statechart, WalksToItsEnd)
{
    const Statechart chart = Statechart::parse(
            R"({"name":"c","initial":"a","final":["b"],"events":["e"],
                "states":{"a":{"e":"b"},"b":{"e":"b"}}})");
    StatechartInstance position(chart);
    EXPECT_FALSE(position.isFinished());
    position.handle("e");
    EXPECT_TRUE(position.isFinished());
    EXPECT_THROW(position.handle("unknown"), StatechartError);
}

} // namespace
