#include "sequoiagate/Ledger/TokenHolder.h"

#include <algorithm>

namespace sequoiagate {

namespace {

/// Divisor of the minimum transfer to a holder whose tokens only run low, relative to the sender's
/// tokens: otherwise the fleet would transfer a few tokens with each request.
constexpr uint64_t MinTransferDivisor = 8;

/// Number of peers that receive a request at once: each may supply a part of the tokens.
constexpr uint64_t PeersPerRequest = 8;

uint64_t scaled(uint64_t tokens, double factor)
{
    return static_cast<uint64_t>(static_cast<double>(tokens) * factor);
}

} // namespace

TokenHolder::TokenHolder(Incarnation self, TokenHolderSettings settings)
    : self_(std::move(self)), settings_(settings)
{}

TokenHolder::Account *TokenHolder::find(const WorkspaceId &workspace)
{
    const auto found = accounts_.find(workspace);
    return found == accounts_.end() ? nullptr : &found->second;
}

const TokenHolder::Account *TokenHolder::find(const WorkspaceId &workspace) const
{
    const auto found = accounts_.find(workspace);
    return found == accounts_.end() ? nullptr : &found->second;
}

void TokenHolder::setBudgets(const std::vector<WorkspaceBudget> &budgets, Instant)
{
    for (const WorkspaceBudget &budget : budgets) {
        Account &account = accounts_.try_emplace(budget.workspace, settings_).first->second;
        if (budget.prepaid < account.prepaid) {
            account.budgetLowered = true;
            returnTokens(account, account.usable);
        }
        account.prepaid = budget.prepaid;
    }
}

void TokenHolder::setHomes(const WorkspaceId &workspace, uint32_t homes, bool isHome)
{
    if (Account *account = find(workspace)) {
        if (isHome && !account->isHome) {
            account->reserve.forgetObservation();
        }
        account->homes = homes;
        account->isHome = isHome;
    }
}

void TokenHolder::setHorizon(Interval horizon)
{
    settings_.horizon = horizon;
    for (auto &[workspace, account] : accounts_) {
        account.reserve.setHorizon(horizon);
    }
}

void TokenHolder::setReservePolicy(ReservePolicy policy)
{
    settings_.policy = policy;
    for (auto &[workspace, account] : accounts_) {
        account.reserve.setPolicy(policy);
    }
}

ReserveContext TokenHolder::contextOf(const WorkspaceId &workspace, const Account &account) const
{
    return {account.prepaid,
            table_.used(workspace),
            used(account),
            account.written.maxUsed,
            account.typicalReservation,
            holderCount_,
            account.homes,
            account.isHome};
}

bool TokenHolder::reliesOnHomes(const WorkspaceId &workspace, const Account &account,
                                Instant now) const
{
    return account.reserve.reliesOnHomes(contextOf(workspace, account), now);
}

bool TokenHolder::reliesOnHomes(const WorkspaceId &workspace, Instant now) const
{
    const Account *account = find(workspace);
    return account != nullptr && reliesOnHomes(workspace, *account, now);
}

bool TokenHolder::reserve(const WorkspaceId &workspace, uint64_t tokens, Instant now)
{
    Account *account = find(workspace);
    if (account == nullptr) {
        return true;
    }
    account->typicalReservation = account->typicalReservation == 0
                                          ? tokens
                                          : (7 * account->typicalReservation + tokens) / 8;
    if (usableNow(*account, now) < tokens) {
        account->requiredTokens = std::max(account->requiredTokens, tokens);
        return false;
    }
    account->usable -= tokens;
    account->reserved += tokens;
    account->reserve.addDemand(tokens, now);
    return true;
}

uint64_t TokenHolder::used(const Account &account)
{
    return account.owned - std::min(account.owned, account.usable);
}

uint64_t TokenHolder::rowLimit(const Allotment &row, Instant composedAt, Instant now) const
{
    // A batch that is too old proves nothing about the holder to whoever reads it, and limits
    // nothing.
    const Interval age = std::max(now - composedAt, Interval::zero());
    return age < settings_.batchValidity ? row.maxUsedAfter(age) : UINT64_MAX;
}

uint64_t TokenHolder::usableNow(const Account &account, Instant now) const
{
    // If this process terminates, either batch may be the one that is found.
    uint64_t limit = rowLimit(account.written, lastBatchComposedAt_, now);
    if (inFlight_) {
        limit = std::min(limit, rowLimit(account.inFlight, inFlight_->composedAt, now));
    }
    if (limit == UINT64_MAX) {
        return account.usable;
    }
    const uint64_t usedSoFar = used(account);
    // Usable tokens beyond the owned ones were received from peers. The store counts them as the
    // sender's, so this holder's row doesn't limit them.
    const uint64_t beyond = account.usable - std::min(account.usable, account.owned);
    const uint64_t left = limit - std::min(limit, usedSoFar) + beyond;
    return std::min(account.usable, left);
}

uint64_t TokenHolder::unusedTokens(const WorkspaceId &workspace, const Account &account) const
{
    return account.prepaid - std::min(account.prepaid, table_.used(workspace));
}

void TokenHolder::onRow(const AllotmentRow &row, uint64_t offset, Instant now)
{
    const uint64_t before = table_.used(row.workspace);
    table_.set(row, offset);
    const uint64_t after = table_.used(row.workspace);
    Account *account = find(row.workspace);
    // Rows read at the start report past use: counted as current use, they would make each budget
    // seem scarce to a process that has just started.
    if (account == nullptr || !caughtUp_) {
        return;
    }
    account->reserve.onFleetUse(before, after, row.holder == self_, now);
}

bool TokenHolder::isScarce(const WorkspaceId &workspace, const Account &account, Instant now) const
{
    const auto horizonUse = static_cast<double>(account.reserve.fleetUse(settings_.horizon, now));
    const auto left = static_cast<double>(unusedTokens(workspace, account));
    // A budget of which most remains isn't scarce, however fast its use has started.
    const double maxTokens = settings_.scarceBudgetShare * static_cast<double>(account.prepaid);
    return left < maxTokens && left < horizonUse * settings_.scarceHorizons;
}

uint64_t TokenHolder::usageWindow(const WorkspaceId &workspace, const Account &account,
                                  Instant now) const
{
    const uint64_t forPeers = tokensRequestedByPeers(account, now);
    if (isScarce(workspace, account, now)) {
        return account.requiredTokens + forPeers;
    }
    const uint64_t byDemand = account.reserve.demand(settings_.window, now);
    // The next request of a workspace that is in use here needn't wait for a row, unless it is
    // larger than usual. Before the first request the size is unknown.
    uint64_t next = 0;
    if (account.typicalReservation == 0) {
        const uint64_t initial = account.reserve.initialTokens(contextOf(workspace, account));
        next = scaled(std::min(targetTokens(workspace, account, now), initial),
                      settings_.initialWindowShare);
    } else if (inUse(workspace, account, now)) {
        next = account.typicalReservation + account.typicalReservation / 2;
    }
    return std::max({byDemand, next, account.requiredTokens}) + forPeers;
}

uint64_t TokenHolder::tokensRequestedByPeers(const Account &account, Instant now)
{
    uint64_t tokens = 0;
    for (const UnmetPeerRequest &request : account.unmetPeerRequests) {
        tokens += now < request.until ? request.tokens : 0;
    }
    return tokens;
}

void TokenHolder::recordPeerRequest(Account &account, uint64_t tokens, bool isRepeat,
                                    Instant now) const
{
    std::vector<UnmetPeerRequest> &requests = account.unmetPeerRequests;
    requests.erase(
            std::remove_if(requests.begin(), requests.end(),
                           [now](const UnmetPeerRequest &request) { return now >= request.until; }),
            requests.end());
    // A repeated request is for tokens that are already counted; a first one adds to those that
    // other peers requested.
    const uint64_t counted = isRepeat ? tokensRequestedByPeers(account, now) : 0;
    if (tokens > counted) {
        requests.push_back({tokens - counted, now + settings_.openRequestRetention});
    }
}

void TokenHolder::recordTransfer(Account &account, uint64_t tokens)
{
    // An older request is more likely to have been served by another holder.
    std::vector<UnmetPeerRequest> &requests = account.unmetPeerRequests;
    while (tokens > 0 && !requests.empty()) {
        const uint64_t served = std::min(tokens, requests.back().tokens);
        tokens -= served;
        requests.back().tokens -= served;
        if (requests.back().tokens == 0) {
            requests.pop_back();
        }
    }
}

bool TokenHolder::anyRowHasUnusedTokens() const
{
    return std::any_of(accounts_.begin(), accounts_.end(), [](const auto &entry) {
        const Allotment &written = entry.second.written;
        return written.maxUsed < written.tokens;
    });
}

bool TokenHolder::inUse(const WorkspaceId &workspace, const Account &account, Instant now) const
{
    return account.reserve.inUse(contextOf(workspace, account), now);
}

uint64_t TokenHolder::allowedUsePerSecond(const WorkspaceId &workspace, const Account &account,
                                          Instant now) const
{
    const uint64_t demand = account.reserve.demand(std::chrono::seconds(1), now);
    const bool scarce = isScarce(workspace, account, now);
    return scaled(demand, scarce ? settings_.scarcePaceFactor : settings_.paceFactor);
}

bool TokenHolder::needsRewrite(const WorkspaceId &workspace, const Account &account,
                               Instant now) const
{
    const Allotment &written = account.written;
    const uint64_t usedSoFar = used(account);
    // While the store was unreachable, more was used than the last row states. A batch that didn't
    // correct that would confirm a wrong row.
    if (usedSoFar > written.maxUsed) {
        return true;
    }
    const uint64_t window = usageWindow(workspace, account, now);
    const uint64_t left = written.maxUsed - usedSoFar;
    const bool lacksTokens = usableNow(account, now) < account.requiredTokens;
    const bool canAllowMore = written.maxUsed < account.owned;
    const bool low = left < scaled(window, settings_.rewriteBelow);
    const uint64_t usual = std::max(window, account.typicalReservation);
    const uint64_t pace = allowedUsePerSecond(workspace, account, now);
    // Much more than is needed: it would be lost if the process were killed now.
    const bool high = left > 3 * usual;
    const bool fast = written.usePerSecond > 2 * pace + usual;
    const bool slow = 2 * written.usePerSecond + usual < pace;
    return high || (canAllowMore && (fast || slow || low || lacksTokens));
}

void TokenHolder::settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent,
                         Instant now)
{
    Account *account = find(workspace);
    if (account == nullptr) {
        return;
    }
    account->reserved -= reserved;
    account->spent += spent;
    account->usable += reserved - spent;
    account->leftoverReturnAt = now + settings_.leftoverRetention;
    account->reserve.removeDemand(reserved - spent, now);
    if (account->budgetLowered) {
        returnTokens(*account, reserved - spent);
    }
}

