/// Rates of endpoints that a simulated fleet learns: 65 hosts in 3 failure domains, 90 endpoints,
/// 207 long and 351 short prompts per second, where a seventh of the times is twice as long.

#include <algorithm>
#include <cmath>

#include <gtest/gtest.h>

#include "unittests/Support/RateFleet.h"

using namespace sequoiagate;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Long enough for each host to know its usual times and for rates to reach all hosts.
constexpr seconds LearningTime{20};

/// The factor that placement would use most.
double highest(const EndpointRate &rate)
{
    return std::max(rate.prefillFactor, rate.decodeFactor);
}

double lowest(const EndpointRate &rate)
{
    return std::min(rate.prefillFactor, rate.decodeFactor);
}

bool isWithin(double value, double truth, double share)
{
    return value <= truth * (1.0 + share) && value >= truth / (1.0 + share);
}

struct SpeedCase
{
    const char *name;
    std::vector<double> factors; ///< in rotation
    double usual;                ///< their median
};

class EndpointSpeeds : public testing::TestWithParam<SpeedCase>
{};

// Guards against rates that a single host's few samples leave unknown or wrong.
TEST_P(EndpointSpeeds, AreLearntByAllHosts)
{
    const SpeedCase &row = GetParam();
    RateFleet fleet({});
    for (int i = 0; i < 90; ++i) {
        fleet.setFactor(i, row.factors[i % row.factors.size()]);
    }
    fleet.runFor(LearningTime);
    int known = 0;
    int right = 0;
    for (int i = 0; i < 90; ++i) {
        const double truth = fleet.factor(i) / row.usual;
        for (const EndpointRate &rate : fleet.rates(i)) {
            known += rate.samples > 0 ? 1 : 0;
            right += isWithin(rate.prefillFactor, truth, 0.25)
                                     && isWithin(rate.decodeFactor, truth, 0.25)
                             ? 1
                             : 0;
        }
    }
    EXPECT_GE(known, 90 * 65 * 98 / 100);
    EXPECT_GE(right, 90 * 65 * 95 / 100);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndpointSpeeds,
                         testing::ValuesIn(std::vector<SpeedCase>{
                                 {"A", {1.0, 1.0, 1.3}, 1.0},
                                 {"B", {0.7, 0.7, 1.7}, 0.7},
                                 {"AllDiffer", {0.7, 1.0, 1.7}, 1.0},
                         }),
                         [](const auto &row) { return row.param.name; });

struct SlowCase
{
    const char *name;
    double factor;
    double loss;
    uint64_t seed;
};

class SlowEndpoint : public testing::TestWithParam<SlowCase>
{};

