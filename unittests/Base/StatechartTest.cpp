#include "sequoiagate/Base/Statechart.h"

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

struct InvalidChart
{
    const char *name;
    const char *json;
    const char *message;
};

class InvalidStatechart : public testing::TestWithParam<InvalidChart>
{};

constexpr InvalidChart InvalidCharts[] = {
        {"NotJson", "{", "can't be read"},
        {"Unreachable",
         R"({"name":"c","initial":"a","final":["a","b"],"events":["e"],
             "states":{"a":{"e":"a"},"b":{"e":"b"}}})",
         "'b' can't be reached"},
        {"Unhandled",
         R"({"name":"c","initial":"a","final":["a"],"events":["e"],"states":{"a":{}}})",
         "doesn't handle event 'e'"},
        {"NoFinalState",
         R"({"name":"c","initial":"a","final":["b"],"events":["e","f"],
             "states":{"a":{"e":"b","f":"c"},"b":{"e":"b","f":"b"},"c":{"e":"c","f":"c"}}})",
         "'c' leads to no final state"},
        {"UnknownTarget",
         R"({"name":"c","initial":"a","final":["a"],"events":["e"],"states":{"a":{"e":"x"}}})",
         "unknown state 'x'"},
};

TEST_P(InvalidStatechart, MessageNamesTheError)
{
    try {
        Statechart::parse(GetParam().json);
        FAIL() << "the chart was accepted";
    } catch (const StatechartError &error) {
        EXPECT_NE(std::string(error.what()).find(GetParam().message), std::string::npos)
                << error.what();
    }
}

INSTANTIATE_TEST_SUITE_P(Charts, InvalidStatechart, testing::ValuesIn(InvalidCharts),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Statechart, ReachesItsFinalState)
{
    const Statechart chart = Statechart::parse(
            R"({"name":"c","initial":"a","final":["b"],"events":["e"],
                "states":{"a":{"e":"b"},"b":{"e":"b"}}})");
    StatechartInstance instance(chart);
    EXPECT_FALSE(instance.isFinished());
    instance.handle("e");
    EXPECT_TRUE(instance.isFinished());
    EXPECT_THROW(instance.handle("unknown"), StatechartError);
}

} // namespace
