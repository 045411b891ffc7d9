#ifndef SEQUOIAGATE_UNITTESTS_PROXY_PROXYTESTHARNESS_H
#define SEQUOIAGATE_UNITTESTS_PROXY_PROXYTESTHARNESS_H

/// One caller's connection and scripted endpoints on loopback, in one event loop. The tests
/// check what the caller receives and which requests the endpoints receive.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sequoiagate/Proxy/CallerConnection.h"

#include <boost/asio/ip/tcp.hpp>

#include "platform/PlatformDialect.h"
#include "sequoiagate/Base/Statechart.h"

namespace sequoiagate {

/// What an endpoint does after it has sent its bytes.
enum class AfterReply {
    Keep,
    Close,
    Reset,
    Hang, ///< keeps the connection open and sends nothing more
    Exit, ///< closes in order, and accepts no more connections: its process has ended
};

struct Reply
{
    std::string bytes; ///< "{id}" is replaced by the request's id
    AfterReply then = AfterReply::Keep;
    std::string later{}; ///< sent after the silence
    Interval silence{};
};

/// Answers each request with the next of its replies; doesn't respond once they are used up.
class ScriptedEndpoint
{
public:
    ScriptedEndpoint(boost::asio::io_context &io, std::vector<Reply> replies);
    ~ScriptedEndpoint();

    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    const std::vector<CallerRequest> &received() const { return received_; }
    /// Number of connections that the other side has closed.
    std::size_t closedByPeer() const { return closedByPeer_; }
    /// Closes the listening socket, so that new connections are refused.
    void stopListening() { acceptor_.close(); }

private:
    struct Connection;

    void accept();
    void read(const std::shared_ptr<Connection> &connection);
    void answer(const std::shared_ptr<Connection> &connection);
    void sendLater(const std::shared_ptr<Connection> &connection, const std::string &bytes,
                   Instant at);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<Reply> replies_;
    std::vector<CallerRequest> received_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::size_t closedByPeer_ = 0;
    /// False once the endpoint is gone; a handler may be queued then.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

/// Selects the endpoints in order, skipping those already attempted.
class OrderedPlacement : public Placement
{
public:
    PlacementResult place(const WorkItem &item, const std::vector<PromptPart> &prompt,
                          const std::vector<EndpointId> &tried, Instant now) override;
    void onSent(const EndpointId &, const WorkItem &, Instant) override { ++sent; }
    void onFirstToken(const EndpointId &, const RequestId &, Instant) override {}
    void onStreamProgress(const EndpointId &, const RequestId &, uint64_t events, Instant) override
    {
        progress.push_back(events);
    }
    void onAttemptEnd(const AttemptResult &, Instant) override { ++ended; }
    void onNotice(const NoticeSource &, const EndpointNotice &notice, Instant) override
    {
        notices.push_back(notice);
    }
    std::optional<Instant> returnTime(const WorkItem &, Instant now) override
    {
        return backoff ? std::optional(now + *backoff) : std::nullopt;
    }
    void onStaleEndpoint(const EndpointId &endpoint, Instant) override
    {
        staleEndpoints.push_back(endpoint);
    }
    void onConnected(const EndpointId &, Instant) override { ++connected; }
    void onConnectFailed(const EndpointId &endpoint, Instant) override
    {
        staleEndpoints.push_back(endpoint);
    }
    void onResponse(const EndpointId &, Instant) override {}
    void onRelayResult(const HostId &host, RelayResult result, Instant) override
    {
        if (result != RelayResult::Connected) {
            failedRelays.push_back(host);
        }
    }
    bool mayRetry(const ServiceId &, Instant) override { return retriesLeft-- > 0; }
    void onRequest(const ServiceId &, Instant) override {}
    bool isLeaving(const EndpointId &) const override { return areLeaving; }

    std::vector<PlacementTarget> endpoints;
    std::vector<EndpointId> staleEndpoints;
    std::vector<EndpointNotice> notices;
    std::vector<HostId> failedRelays;
    std::vector<uint64_t> progress;  ///< events, as reported
    std::optional<Interval> backoff; ///< of all endpoints
    bool areLeaving = false;         ///< all endpoints
    int connected = 0;
    int retriesLeft = 10;
    int sent = 0;
    int ended = 0;
};

/// In-memory token reservations with a settable number of available tokens.
class FakeTokenReservations : public TokenReservations
{
public:
    ReservationTicket reserve(const ReservationRequest &request,
                              std::function<void(std::optional<Verdict>)> handler) override;
    void cancel(ReservationTicket) override { delayed = nullptr; }
    void settle(const WorkspaceId &, uint64_t reservedTokens, uint64_t spentTokens) override;

    bool isDelayed = false;        ///< tokens are reserved when the test calls delayed
    std::function<void()> delayed; ///< the last reservation that waits
    ReservationRequest last;       ///< the last request for tokens
    uint64_t usable = 1'000'000;
    uint64_t reserved = 0;
    uint64_t spent = 0;
    int settled = 0;
};

/// Knows the origins that a test sets, and notes streams that begin.
class FakeStreamOrigins : public StreamOriginSource
{
public:
    struct Begun
    {
        ServiceId service;
        RequestId first;
        SoftwareVersion version;
    };

