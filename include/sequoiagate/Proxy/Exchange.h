#ifndef SEQUOIAGATE_PROXY_EXCHANGE_H
#define SEQUOIAGATE_PROXY_EXCHANGE_H

/// One request of a caller, from its receipt to the end of its response: finds the route,
/// checks the API key, reserves tokens, selects an endpoint, forwards the response and handles
/// failures of each step.
///
/// Invariants:
/// - A non-idempotent request is sent once. It is reported as "not run" only if no byte of it
///   was sent, or the endpoint reported that it didn't run it.
/// - A response is forwarded as the endpoint's only if it carries the request's id. A
///   non-streaming response is forwarded completely, a stream event by event and its end only
///   if the endpoint ended it.
/// - When the caller disconnects, the endpoint's connection is closed, which cancels its work.
/// - An endpoint that is silent is given up only for another one that has begun a success. Until
///   then whichever is heard first is the one whose response counts.
/// - When the route's or the caller's timeout expires, the request is answered at once.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Proxy/ProxyContext.h"

#include <boost/asio/steady_timer.hpp>

#include "sequoiagate/Ledger/Charge.h"
#include "sequoiagate/Proxy/CallerCloseReason.h"
#include "sequoiagate/Proxy/EventSplitter.h"
#include "sequoiagate/Proxy/ResponseSink.h"
#include "sequoiagate/Service/DeadlineTimer.h"

namespace sequoiagate {

/// A request as received from the caller.
struct CallerRequest
{
    RequestHead head;
    std::string body;
    Instant receivedAt;
};

/// Single-threaded. Keeps itself alive until the request has ended.
class Exchange : public std::enable_shared_from_this<Exchange>, private HttpCallObserver
{
public:
    /// \pre context and sink outlive the exchange, or onCallerClosed is called before the sink is
    /// destroyed.
    Exchange(ProxyContext &context, CallerRequest request, ResponseSink &sink);
    ~Exchange() override;

    void start();
    /// Called when the caller's connection is closed. \param detail the error, if any
    void onCallerClosed(CallerCloseReason reason, const std::string &detail);
    /// Ends the request at once because the process stops, and reports to the caller whether it
    /// may have run.
    void stop();
    /// Called when bytes were written to the caller, so that reading from the endpoint may
    /// resume.
    void onBacklogReduced();
    /// Bytes of the request's body, with the copy that is sent.
    std::size_t requestBytes() const;
    /// Bytes of the response that are buffered here.
    std::size_t responseBytes() const;
    const RequestId &requestId() const { return metadata_.id; }
    bool ended() const { return statechart_.isFinished(); }

private:
    /// One attempt: the request sent to one endpoint.
    struct Attempt
    {
        Attempt(EndpointId to, Instant at) : endpoint(std::move(to)), sentAt(at) {}

        std::shared_ptr<HttpConnection> connection;
        EndpointId endpoint;
        HostId relay; ///< the host that relays it; empty if none does
        SoftwareVersion version;
        bool isVersionConfirmed = true;
        uint64_t startedAtMillis = 0; ///< of the endpoint's process
        Instant sentAt;
        ResponseMetadata metadata;
        ResponseHead head;
        std::string body;
        std::size_t bodyBytes = 0; ///< received, of the body
        EventSplitter splitter;
        bool isSuccess = false; ///< the head of a successful response was received
        bool hasFirstEvent = false;
        Instant firstEventAt{};
        uint64_t unreportedEvents = 0; ///< since the first one or the last report of progress
        bool wasPaused = false;        ///< reading, since then
        bool isAnswerReported = false; ///< that the endpoint has been writing for a while
        bool passThrough = false;      ///< a non-streaming response too large to buffer
        Instant pausedAt = Never;      ///< when reading was paused; Never if it isn't
        Instant resumedAt{};           ///< the last time
        Interval longestPause{};
        bool isEndReported = false; ///< to the placement
        /// The outcome if the attempt ends now. Without a known cause it is a lost connection.
        AttemptOutcome outcome = AttemptOutcome::ConnectionLost;
    };

    /// Receives what an endpoint sends that was found silent.
    class SilentAttemptObserver : public HttpCallObserver
    {
    public:
        explicit SilentAttemptObserver(Exchange &exchange) : exchange_(exchange) {}

        void onWritable() override { exchange_.onWritable(); }
        void onHead(const ResponseHead &head) override;
        void onBody(std::string_view bytes) override;
        void onDone() override;
        void onFailed(CallFailure failure, const std::string &detail) override;

    private:
        /// Lets the exchange receive what follows.
        void takeOver();

        Exchange &exchange_;
    };

    void admit();
    bool resolveRouteAndWorkspace();
    bool selectService();
    void findStreamOrigin();
    void onStreamOrigin(const StreamOrigin &origin);
    /// Refuses a request that would crash endpoints. \returns whether it did
    bool refuseQuarantined();
    /// Refuses a request that may not end before the process does. \returns whether it did
    bool refuseLate();
    /// When a request that is sent now will have ended. An idempotent one may take longer.
    Instant expectedEnd(Instant now) const;
    void reserveTokens();
    void onReserved(std::optional<Verdict> refusal);
    void place();
    void placeAt(Instant at);
    void placeNow();
    void send(const PlacementTarget &target);
    RequestHead forwardHead(Instant now, const EndpointId &endpoint) const;

