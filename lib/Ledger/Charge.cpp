#include "sequoiagate/Ledger/Charge.h"

#include <algorithm>
#include <stdexcept>

namespace sequoiagate {

namespace {

struct EndRule
{
    AttemptOutcome end;
    bool mayHaveRun;
    uint64_t unreadEvents; ///< that may have been on their way
};

/// Events that are charged as a margin where a stream is cut: they may have been on their way.
constexpr uint64_t OverrunEvents = 8;

constexpr EndRule EndRules[] = {
        {AttemptOutcome::NotConnected, false, 0},
        {AttemptOutcome::NotExecuted, false, 0},
        {AttemptOutcome::ConnectionLost, true, OverrunEvents},
        {AttemptOutcome::Cancelled, true, OverrunEvents},
        {AttemptOutcome::Stalled, true, OverrunEvents},
        {AttemptOutcome::TimedOut, true, OverrunEvents},
        {AttemptOutcome::ResponseRejected, true, 0},
        {AttemptOutcome::Failed, true, 0},
        {AttemptOutcome::Completed, true, 0},
};

const EndRule &ruleOf(AttemptOutcome end)
{
    const auto *rule = std::find_if(std::begin(EndRules), std::end(EndRules),
                                    [end](const EndRule &each) { return each.end == end; });
    if (rule == std::end(EndRules)) {
        throw std::logic_error("an end of an attempt has no charge");
    }
    return *rule;
}

} // namespace

uint64_t tokensToCharge(const RequestUsage &use)
{
    bool mayHaveRun = false;
    uint64_t unreadEvents = 0;
    for (const AttemptOutcome end : use.attempts) {
        const EndRule &rule = ruleOf(end);
        mayHaveRun = mayHaveRun || rule.mayHaveRun;
        unreadEvents = std::max(unreadEvents, rule.unreadEvents);
    }
    if (!mayHaveRun) {
        return 0;
    }
    if (use.nonStreamingResponseForwarded) {
        return use.promptTokens + use.maxOutputTokens;
    }
    const uint64_t events = use.eventsForwarded + unreadEvents;
    return use.promptTokens + std::min(use.maxOutputTokens, events * use.tokensPerEvent);
}

} // namespace sequoiagate
