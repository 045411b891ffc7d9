/// Whether a fleet blames a sound part of prompts for a cut, behind which endpoints look as if they
/// had crashed.

#include <algorithm>
#include <tuple>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "SimulatedFleet.h"

using namespace sequoiagate;
using namespace sequoiagate::crashing;

namespace {

constexpr uint64_t PrivatePart = 0x50D;
constexpr Interval CutTime = std::chrono::milliseconds(5500);

constexpr FleetShape Medium{63, 60, 500, 0.0};
constexpr FleetShape MediumWithLoss{63, 60, 500, 0.1};

struct CutCase
{
    const char *name;
    FleetShape shape;
    int everyNthHost; ///< hosts whose number it divides are cut off; 0: host 0 alone
    Cut::Endpoints endpoints;
    Cut::Datagrams datagrams;
    int untilLostMs;
};

class Cuts : public testing::TestWithParam<std::tuple<CutCase, uint64_t>>
{};

const CutCase CutCases[] = {
        {"OneHostFromEndpoints", Small, 0, Cut::Endpoints::All, Cut::Datagrams::Pass, 10},
        {"DomainReset", Small, Domains, Cut::Endpoints::OtherDomains, Cut::Datagrams::Lost, 10},
        {"DomainRefused", Medium, Domains, Cut::Endpoints::OtherDomains, Cut::Datagrams::Lost, 1},
        {"DomainSilent", Small, Domains, Cut::Endpoints::OtherDomains, Cut::Datagrams::Lost, 1000},
        {"DomainWithLostDatagrams", MediumWithLoss, Domains, Cut::Endpoints::OtherDomains,
         Cut::Datagrams::Lost, 10},
        {"DomainHearsNobody", Small, Domains, Cut::Endpoints::OtherDomains, Cut::Datagrams::Inbound,
         10},
        {"DomainFromEndpoints", Small, Domains, Cut::Endpoints::OtherDomains, Cut::Datagrams::Pass,
         10},
        {"HalfFromEndpoints", Small, 2, Cut::Endpoints::All, Cut::Datagrams::Pass, 10},
        {"HalfFromOthers", Small, 2, Cut::Endpoints::All, Cut::Datagrams::Lost, 10},
};

Cut cutOf(const CutCase &row, Instant from)
{
    Cut cut{from, from + CutTime, {}, {0}, row.endpoints, row.datagrams, millis(row.untilLostMs)};
    const int step = row.everyNthHost == 0 ? row.shape.hosts : row.everyNthHost;
    for (int host = 0; host < row.shape.hosts; host += step) {
        cut.hosts.insert(host);
    }
    return cut;
}

// Guards against refusing the prompts of a host's callers since the host was cut off.
TEST_P(Cuts, CondemnNoPart)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.setCut(cutOf(row, fleet.now() + std::chrono::seconds(4)));
    for (int i = 0; i < 60; ++i) {
        fleet.sendBy(0, {1, PrivatePart});
        fleet.run(millis(100 + static_cast<int>(seed % 7) * 30));
    }
    EXPECT_TRUE(fleet.quarantined().empty()) << fleet.quarantined().size();
    EXPECT_EQ(fleet.refused, 0);
}

class CrashesBesideACut : public testing::TestWithParam<std::tuple<CutCase, uint64_t>>
{};

const CutCase OtherSideCases[] = {
        {"SmallFleet", Small, Domains, Cut::Endpoints::OtherDomains, Cut::Datagrams::Lost, 10},
        {"MediumFleet", Medium, Domains, Cut::Endpoints::OtherDomains, Cut::Datagrams::Lost, 10},
};

// Guards against a part that isn't found while hosts that could confirm its crashes are cut off.
TEST_P(CrashesBesideACut, AreSeenByTheOthers)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.run(std::chrono::seconds(3));
    Cut cut = cutOf(row, fleet.now());
    cut.until = fleet.now() + std::chrono::seconds(20);
    fleet.setCut(cut);
    for (int i = 0; i < 25; ++i) {
        fleet.send({1, BadPart});
        fleet.run(millis(700));
    }
    EXPECT_TRUE(fleet.knowsAll(1, {1, BadPart}));
    const std::vector<Instant> &crashes = fleet.badCrashes[BadPart];
    ASSERT_GE(crashes.size(), 1U);
    const Instant learnt = crashes[std::min<std::size_t>(crashes.size(), 5) - 1];
    const std::vector<Instant> &arrivals = fleet.badArrivals[BadPart];
    const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                    [learnt](Instant at) { return at > learnt + StableTime; });
    EXPECT_LE(late, 3) << crashes.size() << " crashes";
}

INSTANTIATE_TEST_SUITE_P(Rows, CrashesBesideACut,
                         testing::Combine(testing::ValuesIn(OtherSideCases),
                                          testing::ValuesIn(fleetSeeds())),
                         [](const auto &row) {
                             return fmt::format("{}Seed{}", std::get<0>(row.param).name,
                                                std::get<1>(row.param));
                         });

INSTANTIATE_TEST_SUITE_P(
        Rows, Cuts, testing::Combine(testing::ValuesIn(CutCases), testing::ValuesIn(fleetSeeds())),
        [](const auto &row) {
            return fmt::format("{}Seed{}", std::get<0>(row.param).name, std::get<1>(row.param));
        });

} // namespace
