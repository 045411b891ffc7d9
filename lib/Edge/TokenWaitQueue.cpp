#include "TokenWaitQueue.h"

#include <algorithm>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

/// The longest that a request waits for tokens: enough for a claim (about 15 ms) and, if the store
/// has no tokens left, for several rounds of token requests to peers.
constexpr Interval MaxTokenWait = std::chrono::milliseconds(200);

/// Where only peers can have tokens and a request recently waited for them without success, the
/// next ones wait for this part of their latency target: most waits end in a refusal then, and use
/// up the time in which the caller's retry would be on time.
constexpr int LatencyTargetPerPeerWait = 8;
/// The least of these waits: requests to the near home and to all homes.
constexpr Interval MinPeerWait = std::chrono::milliseconds(40);
/// How long an unsuccessful wait counts, beyond the time in which the same is refused at once.
constexpr Interval UnsuccessfulWaitMemory = std::chrono::seconds(2);

/// For this long after a request found too few tokens, requests for as many are refused at once.
constexpr Interval ShortfallDuration = std::chrono::milliseconds(300);

/// The same for less urgent ranks during an outage, while tokens are kept for the more urgent ones:
/// the host would ask peers that have nothing.
constexpr Interval LessUrgentShortfallDuration = std::chrono::milliseconds(1000);

/// Rounds of requests to peers that a request waits for: to the near home and to all homes.
constexpr Interval SearchTime = std::chrono::milliseconds(100);

/// Retry delay told to callers while the store is unreachable; it isn't known when it returns.
constexpr Interval RetryDelayWithoutStore = std::chrono::milliseconds(1000);

/// Retry delay told to callers while the store still has tokens or open requests may return some.
constexpr Interval RetryDelayWithStore = std::chrono::milliseconds(400);

/// A retry after this multiple of the mean wait for a claim finds its tokens.
constexpr double ClaimTimesPerRetryDelay = 2;

/// Least retry delay while the store is reachable: an append and the read that confirms it.
constexpr Interval MinRetryDelayWithStore = std::chrono::milliseconds(50);

/// Interval between lines about tokens kept from peers' requests, per workspace: a fleet refused
/// 600 requests per second in an outage, and each asks up to three homes.
constexpr Interval WithheldLogInterval = std::chrono::milliseconds(500);

Millis millis(Interval interval)
{
    return std::chrono::duration_cast<Millis>(interval);
}

TokenDemand demandOf(const ReservationRequest &request)
{
    return {request.priority, request.tokens, request.latencyTarget, request.deadline};
}

} // namespace

TokenWaitQueue::TokenWaitQueue(TokenHolder &holder, TokenAllocationPolicy policy, EventLog &log,
                               Metrics &metrics, Hooks hooks)
    : holder_(holder), policy_(policy), log_(log), metrics_(metrics), hooks_(std::move(hooks))
{}

TokenSupply TokenWaitQueue::supplyOf(const WorkspaceId &workspace) const
{
    TokenSupply supply;
    supply.usable = holder_.usable(workspace);
    supply.unreachableSince = unreachableSince_;
    supply.horizon = horizon_;
    return supply;
}

bool TokenWaitQueue::tryReserve(Account &account, const ReservationRequest &request,
                                ReservationTicket ticket, Instant now)
{
    if (!allocatesByRank()) {
        const bool reserved = holder_.reserve(request.workspace, request.tokens, now);
        if (reserved && isByRank()) {
            account.allocation.recordGrant(request.priority, request.tokens);
        }
        return reserved;
    }
    TokenSupply supply = supplyOf(request.workspace);
    const bool isFound = account.search && account.search->ticket == ticket
                         && account.search->received >= account.search->need;
    supply.isGrantedByPeer = isFound || holder_.reliesOnHomes(request.workspace, now);
    if (!account.allocation.mayGrant(request.priority, supply, now)
        || !holder_.reserve(request.workspace, request.tokens, now)) {
        return false;
    }
    account.allocation.recordGrant(request.priority, request.tokens);
    return true;
}

bool TokenWaitQueue::isKnownShort(const Account &account, const ReservationRequest &request,
                                  Instant now) const
{
    const uint32_t rank = isByRank() ? request.priority : 0;
    const auto lessUrgent = account.shortfalls.upper_bound(rank);
    return std::any_of(account.shortfalls.begin(), lessUrgent, [&request, now](const auto &entry) {
        return now < entry.second.until && request.tokens >= entry.second.tokens;
    });
}

