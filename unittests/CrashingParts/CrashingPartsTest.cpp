/// Whether fleets of several sizes find the part of prompts that crashes endpoints, before it
/// crashes many, and don't blame any other one.

#include <set>
#include <tuple>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "SimulatedFleet.h"
#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Decisions/CrashingParts.h"

using namespace sequoiagate;
using namespace sequoiagate::crashing;

namespace {

const ServiceId &S = Service;

template <typename Case>
std::string nameOf(const std::tuple<Case, uint64_t> &row)
{
    return fmt::format("{}Seed{}", std::get<0>(row).name, std::get<1>(row));
}

struct BadPartCase
{
    const char *name;
    FleetShape shape;
    std::vector<std::vector<uint64_t>> prompts; ///< in turn
    int everyMs;
    std::set<uint64_t> bad;
    bool withOrdinaryCrashes = false;
};

class BadParts : public testing::TestWithParam<std::tuple<BadPartCase, uint64_t>>
{};

const BadPartCase SlowToBeginWithFewCallers = {
        "SlowToBeginWithFewCallers", {6, 9, 8, 0.0, millis(300)}, {{1, BadPart}}, 700, {BadPart}};

const BadPartCase BadPartCases[] = {
        {"SmallFleet", Small, {{1, BadPart}}, 700, {BadPart}},
        {"LargeFleet", Large, {{1, BadPart}}, 700, {BadPart}},
        {"Often", Small, {{1, BadPart}}, 100, {BadPart}},
        {"OftenInALargeFleet", Large, {{1, BadPart}}, 20, {BadPart}},
        {"Seldom", Small, {{1, BadPart}}, 15'000, {BadPart}},
        {"DatagramsAreLost", {6, 9, 100, 0.2}, {{1, BadPart}}, 700, {BadPart}},
        {"DatagramsAreLostInALargeFleet", {195, 116, 1500, 0.2}, {{1, BadPart}}, 700, {BadPart}},
        // Guards against blaming a part that sound prompts share, where few have it.
        {"BehindARarePart", Small, {{77, BadPart}}, 700, {BadPart}},
        {"BehindManyFirstParts", Small, {{1, BadPart}, {2, BadPart}, {3, BadPart}}, 700, {BadPart}},
        {"FirstPart",
         Small,
         {{BadPart, 2001}, {BadPart, 2002}, {BadPart, 2003}, {BadPart, 2004}},
         700,
         {BadPart}},
        {"TwoParts", Small, {{1, BadPart}, {2, SecondBadPart}}, 500, {BadPart, SecondBadPart}},
        {"FewCallers", {6, 9, 8, 0.0}, {{1, BadPart}}, 700, {BadPart}},
        // Guards against evidence that tells nothing where a crash comes late in a request.
        {"SlowToBegin", {6, 9, 100, 0.0, millis(300)}, {{1, BadPart}}, 700, {BadPart}},
        {"SlowToBeginInALargeFleet",
         {195, 116, 1500, 0.0, millis(300)},
         {{1, BadPart}},
         700,
         {BadPart}},
        SlowToBeginWithFewCallers,
        {"AmongOrdinaryCrashes", Small, {{1, BadPart}}, 700, {BadPart}, true},
        // Guards against taking crashes that follow each other fast for one.
        {"FasterThanEndpointsRestart", Small, {{1, BadPart}}, 20, {BadPart}},
        {"FirstPartFasterThanEndpointsRestart",
         Small,
         {{BadPart, 2001}, {BadPart, 2002}, {BadPart, 2003}, {BadPart, 2004}},
         40,
         {BadPart}},
        // Guards against counting the crashes of endpoints that start again under their ids as one.
        {"FourEndpointsKeepTheirIds",
         {.endpoints = 4, .keepsIds = true},
         {{1, BadPart}},
         700,
         {BadPart}},
        {"TwoEndpointsKeepTheirIds",
         {.endpoints = 2, .keepsIds = true},
         {{1, BadPart}},
         1500,
         {BadPart}},
        // Guards against crashes that tell nothing since other hosts relay the requests.
        {"HalfAreRelayed", {.relayed = 0.5}, {{1, BadPart}}, 700, {BadPart}},
        {"MostAreRelayed", {.relayed = 0.9}, {{1, BadPart}}, 700, {BadPart}},
        // Guards against taking what listens at the address of a crashed endpoint for the endpoint.
        {"HalfOfTheAddressesListen", {.listening = 0.5}, {{1, BadPart}}, 700, {BadPart}},
        {"MostAddressesListen", {.listening = 0.9}, {{1, BadPart}}, 700, {BadPart}},
};

/// When a fleet is to know a part: at its fifth crash, or at the last if there are fewer.
Instant learntAt(SimulatedFleet &fleet, uint64_t part)
{
    const std::vector<Instant> &crashes = fleet.badCrashes[part];
    constexpr std::size_t Learnt = 5;
    return crashes.empty() ? Start : crashes[std::min(crashes.size(), Learnt) - 1];
}

// Guards against a prompt that crashes one endpoint after the other, and against refusing prompts
// that only share other parts with it.
TEST_P(BadParts, AreQuarantinedAndNoOthers)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.run(std::chrono::seconds(3));
    EXPECT_EQ(fleet.sent(), 0U);
    const int count = std::max(30, 40'000 / row.everyMs / 4);
    for (int i = 0; i < count; ++i) {
        fleet.send(row.prompts[static_cast<std::size_t>(i) % row.prompts.size()]);
        if (row.withOrdinaryCrashes && i % 3 == 0) {
            fleet.crash(fleet.randomEndpoint());
        }
        fleet.run(millis(row.everyMs));
    }
    std::set<PartKey> expected;
    for (const uint64_t part : row.bad) {
        expected.insert(partKey(S, part));
    }
    EXPECT_EQ(fleet.quarantined(), expected);
    for (const uint64_t part : row.bad) {
        const std::size_t crashes = fleet.badCrashes[part].size();
        const Instant learnt = crashes < 5 ? fleet.now() : learntAt(fleet, part);
        const std::vector<Instant> &arrivals = fleet.badArrivals[part];
        const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                        [learnt](Instant at) { return at > learnt + StableTime; });
        EXPECT_LE(late, 3) << crashes << " crashes";
    }
}

// Guards against losing sound requests with the same first part once the crashing part is known.
TEST_P(BadParts, CostSoundRequestsLittleOnceKnown)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.run(std::chrono::seconds(3));
    const SoundRequests before = fleet.takeSoundRequests();
    const int count = std::max(30, 40'000 / row.everyMs / 4);
    bool isKnown = false;
    for (int i = 0; i < count; ++i) {
        fleet.send(row.prompts[static_cast<std::size_t>(i) % row.prompts.size()]);
        fleet.run(millis(row.everyMs));
        const bool wasKnown = std::exchange(
                isKnown, std::all_of(row.bad.begin(), row.bad.end(), [&fleet](uint64_t part) {
                    return fleet.now() >= learntAt(fleet, part) + 2 * StableTime;
                }));
        if (isKnown && !wasKnown) {
            fleet.takeSoundRequests();
        }
    }
    ASSERT_TRUE(isKnown);
    const SoundRequests after = fleet.takeSoundRequests();
    EXPECT_GE(after.sent, 20);
    EXPECT_GE(2 * after.served * before.sent, before.served * after.sent)
            << after.served << " of " << after.sent;
}

INSTANTIATE_TEST_SUITE_P(Rows, BadParts,
                         testing::Combine(testing::ValuesIn(BadPartCases),
                                          testing::ValuesIn(fleetSeeds())),
                         [](const auto &row) { return nameOf(row.param); });

struct OrdinaryCase
{
    const char *name;
    FleetShape shape;
    int everyMs;
    int rounds;
    void (*crash)(SimulatedFleet &fleet, int round);
};

class OrdinaryCrashes : public testing::TestWithParam<std::tuple<OrdinaryCase, uint64_t>>
{};

void crashOne(SimulatedFleet &fleet, int)
{
    fleet.crash(fleet.randomEndpoint());
}

void crashAThird(SimulatedFleet &fleet, int)
{
    fleet.crashShare(33);
}

void crashAll(SimulatedFleet &fleet, int)
{
    fleet.crashShare(100);
}

/// As hosts notice a common cause at different times.
void crashAllWithinAMoment(SimulatedFleet &fleet, int)
{
    constexpr std::size_t Endpoints = 9;
    for (std::size_t i = 0; i < Endpoints; ++i) {
        fleet.crash(i);
        fleet.run(millis(60));
    }
}

void crashAThirdWithinAMoment(SimulatedFleet &fleet, int round)
{
    constexpr std::size_t Third = 3;
    for (std::size_t i = 0; i < Third; ++i) {
        fleet.crash((static_cast<std::size_t>(round) % Third) * Third + i);
        fleet.run(millis(60));
    }
}

void crashInTurn(SimulatedFleet &fleet, int round)
{
    fleet.crash(static_cast<std::size_t>(round) % 9);
}

const OrdinaryCase OrdinaryCases[] = {
        {"OneByOne", Small, 1000, 100, crashOne},
        {"OneByOneInALargeFleet", Large, 200, 60, crashOne},
        {"AThirdAtOnce", Small, 4000, 60, crashAThird},
        {"AThirdAtOnceInALargeFleet", Large, 4000, 1, crashAThird},
        {"AllAtOnce", Small, 5000, 25, crashAll},
        {"AllAtOnceInALargeFleet", Large, 5000, 1, crashAll},
        {"InTurn", Small, 1000, 100, crashInTurn},
        // Endpoints are down for most of the time, and most requests are lost.
        {"MostOfTheTime", Small, 400, 200, crashInTurn},
        {"MostOfTheTimeAtRandom", Small, 400, 200, crashOne},
        {"MostOfTheTimeWithFewCallers", {6, 9, 8, 0.0}, 400, 200, crashInTurn},
        {"AllWithinAMoment", Small, 5000, 25, crashAllWithinAMoment},
        {"AllWithinAMomentWithFewCallers", {6, 9, 8, 0.0}, 5000, 25, crashAllWithinAMoment},
        {"AThirdWithinAMoment", Small, 4000, 60, crashAThirdWithinAMoment},
        {"OneByOneUnderKeptIds", {.keepsIds = true}, 1000, 100, crashOne},
        {"AThirdAtOnceUnderKeptIds", {.keepsIds = true}, 4000, 60, crashAThird},
        {"AllAtOnceUnderKeptIds", {.keepsIds = true}, 5000, 25, crashAll},
        {"MostOfTheTimeUnderKeptIds", {.keepsIds = true}, 400, 200, crashInTurn},
        {"MostOfTheTimeAtRandomUnderKeptIds", {.keepsIds = true}, 400, 200, crashOne},
        {"MostOfTheTimeWithFewCallersUnderKeptIds",
         {.soundPerSecond = 8, .keepsIds = true},
         400,
         200,
         crashInTurn},
        {"FewEndpointsOneByOneUnderKeptIds",
         {.endpoints = 4, .keepsIds = true},
         1500,
         60,
         crashOne},
};

// Guards against refusing prompts because endpoints crashed for another reason.
TEST_P(OrdinaryCrashes, CondemnNoPart)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.run(std::chrono::seconds(2));
    for (int round = 0; round < row.rounds; ++round) {
        row.crash(fleet, round);
        fleet.run(millis(row.everyMs));
    }
    EXPECT_TRUE(fleet.quarantined().empty()) << fleet.quarantined().size();
    EXPECT_EQ(fleet.refused, 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, OrdinaryCrashes,
                         testing::Combine(testing::ValuesIn(OrdinaryCases),
                                          testing::ValuesIn(fleetSeeds())),
                         [](const auto &row) { return nameOf(row.param); });

// Guards against a part that is never found because most requests are lost with it.
INSTANTIATE_TEST_SUITE_P(MostRequestsAreLost, BadParts,
                         testing::Combine(testing::Values(SlowToBeginWithFewCallers),
                                          testing::Values(uint64_t{116}, uint64_t{120})),
                         [](const auto &row) { return nameOf(row.param); });

class JoiningHosts : public testing::TestWithParam<FleetShape>
{};

// Guards against a host that lets the part through because it joined after the decision.
TEST_P(JoiningHosts, LearnQuarantines)
{
    SimulatedFleet fleet(GetParam());
    fleet.run(std::chrono::seconds(1));
    for (int i = 0; i < 6; ++i) {
        fleet.send({1, BadPart});
        fleet.run(millis(700));
    }
    ASSERT_TRUE(fleet.knowsAll(2, {1, BadPart}));
    fleet.startHost(2);
    EXPECT_FALSE(fleet.knowsAll(2, {1, BadPart}));
    fleet.run(std::chrono::seconds(2));
    EXPECT_TRUE(fleet.knowsAll(2, {1, BadPart}));
    EXPECT_FALSE(fleet.knowsAll(2, {1, 1000}));
}

INSTANTIATE_TEST_SUITE_P(Rows, JoiningHosts, testing::Values(Small, Large),
                         [](const auto &row) { return fmt::format("Hosts{}", row.param.hosts); });

struct AllStartAgainCase
{
    const char *name;
    FleetShape shape;
    int everyMs;
};

class AllHostsStartAgain : public testing::TestWithParam<std::tuple<AllStartAgainCase, uint64_t>>
{};

// Guards against forgetting a part when all hosts lose their memory at the same moment.
TEST_P(AllHostsStartAgain, StillRefuseThePart)
{
    const auto &[row, seed] = GetParam();
    SimulatedFleet fleet(row.shape, seed);
    fleet.run(std::chrono::seconds(3));
    const auto play = [&fleet, everyMs = row.everyMs](Interval time) {
        for (const Instant end = fleet.now() + time; fleet.now() < end;) {
            fleet.send({1, BadPart});
            fleet.run(millis(everyMs));
        }
    };
    play(std::chrono::seconds(11));
    ASSERT_TRUE(fleet.knowsAll(0, {1, BadPart}));
    ASSERT_GE(fleet.badCrashes[BadPart].size(), 1U);
    const std::size_t arrivals = fleet.badArrivals[BadPart].size();
    fleet.startAllHosts();
    play(std::chrono::seconds(14));
    EXPECT_LE(fleet.badArrivals[BadPart].size() - arrivals, 3U);
    EXPECT_TRUE(fleet.knowsAll(0, {1, BadPart}));
}

INSTANTIATE_TEST_SUITE_P(
        Rows, AllHostsStartAgain,
        testing::Combine(testing::Values(AllStartAgainCase{"SmallFleet", Small, 700},
                                         AllStartAgainCase{"SixtyHosts", {60, 60, 500}, 100}),
                         testing::ValuesIn(fleetSeeds())),
        [](const auto &row) { return nameOf(row.param); });

/// One host, which reports to nobody.
class LoneHost : public testing::Test
{
protected:
    LoneHost()
    {
        parts_.sendReport = [](const HostId &, const CrashReport &) {
        };
        parts_.broadcastInquiry = [](const PartInquiry &) {
        };
        parts_.broadcastQuarantine = [](const Quarantine &) {
        };
    }

