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
    std::vector<AttemptOutcome> attempts;
    uint64_t eventsPassedOn;
    uint64_t expected;
    bool plainAnswerPassedOn = false;
};

class Charge : public testing::TestWithParam<ChargeCase>
{};

const ChargeCase ChargeCases[] = {
        {"NeverSent", {}, 0, 0},
        {"NotConnected", {AttemptOutcome::NotConnected}, 0, 0},
        {"RefusedAsNotExecuted", {AttemptOutcome::NotExecuted}, 0, 0},
        {"RefusedByAllAsNotExecuted",
         {AttemptOutcome::NotExecuted, AttemptOutcome::NotExecuted},
         0,
         0},
        {"CutBeforeTheFirstEvent", {AttemptOutcome::ConnectionLost}, 0, 132},
        {"CutInTheStream", {AttemptOutcome::ConnectionLost}, 3, 144},
        {"CancelledBeforeTheFirstEvent", {AttemptOutcome::Cancelled}, 0, 132},
        {"CancelledInTheStream", {AttemptOutcome::Cancelled}, 3, 144},
        {"DeadlineBeforeTheFirstEvent", {AttemptOutcome::TimedOut}, 0, 132},
        {"DeadlineInTheStream", {AttemptOutcome::TimedOut}, 3, 144},
        {"AnswerRejected", {AttemptOutcome::ResponseRejected}, 0, 100},
        {"FailedByTheEndpoint", {AttemptOutcome::Failed}, 0, 100},
        {"AnsweredWhole", {AttemptOutcome::Completed}, 20, 180},
        {"AnsweredInFewerEventsThanAllowed", {AttemptOutcome::Completed}, 5, 120},
        {"AnsweredWithALastEventThatIsntFull", {AttemptOutcome::Completed}, 21, 180},
        {"AnsweredPlainly", {AttemptOutcome::Completed}, 0, 180, true},
        {"PlainAnswerCutAfterItsFirstPart", {AttemptOutcome::ConnectionLost}, 0, 180, true},
        {"AnsweredAfterNotConnected",
         {AttemptOutcome::NotConnected, AttemptOutcome::Completed},
         5,
         120},
        {"AnsweredAfterNotExecuted",
         {AttemptOutcome::NotExecuted, AttemptOutcome::Completed},
         5,
         120},
        {"NotExecutedElsewhereAfterACut",
         {AttemptOutcome::ConnectionLost, AttemptOutcome::NotExecuted},
         0,
         132},
        {"NotConnectedElsewhereAfterACutInTheStream",
         {AttemptOutcome::ConnectionLost, AttemptOutcome::NotConnected},
         3,
         144},
        {"StreamCutAndGoneOnWithElsewhere",
         {AttemptOutcome::ConnectionLost, AttemptOutcome::Completed},
         5,
         152},
        {"RepeatedElsewhereAfterASilence",
         {AttemptOutcome::Stalled, AttemptOutcome::Completed},
         5,
         152},
        {"RepeatedElsewhereAfterAFailure",
         {AttemptOutcome::Failed, AttemptOutcome::Completed},
         5,
         120},
        {"CutTwice", {AttemptOutcome::ConnectionLost, AttemptOutcome::ConnectionLost}, 3, 144},
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