bool TokenWaitQueue::hasUnsuccessfulWait(const Account &account, Instant now)
{
    return std::any_of(
            account.shortfalls.begin(), account.shortfalls.end(),
            [now](const auto &entry) { return now < entry.second.until + UnsuccessfulWaitMemory; });
}

void TokenWaitQueue::recordShortfall(Account &account, const ReservationRequest &request,
                                     Instant now)
{
    const bool lasts = allocatesByRank() && !isMostUrgent(request);
    account.shortfalls[isByRank() ? request.priority : 0] = {
            request.tokens, now + (lasts ? LessUrgentShortfallDuration : ShortfallDuration)};
}

bool TokenWaitQueue::isMostUrgent(const ReservationRequest &request) const
{
    // A host sees few requests of one workspace, so those of all workspaces count.
    return request.priority <= mostUrgentRank_;
}

std::optional<Instant> TokenWaitQueue::waitDeadline(Account &account,
                                                    const ReservationRequest &request, Instant now)
{
    const bool isShort = isKnownShort(account, request, now);
    if (!allocatesByRank()) {
        const BudgetState state = holder_.budgetState(request.workspace, request.tokens);
        if (isShort && state != BudgetState::Available) {
            return std::nullopt;
        }
        const Interval wait =
                isByRank() && state == BudgetState::Exhausted && hasUnsuccessfulWait(account, now)
                        ? std::clamp(request.latencyTarget / LatencyTargetPerPeerWait, MinPeerWait,
                                     MaxTokenWait)
                        : MaxTokenWait;
        return std::min(request.deadline, now + wait);
    }
    TokenSupply supply = supplyOf(request.workspace);
    if (!isShort && peerCount_ > 0) {
        supply.arrivesBy = now + SearchTime;
    }
    const TokenDecision decision = account.allocation.decide(demandOf(request), supply, now);
    switch (decision.kind) {
    case TokenDecision::Kind::Refuse:
        return std::nullopt;
    case TokenDecision::Kind::Grant:
        // There are enough tokens, but this host's row in the store limits their use per second.
        return std::min(request.deadline, now + MaxTokenWait);
    case TokenDecision::Kind::Wait:
        break;
    }
    return std::min(decision.at, now + MaxTokenWait);
}

ReservationTicket TokenWaitQueue::reserve(const ReservationRequest &request, Handler handler,
                                          Instant now)
{
    Account &account = accounts_[request.workspace];
    if (isByRank()) {
        mostUrgentRank_ = std::min(mostUrgentRank_, request.priority);
        account.allocation.recordRequest(request.priority, request.tokens,
                                         supplyOf(request.workspace), now);
    }
    if (tryReserve(account, request, 0, now)) {
        handler(std::nullopt);
        return 0;
    }
    const std::optional<Instant> deadline = waitDeadline(account, request, now);
    if (!deadline) {
        const char *const cause =
                isKnownShort(account, request, now) ? "known_shortfall" : "no_peers";
        std::list<WaitingRequest> refused;
        refused.push_back({0, request, now, now, std::move(handler)});
        refuse(std::move(refused), cause, now);
        return 0;
    }
    const ReservationTicket ticket = ++lastTicket_;
    insert({ticket, request, now, *deadline, std::move(handler)});
    updateRequiredTokens(request.workspace);
    hooks_.obtainTokens(now);
    continueSearch(request.workspace, now);
    return ticket;
}

void TokenWaitQueue::insert(WaitingRequest waiting)
{
    auto next = waitingRequests_.end();
    if (isByRank()) {
        next = std::find_if(waitingRequests_.begin(), waitingRequests_.end(),
                            [&waiting](const WaitingRequest &other) {
                                return other.request.priority > waiting.request.priority;
                            });
    }
    waitingRequests_.insert(next, std::move(waiting));
}

void TokenWaitQueue::cancel(ReservationTicket ticket, Instant now)
{
    const auto found = std::find_if(
            waitingRequests_.begin(), waitingRequests_.end(),
            [ticket](const WaitingRequest &waiting) { return waiting.ticket == ticket; });
    if (found == waitingRequests_.end()) {
        return;
    }
    const WorkspaceId workspace = found->request.workspace;
    waitingRequests_.erase(found);
    updateRequiredTokens(workspace);
    continueSearch(workspace, now);
}

