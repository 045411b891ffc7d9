#include "sequoiagate/Edge/TokenService.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "LedgerRows.h"
#include "PeerClocks.h"
#include "Predecessor.h"
#include "TokenStateLog.h"
#include "sequoiagate/Ledger/TokenHomes.h"

namespace sequoiagate {

namespace {

/// How often tokens are claimed, asked for and waited for. A claim takes some 15 ms, a move
/// a few; a request that waits sees at most this beside.
constexpr Interval TickInterval = std::chrono::milliseconds(25);

/// The longest that a request waits for tokens: time for a claim (some 15 ms) and, where the
/// store has none, for several rounds of asking peers.
constexpr Interval TokenWait = std::chrono::milliseconds(200);

/// For this long after a shortage requests of that size aren't held again.
constexpr Interval ShortageLasts = std::chrono::milliseconds(300);

/// When to come back where the store is away: it isn't known when it returns.
constexpr Interval ComeBackWithoutStore = std::chrono::milliseconds(1000);

/// When to come back while the store still has tokens, or others' requests are ending.
constexpr Interval ComeBackWithStore = std::chrono::milliseconds(400);

constexpr Interval AppendAgain = std::chrono::milliseconds(120);
constexpr Interval AppendAgainRejected = std::chrono::seconds(1);

/// Reads of the own topic are paced, since each of the fleet's claims would wake all.
constexpr Interval ReadPace = std::chrono::milliseconds(60);
constexpr Interval ReadPacePerProcess = std::chrono::milliseconds(6);

constexpr Interval ReportInterval = std::chrono::seconds(2);

/// A dead process's last batch must be younger than the holder's own bound by this, since
/// the two clocks that are read for them aren't read in one moment.
constexpr Millis SealMargin = std::chrono::milliseconds(50);

FollowerSettings followerSettings(const std::string &topic)
{
    FollowerSettings settings;
    settings.topic = topic;
    settings.pace = ReadPace;
    return settings;
}

} // namespace

TokenService::TokenService(boost::asio::io_context &io, Store &store, TokenServiceSettings settings,
                           EventLog &log, Metrics &metrics)
    : store_(store), settings_(std::move(settings)), log_(log), metrics_(metrics),
      holder_(settings_.incarnation, settings_.holder),
      peers_(io, settings_.listenPeers, settings_.incarnation, settings_.domain, log,
             {[this](const TokenRequest &ask) {
                  return give(ask, std::chrono::steady_clock::now());
              },
              [this](const WorkspaceId &workspace) { return held(workspace); },
              [this](const WorkspaceId &workspace, uint64_t tokens) {
                  const Instant now = std::chrono::steady_clock::now();
                  holder_.transferIn(workspace, tokens, now);
                  serveWaiting(now);
              },
              [this](const ClockAnswer &answer) {
                  onClock(answer);
              }}),
      follower_(io, store, followerSettings(settings_.topic),
                {[this](const std::vector<StoreRow> &rows, bool) { onRows(rows); },
                 [this](uint64_t next) {
                     if (holder_.onReadUpTo(next)) {
                         acknowledged_ = true;
                         serveWaiting(std::chrono::steady_clock::now());
                     }
                 },
                 [this](bool reachable, StoreOutcome outcome) {
                     log_.write(Event(reachable ? "ledger.reachable" : "ledger.lost")
                                        .with("outcome", storeOutcomeName(outcome)));
                 }}),
      timer_(io), stateLog_(std::make_unique<TokenStateLog>()),
      peerClocks_(std::make_unique<PeerClocks>(settings_.host)),
      startedAt_(std::chrono::steady_clock::now())
{}

TokenService::~TokenService() = default;

void TokenService::start()
{
    follower_.start();
    armTick();
}

void TokenService::armTick()
{
    timer_.expires_after(TickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            // Armed first: the tokens are to be returned also if a tick fails.
            armTick();
            tick();
        }
    });
}

