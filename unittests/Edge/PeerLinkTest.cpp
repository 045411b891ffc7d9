/// The datagrams that peers exchange, tested over loopback.

#include <cstdio>
#include <limits>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Base/BootClock.h"
#include "sequoiagate/Edge/PeerLink.h"

using namespace sequoiagate;

namespace {

using boost::asio::ip::udp;

const udp::endpoint AnyPort(boost::asio::ip::address_v4::loopback(), 0);

class PeerLinkTest : public testing::Test
{
protected:
    PeerLinkTest()
        : file_(std::tmpfile()),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("self")}, file_),
          peerSocket_(io_, AnyPort), link_(io_, AnyPort, Incarnation("self"), DomainId("d"), log_,
                                           {[this](const TokenRequest &request) {
                                                requests_.push_back(request);
                                                return uint64_t{0};
                                            },
                                            [](const WorkspaceId &) {
                                                return HeldTokens{5, 7, false};
                                            },
                                            [](const WorkspaceId &, uint64_t) {},
                                            [this](const ClockResponse &response) {
                                                responses_.push_back(response);
                                            }})
    {}
    ~PeerLinkTest() override { std::fclose(file_); }

    /// Waits for a datagram from the link and \returns it.
    nlohmann::json nextDatagram()
    {
        std::array<char, 2048> buffer{};
        const std::size_t bytes =
                peerSocket_.receive_from(boost::asio::buffer(buffer), linkAddress_);
        return nlohmann::json::parse(std::string_view(buffer.data(), bytes));
    }

    /// Sends \p message to the link and runs its receive handler.
    void deliver(const nlohmann::json &message)
    {
        peerSocket_.send_to(boost::asio::buffer(message.dump()), linkAddress_);
        io_.restart();
        io_.run_one();
    }

    static nlohmann::json clockResponseTo(const nlohmann::json &nextDatagram)
    {
        return {{"kind", "clocks"},
                {"from", "peer"},
                {"to", nextDatagram.at("from")},
                {"about", nextDatagram.at("about")},
                {"boot", "b"},
                {"since_boot_ms", 700},
                {"time_ms", 90'000},
                {"asked_ms", nextDatagram.at("asked_ms")}};
    }

    boost::asio::io_context io_;
    std::FILE *file_;
    EventLog log_;
    udp::socket peerSocket_; ///< of the simulated peer
    PeerLink link_;
    udp::endpoint linkAddress_;
    std::vector<ClockResponse> responses_;
    std::vector<TokenRequest> requests_;
};

TEST_F(PeerLinkTest, PassesOnClockResponses)
{
    link_.requestClock(peerSocket_.local_endpoint(), Millis(40));
    deliver(clockResponseTo(nextDatagram()));
    ASSERT_EQ(responses_.size(), 1U);
    EXPECT_EQ(responses_[0].address, peerSocket_.local_endpoint());
    EXPECT_EQ(responses_[0].process, Incarnation("peer"));
    EXPECT_EQ(responses_[0].sinceBoot, Millis(700));
    EXPECT_EQ(responses_[0].requestedAfterStart, Millis(40));
}

// Guards against overspending a budget. A process requested a peer's clock and was killed, and the
// response arrived at the next process on the address. The clock had been read before that process
// started, so the time since the last batch was underestimated and used tokens were returned.
TEST_F(PeerLinkTest, IgnoresResponseToPreviousProcess)
{
    link_.requestClock(peerSocket_.local_endpoint(), Millis(40));
    nlohmann::json late = clockResponseTo(nextDatagram());
    late["to"] = "the process before";
    deliver(late);
    EXPECT_TRUE(responses_.empty());
}

struct OddClockCase
{
    const char *name;
    int64_t sinceBootMillis;
    Millis expected;
};

class OddClocks : public PeerLinkTest, public testing::WithParamInterface<OddClockCase>
{};

