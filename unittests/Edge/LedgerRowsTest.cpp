/// Encoding and decoding of the rows in the edge's own topic, also those of earlier versions, and
/// the detection of malformed rows.

#include <gtest/gtest.h>

#include "lib/Edge/LedgerRows.h"

using namespace sequoiagate;

namespace {

using boost::asio::ip::make_address;
using boost::asio::ip::udp;

TEST(LedgerRows, RoundTrip)
{
    const StoreRow budget = encodeAllotment({WorkspaceId("a/b"), Incarnation("i"), {700, 300, 40}});
    EXPECT_EQ(ledgerRowKind(budget.key), LedgerRowKind::Budget);
    const std::optional<AllotmentRow> row = decodeAllotment(budget);
    ASSERT_TRUE(row);
    EXPECT_EQ(row->workspace, WorkspaceId("a/b"));
    EXPECT_EQ(row->holder, Incarnation("i"));
    EXPECT_EQ(row->allotment, (Allotment{700, 300, 40}));

    const PeerClock peerClock{udp::endpoint(make_address("10.0.0.9"), 7200), Incarnation("j"),
                              Millis(5)};
    const StoreRow batch = encodeBatch({Incarnation("i"), Millis(1234), {peerClock}});
    EXPECT_EQ(ledgerRowKind(batch.key), LedgerRowKind::Batch);
    const std::optional<BatchHeader> moment = decodeBatch(batch);
    ASSERT_TRUE(moment);
    EXPECT_EQ(moment->holder, Incarnation("i"));
    EXPECT_EQ(moment->sinceBoot, Millis(1234));
    ASSERT_EQ(moment->peers.size(), 1U);
    EXPECT_EQ(moment->peers[0].address, peerClock.address);
    EXPECT_EQ(moment->peers[0].process, Incarnation("j"));
    EXPECT_EQ(moment->peers[0].sinceBoot, Millis(5));

    const Peer peer{HostId("h"), DomainId("d"), Incarnation("i"),
                    udp::endpoint(make_address("10.0.0.1"), 7200),
                    udp::endpoint(make_address("10.0.0.2"), 7201)};
    const StoreRow host = encodeHost(peer);
    EXPECT_EQ(ledgerRowKind(host.key), LedgerRowKind::Host);
    const Peer read = decodeHost(host);
    EXPECT_EQ(read.host, peer.host);
    EXPECT_EQ(read.address, peer.address);
    EXPECT_EQ(read.listenAddress, peer.listenAddress);
    EXPECT_FALSE(read.relayAddress);
    EXPECT_EQ(hostOf(encodeHostRemoval(peer.host)), peer.host);
}

TEST(LedgerRows, DecodesHostOfEarlierVersionWithOneAddress)
{
    const Peer peer = decodeHost(
            {"host/h", R"({"address": "10.0.0.1:7200", "domain": "d", "incarnation": "i"})", 0});
    EXPECT_EQ(peer.listenAddress, peer.address);
}

TEST(LedgerRows, DecodesBatchOfEarlierVersion)
{
    const std::optional<BatchHeader> moment =
            decodeBatch({"batch/i", "1234 1700000000000 a-boot|5 4321 j 10.0.0.9:7200", 0});
    ASSERT_TRUE(moment);
    EXPECT_EQ(moment->sinceBoot, Millis(1234));
    ASSERT_EQ(moment->peers.size(), 1U);
    EXPECT_EQ(moment->peers[0].process, Incarnation("j"));
    EXPECT_EQ(moment->peers[0].sinceBoot, Millis(5));
}

const char *const MalformedBatches[] = {"",
                                        "12",
                                        "12 x boot",
                                        "12 34 boot|1 2",
                                        "12 34 boot|x 2 p 10.0.0.1:1",
                                        "12 34 boot|1 2 p h",
                                        "12 9f3a",
                                        "12x 34 boot",
                                        "18446744073709551615 0",
                                        "9223372036854775807 0",
                                        "1 0|9300000000000 0 p 10.0.0.1:1"};

// Guards also against a clock that overflows, by which a process that ended spent too little.
TEST(LedgerRows, RejectsMalformedBatches)
{
    for (const char *value : MalformedBatches) {
        EXPECT_FALSE(decodeBatch({"batch/i", value, 0})) << value;
    }
}

// Guards against spending a workspace's budget twice. An earlier version wrote its tokens without a
// rate, and a later one that can't read the row would count none of them as used. All of them count
// as used, since the earlier version limited its use in another way than by a rate.
TEST(LedgerRows, BudgetWithoutRateCountsAsFullyUsed)
{
    const std::optional<AllotmentRow> row = decodeAllotment({"budget/i/w", "700 300", 0});
    ASSERT_TRUE(row);
    EXPECT_EQ(row->allotment, (Allotment{700, 700, 0}));
}

struct MalformedRow
{
    const char *name;
    const char *key;
    const char *value;
};

const MalformedRow MalformedBudgets[] = {
        {"WithoutWorkspace", "budget/i", "7 3 1"},
        {"OneNumber", "budget/i/w", "7"},
        {"NoNumber", "budget/i/w", "x 3 1"},
        {"Negative", "budget/i/w", "-7 3 1"},
        {"TooLarge", "budget/i/w", "99999999999999999999 3 1"},
        {"TokensThatWrapAround", "budget/i/w", "18446744073699551616 3 1"},
        {"UseThatWrapsAround", "budget/i/w", "7 18446744073699551616 1"},
        {"ExtraNumber", "budget/i/w", "7 3 1 1"},
        {"Empty", "budget/i/w", ""}};

class MalformedBudget : public testing::TestWithParam<MalformedRow>
{};

// Guards also against a sum of allotments that wraps around, so that a budget is spent twice.
TEST_P(MalformedBudget, IsRejected)
{
    EXPECT_FALSE(decodeAllotment({GetParam().key, GetParam().value, 0}));
}

INSTANTIATE_TEST_SUITE_P(Rows, MalformedBudget, testing::ValuesIn(MalformedBudgets),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against asking a process of an earlier version, which doesn't relay, to do so.
TEST(LedgerRows, KnowsWhichHostsRelay)
{
    Peer peer = decodeHost(
            {"host/h", R"({"address": "10.0.0.1:7200", "domain": "d", "incarnation": "i"})", 0});
    EXPECT_FALSE(peer.relayAddress);
    peer.relayAddress = boost::asio::ip::tcp::endpoint(make_address("10.0.0.1"), 7200);
    EXPECT_EQ(decodeHost(encodeHost(peer)).relayAddress, peer.relayAddress);
}

const MalformedRow MalformedHosts[] = {
        {"NotJson", "host/h", "{broken"},
        {"NoAddress", "host/h", R"({"domain": "d", "incarnation": "i"})"},
        {"BadAddress", "host/h", R"({"address": "x", "domain": "d", "incarnation": "i"})"},
        {"NoDomain", "host/h", R"({"address": "10.0.0.1:7200", "incarnation": "i"})"}};

class MalformedHost : public testing::TestWithParam<MalformedRow>
{};

TEST_P(MalformedHost, Throws)
{
    EXPECT_THROW(decodeHost({GetParam().key, GetParam().value, 0}), std::exception);
}

INSTANTIATE_TEST_SUITE_P(Rows, MalformedHost, testing::ValuesIn(MalformedHosts),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