void TokenService::tick()
{
    const Instant now = std::chrono::steady_clock::now();
    holder_.setStoreReachable(follower_.current());
    sealPredecessor(now);
    askClocks(now);
    write();
    askPeers(now);
    returnLeftovers(now);
    peers_.tick(now);
    serveWaiting(now);
    expireWaiting(now);
    if (now >= reportAt_) {
        reportAt_ = now + ReportInterval;
        report();
    }
    finishStop(now);
}

void TokenService::report()
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
    shortages_.clear();
}

void TokenService::onRows(const std::vector<StoreRow> &rows)
{
    bool hostsChanged = false;
    for (const StoreRow &row : rows) {
        noteReadBack(row);
        switch (ledgerRowOf(row.key)) {
        case LedgerRow::Budget:
            onBudgetRow(row);
            break;
        case LedgerRow::Batch:
            onBatchRow(row);
            break;
        case LedgerRow::Host:
            onHostRow(row);
            hostsChanged = true;
            break;
        case LedgerRow::Unknown:
            log_.write(Event("ledger.malformed").with("key", row.key));
            break;
        }
    }
    if (hostsChanged) {
        publishPeers();
    }
}

void TokenService::noteReadBack(const StoreRow &row)
{
    // A batch is written whole, so its last row tells of all. Its answer may be lost, at every
    // try; a host that had just started could then claim nothing for seconds.
    const bool isLast =
            batch_ && row.key == batch_->rows.back().key && row.value == batch_->rows.back().value;
    if (isLast) {
        acknowledged_ = true;
        holder_.onBatchWritten();
    }
}

void TokenService::onBudgetRow(const StoreRow &row)
{
    const std::optional<AllotmentRow> parsed = decodeBudget(row);
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
    const std::optional<Peer> listed = std::exchange(listedBefore_, std::nullopt);
    if (!listed) {
        return;
    }
    // The address is this process's now, so whoever had it before has ended.
    const bool sameAddress = listed->listens == settings_.listenPeers;
    const std::optional<BatchMoment> batch = peerClocks_->lastBatchOf(listed->incarnation);
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
    if (!predecessor_->decided(now)) {
        const auto asked = std::chrono::duration_cast<Millis>(now - startedAt_);
        for (const Predecessor::Address &address : predecessor_->asks(now)) {
            peers_.askClock(address, asked);
        }
        return;
    }
    const std::optional<Millis> bound = predecessor_->bound();
    std::optional<Interval> elapsed;
    if (bound) {
        elapsed = *bound + SealMargin;
    }
    seals_ = holder_.sealRows(predecessor_->process(), elapsed);
    log_.write(Event("ledger.predecessor")
                       .with("holder", predecessor_->process())
                       .with("silent_ms", bound ? bound->count() : -1)
                       .with("asked", predecessor_->asked())
                       .with("answered", predecessor_->answered())
                       .with("sealed", elapsed && *elapsed < settings_.holder.batchValidity)
                       .essential());
    reportGivenUp(predecessor_->process(), elapsed);
    predecessor_.reset();
}

void TokenService::reportGivenUp(const Incarnation &dead, std::optional<Interval> elapsed)
{
    std::string_view why = "end_not_dated";
    if (elapsed) {
        why = *elapsed < settings_.holder.batchValidity ? "sealed" : "silent_too_long";
    }
    std::map<WorkspaceId, uint64_t> kept;
    for (const AllotmentRow &row : seals_) {
        kept[row.workspace] = row.allotment.tokens;
    }
    for (const AllotmentRow &row : holder_.rowsOf(dead)) {
        const uint64_t owned = row.allotment.tokens;
        const auto seal = kept.find(row.workspace);
        const uint64_t tokens = seal == kept.end() ? owned : seal->second;
        log_.write(Event("tokens.given_up")
                           .with("workspace", row.workspace)
                           .with("holder", dead)
                           .with("tokens", tokens)
                           .with("given_back", owned - tokens)
                           .with("why", why)
                           .essential());
    }
}

