/// The datagrams about endpoints' limits between hosts, also of other versions.

#include <gtest/gtest.h>

#include "lib/Edge/EndpointLimitMessage.h"

using namespace sequoiagate;

namespace {

const Instant Now{std::chrono::hours(1)};

EndpointLimitRecord record(const std::string &id)
{
    EndpointLimitRecord result;
    result.endpoint = EndpointId(id);
    result.startedAtMillis = 1'700'000'000'000;
    result.maxRequestsPerSecond = 2.1;
    result.observedAt = Now - std::chrono::milliseconds(340);
    return result;
}

TEST(EndpointLimitMessage, KeepsRecordsAndTheirAge)
{
    EndpointLimitRecord ended = record("ended");
    ended.maxRequestsPerSecond.reset();
    const std::vector<std::string> datagrams = encodeEndpointLimits({{record("e"), ended}}, Now);
    ASSERT_EQ(datagrams.size(), 1U);
    const Instant later = Now + std::chrono::hours(2);
    const std::vector<EndpointLimitRecord> decoded =
            decodeEndpointLimits(nlohmann::json::parse(datagrams.front()), later).records;
    ASSERT_EQ(decoded.size(), 2U);
    EXPECT_EQ(decoded[0].endpoint, EndpointId("e"));
    EXPECT_EQ(decoded[0].startedAtMillis, 1'700'000'000'000U);
    EXPECT_EQ(decoded[0].maxRequestsPerSecond, 2.1);
    EXPECT_EQ(decoded[0].observedAt, later - std::chrono::milliseconds(340));
    EXPECT_FALSE(decoded[1].maxRequestsPerSecond);
}

TEST(EndpointLimitMessage, KeepsARejection)
{
    const std::vector<std::string> datagrams = encodeEndpointLimits({{record("e")}, true}, Now);
    EXPECT_TRUE(decodeEndpointLimits(nlohmann::json::parse(datagrams.front()), Now).rejected);
}

// Guards against datagrams that a receiver's buffer cuts off.
TEST(EndpointLimitMessage, ManyRecordsAreSplit)
{
    constexpr std::size_t BufferBytes = 2048;
    std::vector<EndpointLimitRecord> records;
    for (int i = 0; i < 78; ++i) {
        records.push_back(record("i-0123456789abcdef-" + std::to_string(i)));
    }
    std::size_t decoded = 0;
    for (const std::string &datagram : encodeEndpointLimits({records}, Now)) {
        EXPECT_LT(datagram.size(), BufferBytes);
        decoded += decodeEndpointLimits(nlohmann::json::parse(datagram), Now).records.size();
    }
    EXPECT_EQ(decoded, records.size());
}

// Guards against a process that can't read what one of a later version sends beside it.
TEST(EndpointLimitMessage, FieldsOfALaterVersionAreIgnored)
{
    const nlohmann::json message = nlohmann::json::parse(
            R"({"kind":"limits","version":2,"new":{},"records":[["e",7,2.5,null,10,"more"]]})");
    const std::vector<EndpointLimitRecord> decoded = decodeEndpointLimits(message, Now).records;
    ASSERT_EQ(decoded.size(), 1U);
    EXPECT_EQ(decoded[0].maxRequestsPerSecond, 2.5);
}

// Guards against an age that is out of the range of the clock.
TEST(EndpointLimitMessage, AgeIsBounded)
{
    const nlohmann::json message = nlohmann::json::parse(
            R"({"records":[["e",7,2.5,null,9223372036854775807],["f",7,2.5,null,-5]]})");
    const std::vector<EndpointLimitRecord> decoded = decodeEndpointLimits(message, Now).records;
    EXPECT_EQ(decoded[0].observedAt, Now - MaxRecordAge);
    EXPECT_EQ(decoded[1].observedAt, Now);
}

TEST(EndpointLimitMessage, MalformedOneThrows)
{
    const nlohmann::json message = nlohmann::json::parse(R"({"records":[["e",7]]})");
    EXPECT_THROW(decodeEndpointLimits(message, Now), nlohmann::json::exception);
}

TEST(EndpointLimitMessage, KeepsSlotRequestsAndResponses)
{
    const SlotRequest sent{HostId("i"), 9, std::chrono::milliseconds(200), record("e")};
    const SlotRequest request =
            decodeSlotRequest(nlohmann::json::parse(encodeSlotRequest(sent, Now)), Now);
    EXPECT_EQ(request.id, 9U);
    EXPECT_EQ(request.maxDelay, std::chrono::milliseconds(200));
    EXPECT_EQ(request.record.maxRequestsPerSecond, 2.1);
    const SlotResponse given = decodeSlotResponse(
            nlohmann::json::parse(encodeSlotResponse({9, std::chrono::milliseconds(40), {}})));
    EXPECT_EQ(given.delay, std::chrono::milliseconds(40));
    const SlotResponse none = decodeSlotResponse(nlohmann::json::parse(
            encodeSlotResponse({9, std::nullopt, std::chrono::milliseconds(700)})));
    EXPECT_FALSE(none.delay);
    EXPECT_EQ(none.retryAfter, std::chrono::milliseconds(700));
}

struct KnownLimitMessageCase
{
    const char *name;
    const char *known;          ///< field of the message; nullptr: of an earlier version
    std::optional<Millis> left; ///< as decoded
};

class KnownLimitMessage : public testing::TestWithParam<KnownLimitMessageCase>
{};

// Guards against requests for slots of earlier versions that can't be read, and against times that
// are out of range.
TEST_P(KnownLimitMessage, IsDecoded)
{
    const KnownLimitMessageCase &row = GetParam();
    nlohmann::json message =
            nlohmann::json::parse(R"({"kind":"ask_slot","version":1,"id":3,"max_delay_ms":0,)"
                                  R"("record":["e",7,null,null,10]})");
    if (row.known != nullptr) {
        message["version"] = 2;
        message["known"] = nlohmann::json::parse(row.known);
    }
    const SlotRequest request = decodeSlotRequest(message, Now);
    ASSERT_EQ(request.known.has_value(), row.left.has_value());
    if (request.known) {
        EXPECT_EQ(request.known->requestsPerSecond, 8.0);
        EXPECT_EQ(request.known->until, Now + *row.left);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Rows, KnownLimitMessage,
        testing::Values(KnownLimitMessageCase{"EarlierVersion", nullptr, std::nullopt},
                        KnownLimitMessageCase{"Known", "[8.0,1200]", Millis(1200)},
                        KnownLimitMessageCase{"Over", "[8.0,-30]", Millis(0)},
                        KnownLimitMessageCase{"TooLong", "[8.0,9223372036854775807]",
                                              Millis(60'000)}),
        [](const auto &row) { return row.param.name; });

struct OddSlotCase
{
    const char *name;
    int64_t millis;
    Interval expected;
};

class OddSlotMessages : public testing::TestWithParam<OddSlotCase>
{};

// Guards against a peer's time that overflows when it is added to this host's.
TEST_P(OddSlotMessages, AreBounded)
{
    const OddSlotCase &row = GetParam();
    nlohmann::json message = nlohmann::json::parse(
            encodeSlotRequest({HostId("h"), 3, Millis(20), record("e"), std::nullopt}, Now));
    message["max_delay_ms"] = row.millis;
    EXPECT_EQ(decodeSlotRequest(message, Now).maxDelay, row.expected);
    nlohmann::json response =
            nlohmann::json::parse(encodeSlotResponse({3, Millis(20), Millis(20)}));
    response["delay_ms"] = row.millis;
    response["retry_after_ms"] = row.millis;
    EXPECT_EQ(decodeSlotResponse(response).delay, row.expected);
    EXPECT_EQ(decodeSlotResponse(response).retryAfter, row.expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, OddSlotMessages,
                         testing::Values(OddSlotCase{"Largest", INT64_MAX, MaxSlotTime},
                                         OddSlotCase{"Smallest", INT64_MIN, Interval::zero()}),
                         [](const auto &row) { return row.param.name; });

TEST(SlotRequestMessage, KeepsTheKnownLimit)
{
    SlotRequest request{HostId("h"), 3, Millis(20), record("e"), std::nullopt};
    request.known = KnownLimit{8.0, Now + Millis(900)};
    const SlotRequest decoded =
            decodeSlotRequest(nlohmann::json::parse(encodeSlotRequest(request, Now)), Now);
    ASSERT_TRUE(decoded.known);
    EXPECT_EQ(decoded.known->requestsPerSecond, 8.0);
    EXPECT_EQ(decoded.known->until, Now + Millis(900));
    request.known.reset();
    EXPECT_FALSE(
            decodeSlotRequest(nlohmann::json::parse(encodeSlotRequest(request, Now)), Now).known);
}

} // namespace
