#ifndef SEQUOIAGATE_SERVICE_EVENTS_H
#define SEQUOIAGATE_SERVICE_EVENTS_H

/// The events that the history checker and the time line know, with the fields
/// each must have beside those of every line. Other events may be logged freely.

#include <string_view>

namespace sequoiagate::events {

// ---- router: a request's life. All carry request, workspace. ----
inline constexpr std::string_view RequestReceived = "request.received"; // body_hash, idempotent
inline constexpr std::string_view RequestReserved = "request.reserved"; // tokens, keeper
inline constexpr std::string_view RequestSent = "request.sent";         // endpoint, attempt
inline constexpr std::string_view RequestAnswered = "request.answered"; // answer_hash, tokens
inline constexpr std::string_view RequestRefused = "request.refused";   // execution, reason
inline constexpr std::string_view StreamResumed = "stream.resumed";     // endpoint, position

// ---- keeper ----
inline constexpr std::string_view GrantAccepted = "grant.accepted";  // grant, workspace, tokens
inline constexpr std::string_view GrantEnded = "grant.ended";        // grant, refund, how
inline constexpr std::string_view WindowSigned = "window.signed";    // grant, signed_total
inline constexpr std::string_view BillDurable = "bill.durable";      // workspace, request, tokens
inline constexpr std::string_view RunClaimed = "run.claimed";        // workspace, key, attempt
inline constexpr std::string_view ConfigInForce = "config.in_force"; // version
inline constexpr std::string_view ReservationMade = "reservation.made";       // workspace, tokens
inline constexpr std::string_view ReservationSettled = "reservation.settled"; // spent

// ---- stand-ins: the ground truth of what endpoints did ----
inline constexpr std::string_view EndpointRan = "endpoint.ran"; // endpoint, workspace, request,
                                                                // attempt, tokens, answer_hash, key
inline constexpr std::string_view EndpointReceived = "endpoint.received"; // endpoint, request
inline constexpr std::string_view EndpointLeaving = "endpoint.leaving";   // endpoint
inline constexpr std::string_view LogAccepted = "log.accepted";           // stream, offset

// ---- every program ----
inline constexpr std::string_view ProcessStarted = "process.started"; // address
inline constexpr std::string_view ProcessDraining = "process.draining";
inline constexpr std::string_view ProcessStopped = "process.stopped"; // stranded_tokens, cut_off

// ---- clients in tests: what callers saw ----
inline constexpr std::string_view CallerSent = "caller.sent"; // request, workspace, key
inline constexpr std::string_view CallerGot = "caller.got";   // status, answer_hash, whole,
                                                              // execution, tokens
} // namespace sequoiagate::events

#endif
