/// Streams of a service whose endpoints run several software versions, taken up again after they
/// broke off.

#include <csignal>
#include <map>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"
#include "test/Support/Relay.h"

using namespace sequoiagate;

namespace {

constexpr int Events = 80;

/// What a caller read of one stream over all its attempts.
struct StreamOutcome
{
    std::set<std::string> versions;
    int events = 0;
    bool broke = false;  ///< it was taken up at least once
    bool wentOn = false; ///< an event came after that
    bool whole = false;
    std::set<int> refusals; ///< statuses without an event
};

/// A caller that takes its stream up at the next host when it breaks off. Not thread safe.
class StreamCaller
{
public:
    /// \param isNamed whether it says which request brought its first event
    StreamCaller(std::string name, std::function<std::string(int attempt)> host, int maxAttempts,
                 bool isNamed)
        : name_(std::move(name)), host_(std::move(host)), maxAttempts_(maxAttempts),
          isNamed_(isNamed)
    {}

    StreamOutcome run(std::atomic<int> &begun)
    {
        for (int attempt = 0; attempt < maxAttempts_ && !outcome_.whole; ++attempt) {
            const int before = outcome_.events;
            outcome_.broke = outcome_.broke || before > 0;
            const int status = send(attempt, begun);
            outcome_.wentOn = outcome_.wentOn || (before > 0 && outcome_.events > before);
            if (outcome_.events == before && status != 0) {
                outcome_.refusals.insert(status);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return outcome_;
    }

private:
    int send(int attempt, std::atomic<int> &begun)
    {
        httplib::Request request;
        request.method = "POST";
        request.path = "/resume/a";
        const std::string id = fmt::format("{}-{}", name_, attempt);
        request.headers = {{"Host", "h.example"},
                           {"Request-Id", id},
                           {"Authorization", "Token key"},
                           {"Deadline-Ms", "4000"},
                           {"X-Events", std::to_string(Events)}};
        if (outcome_.events > 0) {
            request.headers.emplace("Last-Event-Id", std::to_string(outcome_.events - 1));
        }
        if (outcome_.events > 0 && isNamed_) {
            request.headers.emplace("Resumes", firstId_);
        }
        std::string rest;
        request.content_receiver = [&](const char *bytes, std::size_t size, uint64_t, uint64_t) {
            rest.append(bytes, size);
            for (std::size_t end = rest.find("\n\n"); end != std::string::npos;
                 end = rest.find("\n\n")) {
                takeEvent(rest.substr(0, end), id, begun);
                rest.erase(0, end + 2);
            }
            return true;
        };
        httplib::Client client("http://" + host_(attempt));
        client.set_read_timeout(std::chrono::seconds(10));
        const httplib::Result result = client.send(request);
        outcome_.whole = result && result->status == 200 && outcome_.events == Events;
        return result ? result->status : 0;
    }

    void takeEvent(const std::string &event, const std::string &id, std::atomic<int> &begun)
    {
        const std::string expected = fmt::format("id: {}\ndata: ", outcome_.events);
        if (event.rfind(expected, 0) != 0) {
            return;
        }
        if (outcome_.events++ == 0) {
            firstId_ = id;
            ++begun;
        }
        const std::string data = event.substr(expected.size());
        outcome_.versions.insert(data.substr(0, data.find(' ')));
    }

    std::string name_;
    std::function<std::string(int)> host_;
    int maxAttempts_;
    bool isNamed_;
    std::string firstId_;
    StreamOutcome outcome_;
};

/// A fleet before three endpoints each of two software versions.
class VersionedFleet : public EdgeProcess
{
protected:
    static constexpr int Hosts = 4;
    static constexpr int EndpointsPerVersion = 3;
    static constexpr int Streams = 32;

    VersionedFleet()
    {
        store_.put("keyed.servers", endpoint_.id(), "");
        for (int i = 0; i < 2 * EndpointsPerVersion; ++i) {
            endpoints_.push_back(std::make_unique<EndpointStandin>(
                    ip(210 + i), fmt::format("v-{}", i), i < EndpointsPerVersion ? "v1" : "v2"));
        }
    }
    ~VersionedFleet() override { edges_.clear(); }

    void listVersion(const std::string &version, const std::string &state = "ready")
    {
        for (const auto &endpoint : endpoints_) {
            if (endpoint->version() == version) {
                store_.put("keyed.servers", endpoint->id(),
                           nlohmann::json({{"backend", "s"},
                                           {"address", endpoint->address()},
                                           {"zone", "d1"},
                                           {"slots", 64},
                                           {"state", state},
                                           {"version", version},
                                           {"born", 1}})
                                   .dump());
            }
        }
    }

    void configure(int maxAttempts)
    {
        nlohmann::json config = nlohmann::json::parse(configRow(2, 10'000'000));
        nlohmann::json resumable = route("resume", "streaming");
        resumable["resumable"] = true;
        resumable["max-attempts"] = maxAttempts;
        resumable["timeout-ms"] = 5000;
        config["routes"].push_back(resumable);
        store_.put("keyed.op", "config", config.dump());
    }

    void startHost(int host)
    {
        nlohmann::json values = settings(host);
        values["domain"] = fmt::format("d{}", host % 2);
        if (storeAddresses_.count(host) > 0) {
            values["store"] = storeAddresses_.at(host);
        }
        edges_[host] = std::make_unique<Process>(scratch_, "sequoia-edge",
                                                 fmt::format("edge{}-{}", host, ++starts_), values);
        ASSERT_TRUE(eventually([host] { return status(post(host, "first", 1)) == 200; }));
    }

    /// Removes the entries of \p version, whose endpoints go on for a while.
    void delistVersion(const std::string &version)
    {
        for (const auto &endpoint : endpoints_) {
            if (endpoint->version() == version) {
                store_.put("keyed.servers", endpoint->id(), "");
            }
        }
    }

    /// Waits until the store's record of the service's versions holds \p version.
    bool isRecorded(const std::string &version)
    {
        return eventually([this, &version] {
            const auto rows = store_.newest(OwnTopic);
            const auto row = rows.find("versions/s");
            return row != rows.end()
                   && row->second.find("\"" + version + "\"") != std::string::npos;
        });
    }

    /// Ends all hosts at once, and starts them again after \p meanwhile.
    void restartAllHosts(const std::function<void()> &meanwhile)
    {
        for (int host = 1; host <= Hosts; ++host) {
            killHost(host);
        }
        meanwhile();
        for (int host = 1; host <= Hosts; ++host) {
            edges_.at(host).reset();
            startHost(host);
        }
    }

    void killHost(int host) { edges_.at(host)->signal(SIGKILL); }

    /// Breaks off the streams at the \p n th endpoint of each version.
    void breakStreams(int n)
    {
        endpoints_[static_cast<std::size_t>(n)]->breakStreams();
        endpoints_[static_cast<std::size_t>(n + EndpointsPerVersion)]->breakStreams();
    }

    static void pause(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

    /// Runs streams that go to the hosts in turn, each attempt to the next one, and \p fault
    /// once all of them have begun.
    std::vector<StreamOutcome> play(const std::function<void()> &fault, int maxAttempts = 5,
                                    bool isNamed = true)
    {
        std::vector<StreamOutcome> outcomes(Streams);
        std::atomic<int> begun{0};
        std::vector<std::thread> callers;
        for (int i = 0; i < Streams; ++i) {
            callers.emplace_back([&, i] {
                const auto host = [i](int attempt) {
                    return fmt::format("{}:{}", ip(1 + (i + attempt) % Hosts), CallerPort);
                };
                outcomes[static_cast<std::size_t>(i)] =
                        StreamCaller(fmt::format("s{}", i), host, maxAttempts, isNamed).run(begun);
            });
        }
        EXPECT_TRUE(eventually([&begun] { return begun == Streams; }));
        fault();
        for (std::thread &caller : callers) {
            caller.join();
        }
        return outcomes;
    }

    std::vector<std::unique_ptr<EndpointStandin>> endpoints_;
    std::map<int, std::unique_ptr<Process>> edges_;
    std::map<int, std::string> storeAddresses_; ///< of hosts that reach it over a relay
    int starts_ = 0;
};

/// Attempts that last until hosts that were all killed are back.
constexpr int UntilHostsAreBack = 60;

struct FaultCase
{
    const char *name;
    int maxAttempts;                  ///< of one caller's request, at endpoints
    std::vector<std::string> atStart; ///< versions that are listed when streams begin
    void (*play)(VersionedFleet &);
    bool goOn; ///< whether two endpoints of each stream's version serve on
    int callerAttempts = 5;
    bool isNamed = true; ///< whether callers say which request brought the first event
};

class StreamVersions : public VersionedFleet, public testing::WithParamInterface<FaultCase>
{
public:
    static StreamVersions &of(VersionedFleet &fleet)
    {
        return static_cast<StreamVersions &>(fleet);
    }

    static void endpointsBreakOff(VersionedFleet &fleet) { of(fleet).breakStreams(0); }

    static void twice(VersionedFleet &fleet)
    {
        of(fleet).breakStreams(0);
        pause(std::chrono::milliseconds(400));
        of(fleet).breakStreams(1);
        pause(std::chrono::milliseconds(100));
        of(fleet).breakStreams(0);
    }

    static void hostsAreKilled(VersionedFleet &fleet)
    {
        of(fleet).killHost(1);
        of(fleet).killHost(2);
    }

    static void hostIsKilledAndRestarted(VersionedFleet &fleet)
    {
        of(fleet).killHost(1);
        of(fleet).edges_.at(1).reset();
        of(fleet).startHost(1);
        of(fleet).breakStreams(0);
    }

    static void hostStops(VersionedFleet &fleet)
    {
        of(fleet).edges_.at(1)->signal(SIGTERM);
        of(fleet).breakStreams(0);
        of(fleet).breakStreams(1);
    }

    static void versionAppears(VersionedFleet &fleet)
    {
        of(fleet).listVersion("v2");
        pause(std::chrono::milliseconds(350));
        of(fleet).breakStreams(0);
        of(fleet).breakStreams(1);
    }

    static void versionIsReplaced(VersionedFleet &fleet)
    {
        of(fleet).listVersion("v2");
        of(fleet).listVersion("v1", "draining");
        pause(std::chrono::milliseconds(350));
        for (int i = 0; i < EndpointsPerVersion; ++i) {
            of(fleet).breakStreams(i);
        }
    }

    static void allHostsAreKilledAfterARelease(VersionedFleet &fleet)
    {
        of(fleet).listVersion("v2");
        EXPECT_TRUE(of(fleet).isRecorded("v2"));
        of(fleet).delistVersion("v1");
        pause(std::chrono::milliseconds(350));
        of(fleet).restartAllHosts([] {});
    }

    static void allHostsAreKilledDuringARelease(VersionedFleet &fleet)
    {
        of(fleet).restartAllHosts([&fleet] {
            of(fleet).listVersion("v2");
            of(fleet).delistVersion("v1");
        });
    }

    static void allHostsAreKilled(VersionedFleet &fleet)
    {
        of(fleet).restartAllHosts([] {});
    }
};

// Guards against streams that hold events of two software versions.
TEST_P(StreamVersions, AreNotMixed)
{
    const FaultCase &row = GetParam();
    configure(row.maxAttempts);
    for (const std::string &version : row.atStart) {
        listVersion(version);
    }
    for (int host = 1; host <= Hosts; ++host) {
        startHost(host);
    }
    EXPECT_TRUE(isRecorded(row.atStart.back()));
    const std::vector<StreamOutcome> outcomes =
            play([this, &row] { row.play(*this); }, row.callerAttempts, row.isNamed);
    int mixed = 0;
    int broken = 0;
    int wentOn = 0;
    int whole = 0;
    for (const StreamOutcome &outcome : outcomes) {
        mixed += outcome.versions.size() > 1 ? 1 : 0;
        broken += outcome.broke ? 1 : 0;
        whole += outcome.whole ? 1 : 0;
        wentOn += outcome.broke && outcome.wentOn ? 1 : 0;
        // Whoever is told to come back elsewhere is told the truth.
        for (const int status : outcome.refusals) {
            EXPECT_TRUE(status == 503 || status == 502) << status;
        }
    }
    RecordProperty("broken", broken);
    RecordProperty("went_on", wentOn);
    EXPECT_EQ(mixed, 0);
    if (row.goOn) {
        EXPECT_GE(2 * wentOn, broken) << wentOn << " of " << broken;
        EXPECT_GE(2 * whole, Streams) << whole;
    } else {
        EXPECT_EQ(wentOn, 0);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Faults, StreamVersions,
        testing::Values(
                FaultCase{"InOneAnswer", 3, {"v1", "v2"}, &StreamVersions::endpointsBreakOff, true},
                FaultCase{
                        "AtOtherHosts", 1, {"v1", "v2"}, &StreamVersions::endpointsBreakOff, true},
                FaultCase{"Twice", 1, {"v1", "v2"}, &StreamVersions::twice, true},
                FaultCase{"HostsAreKilled", 1, {"v1", "v2"}, &StreamVersions::hostsAreKilled, true},
                FaultCase{"HostIsRestarted",
                          1,
                          {"v1", "v2"},
                          &StreamVersions::hostIsKilledAndRestarted,
                          true},
                FaultCase{"HostStops", 1, {"v1", "v2"}, &StreamVersions::hostStops, true},
                FaultCase{"VersionAppears", 1, {"v1"}, &StreamVersions::versionAppears, true},
                FaultCase{
                        "VersionIsReplaced", 1, {"v1"}, &StreamVersions::versionIsReplaced, false},
                FaultCase{"AllHostsAreKilledAfterARelease",
                          1,
                          {"v1"},
                          &StreamVersions::allHostsAreKilledAfterARelease,
                          false,
                          UntilHostsAreBack},
                FaultCase{"AllHostsAreKilledAfterAReleaseUnnamed",
                          1,
                          {"v1"},
                          &StreamVersions::allHostsAreKilledAfterARelease,
                          false,
                          UntilHostsAreBack,
                          false},
                FaultCase{"AllHostsAreKilledDuringARelease",
                          1,
                          {"v1"},
                          &StreamVersions::allHostsAreKilledDuringARelease,
                          false,
                          UntilHostsAreBack},
                FaultCase{"AllHostsAreKilledDuringAReleaseUnnamed",
                          1,
                          {"v1"},
                          &StreamVersions::allHostsAreKilledDuringARelease,
                          false,
                          UntilHostsAreBack,
                          false},
                FaultCase{"AllHostsAreKilledWithTwoVersionsUnnamed",
                          1,
                          {"v1", "v2"},
                          &StreamVersions::allHostsAreKilled,
                          false,
                          UntilHostsAreBack,
                          false},
                FaultCase{"AllHostsAreKilledWithOneVersionUnnamed",
                          1,
                          {"v1"},
                          &StreamVersions::allHostsAreKilled,
                          true,
                          UntilHostsAreBack,
                          false}),
        [](const auto &row) { return row.param.name; });

struct OutOfStepCase
{
    const char *name;
    bool isStopped; ///< or cut off from the store
};

/// A fleet of which the last host and the others don't hear each other.
class HostOutOfStep : public VersionedFleet, public testing::WithParamInterface<OutOfStepCase>
{
protected:
    static constexpr int Last = Hosts;

    HostOutOfStep()
    {
        for (int host = 1; host <= Hosts; ++host) {
            auto &link = links_.emplace_back(
                    std::make_unique<soak::TcpRelay>(loop_, ip(204), store_.address()));
            const std::string source = fmt::format("127.253.{}.{}", ::getpid() % 250, host);
            link->setSource(source);
            storeAddresses_[host] = link->address();
            store_.setView(source, [host](const std::string &, const std::string &key,
                                          const std::string &value) {
                return isOtherSide(host, key) ? withoutAddress(value) : value;
            });
        }
    }
    ~HostOutOfStep() override { edges_.clear(); }

    static bool isOtherSide(int host, const std::string &key)
    {
        const std::string prefix = "host/h";
        const bool isHost = key.rfind(prefix, 0) == 0;
        return isHost && (host == Last) != (key == prefix + std::to_string(Last));
    }

    static std::string withoutAddress(const std::string &value)
    {
        nlohmann::json row = nlohmann::json::parse(value);
        row["address"] = ip(207) + ":9";
        row["listens"] = ip(207) + ":9";
        return row.dump();
    }

    void setOutOfStep(bool isOut)
    {
        if (GetParam().isStopped) {
            edges_.at(Last)->signal(isOut ? SIGSTOP : SIGCONT);
        } else if (isOut) {
            links_.back()->setCut(soak::RelayCut::Hang);
        }
    }

    void waitUntilDraining(int host, const std::string &endpoint)
    {
        EXPECT_NO_THROW(edges_.at(host)->waitFor(
                "endpoint.changed", [&endpoint](const Process::Line &line) {
                    return line.at("endpoint") == endpoint && line.at("draining") == true;
                }));
    }

    soak::RelayLoop loop_;
    std::vector<std::unique_ptr<soak::TcpRelay>> links_;
};

// Guards against a stream that goes on at an old version, taken up at a host that was cut off or
// stood still while a new version was released.
TEST_P(HostOutOfStep, MixesNoVersions)
{
    configure(1);
    listVersion("v1");
    for (int host = 1; host <= Hosts; ++host) {
        startHost(host);
    }
    ASSERT_TRUE(isRecorded("v1"));
    pause(std::chrono::seconds(1));
    setOutOfStep(true);
    listVersion("v2");
    listVersion("v1", "draining");
    for (int host = 1; host < Last; ++host) {
        for (int i = 0; i < EndpointsPerVersion; ++i) {
            waitUntilDraining(host, endpoints_[static_cast<std::size_t>(i)]->id());
        }
    }
    constexpr int Callers = 9;
    std::vector<StreamOutcome> outcomes(Callers);
    std::atomic<int> begun{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&, i] {
            const auto host = [i](int attempt) {
                return fmt::format("{}:{}", ip(attempt == 0 ? 1 + i % (Hosts - 1) : Last),
                                   CallerPort);
            };
            outcomes[static_cast<std::size_t>(i)] =
                    StreamCaller(fmt::format("s{}", i), host, 3, false).run(begun);
        });
    }
    EXPECT_TRUE(eventually([&begun] { return begun == Callers; }));
    for (int i = 0; i < EndpointsPerVersion; ++i) {
        breakStreams(i);
    }
    setOutOfStep(false);
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const StreamOutcome &outcome : outcomes) {
        EXPECT_TRUE(outcome.broke);
        EXPECT_EQ(outcome.versions, std::set<std::string>{"v2"});
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, HostOutOfStep,
                         testing::Values(OutOfStepCase{"CutOff", false},
                                         OutOfStepCase{"Stopped", true}),
                         [](const auto &row) { return row.param.name; });

} // namespace
