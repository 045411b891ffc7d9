#include "sequoiagate/Edge/TokenService.h"

#include <algorithm>
#include <map>

#include "LedgerRows.h"
#include "PeerClocks.h"
#include "Predecessor.h"
#include "StoreLoss.h"
#include "TokenStateLog.h"
#include "TokenWaitQueue.h"
#include "sequoiagate/Ledger/TokenHomes.h"

namespace sequoiagate {

namespace {

/// How often claims, token requests and waiting requests are processed. A claim takes about 15 ms
/// and a transfer a few; a waiting request is delayed by at most this in addition.
constexpr Interval TickInterval = std::chrono::milliseconds(25);

constexpr Interval AppendRetryDelay = std::chrono::milliseconds(120);
constexpr Interval RejectedAppendRetryDelay = std::chrono::seconds(1);

/// Minimum interval between reads of the edge's topic; without it, every claim in the fleet would
/// wake up all processes.
constexpr Interval MinReadInterval = std::chrono::milliseconds(60);
constexpr Interval MinReadIntervalPerProcess = std::chrono::milliseconds(6);

constexpr Interval StateLogInterval = std::chrono::seconds(2);

/// Added to the time that may have passed between a dead process's last batch and its end, since
/// the process read its clock and applied its own limit at slightly different times.
constexpr Millis ElapsedMargin = std::chrono::milliseconds(50);

FollowerSettings followerSettings(const std::string &topic)
{
    FollowerSettings settings;
    settings.topic = topic;
    settings.pace = MinReadInterval;
    return settings;
}

} // namespace

TokenService::TokenService(boost::asio::io_context &io, Store &store, TokenServiceSettings settings,
                           EventLog &log, Metrics &metrics)
    : store_(store), settings_(std::move(settings)), log_(log), metrics_(metrics),
      holder_(settings_.incarnation, settings_.holder),
      peers_(io, settings_.listenPeers, settings_.incarnation, settings_.domain, log,
             {[this](const TokenRequest &request) {
                  return transferOut(request, std::chrono::steady_clock::now());
              },
              [this](const WorkspaceId &workspace) { return heldTokens(workspace); },
              [this](const WorkspaceId &workspace, uint64_t tokens) {
                  const Instant now = std::chrono::steady_clock::now();
                  holder_.transferIn(workspace, tokens, now);
                  waiting_->onTokensReceived(workspace, tokens, now);
              },
              [this](const ClockResponse &response) { onClockResponse(response); },
              [this](const std::vector<EndpointLimitRecord> &records, bool rejected) {
                  onPeerLimits(records, rejected);
              },
              [this](const SlotRequest &request) { return onSlotRequest(request); },
              [this](const SlotResponse &response) {
                  onSlotResponse(response);
              }}),
      follower_(io, store, followerSettings(settings_.topic),
                {[this](const std::vector<StoreRow> &rows, bool) { onRows(rows); },
                 [this](uint64_t next) {
                     if (holder_.onReadUpTo(next)) {
                         batchAcknowledged_ = true;
                         waiting_->serve(std::chrono::steady_clock::now());
                     }
                     onTopicRead();
                 },
                 [this](bool reachable, StoreOutcome outcome) {
                     log_.write(Event(reachable ? "ledger.reachable" : "ledger.lost")
                                        .with("outcome", storeOutcomeName(outcome)));
                 }}),
      timer_(io), storeLoss_(std::make_unique<StoreLoss>()),
      stateLog_(std::make_unique<TokenStateLog>()),
      peerClocks_(std::make_unique<PeerClocks>(settings_.host)),
      startedAt_(std::chrono::steady_clock::now())
{
    TokenWaitQueue::Hooks hooks;
    hooks.obtainTokens = [this](Instant now) {
        writeBatch();
        requestFromPeers(now);
    };
    hooks.requestTokens = [this](const TokenRequest &request) {
        peers_.requestTokens(request);
    };
    hooks.heldByPeers = [this](const WorkspaceId &workspace, Instant since) {
        return peers_.heldByPeers(workspace, since);
    };
    hooks.predecessorPending = [this] {
        return predecessorPending();
    };
    waiting_ = std::make_unique<TokenWaitQueue>(holder_, settings_.allocation, log, metrics,
                                                std::move(hooks));
    waiting_->setHorizon(settings_.holder.horizon);
    applyPolicies(1);
    // Called after the link has passed on the tokens that the message contains.
    peers_.setHandler("move", [this](const nlohmann::json &message, const auto &) {
        onTokenResponse(message);
    });
}

TokenService::~TokenService() = default;

void TokenService::start()
{
    follower_.start();
    armTick();
}

void TokenService::setHorizon(Interval horizon)
{
    holder_.setHorizon(horizon);
    waiting_->setHorizon(horizon);
}

void TokenService::armTick()
{
    timer_.expires_after(TickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            // Armed first, so that the tokens are returned even if a tick throws.
            armTick();
            tick();
        }
    });
}

