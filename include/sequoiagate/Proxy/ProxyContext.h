#ifndef SEQUOIAGATE_PROXY_PROXYCONTEXT_H
#define SEQUOIAGATE_PROXY_PROXYCONTEXT_H

/// What forwarding needs of the rest of the program.

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
#include "sequoiagate/Decisions/EndpointSpec.h"
#include "sequoiagate/Decisions/LinkLoad.h"
#include "sequoiagate/Decisions/WorkItem.h"
#include "sequoiagate/Proxy/Dialect.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

/// Where a request goes.
struct PlacementTarget
{
    EndpointId endpoint;
    boost::asio::ip::tcp::endpoint address;
    std::string reason;
};

using PlacementResult = std::variant<PlacementTarget, Verdict>;

/// Chooses endpoints, and hears how requests fared there. Single-threaded.
class Placement
{
public:
    virtual ~Placement() = default;
    /// \param tried endpoints that this request isn't sent to again
    virtual PlacementResult place(const WorkItem &item, const std::vector<PromptPart> &prompt,
                                  const std::vector<EndpointId> &tried, Instant now) = 0;
    virtual void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now) = 0;
    virtual void onFirstToken(const EndpointId &endpoint, const RequestId &request,
                              Instant now) = 0;
    virtual void onAttemptEnd(const AttemptResult &result, Instant now) = 0;
    /// Another endpoint has the address, or none: the entry is out of date.
    virtual void onStaleEndpoint(const EndpointId &endpoint, Instant now) = 0;
    /// Whether the service may be sent one more repeat.
    virtual bool mayRetry(const ServiceId &service, Instant now) = 0;
    virtual void onRequest(const ServiceId &service, Instant now) = 0;
};

/// Tokens of a request that waits for them; the number tells waits apart.
using TokenRequestId = uint64_t;

/// Reserves workspaces' tokens. Single-threaded.
class TokenReservations
{
public:
    virtual ~TokenReservations() = default;
    /// Calls \p handler, also from inside this call, with nothing when the tokens are
    /// reserved, or with why they can't be had.
    virtual TokenRequestId reserve(const WorkspaceId &workspace, uint64_t tokens, Instant deadline,
                                   std::function<void(std::optional<Verdict>)> handler) = 0;
    /// The request no longer waits; its handler isn't called.
    virtual void cancel(TokenRequestId ticket) = 0;
    virtual void settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent) = 0;
};

/// All of it outlives the connections that use it.
struct ProxyContext
{
    boost::asio::io_context &io;
    const Dialect &dialect;
    const Statechart &chart; ///< share/statecharts/exchange.json
    ConnectionPool &pool;
    Placement &placement;
    TokenReservations &tokens;
    LinkLoad &link;
    EventLog &log;
    Metrics &metrics;
    std::function<ServingConfigPtr()> config; ///< nullptr until one is known
    /// Whether a newer configuration would be known by now: what an older one doesn't allow may
    /// be allowed meanwhile.
    std::function<bool()> configIsCurrent;
    /// Whether callers are to go elsewhere, since the process stops or its link is full.
    std::function<bool()> shouldShedConnections;
};

} // namespace sequoiagate

#endif
