#ifndef SEQUOIAGATE_EDGE_EDGE_H
#define SEQUOIAGATE_EDGE_EDGE_H

/// The edge as one process: callers on one side, endpoints on the other, the platform's
/// store behind. One thread, one event loop; what must last is in the store.
///
/// Ready means: a configuration and the endpoints are known, and no stop was asked for. A
/// stop closes nothing that is open: the balancer is told first, callers that still come
/// are served, tokens go back to the store, and the process ends when all is answered.
///
/// An exception that leaves a handler begins the same stop: ended at once, the process would
/// cut off all requests of its host for the fault of one.

#include <exception>
#include <memory>
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

class StatusServer;

/// Single-threaded.
class Edge
{
public:
    /// Listens at once, but isn't ready yet.
    /// \throws SettingsError for an address that can't be read,
    ///     boost::system::system_error for one that can't be had
    /// \param reread reads the settings anew, on SIGHUP; may throw SettingsError
    Edge(EdgeSettings settings, EdgeAdapter &adapter, EventLog &log,
         std::function<EdgeSettings()> reread);
    ~Edge();

    /// Runs until a planned stop has ended. \returns connections that it had to cut.
    /// \throws what a handler threw, once the stop that it began has ended
    std::size_t run();

private:
    /// \returns whether the event loop came to its end
    bool runUntilFailure();
    void accept();
    void onConfigRows(const std::vector<StoreRow> &rows);
    void adopt(const StoreRow &row);
    void onEndpointRows(const std::vector<StoreRow> &rows, bool whole);
    void onStoreReachable(const char *what, bool reachable, StoreOutcome outcome);
    bool configIsCurrent() const;
    bool ready();
    bool sheds();
    void awaitSignals();
    void reload();
    void beginStop();
    void checkStop();
    void drainCallers();
    void cutOffCallers(Instant now);
    void tick();
    void noteLoopLag(Instant now);
    void updateGauges();

    EdgeSettings settings_;
    EdgeAdapter &adapter_;
    EventLog &log_;
    std::function<EdgeSettings()> reread_;
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
    EndpointDirectory endpoints_;
    LinkLoad link_;
    bool sheds_ = false; ///< callers are sent elsewhere, for the log
    std::unique_ptr<TokenService> tokens_;
    std::unique_ptr<ProxyContext> context_;
    std::unique_ptr<TopicFollower> configFollower_;
    std::unique_ptr<TopicFollower> endpointFollower_;
    std::unique_ptr<StatusServer> readyServer_;
    std::unique_ptr<StatusServer> metricsServer_;
    ServingConfigPtr config_;
    bool newestConfigRead_ = false; ///< config_ is what the newest row says, or newer
    std::set<std::shared_ptr<CallerConnection>> callers_;
    bool endpointsKnown_ = false;
    bool returning_ = false; ///< tokens are being given back
    Instant acceptUntil_ = Never;
    Instant cutAt_ = Never;
    Instant closeAt_ = Never; ///< connections of callers that were told are closed then
    Instant endAt_ = Never;   ///< the process ends then, whatever is left
    Instant tickDueAt_ = Never;
    std::size_t cut_ = 0;
    std::exception_ptr failure_; ///< of the last handler that threw
};

} // namespace sequoiagate

#endif