void TokenHolder::setRequiredTokens(const WorkspaceId &workspace, uint64_t tokens)
{
    if (Account *account = find(workspace)) {
        account->requiredTokens = tokens;
        account->requestRounds = tokens == 0 ? 0 : account->requestRounds;
    }
}

void TokenHolder::clearRequiredTokens(const WorkspaceId &workspace)
{
    setRequiredTokens(workspace, 0);
}

uint64_t TokenHolder::targetTokens(const WorkspaceId &workspace, const Account &account,
                                   Instant now) const
{
    return account.reserve.target(contextOf(workspace, account), now);
}

uint64_t TokenHolder::unallotted(const WorkspaceId &workspace) const
{
    const Account *account = find(workspace);
    if (account == nullptr) {
        return 0;
    }
    const uint64_t allotted = table_.allotted(workspace);
    return allotted >= account->prepaid ? 0 : account->prepaid - allotted;
}

uint64_t TokenHolder::claimSize(const WorkspaceId &workspace, const Account &account,
                                bool writesRow, Instant now) const
{
    const uint64_t requested =
            account.requiredTokens + (account.isHome ? tokensRequestedByPeers(account, now) : 0);
    const uint64_t wanted = std::max(targetTokens(workspace, account, now), requested);
    const bool lacksTokens = account.usable < requested;
    // The first request goes to a home, which responds before a claim would be confirmed.
    if (lacksTokens && account.requestRounds < 2 && reliesOnHomes(workspace, account, now)) {
        return 0;
    }
    const ReserveContext context = contextOf(workspace, account);
    if (!lacksTokens && !account.reserve.needsRefill(context, account.usable, wanted, writesRow)) {
        return 0;
    }
    const uint64_t left = unallotted(workspace);
    const uint32_t holders = OutageReserve::maxHolders(context);
    const uint64_t fair = scaled(left, std::min(1.0, settings_.maxClaimFactor / holders));
    const uint64_t need = lacksTokens ? requested - account.usable : 0;
    const uint64_t maxTokens = std::min(left, std::max(fair, need));
    return std::min(maxTokens, wanted - std::min(wanted, account.usable));
}

