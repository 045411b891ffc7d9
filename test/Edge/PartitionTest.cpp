/// Hosts that are partitioned from all endpoints, while callers, the store and the other hosts
/// still reach them.

#include <csignal>
#include <map>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"
#include "test/Support/Relay.h"

using namespace sequoiagate;
using soak::RelayCut;
using soak::RelayLoop;
using soak::TcpRelay;

namespace {

/// From when on callers of a host that was cut off are to be served.
constexpr std::chrono::seconds Settling(3);

/// A fleet of which each host reaches the endpoints and the store by relays of its own.
class PartitionedFleet : public EdgeProcess
{
protected:
    static constexpr int Hosts = 4;

    PartitionedFleet() : second_(ip(202), "e-2"), third_(ip(203), "e-3")
    {
        list(second_, "ready");
        list(third_, "ready");
        for (int host = 1; host <= Hosts; ++host) {
            connect(host);
        }
    }
    ~PartitionedFleet() override { edges_.clear(); }

    void connect(int host)
    {
        Links &links = links_[host];
        const std::string source = fmt::format("127.254.{}.{}", ::getpid() % 250, host);
        links.store = std::make_unique<TcpRelay>(loop_, ip(204), store_.address());
        links.store->setSource(source);
        for (EndpointStandin *endpoint : {&endpoint_, &second_, &third_}) {
            links.endpoints[endpoint->id()] =
                    std::make_unique<TcpRelay>(loop_, ip(204), endpoint->address());
        }
        store_.setView(source, [&links](const std::string &, const std::string &key,
                                        const std::string &value) {
            const auto relay = links.endpoints.find(key);
            if (relay == links.endpoints.end()) {
                return value;
            }
            nlohmann::json row = nlohmann::json::parse(value);
            row["address"] = relay->second->address();
            return row.dump();
        });
    }

    nlohmann::json settingsOf(int host) const
    {
        nlohmann::json values = settings(host);
        values["store"] = links_.at(host).store->address();
        values["domain"] = fmt::format("d{}", host % 2);
        return values;
    }

    void startAll()
    {
        for (int host = 1; host <= Hosts; ++host) {
            edges_[host] = std::make_unique<Process>(scratch_, "sequoia-edge",
                                                     fmt::format("edge{}", host), settingsOf(host));
        }
        for (int host = 1; host <= Hosts; ++host) {
            ASSERT_TRUE(eventually([host] { return status(post(host, "first", 1)) == 200; }));
        }
    }

    void cut(const std::set<int> &hosts, RelayCut how)
    {
        for (const int host : hosts) {
            for (const auto &[id, relay] : links_.at(host).endpoints) {
                relay->setCut(how);
            }
        }
    }

    struct Served
    {
        int served = 0;
        int sent = 0;
    };