    void onStreamBegan(const ServiceId &service, const RequestId &first,
                       const SoftwareVersion &version, Instant) override
    {
        begun.push_back({service, first, version});
    }
    void find(const ServiceId &, const RequestId &first, Instant,
              std::function<void(const StreamOrigin &)> handler) override;

    std::map<RequestId, SoftwareVersion> origins;
    std::vector<Begun> begun;
};

/// Refuses the prompts that a test names, and notes what is reported.
class FakePromptGuard : public PromptGuard
{
public:
    std::optional<Verdict> refusal(const ServiceId &, const std::vector<PromptPart> &prompt,
                                   Instant now) override;
    void onAnswerWritten(const ServiceId &, const std::vector<PromptPart> &, Instant) override
    {
        ++written;
    }
    void onConnectionLost(const LostRequest &request, const std::vector<PromptPart> &,
                          Instant) override
    {
        lost.push_back(request.process.endpoint);
        relays.push_back(request.relay);
    }

    uint64_t quarantined = 0; ///< a part; 0: none
    int refuseAfter = 0;      ///< prompts with the part that pass before
    int written = 0;
    std::vector<EndpointId> lost;
    std::vector<HostId> relays; ///< of the lost requests
};

/// Refuses requests after a number of losses, and notes what is reported.
class FakeRequestGuard : public RequestGuard
{
public:
    std::optional<Verdict> refusal(const RequestIdentity &identity, Instant now) override;
    void onAnswered(const RequestIdentity &, Instant) override { ++answered; }
    void onEndpointLost(const RequestIdentity &, const EndpointProcess &process, Instant,
                        Instant) override
    {
        lost.push_back(process.endpoint);
    }
    Instant repeatTime(Instant lostAt) const override { return lostAt + repeatDelay; }

    std::size_t lossesToRefuse = 100;
    Interval repeatDelay{};
    int answered = 0;
    std::vector<EndpointId> lost;
    std::vector<RequestIdentity> asked;
};

struct ProxyTestSettings
{
    /// Idle timeout of the caller's connection, also before its first request.
    Interval idleTimeout = std::chrono::seconds(15);
    /// The caller doesn't read, and the socket buffers are small.
    bool isCallerSlow = false;
    /// Memory of the process; 0: unknown.
    std::size_t memoryBytes = 0;
    /// What the caller has sent before its connection is accepted.
    std::string sentBefore;
};

class ProxyTestHarness
{
public:
    explicit ProxyTestHarness(std::vector<std::vector<Reply>> scripts,
                              ProxyTestSettings settings = {});
    ~ProxyTestHarness();

    /// Writes \p bytes as the caller.
    void send(const std::string &bytes);
    /// Sends up to \p limit bytes, until the proxy takes none for 200 ms. \returns those sent.
    std::size_t sendWhileTaken(std::size_t limit);
    /// Runs until the caller has received \p text, its connection is closed or a timeout
    /// passes. \returns whether the text was received.
    bool waitFor(const std::string &text);
    bool waitUntil(const std::function<bool()> &condition);
    /// Runs until the caller's connection is closed.
    bool waitForClose();
    void closeCaller();
    /// Resets the caller's connection; data sent last may be lost.
    void reset();
    /// Connects a further caller with small socket buffers, which sends \p bytes and doesn't read.
    boost::asio::ip::tcp::socket &addUnreadCaller(const std::string &bytes);
    /// Starts reading on the caller's side, for a caller that was slow until now.
    void readAsCaller();
    /// Number of log lines that contain \p text.
    std::size_t countLogLines(const std::string &text) const;
    CallerConnection &connection() { return *connection_; }
    const std::string &received() const { return callerReceived_; }
    bool closed() const { return closed_; }
    /// Whether the caller's connection was closed by a reset.
    bool wasReset() const { return wasReset_; }

    /// Returns a request in the format of the platform's callers.
    static std::string request(const std::string &path, const std::string &id,
                               const std::string &extra = "");

    boost::asio::io_context io;
    platform::PlatformDialect dialect;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    OrderedPlacement placement;
    FakeTokenReservations tokenReservations;
    FakeStreamOrigins streamOrigins;
    FakePromptGuard prompts;
    FakeRequestGuard requests;
    std::shared_ptr<ServingConfig> config;
    bool configIsCurrent = true;
    bool stopping = false;
    LinkLoad link{LinkLoadSettings{}};
    std::optional<BufferBudget> buffers; ///< if the settings name the process's memory

private:
    /// \returns the accepted socket
    boost::asio::ip::tcp::socket connectCaller(boost::asio::ip::tcp::socket &caller, bool isSlow);

    Statechart chart_;
    std::FILE *logFile_;
    EventLog log_;
    Metrics metrics_;
    ConnectionPool pool_;
    ProxyContext context_;
    boost::asio::ip::tcp::socket caller_;
    std::shared_ptr<CallerConnection> connection_;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> unreadCallers_;
    std::vector<std::shared_ptr<CallerConnection>> unreadConnections_;
    std::array<char, 4096> buffer_;
    std::string callerReceived_;
    bool closed_ = false;
    bool wasReset_ = false;
};

} // namespace sequoiagate

#endif