void TokenWaitQueue::serve(Instant now)
{
    std::list<WaitingRequest> served;
    for (auto waiting = waitingRequests_.begin(); waiting != waitingRequests_.end();) {
        const auto next = std::next(waiting);
        Account &account = accounts_[waiting->request.workspace];
        if (tryReserve(account, waiting->request, waiting->ticket, now)) {
            served.splice(served.end(), waitingRequests_, waiting);
        }
        waiting = next;
    }
    for (const WaitingRequest &waiting : served) {
        if (!unreachableSince_) {
            claimSeconds_.add(secondsOf(now - waiting.since));
        }
        if (isByRank()) {
            metrics_.observe("token_wait_seconds", now - waiting.since, {{"outcome", "granted"}});
        }
        updateRequiredTokens(waiting.request.workspace);
        waiting.handler(std::nullopt);
    }
    for (const WaitingRequest &waiting : served) {
        continueSearch(waiting.request.workspace, now);
    }
}

void TokenWaitQueue::tick(Instant now)
{
    serve(now);
    if (allocatesByRank()) {
        std::unordered_set<WorkspaceId> workspaces;
        for (const WaitingRequest &waiting : waitingRequests_) {
            workspaces.insert(waiting.request.workspace);
        }
        for (const WorkspaceId &workspace : workspaces) {
            continueSearch(workspace, now);
        }
    }
    expire(now);
}

void TokenWaitQueue::expire(Instant now)
{
    std::list<WaitingRequest> expired;
    for (auto waiting = waitingRequests_.begin(); waiting != waitingRequests_.end();) {
        const auto next = std::next(waiting);
        if (now >= waiting->deadline) {
            expired.splice(expired.end(), waitingRequests_, waiting);
        }
        waiting = next;
    }
    for (const WaitingRequest &waiting : expired) {
        recordShortfall(accounts_[waiting.request.workspace], waiting.request, now);
    }
    refuse(std::move(expired), "wait_timeout", now);
}

void TokenWaitQueue::refuse(std::list<WaitingRequest> refused, std::string_view cause, Instant now)
{
    for (const WaitingRequest &waiting : refused) {
        updateRequiredTokens(waiting.request.workspace);
        Verdict verdict = shortfallVerdict(waiting.request, now);
        if (isByRank()) {
            logRefusal(waiting, verdict, cause, now);
        }
        waiting.handler(std::move(verdict));
    }
}

void TokenWaitQueue::forgetShortfalls()
{
    for (auto &[workspace, account] : accounts_) {
        account.shortfalls.clear();
    }
}

void TokenWaitQueue::setHomeCount(const WorkspaceId &workspace, std::size_t count)
{
    accounts_[workspace].homes = count;
}

void TokenWaitQueue::continueSearch(const WorkspaceId &workspace, Instant now)
{
    if (!isByRank()) {
        return;
    }
    Account &account = accounts_[workspace];
    std::list<WaitingRequest> refused;
    while (true) {
        const auto searching =
                std::find_if(waitingRequests_.begin(), waitingRequests_.end(),
                             [&account](const WaitingRequest &waiting) {
                                 return account.search && waiting.ticket == account.search->ticket;
                             });
        if (!allocatesByRank() || searching == waitingRequests_.end()) {
            account.search.reset();
        }
        if (!account.search) {
            startSearch(workspace, account, now);
        }
        if (!account.search) {
            break;
        }
        if (const auto round = account.search->rounds.nextRound(now)) {
            sendRound(workspace, account, *round, now);
            break;
        }
        if (!account.search->rounds.isOver(now)) {
            break;
        }
        // Nothing refers to the search's request any more, so the next iteration starts another.
        const ReservationTicket failed = std::exchange(account.search, std::nullopt)->ticket;
        for (auto waiting = waitingRequests_.begin(); waiting != waitingRequests_.end();) {
            const auto next = std::next(waiting);
            const bool isSame = waiting->request.workspace == workspace;
            if (waiting->ticket == failed) {
                recordShortfall(account, waiting->request, now);
            }
            if (isSame && isKnownShort(account, waiting->request, now)) {
                refused.splice(refused.end(), waitingRequests_, waiting);
            }
            waiting = next;
        }
    }
    refuse(std::move(refused), "peers_lack_tokens", now);
}

