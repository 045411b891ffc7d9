#ifndef SEQUOIAGATE_LEDGER_CHARGE_H
#define SEQUOIAGATE_LEDGER_CHARGE_H

/// Computes the tokens to charge a workspace for a request that has ended. Pure.
///
/// A workspace is charged for the prompt, once per request, and for the output that was delivered.
/// Whatever may have run counts as run, and whatever may have been delivered counts as delivered. A
/// request is sent to zero or more endpoints, and each attempt has an outcome:
///
/// | outcome | certainly did not run | may have run | why the charge is sufficient |
/// |---|---|---|---|
/// | none: never sent | everything | | no endpoint knows the request |
/// | NotConnected | everything | | no byte was sent |
/// | NotExecuted | everything | | the endpoint says so, and adheres to it |
/// | ConnectionLost before the request was complete | | everything | the head may be enough to
/// start it | | ConnectionLost, Cancelled, Stalled, TimedOut | | everything | see below | |
/// ResponseRejected | | the prompt | nothing of the response was forwarded | | Failed | | the
/// prompt | the endpoint's own failure counts as run; it contains no output | | Completed | |
/// everything | all events, or the maximum output of a non-streaming response |
///
/// The prompt is charged if any of the attempts may have run. Output is charged if it was
/// forwarded, from whichever endpoint: nothing else can have been delivered to the caller. Events
/// count when they are written to the caller's connection, since it is unknown whether the caller
/// read them. The number of tokens in a non-streaming response is unknown too, so it is charged at
/// its maximum.
///
/// An event in transit when the connection broke was generated but not delivered. A fixed number of
/// such events is charged as a margin; it does not bound what an endpoint may have generated.

#include <cstdint>
#include <vector>

namespace sequoiagate {

/// The outcome of an attempt to send a request to an endpoint.
enum class AttemptOutcome {
    NotConnected,   ///< no byte was sent; includes attempts aborted while connecting
    NotExecuted,    ///< the endpoint reported that it did not run the request
    ConnectionLost, ///< the connection or the response broke off, at any point
    Cancelled,      ///< the caller disconnected, before or during the response
    Stalled,        ///< abandoned because the endpoint sent nothing, before or during the response
    TimedOut,       ///< the request's deadline expired, before or during the response
    ResponseRejected, ///< the response belonged to another request, was malformed, or was not the
                      ///< endpoint's own
    Failed,           ///< the endpoint's own response, not a success
    Completed,        ///< received in full
};

/// What is known about a request that has ended.
struct RequestUsage
{
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
    uint64_t tokensPerEvent = 0;
    std::vector<AttemptOutcome> attempts;
    uint64_t eventsForwarded = 0; ///< of streams, from all endpoints
    bool nonStreamingResponseForwarded =
            false; ///< a successful non-streaming response, in full or in part
};

/// \returns the tokens to charge, at most the prompt plus the maximum output.
/// \pre use.attempts holds all attempts of the request. Thread safe.
uint64_t tokensToCharge(const RequestUsage &use);

} // namespace sequoiagate

#endif