void TokenService::onClock(const ClockAnswer &answer)
{
    peerClocks_->onAnswer(answer, std::chrono::steady_clock::now());
    if (predecessor_) {
        predecessor_->onAnswer(answer);
    }
}

void TokenService::askClocks(Instant now)
{
    // Without unused tokens in its rows, a successor has nothing to give back.
    if (!holder_.anyRowHasUnusedTokens()) {
        return;
    }
    for (const boost::asio::ip::udp::endpoint &address : peerClocks_->asks(now)) {
        peers_.askClock(address, Millis(0));
    }
}

void TokenService::onHostRow(const StoreRow &row)
{
    const HostId host = hostOf(row);
    if (row.value.empty()) {
        hosts_.erase(host.text());
        return;
    }
    try {
        const Peer peer = decodeHost(row);
        hosts_[host.text()] = peer;
        if (peer.host != settings_.host) {
            return;
        }
        if (peer.incarnation != settings_.incarnation) {
            listedBefore_ = peer;
            return;
        }
        ownRowRead_ = true;
        // The own row has been read back: whatever the predecessor wrote stands before it.
        findPredecessor();
    } catch (const std::exception &error) {
        log_.write(Event("peer.malformed").with("host", host).with("why", error.what()));
    }
}

void TokenService::publishPeers()
{
    std::vector<Peer> peers;
    for (const auto &[name, peer] : hosts_) {
        if (peer.host != settings_.host) {
            peers.push_back(peer);
        }
    }
    const auto count = static_cast<uint32_t>(peers.size() + 1);
    holder_.setHolderCount(count);
    // Every process's batches wake every reader: the reads a second of the fleet would grow
    // with the square of its size. Own batches are read back without the pause.
    follower_.setPace(std::max<Interval>(ReadPace, ReadPacePerProcess * count));
    peerClocks_->setPeers(peers);
    peers_.setPeers(std::move(peers));
    chooseHomes();
    if (onProcesses) {
        onProcesses(count);
    }
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
        // Processes that know of different hosts may choose different homes. This costs an extra
        // round of asks.
        const std::vector<HostLocation> homes = tokenHomes.homesOf(workspace);
        std::vector<Peer> others;
        for (const HostLocation &home : homes) {
            if (home.host != settings_.host) {
                others.push_back(hosts_.at(home.host.text()));
            }
        }
        const bool isHome = others.size() < homes.size();
        holder_.setHomes(workspace, static_cast<uint32_t>(homes.size()), isHome);
        peers_.setHomes(workspace, std::move(others));
    }
}

