#include "sequoiagate/Edge/Edge.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "Addresses.h"
#include "CrashingPartsLink.h"
#include "CrashingRequestsLink.h"
#include "EndpointRateLink.h"
#include "EvacuationRows.h"
#include "RelayServer.h"
#include "StatusServer.h"
#include "StreamOriginLink.h"
#include "VersionRecorder.h"
#include "sequoiagate/Base/BootClock.h"
#include "sequoiagate/Proxy/ConnectProbe.h"
#include "sequoiagate/Service/DeadlineTimer.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Interval TickInterval = std::chrono::milliseconds(100);

/// A tick that is late by more than this is logged as a blocked event loop.
constexpr Interval MaxLoopLag = std::chrono::milliseconds(50);

/// Minimum interval between reads of the endpoints' entries. Each heartbeat writes one small row,
/// and the interval lets many of them share a read. It is far below the few seconds within which a
/// draining endpoint must be noticed.
constexpr Interval MinEndpointReadInterval = std::chrono::milliseconds(300);

/// How often a few peers are told what is known of endpoints' limits, quarantined parts and
/// endpoints' rates, while there are any.
constexpr Interval GossipInterval = EndpointRates::RoundInterval;

/// How long before the end of the stop's grace period open requests are aborted: time to send
/// errors to their callers and to return the tokens to the store.
constexpr Interval AbortBeforeEnd = std::chrono::milliseconds(600);

/// Between a stop signal and its handler in a busy process. Requests of any length are taken for
/// less than the time in which callers may still expect that.
constexpr Interval MaxSignalDelay = std::chrono::milliseconds(200);

/// Time for callers to read that error before their connection is closed.
constexpr Interval CloseAfterAbort = std::chrono::milliseconds(100);

/// The longest time to wait for the store to acknowledge returned tokens; they are lost after it.
constexpr Interval TokenReturnTimeout = std::chrono::milliseconds(400);

/// Connections that may wait to be accepted; the platform's load balancer opens them in bursts.
constexpr int AcceptBacklog = 1024;

template <typename Endpoint>
Endpoint parsedOrThrow(const std::optional<Endpoint> &parsed, const std::string &key,
                       const std::string &text)
{
    if (!parsed) {
        throw SettingsError("key '" + key + "' is \"" + text + "\"; allowed: IP:port");
    }
    return *parsed;
}

tcp::endpoint tcpSetting(const std::string &key, const std::string &text)
{
    return parsedOrThrow(parseTcpAddress(text), key, text);
}

TokenServiceSettings tokenSettings(const EdgeSettings &edge, const std::string &topic,
                                   const Incarnation &incarnation)
{
    TokenServiceSettings settings;
    settings.host = edge.host;
    settings.domain = edge.domain;
    settings.listenPeers =
            parsedOrThrow(parseUdpAddress(edge.listenPeers), "listen_peers", edge.listenPeers);
    settings.advertisePeers = settings.listenPeers;
    if (!edge.advertisePeers.empty()) {
        settings.advertisePeers = parsedOrThrow(parseUdpAddress(edge.advertisePeers),
                                                "announce_peers", edge.advertisePeers);
    }
    const std::string &relay = edge.advertiseRelay.empty() ? edge.listenRelay : edge.advertiseRelay;
    if (!relay.empty()) {
        settings.advertiseRelay = tcpSetting("listen_relay", relay);
    }
    settings.topic = topic;
    settings.incarnation = incarnation;
    settings.holder = edge.tokens;
    settings.allocation = edge.tokenAllocation;
    settings.policiesFromHosts = edge.fleetPoliciesFromHosts;
    return settings;
}

std::optional<CrashingPartsLink::ListedProcess> listedProcess(const EndpointDirectory &endpoints,
                                                              const EndpointId &endpoint)
{
    const std::optional<tcp::endpoint> address = endpoints.addressOf(endpoint);
    if (!address) {
        return std::nullopt;
    }
    return CrashingPartsLink::ListedProcess{*address, endpoints.startedAtMillis(endpoint)};
}

