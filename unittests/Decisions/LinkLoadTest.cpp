/// A host whose link is nearly full: when callers are sent to other hosts, which requests are
/// refused, and when shedding ends.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/LinkLoad.h"

using namespace sequoiagate;

namespace {

struct LoadCase
{
    const char *name;
    int requestsPerSecond; ///< of 18 KB, each received and forwarded
    bool sheds;
    bool refuses;
};

class LinkUnderLoad : public testing::TestWithParam<LoadCase>
{};

// A link of 10 Mbit/s carries 69 prompts of 18 KB a second in each direction. Without the
// limits 90 a second were accepted, of which 15% got a response in time.
const LoadCase LoadCases[] = {{"Idle", 0, false, false},
                              {"Normal", 30, false, false},
                              {"NearlyFull", 57, true, false},
                              {"Overloaded", 90, true, true}};

TEST_P(LinkUnderLoad, ShedsBeforeItRefuses)
{
    constexpr uint64_t Prompt = 18'000;
    LinkLoadSettings settings;
    settings.bytesPerSecond = 10'000'000 / 8;
    LinkLoad link(settings);
    Instant now{std::chrono::hours(1)};
    const int count = GetParam().requestsPerSecond * 5;
    int refused = 0;
    bool shed = false;
    for (int i = 0; i < count; ++i) {
        now += std::chrono::nanoseconds(std::chrono::seconds(1)) / GetParam().requestsPerSecond;
        link.onReceived(Prompt, now);
        shed = link.shedding(now) || shed;
        if (link.refuses(Prompt, now)) {
            ++refused;
            continue;
        }
        link.onSent(Prompt, now);
    }
    EXPECT_EQ(shed, GetParam().sheds);
    EXPECT_EQ(refused > 0, GetParam().refuses);
    EXPECT_FALSE(link.refuses(100, now));
    now += std::chrono::seconds(10);
    EXPECT_FALSE(link.shedding(now));
    EXPECT_FALSE(link.refuses(Prompt, now));
}

INSTANTIATE_TEST_SUITE_P(Rows, LinkUnderLoad, testing::ValuesIn(LoadCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct SmallMessageCase
{
    const char *name;
    int eventsPerSecond; ///< of 100 bytes, each received and forwarded
    bool refuses;
};

class LinkOfSmallMessages : public testing::TestWithParam<SmallMessageCase>
{};

// 270 prompts of 3.3 KB a second take 0.71 of a link of 10 Mbit/s. Guards against a host that
// counts the payload of events alone: 1,400 of them take 0.11 as payload and 0.19 on the link. It
// accepted more until requests, and the closes that cancel them, took over a second.
const SmallMessageCase SmallMessageCases[] = {{"FewEvents", 200, false},
                                              {"ManyEvents", 1'400, true}};

TEST_P(LinkOfSmallMessages, CountsHeaders)
{
    LinkLoadSettings settings;
    settings.bytesPerSecond = 10'000'000 / 8;
    LinkLoad link(settings);
    Instant now{std::chrono::hours(1)};
    bool isRefused = false;
    for (int millis = 0; millis < 3'000; ++millis) {
        now += std::chrono::milliseconds(1);
        const int events = (millis + 1) * GetParam().eventsPerSecond / 1'000
                           - millis * GetParam().eventsPerSecond / 1'000;
        for (int i = 0; i < events; ++i) {
            link.onReceived(100, now);
            link.onSent(100, now);
        }
        if ((millis + 1) * 270 / 1'000 > millis * 270 / 1'000) {
            link.onSent(3'300, now);
        }
        isRefused = isRefused || link.refuses(9'000, now);
    }
    EXPECT_EQ(isRefused, GetParam().refuses);
}

INSTANTIATE_TEST_SUITE_P(Rows, LinkOfSmallMessages, testing::ValuesIn(SmallMessageCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct ReturnCase
{
    const char *name;
    uint32_t maxDoublings;
    int minFullSeconds;
    int maxFullSeconds;
};

class LinkWithReturningCaller : public testing::TestWithParam<ReturnCase>
{};

// A single caller fills this host's link, moves to another host two seconds after this one
// begins to shed load, and returns when it accepts callers again; its requests fail for some
// seconds each time. In two minutes the link was full for 46 s, and is full for 14 s when the
// shedding time doubles.
const ReturnCase ReturnCases[] = {{"ConstantSheddingTime", 0, 40, 50},
                                  {"DoubledSheddingTime", LinkLoadSettings().maxDoublings, 5, 18}};

TEST_P(LinkWithReturningCaller, IsFullLessOftenWithLongerShedding)
{
    constexpr uint64_t Prompt = 18'000;
    constexpr int RequestsPerSecond = 150;
    constexpr int DurationSeconds = 120;
    constexpr Interval BalancerDelay = std::chrono::seconds(2);
    LinkLoadSettings settings;
    settings.bytesPerSecond = 10'000'000 / 8;
    settings.maxDoublings = GetParam().maxDoublings;
    LinkLoad link(settings);
    Instant now{std::chrono::hours(1)};
    Instant sheddingSince = Never;
    int received = 0;
    for (int i = 0; i < DurationSeconds * RequestsPerSecond; ++i) {
        now += std::chrono::nanoseconds(std::chrono::seconds(1)) / RequestsPerSecond;
        const bool sheds = link.shedding(now);
        sheddingSince = sheds ? std::min(sheddingSince, now) : Never;
        const bool reachesHost = !sheds || now < sheddingSince + BalancerDelay;
        if (reachesHost) {
            link.onReceived(Prompt, now);
            ++received;
        }
    }
    EXPECT_GE(received / RequestsPerSecond, GetParam().minFullSeconds);
    EXPECT_LE(received / RequestsPerSecond, GetParam().maxFullSeconds);
}

INSTANTIATE_TEST_SUITE_P(Rows, LinkWithReturningCaller, testing::ValuesIn(ReturnCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(LinkLoad, UnknownLinkIsNeverFull)
{
    LinkLoad link({});
    const Instant now{std::chrono::hours(1)};
    link.onReceived(1'000'000'000, now);
    EXPECT_FALSE(link.shedding(now));
    EXPECT_FALSE(link.refuses(1'000'000, now));
}

} // namespace
