/// Endpoints that name a limit of requests per second, and a fleet of edges that serves callers.

#include <algorithm>
#include <atomic>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

/// From when on the limit must hold after an endpoint first named it, and the span of time over
/// which its requests are counted.
constexpr std::chrono::seconds Settling(3);
constexpr std::chrono::seconds Window(4);
constexpr double Tolerance = 1.5;
constexpr double ExtraRequests = 5.0;

struct EndpointLimitCase
{
    const char *name;
    int hosts;
    int hostsWithCallers;
    double limit;
};

class EndpointLimit : public EdgeProcess, public testing::WithParamInterface<EndpointLimitCase>
{
protected:
    static constexpr int Prompts = 24;
    static constexpr std::chrono::milliseconds Pause{20};

    /// Sends requests of various prompts to \p host until \p until. Half of the prompts have
    /// their home at each endpoint.
    void call(int host, Instant until)
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_keep_alive(true);
        for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
            const httplib::Headers headers = {
                    {"Host", "h.example"},
                    {"Request-Id", fmt::format("h{}-{}", host, i)},
                    {"Authorization", "Token key"},
                    {"Deadline-Ms", "20000"},
                    {"Token-Count", "1,0"},
                    {"Prompt-Prefix", fmt::format("{:x}:6000,{:x}:100", 1 + i % Prompts, 1 << 20)}};
            served_ += status(client.Post("/once/a", headers, "body", "text/plain")) == 200 ? 1 : 0;
            ++sent_;
            std::this_thread::sleep_for(Pause);
        }
    }

    std::atomic<int> sent_{0};
    std::atomic<int> served_{0};
};

// Guards against a fleet of which each host sends an endpoint as many requests as it likes, or as
// many as the endpoint accepts from all of them together.
TEST_P(EndpointLimit, HoldsForTheFleetAndCallersAreServed)
{
    const EndpointLimitCase &row = GetParam();
    EndpointStandin unlimited(ip(202), "e-2");
    list(unlimited, "ready");
    std::vector<std::unique_ptr<Process>> edges;
    for (int host = 1; host <= row.hosts; ++host) {
        edges.push_back(start(host, fmt::format("edge{}", host)));
    }
    for (int host = 1; host <= row.hosts; ++host) {
        ASSERT_TRUE(eventually([host] { return status(post(host, "first", 1)) == 200; }));
    }
    endpoint_.setLimit(row.limit);
    const Instant named = std::chrono::steady_clock::now();
    std::vector<std::thread> callers;
    for (int host = 1; host <= row.hostsWithCallers; ++host) {
        callers.emplace_back([this, host, named] { call(host, named + Settling + 2 * Window); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const double allowed =
            row.limit * Tolerance * static_cast<double>(Window.count()) + ExtraRequests;
    const std::size_t most = mostInWindow(endpoint_.arrivals(), named + Settling, Window);
    EXPECT_LE(static_cast<double>(most), allowed);
    EXPECT_GT(most, 0U) << "the endpoint takes part";
    EXPECT_EQ(served_, sent_) << "the other endpoint could serve all";
}

INSTANTIATE_TEST_SUITE_P(Fleets, EndpointLimit,
                         testing::Values(EndpointLimitCase{"EvenDemand", 6, 6, 2.1},
                                         EndpointLimitCase{"OneHostHasAllCallers", 6, 1, 2.1},
                                         EndpointLimitCase{"LargerLimit", 4, 4, 8.0}),
                         [](const auto &row) { return row.param.name; });

} // namespace
