/// Whether hosts find at which software version a stream of another host began, in fleets of
/// several sizes, with datagrams that are lost and hosts that are gone.

#include <map>
#include <memory>
#include <random>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Decisions/StreamOrigins.h"

using namespace sequoiagate;

namespace {

const ServiceId S("s");
const Instant Start{std::chrono::hours(1)};
constexpr Interval LongestStream = std::chrono::seconds(15);

/// Hosts that exchange datagrams in simulated time.
class SimulatedFleet
{
public:
    SimulatedFleet(int hosts, int domains, double loss, uint64_t seed) : loss_(loss), random_(seed)
    {
        for (int i = 0; i < hosts; ++i) {
            places_.push_back(
                    {HostId(fmt::format("h{}", i)), DomainId(fmt::format("d{}", i % domains))});
        }
        for (int i = 0; i < hosts; ++i) {
            start(i);
        }
    }

    int size() const { return static_cast<int>(places_.size()); }
    int random(int below) { return static_cast<int>(random_() % static_cast<uint64_t>(below)); }
    int domainOf(int host, int domains) const { return host % domains; }
    StreamOrigins &at(int host) { return *hosts_.at(places_.at(index(host)).host); }
    Instant now() const { return now_; }
    std::size_t sent() const { return sent_; }

    /// Starts a host, or starts it again without anything that it knew.
    void start(int number)
    {
        const HostPlace &self = places_.at(index(number));
        auto host = std::make_unique<StreamOrigins>(self.domain);
        host->setLongestStream(LongestStream);
        host->sendRecord = [this, from = self.host](const HostId &to, const StreamRecord &record) {
            deliver(from, to, [this, from, to, record] {
                hosts_.at(to)->onRecord(record, now_);
                deliver(to, from, [this, from, to, record] {
                    hosts_.at(from)->onAcknowledged(to, record.key);
                });
            });
        };
        host->sendQuery = [this, from = self.host](const HostId &to, const OriginQuery &query) {
            deliver(from, to, [this, from, to, query] {
                const OriginResponse response = hosts_.at(to)->respond(query, now_);
                deliver(to, from, [this, from, to, response] {
                    hosts_.at(from)->onResponse(to, response, now_);
                });
            });
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

    /// The host takes part no more, and the others don't learn it.
    void kill(int host) { deaf_.insert(places_.at(index(host)).host); }
    /// Hosts of one side don't reach those of the other.
    void partition(const std::set<int> &side)
    {
        for (const int host : side) {
            side_.insert(places_.at(index(host)).host);
        }
    }
    void heal()
    {
        side_.clear();
        deaf_.clear();
    }

    void run(Interval time)
    {
        const Instant end = now_ + time;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(1);
            while (!queue_.empty() && queue_.begin()->first <= now_) {
                const std::function<void()> arrive = std::move(queue_.begin()->second);
                queue_.erase(queue_.begin());
                arrive();
            }
            for (const auto &[id, host] : hosts_) {
                if (now_ >= host->nextDeadline()) {
                    host->tick(now_);
                }
            }
        }
    }

    void list(int host, const std::vector<std::string> &versions)
    {
        std::vector<ListedVersion> listed;
        for (const std::string &version : versions) {
            listed.push_back({S, SoftwareVersion(version)});
        }
        at(host).versions().setListed(listed, now_);
        at(host).versions().onRead(now_);
    }

    /// The hosts that hear the store read once more that nothing has changed.
    void readAgain()
    {
        for (int host = 0; host < size(); ++host) {
            if (cutFromStore_.count(host) == 0) {
                at(host).versions().onRead(now_);
            }
        }
    }
    void cutFromStore(int host) { cutFromStore_.insert(host); }

    /// The host has read the records of the store.
    void record(int host, const std::vector<std::string> &versions)
    {
        VersionRecord record;
        record.versions.insert(versions.begin(), versions.end());
        at(host).versions().setRecord(S, record);
        at(host).versions().onRecordsRead();
    }

    /// Starts all hosts again. They read the list, and the record if there is one.
    void startAll(const std::vector<std::string> &listed,
                  const std::optional<std::vector<std::string>> &recorded)
    {
        for (int host = 0; host < size(); ++host) {
            start(host);
            list(host, listed);
            if (recorded) {
                record(host, *recorded);
            }
        }
    }

private:
    static std::size_t index(int host) { return static_cast<std::size_t>(host); }

    void deliver(const HostId &from, const HostId &to, std::function<void()> arrive)
    {
        ++sent_;
        const bool isLost = std::uniform_real_distribution<>(0.0, 1.0)(random_) < loss_;
        const bool isCut = side_.count(from) != side_.count(to);
        if (isLost || isCut || deaf_.count(from) > 0 || deaf_.count(to) > 0) {
            return;
        }
        const std::chrono::microseconds delay(500 + random_() % 3000);
        queue_.emplace(now_ + delay, std::move(arrive));
    }

    double loss_;
    std::mt19937_64 random_;
    Instant now_ = Start;
    std::vector<HostPlace> places_;
    std::map<HostId, std::unique_ptr<StreamOrigins>> hosts_;
    std::set<HostId> deaf_;
    std::set<int> cutFromStore_;
    std::set<HostId> side_;
    std::multimap<Instant, std::function<void()>> queue_;
    std::size_t sent_ = 0;
};

constexpr int Domains = 3;

struct FleetCase
{
    const char *name;
    int hosts;
    double loss;
    /// What happens between the beginning of a stream at one host and its resumption at another.
    void (*between)(SimulatedFleet &fleet, int began, int asked);
    /// What happens before it begins.
    void (*before)(SimulatedFleet &fleet, int began, int asked);
    double found; ///< the least share of the streams that go on
};

void nothing(SimulatedFleet &, int, int) {}

void killTheFirst(SimulatedFleet &fleet, int began, int)
{
    fleet.kill(began);
}

void restartTheAsked(SimulatedFleet &fleet, int began, int asked)
{
    fleet.kill(began);
    fleet.start(asked);
}

void killADomain(SimulatedFleet &fleet, int began, int asked)
{
    for (int host = 0; host < fleet.size(); ++host) {
        if (host != asked && host % Domains == began % Domains) {
            fleet.kill(host);
        }
    }
}

void cutTheDomain(SimulatedFleet &fleet, int, int asked)
{
    std::set<int> side;
    for (int host = asked % Domains; host < fleet.size(); host += Domains) {
        side.insert(host);
    }
    fleet.partition(side);
}

void cutOffTheFirst(SimulatedFleet &fleet, int began, int)
{
    fleet.partition({began});
}

void killAThird(SimulatedFleet &fleet, int began, int asked)
{
    for (int host = 0; host < fleet.size(); ++host) {
        if (host != began && host != asked && fleet.random(3) == 0) {
            fleet.kill(host);
        }
    }
}

const FleetCase FleetCases[] = {
        {"Small", 6, 0.0, nothing, nothing, 1.0},
        {"Large", 195, 0.0, nothing, nothing, 1.0},
        {"SmallWithLoss", 6, 0.1, killTheFirst, nothing, 0.97},
        {"LargeWithLoss", 195, 0.1, killTheFirst, nothing, 0.97},
        {"FirstHostIsKilled", 6, 0.0, killTheFirst, nothing, 1.0},
        {"FirstHostIsKilledInALargeFleet", 195, 0.0, killTheFirst, nothing, 1.0},
        {"AskedHostIsRestarted", 6, 0.0, restartTheAsked, nothing, 1.0},
        {"DomainIsKilled", 6, 0.0, killADomain, nothing, 1.0},
        {"DomainIsKilledInALargeFleet", 195, 0.0, killADomain, nothing, 1.0},
        {"DomainIsCutOff", 6, 0.0, cutTheDomain, nothing, 1.0},
        {"DomainIsCutOffInALargeFleet", 195, 0.0, cutTheDomain, nothing, 0.9},
        {"ThirdOfTheHostsIsGone", 195, 0.0, killTheFirst, killAThird, 0.97},
        // Nobody can know where these streams began.
        {"FirstHostWasCutOffBefore", 6, 0.0, nothing, cutOffTheFirst, 0.0},
};

class StreamOriginsInFleets : public testing::TestWithParam<FleetCase>
{};

// Guards against streams that go on at another software version, or don't go on though they could,
// after the host that began them is gone.
TEST_P(StreamOriginsInFleets, AreFoundAndNeverWrong)
{
    const FleetCase &row = GetParam();
    constexpr int Streams = 120;
    SimulatedFleet fleet(row.hosts, Domains, row.loss, 7);
    int found = 0;
    int wrong = 0;
    int silent = 0;
    for (int i = 0; i < Streams; ++i) {
        const int began = fleet.random(fleet.size());
        const int asked = (began + 1 + fleet.random(fleet.size() - 1)) % fleet.size();
        const RequestId stream(fmt::format("r{}", i));
        const SoftwareVersion version(i % 2 == 0 ? "v1" : "v2");
        row.before(fleet, began, asked);
        fleet.at(began).onStreamBegan(S, stream, version, fleet.now());
        fleet.run(std::chrono::milliseconds(250));
        row.between(fleet, began, asked);
        std::optional<StreamOrigin> origin;
        fleet.at(asked).find(S, stream, fleet.now(),
                             [&origin](const StreamOrigin &told) { origin = told; });
        fleet.run(StreamOrigins::QueryTimeout + std::chrono::milliseconds(5));
        const bool isKnown = origin && origin->source != OriginSource::Unknown;
        found += isKnown ? 1 : 0;
        wrong += isKnown && origin->version != version ? 1 : 0;
        silent += origin ? 0 : 1;
        fleet.heal();
    }
    EXPECT_EQ(wrong, 0);
    EXPECT_EQ(silent, 0);
    EXPECT_GE(found, row.found * Streams);
}

INSTANTIATE_TEST_SUITE_P(Rows, StreamOriginsInFleets, testing::ValuesIn(FleetCases),
                         [](const auto &row) { return row.param.name; });

constexpr Interval Span = VersionHistory::RemovedVersionSpan + LongestStream;

/// Makes each host know that the service had one version for long enough.
void settleAt(SimulatedFleet &fleet, const std::string &version)
{
    for (int host = 0; host < fleet.size(); ++host) {
        fleet.at(host).versions().onGap(fleet.now());
        fleet.list(host, {version});
    }
    fleet.run(Span);
    for (int host = 0; host < fleet.size(); ++host) {
        fleet.list(host, {version});
    }
}

StreamOrigin find(SimulatedFleet &fleet, int host, const std::string &stream)
{
    StreamOrigin found;
    fleet.at(host).find(S, RequestId(stream), fleet.now(),
                        [&found](const StreamOrigin &origin) { found = origin; });
    // Those that hear the store go on reading it.
    fleet.run(StreamOrigins::QueryTimeout);
    fleet.readAgain();
    fleet.run(StreamOrigins::ListTimeout + std::chrono::milliseconds(5));
    return found;
}

TEST(StreamOrigins, NothingIsSentWhileAServiceHasOneVersion)
{
    SimulatedFleet fleet(6, Domains, 0.0, 1);
    settleAt(fleet, "v1");
    fleet.at(0).onStreamBegan(S, RequestId("r"), SoftwareVersion("v1"), fleet.now());
    fleet.run(std::chrono::milliseconds(200));
    EXPECT_EQ(fleet.sent(), 0U);
    fleet.kill(0);
    const StreamOrigin origin = find(fleet, 3, "r");
    EXPECT_EQ(origin.source, OriginSource::SoleVersion);
    EXPECT_EQ(origin.version, SoftwareVersion("v1"));
}

struct ViewCase
{
    const char *name;
    void (*change)(SimulatedFleet &fleet); ///< after all had one version; host 3 is asked
    OriginSource source;
    OriginSource unnamed; ///< of a stream whose caller doesn't name it
};

class StreamsWithoutRecord : public testing::TestWithParam<ViewCase>
{};

const ViewCase ViewCases[] = {
        {"OneVersion", [](SimulatedFleet &) {}, OriginSource::SoleVersion,
         OriginSource::SoleVersion},
        // Guards against refusing all streams at a host that has just started.
        {"AskedHostHasJustStarted", [](SimulatedFleet &fleet) { fleet.start(3); },
         OriginSource::SoleVersion, OriginSource::SoleVersion},
        {"AllHostsHaveJustStarted",
         [](SimulatedFleet &fleet) {
             for (int host = 0; host < fleet.size(); ++host) {
                 fleet.start(host);
             }
         },
         OriginSource::Unknown, OriginSource::Unknown},
        // Guards against a stream at a version that the asked host hasn't read of yet.
        {"OthersSeeANewVersion",
         [](SimulatedFleet &fleet) {
             for (const int host : {0, 1, 2, 4, 5}) {
                 fleet.list(host, {"v1", "v2"});
             }
         },
         OriginSource::Unknown, OriginSource::Unknown},
        {"AskedHostSeesANewVersion",
         [](SimulatedFleet &fleet) {
             fleet.list(3, {"v1", "v2"});
         },
         OriginSource::Unknown, OriginSource::Unknown},
        // Guards against an asked host that can't hear the store or the other hosts.
        {"AskedHostIsCutOff",
         [](SimulatedFleet &fleet) {
             fleet.record(3, {"v1"});
             fleet.partition({3});
             fleet.cutFromStore(3);
             fleet.run(std::chrono::seconds(3));
         },
         OriginSource::Unknown, OriginSource::Unknown},
        // Guards against a stream at an old version, of a host that was out of step for a moment
        // while endpoints of a new one were listed.
        {"AskedHostIsCutOffForAMoment",
         [](SimulatedFleet &fleet) {
             fleet.record(3, {"v1"});
             fleet.partition({3});
             fleet.cutFromStore(3);
             fleet.run(std::chrono::milliseconds(1500));
             for (const int host : {0, 1, 2, 4, 5}) {
                 fleet.list(host, {"v1", "v2"});
             }
         },
         OriginSource::Unknown, OriginSource::Unknown},
        // Guards against the same where a host that is out of step as well answers.
        {"TwoHostsAreCutOffForAMoment",
         [](SimulatedFleet &fleet) {
             for (const int host : {3, 4}) {
                 fleet.record(host, {"v1"});
                 fleet.cutFromStore(host);
             }
             fleet.partition({3, 4});
             fleet.run(std::chrono::milliseconds(1500));
             for (const int host : {0, 1, 2, 5}) {
                 fleet.list(host, {"v1", "v2"});
             }
         },
         OriginSource::Unknown, OriginSource::Unknown},
        // Guards against refusing all streams that callers don't name in an outage of the store.
        {"AllHostsAreCutFromTheStore",
         [](SimulatedFleet &fleet) {
             fleet.record(3, {"v1"});
             for (int host = 0; host < fleet.size(); ++host) {
                 fleet.cutFromStore(host);
             }
             fleet.run(std::chrono::seconds(3));
         },
         OriginSource::Unknown, OriginSource::SoleVersion},
        {"AskedHostHearsTheStoreAlone", [](SimulatedFleet &fleet) { fleet.partition({3}); },
         OriginSource::SoleVersion, OriginSource::SoleVersion},
        // Guards against streams that go on at a new version, after all hosts were killed, since
        // none of them has seen the version that left before.
        {"AllHostsHaveStartedAndReadTheList",
         [](SimulatedFleet &fleet) { fleet.startAll({"v1"}, std::nullopt); }, OriginSource::Unknown,
         OriginSource::Unknown},
        {"AllHostsHaveStartedAndTheRecordNamesAnotherVersion",
         [](SimulatedFleet &fleet) { fleet.startAll({"v2"}, std::vector<std::string>{"v1"}); },
         OriginSource::Unknown, OriginSource::Unknown},
        {"AllHostsHaveStartedAndTheRecordNamesTwoVersions",
         [](SimulatedFleet &fleet) {
             fleet.startAll({"v2"}, std::vector<std::string>{"v1", "v2"});
         },
         OriginSource::Unknown, OriginSource::Unknown},
        {"AllHostsHaveStartedAndTheServiceHasNoRecord",
         [](SimulatedFleet &fleet) { fleet.startAll({"v1"}, std::vector<std::string>{}); },
         OriginSource::Unknown, OriginSource::Unknown},
        // Guards against refusing all streams that callers don't name, while there has been no
        // other version.
        {"AllHostsHaveStartedAndTheRecordNamesOneVersion",
         [](SimulatedFleet &fleet) { fleet.startAll({"v1"}, std::vector<std::string>{"v1"}); },
         OriginSource::Unknown, OriginSource::SoleVersion},
        // Guards against a host that has read the list before a new version was listed.
        {"AskedHostIsBehindTheOthers",
         [](SimulatedFleet &fleet) {
             fleet.startAll({"v1"}, std::vector<std::string>{"v1"});
             fleet.list(1, {"v2"});
         },
         OriginSource::Unknown, OriginSource::Unknown},
};

TEST_P(StreamsWithoutRecord, GoOnOnlyIfThereWasNoOtherVersion)
{
    SimulatedFleet fleet(6, Domains, 0.0, 1);
    settleAt(fleet, "v1");
    GetParam().change(fleet);
    EXPECT_EQ(find(fleet, 3, "r").source, GetParam().source);
    EXPECT_EQ(find(fleet, 3, "").source, GetParam().unnamed);
}

INSTANTIATE_TEST_SUITE_P(Rows, StreamsWithoutRecord, testing::ValuesIn(ViewCases),
                         [](const auto &row) { return row.param.name; });

TEST(StreamOrigins, RecordsExpireAndAreBounded)
{
    StreamOrigins origins{DomainId("d")};
    origins.setLongestStream(LongestStream);
    const Instant expiry = Start + LongestStream + StreamOrigins::ResumptionWindow;
    for (std::size_t i = 0; i < StreamOrigins::MaxRecords + 10; ++i) {
        origins.onRecord({i, SoftwareVersion("v1")}, Start);
    }
    EXPECT_LE(origins.recordCount(), StreamOrigins::MaxRecords);
    origins.onRecord({1, SoftwareVersion("v1")}, expiry);
    EXPECT_EQ(origins.recordCount(), 1U);
}

// Guards against a stream that is refused because it goes on for longer than a record lives.
TEST(StreamOrigins, ResumptionRenewsARecord)
{
    StreamOrigins origins{DomainId("d")};
    origins.setLongestStream(LongestStream);
    const Interval lifetime = LongestStream + StreamOrigins::ResumptionWindow;
    const RequestId stream("r");
    origins.onStreamBegan(S, stream, SoftwareVersion("v1"), Start);
    origins.onStreamBegan(S, stream, SoftwareVersion("v1"), Start + lifetime / 2);
    origins.tick(Start + lifetime);
    const OriginQuery query{streamKey(S, stream), S};
    EXPECT_TRUE(origins.respond(query, Start + lifetime).recorded);
    EXPECT_FALSE(origins.respond(query, Start + 2 * lifetime).recorded);
}

// Guards against a stream that goes on at another service, to which its route was moved.
TEST(StreamOrigins, AStreamOfAnotherServiceIsAnotherOne)
{
    StreamOrigins origins{DomainId("d")};
    origins.setLongestStream(LongestStream);
    origins.onStreamBegan(S, RequestId("r"), SoftwareVersion("v1"), Start);
    StreamOrigin found;
    origins.find(ServiceId("t"), RequestId("r"), Start,
                 [&found](const StreamOrigin &origin) { found = origin; });
    EXPECT_EQ(found.source, OriginSource::Unknown);
}

} // namespace