void TokenService::tick()
{
    const Instant now = std::chrono::steady_clock::now();
    holder_.setStoreReachable(follower_.current());
    waiting_->setUnreachableSince(storeLostSince());
    sealPredecessor(now);
    requestClocks(now);
    writeBatch();
    requestFromPeers(now);
    returnUnusedTokens(now);
    peers_.tick(now);
    waiting_->tick(now);
    if (now >= nextStateLogAt_) {
        nextStateLogAt_ = now + StateLogInterval;
        logTokenStates();
    }
    finishStop(now);
}

void TokenService::logTokenStates()
{
    const bool current = follower_.reachable() && follower_.caughtUp();
    std::vector<TokenState> states;
    for (const WorkspaceId &workspace : holder_.workspaces()) {
        states.push_back({workspace, holder_.prepaid(workspace), holder_.owned(workspace),
                          holder_.usable(workspace), holder_.reserved(workspace),
                          holder_.spent(workspace), holder_.unallotted(workspace), current});
    }
    for (const TokenState &state : stateLog_->select(states)) {
        log_.write(Event("tokens.state")
                           .with("workspace", state.workspace)
                           .with("prepaid", state.prepaid)
                           .with("owned", state.owned)
                           .with("usable", state.usable)
                           .with("reserved", state.reserved)
                           .with("spent", state.spent)
                           .with("unallotted", state.unallotted)
                           .with("current", state.current)
                           .essential());
    }
}

void TokenService::setBudgets(const std::vector<WorkspaceBudget> &budgets, Instant now)
{
    holder_.setBudgets(budgets, now);
    chooseHomes();
    waiting_->forgetShortfalls();
}

void TokenService::onRows(const std::vector<StoreRow> &rows)
{
    bool hostsChanged = false;
    for (const StoreRow &row : rows) {
        confirmBatchIfReadBack(row);
        switch (ledgerRowKind(row.key)) {
        case LedgerRowKind::Budget:
            onBudgetRow(row);
            break;
        case LedgerRowKind::Batch:
            onBatchRow(row);
            break;
        case LedgerRowKind::Host:
            onHostRow(row);
            hostsChanged = true;
            break;
        case LedgerRowKind::Quarantine:
            onQuarantineRow(row);
            break;
        case LedgerRowKind::Versions:
            onVersionRow(row);
            break;
        case LedgerRowKind::Unknown:
            log_.write(Event("ledger.malformed").with("key", row.key));
            break;
        }
    }
    if (hostsChanged) {
        updatePeers();
    }
}

void TokenService::confirmBatchIfReadBack(const StoreRow &row)
{
    // Batches are written atomically, so the last row confirms all of them. The response to the
    // append may be lost at every attempt; without this check a host that has just started could
    // then claim nothing for seconds.
    const bool isLast =
            batch_ && row.key == batch_->rows.back().key && row.value == batch_->rows.back().value;
    if (isLast) {
        batchAcknowledged_ = true;
        holder_.onBatchWritten();
    }
}

