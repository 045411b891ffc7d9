/// Which route a request takes, by its host and path as callers write them.

#include <gtest/gtest.h>

#include "sequoiagate/Config/ServingConfig.h"

using namespace sequoiagate;

namespace {

struct PlaceCase
{
    const char *name;
    const char *host;
    const char *path;
    const char *route; ///< none: nullptr
};

class RouteOfAPlace : public testing::TestWithParam<PlaceCase>
{};

const PlaceCase PlaceCases[] = {
        {"AsConfigured", "h.example", "/a/x", "a"},
        {"InCapitals", "H.Example", "/a/x", "a"},
        {"WithPort", "h.example:8740", "/a/x", "a"},
        {"WithEmptyPort", "h.example:", "/a/x", "a"},
        {"EndsInADot", "h.example.", "/a/x", "a"},
        {"EndsInADotBeforeThePort", "h.example.:8740", "/a/x", "a"},
        {"AddressInBrackets", "[fd00::1]", "/a/x", "address"},
        {"AddressInBracketsWithPort", "[fd00::1]:8740", "/a/x", "address"},
        {"LongestPrefix", "h.example", "/a/b/x", "ab"},
        {"PrefixItself", "h.example", "/a/b/", "ab"},
        {"SlashOfTheQueryDoesntCount", "h.example", "/a/x?y=/b/", "a"},
        {"PrefixWithoutItsSlash", "h.example", "/a", nullptr},
        {"OtherPath", "h.example", "/ab/x", nullptr},
        {"OtherHost", "other.example", "/a/x", nullptr},
        {"HostsEnd", "example", "/a/x", nullptr},
        {"NoHost", "", "/a/x", nullptr},
        {"NoPath", "h.example", "", nullptr},
};

// A caller gets 404 for a configured route whose place it writes in another valid way.
TEST_P(RouteOfAPlace, IsFoundHoweverItIsWritten)
{
    ServingConfig config;
    const auto add = [&config](const char *name, const char *host, const char *prefix) {
        Route route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        config.routes.push_back(route);
    };
    add("a", "h.example", "/a/");
    add("ab", "h.example", "/a/b/");
    add("address", "[fd00::1]", "/");
    config.buildIndexes();
    const Route *route = config.findRoute(GetParam().host, GetParam().path);
    ASSERT_EQ(route != nullptr, GetParam().route != nullptr);
    if (route != nullptr) {
        EXPECT_EQ(route->name, GetParam().route);
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, RouteOfAPlace, testing::ValuesIn(PlaceCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
