/// Route lookup by the host and path of a request, as callers write them.

#include <gtest/gtest.h>

#include "sequoiagate/Config/ServingConfig.h"

using namespace sequoiagate;

namespace {

struct RouteCase
{
    const char *name;
    const char *host;
    const char *path;
    const char *route; ///< nullptr: none
};

class RouteLookup : public testing::TestWithParam<RouteCase>
{};

const RouteCase RouteCases[] = {
        {"AsConfigured", "h.example", "/a/x", "a"},
        {"UpperCase", "H.Example", "/a/x", "a"},
        {"WithPort", "h.example:8740", "/a/x", "a"},
        {"WithEmptyPort", "h.example:", "/a/x", "a"},
        {"TrailingDot", "h.example.", "/a/x", "a"},
        {"TrailingDotBeforePort", "h.example.:8740", "/a/x", "a"},
        {"AddressInBrackets", "[fd00::1]", "/a/x", "address"},
        {"AddressInBracketsWithPort", "[fd00::1]:8740", "/a/x", "address"},
        {"LongestPrefix", "h.example", "/a/b/x", "ab"},
        {"PrefixItself", "h.example", "/a/b/", "ab"},
        {"SlashInQueryIsIgnored", "h.example", "/a/x?y=/b/", "a"},
        {"PrefixWithoutSlash", "h.example", "/a", nullptr},
        {"OtherPath", "h.example", "/ab/x", nullptr},
        {"OtherHost", "other.example", "/a/x", nullptr},
        {"HostSuffix", "example", "/a/x", nullptr},
        {"NoHost", "", "/a/x", nullptr},
        {"NoPath", "h.example", "", nullptr},
};

// Guards against a 404 for a configured route whose host or path the caller writes in another
// valid form.
TEST_P(RouteLookup, MatchesHostAndPath)
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

INSTANTIATE_TEST_SUITE_P(Rows, RouteLookup, testing::ValuesIn(RouteCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