void TokenService::onBudgetRow(const StoreRow &row)
{
    const std::optional<AllotmentRow> parsed = decodeAllotment(row);
    if (!parsed) {
        log_.write(Event("ledger.malformed").with("key", row.key));
        return;
    }
    holder_.onRow(*parsed, row.offset, std::chrono::steady_clock::now());
}

void TokenService::onBatchRow(const StoreRow &row)
{
    const Incarnation holder = batchHolder(row);
    if (holder != settings_.incarnation) {
        peerClocks_->onBatch(holder, row, std::chrono::steady_clock::now());
    }
}

void TokenService::findPredecessor()
{
    const std::optional<Peer> listed = std::exchange(previousProcess_, std::nullopt);
    if (!listed) {
        return;
    }
    // This process has bound the address, so the process that had it before has ended.
    const bool sameAddress = listed->listenAddress == settings_.listenPeers;
    const std::optional<BatchHeader> batch = peerClocks_->lastBatchOf(listed->incarnation);
    if (!sameAddress || !batch) {
        log_.write(Event("ledger.predecessor_unsealed")
                           .with("holder", listed->incarnation)
                           .with("same_address", sameAddress)
                           .with("has_batch", batch.has_value()));
        return;
    }
    std::set<Predecessor::Address> addresses;
    for (const auto &[name, peer] : hosts_) {
        addresses.insert(peer.address);
    }
    predecessor_ =
            std::make_unique<Predecessor>(*batch, addresses, std::chrono::steady_clock::now());
}

void TokenService::sealPredecessor(Instant now)
{
    if (!predecessor_) {
        return;
    }
    if (!predecessor_->isComplete(now)) {
        const auto sinceStart = std::chrono::duration_cast<Millis>(now - startedAt_);
        for (const Predecessor::Address &address : predecessor_->addressesToQuery(now)) {
            peers_.requestClock(address, sinceStart);
        }
        return;
    }
    const std::optional<Millis> bound = predecessor_->elapsedUpperBound();
    std::optional<Interval> elapsed;
    if (bound) {
        elapsed = *bound + ElapsedMargin;
    }
    seals_ = holder_.sealRows(predecessor_->process(), elapsed);
    log_.write(Event("ledger.predecessor")
                       .with("holder", predecessor_->process())
                       .with("silent_ms", bound ? bound->count() : -1)
                       .with("asked", predecessor_->queriedCount())
                       .with("answered", predecessor_->responseCount())
                       .with("sealed", elapsed && *elapsed < settings_.holder.batchValidity)
                       .essential());
    logWrittenOffTokens(predecessor_->process(), elapsed);
    predecessor_.reset();
}

void TokenService::logWrittenOffTokens(const Incarnation &dead, std::optional<Interval> elapsed)
{
    std::string_view reason = "end_not_dated";
    if (elapsed) {
        reason = *elapsed < settings_.holder.batchValidity ? "sealed" : "silent_too_long";
    }
    std::map<WorkspaceId, uint64_t> sealedTokens;
    for (const AllotmentRow &row : seals_) {
        sealedTokens[row.workspace] = row.allotment.tokens;
    }
    for (const AllotmentRow &row : holder_.rowsOf(dead)) {
        const uint64_t owned = row.allotment.tokens;
        const auto seal = sealedTokens.find(row.workspace);
        const uint64_t tokens = seal == sealedTokens.end() ? owned : seal->second;
        log_.write(Event("tokens.given_up")
                           .with("workspace", row.workspace)
                           .with("holder", dead)
                           .with("tokens", tokens)
                           .with("given_back", owned - tokens)
                           .with("why", reason)
                           .essential());
    }
}

