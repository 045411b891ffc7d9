/// The charge for each outcome of a request.

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/Charge.h"

using namespace sequoiagate;

namespace {

constexpr uint64_t Prompt = 100;
constexpr uint64_t MaxOutput = 80;
constexpr uint64_t TokensPerEvent = 4;

struct ChargeCase
{
    const char *name;
    std::vector<AttemptOutcome> outcomes;
    uint64_t eventsForwarded;
    uint64_t expected;
    bool nonStreamingResponseForwarded = false;
};

class Charge : public testing::TestWithParam<ChargeCase>
{};

const ChargeCase ChargeCases[] = {
        {"NeverSent", {}, 0, 0},
        {"NotConnected", {AttemptOutcome::NotConnected}, 0, 0},
        {"NotExecuted", {AttemptOutcome::NotExecuted}, 0, 0},
        {"NotExecutedByAll", {AttemptOutcome::NotExecuted, AttemptOutcome::NotExecuted}, 0, 0},
        {"ConnectionLostBeforeFirstEvent", {AttemptOutcome::ConnectionLost}, 0, 132},
        {"ConnectionLostInStream", {AttemptOutcome::ConnectionLost}, 3, 144},
        {"CancelledBeforeFirstEvent", {AttemptOutcome::Cancelled}, 0, 132},
        {"CancelledInStream", {AttemptOutcome::Cancelled}, 3, 144},
        {"DeadlineBeforeFirstEvent", {AttemptOutcome::TimedOut}, 0, 132},
        {"DeadlineInStream", {AttemptOutcome::TimedOut}, 3, 144},
        {"ResponseRejected", {AttemptOutcome::ResponseRejected}, 0, 100},
        {"FailedByEndpoint", {AttemptOutcome::Failed}, 0, 100},
        {"Completed", {AttemptOutcome::Completed}, 20, 180},
        {"CompletedWithFewerEventsThanAllowed", {AttemptOutcome::Completed}, 5, 120},
        {"CompletedWithPartialLastEvent", {AttemptOutcome::Completed}, 21, 180},
        {"NonStreamingResponse", {AttemptOutcome::Completed}, 0, 180, true},
        {"NonStreamingResponseInterrupted", {AttemptOutcome::ConnectionLost}, 0, 180, true},
        {"CompletedAfterNotConnected",
         {AttemptOutcome::NotConnected, AttemptOutcome::Completed},
         5,
         120},
        {"CompletedAfterNotExecuted",
         {AttemptOutcome::NotExecuted, AttemptOutcome::Completed},
         5,
         120},
        {"NotExecutedAfterConnectionLost",
         {AttemptOutcome::ConnectionLost, AttemptOutcome::NotExecuted},
         0,
         132},
        {"NotConnectedAfterConnectionLostInStream",
         {AttemptOutcome::ConnectionLost, AttemptOutcome::NotConnected},
         3,
         144},
        {"StreamResumedElsewhere",
         {AttemptOutcome::ConnectionLost, AttemptOutcome::Completed},
         5,
         152},
        {"RetriedAfterStall", {AttemptOutcome::Stalled, AttemptOutcome::Completed}, 5, 152},
        {"RetriedAfterFailure", {AttemptOutcome::Failed, AttemptOutcome::Completed}, 5, 120},
        {"ConnectionLostTwice",
         {AttemptOutcome::ConnectionLost, AttemptOutcome::ConnectionLost},
         3,
         144},
};

TEST_P(Charge, CoversWhatMayHaveBeenUsed)
{
    const ChargeCase &row = GetParam();
    EXPECT_EQ(tokensToCharge({Prompt, MaxOutput, TokensPerEvent, row.outcomes, row.eventsForwarded,
                              row.nonStreamingResponseForwarded}),
              row.expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, Charge, testing::ValuesIn(ChargeCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
