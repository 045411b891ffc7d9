/// The datagrams about rates of endpoints between hosts, also invalid ones, and what they cost.

#include <gtest/gtest.h>

#include "lib/Edge/EndpointRateMessage.h"
#include "unittests/Support/RateFleet.h"

using namespace sequoiagate;

namespace {

const Instant Now{std::chrono::hours(1)};
const HostId Sender("h1");

EndpointRateMessage decode(const std::string &text, Instant now = Now)
{
    return decodeEndpointRates(nlohmann::json::parse(text), now);
}

TEST(EndpointRateMessage, RecordsAreDecoded)
{
    const SharedRate measured{7, 1.23, 0.0, 5, Now};
    const SharedRate rate{4'294'967'295U, 0.7, 3.14, 255, Now};
    const std::vector<std::string> datagrams =
            encodeEndpointRates({Sender, {measured}, {rate}}, Now);
    ASSERT_EQ(datagrams.size(), 2U);
    const EndpointRateMessage first = decode(datagrams[0]);
    EXPECT_EQ(first.from, Sender);
    EXPECT_EQ(first.dropped, 0U);
    ASSERT_EQ(first.measurements.size(), 1U);
    EXPECT_EQ(first.measurements[0].process, 7U);
    EXPECT_DOUBLE_EQ(first.measurements[0].prefillFactor, 1.23);
    EXPECT_EQ(first.measurements[0].decodeFactor, 0.0);
    EXPECT_EQ(first.measurements[0].samples, 5U);
    const EndpointRateMessage second = decode(datagrams[1]);
    ASSERT_EQ(second.rates.size(), 1U);
    EXPECT_EQ(second.rates[0].process, 4'294'967'295U);
    EXPECT_DOUBLE_EQ(second.rates[0].decodeFactor, 3.14);
}

struct LoadCase
{
    const char *name;
    const char *load; ///< as it is in the message
    std::optional<double> expected;
    std::size_t dropped;
};

class StatedLoad : public testing::TestWithParam<LoadCase>
{};

// Guards against a load that isn't one, and against records that are lost with it.
TEST_P(StatedLoad, IsTakenIfItIsOne)
{
    const LoadCase &row = GetParam();
    const EndpointRateMessage decoded =
            decode(std::string(R"({"kind":"endpoint_rates","version":1,"from":"h1")") + row.load
                   + R"(,"rates":[[7,100,100,5,0]]})");
    EXPECT_EQ(decoded.requestsPerSecond, row.expected);
    EXPECT_EQ(decoded.dropped, row.dropped);
    EXPECT_EQ(decoded.rates.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, StatedLoad,
                         testing::ValuesIn(std::vector<LoadCase>{
                                 {"None", "", std::nullopt, 0},
                                 {"Zero", ",\"load\":0", 0.0, 0},
                                 {"Usual", ",\"load\":74", 7.4, 0},
                                 {"Negative", ",\"load\":-1", std::nullopt, 1},
                                 {"Huge", ",\"load\":1e300", std::nullopt, 1},
                                 {"BeyondInt64", ",\"load\":18446744073709551615", std::nullopt, 1},
                                 {"Text", ",\"load\":\"7\"", std::nullopt, 1},
                         }),
                         [](const auto &row) { return row.param.name; });

TEST(EndpointRateMessage, LoadIsInEachDatagram)
{
    EndpointRateMessage message{Sender, {{7, 1.0, 0.0, 5, Now}}, {{8, 1.0, 1.0, 5, Now}}};
    message.requestsPerSecond = 110.26;
    for (const std::string &datagram : encodeEndpointRates(message, Now)) {
        EXPECT_EQ(decode(datagram).requestsPerSecond, 110.3);
    }
}

// Guards against dates of a clock that differs between hosts, and against a record that becomes
// newer each time it is passed on.
TEST(EndpointRateMessage, AgesAreRelativeAndNeverShrink)
{
    const Instant otherClock{std::chrono::hours(500)};
    for (const int age : {0, 1, 99, 100, 101, 3'456}) {
        const SharedRate rate{7, 1.0, 1.0, 5, Now - Millis(age)};
        const EndpointRateMessage decoded =
                decode(encodeEndpointRates({Sender, {}, {rate}}, Now).at(0), otherClock);
        const Interval decodedAge = otherClock - decoded.rates.at(0).observedAt;
        EXPECT_GE(decodedAge, Millis(age));
        EXPECT_LT(decodedAge, Millis(age + 100));
    }
    // A time that is still to come is now.
    const SharedRate early{7, 1.0, 1.0, 5, Now + std::chrono::hours(1)};
    const std::string text = encodeEndpointRates({Sender, {}, {early}}, Now).at(0);
    EXPECT_EQ(decode(text, otherClock).rates.at(0).observedAt, otherClock);
}

struct InvalidCase
{
    const char *name;
    const char *record;
};

class InvalidRateRecord : public testing::TestWithParam<InvalidCase>
{};

// Guards against one bad record that hides the others, or that becomes a rate.
TEST_P(InvalidRateRecord, IsDroppedAlone)
{
    const std::string text = std::string(R"({"kind":"endpoint_rates","version":1,"from":"h",)")
                             + R"("own":[[3,100,0,1,0]],"rates":[[1,100,100,9,0],)"
                             + GetParam().record + ",[2,100,100,9,0]]}";
    const EndpointRateMessage decoded = decode(text);
    EXPECT_EQ(decoded.dropped, 1U);
    EXPECT_FALSE(decoded.fault.empty());
    ASSERT_EQ(decoded.rates.size(), 2U);
    EXPECT_EQ(decoded.rates[0].process, 1U);
    EXPECT_EQ(decoded.rates[1].process, 2U);
    EXPECT_EQ(decoded.measurements.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, InvalidRateRecord,
                         testing::ValuesIn(std::vector<InvalidCase>{
                                 {"NegativeFactor", "[5,-1,100,9,0]"},
                                 {"HugeFactor", "[5,100,2001,9,0]"},
                                 {"FactorBeyondAnyInteger", "[5,100,18446744073709551615,9,0]"},
                                 {"FractionalFactor", "[5,100,1.5,9,0]"},
                                 {"FactorIsText", R"([5,"100",100,9,0])"},
                                 {"FactorIsNull", "[5,null,100,9,0]"},
                                 {"NoFactor", "[5,0,0,9,0]"},
                                 {"NegativeProcess", "[-5,100,100,9,0]"},
                                 {"HugeProcess", "[4294967296,100,100,9,0]"},
                                 {"NoSamples", "[5,100,100,0,0]"},
                                 {"NegativeSamples", "[5,100,100,-9,0]"},
                                 {"ManySamples", "[5,100,100,256,0]"},
                                 {"NegativeAge", "[5,100,100,9,-1]"},
                                 {"HugeAge", "[5,100,100,9,601]"},
                                 {"Short", "[5,100,100,9]"},
                                 {"NotAList", R"({"process":5})"},
                                 {"Number", "5"},
                         }),
                         [](const auto &row) { return row.param.name; });

TEST(EndpointRateMessage, AnotherVersionIsDropped)
{
    const EndpointRateMessage decoded =
            decode(R"({"kind":"endpoint_rates","version":2,"from":"h","rates":[[1,100,100,9,0]]})");
    EXPECT_EQ(decoded.dropped, 1U);
    EXPECT_TRUE(decoded.rates.empty());
}

// Guards against an exception that PeerLink doesn't handle.
TEST(EndpointRateMessage, MalformedMessagesThrowJsonExceptionsOrAreDropped)
{
    for (const char *text : {"{}", "[]", "5", R"({"from":"h"})", R"({"version":1})",
                             R"({"from":5,"version":1})", R"({"from":"h","version":"1"})"}) {
        EXPECT_THROW(decode(text), nlohmann::json::exception) << text;
    }
    EXPECT_EQ(decode(R"({"from":"h","version":1,"rates":5})").dropped, 1U);
    EXPECT_EQ(decode(R"({"from":"h","version":1})").dropped, 0U);
}

// Guards against a process that ends because a name isn't valid UTF-8.
TEST(EndpointRateMessage, NamesMayHoldAnyBytes)
{
    const SharedRate rate{7, 1.0, 1.0, 5, Now};
    EXPECT_NO_THROW(encodeEndpointRates({HostId("\xFF"), {}, {rate}}, Now));
}

// Guards against datagrams that networks fragment.
TEST(EndpointRateMessage, ManyRecordsAreSplit)
{
    const std::vector<SharedRate> rates(
            300, {4'294'967'295U, MaxRelativeTime, MaxRelativeTime, 255, Now - MaxRateAge});
    std::size_t decoded = 0;
    const HostId longName(std::string(64, 'h'));
    for (const std::string &datagram : encodeEndpointRates({longName, {}, rates}, Now)) {
        EXPECT_LE(datagram.size(), MaxEndpointRateBytes);
        decoded += decode(datagram).rates.size();
    }
    EXPECT_EQ(decoded, rates.size());
}

struct CostCase
{
    const char *name;
    int hosts;
    int endpoints;
    double load; ///< multiple of 207 long and 351 short prompts per second
};

class EndpointRateCost : public testing::TestWithParam<CostCase>
{
protected:
    /// Bytes per second that a host sends.
    struct Cost
    {
        double mean = 0.0;
        double max = 0.0;
    };

    static Cost measure(const CostCase &row)
    {
        RateFleetSettings settings;
        settings.hosts = row.hosts;
        settings.endpoints = row.endpoints;
        settings.digestsPerSecond *= row.load;
        settings.chatsPerSecond *= row.load;
        RateFleet fleet(settings);
        for (int i = 0; i < row.endpoints; i += 3) {
            fleet.setFactor(i, 1.3);
        }
        // With some endpoints that become slow and recover.
        constexpr int Rounds = 6;
        constexpr Seconds RoundTime{5};
        for (int round = 0; round < Rounds; ++round) {
            fleet.setFactor(round, 4.0);
            fleet.runFor(RoundTime);
            fleet.setFactor(round, 1.0);
        }
        const std::chrono::duration<double> time = Rounds * RoundTime;
        Cost cost;
        cost.mean = static_cast<double>(fleet.bytesSent()) / row.hosts / time.count();
        uint64_t received = 0;
        for (int i = 0; i < row.hosts; ++i) {
            cost.max = std::max(cost.max, static_cast<double>(fleet.bytesSentBy(i)) / time.count());
            received = std::max(received, fleet.bytesReceivedBy(i));
        }
        RecordProperty("mean_bytes_per_second", std::to_string(cost.mean));
        std::printf("%s: %.0f bytes per second and host, at most %.0f sent, %.0f received\n",
                    row.name, cost.mean, cost.max, static_cast<double>(received) / time.count());
        EXPECT_LE(fleet.largestDatagram(), MaxEndpointRateBytes);
        return cost;
    }
};

TEST_P(EndpointRateCost, IsBelow2KilobytesPerSecond)
{
    EXPECT_LT(measure(GetParam()).mean, 2000.0);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndpointRateCost,
                         testing::ValuesIn(std::vector<CostCase>{
                                 {"Hosts65", 65, 90, 1.0},
                                 {"Hosts300SameLoad", 300, 90, 1.0},
                                 {"Hosts300LoadInProportion", 300, 415, 300.0 / 65.0},
                         }),
                         [](const auto &row) { return row.param.name; });

} // namespace
