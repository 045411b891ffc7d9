/// Which regions a request's body may be sent to.

#include <gtest/gtest.h>

#include "sequoiagate/Base/RegionRestriction.h"

using namespace sequoiagate;

namespace {

using Names = std::optional<std::vector<const char *>>; ///< nullopt: any region

RegionRestriction restriction(const Names &names)
{
    if (!names) {
        return {};
    }
    std::vector<RegionId> regions;
    for (const char *name : *names) {
        regions.emplace_back(name);
    }
    return RegionRestriction(std::move(regions));
}

struct RegionCase
{
    const char *name;
    Names first;
    Names second;
    std::vector<const char *> allowed;
    std::vector<const char *> forbidden;
    const char *description;
};

class RegionRestrictionTest : public testing::TestWithParam<RegionCase>
{};

const RegionCase RegionCases[] = {
        {"None", std::nullopt, std::nullopt, {"a", ""}, {}, "any region"},
        {"One", Names({"a"}), std::nullopt, {"a"}, {"b", ""}, "a"},
        {"Both", Names({"a", "b"}), Names({"b", "c"}), {"b"}, {"a", "c", ""}, "b"},
        {"NoneInCommon", Names({"a"}), Names({"c"}), {}, {"a", "c", ""}, "no region"},
        {"Empty", Names(std::vector<const char *>()), std::nullopt, {}, {"a", ""}, "no region"},
};

TEST_P(RegionRestrictionTest, AllowsWhatBothAllow)
{
    const RegionCase &row = GetParam();
    const RegionRestriction first = restriction(row.first);
    const RegionRestriction second = restriction(row.second);
    for (const RegionRestriction &both : {first.combinedWith(second), second.combinedWith(first)}) {
        for (const char *region : row.allowed) {
            EXPECT_TRUE(both.allows(RegionId(region))) << region;
        }
        for (const char *region : row.forbidden) {
            EXPECT_FALSE(both.allows(RegionId(region))) << region;
        }
        EXPECT_EQ(both.describe(), row.description);
        EXPECT_EQ(both.isRestricted(), row.first || row.second);
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, RegionRestrictionTest, testing::ValuesIn(RegionCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