void TokenWaitQueue::startSearch(const WorkspaceId &workspace, Account &account, Instant now)
{
    if (!allocatesByRank()) {
        return;
    }
    const auto first = std::find_if(waitingRequests_.begin(), waitingRequests_.end(),
                                    [&workspace](const WaitingRequest &waiting) {
                                        return waiting.request.workspace == workspace;
                                    });
    if (first == waitingRequests_.end()) {
        return;
    }
    const ReservationRequest &request = first->request;
    TokenSupply supply = supplyOf(workspace);
    supply.isGrantedByPeer = holder_.reliesOnHomes(workspace, now);
    const bool usesOwn = account.allocation.mayGrant(request.priority, supply, now);
    const uint64_t own = usesOwn && supply.usable < request.tokens ? supply.usable : 0;
    Search search{TokenSearch(account.homes, peerCount_, isMostUrgent(request)), first->ticket};
    search.priority = request.priority;
    search.tokens = request.tokens;
    search.need = request.tokens - own;
    search.isMostUrgent = isMostUrgent(request);
    account.search = std::move(search);
}

void TokenWaitQueue::sendRound(const WorkspaceId &workspace, Account &account,
                               TokenSearch::Round round, Instant now)
{
    const Search &search = *account.search;
    TokenRequest request;
    request.workspace = workspace;
    request.usable = holder_.usable(workspace);
    // Tokens that were here when the search started may have been used since.
    request.need = std::max(search.need - std::min(search.need, search.received),
                            search.tokens - std::min(search.tokens, request.usable));
    request.demandPerSecond = account.allocation.tokensPerSecond(now);
    request.round = round;
    request.priority = search.priority;
    metrics_.count("token_search_rounds_total", {{"round", std::to_string(round)}});
    hooks_.requestTokens(request);
}

void TokenWaitQueue::onTokensReceived(const WorkspaceId &workspace, uint64_t tokens, Instant now)
{
    Account &account = accounts_[workspace];
    if (account.search) {
        account.search->received += tokens;
    }
    serve(now);
}

void TokenWaitQueue::onTokenResponse(const TokenResponse &response, Instant now)
{
    const auto found = accounts_.find(response.workspace);
    if (found == accounts_.end() || !found->second.search) {
        return;
    }
    Search &search = *found->second.search;
    // A peer's row in the store may limit the use of its tokens per second. Its usable tokens don't
    // tell that from tokens kept for more urgent ranks.
    const bool isLimited =
            search.isMostUrgent && response.tokens == 0 && response.usable >= search.need;
    search.rounds.onResponse(response.from, response.mayClaim || isLimited);
    continueSearch(response.workspace, now);
}

bool TokenWaitQueue::prepareRequest(TokenRequest &request) const
{
    if (!isByRank() || request.need == 0) {
        return true;
    }
    const auto first = std::find_if(waitingRequests_.begin(), waitingRequests_.end(),
                                    [&request](const WaitingRequest &waiting) {
                                        return waiting.request.workspace == request.workspace;
                                    });
    if (first != waitingRequests_.end()) {
        request.priority = first->request.priority;
    }
    return !unreachableSince_;
}

bool TokenWaitQueue::mayTransfer(const TokenRequest &request, Instant now)
{
    // Peers can name workspaces that aren't configured here.
    const uint64_t prepaid = holder_.prepaid(request.workspace);
    if (!isByRank() || !request.priority || request.need == 0 || prepaid == 0) {
        return true;
    }
    Account &account = accounts_[request.workspace];
    const TokenSupply supply = supplyOf(request.workspace);
    if (request.round == TokenSearch::NearHome) {
        // One faulty message must not make a rank's expected demand exceed the whole budget.
        account.allocation.recordRequest(*request.priority, std::min(request.need, prepaid), supply,
                                         now);
    }
    const bool may = account.allocation.mayGrant(*request.priority, supply, now);
    metrics_.count("token_transfer_decisions_total", {{"decision", may ? "allowed" : "withheld"}});
    if (!may) {
        logWithheld(account, request, now);
    }
    return may;
}

void TokenWaitQueue::onTransferred(const TokenRequest &request, uint64_t tokens)
{
    const auto found = accounts_.find(request.workspace);
    if (isByRank() && request.priority && found != accounts_.end()
        && request.round == TokenSearch::NearHome && request.need > 0 && tokens >= request.need) {
        found->second.allocation.recordGrant(*request.priority, tokens);
    }
}

