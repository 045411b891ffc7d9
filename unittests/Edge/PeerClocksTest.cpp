#include "lib/Edge/PeerClocks.h"

#include <map>

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

using boost::asio::ip::udp;

const Instant Now{std::chrono::hours(1)};

Incarnation processOf(int host)
{
    return Incarnation(fmt::format("{:08}", host));
}

std::vector<Peer> peersIn(int hosts, int domains)
{
    std::vector<Peer> peers;
    for (int i = 0; i < hosts; ++i) {
        const udp::endpoint address(boost::asio::ip::address_v4::loopback(),
                                    static_cast<uint16_t>(7000 + i));
        peers.push_back({HostId(fmt::format("h{}", i)), DomainId(fmt::format("d{}", i % domains)),
                         processOf(i), address, address});
    }
    return peers;
}

StoreRow batchOf(int host, Millis sinceBoot)
{
    return encodeBatch({processOf(host), sinceBoot, {}});
}

struct AgeCase
{
    const char *name;
    Interval responseAge;
    Millis expectedClock;
};

class PeerClocksResponseAge : public testing::TestWithParam<AgeCase>
{};

// Guards against using clock readings from old batches when newer responses are available: the
// bound on the end of a killed process would grow by seconds, and its unused tokens would count as
// spent.
TEST_P(PeerClocksResponseAge, PrefersUnexpiredResponses)
{
    PeerClocks clocks{HostId("self")};
    clocks.setPeers(peersIn(1, 1));
    clocks.onBatch(processOf(0), batchOf(0, Millis(1000)), Now);
    clocks.onResponse({{}, processOf(0), Millis(2000), Millis(0)}, Now - GetParam().responseAge);
    const std::vector<PeerClock> named = clocks.newestClocks(Now);
    ASSERT_EQ(named.size(), 1U);
    EXPECT_EQ(named[0].sinceBoot, GetParam().expectedClock);
}

const AgeCase AgeCases[] = {{"NewResponse", std::chrono::milliseconds(0), Millis(2000)},
                            {"UnexpiredResponse", std::chrono::milliseconds(300), Millis(2000)},
                            {"ExpiredResponse", std::chrono::seconds(2), Millis(1000)}};

INSTANTIATE_TEST_SUITE_P(Rows, PeerClocksResponseAge, testing::ValuesIn(AgeCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct FleetCase
{
    const char *name;
    int hosts;
    int domains;
    std::size_t expectedQueried;
    std::size_t expectedNamed;
};

class PeerClocksSelection : public testing::TestWithParam<FleetCase>
{};

// Guards against relying on a single failure domain, whose failure would leave no peer to
// query about the end of a process.
TEST_P(PeerClocksSelection, LimitsPeersPerFailureDomain)
{
    const std::vector<Peer> peers = peersIn(GetParam().hosts, GetParam().domains);
    PeerClocks clocks{HostId("self")};
    clocks.setPeers(peers);
    EXPECT_EQ(clocks.peersToQuery(Now).size(), GetParam().expectedQueried);
    EXPECT_TRUE(clocks.peersToQuery(Now).empty());
    for (int i = 0; i < GetParam().hosts; ++i) {
        clocks.onResponse({{}, processOf(i), Millis(2000), Millis(0)}, Now);
    }
    const std::vector<PeerClock> named = clocks.newestClocks(Now);
    EXPECT_EQ(named.size(), GetParam().expectedNamed);
    std::map<int, int> domains;
    for (const PeerClock &clock : named) {
        ++domains[(clock.address.port() - 7000) % GetParam().domains];
    }
    for (const auto &[domain, count] : domains) {
        EXPECT_LE(count, 2);
    }
}

const FleetCase FleetCases[] = {
        {"SmallFleet", 7, 3, 6, 5}, {"LargeFleet", 194, 6, 6, 5}, {"SingleDomain", 20, 1, 2, 2}};

INSTANTIATE_TEST_SUITE_P(Rows, PeerClocksSelection, testing::ValuesIn(FleetCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