void TokenService::write()
{
    // Read before the batch is composed: what the batch says of the time may be older than what
    // the holder keeps to, never younger, also if the process sleeps in between.
    const Millis clock = sinceBoot();
    const Instant now = std::chrono::steady_clock::now();
    if (batch_) {
        if (!appending_ && !acknowledged_ && now >= appendAgainAt_) {
            append();
        }
        // A batch with claims is settled when its rows have been read back.
        const bool settled = acknowledged_ && (!batchHasTokens_ || !holder_.batchInFlight());
        if (acknowledged_ && !settled) {
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
        batch.rows.push_back(encodeBudget(row));
    }
    batchHasTokens_ = !batch.rows.empty();
    if (rows) {
        batch.rows.push_back(
                encodeBatch({settings_.incarnation, clock, peerClocks_->newestClocks(now)}));
    }
    for (const AllotmentRow &row : std::exchange(seals_, {})) {
        batch.rows.push_back(encodeBudget(row));
    }
    if (!announced_) {
        batch.rows.push_back(encodeHost({settings_.host, settings_.domain, settings_.incarnation,
                                         settings_.announcePeers, settings_.listenPeers}));
        announced_ = true;
    }
    if (stopped_ && !farewell_) {
        batch.rows.push_back(encodeFarewell(settings_.host));
        farewell_ = true;
    }
    if (batch.rows.empty()) {
        return;
    }
    ++nextSeq_;
    batch_ = std::move(batch);
    acknowledged_ = false;
    append();
}

void TokenService::append()
{
    appending_ = true;
    const Instant sentAt = std::chrono::steady_clock::now();
    store_.append(*batch_, [this, sentAt, seq = batch_->seq](const AppendAnswer &answer) {
        metrics_.observe("ledger_append_seconds", std::chrono::steady_clock::now() - sentAt);
        // A batch that was read back is done, whatever becomes of its answer: waiting for
        // one that is lost would hold up the next claim for as long as the time-out.
        if (batch_ && batch_->seq == seq) {
            onAppended(answer);
        }
    });
}

void TokenService::onAppended(const AppendAnswer &answer)
{
    appending_ = false;
    const Instant now = std::chrono::steady_clock::now();
    metrics_.count("ledger_appends_total",
                   {{"outcome", std::string(storeOutcomeName(answer.outcome))}});
    if (answer.outcome == StoreOutcome::Ok) {
        acknowledged_ = true;
        holder_.onBatchWritten();
        if (holder_.batchInFlight()) {
            follower_.hurry();
        }
        return;
    }
    log_.write(Event("ledger.append_failed")
                       .with("outcome", storeOutcomeName(answer.outcome))
                       .with("seq", batch_->seq));
    if (answer.outcome == StoreOutcome::OutOfOrder && answer.expectedSeq) {
        // The batch is in the store already, or the store counts from another number.
        if (*answer.expectedSeq == batch_->seq + 1) {
            acknowledged_ = true;
            holder_.onBatchWritten();
            return;
        }
        batch_->seq = *answer.expectedSeq;
        nextSeq_ = batch_->seq + 1;
    }
    const bool rejected = answer.outcome == StoreOutcome::Rejected;
    appendAgainAt_ = now + (rejected ? AppendAgainRejected : AppendAgain);
}

TokenRequestId TokenService::reserve(const WorkspaceId &workspace, uint64_t tokens,
                                     Instant deadline,
                                     std::function<void(std::optional<Verdict>)> handler)
{
    const Instant now = std::chrono::steady_clock::now();
    if (holder_.reserve(workspace, tokens, now)) {
        handler(std::nullopt);
        return 0;
    }
    Waiting waiting{++lastTicket_,     workspace, tokens, now, std::min(deadline, now + TokenWait),
                    std::move(handler)};
    const auto known = shortages_.find(workspace);
    const bool isKnown = known != shortages_.end() && now < known->second.until
                         && tokens >= known->second.tokens
                         && holder_.budgetState(workspace, tokens) != BudgetState::Available;
    if (isKnown) {
        // The failed reservation noted this request as waiting.
        updateShortOf(workspace);
        const auto refuse = std::move(waiting.handler);
        refuse(shortage(waiting, now));
        return 0;
    }
    const TokenRequestId ticket = waiting.ticket;
    waiting_.push_back(std::move(waiting));
    updateShortOf(workspace);
    write();
    askPeers(now);
    return ticket;
}

void TokenService::cancel(TokenRequestId ticket)
{
    const auto found =
            std::find_if(waiting_.begin(), waiting_.end(),
                         [ticket](const Waiting &waiting) { return waiting.ticket == ticket; });
    if (found == waiting_.end()) {
        return;
    }
    const WorkspaceId workspace = found->workspace;
    waiting_.erase(found);
    updateShortOf(workspace);
}

void TokenService::settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent)
{
    const Instant now = std::chrono::steady_clock::now();
    holder_.settle(workspace, reserved, spent, now);
    metrics_.count("ledger_tokens_spent_total", {}, spent);
    if (!waiting_.empty()) {
        serveWaiting(now);
    }
}

void TokenService::serveWaiting(Instant now)
{
    std::list<Waiting> served;
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        const auto next = std::next(waiting);
        if (holder_.reserve(waiting->workspace, waiting->tokens, now)) {
            served.splice(served.end(), waiting_, waiting);
        }
        waiting = next;
    }
    for (const Waiting &waiting : served) {
        updateShortOf(waiting.workspace);
        waiting.handler(std::nullopt);
    }
}