void TokenService::onClockResponse(const ClockResponse &response)
{
    peerClocks_->onResponse(response, std::chrono::steady_clock::now());
    if (predecessor_) {
        predecessor_->onResponse(response);
    }
}

void TokenService::onTokenResponse(const nlohmann::json &message)
{
    TokenResponse response;
    response.workspace = WorkspaceId(message.at("workspace").get<std::string>());
    response.from = Incarnation(message.at("from").get<std::string>());
    response.tokens = message.at("tokens").get<uint64_t>();
    response.usable = message.at("usable").get<uint64_t>();
    response.mayClaim = message.value("claims", true);
    waiting_->onTokenResponse(response, std::chrono::steady_clock::now());
}

void TokenService::requestClocks(Instant now)
{
    // A successor has nothing to return unless a row of this process leaves tokens unused.
    if (!holder_.anyRowHasUnusedTokens()) {
        return;
    }
    for (const boost::asio::ip::udp::endpoint &address : peerClocks_->peersToQuery(now)) {
        peers_.requestClock(address, Millis(0));
    }
}

void TokenService::onHostRow(const StoreRow &row)
{
    const HostId host = hostOf(row);
    if (row.value.empty()) {
        hosts_.erase(host.text());
        if (host == settings_.host) {
            onOwnHostRowReplaced();
        }
        return;
    }
    try {
        const Peer peer = decodeHost(row);
        hosts_[host.text()] = peer;
        if (peer.host != settings_.host) {
            return;
        }
        if (peer.incarnation != settings_.incarnation && ownHostRowRead_) {
            onOwnHostRowReplaced();
            return;
        }
        if (peer.incarnation != settings_.incarnation) {
            previousProcess_ = peer;
            return;
        }
        ownHostRowRead_ = true;
        // This process's row was read back, so all rows of the predecessor were read before it.
        findPredecessor();
    } catch (const std::exception &error) {
        log_.write(Event("peer.malformed").with("host", host).with("why", error.what()));
    }
}

void TokenService::onOwnHostRowReplaced()
{
    if (!ownHostRowRead_ || onStopped_) {
        return;
    }
    // A write of the process before was carried out late.
    log_.write(Event("ledger.host_row_replaced"));
    hostRowQueued_ = false;
}

void TokenService::applyPolicies(uint32_t hosts)
{
    const bool areApplied = hosts >= settings_.policiesFromHosts;
    holder_.setReservePolicy(areApplied ? settings_.holder.policy : ReservePolicy::MeanDemand);
    waiting_->setPolicy(areApplied ? settings_.allocation : TokenAllocationPolicy::FirstCome);
}

void TokenService::updatePeers()
{
    std::vector<Peer> peers;
    for (const auto &[name, peer] : hosts_) {
        if (peer.host != settings_.host) {
            peers.push_back(peer);
        }
    }
    const auto count = static_cast<uint32_t>(peers.size() + 1);
    holder_.setHolderCount(count);
    applyPolicies(count);
    // Each process's batches wake all readers, so without this the fleet's reads per second would
    // grow with the square of its size. Own batches are read back without this delay.
    follower_.setPace(std::max<Interval>(MinReadInterval, MinReadIntervalPerProcess * count));
    peerClocks_->setPeers(peers);
    const std::vector<Peer> others = peers;
    peers_.setPeers(std::move(peers));
    waiting_->setPeerCount(others.size());
    chooseHomes();
    if (onHostsChanged) {
        onHostsChanged(others);
    }
}

bool TokenService::isListed(const Incarnation &process) const
{
    return std::any_of(hosts_.begin(), hosts_.end(),
                       [&process](const auto &host) { return host.second.incarnation == process; });
}

