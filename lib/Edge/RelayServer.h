#ifndef SEQUOIAGATE_LIB_EDGE_RELAYSERVER_H
#define SEQUOIAGATE_LIB_EDGE_RELAYSERVER_H

/// Relays requests of partitioned hosts to endpoints: a connection for one request each, which
/// carries bytes and knows nothing of them. The host that asked keeps the request, with its tokens,
/// retries and deadline; closing its connection closes the endpoint's, which cancels the work.
///
/// A relay connects to endpoints alone, never to another relay.

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sequoiagate/Decisions/EndpointNotice.h"
#include "sequoiagate/Edge/AcceptRetry.h"
#include "sequoiagate/Proxy/HttpMessage.h"
#include "sequoiagate/Proxy/RelayHandshake.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

class RelayTunnel;

/// Why a tunnel ended.
enum class RelayEnd {
    NotEstablished, ///< no request was carried
    EndpointClosed, ///< in order
    EndpointFailed, ///< reset, or not reachable any more
    HostClosed,     ///< the host that asked closed or reset its connection
    DeadlinePassed, ///< of the request
    ProcessStopping,
};

/// The process that listens as an endpoint.
struct RelayTarget
{
    boost::asio::ip::tcp::endpoint address;
    uint64_t startedAtMillis = 0;
    bool takesRequests = true; ///< of this host, now
};

/// Single-threaded.
class RelayServer
{
public:
    struct Handlers
    {
        /// Whether requests of this process may be relayed now: it belongs to a listed host, and
        /// this host isn't partitioned or stopping itself.
        std::function<bool(const Incarnation &)> mayRelayFor;
        /// The process to connect to for an endpoint that takes new requests.
        std::function<std::optional<RelayTarget>(const EndpointId &)> resolve;
        std::function<void(const EndpointId &, bool connected)> onConnectResult;
        /// The head of the endpoint's response has arrived. The source names no request.
        std::function<void(const NoticeSource &, const ResponseHead &)> onResponse;
        /// Whether the endpoint may end its process with its last response.
        std::function<bool(const EndpointId &)> isLeaving;
    };

    /// Bounds memory and descriptors: a tunnel has two connections and two buffers.
    static constexpr std::size_t MaxTunnels = 256;

    /// \throws boost::system::system_error if the address can't be bound
    RelayServer(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &listen,
                EventLog &log, Metrics &metrics, Handlers handlers);
    ~RelayServer();

    /// The number of requests that are being relayed.
    std::size_t open() const { return tunnels_.size(); }
    void stopAccepting();
    void closeAll();

private:
    friend class RelayTunnel;

    void accept();
    void onClosed(const std::shared_ptr<RelayTunnel> &tunnel);

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    AcceptRetry acceptRetry_;
    EventLog &log_;
    Metrics &metrics_;
    Handlers handlers_;
    std::set<std::shared_ptr<RelayTunnel>> tunnels_;
};

} // namespace sequoiagate

#endif
