/// Whether fleets of several sizes find the part of prompts that crashes endpoints, before it
/// crashes many, and don't blame any other one.

#include <map>
#include <memory>
#include <random>
#include <set>
#include <tuple>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Decisions/CrashingParts.h"

using namespace sequoiagate;

namespace {

const ServiceId S("s");
const Instant Start{std::chrono::hours(1)};
constexpr uint64_t BadPart = 0xBAD;
constexpr uint64_t SecondBadPart = 0xBAD2;
constexpr int Domains = 3;
constexpr Interval Step = std::chrono::milliseconds(5);
constexpr Interval UntilWritten = std::chrono::milliseconds(400);
constexpr Interval UntilCrash = std::chrono::milliseconds(60);
constexpr Interval StableTime = std::chrono::seconds(3); ///< the rules' stable-ms
constexpr Interval RestartDelay = std::chrono::seconds(3);

template <typename Case>
std::string nameOf(const std::tuple<Case, uint64_t> &row)
{
    return fmt::format("{}Seed{}", std::get<0>(row).name, std::get<1>(row));
}

Interval millis(int count)
{
    return std::chrono::milliseconds(count);
}

struct FleetShape
{
    int hosts = 6;
    int endpoints = 9;
    int soundPerSecond = 100;
    double loss = 0.0; ///< share of the datagrams that are lost
    Interval untilCrash = UntilCrash;
};

/// First attempts of sound requests.
struct SoundRequests
{
    int sent = 0;
    int served = 0;
};

/// Hosts, endpoints and callers in simulated time.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(FleetShape shape, uint64_t seed = 1) : shape_(shape), random_(seed)
    {
        for (int i = 0; i < shape.hosts; ++i) {
            places_.push_back(
                    {HostId(fmt::format("h{}", i)), DomainId(fmt::format("d{}", i % Domains))});
        }
        for (int i = 0; i < shape.hosts; ++i) {
            startHost(i);
        }
        endpoints_.resize(static_cast<std::size_t>(shape.endpoints));
    }

    void startHost(int number)
    {
        const HostPlace &self = places_.at(static_cast<std::size_t>(number));
        auto host = std::make_unique<CrashingParts>(CrashingPartsSettings{self.host, self.domain});
        host->sendReport = [this](const HostId &to, const CrashReport &report) {
            deliver(to, [this, to, report] { at(to).onReport(report, now_); });
        };
        host->broadcastInquiry = [this, from = self.host](const PartInquiry &inquiry) {
            for (const HostPlace &place : places_) {
                deliver(place.host, [this, from, to = place.host, inquiry] {
                    const auto response = at(to).onInquiry(inquiry);
                    if (response && to != from) {
                        deliver(from, [this, from, response] {
                            at(from).onInquiryResponse(*response, now_);
                        });
                    }
                });
            }
        };
        host->broadcastQuarantine = [this](const Quarantine &quarantine) {
            for (const HostPlace &place : places_) {
                deliver(place.host, [this, to = place.host, quarantine] {
                    at(to).onQuarantine(quarantine, now_);
                });
            }
        };
        std::vector<HostPlace> others;
        for (const HostPlace &place : places_) {
            if (place.host != self.host) {
                others.push_back(place);
            }
        }
        host->setHosts(others);
        hosts_[self.host] = std::move(host);
    }

    /// Sends a prompt by any host to any endpoint that is up.
    void send(const std::vector<uint64_t> &parts, bool isRepeat = false)
    {
        const HostId &host = places_[random_() % places_.size()].host;
        const bool isSoundFirst = !isRepeat && badPart(parts) == 0;
        sound_.sent += isSoundFirst ? 1 : 0;
        if (at(host).find(S, parts, now_) != nullptr) {
            ++refused;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            if (now_ >= endpoints_[i].downUntil) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        const std::size_t endpoint = up[random_() % up.size()];
        endpoints_[endpoint].open.push_back({host, parts, now_, isRepeat});
        if (badPart(parts) != 0) {
            const uint64_t bad = badPart(parts);
            badArrivals[bad].push_back(now_);
            queue_.emplace(now_ + shape_.untilCrash,
                           [this, endpoint, bad, starts = endpoints_[endpoint].starts] {
                               if (endpoints_[endpoint].starts == starts) {
                                   crash(endpoint);
                                   badCrashes[bad].push_back(now_);
                               }
                           });
        }
    }

    void crash(std::size_t number)
    {
        Endpoint &endpoint = endpoints_[number];
        if (now_ < endpoint.downUntil) {
            return;
        }
        const EndpointId id(fmt::format("e{}-{}", number, endpoint.starts++));
        endpoint.downUntil = now_ + RestartDelay;
        for (const Request &request : std::exchange(endpoint.open, {})) {
            if (now_ < request.sentAt + UntilWritten
                && at(request.host).onConnectionLost(S, id, request.parts, request.sentAt, now_)) {
                queue_.emplace(now_ + millis(2), [this, host = request.host, id] {
                    at(host).onEndpointProbed(id, true, now_);
                });
            }
            if (!request.isRepeat) {
                queue_.emplace(now_ + millis(50),
                               [this, parts = request.parts] { send(parts, true); });
            }
        }
    }

    void crashShare(int percent)
    {
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            if (static_cast<int>(random_() % 100) < percent) {
                crash(i);
            }
        }
    }

