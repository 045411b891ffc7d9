#include "sequoiagate/Edge/Edge.h"

#include <algorithm>
#include <csignal>

#include "Addresses.h"
#include "StatusServer.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Interval TickInterval = std::chrono::milliseconds(100);

/// The event loop counts as held up when a tick comes this late.
constexpr Interval LoopHeldUp = std::chrono::milliseconds(50);

/// Endpoints' entries come as many small rows, each heartbeat one: reads are spaced so
/// that they share one. Far below the seconds in which a leaving endpoint must be known.
constexpr Interval EndpointReadPace = std::chrono::milliseconds(300);

/// What is left of the stop's grace when requests are cut off, for their callers to be told and
/// for the store to hear of the tokens that come back.
constexpr Interval CutBeforeEnd = std::chrono::milliseconds(600);

/// For callers to take what they are told then; the connection is closed past it.
constexpr Interval CloseAfterCut = std::chrono::milliseconds(100);

/// Longest time for the store to take the tokens back; they are lost past it.
constexpr Interval ReturnTokensWithin = std::chrono::milliseconds(400);

/// Connections that may wait to be accepted; the platform's balancer opens them in bursts.
constexpr int AcceptBacklog = 1024;

template <typename Endpoint>
Endpoint required(const std::optional<Endpoint> &parsed, const std::string &key,
                  const std::string &text)
{
    if (!parsed) {
        throw SettingsError("key '" + key + "' is \"" + text + "\"; allowed: IP:port");
    }
    return *parsed;
}

tcp::endpoint tcpSetting(const std::string &key, const std::string &text)
{
    return required(parseTcpAddress(text), key, text);
}

TokenServiceSettings tokenSettings(const EdgeSettings &edge, const std::string &topic,
                                   const Incarnation &incarnation)
{
    TokenServiceSettings settings;
    settings.host = edge.host;
    settings.domain = edge.domain;
    settings.listenPeers =
            required(parseUdpAddress(edge.listenPeers), "listen_peers", edge.listenPeers);
    settings.announcePeers = settings.listenPeers;
    if (!edge.announcePeers.empty()) {
        settings.announcePeers =
                required(parseUdpAddress(edge.announcePeers), "announce_peers", edge.announcePeers);
    }
    settings.topic = topic;
    settings.incarnation = incarnation;
    settings.holder = edge.tokens;
    return settings;
}

std::vector<WorkspaceBudget> budgetsOf(const ServingConfig &config)
{
    std::vector<WorkspaceBudget> budgets;
    for (const WorkspaceSpec &workspace : config.workspaces) {
        if (workspace.isPrepaid) {
            budgets.push_back({workspace.name, workspace.prepaidTokens});
        }
    }
    return budgets;
}

} // namespace

Edge::Edge(EdgeSettings settings, EdgeAdapter &adapter, EventLog &log,
           std::function<EdgeSettings()> reread)
    : settings_(std::move(settings)), adapter_(adapter), log_(log), reread_(std::move(reread)),
      acceptor_(io_), acceptRetry_(io_), signals_(io_, SIGTERM, SIGINT, SIGHUP), timer_(io_),
      exchangeChart_(Statechart::parse(readShareFile("statecharts/exchange.json"))),
      drainChart_(Statechart::parse(readShareFile("statecharts/drain.json"))), drain_(drainChart_),
      pool_(io_, {}), endpoints_(settings_.domain, settings_.retries, log),
      link_(LinkLoadSettings{settings_.linkBytesPerSecond})
{
    const tcp::endpoint listen = tcpSetting("listen", settings_.listenCallers);
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(AcceptBacklog);
    store_ = adapter_.openStore(io_, pool_, tcpSetting("store", settings_.store));
    tokens_ = std::make_unique<TokenService>(
            io_, *store_,
            tokenSettings(settings_, adapter_.topics().own, log.identity().incarnation), log,
            metrics_);
    tokens_->onProcesses = [this](uint32_t count) {
        endpoints_.setProcesses(count);
    };
    context_ = std::make_unique<ProxyContext>(ProxyContext{
            io_, adapter_.dialect(), exchangeChart_, pool_, endpoints_, *tokens_, link_, log_,
            metrics_, [this] { return config_; }, [this] { return configIsCurrent(); },
            [this] {
                return drain_.state() != "serving";
            }});
    configFollower_ = std::make_unique<TopicFollower>(
            io_, *store_, FollowerSettings{adapter_.topics().config},
            TopicFollower::Handlers{
                    [this](const std::vector<StoreRow> &rows, bool) { onConfigRows(rows); },
                    [](uint64_t) {},
                    [this](bool reachable, StoreOutcome outcome) {
                        onStoreReachable("config", reachable, outcome);
                    }});
    FollowerSettings endpointSettings;
    endpointSettings.topic = adapter_.topics().endpoints;
    endpointSettings.pace = EndpointReadPace;
    endpointFollower_ = std::make_unique<TopicFollower>(
            io_, *store_, endpointSettings,
            TopicFollower::Handlers{[this](const std::vector<StoreRow> &rows, bool whole) {
                                        onEndpointRows(rows, whole);
                                    },
                                    [](uint64_t) {},
                                    [this](bool reachable, StoreOutcome outcome) {
                                        endpoints_.setStoreReachable(
                                                reachable, std::chrono::steady_clock::now());
                                        onStoreReachable("endpoints", reachable, outcome);
                                    }});
    readyServer_ = std::make_unique<StatusServer>(
            io_, tcpSetting("listen_ready", settings_.listenReady), [this] {
                const bool isReady = ready();
                return StatusPage{isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "no\n"};
            });
    if (!settings_.listenMetrics.empty()) {
        metricsServer_ = std::make_unique<StatusServer>(
                io_, tcpSetting("listen_metrics", settings_.listenMetrics), [this] {
                    updateGauges();
                    return StatusPage{200, "text/plain; version=0.0.4", metrics_.render()};
                });
    }
}

