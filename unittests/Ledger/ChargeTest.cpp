/// What each end of a request is charged.

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/Charge.h"

using namespace sequoiagate;

namespace {

constexpr uint64_t Prompt = 100;
constexpr uint64_t MostOutput = 80;
constexpr uint64_t TokensPerEvent = 4;

struct ChargeCase
{
    const char *name;
    std::vector<AttemptEnd> attempts;
    uint64_t eventsPassedOn;
    uint64_t expected;
    bool plainAnswerPassedOn = false;
};

class Charge : public testing::TestWithParam<ChargeCase>
{};

const ChargeCase ChargeCases[] = {
        {"NeverSent", {}, 0, 0},
        {"NotConnected", {AttemptEnd::NotConnected}, 0, 0},
        {"RefusedAsNotExecuted", {AttemptEnd::NotExecuted}, 0, 0},
        {"RefusedByAllAsNotExecuted", {AttemptEnd::NotExecuted, AttemptEnd::NotExecuted}, 0, 0},
        {"CutBeforeTheFirstEvent", {AttemptEnd::ConnectionLost}, 0, 132},
        {"CutInTheStream", {AttemptEnd::ConnectionLost}, 3, 144},
        {"CancelledBeforeTheFirstEvent", {AttemptEnd::Cancelled}, 0, 132},
        {"CancelledInTheStream", {AttemptEnd::Cancelled}, 3, 144},
        {"DeadlineBeforeTheFirstEvent", {AttemptEnd::TimedOut}, 0, 132},
        {"DeadlineInTheStream", {AttemptEnd::TimedOut}, 3, 144},
        {"AnswerRejected", {AttemptEnd::ResponseRejected}, 0, 100},
        {"FailedByTheEndpoint", {AttemptEnd::Failed}, 0, 100},
        {"AnsweredWhole", {AttemptEnd::Completed}, 20, 180},
        {"AnsweredInFewerEventsThanAllowed", {AttemptEnd::Completed}, 5, 120},
        {"AnsweredWithALastEventThatIsntFull", {AttemptEnd::Completed}, 21, 180},
        {"AnsweredPlainly", {AttemptEnd::Completed}, 0, 180, true},
        {"PlainAnswerCutAfterItsFirstPart", {AttemptEnd::ConnectionLost}, 0, 180, true},
        {"AnsweredAfterNotConnected", {AttemptEnd::NotConnected, AttemptEnd::Completed}, 5, 120},
        {"AnsweredAfterNotExecuted", {AttemptEnd::NotExecuted, AttemptEnd::Completed}, 5, 120},
        {"NotExecutedElsewhereAfterACut",
         {AttemptEnd::ConnectionLost, AttemptEnd::NotExecuted},
         0,
         132},
        {"NotConnectedElsewhereAfterACutInTheStream",
         {AttemptEnd::ConnectionLost, AttemptEnd::NotConnected},
         3,
         144},
        {"StreamCutAndGoneOnWithElsewhere",
         {AttemptEnd::ConnectionLost, AttemptEnd::Completed},
         5,
         152},
        {"RepeatedElsewhereAfterASilence", {AttemptEnd::Stalled, AttemptEnd::Completed}, 5, 152},
        {"RepeatedElsewhereAfterAFailure", {AttemptEnd::Failed, AttemptEnd::Completed}, 5, 120},
        {"CutTwice", {AttemptEnd::ConnectionLost, AttemptEnd::ConnectionLost}, 3, 144},
};

TEST_P(Charge, IsWhatMayHaveBeenUsed)
{
    const ChargeCase &row = GetParam();
    EXPECT_EQ(tokensToCharge({Prompt, MostOutput, TokensPerEvent, row.attempts, row.eventsPassedOn,
                              row.plainAnswerPassedOn}),
              row.expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, Charge, testing::ValuesIn(ChargeCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