void TokenHolder::returnTokens(Account &account, uint64_t tokens)
{
    // In the store, transferred tokens count as their sender's: a holder can't return more than the
    // store counts as its own.
    const uint64_t returned = std::min({tokens, account.usable, account.owned});
    if (returned == 0) {
        return;
    }
    account.usable -= returned;
    account.owned -= returned;
    account.needsCorrection = true;
}

std::optional<std::vector<AllotmentRow>> TokenHolder::nextBatch(Instant now)
{
    if (!storeReachable_ || inFlight_) {
        return std::nullopt;
    }
    Batch batch;
    batch.composedAt = now;
    std::vector<AllotmentRow> rows;
    for (auto &[workspace, account] : accounts_) {
        account.budgetLowered =
                account.budgetLowered && table_.allotted(workspace) > account.prepaid;
        account.reserve.observe(now);
        const bool isWaiting = account.requiredTokens > 0
                               || (account.isHome && tokensRequestedByPeers(account, now) > 0);
        if (!stopping_ && !isWaiting) {
            const bool writesRow = account.needsCorrection || needsRewrite(workspace, account, now);
            returnTokens(account, account.reserve.excess(contextOf(workspace, account),
                                                         account.usable, writesRow, now));
        }
        const bool writesRow = account.needsCorrection || needsRewrite(workspace, account, now);
        const uint64_t claim = stopping_ ? 0 : claimSize(workspace, account, writesRow, now);
        account.inFlight = account.written;
        if (claim == 0 && !writesRow) {
            continue;
        }
        account.needsCorrection = false;
        const uint64_t total = account.owned + claim;
        const uint64_t usedAtMost = used(account) + usageWindow(workspace, account, now);
        account.inFlight = {total, std::min(total, usedAtMost),
                            allowedUsePerSecond(workspace, account, now)};
        const AllotmentRow row{workspace, self_, account.inFlight};
        batch.rows.push_back({row, claim});
        rows.push_back(row);
    }
    const bool heartbeatDue =
            now >= lastBatchComposedAt_ + settings_.heartbeat && anyRowHasUnusedTokens();
    if (rows.empty() && !heartbeatDue) {
        return std::nullopt;
    }
    inFlight_ = std::move(batch);
    return rows;
}

