#ifndef SEQUOIAGATE_EDGE_EDGE_H
#define SEQUOIAGATE_EDGE_EDGE_H

/// The edge process: forwards callers' requests to endpoints, and keeps its persistent state in
/// the platform's store. It runs one event loop on one thread.
///
/// The process is ready when it has read a configuration and the endpoints, isn't stopping, and
/// its network link isn't overloaded. A stop is graceful: readiness ends first, so that the load
/// balancer sends no more callers; those that still arrive are served; when all requests have
/// ended, unused tokens are returned to the store and the process exits.
///
/// An exception that escapes a handler starts the same graceful stop, since an immediate exit
/// would abort all requests of the host because one failed.

#include <exception>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "sequoiagate/Edge/EdgeAdapter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sequoiagate/Base/Statechart.h"
#include "sequoiagate/Edge/AcceptRetry.h"
#include "sequoiagate/Edge/EdgeSettings.h"
#include "sequoiagate/Edge/EndpointDirectory.h"
#include "sequoiagate/Edge/TokenService.h"
#include "sequoiagate/Proxy/CallerConnection.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Service/Metrics.h"
#include "sequoiagate/Store/TopicFollower.h"

namespace sequoiagate {

class CrashingPartsLink;
class CrashingRequestsLink;
class EndpointRateLink;
class RelayServer;
struct RelayTarget;
class StatusServer;
class StreamOriginLink;
class VersionRecorder;

/// Single-threaded.
class Edge
{
public:
    /// Binds its addresses; the process isn't ready yet.
    /// \throws SettingsError for a malformed address,
    ///     boost::system::system_error for one that can't be bound
    /// \param reread reads the settings again on SIGHUP; may throw SettingsError
    Edge(EdgeSettings settings, EdgeAdapter &adapter, EventLog &log,
         std::function<EdgeSettings()> reread);
    ~Edge();

    /// Runs until a stop has completed. \returns the number of connections that it had to abort.
    /// \throws the last exception that escaped a handler, after the stop that it started
    std::size_t run();

private:
    /// \returns false if an exception escaped a handler
    bool runUntilFailure();
    void accept();
    void onConfigRows(const std::vector<StoreRow> &rows, bool whole);
    void applyConfig(const StoreRow &row);
    void onEndpointRows(const std::vector<StoreRow> &rows, bool whole);
    void onEndpointsRead();
    void onReachabilityChanged(const char *topicName, bool reachable, StoreOutcome outcome);
    bool configIsCurrent() const;
    bool ready();
    bool isShedding();
    void awaitSignals();
    void reload();
    void beginStop();
    void checkStop();
    /// When a request that is received now must have ended; nullopt unless the process stops.
    std::optional<Instant> latestEnd() const;
    /// How long a signal may have waited for its handler, beyond the usual.
    Interval heldUpFor() const;
    void drainCallers();
    void abortCallers(Instant now);
    void tick();
    void onHostsChanged(const std::vector<Peer> &others);
    /// Creates what hosts tell each other by, and connects it to the endpoints and the tokens.
    void createPeerLinks();
    void createFollowers();
    void startRelayServer();
    std::optional<RelayTarget> relayTarget(const EndpointId &endpoint) const;
    void onRelayedResponse(NoticeSource source, const ResponseHead &head);
    /// Tries a connection during a partition, to find out whether it is over.
    void probeEndpoint(Instant now);
    void gossip(Instant now);
    void onPeerLimits(const std::vector<EndpointLimitRecord> &records, bool rejected);
    void recordLoopLag(Instant now);
    void updateGauges();

    EdgeSettings settings_;
    EdgeAdapter &adapter_;
    EventLog &log_;
    std::function<EdgeSettings()> reloadSettings_;
    Metrics metrics_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    AcceptRetry acceptRetry_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    Statechart exchangeChart_;
    Statechart drainChart_;
    StatechartInstance drain_;
    ConnectionPool pool_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<EndpointRates> rates_; ///< nullptr if none are shared
    EndpointDirectory endpoints_;
    LinkLoad link_;
    std::unique_ptr<BufferBudget> buffers_; ///< nullptr if the process's memory limit is unknown
    bool shedding_ = false;                 ///< as last logged
    std::unique_ptr<TokenService> tokens_;
    std::unique_ptr<StreamOriginLink> streamOrigins_;
    std::unique_ptr<VersionRecorder> versionRecorder_;
    std::unique_ptr<CrashingPartsLink> crashingParts_;
    std::unique_ptr<CrashingRequestsLink> crashingRequests_;
    std::unique_ptr<EndpointRateLink> rateLink_; ///< nullptr if none are shared
    std::unique_ptr<ProxyContext> context_;
    std::unique_ptr<TopicFollower> configFollower_;
    std::unique_ptr<TopicFollower> endpointFollower_;
    std::unique_ptr<RelayServer> relayServer_; ///< nullptr if no requests are relayed
    std::unique_ptr<StatusServer> readyServer_;
    std::unique_ptr<StatusServer> metricsServer_;
    ServingConfigPtr config_;
    bool newestConfigRead_ = false; ///< config_ is at least as new as the newest row
    std::set<std::shared_ptr<CallerConnection>> callers_;
    bool endpointsKnown_ = false;
    bool returningTokens_ = false; ///< tokens are being returned to the store
    Instant acceptUntil_ = Never;
    Instant takeAllUntil_ = Never; ///< requests are taken until then, however long they may last
    Instant abortAt_ = Never;
    Instant closeAt_ = Never; ///< aborted connections are closed then
    Instant endAt_ = Never;   ///< the process exits then even if requests are open
    Instant tickDueAt_ = Never;
    Millis tickedSinceBoot_{};       ///< the clock since boot at the last tick
    Millis previousTickSinceBoot_{}; ///< at the tick before it
    Instant nextGossipAt_{};
    std::size_t abortedConnections_ = 0;
    std::exception_ptr failure_; ///< thrown by the last handler that failed
};

} // namespace sequoiagate

#endif