std::unique_ptr<BufferBudget> bufferBudgetOf(const EdgeSettings &settings)
{
    if (settings.memoryBytes == 0) {
        return nullptr;
    }
    return std::make_unique<BufferBudget>(BufferBudgetSettings::forProcess(settings.memoryBytes));
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
    : settings_(std::move(settings)), adapter_(adapter), log_(log),
      reloadSettings_(std::move(reread)), acceptor_(io_), acceptRetry_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP), timer_(io_),
      exchangeChart_(Statechart::parse(readShareFile("statecharts/exchange.json"))),
      drainChart_(Statechart::parse(readShareFile("statecharts/drain.json"))), drain_(drainChart_),
      pool_(io_, {}),
      rates_(settings_.sharesEndpointRates
                     ? std::make_unique<EndpointRates>(settings_.host, settings_.domain)
                     : nullptr),
      endpoints_(settings_.host, settings_.domain, settings_.retries, log, settings_.placement),
      link_(LinkLoadSettings{settings_.linkBytesPerSecond}), buffers_(bufferBudgetOf(settings_))
{
    endpoints_.setRegions(settings_.regions);
    endpoints_.setRates(rates_.get());
    const tcp::endpoint listen = tcpSetting("listen", settings_.listenCallers);
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(AcceptBacklog);
    store_ = adapter_.openStore(io_, pool_, tcpSetting("store", settings_.store));
    tokens_ = std::make_unique<TokenService>(
            io_, *store_,
            tokenSettings(settings_, adapter_.topics().ledger, log.identity().incarnation), log,
            metrics_);
    createPeerLinks();
    context_ = std::make_unique<ProxyContext>(
            ProxyContext{io_, adapter_.dialect(), exchangeChart_, pool_, endpoints_, *tokens_,
                         *streamOrigins_, *crashingParts_, *crashingRequests_, link_, log_,
                         metrics_, [this] { return config_; }, [this] { return configIsCurrent(); },
                         [this] { return drain_.state() != "serving"; }, buffers_.get(),
                         [this] {
                             return latestEnd();
                         }});
    createFollowers();
    startRelayServer();
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

void Edge::createPeerLinks()
{
    tokens_->onHostsChanged = [this](const std::vector<Peer> &others) {
        onHostsChanged(others);
    };
    tokens_->onPeerLimits = [this](const std::vector<EndpointLimitRecord> &records, bool rejected) {
        onPeerLimits(records, rejected);
    };
    tokens_->onSlotRequest = [this](const SlotRequest &request) {
        return endpoints_.lendSlot(request, std::chrono::steady_clock::now());
    };
    tokens_->onSlotResponse = [this](const SlotResponse &response) {
        endpoints_.onSlotResponse(response, std::chrono::steady_clock::now());
    };
    endpoints_.onSlotNeeded = [this](const SlotRequest &request) {
        tokens_->peers().requestSlot(request, std::chrono::steady_clock::now());
    };
    endpoints_.onLimitObserved = [this](const EndpointLimitRecord &record, bool rejected) {
        tokens_->peers().broadcastLimit(record, rejected, std::chrono::steady_clock::now());
    };
    streamOrigins_ = std::make_unique<StreamOriginLink>(io_, tokens_->peers(), settings_.host,
                                                        settings_.domain, metrics_);
    versionRecorder_ =
            std::make_unique<VersionRecorder>(io_, *store_, adapter_.topics().ledger,
                                              log_.identity().incarnation.text() + "-versions",
                                              settings_.host, streamOrigins_->versions(), log_);
    tokens_->onVersionRow = [this](const StoreRow &row) {
        versionRecorder_->onRow(row);
    };
    tokens_->onTopicRead = [this] {
        versionRecorder_->onTopicRead(std::chrono::steady_clock::now());
    };
    crashingParts_ = std::make_unique<CrashingPartsLink>(
            io_, tokens_->peers(), CrashingPartsSettings{settings_.host, settings_.domain},
            [this](const EndpointId &endpoint) { return listedProcess(endpoints_, endpoint); },
            std::make_unique<QuarantineStore>(io_, *store_, adapter_.topics().ledger,
                                              log_.identity().incarnation.text() + "-quarantines",
                                              log_),
            log_, metrics_);
    crashingRequests_ = std::make_unique<CrashingRequestsLink>(
            io_, tokens_->peers(), settings_.host, settings_.domain,
            std::make_unique<QuarantineStore>(io_, *store_, adapter_.topics().ledger,
                                              log_.identity().incarnation.text() + "-refusals",
                                              log_, RequestQuarantineRowPrefix),
            log_, metrics_);
    crashingParts_->setIsExplained(
            [this](PartKey part, const std::vector<EndpointProcess> &crashed) {
                return crashingRequests_->explains(part, crashed);
            });
    if (rates_) {
        rates_->setMinHosts(settings_.fleetPoliciesFromHosts);
        rateLink_ = std::make_unique<EndpointRateLink>(tokens_->peers(), settings_.host, *rates_,
                                                       log_, metrics_);
    }
    endpoints_.onProcessReplaced = [this](const EndpointProcess &process) {
        crashingParts_->onProcessReplaced(process);
    };
    tokens_->onQuarantineRow = [this](const StoreRow &row) {
        if (row.key.rfind(RequestQuarantineRowPrefix, 0) == 0) {
            crashingRequests_->onRow(row);
        } else {
            crashingParts_->onRow(row);
        }
    };
}

void Edge::createFollowers()
{
    configFollower_ = std::make_unique<TopicFollower>(
            io_, *store_, FollowerSettings{adapter_.topics().config},
            TopicFollower::Handlers{[this](const std::vector<StoreRow> &rows, bool whole) {
                                        onConfigRows(rows, whole);
                                    },
                                    [](uint64_t) {},
                                    [this](bool reachable, StoreOutcome outcome) {
                                        onReachabilityChanged("config", reachable, outcome);
                                    }});
    FollowerSettings endpointSettings;
    endpointSettings.topic = adapter_.topics().endpoints;
    endpointSettings.pace = MinEndpointReadInterval;
    endpointFollower_ = std::make_unique<TopicFollower>(
            io_, *store_, endpointSettings,
            TopicFollower::Handlers{[this](const std::vector<StoreRow> &rows, bool whole) {
                                        onEndpointRows(rows, whole);
                                    },
                                    [this](uint64_t) { onEndpointsRead(); },
                                    [this](bool reachable, StoreOutcome outcome) {
                                        endpoints_.setStoreReachable(
                                                reachable, std::chrono::steady_clock::now());
                                        onReachabilityChanged("endpoints", reachable, outcome);
                                    }});
}

void Edge::startRelayServer()
{
    if (settings_.listenRelay.empty()) {
        return;
    }
    relayServer_ = std::make_unique<RelayServer>(
            io_, tcpSetting("listen_relay", settings_.listenRelay), log_, metrics_,
            RelayServer::Handlers{
                    [this](const Incarnation &process) {
                        return drain_.state() == "serving" && !endpoints_.isPartitioned()
                               && tokens_->isListed(process);
                    },
                    [this](const EndpointId &endpoint) { return relayTarget(endpoint); },
                    [this](const EndpointId &endpoint, bool connected) {
                        const Instant now = std::chrono::steady_clock::now();
                        if (connected) {
                            endpoints_.onConnected(endpoint, now);
                        } else {
                            endpoints_.onConnectFailed(endpoint, now);
                        }
                    },
                    [this](const NoticeSource &source, const ResponseHead &head) {
                        onRelayedResponse(source, head);
                    },
                    [this](const EndpointId &endpoint) {
                        return endpoints_.isLeaving(endpoint);
                    }});
}

std::optional<RelayTarget> Edge::relayTarget(const EndpointId &endpoint) const
{
    const std::optional<tcp::endpoint> address = endpoints_.addressOf(endpoint);
    if (!address) {
        return std::nullopt;
    }
    const bool takesRequests = endpoints_.mayRelayTo(endpoint, std::chrono::steady_clock::now());
    return RelayTarget{*address, endpoints_.startedAtMillis(endpoint), takesRequests};
}

void Edge::onRelayedResponse(NoticeSource source, const ResponseHead &head)
{
    const ResponseMetadata metadata = adapter_.dialect().decodeResponse(head);
    if (isFromEndpoint(head, metadata)) {
        source.request = metadata.requestId;
        endpoints_.onRelayedNotice(source, metadata.notice, std::chrono::steady_clock::now());
    }
}

void Edge::onHostsChanged(const std::vector<Peer> &others)
{
    std::vector<HostId> hosts = {settings_.host};
    std::map<HostId, RelayHost> relays;
    for (const Peer &peer : others) {
        hosts.push_back(peer.host);
        if (peer.relayAddress) {
            relays[peer.host] = {*peer.relayAddress, peer.domain};
        }
    }
    endpoints_.setHosts(hosts);
    endpoints_.setRelays(std::move(relays));
    streamOrigins_->setHosts(others);
    crashingParts_->setHosts(others);
    crashingRequests_->setHosts(others);
    versionRecorder_->setHosts(others);
    if (rateLink_) {
        rateLink_->setHosts(others);
    }
}

void Edge::probeEndpoint(Instant now)
{
    const auto target = endpoints_.probeTarget(now);
    if (!target) {
        return;
    }
    probeConnection(io_.get_executor(), target->second,
                    now + HttpConnectionSettings().connectTimeout,
                    [this, endpoint = target->first](ProbeOutcome outcome) {
                        if (outcome == ProbeOutcome::Connected) {
                            endpoints_.onConnected(endpoint, std::chrono::steady_clock::now());
                        }
                    });
}

std::size_t Edge::run()
{
    configFollower_->start();
    endpointFollower_->start();
    tokens_->start();
    accept();
    awaitSignals();
    tick();
    while (!runUntilFailure()) {
        // Only the handler that threw was interrupted; all other requests can still complete.
        beginStop();
    }
    if (failure_) {
        std::rethrow_exception(failure_);
    }
    return abortedConnections_;
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
        // A stop may have closed the listener in the same loop iteration that accepted this
        // connection, whose requests would be aborted when the process exits.
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

void Edge::onConfigRows(const std::vector<StoreRow> &rows, bool whole)
{
    // Before the configuration, without which no request is sent.
    applyEvacuationRows(rows, whole, adapter_, endpoints_, std::chrono::steady_clock::now());
    for (const StoreRow &row : rows) {
        if (row.key == adapter_.topics().configKey) {
            applyConfig(row);
        }
    }
}

void Edge::applyConfig(const StoreRow &row)
{
    try {
        ServingConfigPtr config = adapter_.decodeConfig(row.value);
        newestConfigRead_ = true;
        // A stale read or an old row must not replace a newer version that is in force.
        if (config_ && config->version <= config_->version) {
            return;
        }
        streamOrigins_->onConfig(*config, config_.get(), std::chrono::steady_clock::now());
        config_ = std::move(config);
    } catch (const std::exception &error) {
        // All hosts read this row; if it ended this process, it would end all of them.
        newestConfigRead_ = false;
        log_.write(Event("config.malformed").with("offset", row.offset).with("why", error.what()));
        return;
    }
    for (const std::string &warning : config_->warnings) {
        log_.write(Event("config.invalid_field")
                           .with("version", config_->version)
                           .with("why", warning));
    }
    endpoints_.setServices(config_->services, std::chrono::steady_clock::now());
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
    const EntrySource source = whole ? EntrySource::Snapshot : EntrySource::Tail;
    std::vector<EndpointId> present;
    for (const StoreRow &row : rows) {
        const EndpointId id(row.key);
        if (row.value.empty()) {
            endpoints_.remove(id, RemovalReason::Removed, now);
            continue;
        }
        present.push_back(id);
        try {
            endpoints_.update(adapter_.decodeEndpoint(row.key, row.value), now, source);
        } catch (const std::exception &error) {
            // The endpoint can't be used any more, even if an earlier entry was valid.
            log_.write(Event("endpoint.malformed").with("endpoint", id).with("why", error.what()));
            endpoints_.remove(id, RemovalReason::Malformed, now);
        }
    }
    if (whole) {
        endpoints_.keepOnly(present, now);
        endpointsKnown_ = true;
        streamOrigins_->versions().onGap(now);
    }
    endpoints_.publish(now);
}

void Edge::onEndpointsRead()
{
    if (endpointFollower_->current()) {
        const Instant now = std::chrono::steady_clock::now();
        endpoints_.onListRead(endpointFollower_->lastReadSentAt());
        streamOrigins_->versions().setListed(endpoints_.listedVersions(), now);
        streamOrigins_->versions().onRead(endpointFollower_->lastReadSentAt(),
                                          endpointFollower_->lastReadSentSinceBoot());
        versionRecorder_->tick(now);
    }
}

void Edge::onReachabilityChanged(const char *topicName, bool reachable, StoreOutcome outcome)
{
    log_.write(Event(reachable ? "store.reachable" : "store.lost")
                       .with("read", topicName)
                       .with("outcome", storeOutcomeName(outcome)));
    metrics_.count(reachable ? "store_regained_total" : "store_lost_total", {{"read", topicName}});
}

bool Edge::configIsCurrent() const
{
    return !failure_ && config_ && newestConfigRead_ && configFollower_->current();
}

bool Edge::ready()
{
    return config_ && endpointsKnown_ && drain_.state() == "serving" && !isShedding();
}

bool Edge::isShedding()
{
    const Instant now = std::chrono::steady_clock::now();
    const bool shedding = link_.shedding(now);
    if (shedding != shedding_) {
        shedding_ = shedding;
        log_.write(Event(shedding ? "link.full" : "link.has_room").with("share", link_.share(now)));
    }
    return shedding;
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
        const EdgeSettings newSettings = reloadSettings_();
        endpoints_.setRetries(newSettings.retries);
        link_.setBytesPerSecond(newSettings.linkBytesPerSecond);
        tokens_->setHorizon(newSettings.tokens.horizon);
        settings_.stopGrace = newSettings.stopGrace;
        settings_.readyGrace = newSettings.readyGrace;
        log_.write(Event("process.reloaded"));
    } catch (const SettingsError &error) {
        // The present settings stay in force; exiting here would abort all requests.
        log_.write(Event("process.not_reloaded").with("why", error.what()));
    }
}

void Edge::beginStop()
{
    if (drain_.state() != "serving") {
        return;
    }
    drain_.handle("stop");
    const Interval heldUp = heldUpFor();
    // The platform counts the grace period from the signal, not from its handler.
    const Instant signalledAt = std::chrono::steady_clock::now() - heldUp;
    acceptUntil_ = signalledAt + settings_.readyGrace;
    takeAllUntil_ = acceptUntil_ - MaxSignalDelay;
    abortAt_ = signalledAt + settings_.stopGrace - AbortBeforeEnd;
    endAt_ = signalledAt + settings_.stopGrace;
    log_.write(Event(events::ProcessDraining)
                       .with("callers", callers_.size())
                       .with("held_up_ms", std::chrono::duration_cast<Millis>(heldUp).count()));
    drainCallers();
}

Interval Edge::heldUpFor() const
{
    if (previousTickSinceBoot_ == Millis::zero()) {
        return Interval::zero();
    }
    // The last tick may have run in the loop's present iteration, behind what held the process up.
    // The steady clock stands still while the host sleeps.
    return std::max<Interval>(sinceBoot() - previousTickSinceBoot_ - 2 * TickInterval,
                              Interval::zero());
}

std::optional<Instant> Edge::latestEnd() const
{
    const bool takesAll =
            drain_.state() == "serving" || std::chrono::steady_clock::now() < takeAllUntil_;
    return takesAll ? std::nullopt : std::optional(abortAt_);
}

void Edge::drainCallers()
{
    const std::set<std::shared_ptr<CallerConnection>> callers = callers_;
    for (const std::shared_ptr<CallerConnection> &caller : callers) {
        caller->drain();
    }
}

void Edge::abortCallers(Instant now)
{
    // Measured from the first call, since the process may have been blocked until then.
    const bool isFirst = closeAt_ == Never;
    closeAt_ = isFirst ? now + CloseAfterAbort : closeAt_;
    const std::set<std::shared_ptr<CallerConnection>> callers = callers_;
    for (const std::shared_ptr<CallerConnection> &caller : callers) {
        abortedConnections_ += caller->serving() ? 1 : 0;
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
    if (now >= abortAt_ && relayServer_) {
        // Ends what is left of other hosts' requests in a way that doesn't look complete.
        relayServer_->closeAll();
    }
    if (now >= endAt_ && (closeAt_ == Never ? callers_.empty() : now >= closeAt_)) {
        abortCallers(now);
        io_.stop();
        return;
    }
    if (returningTokens_) {
        return;
    }
    if (now >= acceptUntil_ && acceptor_.is_open()) {
        error_code ignored;
        acceptor_.close(ignored);
    }
    drainCallers();
    if (now >= abortAt_) {
        abortCallers(now);
    }
    const bool isRelaying = relayServer_ && relayServer_->open() > 0 && now < abortAt_;
    if (acceptor_.is_open() || !callers_.empty() || isRelaying) {
        return;
    }
    returningTokens_ = true;
    tokens_->stop(now + TokenReturnTimeout, [this] {
        drain_.handle("empty");
        io_.stop();
    });
}

void Edge::tick()
{
    const Instant now = std::chrono::steady_clock::now();
    previousTickSinceBoot_ = std::exchange(tickedSinceBoot_, sinceBoot());
    recordLoopLag(now);
    // Armed first, so that a stop completes even if something below throws.
    tickDueAt_ = now + TickInterval;
    timer_.expires_at(tickDueAt_);
    timer_.async_wait([this](const error_code &error) {
        if (!error) {
            tick();
        }
    });
    checkStop();
    endpoints_.tick(now);
    probeEndpoint(now);
    gossip(now);
    versionRecorder_->tick(now);
    pool_.closeExpired(now);
}

void Edge::gossip(Instant now)
{
    if (now < nextGossipAt_) {
        return;
    }
    nextGossipAt_ = now + GossipInterval;
    const std::vector<EndpointLimitRecord> records = endpoints_.limitRecords(now);
    if (!records.empty()) {
        tokens_->peers().gossipLimits(records, now);
    }
    crashingParts_->gossip(now);
    crashingRequests_->gossip(now);
    if (rateLink_) {
        rateLink_->gossip(now);
    }
}

void Edge::onPeerLimits(const std::vector<EndpointLimitRecord> &records, bool rejected)
{
    const Instant now = std::chrono::steady_clock::now();
    if (rejected) {
        endpoints_.onPeerRejection(records.front(), now);
    } else {
        endpoints_.onPeerLimits(records, now);
    }
}

void Edge::recordLoopLag(Instant now)
{
    if (tickDueAt_ == Never) {
        return;
    }
    const Interval lag = now - tickDueAt_;
    metrics_.observe("edge_loop_lag_seconds", lag);
    if (lag > MaxLoopLag) {
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
    metrics_.gauge("edge_endpoints_leaving_by_response",
                   static_cast<double>(endpoints_.leavingByResponse()));
    metrics_.gauge("edge_endpoints_backing_off", static_cast<double>(endpoints_.backingOff(now)));
    metrics_.gauge("edge_requests_refused_in_backoff",
                   static_cast<double>(endpoints_.requestsRefusedInBackoff()));
    metrics_.gauge("edge_domains_evacuated",
                   static_cast<double>(endpoints_.evacuatedDomains().size()));
    metrics_.gauge("edge_requests_refused_by_evacuation",
                   static_cast<double>(endpoints_.requestsRefusedByEvacuation()));
    metrics_.gauge("edge_requests_refused_by_region",
                   static_cast<double>(endpoints_.requestsRefusedByRegion()));
    metrics_.gauge("edge_endpoints_suspected", static_cast<double>(endpoints_.suspects()));
    metrics_.gauge("edge_endpoints_cold", static_cast<double>(endpoints_.coldEndpoints(now)));
    metrics_.gauge("edge_endpoints_limited", static_cast<double>(endpoints_.limitedEndpoints()));
    if (rates_) {
        metrics_.gauge("edge_endpoint_rates_known", static_cast<double>(rates_->knownCount(now)));
    }
    metrics_.gauge("edge_partitioned", endpoints_.isPartitioned() ? 1.0 : 0.0);
    metrics_.gauge("edge_requests_relayed_now",
                   relayServer_ ? static_cast<double>(relayServer_->open()) : 0.0);
    metrics_.gauge("edge_stream_records", static_cast<double>(streamOrigins_->recordCount()));
    metrics_.gauge("edge_parts_quarantined", static_cast<double>(crashingParts_->quarantined(now)));
    metrics_.gauge("edge_requests_quarantined",
                   static_cast<double>(crashingRequests_->refused(now)));
    metrics_.gauge("edge_requests_limited", static_cast<double>(endpoints_.limitedRequests()));
    const ExpectedTimeCounts &placements = endpoints_.expectedTimeCounts();
    const std::pair<const char *, uint64_t> placementCounts[] = {
            {"edge_placements_by_expected_time", placements.selected},
            {"edge_placements_away_from_home", placements.awayFromHome},
            {"edge_placements_spread", placements.spread},
            {"edge_placements_without_memory", placements.withoutMemory},
            {"edge_placements_refused", placements.refused},
    };
    for (const auto &[name, count] : placementCounts) {
        metrics_.gauge(name, static_cast<double>(count));
    }
    metrics_.gauge("edge_config_version", config_ ? static_cast<double>(config_->version) : 0.0);
    metrics_.gauge("edge_config_age_seconds", age(*configFollower_));
    metrics_.gauge("edge_endpoints_age_seconds", age(*endpointFollower_));
    if (buffers_) {
        const BufferUse &buffered = buffers_->total();
        const auto gauge = [this](const char *kind, std::size_t bytes) {
            metrics_.gauge("edge_buffered_bytes", static_cast<double>(bytes), {{"kind", kind}});
        };
        gauge("unread", buffered.unread);
        gauge("body", buffered.body);
        gauge("other", buffered.other);
        metrics_.gauge("edge_buffer_limit_bytes", static_cast<double>(buffers_->limit()));
        metrics_.gauge("edge_streams_paused", static_cast<double>(buffers_->paused()));
        metrics_.gauge("edge_bodies_waiting", static_cast<double>(buffers_->waiting()));
    }
    metrics_.gauge("edge_connections_opened", static_cast<double>(pool_.opened()));
}

} // namespace sequoiagate