void TokenHolder::onBatchWritten()
{
    if (inFlight_ && inFlight_->rows.empty()) {
        completeBatch();
    }
}

bool TokenHolder::onReadUpTo(uint64_t next)
{
    caughtUp_ = true;
    if (!inFlight_ || inFlight_->rows.empty()) {
        return false;
    }
    uint64_t last = 0;
    for (const RowInFlight &rowInFlight : inFlight_->rows) {
        const std::optional<StoredAllotment> written =
                table_.find(rowInFlight.row.workspace, self_);
        const bool found = written && written->allotment == rowInFlight.row.allotment
                           && written->offset >= evaluatedThrough_ && written->offset < next;
        if (!found) {
            return false;
        }
        last = std::max(last, written->offset);
    }
    evaluatedThrough_ = last + 1;
    completeBatch();
    return true;
}

void TokenHolder::completeBatch()
{
    const Batch batch = std::move(*inFlight_);
    inFlight_.reset();
    lastBatchComposedAt_ = batch.composedAt;
    for (const RowInFlight &row : batch.rows) {
        evaluateClaim(row);
    }
}

void TokenHolder::evaluateClaim(const RowInFlight &rowInFlight)
{
    Account *account = find(rowInFlight.row.workspace);
    const uint64_t allotted = table_.allotted(rowInFlight.row.workspace);
    const uint64_t excess = allotted > account->prepaid ? allotted - account->prepaid : 0;
    const uint64_t granted = rowInFlight.claim - std::min(rowInFlight.claim, excess);
    account->owned += granted;
    account->usable += granted;
    account->written = rowInFlight.row.allotment;
    // The other holders count the whole claim until the row states which part was accepted.
    account->needsCorrection = account->needsCorrection || granted < rowInFlight.claim;
}

