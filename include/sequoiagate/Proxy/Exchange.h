#ifndef SEQUOIAGATE_PROXY_EXCHANGE_H
#define SEQUOIAGATE_PROXY_EXCHANGE_H

/// One request of a caller, from its reading to the end of its answer: route, key, tokens,
/// endpoint, answer; and what is done when one of them fails.
///
/// What always holds here:
/// - A request that may not be repeated is sent once. It is called "not run" only if no
///   byte of it left, or the endpoint said that it didn't run it.
/// - An answer is passed on as the endpoint's only if it bears the request's id. A plain
///   one is passed on whole; a stream event by event, and its end only if it was seen.
/// - When the caller leaves, the endpoint's connection is closed, which ends its work.
/// - At its route's timeout or its caller's patience a request is answered at that moment.

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

/// A request as it was read.
struct CallerRequest
{
    RequestHead head;
    std::string body;
    Instant receivedAt;
};

/// Single-threaded. Keeps itself alive until it has ended.
class Exchange : public std::enable_shared_from_this<Exchange>, private HttpCallObserver
{
public:
    /// \pre context and sink outlive the exchange, or onCallerClosed is called before the sink goes.
    Exchange(ProxyContext &context, CallerRequest request, ResponseSink &sink);
    ~Exchange() override;

    void start();
    /// The caller's connection is closed. \param detail the error, if there was one
    void onCallerClosed(CallerCloseReason why, const std::string &detail);
    /// Ends it at once, since the process ends, and tells its caller whether it may have run.
    void stop();
    /// The caller took bytes: more may be read from the endpoint.
    void onBacklogReduced();
    bool ended() const { return statechart_.isFinished(); }

private:
    /// One sending to one endpoint.
    struct Attempt
    {
        Attempt(EndpointId to, Instant at) : endpoint(std::move(to)), sentAt(at) {}

        std::shared_ptr<HttpConnection> connection;
        EndpointId endpoint;
        Instant sentAt;
        ResponseMetadata metadata;
        ResponseHead head;
        std::string body;
        EventSplitter splitter;
        bool isSuccess = false; ///< a good answer's head has come
        bool hasFirstEvent = false;
        bool passThrough = false; ///< a plain answer too large to be held
        /// How it counts if it ends now. An end that nobody told counts as a cut.
        AttemptOutcome outcome = AttemptOutcome::ConnectionLost;
    };

    void admit();
    bool resolveRouteAndWorkspace();
    void reserveTokens();
    void onReserved(std::optional<Verdict> refusal);
    void place();
    void send(const PlacementTarget &placed);
    RequestHead forwardHead(Instant now, const EndpointId &endpoint) const;

    // ---- what comes back ----
    void onHead(const ResponseHead &head) override;
    void onBody(std::string_view bytes) override;
    void onDone() override;
    void onFailed(CallFailure how, const std::string &why) override;
    void onStreamBytes(std::string_view bytes);
    bool forwardEvent(const StreamEvent &event);
    void beginStream();
    void onNotExecuted();
    void onPlainResponse();
    void endAttempt(bool succeeded);
    void cancelAttempt(bool succeeded);

    // ---- what is done about a failure ----
    bool mayRetry() const;
    void onNotConnected(const std::string &why, Instant now);
    void retryOrFail(const std::string &why);
    void retryElsewhere(const std::string &why);
    void refuse(Verdict verdict);
    /// Refuses what the configuration doesn't allow; only for now if it may be out of date.
    void refuseByConfig(Reason reason, const std::string &why);
    void fail(Reason reason, const std::string &why, int status);
    void onDeadline();
    void onStalled();
    void setStallTimeout(Interval limit);
    void armStallTimer();
    void disarmStallTimer();

    void finish(std::string_view event, std::string_view outcome, int status);
    void settle();
    uint64_t spentTokens() const;
    /// Notes that the open attempt, if any, is broken off by this side.
    void recordLocalEnd(AttemptOutcome outcome);
    WorkItem workItem() const;
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
    StatechartInstance statechart_;
    Instant deadline_ = Never;
    boost::asio::steady_timer deadlineTimer_;
    DeadlineTimer stallTimer_;
    Instant stallDeadline_ = Never; ///< the endpoint counts as silent then
    bool stallTimerArmed_ = false;
    std::optional<TokenRequestId> tokenRequest_;
    uint64_t reservedTokens_ = 0;
    bool hasReservation_ = false;
    std::optional<Attempt> attempt_;
    std::vector<EndpointId> triedEndpoints_;
    uint32_t sendCount_ = 0;        ///< endpoints that a byte of it was, or may have been, sent to
    uint32_t connectFailures_ = 0;  ///< endpoints that it could not connect to
    uint32_t possibleExecutions_ = 0; ///< of these, that may have begun to run it
    std::vector<AttemptOutcome> attemptEnds_; ///< of all attempts but an open one
    bool streaming_ = false;           ///< the caller has the head of a stream
    bool plainResponseForwarded_ = false;     ///< of a success, whole or in part
    uint64_t forwardedEvents_ = 0;
    std::optional<uint64_t> lastEventId_;
    std::shared_ptr<Exchange> self_; ///< while it is open
};

} // namespace sequoiagate

#endif
