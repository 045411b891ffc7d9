/// Routes and workspaces that allow some regions only, in a fleet of two regions.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "PartitionedFleet.h"

using namespace sequoiagate;
using soak::RelayCut;

namespace {

const nlohmann::json Regions = {{"d1", "r1"}, {"d2", "r2"}, {"d0", "r0"}};

struct RegionCase
{
    const char *name;
    std::vector<std::string> route;     ///< regions that it allows; empty: any
    std::vector<std::string> workspace; ///< the same
    bool usesFirst;                     ///< the endpoint in r1
    bool usesSecond;                    ///< the endpoint in r2
};

std::string restrictedConfig(const RegionCase &row)
{
    nlohmann::json config = nlohmann::json::parse(configRow(2, 50'000'000));
    if (!row.route.empty()) {
        config["routes"][0]["allowed-regions"] = row.route;
        config["routes"][1]["allowed-regions"] = row.route;
    }
    if (!row.workspace.empty()) {
        config["tenants"][0]["allowed-regions"] = row.workspace;
    }
    return config.dump();
}

class RegionFleet : public EdgeProcess, public testing::WithParamInterface<RegionCase>
{
protected:
    RegionFleet() : second_(ip(202), "e-2") { list(second_, "ready", "d2"); }
    ~RegionFleet() override { edges_.clear(); }

    void startHost(int host)
    {
        nlohmann::json values = settings(host);
        values["domain"] = fmt::format("d{}", host);
        values["regions"] = Regions;
        edges_.push_back(std::make_unique<Process>(scratch_, "sequoia-edge",
                                                   fmt::format("edge{}", host), values));
        edges_.back()->waitFor("config.in_force",
                               [](const Process::Line &line) { return line["version"] == 2; });
        edges_.back()->waitFor("endpoint.listed",
                               [](const Process::Line &line) { return line["endpoint"] == "e-2"; });
    }

    /// Sends requests of various prompts, half of which have their home at each endpoint.
    /// \returns how many were served
    int call(int host, int requests)
    {
        httplib::Client client(ip(host), CallerPort);
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            const httplib::Headers headers = {
                    {"Host", "h.example"},
                    {"Request-Id", fmt::format("r{}", ++lastId_)},
                    {"Authorization", "Token key"},
                    {"Deadline-Ms", "2000"},
                    {"Prompt-Prefix", fmt::format("{:x}:6000,{:x}:100", 1 + i % 24, 1 << 20)}};
            const Instant sentAt = std::chrono::steady_clock::now();
            const httplib::Result result = client.Post("/once/a", headers, "body", "text/plain");
            served += status(result) == 200 ? 1 : 0;
            if (status(result) == 503) {
                EXPECT_LT(std::chrono::steady_clock::now() - sentAt, std::chrono::seconds(1));
                EXPECT_TRUE(result->has_header("Retry-After"));
            }
        }
        return served;
    }

    EndpointStandin second_;
    std::vector<std::unique_ptr<Process>> edges_;
    int lastId_ = 0;
};

// Guards against requests for endpoints in regions that their route or workspace doesn't allow.
TEST_P(RegionFleet, SendsToAllowedRegionsAlone)
{
    const RegionCase &row = GetParam();
    constexpr int Requests = 48;
    store_.put("keyed.op", "config", restrictedConfig(row));
    startHost(1);
    startHost(2);
    const int served = call(1, Requests) + call(2, Requests);
    EXPECT_EQ(served, row.usesFirst || row.usesSecond ? 2 * Requests : 0);
    EXPECT_EQ(!endpoint_.arrivals().empty(), row.usesFirst);
    EXPECT_EQ(!second_.arrivals().empty(), row.usesSecond);
}

INSTANTIATE_TEST_SUITE_P(Rows, RegionFleet,
                         testing::Values(RegionCase{"None", {}, {}, true, true},
                                         RegionCase{"OfTheRoute", {"r1"}, {}, true, false},
                                         RegionCase{"OfTheWorkspace", {}, {"r2"}, false, true},
                                         RegionCase{
                                                 "Both", {"r1", "r2"}, {"r2", "r3"}, false, true},
                                         RegionCase{"NoneInCommon", {"r1"}, {"r2"}, false, false},
                                         RegionCase{"NobodyIsThere", {"r9"}, {}, false, false}),
                         [](const auto &row) { return row.param.name; });

/// Hosts 1 and 3 lie in r1 with all endpoints, hosts 2 and 4 in r0.
class RelayedRegion : public PartitionedFleet
{
protected:
    RelayedRegion()
    {
        store_.put("keyed.op", "config", restrictedConfig({"", {"r1"}, {}, true, false}));
        extraSettings_["regions"] = Regions;
    }
};

// Guards against relaying the body of a request through a region that isn't allowed.
TEST_F(RelayedRegion, RelaysLieInAllowedRegions)
{
    startAll();
    cut({2}, RelayCut::Reset);
    static constexpr std::chrono::milliseconds Deadline(2000);
    const Instant cutAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < cutAt + Settling) {
        call(2, 4, Deadline);
    }
    const Served served = call(2, 60, Deadline);
    EXPECT_GE(3 * served.served, 2 * served.sent);
    std::map<int, int> relayed;
    for (int host = 1; host <= Hosts; ++host) {
        for (const Process::Line &line : edges_.at(host)->lines()) {
            relayed[host] += line.value("event", "") == "relay.request" ? 1 : 0;
        }
    }
    EXPECT_GT(relayed[1] + relayed[3], 0);
    EXPECT_EQ(relayed[4], 0);
}

} // namespace
