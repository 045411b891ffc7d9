#include "sequoiagate/Ledger/Charge.h"

#include <algorithm>
#include <stdexcept>

namespace sequoiagate {

namespace {

struct OutcomeRule
{
    AttemptOutcome outcome;
    bool mayHaveRun;
    uint64_t undeliveredEvents; ///< events that may have been in transit
};

/// Events charged as a margin if a stream breaks off: they may have been in transit.
constexpr uint64_t InTransitEvents = 8;

constexpr OutcomeRule OutcomeRules[] = {
        {AttemptOutcome::NotConnected, false, 0},
        {AttemptOutcome::NotExecuted, false, 0},
        {AttemptOutcome::ConnectionLost, true, InTransitEvents},
        {AttemptOutcome::Cancelled, true, InTransitEvents},
        {AttemptOutcome::Stalled, true, InTransitEvents},
        {AttemptOutcome::TimedOut, true, InTransitEvents},
        {AttemptOutcome::ResponseRejected, true, 0},
        {AttemptOutcome::Failed, true, 0},
        {AttemptOutcome::Completed, true, 0},
};

const OutcomeRule &ruleOf(AttemptOutcome outcome)
{
    const auto *rule =
            std::find_if(std::begin(OutcomeRules), std::end(OutcomeRules),
                         [outcome](const OutcomeRule &each) { return each.outcome == outcome; });
    if (rule == std::end(OutcomeRules)) {
        throw std::logic_error("an attempt outcome has no charge rule");
    }
    return *rule;
}

} // namespace

uint64_t tokensToCharge(const RequestUsage &use)
{
    bool mayHaveRun = false;
    uint64_t undeliveredEvents = 0;
    for (const AttemptOutcome outcome : use.attempts) {
        const OutcomeRule &rule = ruleOf(outcome);
        mayHaveRun = mayHaveRun || rule.mayHaveRun;
        undeliveredEvents = std::max(undeliveredEvents, rule.undeliveredEvents);
    }
    if (!mayHaveRun) {
        return 0;
    }
    if (use.nonStreamingResponseForwarded) {
        return use.promptTokens + use.maxOutputTokens;
    }
    const uint64_t events = use.eventsForwarded + undeliveredEvents;
    return use.promptTokens + std::min(use.maxOutputTokens, events * use.tokensPerEvent);
}

} // namespace sequoiagate
