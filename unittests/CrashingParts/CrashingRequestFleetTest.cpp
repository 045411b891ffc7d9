/// Whether fleets of several sizes keep a request from endpoints that crashes them by its own part.

#include <algorithm>
#include <tuple>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "SimulatedFleet.h"

using namespace sequoiagate;
using namespace sequoiagate::crashing;

namespace {

/// Time for a report and a broadcast.
constexpr Interval UntilTold = std::chrono::milliseconds(10);
/// Time until a round of gossip has reached those that missed it.
constexpr Interval UntilToldByGossip = std::chrono::milliseconds(600);
constexpr std::size_t CrashesAllowed = 3;

struct BadRequestCase
{
    const char *name;
    FleetShape shape;
    std::vector<uint64_t> sharedParts;
    int everyMs = 250;
    bool withOrdinaryCrashes = false;
    int restartedMs = 0; ///< how often a host starts again; 0: never
};

class BadRequests : public testing::TestWithParam<std::tuple<BadRequestCase, uint64_t>>
{};

const BadRequestCase BadRequestCases[] = {
        {"SmallFleet", Small, {1, 1077}},
        {"LargeFleet", Large, {1, 1077}},
        {"WithoutSharedParts", Small, {}},
        {"Seldom", Small, {1, 1077}, 15'000},
        {"DatagramsAreLost", {6, 9, 100, 0.2}, {1, 1077}},
        {"DatagramsAreLostInALargeFleet", {195, 116, 1500, 0.2}, {1, 1077}},
        {"FourEndpointsKeepTheirIds", {.endpoints = 4, .keepsIds = true}, {1, 1077}, 1500},
        {"MostAreRelayed", {.relayed = 0.9}, {1, 1077}},
        {"MostAddressesListen", {.listening = 0.9}, {1, 1077}},
        {"AmongOrdinaryCrashes", Small, {1, 1077}, 250, true},
        {"BehindASeldomPart", {6, 9, 8, 0.0}, {1, 1500}},
        // Guards against a host that starts and knows nothing of what is refused.
        {"AsHostsStartAgain", Small, {1, 1077}, 700, false, 2000},
};

// Guards against a request that crashes one endpoint after the other, and against blaming the parts
// that it shares with sound ones.
TEST_P(BadRequests, AreRefusedAndNoOthers)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.run(std::chrono::seconds(3));
    constexpr int Repeats = 60;
    for (int i = 0; i < Repeats; ++i) {
        fleet.sendAgain(row.sharedParts, BadRequest);
        if (row.withOrdinaryCrashes && i % 10 == 0) {
            fleet.crash(fleet.randomEndpoint());
        }
        if (row.restartedMs > 0 && i % (row.restartedMs / row.everyMs) == 0) {
            fleet.startHost(i % row.shape.hosts);
        }
        fleet.run(millis(row.everyMs));
    }
    const std::vector<Instant> &crashes = fleet.badCrashes[BadRequest];
    ASSERT_GE(crashes.size(), CrashesAllowed);
    const Instant learnt =
            crashes[CrashesAllowed - 1] + (row.shape.loss > 0.0 ? UntilToldByGossip : UntilTold);
    const std::vector<Instant> &arrivals = fleet.badArrivals[BadRequest];
    EXPECT_EQ(std::count_if(arrivals.begin(), arrivals.end(),
                            [learnt](Instant at) { return at > learnt; }),
              0)
            << crashes.size() << " crashes";
    EXPECT_EQ(fleet.quarantined(), std::set<PartKey>());
    EXPECT_EQ(fleet.soundRequestsRefused, 0);
}

struct CutRequestCase
{
    const char *name;
    FleetShape shape;
    Cut::Endpoints endpoints;
    Cut::Datagrams datagrams;
};

class BadRequestsBesideACut : public testing::TestWithParam<std::tuple<CutRequestCase, uint64_t>>
{};

constexpr FleetShape Medium{63, 60, 500, 0.0};

const CutRequestCase CutRequestCases[] = {
        {"DomainAndItsEndpoints", Small, Cut::Endpoints::OtherDomains, Cut::Datagrams::Lost},
        {"DomainFromEndpoints", Small, Cut::Endpoints::All, Cut::Datagrams::Pass},
        {"DomainHearsNobody", Small, Cut::Endpoints::OtherDomains, Cut::Datagrams::Inbound},
        {"MediumFleet", Medium, Cut::Endpoints::OtherDomains, Cut::Datagrams::Lost},
};

// Guards against a request that crashes endpoints without end on one side of a cut, or again on the
// other side once it has healed.
TEST_P(BadRequestsBesideACut, AreRefusedOnBothSides)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.run(std::chrono::seconds(3));
    Cut cut{fleet.now(),
            fleet.now() + std::chrono::seconds(6),
            {},
            {0},
            row.endpoints,
            row.datagrams,
            millis(10)};
    for (int host = 0; host < row.shape.hosts; host += Domains) {
        cut.hosts.insert(host);
    }
    fleet.setCut(cut);
    constexpr int Repeats = 60;
    for (int i = 0; i < Repeats; ++i) {
        fleet.sendAgain({1, 1077}, BadRequest);
        fleet.run(millis(250));
    }
    const std::vector<Instant> &crashes = fleet.badCrashes[BadRequest];
    constexpr std::size_t Sides = 2;
    EXPECT_LE(crashes.size(), Sides * CrashesAllowed);
    const Instant learnt = cut.until + UntilToldByGossip;
    EXPECT_TRUE(crashes.empty() || crashes.back() <= learnt);
    EXPECT_EQ(fleet.quarantined(), std::set<PartKey>());
    EXPECT_EQ(fleet.soundRequestsRefused, 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, BadRequestsBesideACut,
                         testing::Combine(testing::ValuesIn(CutRequestCases),
                                          testing::ValuesIn(fleetSeeds())),
                         [](const auto &row) {
                             return fmt::format("{}Seed{}", std::get<0>(row.param).name,
                                                std::get<1>(row.param));
                         });

/// As many as a client with two attempts at two endpoints each sends.
constexpr FleetShape Insistent{.repeats = 3};

struct HerdCase
{
    const char *name;
    FleetShape shape;
    int everyMs;
    int rounds;
    int percent; ///< of the endpoints that crash in each round
    int withinMs;
};

class Herds : public testing::TestWithParam<std::tuple<HerdCase, uint64_t>>
{};

const HerdCase HerdCases[] = {
        {"OneByOne", Insistent, 1000, 60, 0, 0},
        {"OneByOneFast", Insistent, 400, 60, 0, 0},
        {"AThirdAtOnce", Insistent, 4000, 20, 33, 0},
        {"AThirdWithinAMoment", Insistent, 4000, 20, 33, 500},
        {"AllWithinAMoment", Insistent, 5000, 20, 100, 500},
        {"LargeFleetAThirdWithinAMoment",
         {195, 116, 1500, 0.0, UntilCrash, false, 0.0, 0.0, 3},
         4000,
         2,
         33,
         500},
};

// Guards against refusing many sound requests that were lost with one endpoint after the other in a
// herd of crashes: at most one in a hundred pays.
TEST_P(Herds, CostFewSoundRequests)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.run(std::chrono::seconds(3));
    for (int round = 0; round < row.rounds; ++round) {
        const int count = row.percent == 0 ? 1 : row.shape.endpoints * row.percent / 100;
        for (int i = 0; i < count; ++i) {
            fleet.crash(fleet.randomEndpoint());
            fleet.run(millis(row.withinMs / count));
        }
        fleet.run(millis(row.everyMs - row.withinMs));
    }
    const SoundRequests sound = fleet.takeSoundRequests();
    RecordProperty("sent", sound.sent);
    RecordProperty("refused", fleet.soundRequestsRefused);
    RecordProperty("refused_for_long", fleet.soundRequestsRefusedForLong);
    EXPECT_LE(100 * fleet.soundRequestsRefused, sound.sent)
            << fleet.soundRequestsRefused << " of " << sound.sent;
}

INSTANTIATE_TEST_SUITE_P(Rows, Herds,
                         testing::Combine(testing::ValuesIn(HerdCases),
                                          testing::ValuesIn(fleetSeeds())),
                         [](const auto &row) {
                             return fmt::format("{}Seed{}", std::get<0>(row.param).name,
                                                std::get<1>(row.param));
                         });

INSTANTIATE_TEST_SUITE_P(Rows, BadRequests,
                         testing::Combine(testing::ValuesIn(BadRequestCases),
                                          testing::ValuesIn(fleetSeeds())),
                         [](const auto &row) {
                             return fmt::format("{}Seed{}", std::get<0>(row.param).name,
                                                std::get<1>(row.param));
                         });

} // namespace
