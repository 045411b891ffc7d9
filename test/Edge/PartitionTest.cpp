/// Hosts that are partitioned from all endpoints, while callers, the store and the other hosts
/// still reach them.

#include <csignal>
#include <map>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "PartitionedFleet.h"

using namespace sequoiagate;
using soak::RelayCut;

namespace {

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