void TokenService::chooseHomes()
{
    std::vector<HostLocation> locations;
    locations.reserve(hosts_.size());
    for (const auto &[name, peer] : hosts_) {
        locations.push_back({peer.host, peer.domain});
    }
    TokenHomes tokenHomes;
    tokenHomes.setHosts(locations);
    for (const WorkspaceId &workspace : holder_.workspaces()) {
        // Processes that know different hosts may choose different homes, which costs an extra
        // round of token requests.
        const std::vector<HostLocation> homes = tokenHomes.homesOf(workspace);
        std::vector<Peer> others;
        for (const HostLocation &home : homes) {
            if (home.host != settings_.host) {
                others.push_back(hosts_.at(home.host.text()));
            }
        }
        const bool isHome = others.size() < homes.size();
        holder_.setHomes(workspace, static_cast<uint32_t>(homes.size()), isHome);
        waiting_->setHomeCount(workspace, others.size());
        peers_.setHomes(workspace, std::move(others));
    }
}

void TokenService::writeBatch()
{
    // Read before the batch is composed: the clock reading in the batch may be older than the time
    // that the holder's limits start from but never newer, even if the process is suspended here.
    const Millis clock = sinceBoot();
    const Instant now = std::chrono::steady_clock::now();
    if (batch_) {
        if (!appending_ && !batchAcknowledged_ && now >= retryAppendAt_) {
            appendBatch();
        }
        // A batch with claims is complete when its rows have been read back.
        const bool settled = batchAcknowledged_ && (!batchHasClaims_ || !holder_.batchInFlight());
        if (batchAcknowledged_ && !settled) {
            follower_.hurry();
        }
        if (!settled) {
            return;
        }
        batch_.reset();
    }
    if (!follower_.current()) {
        return;
    }
    StoreBatch batch;
    batch.topic = settings_.topic;
    batch.writer = settings_.incarnation.text();
    batch.seq = nextSeq_;
    const std::optional<std::vector<AllotmentRow>> rows = holder_.nextBatch(now);
    for (const AllotmentRow &row : rows.value_or(std::vector<AllotmentRow>())) {
        batch.rows.push_back(encodeAllotment(row));
    }
    batchHasClaims_ = !batch.rows.empty();
    if (rows) {
        batch.rows.push_back(
                encodeBatch({settings_.incarnation, clock, peerClocks_->newestClocks(now)}));
    }
    for (const AllotmentRow &row : std::exchange(seals_, {})) {
        batch.rows.push_back(encodeAllotment(row));
    }
    if (!hostRowQueued_) {
        batch.rows.push_back(encodeHost({settings_.host, settings_.domain, settings_.incarnation,
                                         settings_.advertisePeers, settings_.listenPeers,
                                         settings_.advertiseRelay}));
        hostRowQueued_ = true;
    }
    if (onStopped_ && !hostRemovalQueued_) {
        batch.rows.push_back(encodeHostRemoval(settings_.host));
        hostRemovalQueued_ = true;
    }
    if (batch.rows.empty()) {
        return;
    }
    ++nextSeq_;
    batch_ = std::move(batch);
    batchAcknowledged_ = false;
    appendBatch();
}

void TokenService::appendBatch()
{
    appending_ = true;
    const Instant sentAt = std::chrono::steady_clock::now();
    store_.append(*batch_, [this, sentAt, seq = batch_->seq](const AppendAnswer &response) {
        metrics_.observe("ledger_append_seconds", std::chrono::steady_clock::now() - sentAt);
        if (response.outcome == StoreOutcome::Unreachable) {
            storeLoss_->onUnansweredAppend(sentAt);
        }
        // A batch that was read back is complete even without a response. Waiting for a lost
        // response would delay the next claim until the timeout.
        if (batch_ && batch_->seq == seq) {
            onAppended(response);
        }
    });
}