void TokenWaitQueue::updateRequiredTokens(const WorkspaceId &workspace)
{
    uint64_t tokens = 0;
    for (const WaitingRequest &waiting : waitingRequests_) {
        tokens += waiting.request.workspace == workspace ? waiting.request.tokens : 0;
    }
    holder_.setRequiredTokens(workspace, tokens);
}

Instant TokenWaitQueue::retryTime(const ReservationRequest &request, BudgetState state, Instant now)
{
    const Interval delay =
            state == BudgetState::Unreachable ? RetryDelayWithoutStore : RetryDelayWithStore;
    if (!isByRank()) {
        return now + delay;
    }
    Instant earliest = now + delay;
    if (state == BudgetState::Available && claimSeconds_.samples() > 0) {
        const Interval claim = intervalOf(ClaimTimesPerRetryDelay * claimSeconds_.mean());
        earliest = now + std::clamp(claim, MinRetryDelayWithStore, RetryDelayWithStore);
    }
    return accounts_[request.workspace].allocation.retryTime(
            demandOf(request), supplyOf(request.workspace), earliest, now);
}

Verdict TokenWaitQueue::shortfallVerdict(const ReservationRequest &request, Instant now)
{
    const WorkspaceId &workspace = request.workspace;
    const BudgetState state = holder_.budgetState(workspace, request.tokens);
    const std::string detail =
            fmt::format("{} tokens wanted, {} at hand, {} given to nobody", request.tokens,
                        holder_.usable(workspace), holder_.unallotted(workspace));
    const Instant retryAt = retryTime(request, state, now);
    if (state == BudgetState::Unreachable || allocatesByRank()) {
        return {Execution::NotRun, Reason::BudgetUnreachable, detail, retryAt};
    }
    // The budget counts as spent only if, by recent reports of all peers, the tokens that are held
    // or may be returned don't suffice.
    constexpr Interval MaxReportAge = std::chrono::milliseconds(1000);
    const std::optional<uint64_t> elsewhere = hooks_.heldByPeers(workspace, now - MaxReportAge);
    const bool spent = state == BudgetState::Exhausted && elsewhere && !hooks_.predecessorPending()
                       && *elsewhere + holder_.usable(workspace) + holder_.reserved(workspace)
                                          + holder_.unallotted(workspace)
                                  < request.tokens;
    if (spent) {
        return {Execution::NotRun, Reason::BudgetSpent, detail, std::nullopt};
    }
    return {Execution::NotRun, Reason::BudgetUnreachable, detail, retryAt};
}

void TokenWaitQueue::logWithheld(Account &account, const TokenRequest &request, Instant now)
{
    ++account.withheld;
    if (now < account.nextWithheldLogAt) {
        return;
    }
    account.nextWithheldLogAt = now + WithheldLogInterval;
    const TokenSupply supply = supplyOf(request.workspace);
    log_.write(Event("tokens.withheld")
                       .with("workspace", request.workspace)
                       .with("priority", *request.priority)
                       .with("tokens", request.need)
                       .with("usable", supply.usable)
                       .with("kept", account.allocation.expectedOfMoreUrgent(*request.priority,
                                                                             supply, now))
                       .with("store_lost_ms", millis(now - *unreachableSince_).count())
                       .with("requests", std::exchange(account.withheld, 0)));
}

void TokenWaitQueue::logRefusal(const WaitingRequest &waiting, const Verdict &verdict,
                                std::string_view cause, Instant now)
{
    const ReservationRequest &request = waiting.request;
    const Account &account = accounts_[request.workspace];
    const TokenSupply supply = supplyOf(request.workspace);
    const uint64_t kept = account.allocation.expectedOfMoreUrgent(request.priority, supply, now);
    log_.write(Event("tokens.refused")
                       .with("workspace", request.workspace)
                       .with("route", request.route)
                       .with("priority", request.priority)
                       .with("tokens", request.tokens)
                       .with("usable", supply.usable)
                       .with("kept", kept)
                       .with("why", cause)
                       .with("store_lost_ms",
                             unreachableSince_ ? millis(now - *unreachableSince_).count() : -1)
                       .with("waited_ms", millis(now - waiting.since).count())
                       .with("come_back_ms",
                             verdict.retryAt ? millis(*verdict.retryAt - now).count() : -1));
    metrics_.count("token_refusals_total", {{"cause", std::string(cause)}});
    metrics_.observe("token_wait_seconds", now - waiting.since, {{"outcome", "refused"}});
}

} // namespace sequoiagate