std::vector<AllotmentRow> TokenHolder::sealRows(const Incarnation &ended,
                                                std::optional<Interval> elapsed) const
{
    const bool isBounded = elapsed && *elapsed < settings_.batchValidity;
    std::vector<AllotmentRow> rows;
    for (AllotmentRow row : table_.rowsOf(ended)) {
        const Allotment &last = row.allotment;
        const uint64_t lost =
                isBounded ? std::min(last.tokens, last.maxUsedAfter(*elapsed)) : last.tokens;
        const Allotment sealed{lost, lost, 0};
        if (sealed != last) {
            row.allotment = sealed;
            rows.push_back(row);
        }
    }
    return rows;
}

std::vector<TokenRequest> TokenHolder::peerRequests(Instant now)
{
    std::vector<TokenRequest> requests;
    for (auto &[workspace, account] : accounts_) {
        const bool lacksTokens = usableNow(account, now) < account.requiredTokens;
        const uint64_t low = account.reserve.demand(settings_.demandTimeConstant, now) / 2;
        const bool fromStore = storeReachable_ && unallotted(workspace) > 0;
        const bool runsLow =
                !fromStore && account.usable < low && !reliesOnHomes(workspace, account, now);
        if ((!lacksTokens && !runsLow) || now < account.nextPeerRequestAt || stopping_) {
            continue;
        }
        // While requests are waiting, peers are asked as often as allowed.
        const uint32_t doublings =
                std::min(account.unansweredRequests, settings_.maxBackoffDoublings);
        account.nextPeerRequestAt =
                now
                + (lacksTokens ? settings_.urgentRequestInterval
                               : settings_.routineRequestInterval * (1U << doublings));
        ++account.unansweredRequests;
        const uint64_t need = lacksTokens ? account.requiredTokens - usableNow(account, now) : 0;
        requests.push_back({workspace, need, account.usable,
                            account.reserve.demand(std::chrono::seconds(1), now),
                            account.requestRounds, settings_.policy == ReservePolicy::PeakDemand});
        account.requestRounds += lacksTokens ? 1 : 0;
    }
    return requests;
}

uint64_t TokenHolder::transferOut(const TokenRequest &request, Instant now)
{
    Account *account = find(request.workspace);
    if (account == nullptr) {
        return 0;
    }
    const bool isHomeRequest = account->isHome && request.need > 0;
    uint64_t amount = isHomeRequest ? transferFromHome(*account, request, now)
                                    : balancingTransfer(*account, request, now);
    const uint64_t transferable = std::min(amount, usableNow(*account, now));
    recordPeerRequest(*account, isHomeRequest ? request.need : amount,
                      !isHomeRequest || request.round > 0, now);
    recordTransfer(*account, transferable);
    amount = transferable;
    account->usable -= amount;
    return amount;
}

uint64_t TokenHolder::transferFromHome(Account &account, const TokenRequest &request, Instant now)
{
    // Tokens requested by peers count as demand here, even if they can't be transferred now: the
    // home holds tokens for them.
    if (request.round == 0) {
        account.reserve.addDemand(request.need, now);
        account.typicalReservation = account.typicalReservation == 0
                                             ? request.need
                                             : (7 * account.typicalReservation + request.need) / 8;
    }
    // A part of the tokens that a request needs is useful only together with parts from other
    // homes.
    const bool enough = account.usable >= request.need;
    return enough || request.round > 0 || request.acceptsPart
                   ? std::min(account.usable, request.need)
                   : 0;
}