    std::shared_ptr<HttpConnection> connectionTo(const PlacementTarget &target, Instant now);

    // ---- response ----
    void onConnected() override;
    void onWritable() override;
    void onHead(const ResponseHead &head) override;
    void onBody(std::string_view bytes) override;
    void onDone() override;
    void onFailed(CallFailure failure, const std::string &detail) override;
    void onStreamBytes(std::string_view bytes);
    /// Stops reading from the endpoint if too much is queued for the caller.
    void pauseIfFull();
    /// Whether the endpoint is likely to have aborted the response since it stayed unread.
    bool wasLeftUnread(Instant now) const;
    void logUnread(const std::string &detail, Instant now);
    bool forwardEvent(const StreamEvent &event);
    void beginStream();
    void onNotExecuted();
    void onPlainResponse();
    /// Ends a failure that isn't forwarded if its body is too large to wait for its end.
    void endOversizedFailure();
    /// Logs a response whose end was the end of its connection.
    void logUnframedEnd();
    /// Reports that the endpoint has written, or is writing, an answer on the prompt.
    void reportAnswer(Instant now);
    /// Reports how many events have arrived since the last report.
    void reportProgress(Instant now);
    /// Reports a lost connection, if the endpoint had no more than just begun to write.
    void logLoss(const std::string &detail, Instant now);
    void reportLoss(Instant now);
    void endAttempt(bool succeeded);
    void cancelAttempt(bool succeeded);
    void reportAttemptEnd(bool succeeded);

    // ---- silent endpoints ----
    /// Keeps the open attempt while another endpoint is asked.
    void keepSilentAttempt();
    /// Goes on with it in place of the open attempt, if there is one.
    void resumeSilentAttempt();
    void dropSilentAttempt();
    void onSilentAttemptLost(const std::string &detail);
    /// Waits for the silent endpoint, if there is one, in place of a failure for \p reason.
    /// \returns whether it does
    bool awaitSilentAttempt(Reason reason, const std::string &detail);

    // ---- failure handling ----
    bool mayRetry() const;
    void onNotConnected(const std::string &detail, Instant now);
    void onRelayFailed(RelayResult result, const std::string &detail, Instant now);
    void onMalformedResponse(const std::string &detail);
    void retryOrFail(const std::string &detail);
    void retryElsewhere(const std::string &detail);
    void refuse(Verdict verdict);
    /// Refuses a request that the configuration doesn't allow. If the configuration may be out
    /// of date, the refusal is a temporary one.
    void refuseByConfig(Reason reason, const std::string &detail);
    /// \param retryAt when the caller may send the request again; nullopt if nothing is known
    void fail(Reason reason, const std::string &detail, int status,
              std::optional<Instant> retryAt = std::nullopt);
    void onDeadline();
    void onStalled();
    void setStallTimeout(Interval limit);
    void armStallTimer();
    void disarmStallTimer();

    void finish(std::string_view event, std::string_view outcome, int status);
    void settle();
    uint64_t spentTokens() const;
    /// Records the outcome of the open attempt, if any, when this side aborts it.
    void recordLocalEnd(AttemptOutcome outcome);
    WorkItem workItem() const;
    uint32_t priority() const;
    Interval remaining(Instant now) const;
    void log(Event event);

    ProxyContext &context_;
    CallerRequest request_;
    ResponseSink &sink_;
    ServingConfigPtr config_;
    RequestMetadata metadata_;
    const Route *route_ = nullptr;
    const WorkspaceSpec *workspace_ = nullptr;
    const ServiceSpec *service_ = nullptr;
    RequestIdentity identity_;
    StatechartInstance statechart_;
    Instant deadline_ = Never;
    boost::asio::steady_timer deadlineTimer_;
    DeadlineTimer stallTimer_;
    Instant stallDeadline_ = Never; ///< when the endpoint counts as stalled
    bool stallTimerArmed_ = false;
    DeadlineTimer placementTimer_; ///< until the request is placed again
    std::optional<ReservationTicket> ticket_;
    uint64_t reservedTokens_ = 0;
    bool hasReservation_ = false;
    std::optional<Attempt> attempt_;
    std::optional<Attempt> silentAttempt_; ///< an earlier one, whose connection is still open
    SilentAttemptObserver silentObserver_{*this};
    bool awaitsSilentAttempt_ = false; ///< no other endpoint can respond
    std::vector<EndpointId> triedEndpoints_;
    Instant repeatAt_{};              ///< the earliest time of the next attempt
    uint32_t sendCount_ = 0;          ///< attempts of which a byte was or may have been sent
    uint32_t connectFailures_ = 0;    ///< endpoints that couldn't be connected to
    uint32_t relayFailures_ = 0;      ///< hosts that couldn't be used as relays
    uint32_t possibleExecutions_ = 0; ///< attempts that may have started to run the request
    std::vector<AttemptOutcome> attemptOutcomes_; ///< outcomes of the finished attempts
    bool streaming_ = false;                      ///< the head of a stream was sent to the caller
    bool hasForwardedPart_ = false;               ///< of a non-streaming response
    bool plainResponseForwarded_ = false;         ///< a success, completely or in part
    uint64_t forwardedEvents_ = 0;
    std::optional<uint64_t> lastEventId_;
    StreamContinuity continuity_;
    std::shared_ptr<Exchange> self_; ///< set while the request is open
};

} // namespace sequoiagate

#endif