    void crash(const std::string &endpoint, const std::vector<uint64_t> &parts,
               bool hasEnded = true, uint64_t startedAtMillis = 1)
    {
        const EndpointProcess process{EndpointId(endpoint), startedAtMillis};
        now_ += std::chrono::seconds(1);
        constexpr int SoundRequests = 50;
        for (int i = 0; i < SoundRequests; ++i) {
            parts_.onAnswerWritten(S, {5}, now_);
        }
        if (parts_.onConnectionLost(S, process, parts, now_ - UntilCrash, now_)) {
            parts_.onEndpointProbed(process, hasEnded, now_);
        }
        parts_.tick(now_ + CrashingParts::InquiryTime);
    }

    bool isQuarantined(uint64_t part) const { return parts_.find(S, {part}, now_) != nullptr; }

    Instant now_ = Start;
    CrashingParts parts_{CrashingPartsSettings{HostId("h"), DomainId("d")}};
};

// Guards against blaming prompts for connections that were reset at endpoints that live on.
TEST_F(LoneHost, LostConnectionsAloneAreNoCrashes)
{
    for (int i = 0; i < 10; ++i) {
        crash(fmt::format("e{}", i), {1, BadPart}, false);
    }
    EXPECT_FALSE(isQuarantined(BadPart));
}

// Guards against a process that listens again before it is probed.
TEST_F(LoneHost, AProcessThatWasReplacedHasCrashed)
{
    for (const char *endpoint : {"a", "b", "c"}) {
        EXPECT_FALSE(isQuarantined(BadPart)) << endpoint;
        crash(endpoint, {1, BadPart}, false);
        parts_.onProcessReplaced({EndpointId(endpoint), 1}, now_);
        parts_.onProcessReplaced({EndpointId(endpoint), 1}, now_);
        parts_.tick(now_ + CrashingParts::InquiryTime);
    }
    EXPECT_TRUE(isQuarantined(BadPart));
}

// Guards against blaming prompts for connections that were reset long before a planned restart.
TEST_F(LoneHost, AProcessThatIsReplacedMuchLaterHasNotCrashed)
{
    for (const char *endpoint : {"a", "b", "c"}) {
        crash(endpoint, {1, BadPart}, false);
        now_ += CrashingParts::ReplacementTime;
        parts_.onProcessReplaced({EndpointId(endpoint), 1}, now_);
        parts_.tick(now_ + CrashingParts::InquiryTime);
    }
    EXPECT_FALSE(isQuarantined(BadPart));
}

TEST_F(LoneHost, ThreeCrashesQuarantineAPartAtItsService)
{
    crash("a", {1, BadPart});
    crash("b", {2, BadPart});
    EXPECT_FALSE(isQuarantined(BadPart));
    crash("c", {3, BadPart});
    EXPECT_TRUE(isQuarantined(BadPart));
    EXPECT_FALSE(isQuarantined(3));
    EXPECT_EQ(parts_.find(ServiceId("other"), {BadPart}, now_), nullptr);
}

// Guards against taking the crashes of an endpoint that starts again under its id for one.
TEST_F(LoneHost, EachStartOfAnEndpointCrashesByItself)
{
    for (uint64_t start = 1; start <= 3; ++start) {
        EXPECT_FALSE(isQuarantined(BadPart)) << start;
        crash("a", {start, BadPart}, true, start);
    }
    EXPECT_TRUE(isQuarantined(BadPart));
}

// Guards against counting one crash twice when a host of an earlier version reports it as well.
TEST_F(LoneHost, AReportWithoutAStartIsOfAKnownProcess)
{
    for (const char *endpoint : {"a", "b"}) {
        crash(endpoint, {1, BadPart}, true, 7);
        now_ += std::chrono::seconds(1);
        parts_.onReport({stableHash(S.text()),
                         {EndpointId(endpoint), 0},
                         {{partKey(S, BadPart), 1, 2}},
                         now_},
                        now_);
        parts_.tick(now_ + CrashingParts::InquiryTime);
    }
    EXPECT_FALSE(isQuarantined(BadPart));
}

TEST_F(LoneHost, AnAnswerClearsAPart)
{
    crash("a", {1, BadPart});
    crash("b", {2, BadPart});
    parts_.onAnswerWritten(S, {1, BadPart}, now_);
    crash("c", {3, BadPart});
    EXPECT_FALSE(isQuarantined(BadPart));
}

TEST_F(LoneHost, AnAnswerElsewhereClearsAPart)
{
    crash("a", {1, BadPart});
    crash("b", {2, BadPart});
    parts_.onInquiryResponse({partKey(S, BadPart), 0, now_, {}, {}}, now_);
    crash("c", {3, BadPart});
    EXPECT_FALSE(isQuarantined(BadPart));
}

// Guards against quarantining every prompt of a service whose endpoints all crash.
TEST_F(LoneHost, AServiceThatServesNothingIsAtFaultItself)
{
    for (int i = 0; i < 5; ++i) {
        now_ += std::chrono::seconds(1);
        const EndpointProcess endpoint{EndpointId(fmt::format("e{}", i)), 1};
        parts_.onConnectionLost(S, endpoint, {1, BadPart}, now_ - UntilCrash, now_);
        parts_.onEndpointProbed(endpoint, true, now_);
        parts_.tick(now_ + CrashingParts::InquiryTime);
    }
    EXPECT_FALSE(isQuarantined(BadPart));
    EXPECT_FALSE(isQuarantined(1));
}

// Guards against a quarantine without an end, and against one that costs three endpoints each time
// it is lifted.
TEST_F(LoneHost, AQuarantineEndsAndComesBackAfterOneCrash)
{
    for (const char *endpoint : {"a", "b", "c"}) {
        crash(endpoint, {1, BadPart});
    }
    ASSERT_TRUE(isQuarantined(BadPart));
    now_ += CrashingParts::FirstQuarantine + CrashingParts::InquiryTime;
    EXPECT_FALSE(isQuarantined(BadPart));
    crash("d", {1, BadPart});
    EXPECT_TRUE(isQuarantined(BadPart));
    now_ += CrashingParts::FirstQuarantine;
    EXPECT_TRUE(isQuarantined(BadPart));
    now_ += 4 * CrashingParts::FirstQuarantine;
    EXPECT_FALSE(isQuarantined(BadPart));
}

TEST_F(LoneHost, OldCrashesDontCount)
{
    crash("a", {1, BadPart});
    crash("b", {1, BadPart});
    now_ += CrashingParts::CrashLifetime;
    crash("c", {1, BadPart});
    EXPECT_FALSE(isQuarantined(BadPart));
}

} // namespace