// Guards against seconds of requests to an endpoint that has become slow, and against one that gets
// none after it has recovered.
TEST_P(SlowEndpoint, IsDetectedWithinTwoSecondsAndRecovers)
{
    const SlowCase &row = GetParam();
    RateFleetSettings settings;
    settings.messageLoss = row.loss;
    settings.seed = row.seed;
    RateFleet fleet(settings);
    fleet.runFor(LearningTime);
    const auto seenAsSlow = [](const EndpointRate &rate) {
        return highest(rate) >= EndpointRates::SlowFactor;
    };
    const auto seenAsUsual = [](const EndpointRate &rate) {
        return highest(rate) <= 1.3;
    };
    for (int endpoint = 5; endpoint < 85; endpoint += 10) {
        fleet.setFactor(endpoint, row.factor);
        fleet.runFor(seconds(2));
        EXPECT_GE(fleet.shareOf(endpoint, seenAsSlow), 0.9) << "endpoint " << endpoint;
        fleet.runFor(seconds(4));
        EXPECT_GE(fleet.shareOf(endpoint, seenAsSlow), 0.9) << "endpoint " << endpoint;
        fleet.setFactor(endpoint, 1.0);
        fleet.runFor(seconds(6));
        EXPECT_GE(fleet.shareOf(endpoint, seenAsUsual), 0.9) << "endpoint " << endpoint;
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, SlowEndpoint,
                         testing::ValuesIn(std::vector<SlowCase>{
                                 {"ThreeTimes", 3.0, 0.0, 1},
                                 {"FiveTimes", 5.0, 0.0, 2},
                                 {"ThreeTimesTenthOfMessagesLost", 3.0, 0.1, 3},
                         }),
                         [](const auto &row) { return row.param.name; });

struct NoiseCase
{
    const char *name;
    bool isInPeriods;
    uint64_t seed;
};

class EndpointNoise : public testing::TestWithParam<NoiseCase>
{};

// Guards against endpoints that are avoided for a variation that all of them have.
TEST_P(EndpointNoise, MovesNoFactorOver1Point3)
{
    RateFleetSettings settings;
    settings.isNoiseInPeriods = GetParam().isInPeriods;
    settings.seed = GetParam().seed;
    RateFleet fleet(settings);
    fleet.runFor(LearningTime);
    int above = 0;
    int all = 0;
    for (int round = 0; round < 20; ++round) {
        fleet.runFor(milliseconds(500));
        for (int endpoint = 0; endpoint < 90; ++endpoint) {
            for (const EndpointRate &rate : fleet.rates(endpoint)) {
                ++all;
                above += highest(rate) > 1.3 || lowest(rate) < 1.0 / 1.3 ? 1 : 0;
            }
        }
    }
    EXPECT_EQ(above, 0) << "of " << all;
}

INSTANTIATE_TEST_SUITE_P(Rows, EndpointNoise,
                         testing::ValuesIn(std::vector<NoiseCase>{
                                 {"OfSingleTimes", false, 4},
                                 {"OfPeriods", true, 5},
                         }),
                         [](const auto &row) { return row.param.name; });

// Guards against a host whose own path or processor is slow, by which endpoints are rated as slow.
TEST(EndpointRates, SlowHostDoesNotChangeRates)
{
    RateFleet fleet({});
    fleet.runFor(seconds(10));
    fleet.setHostSlowdown(7, 6.0);
    fleet.setHostSlowdown(8, 6.0);
    for (int round = 0; round < 15; ++round) {
        fleet.runFor(seconds(1));
        for (int endpoint = 0; endpoint < 90; ++endpoint) {
            EXPECT_LE(highest(fleet.rate(7, endpoint)), 1.4);
            EXPECT_LE(highest(fleet.rate(20, endpoint)), 1.4);
        }
    }
}

// Guards against endpoints that count as slow since all of them are loaded.
TEST(EndpointRates, BurstAtAllEndpointsLeavesFactorsNear1)
{
    RateFleet fleet({});
    fleet.runFor(LearningTime);
    fleet.setLoad(2.5);
    int above = 0;
    int all = 0;
    for (int round = 0; round < 12; ++round) {
        fleet.runFor(milliseconds(500));
        for (int endpoint = 0; endpoint < 90; ++endpoint) {
            for (const EndpointRate &rate : fleet.rates(endpoint)) {
                ++all;
                above += highest(rate) > EndpointRates::SlowFactor ? 1 : 0;
            }
        }
    }
    EXPECT_LE(above, all / 100) << "of " << all;
}

// Guards against factors that follow the queue of an endpoint: its prefixes would move away with
// each burst, to endpoints that have to prefill them again.
TEST(EndpointRates, QueueDoesNotMakeAnEndpointSlow)
{
    RateFleet fleet({});
    fleet.runFor(LearningTime);
    int above = 0;
    int all = 0;
    for (const Interval wait : {Interval(milliseconds(800)), Interval::zero()}) {
        for (int endpoint = 0; endpoint < 90; endpoint += 9) {
            fleet.setQueue(endpoint, wait);
        }
        for (int round = 0; round < 8; ++round) {
            fleet.runFor(milliseconds(500));
            for (int endpoint = 0; endpoint < 90; ++endpoint) {
                for (const EndpointRate &rate : fleet.rates(endpoint)) {
                    ++all;
                    above += highest(rate) > 1.3 || lowest(rate) < 1.0 / 1.3 ? 1 : 0;
                }
            }
        }
    }
    EXPECT_LE(above, all / 100) << "of " << all;
}

// Guards against requests to slow endpoints in the first seconds of a fleet, when nothing is known.
TEST(EndpointRates, SlowEndpointsAreKnownToMostHostsAfterThreeSeconds)
{
    RateFleet fleet({});
    for (int i = 0; i < 90; i += 3) {
        fleet.setFactor(i, 2.4);
    }
    fleet.runFor(seconds(3));
    double share = 0.0;
    for (int i = 0; i < 90; i += 3) {
        share += fleet.shareOf(i, [](const EndpointRate &rate) { return highest(rate) >= 1.5; });
    }
    EXPECT_GE(share / 30, 0.75);
}

struct ShareCase
{
    const char *name;
    int ownPerSecond;
    std::vector<double> others; ///< loads that are stated, of eight other hosts
    std::optional<double> expected;
};

class HostShare : public testing::TestWithParam<ShareCase>
{};

// Guards against a host that expects the load of the others to be like its own: the balancer gave
// one host fifteen times as many requests as the others, and it spread each prefix over the fleet.
TEST_P(HostShare, FollowsTheLoadOfTheOthers)
{
    const ShareCase &row = GetParam();
    EndpointRates rates(HostId("h"), DomainId("d"));
    rates.setEndpoint({EndpointId("e"), 1}, ServiceId("s"));
    std::vector<HostPlace> others;
    for (int i = 0; i < 8; ++i) {
        others.push_back({HostId(std::to_string(i)), DomainId("d")});
    }
    rates.setHosts(others);
    Instant now{std::chrono::hours(1)};
    for (int i = 0; i < 20 * row.ownPerSecond; ++i) {
        WorkItem item;
        item.request = RequestId(std::to_string(i));
        item.promptTokens = 100;
        now += Interval(seconds(1)) / row.ownPerSecond;
        rates.onSent(EndpointId("e"), item, now);
    }
    for (std::size_t i = 0; i < row.others.size(); ++i) {
        rates.onHostLoad(HostId(std::to_string(i)), row.others[i], now);
    }
    const std::optional<double> share = rates.hostShare(now);
    ASSERT_EQ(share.has_value(), row.expected.has_value());
    if (share) {
        EXPECT_NEAR(*share, *row.expected, *row.expected * 0.2);
    }
    EXPECT_FALSE(rates.hostShare(now + std::chrono::minutes(1)).has_value());
}

INSTANTIATE_TEST_SUITE_P(Rows, HostShare,
                         testing::ValuesIn(std::vector<ShareCase>{
                                 {"Equal", 10, std::vector<double>(8, 10.0), 1.0 / 9},
                                 {"Busy", 80, std::vector<double>(8, 10.0), 0.5},
                                 {"Idle", 1, std::vector<double>(8, 10.0), 1.0 / 81},
                                 {"HalfAreHeard", 40, std::vector<double>(4, 10.0), 1.0 / 3},
                                 {"TooFewAreHeard", 10, std::vector<double>(3, 10.0), std::nullopt},
                         }),
                         [](const auto &row) { return row.param.name; });

TEST(EndpointRates, RestartedEndpointIsUnknown)
{
    RateFleet fleet({});
    fleet.setFactor(3, 3.0);
    fleet.runFor(LearningTime);
    EXPECT_GE(highest(fleet.rate(0, 3)), 2.0);
    fleet.restart(3);
    fleet.setFactor(3, 1.0);
    for (const EndpointRate &rate : fleet.rates(3)) {
        EXPECT_EQ(rate.samples, 0U);
        EXPECT_EQ(rate.prefillFactor, 1.0);
        EXPECT_EQ(rate.decodeFactor, 1.0);
    }
    // Records of the earlier process are still under way.
    fleet.runFor(seconds(3));
    EXPECT_EQ(fleet.shareOf(3, [](const EndpointRate &rate) { return highest(rate) <= 1.3; }), 1.0);
}

// Guards against rates that stop or become wrong during an upgrade.
TEST(EndpointRates, HostsOfAnEarlierVersionLeaveMostEndpointsKnown)
{
    RateFleetSettings settings;
    settings.silentShare = 0.33;
    RateFleet fleet(settings);
    for (int i = 0; i < 90; i += 3) {
        fleet.setFactor(i, 1.7);
    }
    fleet.runFor(LearningTime);
    int known = 0;
    int wrong = 0;
    int hosts = 0;
    for (int i = 0; i < 90; ++i) {
        for (const EndpointRate &rate : fleet.rates(i)) {
            ++hosts;
            known += rate.samples > 0 ? 1 : 0;
            const bool isUnknown = rate.samples == 0 && highest(rate) == 1.0;
            const bool isRight = isWithin(rate.decodeFactor, fleet.factor(i), 0.3);
            wrong += isUnknown || isRight ? 0 : 1;
        }
    }
    EXPECT_GE(known, hosts * 75 / 100);
    EXPECT_LE(wrong, hosts * 5 / 100);
}

// Guards against an endpoint that nobody rates any more since a collector has ended.
TEST(EndpointRates, SlowEndpointIsDetectedWithoutOneOfItsCollectors)
{
    RateFleet fleet({});
    fleet.runFor(LearningTime);
    for (int host = 0; host < 65; host += 3) {
        fleet.kill(host); // one failure domain
    }
    fleet.runFor(seconds(1));
    fleet.setFactor(11, 3.0);
    fleet.setFactor(12, 3.0);
    fleet.setFactor(13, 3.0);
    fleet.runFor(seconds(3));
    for (int endpoint = 11; endpoint <= 13; ++endpoint) {
        EXPECT_GE(fleet.shareOf(endpoint, [](const auto &rate) { return highest(rate) >= 1.5; }),
                  0.9);
    }
}

// Guards against an endpoint that gets no requests for good since it was slow when it got some.
TEST(EndpointRates, RateThatNobodyMeasuresFades)
{
    EndpointRates rates(HostId("h"), DomainId("d"));
    const EndpointProcess process{EndpointId("e"), 1};
    rates.setEndpoint(process, ServiceId("s"));
    const Instant start{std::chrono::hours(1)};
    ASSERT_TRUE(rates.onRate({processKey(process), 3.0, 2.0, 9, start}, start));
    struct
    {
        Interval age;
        double min;
        double max;
    } const rows[] = {{seconds(0), 3.0, 3.0},
                      {EndpointRates::FullAge, 3.0, 3.0},
                      {seconds(20), 1.1, 2.0},
                      {EndpointRates::FadedAge, 1.0, 1.0}};
    for (const auto &row : rows) {
        rates.tick(start + row.age);
        const EndpointRate rate = rates.rateOf(process.endpoint, start + row.age);
        EXPECT_GE(rate.prefillFactor, row.min);
        EXPECT_LE(rate.prefillFactor, row.max);
    }
    EXPECT_EQ(rates.rateOf(process.endpoint, start + seconds(30)).samples, 0U);
}

// Guards against log lines and decisions about endpoints that aren't listed.
TEST(EndpointRates, UnknownProcessIsRejected)
{
    EndpointRates rates(HostId("h"), DomainId("d"));
    rates.setEndpoint({EndpointId("e"), 1}, ServiceId("s"));
    const Instant now{std::chrono::hours(1)};
    const uint32_t other = processKey({EndpointId("e"), 2});
    EXPECT_FALSE(rates.onRate({other, 3.0, 3.0, 9, now}, now));
    EXPECT_FALSE(rates.onMeasurement({other, 3.0, 3.0, 1, now}, HostId("g"), now));
    EXPECT_EQ(rates.rateOf(EndpointId("e"), now).samples, 0U);
    EXPECT_EQ(rates.rateOf(EndpointId("unlisted"), now).prefillFactor, 1.0);
    EXPECT_EQ(rates.knownCount(now), 0U);
}

// Guards against rates that flap between lines of a log.
TEST(EndpointRates, CrossingIsReportedOnce)
{
    EndpointRates rates(HostId("h"), DomainId("d"));
    const EndpointProcess process{EndpointId("e"), 1};
    rates.setEndpoint(process, ServiceId("s"));
    std::vector<bool> crossings;
    rates.onCrossed = [&crossings](const EndpointId &, const EndpointRate &, bool isSlow) {
        crossings.push_back(isSlow);
    };
    Instant now{std::chrono::hours(1)};
    for (const double factor : {1.4, 1.6, 1.45, 1.6, 1.2, 1.45}) {
        now += seconds(1);
        rates.onRate({processKey(process), factor, 1.0, 9, now}, now);
    }
    EXPECT_EQ(crossings, (std::vector<bool>{true, false}));
}

} // namespace
