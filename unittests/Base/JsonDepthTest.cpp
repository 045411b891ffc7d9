#include "sequoiagate/Base/JsonDepth.h"

#include <string>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

struct DepthCase
{
    const char *name;
    std::string text;
    bool isTooDeep;
};

class JsonDepth : public testing::TestWithParam<DepthCase>
{};

TEST_P(JsonDepth, IsBounded)
{
    EXPECT_EQ(isNestedTooDeeply(GetParam().text), GetParam().isTooDeep);
}

const std::string Deepest(MaxJsonDepth, '[');
const std::string Deeper(MaxJsonDepth + 1, '[');

INSTANTIATE_TEST_SUITE_P(Rows, JsonDepth,
                         testing::Values(DepthCase{"Empty", "", false},
                                         DepthCase{"Deepest", Deepest, false},
                                         DepthCase{"Deeper", Deeper, true},
                                         DepthCase{"Objects", R"({"a":)" + Deepest, true},
                                         DepthCase{"BesideEachOther", Deepest + "]" + "[", false},
                                         DepthCase{"InAString", '"' + Deeper + '"', false},
                                         DepthCase{"BehindAString", R"("\"\\")" + Deeper, true},
                                         DepthCase{"EndsInAnEscape", R"("\)", false},
                                         DepthCase{"OnlyEnds", "]}]" + Deepest, false}),
                         [](const auto &row) { return row.param.name; });

} // namespace