uint64_t TokenHolder::balancingTransfer(const Account &account, const TokenRequest &request,
                                        Instant now) const
{
    if (account.requiredTokens > 0) {
        return 0;
    }
    const uint64_t usable = account.usable;
    if (usable < account.typicalReservation && request.need > 0) {
        // Too few tokens for a request here; together with those from other peers they may be
        // enough for the request that waits there.
        return usable >= request.need / PeersPerRequest ? usable : 0;
    }
    // The amount with which both holders' tokens last equally long at their own demand.
    const uint64_t perSecond = account.reserve.demand(std::chrono::seconds(1), now);
    const auto ownDemand = static_cast<double>(perSecond);
    const auto peerDemand = static_cast<double>(request.demandPerSecond);
    const double totalDemand = std::max(ownDemand + peerDemand, 1.0);
    const double balanced = (static_cast<double>(usable) * peerDemand
                             - static_cast<double>(request.usable) * ownDemand)
                            / totalDemand;
    // A peer whose tokens only run low gets at most one second of demand: eight peers are asked,
    // and all tokens that a holder may transfer may be lost with it.
    const uint64_t maxTokens = std::max(request.need, request.demandPerSecond);
    uint64_t amount = std::min(maxTokens, static_cast<uint64_t>(std::max(0.0, balanced)));
    // Low tokens are balanced by few transfers instead of one with every request.
    if (request.need == 0
        && amount < std::min(usable, request.demandPerSecond) / MinTransferDivisor) {
        amount = 0;
    }
    // A request that waits there has priority over requests that may arrive here, except for the
    // next one.
    const uint64_t ownNeed = inUse(request.workspace, account, now)
                                     ? std::max(account.typicalReservation, perSecond)
                                     : 0;
    const bool canSpare = usable >= request.need + ownNeed;
    return std::max(amount, canSpare ? request.need : 0);
}

uint64_t TokenHolder::releaseLeftover(const WorkspaceId &workspace, Instant now)
{
    Account *account = find(workspace);
    if (account == nullptr || account->requiredTokens > 0 || now < account->leftoverReturnAt
        || !reliesOnHomes(workspace, *account, now)) {
        return 0;
    }
    // Tokens that the store counts as this holder's are returned by its row instead.
    const uint64_t transferred = account->usable - std::min(account->usable, account->owned);
    account->usable -= transferred;
    return transferred;
}

void TokenHolder::transferIn(const WorkspaceId &workspace, uint64_t tokens, Instant now)
{
    Account *account = find(workspace);
    if (account == nullptr) {
        return;
    }
    account->usable += tokens;
    account->leftoverReturnAt = now + settings_.leftoverRetention;
    if (tokens >= account->typicalReservation / 4) {
        account->unansweredRequests = 0;
    }
}

void TokenHolder::returnAll()
{
    stopping_ = true;
    for (auto &[workspace, account] : accounts_) {
        returnTokens(account, account.usable);
    }
}

uint64_t TokenHolder::prepaid(const WorkspaceId &workspace) const
{
    const Account *account = find(workspace);
    return account == nullptr ? 0 : account->prepaid;
}

uint64_t TokenHolder::owned(const WorkspaceId &workspace) const
{
    const Account *account = find(workspace);
    return account == nullptr ? 0 : account->owned;
}

uint64_t TokenHolder::usable(const WorkspaceId &workspace) const
{
    const Account *account = find(workspace);
    return account == nullptr ? 0 : account->usable;
}

uint64_t TokenHolder::spent(const WorkspaceId &workspace) const
{
    const Account *account = find(workspace);
    return account == nullptr ? 0 : account->spent;
}

uint64_t TokenHolder::reserved(const WorkspaceId &workspace) const
{
    const Account *account = find(workspace);
    return account == nullptr ? 0 : account->reserved;
}

BudgetState TokenHolder::budgetState(const WorkspaceId &workspace, uint64_t need) const
{
    const Account *account = find(workspace);
    if (account == nullptr || account->usable >= need) {
        return BudgetState::Available;
    }
    if (!storeReachable_) {
        return BudgetState::Unreachable;
    }
    if (need > account->prepaid) {
        return BudgetState::Exhausted;
    }
    return unallotted(workspace) + account->usable >= need ? BudgetState::Available
                                                           : BudgetState::Exhausted;
}

std::vector<WorkspaceId> TokenHolder::workspaces() const
{
    std::vector<WorkspaceId> names;
    names.reserve(accounts_.size());
    for (const auto &[workspace, account] : accounts_) {
        names.push_back(workspace);
    }
    return names;
}

} // namespace sequoiagate
