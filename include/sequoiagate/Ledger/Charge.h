#ifndef SEQUOIAGATE_LEDGER_CHARGE_H
#define SEQUOIAGATE_LEDGER_CHARGE_H

/// What a request is charged to its workspace when it has ended. Pure.
///
/// A workspace consumes the prompt, once per request, and the output that was delivered. What may
/// have run counts as run, and what may have been delivered as delivered. A request is sent to no,
/// one or more endpoints, and each sending has an end:
///
/// | end | surely did not run | may have run | why the charge is enough |
/// |---|---|---|---|
/// | none: never sent | all of it | | no endpoint knows it |
/// | NotConnected | all of it | | no byte of it left |
/// | NotExecuted | all of it | | the endpoint says so, and keeps to it |
/// | Cut before the request was whole | | all of it | its head may be enough to start it |
/// | Cut, Cancelled, Silent, TimedOut | | all of it | see below |
/// | AnswerRejected | | the prompt | nothing of its answer was passed on |
/// | Failed | | the prompt | the endpoint's own failure counts as run; it holds no output |
/// | Answered | | all of it | all events count, or the most output of a plain answer |
///
/// The prompt is charged if any of the attempts may have run. Of the output what was passed on is
/// charged, from whichever endpoint: nothing else can have been delivered to the caller. Events
/// count when they are handed to its connection, since nobody knows whether it read them. How many
/// tokens a plain answer holds isn't known either, so that it counts at its most.
///
/// An event that was on its way when the connection was cut was made, and delivered to nobody.
/// Some of these are charged as a margin; it is no bound of what an endpoint may have made.

#include <cstdint>
#include <vector>

namespace sequoiagate {

/// How a sending of a request to an endpoint ended.
enum class AttemptOutcome {
    NotConnected,     ///< no byte of it left; also if broken off while connecting
    NotExecuted,      ///< the endpoint said that it did not run the request
    ConnectionLost,   ///< the connection or the answer broke, at any point
    Cancelled,        ///< the caller left, before or in the answer
    Stalled,          ///< given up for the endpoint's silence, before or in the answer
    TimedOut,         ///< the request's deadline passed, before or in the answer
    ResponseRejected, ///< the answer was another request's, or not the endpoint's own
    Failed,           ///< the endpoint's own answer, no success
    Completed,        ///< whole
};

/// What is known of a request that has ended.
struct RequestUsage
{
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
    uint64_t tokensPerEvent = 0;
    std::vector<AttemptOutcome> attempts;
    uint64_t eventsForwarded = 0;               ///< of a stream, from all endpoints
    bool nonStreamingResponseForwarded = false; ///< a success that is no stream, whole or in part
};

/// \returns the tokens to charge, at most the prompt and the most output. \pre use.attempts holds
/// all attempts of the request. Thread safe.
uint64_t tokensToCharge(const RequestUsage &use);

} // namespace sequoiagate

#endif