    std::size_t randomEndpoint() { return random_() % endpoints_.size(); }
    uint64_t random(uint64_t below) { return random_() % below; }
    Instant now() const { return now_; }
    std::size_t sent() const { return sent_; }
    /// Those since the last call.
    SoundRequests takeSoundRequests() { return std::exchange(sound_, {}); }

    /// Lets time pass, with sound callers.
    void run(Interval time)
    {
        const Instant end = now_ + time;
        while (now_ < end) {
            now_ += Step;
            while (!queue_.empty() && queue_.begin()->first <= now_) {
                const std::function<void()> handle = std::move(queue_.begin()->second);
                queue_.erase(queue_.begin());
                handle();
            }
            soundDue_ += shape_.soundPerSecond * std::chrono::duration<double>(Step).count();
            for (; soundDue_ >= 1.0; soundDue_ -= 1.0) {
                send({1 + random_() % 4, 1000 + random_() % 190});
            }
            complete();
            for (const auto &[id, host] : hosts_) {
                if (now_ >= host->nextDeadline()) {
                    host->tick(now_);
                }
            }
            gossip();
        }
    }

    /// The parts that some host has quarantined.
    std::set<PartKey> quarantined()
    {
        std::set<PartKey> parts;
        for (const auto &[id, host] : hosts_) {
            for (const Quarantine &quarantine : host->quarantines(now_)) {
                parts.insert(quarantine.part);
            }
        }
        return parts;
    }

    bool knowsAll(int host, const std::vector<uint64_t> &parts)
    {
        return at(places_.at(static_cast<std::size_t>(host)).host).find(S, parts, now_) != nullptr;
    }

    int refused = 0;
    std::map<uint64_t, std::vector<Instant>> badArrivals; ///< by part
    std::map<uint64_t, std::vector<Instant>> badCrashes;

private:
    struct Request
    {
        HostId host;
        std::vector<uint64_t> parts;
        Instant sentAt{};
        bool isRepeat = false;
    };

    struct Endpoint
    {
        int starts = 0;
        Instant downUntil{};
        std::vector<Request> open;
    };

    /// The part that crashes endpoints; 0: none does.
    static uint64_t badPart(const std::vector<uint64_t> &parts)
    {
        const auto found = std::find_if(parts.begin(), parts.end(), [](uint64_t part) {
            return part == BadPart || part == SecondBadPart;
        });
        return found == parts.end() ? 0 : *found;
    }

    CrashingParts &at(const HostId &host) { return *hosts_.at(host); }

    void deliver(const HostId &, std::function<void()> arrive)
    {
        ++sent_;
        if (std::uniform_real_distribution<>(0.0, 1.0)(random_) < shape_.loss) {
            return;
        }
        const std::chrono::microseconds delay(500 + random_() % 3000);
        queue_.emplace(now_ + delay, std::move(arrive));
    }

    void complete()
    {
        for (Endpoint &endpoint : endpoints_) {
            std::erase_if(endpoint.open, [this](const Request &request) {
                if (now_ < request.sentAt + UntilWritten) {
                    return false;
                }
                at(request.host).onAnswerWritten(S, request.parts, now_);
                sound_.served += !request.isRepeat && badPart(request.parts) == 0 ? 1 : 0;
                return true;
            });
        }
    }

    void gossip()
    {
        if (now_ < nextGossipAt_) {
            return;
        }
        nextGossipAt_ = now_ + millis(500);
        for (const auto &[id, host] : hosts_) {
            for (const Quarantine &quarantine : host->quarantines(now_)) {
                for (int i = 0; i < 3; ++i) {
                    const HostId &to = places_[random_() % places_.size()].host;
                    deliver(to, [this, to, quarantine] { at(to).onQuarantine(quarantine, now_); });
                }
            }
        }
    }

    FleetShape shape_;
    std::mt19937_64 random_;
    Instant now_ = Start;
    Instant nextGossipAt_{};
    double soundDue_ = 0.0;
    std::vector<HostPlace> places_;
    std::map<HostId, std::unique_ptr<CrashingParts>> hosts_;
    std::vector<Endpoint> endpoints_;
    std::multimap<Instant, std::function<void()>> queue_;
    std::size_t sent_ = 0;
    SoundRequests sound_;
};

constexpr FleetShape Small{6, 9, 100, 0.0};
constexpr FleetShape Large{195, 116, 1500, 0.0};

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
                                          testing::Range<uint64_t>(1, 5)),
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
                                          testing::Range<uint64_t>(1, 5)),
                         [](const auto &row) { return nameOf(row.param); });

// Guards against a part that is never found because most requests are lost with it.
INSTANTIATE_TEST_SUITE_P(MostRequestsAreLost, BadParts,
                         testing::Combine(testing::Values(SlowToBeginWithFewCallers),
                                          testing::Values(uint64_t{116})),
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
               bool hasEnded = true)
    {
        now_ += std::chrono::seconds(1);
        constexpr int SoundRequests = 50;
        for (int i = 0; i < SoundRequests; ++i) {
            parts_.onAnswerWritten(S, {5}, now_);
        }
        if (parts_.onConnectionLost(S, EndpointId(endpoint), parts, now_ - UntilCrash, now_)) {
            parts_.onEndpointProbed(EndpointId(endpoint), hasEnded, now_);
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
        const EndpointId endpoint(fmt::format("e{}", i));
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