Edge::~Edge() = default;

std::size_t Edge::run()
{
    configFollower_->start();
    endpointFollower_->start();
    tokens_->start();
    accept();
    awaitSignals();
    tick();
    while (!runUntilFailure()) {
        // A handler that threw has ended; the others' requests still get their answers.
        beginStop();
    }
    if (failure_) {
        std::rethrow_exception(failure_);
    }
    return cut_;
}

bool Edge::runUntilFailure()
{
    try {
        io_.run();
        return true;
    } catch (const std::exception &error) {
        log_.write(Event("process.failing").with("error", error.what()));
        metrics_.count("edge_failures_total");
        failure_ = std::current_exception();
        return false;
    }
}

void Edge::accept()
{
    acceptor_.async_accept([this](const error_code &error, tcp::socket socket) {
        // A connection may have been taken in the round in which a stop closed the listener: its
        // requests would be cut off when the process ends.
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (error) {
            log_.write(Event("caller.not_accepted").with("why", error.message()));
            acceptRetry_.arm([this] { accept(); });
            return;
        }
        const auto caller = std::make_shared<CallerConnection>(
                *context_, std::move(socket),
                [this](const std::shared_ptr<CallerConnection> &closed) {
                    callers_.erase(closed);
                });
        callers_.insert(caller);
        caller->start();
        accept();
    });
}

void Edge::onConfigRows(const std::vector<StoreRow> &rows)
{
    for (const StoreRow &row : rows) {
        if (row.key == adapter_.topics().configKey) {
            adopt(row);
        }
    }
}

void Edge::adopt(const StoreRow &row)
{
    try {
        ServingConfigPtr config = adapter_.decodeConfig(row.value);
        newestConfigRead_ = true;
        // A stale read or an old row must not undo a newer version that is in force.
        if (config_ && config->version <= config_->version) {
            return;
        }
        config_ = std::move(config);
    } catch (const std::exception &error) {
        // Each host reads this row: an end of the process would be the end of all of them.
        newestConfigRead_ = false;
        log_.write(Event("config.malformed").with("offset", row.offset).with("why", error.what()));
        return;
    }
    tokens_->setBudgets(budgetsOf(*config_), std::chrono::steady_clock::now());
    log_.write(Event(events::ConfigInForce)
                       .with("version", config_->version)
                       .with("offset", row.offset)
                       .with("routes", config_->routes.size())
                       .with("workspaces", config_->workspaces.size()));
}

void Edge::onEndpointRows(const std::vector<StoreRow> &rows, bool whole)
{
    const Instant now = std::chrono::steady_clock::now();
    std::vector<EndpointId> present;
    for (const StoreRow &row : rows) {
        const EndpointId id(row.key);
        if (row.value.empty()) {
            endpoints_.remove(id, Delisting::Removed, now);
            continue;
        }
        present.push_back(id);
        try {
            endpoints_.update(adapter_.decodeEndpoint(row.key, row.value), now);
        } catch (const std::exception &error) {
            // It names no endpoint that could be used; one known by that id isn't, either.
            log_.write(Event("endpoint.malformed").with("endpoint", id).with("why", error.what()));
            endpoints_.remove(id, Delisting::Malformed, now);
        }
    }
    if (whole) {
        endpoints_.keepOnly(present, now);
        endpointsKnown_ = true;
    }
    endpoints_.publish(now);
}

void Edge::onStoreReachable(const char *what, bool reachable, StoreOutcome outcome)
{
    log_.write(Event(reachable ? "store.reachable" : "store.lost")
                       .with("read", what)
                       .with("outcome", storeOutcomeName(outcome)));
    metrics_.count(reachable ? "store_regained_total" : "store_lost_total", {{"read", what}});
}

bool Edge::configIsCurrent() const
{
    return !failure_ && config_ && newestConfigRead_ && configFollower_->current();
}

