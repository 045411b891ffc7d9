#include "sequoiagate/Ledger/TokenHomes.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

const DomainId Domain("d");

std::vector<HostLocation> hosts(std::size_t count)
{
    std::vector<HostLocation> locations;
    for (std::size_t i = 0; i < count; ++i) {
        locations.push_back({HostId(fmt::format("host-{}", i)), Domain});
    }
    return locations;
}

struct HomeCountCase
{
    std::size_t hosts;
    std::size_t homes;
};

class TokenHomesInDomain : public testing::TestWithParam<HomeCountCase>
{};

// Guards against too many homes in a large fleet: the store appends batches one after another, so
// every further home delays each claim.
TEST_P(TokenHomesInDomain, HomeCountMatchesHostCount)
{
    TokenHomes homes;
    homes.setHosts(hosts(GetParam().hosts));
    std::set<HostId> chosen;
    for (int i = 0; i < 500; ++i) {
        const std::vector<HostLocation> chosenHomes =
                homes.homesOf(WorkspaceId(fmt::format("workspace-{}", i)));
        ASSERT_EQ(chosenHomes.size(), 1U);
        chosen.insert(chosenHomes.front().host);
    }
    EXPECT_EQ(chosen.size(), GetParam().homes);
}

const HomeCountCase HomeCountCases[] = {{1, 1}, {4, 4}, {5, 4}, {32, 4}, {33, 5}, {167, 21}};

INSTANTIATE_TEST_SUITE_P(Rows, TokenHomesInDomain, testing::ValuesIn(HomeCountCases),
                         [](const auto &row) { return fmt::format("{}Hosts", row.param.hosts); });

// Guards against processes that list the hosts in different orders choosing different homes.
TEST(TokenHomes, AreIndependentOfHostOrder)
{
    std::vector<HostLocation> locations = hosts(40);
    TokenHomes homes;
    homes.setHosts(locations);
    std::reverse(locations.begin(), locations.end());
    TokenHomes reversed;
    reversed.setHosts(locations);
    const WorkspaceId workspace("w");
    EXPECT_EQ(homes.homesOf(workspace).front().host, reversed.homesOf(workspace).front().host);
}

} // namespace