// Guards against a peer's clock that overflows, by which the tokens that an ended process used
// count as unused.
TEST_P(OddClocks, AreBounded)
{
    link_.requestClock(peerSocket_.local_endpoint(), Millis(40));
    nlohmann::json response = clockResponseTo(nextDatagram());
    response["since_boot_ms"] = GetParam().sinceBootMillis;
    deliver(response);
    ASSERT_EQ(responses_.size(), 1U);
    EXPECT_EQ(responses_[0].sinceBoot, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, OddClocks,
        testing::Values(OddClockCase{"Largest", std::numeric_limits<int64_t>::max(), MaxSinceBoot},
                        OddClockCase{"BeyondNanoseconds", 9'300'000'000'000, MaxSinceBoot},
                        OddClockCase{"Smallest", std::numeric_limits<int64_t>::min(), Millis(0)}),
        [](const auto &row) { return row.param.name; });

TEST_F(PeerLinkTest, RespondsToClockRequests)
{
    link_.requestClock(peerSocket_.local_endpoint(), Millis(40));
    nlohmann::json request = nextDatagram();
    request["from"] = "peer";
    deliver(request);
    const nlohmann::json response = nextDatagram();
    EXPECT_EQ(response.at("kind"), "clocks");
    EXPECT_EQ(response.at("to"), "peer");
    EXPECT_EQ(response.at("from"), "self");
    EXPECT_EQ(response.at("about"), request.at("about"));
    EXPECT_GT(response.at("since_boot_ms").get<int64_t>(), 0);
}

struct HeldByPeersCase
{
    const char *name;
    nlohmann::json report; ///< fields of a transfer of 0 tokens
    std::optional<uint64_t> tokens;
};

class PeerLinkHeldByPeers : public PeerLinkTest, public testing::WithParamInterface<HeldByPeersCase>
{};

const HeldByPeersCase HeldByPeersCases[] = {
        {"EarlierVersion", {{"usable", 5}}, 5},
        {"ReservedTokens", {{"usable", 5}, {"reserved", 7}, {"settling", false}}, 12},
        {"PredecessorPending", {{"usable", 5}, {"reserved", 7}, {"settling", true}}, std::nullopt},
};

// Guards against reporting a budget as spent while tokens of it may still be returned.
TEST_P(PeerLinkHeldByPeers, IncludesTokensThatMayBeReturned)
{
    link_.setPeers({{HostId("p"), DomainId("d"), Incarnation("peer"), peerSocket_.local_endpoint(),
                     peerSocket_.local_endpoint()}});
    link_.requestClock(peerSocket_.local_endpoint(), Millis(0));
    nextDatagram();
    nlohmann::json transfer = {{"kind", "move"}, {"from", "peer"},   {"to", "self"},
                               {"id", 0},        {"workspace", "w"}, {"tokens", 0}};
    transfer.update(GetParam().report);
    deliver(transfer);
    EXPECT_EQ(link_.heldByPeers(WorkspaceId("w"), Instant()), GetParam().tokens);
}

INSTANTIATE_TEST_SUITE_P(Rows, PeerLinkHeldByPeers, testing::ValuesIn(HeldByPeersCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct HomeCase
{
    const char *name;
    const char *respondedBy; ///< incarnation that the response comes from
    bool isHome;
};

class PeerLinkHome : public PeerLinkTest, public testing::WithParamInterface<HomeCase>
{};

const HomeCase HomeCases[] = {{"ListedProcess", "peer", true},
                              {"PreviousProcessOfTheHost", "previous", false}};

// Guards against transferring tokens to a process that has ended, where they would be lost.
TEST_P(PeerLinkHome, ReceivesTokensOnlyAfterItResponded)
{
    const WorkspaceId workspace("w");
    link_.setHomes(workspace, {{HostId("p"), DomainId("d"), Incarnation("peer"),
                                peerSocket_.local_endpoint(), peerSocket_.local_endpoint()}});
    const Instant now = std::chrono::steady_clock::now();
    EXPECT_FALSE(link_.homeRespondedRecently(workspace, now));
    link_.requestClock(peerSocket_.local_endpoint(), Millis(0));
    nextDatagram();
    deliver({{"kind", "move"},
             {"from", GetParam().respondedBy},
             {"to", "self"},
             {"id", 0},
             {"workspace", "w"},
             {"tokens", 0},
             {"usable", 0}});
    ASSERT_EQ(link_.homeRespondedRecently(workspace, now), GetParam().isHome);
    if (GetParam().isHome) {
        link_.transferToHome(workspace, 30, now);
        const nlohmann::json transfer = nextDatagram();
        EXPECT_EQ(transfer.at("to"), "peer");
        EXPECT_EQ(transfer.at("tokens"), 30);
    }
    EXPECT_FALSE(link_.homeRespondedRecently(workspace, now + std::chrono::minutes(1)));
}

INSTANTIATE_TEST_SUITE_P(Rows, PeerLinkHome, testing::ValuesIn(HomeCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against ranks that get lost on the way, and against requests of hosts without ranks that
// are taken for the most urgent ones or dropped.
TEST_F(PeerLinkTest, PassesOnTheRankOfTokenRequests)
{
    Peer peer;
    peer.address = peerSocket_.local_endpoint();
    link_.setPeers({peer});
    const WorkspaceId workspace("w");
    link_.requestTokens({workspace, 9, 0, 0, 2, 3});
    const nlohmann::json withRank = nextDatagram();
    link_.requestTokens({workspace, 9, 0, 0, 2});
    const nlohmann::json withoutRank = nextDatagram();
    nlohmann::json malformed = withRank;
    malformed["priority"] = "first";
    nlohmann::json tooLarge = withRank;
    tooLarge["priority"] = uint64_t{1} << 32;
    EXPECT_FALSE(withoutRank.contains("priority"));
    deliver(withRank);
    deliver(malformed);
    deliver(withoutRank);
    deliver(tooLarge);
    io_.restart();
    io_.poll();
    ASSERT_EQ(requests_.size(), 3U);
    EXPECT_EQ(requests_[0].priority, 3U);
    EXPECT_FALSE(requests_[1].priority);
    EXPECT_GT(requests_[2].priority, 3U);
}

struct FirstRequestCase
{
    const char *name;
    bool asksAllIfNearIsShort;
    uint64_t reported; ///< by the near home
    bool asksAll;
};

class PeerLinkFirstRequest : public PeerLinkTest,
                             public testing::WithParamInterface<FirstRequestCase>
{};

const FirstRequestCase FirstRequestCases[] = {{"NearHomeIsShort", true, 8, true},
                                              {"NearHomeHasEnough", true, 9, false},
                                              {"MeanDemand", false, 8, false}};

// Guards against a second round trip, 60 ms later, for each request in an outage in which the near
// home has no tokens left.
TEST_P(PeerLinkFirstRequest, GoesToAllHomesIfNearOneIsShort)
{
    const WorkspaceId workspace("w");
    udp::socket farHome(io_, AnyPort);
    link_.setHomes(workspace, {{HostId("far"), DomainId("e"), Incarnation("far"),
                                farHome.local_endpoint(), farHome.local_endpoint()},
                               {HostId("p"), DomainId("d"), Incarnation("peer"),
                                peerSocket_.local_endpoint(), peerSocket_.local_endpoint()}});
    TokenRequest request;
    request.workspace = workspace;
    request.need = 9;
    request.asksAllIfNearIsShort = GetParam().asksAllIfNearIsShort;
    link_.requestTokens(request);
    nextDatagram();
    EXPECT_EQ(farHome.available(), 0U) << "nothing is known of the near home";
    deliver({{"kind", "move"},
             {"from", "peer"},
             {"to", "self"},
             {"id", 0},
             {"workspace", "w"},
             {"tokens", 0},
             {"usable", GetParam().reported}});
    link_.requestTokens(request);
    const nlohmann::json near = nextDatagram();
    EXPECT_EQ(near.at("round"), 0);
    EXPECT_EQ(near.value("part", false), GetParam().asksAll);
    ASSERT_EQ(farHome.available() > 0, GetParam().asksAll);
    if (GetParam().asksAll) {
        std::array<char, 2048> buffer{};
        const std::size_t bytes = farHome.receive(boost::asio::buffer(buffer));
        const nlohmann::json far = nlohmann::json::parse(std::string_view(buffer.data(), bytes));
        EXPECT_EQ(far.at("round"), 1) << "the demand would count at two homes";
        EXPECT_EQ(far.at("need"), 9);
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, PeerLinkFirstRequest, testing::ValuesIn(FirstRequestCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST_F(PeerLinkTest, ReportsUsableAndReservedTokens)
{
    link_.requestClock(peerSocket_.local_endpoint(), Millis(0));
    nextDatagram();
    deliver({{"kind", "ask"},
             {"from", "peer"},
             {"workspace", "w"},
             {"need", 9},
             {"usable", 0},
             {"per_second", 0}});
    const nlohmann::json transfer = nextDatagram();
    EXPECT_EQ(transfer.at("usable"), 5);
    EXPECT_EQ(transfer.at("reserved"), 7);
    EXPECT_EQ(transfer.at("settling"), false);
}

} // namespace
