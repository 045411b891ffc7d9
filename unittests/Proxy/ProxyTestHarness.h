#ifndef SEQUOIAGATE_UNITTESTS_PROXY_PROXYTESTHARNESS_H
#define SEQUOIAGATE_UNITTESTS_PROXY_PROXYTESTHARNESS_H

/// One caller's connection and scripted endpoints on loopback, in one event loop: what the
/// caller sees and what the endpoints were sent is all that the tests look at.

#include <memory>
#include <string>
#include <vector>

#include "sequoiagate/Proxy/CallerConnection.h"

#include <boost/asio/ip/tcp.hpp>

#include "platform/PlatformDialect.h"
#include "sequoiagate/Base/Statechart.h"

namespace sequoiagate {

/// What an endpoint does after its bytes.
enum class Afterwards {
    Keep,
    Close,
    Reset,
    Hang, ///< it says nothing and keeps the connection
};

struct Reply
{
    std::string bytes; ///< "{id}" stands for the request's id
    Afterwards then = Afterwards::Keep;
};

/// Answers each request with the next of its replies; "hangs" when they are used up.
class ScriptedEndpoint
{
public:
    ScriptedEndpoint(boost::asio::io_context &io, std::vector<Reply> replies);
    ~ScriptedEndpoint();

    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    const std::vector<CallerRequest> &received() const { return received_; }
    /// Connections whose other end has closed.
    std::size_t closedByPeer() const { return closedByPeer_; }
    /// Nobody listens here any more.
    void stopListening() { acceptor_.close(); }

private:
    struct Connection;

    void accept();
    void read(const std::shared_ptr<Connection> &connection);
    void answer(const std::shared_ptr<Connection> &connection);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<Reply> replies_;
    std::vector<CallerRequest> received_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::size_t closedByPeer_ = 0;
};

/// Sends requests to the endpoints in their order; each failed one is left out.
class OrderedPlacement : public Placement
{
public:
    PlacementResult place(const WorkItem &item, const std::vector<PromptPart> &prompt,
                          const std::vector<EndpointId> &tried, Instant now) override;
    void onSent(const EndpointId &, const WorkItem &, Instant) override { ++sent; }
    void onFirstToken(const EndpointId &, const RequestId &, Instant) override {}
    void onAttemptEnd(const AttemptResult &, Instant) override { ++ended; }
    void onStaleEndpoint(const EndpointId &endpoint, Instant) override
    {
        missing.push_back(endpoint);
    }
    bool mayRetry(const ServiceId &, Instant) override { return repeatsLeft-- > 0; }
    void onRequest(const ServiceId &, Instant) override {}

    std::vector<PlacementTarget> endpoints;
    std::vector<EndpointId> missing;
    int repeatsLeft = 10;
    int sent = 0;
    int ended = 0;
};

/// Has as many tokens as it is told.
class CountingDesk : public TokenReservations
{
public:
    TokenRequestId reserve(const WorkspaceId &, uint64_t tokens, Instant,
                           std::function<void(std::optional<Verdict>)> handler) override;
    void cancel(TokenRequestId) override {}
    void settle(const WorkspaceId &, uint64_t reservedTokens, uint64_t spentTokens) override;

    uint64_t usable = 1'000'000;
    uint64_t reserved = 0;
    uint64_t spent = 0;
    int settled = 0;
};

struct ProxyWorldSettings
{
    /// Of the caller's connection, also until its first request.
    Interval idleTimeout = std::chrono::seconds(15);
    /// The caller takes nothing, and its connection holds little.
    bool isCallerSlow = false;
};

class ProxyTestHarness
{
public:
    explicit ProxyTestHarness(std::vector<std::vector<Reply>> scripts,
                              ProxyWorldSettings settings = {});
    ~ProxyTestHarness();

    /// Writes \p bytes as the caller.
    void send(const std::string &bytes);
    /// Runs until the caller has got \p text, its connection has closed or nothing more
    /// happens. \returns whether it got it.
    bool waitFor(const std::string &text);
    bool waitUntil(const std::function<bool()> &condition);
    /// Runs until the caller's connection is closed.
    bool waitForClose();
    void hangUp();
    /// Ends the caller's connection as a lost one: what it sent last may be lost with it.
    void reset();
    /// Begins to read as a caller that was slow until now.
    void readAsCaller();
    /// Lines of the log that hold \p text.
    std::size_t logged(const std::string &text) const;
    CallerConnection &connection() { return *connection_; }
    const std::string &got() const { return got_; }
    bool closed() const { return closed_; }

    /// A request as a caller of the platform sends it.
    static std::string request(const std::string &path, const std::string &id,
                               const std::string &extra = "");

    boost::asio::io_context io;
    platform::PlatformDialect dialect;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    OrderedPlacement placement;
    CountingDesk desk;
    std::shared_ptr<ServingConfig> config;
    bool configIsCurrent = true;
    bool stopping = false;
    LinkLoad link{LinkLoadSettings{}};

private:
    Statechart chart_;
    std::FILE *logFile_;
    EventLog log_;
    Metrics metrics_;
    ConnectionPool pool_;
    ProxyContext context_;
    boost::asio::ip::tcp::socket caller_;
    std::shared_ptr<CallerConnection> connection_;
    std::array<char, 4096> buffer_;
    std::string got_;
    bool closed_ = false;
};

} // namespace sequoiagate

#endif
