#ifndef SEQUOIAGATE_PROXY_PROXYCONTEXT_H
#define SEQUOIAGATE_PROXY_PROXYCONTEXT_H

/// Interfaces and state that the proxy uses from the rest of the program.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sequoiagate/Proxy/ConnectionPool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Statechart.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Config/ServingConfig.h"
#include "sequoiagate/Decisions/EndpointNotice.h"
#include "sequoiagate/Decisions/EndpointSpec.h"
#include "sequoiagate/Decisions/LinkLoad.h"
#include "sequoiagate/Decisions/WorkItem.h"
#include "sequoiagate/Proxy/BufferBudget.h"
#include "sequoiagate/Proxy/Dialect.h"
#include "sequoiagate/Proxy/PromptGuard.h"
#include "sequoiagate/Proxy/RequestGuard.h"
#include "sequoiagate/Proxy/StreamContinuity.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

/// Another host that relays a request to its endpoint.
struct RelayRoute
{
    HostId host;
    boost::asio::ip::tcp::endpoint address;
    /// Whether a connection of this host that is open already is better.
    bool prefersOpenConnection = false;
};

enum class RelayResult {
    Connected,
    Refused,
    Unreachable,
};

/// The endpoint chosen for a request.
struct PlacementTarget
{
    EndpointId endpoint;
    boost::asio::ip::tcp::endpoint address;
    std::string reason;
    std::optional<RelayRoute> relay;
    std::string limits; ///< the endpoint's limits, and those that excluded others, for logs
    SoftwareVersion version;
    uint64_t startedAtMillis = 0; ///< identifies the endpoint's process
    /// False if the endpoint may have started again with another version.
    bool isVersionConfirmed = true;
};

/// No endpoint may be used yet; the request is to be placed again at this time.
struct PlacementDelay
{
    Instant until{};
};

using PlacementResult = std::variant<PlacementTarget, PlacementDelay, Verdict>;

/// Selects endpoints and is notified of the outcome of requests there. Single-threaded.
class Placement
{
public:
    virtual ~Placement() = default;
    /// \param tried endpoints that were already attempted and aren't used again
    virtual PlacementResult place(const WorkItem &item, const std::vector<PromptPart> &prompt,
                                  const std::vector<EndpointId> &tried, Instant now) = 0;
    virtual void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now) = 0;
    virtual void onFirstToken(const EndpointId &endpoint, const RequestId &request,
                              Instant now) = 0;
    /// \p events of the stream of \p request have arrived since the last call or the first event.
    /// 0: the time since then isn't the endpoint's, since this side didn't read.
    virtual void onStreamProgress(const EndpointId &endpoint, const RequestId &request,
                                  uint64_t events, Instant now) = 0;
    virtual void onAttemptEnd(const AttemptResult &result, Instant now) = 0;
    /// A response of an endpoint has arrived, with this notice.
    virtual void onNotice(const NoticeSource &source, const EndpointNotice &notice,
                          Instant now) = 0;
    /// When the caller of \p item, which is refused, should return if all endpoints that could run
    /// it are evacuated or have asked for a backoff; nullopt if one of them takes requests.
    virtual std::optional<Instant> returnTime(const WorkItem &item, Instant now) = 0;
    /// A connection of this host to an endpoint was established, or failed to be.
    virtual void onConnected(const EndpointId &endpoint, Instant now) = 0;
    virtual void onConnectFailed(const EndpointId &endpoint, Instant now) = 0;
    /// \p endpoint responded on a connection of this host.
    virtual void onResponse(const EndpointId &endpoint, Instant now) = 0;
    /// \p host, as a relay, connected to the endpoint, refused or couldn't be reached.
    virtual void onRelayResult(const HostId &host, RelayResult result, Instant now) = 0;
    /// The directory entry is out of date: the address belongs to another endpoint or to none.
    virtual void onStaleEndpoint(const EndpointId &endpoint, Instant now) = 0;
    /// Whether \p endpoint is draining, or no longer listed.
    virtual bool isLeaving(const EndpointId &endpoint) const = 0;
    /// Whether the retry budget of \p service allows one more retry.
    virtual bool mayRetry(const ServiceId &service, Instant now) = 0;
    virtual void onRequest(const ServiceId &service, Instant now) = 0;
};

/// Identifies a pending token reservation.
using ReservationTicket = uint64_t;

/// A request for tokens of a workspace.
struct ReservationRequest
{
    WorkspaceId workspace;
    std::string route; ///< name of the request's route
    /// The route's; 0 is the most urgent. A priority of the workspace is the same for all requests
    /// that compete for its tokens, and says nothing of their order.
    uint32_t priority = 0;
    uint64_t tokens = 0; ///< the most that the request may use
    Instant receivedAt{};
    Interval latencyTarget{};
    Instant deadline = Never;
};

/// Reserves tokens of workspaces. Single-threaded.
class TokenReservations
{
public:
    virtual ~TokenReservations() = default;
    /// Calls \p handler, possibly from inside this call, with std::nullopt when the tokens are
    /// reserved, or with the verdict that refuses them.
    virtual ReservationTicket reserve(const ReservationRequest &request,
                                      std::function<void(std::optional<Verdict>)> handler) = 0;
    /// Cancels a pending reservation; its handler isn't called.
    virtual void cancel(ReservationTicket ticket) = 0;
    virtual void settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent) = 0;
};

/// All members outlive the connections that use them.
struct ProxyContext
{
    boost::asio::io_context &io;
    const Dialect &dialect;
    const Statechart &chart; ///< share/statecharts/exchange.json
    ConnectionPool &pool;
    Placement &placement;
    TokenReservations &tokens;
    StreamOriginSource &streamOrigins;
    PromptGuard &prompts;
    RequestGuard &requests;
    LinkLoad &link;
    EventLog &log;
    Metrics &metrics;
    std::function<ServingConfigPtr()> config; ///< nullptr until one is loaded
    /// Whether the configuration is up to date. A newer one may allow what an outdated one
    /// doesn't.
    std::function<bool()> configIsCurrent;
    /// Whether callers are to reconnect to another host, since the process stops or its link is
    /// saturated.
    std::function<bool()> shouldShedConnections;
    BufferBudget *buffers = nullptr; ///< nullptr: only the queue of each stream is bounded
    /// When a request that is received now must have ended, since the process aborts those that are
    /// open then; nullopt while any may be taken, which an empty function means too.
    std::function<std::optional<Instant>()> latestEnd{};
};

} // namespace sequoiagate

#endif
