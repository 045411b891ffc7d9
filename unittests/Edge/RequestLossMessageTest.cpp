/// The datagrams by which hosts count the endpoints that were lost under one request.

#include <gtest/gtest.h>

#include "lib/Edge/RequestLossMessage.h"

using namespace sequoiagate;

namespace {

constexpr RequestKey Key = 0xFFFF'FFFF'FFFF'FFF1U;
const Instant Now{std::chrono::hours(100)};
const Instant Later = Now + std::chrono::seconds(5); ///< on the clock of another host
const Interval Age = std::chrono::milliseconds(250);

/// As much as a message may hold.
RequestLosses largest()
{
    RequestLosses known;
    known.key = Key;
    known.service = Key - 1;
    known.scope = RequestScope::Session;
    for (std::size_t i = 0; i < CrashingRequests::MaxLosses; ++i) {
        known.losses[{EndpointId("i-0123456789abcdef" + std::to_string(i)), 1'790'000'000'000}] = {
                Now - 2 * Age, Now - Age};
    }
    for (std::size_t i = 0; i < CrashingRequests::MaxSharedParts; ++i) {
        known.sharedParts.push_back(Key - i);
    }
    known.answeredAt = Now - 2 * Age;
    known.refusals = 3;
    known.refusedUntil = Now + std::chrono::hours(2);
    return known;
}

TEST(RequestLossMessage, IsDecoded)
{
    const RequestLosses known = largest();
    const std::string text = encodeRequestLosses(RequestLossReportKind, known, Now);
    // A receiver reads no larger datagram.
    EXPECT_LE(text.size(), 2048U);
    const RequestLosses decoded = decodeRequestLosses(nlohmann::json::parse(text), Later);
    EXPECT_EQ(decoded.key, known.key);
    EXPECT_EQ(decoded.service, known.service);
    EXPECT_EQ(decoded.scope, known.scope);
    ASSERT_EQ(decoded.losses.size(), known.losses.size());
    EXPECT_EQ(decoded.losses.begin()->first, known.losses.begin()->first);
    EXPECT_EQ(decoded.losses.begin()->second, (RequestLoss{Later - 2 * Age, Later - Age}));
    EXPECT_EQ(decoded.sharedParts, known.sharedParts);
    EXPECT_EQ(decoded.answeredAt, Later - 2 * Age);
    EXPECT_EQ(decoded.refusals, 3U);
    EXPECT_EQ(decoded.refusedUntil, Later + std::chrono::hours(2));
}

struct OddCase
{
    const char *name;
    const char *field;
    nlohmann::json value;
    bool throws;
    Interval refusal = std::chrono::hours(2); ///< how long it lasts once decoded
};

class OddMessages : public testing::TestWithParam<OddCase>
{};

// Guards against a message that refuses a request without end or not at all, or ends the process.
TEST_P(OddMessages, AreBoundedOrRejected)
{
    const OddCase &row = GetParam();
    nlohmann::json message =
            nlohmann::json::parse(encodeRequestLosses(RequestLossReportKind, largest(), Now));
    message[row.field] = row.value;
    if (row.throws) {
        EXPECT_THROW(decodeRequestLosses(message, Now), nlohmann::json::exception);
        return;
    }
    const RequestLosses decoded = decodeRequestLosses(message, Now);
    EXPECT_EQ(decoded.refusedUntil, Now + row.refusal);
    EXPECT_LE(decoded.losses.size(), CrashingRequests::MaxLosses);
    EXPECT_LE(decoded.sharedParts.size(), CrashingRequests::MaxSharedParts);
}

const std::vector<uint64_t> ManyParts(500, 7);

INSTANTIATE_TEST_SUITE_P(Rows, OddMessages,
                         testing::Values(OddCase{"LongRefusal", "remaining_ms", INT64_MAX, false,
                                                 CrashingRequests::MaxRefusal},
                                         OddCase{"NegativeRefusal", "remaining_ms", INT64_MIN,
                                                 false, Interval::zero()},
                                         OddCase{"ManyParts", "parts", ManyParts, false},
                                         OddCase{"OtherScope", "scope", "of_later", false},
                                         OddCase{"NoScope", "scope", 7, true},
                                         OddCase{"NoLosses", "lost", {1, 2}, true},
                                         OddCase{"TextAsKey", "key", "k", true}),
                         [](const auto &row) { return row.param.name; });

} // namespace