bool Edge::ready()
{
    return config_ && endpointsKnown_ && drain_.state() == "serving" && !sheds();
}

bool Edge::sheds()
{
    const Instant now = std::chrono::steady_clock::now();
    const bool sheds = link_.shedding(now);
    if (sheds != sheds_) {
        sheds_ = sheds;
        log_.write(Event(sheds ? "link.full" : "link.has_room").with("share", link_.share(now)));
    }
    return sheds;
}

void Edge::awaitSignals()
{
    signals_.async_wait([this](const error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            beginStop();
        }
        awaitSignals();
    });
}

void Edge::reload()
{
    try {
        const EdgeSettings fresh = reread_();
        endpoints_.setRetries(fresh.retries);
        link_.setBytesPerSecond(fresh.linkBytesPerSecond);
        tokens_->setHorizon(fresh.tokens.horizon);
        settings_.stopGrace = fresh.stopGrace;
        settings_.readyGrace = fresh.readyGrace;
        log_.write(Event("process.reloaded"));
    } catch (const SettingsError &error) {
        // What is in force stays: a process that ended here would cut off its callers.
        log_.write(Event("process.not_reloaded").with("why", error.what()));
    }
}

void Edge::beginStop()
{
    if (drain_.state() != "serving") {
        return;
    }
    drain_.handle("stop");
    const Instant now = std::chrono::steady_clock::now();
    acceptUntil_ = now + settings_.readyGrace;
    cutAt_ = now + settings_.stopGrace - CutBeforeEnd;
    endAt_ = now + settings_.stopGrace;
    log_.write(Event(events::ProcessDraining).with("callers", callers_.size()));
    drainCallers();
}

void Edge::drainCallers()
{
    const std::set<std::shared_ptr<CallerConnection>> callers = callers_;
    for (const std::shared_ptr<CallerConnection> &caller : callers) {
        caller->drain();
    }
}

void Edge::cutOffCallers(Instant now)
{
    // Counted from when they are told: the process may have been held up until then.
    const bool isFirst = closeAt_ == Never;
    closeAt_ = isFirst ? now + CloseAfterCut : closeAt_;
    const std::set<std::shared_ptr<CallerConnection>> callers = callers_;
    for (const std::shared_ptr<CallerConnection> &caller : callers) {
        cut_ += caller->serving() ? 1 : 0;
        if (now < closeAt_) {
            caller->stop();
        } else {
            caller->forceClose();
        }
    }
}

void Edge::checkStop()
{
    const Instant now = std::chrono::steady_clock::now();
    if (drain_.state() != "draining") {
        return;
    }
    if (now >= endAt_ && (closeAt_ == Never ? callers_.empty() : now >= closeAt_)) {
        io_.stop();
        return;
    }
    if (returning_) {
        return;
    }
    if (now >= acceptUntil_ && acceptor_.is_open()) {
        error_code ignored;
        acceptor_.close(ignored);
    }
    drainCallers();
    if (now >= cutAt_) {
        cutOffCallers(now);
    }
    if (acceptor_.is_open() || !callers_.empty()) {
        return;
    }
    returning_ = true;
    tokens_->stop(now + ReturnTokensWithin, [this] {
        drain_.handle("empty");
        io_.stop();
    });
}

void Edge::tick()
{
    const Instant now = std::chrono::steady_clock::now();
    noteLoopLag(now);
    // Armed first: a stop must come to its end also if something below fails.
    tickDueAt_ = now + TickInterval;
    timer_.expires_at(tickDueAt_);
    timer_.async_wait([this](const error_code &error) {
        if (!error) {
            tick();
        }
    });
    checkStop();
    endpoints_.tick(now);
    pool_.closeExpired(now);
}

void Edge::noteLoopLag(Instant now)
{
    if (tickDueAt_ == Never) {
        return;
    }
    const Interval lag = now - tickDueAt_;
    metrics_.observe("edge_loop_lag_seconds", lag);
    if (lag > LoopHeldUp) {
        log_.write(Event("loop.held_up")
                           .with("ms", std::chrono::duration_cast<Millis>(lag).count())
                           .with("callers", callers_.size()));
    }
}

void Edge::updateGauges()
{
    const Instant now = std::chrono::steady_clock::now();
    const auto age = [now](const TopicFollower &follower) {
        return std::chrono::duration<double>(now - follower.lastAnswerAt()).count();
    };
    metrics_.gauge("edge_callers", static_cast<double>(callers_.size()));
    metrics_.gauge("edge_endpoints_usable", static_cast<double>(endpoints_.usable()));
    metrics_.gauge("edge_config_version", config_ ? static_cast<double>(config_->version) : 0.0);
    metrics_.gauge("edge_config_age_seconds", age(*configFollower_));
    metrics_.gauge("edge_endpoints_age_seconds", age(*endpointFollower_));
    metrics_.gauge("edge_connections_opened", static_cast<double>(pool_.opened()));
}

} // namespace sequoiagate