    /// Sends requests to \p host, each of which has \p deadline, by several callers at once.
    Served call(int host, int requests, std::chrono::milliseconds deadline)
    {
        constexpr int Callers = 4;
        std::atomic<int> served{0};
        std::vector<std::thread> callers;
        for (int caller = 0; caller < Callers; ++caller) {
            callers.emplace_back([&, caller] {
                for (int i = caller; i < requests; i += Callers) {
                    served += isServed(host, fmt::format("h{}-{}-{}", host, ++lastId_, i), deadline)
                                      ? 1
                                      : 0;
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        return {served, requests};
    }

    static bool isServed(int host, const std::string &id, std::chrono::milliseconds deadline)
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(10));
        const httplib::Headers headers = {{"Host", "h.example"},
                                          {"Request-Id", id},
                                          {"Authorization", "Token key"},
                                          {"Deadline-Ms", std::to_string(deadline.count())},
                                          {"Token-Count", "1,0"}};
        return status(client.Post("/once/a", headers, "body", "text/plain")) == 200;
    }

    struct Links
    {
        std::unique_ptr<TcpRelay> store;
        std::map<std::string, std::unique_ptr<TcpRelay>> endpoints;
    };

    RelayLoop loop_;
    EndpointStandin second_;
    EndpointStandin third_;
    std::map<int, Links> links_;
    std::map<int, std::unique_ptr<Process>> edges_;
    std::atomic<int> lastId_{0};
};

struct PartitionCase
{
    const char *name;
    RelayCut how;
    std::set<int> hosts; ///< that are cut off
};

class Partition : public PartitionedFleet, public testing::WithParamInterface<PartitionCase>
{};

// Guards against failing the callers of a host that has lost its own links to the endpoints, while
// the other hosts still reach them.
TEST_P(Partition, CallersOfCutOffHostsAreServed)
{
    const PartitionCase &row = GetParam();
    static constexpr std::chrono::milliseconds Deadline(800);
    constexpr int Requests = 60;
    startAll();
    for (int host = 1; host <= Hosts; ++host) {
        call(host, Requests / 4, Deadline);
    }
    cut(row.hosts, row.how);
    const Instant cutAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < cutAt + Settling) {
        for (const int host : row.hosts) {
            call(host, 4, Deadline);
        }
    }
    Served cutOff;
    Served others;
    for (int host = 1; host <= Hosts; ++host) {
        const Served served = call(host, Requests, Deadline);
        Served &sum = row.hosts.count(host) > 0 ? cutOff : others;
        sum.served += served.served;
        sum.sent += served.sent;
    }
    EXPECT_GE(3 * cutOff.served, 2 * cutOff.sent);
    EXPECT_EQ(others.served, others.sent);
    cut(row.hosts, RelayCut::None);
    EXPECT_TRUE(eventually([this, &row] {
        const Served served = call(*row.hosts.begin(), 8, Deadline);
        return served.served == served.sent;
    }));
}

INSTANTIATE_TEST_SUITE_P(
        Cuts, Partition,
        testing::Values(PartitionCase{"OneHangs", RelayCut::Hang, {1}},
                        PartitionCase{"OneIsReset", RelayCut::Reset, {1}},
                        PartitionCase{"OneKeepsOldConnections", RelayCut::RefuseNew, {1}},
                        PartitionCase{"AllOfADomainHang", RelayCut::Hang, {1, 3}},
                        PartitionCase{"MostAreReset", RelayCut::Reset, {1, 2, 3}}),
        [](const auto &row) { return row.param.name; });

/// A host that is cut off, and a request of its caller that another host relays to an endpoint,
/// which holds the answer back.
class RelayedRequest : public PartitionedFleet
{
protected:
    void beginRequest()
    {
        startAll();
        cut({1}, RelayCut::Reset);
        // Until the host knows that it is partitioned, and its callers are served.
        ASSERT_TRUE(eventually([this] {
            return isServed(1, "settling", std::chrono::seconds(2))
                   && count(1, "path.partitioned") > 0;
        }));
        for (EndpointStandin *endpoint : {&endpoint_, &second_, &third_}) {
            endpoint->hold(true);
        }
        const std::size_t before = relayed(2).size() + relayed(3).size() + relayed(4).size();
        caller_ = std::thread([this] { status_ = status(post(1, "held", 1)); });
        ASSERT_TRUE(eventually([this, before] {
            return relayed(2).size() + relayed(3).size() + relayed(4).size() > before;
        }));
    }
    ~RelayedRequest() override { release(); }

    void release()
    {
        for (EndpointStandin *endpoint : {&endpoint_, &second_, &third_}) {
            endpoint->hold(false);
        }
        if (caller_.joinable()) {
            caller_.join();
        }
    }

    std::size_t count(int host, const std::string &event)
    {
        std::size_t found = 0;
        for (const Process::Line &line : edges_.at(host)->lines()) {
            found += line.value("event", "") == event ? 1 : 0;
        }
        return found;
    }

    /// The endpoints to which \p host has relayed requests, in order.
    std::vector<std::string> relayed(int host)
    {
        std::vector<std::string> endpoints;
        for (const Process::Line &line : edges_.at(host)->lines()) {
            if (line.value("event", "") == "relay.request" && line.value("status", 0) == 200) {
                endpoints.push_back(line.value("endpoint", ""));
            }
        }
        return endpoints;
    }

    std::thread caller_;
    std::atomic<int> status_{-1};
};

// Guards against a planned stop of a relay that cuts off what it relays.
TEST_F(RelayedRequest, OutlastsPlannedStopsOfAllRelays)
{
    beginRequest();
    for (int host = 2; host <= Hosts; ++host) {
        edges_.at(host)->signal(SIGTERM);
    }
    for (int host = 2; host <= Hosts; ++host) {
        edges_.at(host)->waitFor("process.draining");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    release();
    EXPECT_EQ(status_, 200);
    for (int host = 2; host <= Hosts; ++host) {
        EXPECT_EQ(edges_.at(host)->wait(), 0);
    }
}

// Guards against a second run of a request whose relay died, and against calling it not run.
TEST_F(RelayedRequest, FailsOnceIfItsRelayIsKilled)
{
    beginRequest();
    const int runs = endpoint_.runs() + second_.runs() + third_.runs();
    for (int host = 2; host <= Hosts; ++host) {
        edges_.at(host)->kill();
    }
    ASSERT_TRUE(eventually([this] { return status_ >= 0; }));
    EXPECT_EQ(status_, 502);
    release();
    EXPECT_EQ(endpoint_.runs() + second_.runs() + third_.runs(), runs);
}

} // namespace