void TokenService::onAppended(const AppendAnswer &response)
{
    appending_ = false;
    const Instant now = std::chrono::steady_clock::now();
    metrics_.count("ledger_appends_total",
                   {{"outcome", std::string(storeOutcomeName(response.outcome))}});
    if (response.outcome == StoreOutcome::Ok) {
        batchAcknowledged_ = true;
        holder_.onBatchWritten();
        if (holder_.batchInFlight()) {
            follower_.hurry();
        }
        return;
    }
    log_.write(Event("ledger.append_failed")
                       .with("outcome", storeOutcomeName(response.outcome))
                       .with("seq", batch_->seq));
    if (response.outcome == StoreOutcome::OutOfOrder && response.expectedSeq) {
        // The batch is already in the store, or the store expects another sequence number.
        if (*response.expectedSeq == batch_->seq + 1) {
            batchAcknowledged_ = true;
            holder_.onBatchWritten();
            return;
        }
        batch_->seq = *response.expectedSeq;
        nextSeq_ = batch_->seq + 1;
    }
    const bool rejected = response.outcome == StoreOutcome::Rejected;
    retryAppendAt_ = now + (rejected ? RejectedAppendRetryDelay : AppendRetryDelay);
}

ReservationTicket TokenService::reserve(const ReservationRequest &request,
                                        std::function<void(std::optional<Verdict>)> handler)
{
    return waiting_->reserve(request, std::move(handler), std::chrono::steady_clock::now());
}

void TokenService::cancel(ReservationTicket ticket)
{
    waiting_->cancel(ticket, std::chrono::steady_clock::now());
}

void TokenService::settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent)
{
    const Instant now = std::chrono::steady_clock::now();
    holder_.settle(workspace, reserved, spent, now);
    metrics_.count("ledger_tokens_spent_total", {}, spent);
    waiting_->serve(now);
}

std::optional<Instant> TokenService::storeLostSince() const
{
    return follower_.caughtUp() ? storeLoss_->since(follower_.reachable(), follower_.lastAnswerAt())
                                : std::nullopt;
}

bool TokenService::predecessorPending() const
{
    return !ownHostRowRead_ || predecessor_ || !seals_.empty();
}

HeldTokens TokenService::heldTokens(const WorkspaceId &workspace) const
{
    const bool mayClaim =
            follower_.current() && !storeLostSince() && holder_.unallotted(workspace) > 0;
    return {holder_.usable(workspace), holder_.reserved(workspace), predecessorPending(), mayClaim};
}

uint64_t TokenService::transferOut(const TokenRequest &request, Instant now)
{
    if (!waiting_->mayTransfer(request, now)) {
        return 0;
    }
    const uint64_t tokens = holder_.transferOut(request, now);
    waiting_->onTransferred(request, tokens);
    if (tokens < request.need) {
        writeBatch(); // claims the missing tokens, if possible before the peer's next request
    }
    return tokens;
}

void TokenService::requestFromPeers(Instant now)
{
    for (TokenRequest &request : holder_.peerRequests(now)) {
        if (waiting_->prepareRequest(request)) {
            peers_.requestTokens(request);
        }
    }
}

void TokenService::returnUnusedTokens(Instant now)
{
    for (const WorkspaceId &workspace : holder_.workspaces()) {
        if (!peers_.homeRespondedRecently(workspace, now)) {
            continue;
        }
        if (const uint64_t tokens = holder_.releaseLeftover(workspace, now)) {
            peers_.transferToHome(workspace, tokens, now);
        }
    }
}

void TokenService::stop(Instant deadline, std::function<void()> done)
{
    stopDeadline_ = deadline;
    onStopped_ = std::move(done);
    holder_.returnAll();
}

void TokenService::finishStop(Instant now)
{
    if (!onStopped_) {
        return;
    }
    // Tokens of requests that have ended since then go into the next batch.
    holder_.returnAll();
    const bool written = hostRemovalQueued_ && !batch_;
    if (!written && now < stopDeadline_) {
        return;
    }
    const auto done = std::exchange(onStopped_, nullptr);
    logTokenStates();
    timer_.cancel();
    follower_.stop();
    done();
}

} // namespace sequoiagate
