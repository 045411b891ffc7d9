/// How long a dead holder can have been without a batch, by whose clocks.

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/ElapsedBound.h"

using namespace sequoiagate;

namespace {

const DomainId D("d");
const DomainId E("e");
/// A clock since boot that began anew.
constexpr Millis Elsewhere = std::chrono::hours(20);
constexpr Millis Morning = std::chrono::hours(400'000);

ClockReading clocks(Millis sinceBoot, Millis timeOfDay)
{
    return {{"boot", sinceBoot}, Morning + timeOfDay};
}

WitnessedSpan livedOn(const DomainId &domain, Millis span, Millis askedAfter = {})
{
    const Incarnation process("p");
    return {domain,    process, process, clocks(Millis(70), {}), clocks(Millis(70) + span, {}),
            askedAfter};
}

WitnessedSpan restarted(const DomainId &domain, Millis span, Millis askedAfter = {})
{
    return {domain,
            Incarnation("p"),
            Incarnation("q"),
            clocks(Millis(70'000), {}),
            clocks(Millis(9), span),
            askedAfter};
}

struct BoundCase
{
    const char *name;
    Millis own; ///< by the own time of day
    Millis ownBoot;
    std::vector<WitnessedSpan> peers;
    std::optional<Millis> bound;
};

class Bound : public testing::TestWithParam<BoundCase>
{};

const BoundCase BoundCases[] = {
        {"NobodyElse", Millis(800), Elsewhere, {}, std::nullopt},
        {"OwnClocksThatAgree", Millis(800), Millis(820), {}, Millis(820)},
        {"OwnClocksThatAgreeBeforeOthersTimes",
         Millis(800),
         Millis(780),
         {restarted(D, Millis(900)), restarted(E, Millis(1000))},
         Millis(800)},
        {"OwnClocksThatDontAgree", Millis(800), Millis(950), {}, std::nullopt},
        {"APeerThatLivedOnIsProof",
         Millis(800),
         Elsewhere,
         {livedOn(D, Millis(1500))},
         Millis(1500)},
        {"ItGoesBeforeTimesOfDay",
         Millis(90'000),
         Elsewhere,
         {livedOn(D, Millis(1500)), restarted(E, Millis(70'000))},
         Millis(1500)},
        {"TheLargestOfThem",
         Millis(800),
         Elsewhere,
         {livedOn(D, Millis(1500)), livedOn(E, Millis(1900))},
         Millis(1900)},
        {"LessTheTimeUntilItWasAsked",
         Millis(800),
         Elsewhere,
         {livedOn(D, Millis(5500), Millis(4000))},
         Millis(1500)},
        {"ThreeTimesOfDay",
         Millis(800),
         Elsewhere,
         {restarted(D, Millis(900)), restarted(E, Millis(1000))},
         Millis(1000)},
        {"OneOfThreeSetBackByLess",
         Millis(100),
         Elsewhere,
         {restarted(D, Millis(900)), restarted(E, Millis(1000))},
         Millis(1000)},
        {"OneOfThreeWentBack",
         Millis(-100),
         Elsewhere,
         {restarted(D, Millis(900)), restarted(E, Millis(1000))},
         std::nullopt},
        {"TwoTimesOfDay", Millis(800), Elsewhere, {restarted(E, Millis(900))}, std::nullopt},
        {"ThreeInOneFailureDomain",
         Millis(800),
         Elsewhere,
         {restarted(D, Millis(900)), restarted(D, Millis(1000))},
         std::nullopt},
};

TEST_P(Bound, IsTheLargestThatCanBeBelieved)
{
    const ElapsedEvidence evidence{D, clocks({}, {}), clocks(GetParam().ownBoot, GetParam().own),
                                   GetParam().peers};
    EXPECT_EQ(elapsedBound(evidence), GetParam().bound);
}

INSTANTIATE_TEST_SUITE_P(Rows, Bound, testing::ValuesIn(BoundCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
