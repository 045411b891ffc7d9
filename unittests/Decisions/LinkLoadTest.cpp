/// A host whose link fills: who is sent elsewhere, what is refused, and when it ends.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/LinkLoad.h"

using namespace sequoiagate;

namespace {

struct LoadCase
{
    const char *name;
    int requestsPerSecond; ///< of 18 KB, each received and sent on
    bool sheds;
    bool refuses;
};

class LinkUnderLoad : public testing::TestWithParam<LoadCase>
{};

// A link of 10 Mbit/s carries 69 prompts of 18 KB a second each way. Without the limits 90 a
// second were taken there, of which 15% were answered in time.
const LoadCase LoadCases[] = {{"Idle", 0, false, false},
                              {"Usual", 30, false, false},
                              {"NearlyFull", 57, true, false},
                              {"Overrun", 90, true, true}};

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

struct ReturnCase
{
    const char *name;
    uint32_t mostDoublings;
    int leastFullSeconds;
    int mostFullSeconds;
};

class LinkOfACallerThatReturns : public testing::TestWithParam<ReturnCase>
{};

// A caller's requests fail for seconds, again and again: alone it fills this host's link, goes
// elsewhere two seconds after the host sheds, and is back when the host takes callers again.
// In two minutes the link was full for 46 s of them, and is for 14 s with longer absences.
const ReturnCase ReturnCases[] = {{"AlwaysAfterTheSameTime", 0, 40, 50},
                                  {"LaterEachTime", LinkLoadSettings().mostDoublings, 5, 18}};

TEST_P(LinkOfACallerThatReturns, IsFullLessOften)
{
    constexpr uint64_t Prompt = 18'000;
    constexpr int RequestsASecond = 150;
    constexpr int Seconds = 120;
    constexpr Interval BalancerNotices = std::chrono::seconds(2);
    LinkLoadSettings settings;
    settings.bytesPerSecond = 10'000'000 / 8;
    settings.mostDoublings = GetParam().mostDoublings;
    LinkLoad link(settings);
    Instant now{std::chrono::hours(1)};
    Instant shedSince = Never;
    int fullFor = 0;
    for (int i = 0; i < Seconds * RequestsASecond; ++i) {
        now += std::chrono::nanoseconds(std::chrono::seconds(1)) / RequestsASecond;
        const bool sheds = link.shedding(now);
        shedSince = sheds ? std::min(shedSince, now) : Never;
        const bool isHere = !sheds || now < shedSince + BalancerNotices;
        if (isHere) {
            link.onReceived(Prompt, now);
            ++fullFor;
        }
    }
    EXPECT_GE(fullFor / RequestsASecond, GetParam().leastFullSeconds);
    EXPECT_LE(fullFor / RequestsASecond, GetParam().mostFullSeconds);
}

INSTANTIATE_TEST_SUITE_P(Rows, LinkOfACallerThatReturns, testing::ValuesIn(ReturnCases),
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