void TokenService::updateShortOf(const WorkspaceId &workspace)
{
    uint64_t tokens = 0;
    for (const Waiting &waiting : waiting_) {
        tokens += waiting.workspace == workspace ? waiting.tokens : 0;
    }
    holder_.setRequiredTokens(workspace, tokens);
}

void TokenService::expireWaiting(Instant now)
{
    std::list<Waiting> expired;
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        const auto next = std::next(waiting);
        if (now >= waiting->deadline) {
            expired.splice(expired.end(), waiting_, waiting);
        }
        waiting = next;
    }
    for (const Waiting &waiting : expired) {
        shortages_[waiting.workspace] = {waiting.tokens, now + ShortageLasts};
        updateShortOf(waiting.workspace);
        waiting.handler(shortage(waiting, now));
    }
}

Verdict TokenService::shortage(const Waiting &waiting, Instant now) const
{
    const BudgetState state = holder_.budgetState(waiting.workspace, waiting.tokens);
    const std::string detail =
            fmt::format("{} tokens wanted, {} at hand, {} given to nobody", waiting.tokens,
                        holder_.usable(waiting.workspace), holder_.unallotted(waiting.workspace));
    if (state == BudgetState::Unreachable) {
        return {Execution::NotRun, Reason::BudgetUnreachable, detail, now + ComeBackWithoutStore};
    }
    // "Spent" is said only when nobody has enough or may get it back, as far as each peer said
    // just now.
    constexpr Interval Fresh = std::chrono::milliseconds(1000);
    const std::optional<uint64_t> elsewhere = peers_.heldElsewhere(waiting.workspace, now - Fresh);
    const HeldTokens here = held(waiting.workspace);
    const bool spent =
            state == BudgetState::Exhausted && elsewhere && !here.settling
            && *elsewhere + here.usable + here.reserved + holder_.unallotted(waiting.workspace)
                       < waiting.tokens;
    if (spent) {
        return {Execution::NotRun, Reason::BudgetSpent, detail, std::nullopt};
    }
    return {Execution::NotRun, Reason::BudgetUnreachable, detail, now + ComeBackWithStore};
}

HeldTokens TokenService::held(const WorkspaceId &workspace) const
{
    const bool isSettling = !ownRowRead_ || predecessor_ || !seals_.empty();
    return {holder_.usable(workspace), holder_.reserved(workspace), isSettling};
}

uint64_t TokenService::give(const TokenRequest &ask, Instant now)
{
    const uint64_t tokens = holder_.transferOut(ask, now);
    if (tokens < ask.need) {
        write(); // claims the missing tokens before the peer asks again, if possible
    }
    return tokens;
}

void TokenService::askPeers(Instant now)
{
    for (const TokenRequest &ask : holder_.peerRequests(now)) {
        peers_.ask(ask);
    }
}

void TokenService::returnLeftovers(Instant now)
{
    for (const WorkspaceId &workspace : holder_.workspaces()) {
        if (!peers_.homeAnsweredRecently(workspace, now)) {
            continue;
        }
        if (const uint64_t tokens = holder_.releaseLeftover(workspace, now)) {
            peers_.moveToHome(workspace, tokens, now);
        }
    }
}

void TokenService::stop(Instant deadline, std::function<void()> done)
{
    stopDeadline_ = deadline;
    stopped_ = std::move(done);
    holder_.returnAll();
}

void TokenService::finishStop(Instant now)
{
    if (!stopped_) {
        return;
    }
    // What requests that ended meanwhile gave back goes with the next batch.
    holder_.returnAll();
    const bool written = farewell_ && !batch_;
    if (!written && now < stopDeadline_) {
        return;
    }
    const auto done = std::exchange(stopped_, nullptr);
    report();
    timer_.cancel();
    follower_.stop();
    done();
}

} // namespace sequoiagate
