#include "sequoiagate/Ledger/TokenHolder.h"

#include <algorithm>

namespace sequoiagate {

namespace {

/// A holder that only runs low is given this part of what its peer has, or nothing: else the
/// fleet makes a move for a few tokens with each request.
constexpr uint64_t LeastEvening = 8;

/// Peers that are asked at once: each may bring a part of what is needed.
constexpr uint64_t AskedPeers = 8;

/// Most holders assumed to claim a workspace's tokens per home: the home itself and hosts whose own
/// demand is large enough.
constexpr uint32_t MaxHoldersPerHome = 4;

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
        Account &account = accounts_
                                   .try_emplace(budget.workspace, settings_.demandMemory,
                                                settings_.fleetsMemory)
                                   .first->second;
        if (budget.prepaid < account.prepaid) {
            account.lowered = true;
            giveBack(account, account.usable);
        }
        account.prepaid = budget.prepaid;
    }
}

void TokenHolder::setHomes(const WorkspaceId &workspace, uint32_t homes, bool isHome)
{
    if (Account *account = find(workspace)) {
        account->homes = homes;
        account->isHome = isHome;
    }
}

bool TokenHolder::leavesItToHomes(const WorkspaceId &workspace, const Account &account,
                                  Instant now) const
{
    if (account.homes == 0 || account.isHome) {
        return false;
    }
    const uint64_t own = scaled(account.typical, settings_.ownRequests);
    if (account.typical == 0 || account.demand.over(bridged(workspace, account, now), now) < own) {
        return true;
    }
    // Limits the number of holders: if not every host may be one, a host must have at least an
    // equal share of the workspace's demand among them.
    const uint64_t maxHolders = maxHoldersOf(account);
    const uint64_t ownDemand = account.demand.over(settings_.fleetsMemory, now);
    const uint64_t fleetsUse = account.fleetsUse.over(settings_.fleetsMemory, now);
    return maxHolders < holders_ && ownDemand * maxHolders < fleetsUse;
}

bool TokenHolder::reserve(const WorkspaceId &workspace, uint64_t tokens, Instant now)
{
    Account *account = find(workspace);
    if (account == nullptr) {
        return true;
    }
    account->typical = account->typical == 0 ? tokens : (7 * account->typical + tokens) / 8;
    if (mayUse(*account, now) < tokens) {
        account->shortOf = std::max(account->shortOf, tokens);
        return false;
    }
    account->usable -= tokens;
    account->reserved += tokens;
    account->demand.add(tokens, now);
    return true;
}

uint64_t TokenHolder::used(const Account &account)
{
    return account.owned - std::min(account.owned, account.usable);
}

uint64_t TokenHolder::rowLimit(const Allotment &row, Instant composedAt, Instant now) const
{
    // One that is too old tells whoever finds it nothing, and bounds nothing.
    const Interval age = std::max(now - composedAt, Interval::zero());
    return age < settings_.batchValidity ? row.usedAfter(age) : UINT64_MAX;
}

uint64_t TokenHolder::mayUse(const Account &account, Instant now) const
{
    // Either batch may be the one that is found when this process has died.
    uint64_t limit = rowLimit(account.written, writtenAt_, now);
    if (inFlight_) {
        limit = std::min(limit, rowLimit(account.flight, inFlight_->composedAt, now));
    }
    if (limit == UINT64_MAX) {
        return account.usable;
    }
    const uint64_t already = used(account);
    // Tokens that came from peers beyond what the store says this holder has are free.
    const uint64_t beyond = account.usable - std::min(account.usable, account.owned);
    const uint64_t left = limit - std::min(limit, already) + beyond;
    return std::min(account.usable, left);
}

uint64_t TokenHolder::leftToUse(const WorkspaceId &workspace, const Account &account) const
{
    return account.prepaid - std::min(account.prepaid, table_.used(workspace));
}

void TokenHolder::onRow(const AllotmentRow &row, uint64_t offset, Instant now)
{
    const uint64_t before = table_.used(row.workspace);
    table_.set(row, offset);
    const uint64_t after = table_.used(row.workspace);
    Account *account = find(row.workspace);
    // What is read first was used long ago: taken for use of this moment, it would make each
    // budget seem scarce to a process that has just started.
    if (account == nullptr || !caughtUp_) {
        return;
    }
    if (after > before) {
        account->fleetsUse.add(after - before, now);
    } else {
        account->fleetsUse.remove(before - after, now);
    }
}

bool TokenHolder::isScarce(const WorkspaceId &workspace, const Account &account, Instant now) const
{
    const auto bridged = static_cast<double>(account.fleetsUse.over(settings_.horizon, now));
    const auto left = static_cast<double>(leftToUse(workspace, account));
    // A budget of which most is left isn't scarce, however fast it has begun to be used.
    const double most = settings_.scarceRest * static_cast<double>(account.prepaid);
    return left < most && left < bridged * settings_.scarceBelow;
}

uint64_t TokenHolder::windowOf(const WorkspaceId &workspace, const Account &account,
                               Instant now) const
{
    const uint64_t forPeers = askedByPeers(account, now);
    if (isScarce(workspace, account, now)) {
        return account.shortOf + forPeers;
    }
    const uint64_t byDemand = account.demand.over(settings_.window, now);
    // The next request of a workspace that is in use here needn't wait for a row; a larger
    // one than usual does. Before the first one nobody knows its size.
    uint64_t next = 0;
    if (account.typical == 0) {
        next = scaled(target(workspace, account, now), settings_.firstWindow);
    } else if (inUse(account, now)) {
        next = account.typical + account.typical / 2;
    }
    return std::max({byDemand, next, account.shortOf}) + forPeers;
}

uint64_t TokenHolder::askedByPeers(const Account &account, Instant now)
{
    uint64_t tokens = 0;
    for (const OpenAsk &ask : account.openAsks) {
        tokens += now < ask.until ? ask.tokens : 0;
    }
    return tokens;
}

void TokenHolder::noteAsk(Account &account, uint64_t tokens, bool isRepeat, Instant now) const
{
    std::vector<OpenAsk> &asks = account.openAsks;
    asks.erase(std::remove_if(asks.begin(), asks.end(),
                              [now](const OpenAsk &ask) { return now >= ask.until; }),
               asks.end());
    // A repeated ask is for tokens already counted; a first one adds to what other peers asked for.
    const uint64_t counted = isRepeat ? askedByPeers(account, now) : 0;
    if (tokens > counted) {
        asks.push_back({tokens - counted, now + settings_.lending});
    }
}

void TokenHolder::noteMoved(Account &account, uint64_t tokens)
{
    // An older ask is more likely to have been met elsewhere.
    std::vector<OpenAsk> &asks = account.openAsks;
    while (tokens > 0 && !asks.empty()) {
        const uint64_t met = std::min(tokens, asks.back().tokens);
        tokens -= met;
        asks.back().tokens -= met;
        if (asks.back().tokens == 0) {
            asks.pop_back();
        }
    }
}

uint32_t TokenHolder::maxHoldersOf(const Account &account) const
{
    return account.homes == 0 ? holders_ : std::min(holders_, account.homes * MaxHoldersPerHome);
}

bool TokenHolder::anyRowHasUnusedTokens() const
{
    return std::any_of(accounts_.begin(), accounts_.end(), [](const auto &entry) {
        const Allotment &written = entry.second.written;
        return written.maxUsed < written.tokens;
    });
}

bool TokenHolder::inUse(const Account &account, Instant now) const
{
    // After three times the memory a twentieth of a request's tokens is left.
    return account.demand.over(settings_.demandMemory, now) > account.typical / 20;
}

uint64_t TokenHolder::paceOf(const WorkspaceId &workspace, const Account &account,
                             Instant now) const
{
    const uint64_t demand = account.demand.over(std::chrono::seconds(1), now);
    const bool scarce = isScarce(workspace, account, now);
    return scaled(demand, scarce ? settings_.scarcePace : settings_.paceFactor);
}

bool TokenHolder::limitDue(const WorkspaceId &workspace, const Account &account, Instant now) const
{
    const Allotment &written = account.written;
    const uint64_t already = used(account);
    // Without the store more was used than the last row says. A batch that didn't correct
    // it would vouch for a row that is wrong.
    if (already > written.maxUsed) {
        return true;
    }
    const uint64_t window = windowOf(workspace, account, now);
    const uint64_t left = written.maxUsed - already;
    const bool isShort = mayUse(account, now) < account.shortOf;
    const bool canAllowMore = written.maxUsed < account.owned;
    const bool low = left < scaled(window, settings_.rewriteBelow);
    const uint64_t usual = std::max(window, account.typical);
    const uint64_t pace = paceOf(workspace, account, now);
    // Far more than is needed: a process that is killed now would lose it.
    const bool high = left > 3 * usual;
    const bool fast = written.usePerSecond > 2 * pace + usual;
    const bool slow = 2 * written.usePerSecond + usual < pace;
    return high || (canAllowMore && (fast || slow || low || isShort));
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
    account->returnAt = now + settings_.leftoverRetention;
    account->demand.remove(reserved - spent, now);
    if (account->lowered) {
        giveBack(*account, reserved - spent);
    }
}

void TokenHolder::setRequiredTokens(const WorkspaceId &workspace, uint64_t tokens)
{
    if (Account *account = find(workspace)) {
        account->shortOf = tokens;
        account->askRounds = tokens == 0 ? 0 : account->askRounds;
    }
}

void TokenHolder::noLongerShort(const WorkspaceId &workspace)
{
    setRequiredTokens(workspace, 0);
}

uint64_t TokenHolder::mostIdle(const WorkspaceId &workspace, const Account &account) const
{
    const uint64_t left = leftToUse(workspace, account);
    const double leftPart =
            static_cast<double>(left) / static_cast<double>(std::max<uint64_t>(account.prepaid, 1));
    const double low = std::min(1.0, leftPart / settings_.idleLowRest);
    return scaled(left, settings_.idleShare * leftPart * low * low);
}

Interval TokenHolder::bridged(const WorkspaceId &workspace, const Account &account,
                              Instant now) const
{
    const uint64_t fleets = std::max(account.fleetsUse.over(settings_.horizon, now),
                                     account.demand.over(settings_.horizon, now));
    const uint64_t idle = mostIdle(workspace, account);
    if (idle >= fleets) {
        return settings_.horizon;
    }
    const double part = static_cast<double>(idle) / static_cast<double>(fleets);
    return std::chrono::duration_cast<Interval>(settings_.horizon * part);
}

uint64_t TokenHolder::target(const WorkspaceId &workspace, const Account &account,
                             Instant now) const
{
    if (leavesItToHomes(workspace, account, now)) {
        return 0;
    }
    const uint64_t byDemand = account.demand.over(bridged(workspace, account, now), now);
    const uint64_t idle = mostIdle(workspace, account);
    // Where the workspace is in use its next request needn't wait for the store.
    const bool allMayHoldOne = account.typical * maxHoldersOf(account) <= idle;
    const uint64_t next = allMayHoldOne && inUse(account, now) ? account.typical : 0;
    // Once it is in use anywhere, demand says where its tokens belong. Floors at all of the
    // hosts added up to twenty seconds' demand of a small workspace, lost when all died.
    const uint32_t first = account.homes > 0 ? account.homes : holders_;
    const bool holdsFirst = account.homes == 0 || account.isHome;
    const uint64_t initial =
            holdsFirst ? std::min(idle, scaled(account.prepaid, settings_.initialShare)) / first
                       : 0;
    const bool isNew = table_.used(workspace) < scaled(account.prepaid, settings_.initialShare);
    return std::max({byDemand, next, isNew ? initial : 0});
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

uint64_t TokenHolder::claimFor(const WorkspaceId &workspace, const Account &account,
                               Instant now) const
{
    const uint64_t requested = account.shortOf + (account.isHome ? askedByPeers(account, now) : 0);
    const uint64_t wanted = std::max(target(workspace, account, now), requested);
    const bool isShort = account.usable < requested;
    // The first round goes to a home, which answers sooner than a claim is read back.
    if (isShort && account.askRounds < 2 && leavesItToHomes(workspace, account, now)) {
        return 0;
    }
    if (!isShort && account.usable >= scaled(wanted, settings_.refillBelow)) {
        return 0;
    }
    const uint64_t left = unallotted(workspace);
    const uint64_t fair = scaled(left, std::min(1.0, settings_.greed / maxHoldersOf(account)));
    const uint64_t need = isShort ? requested - account.usable : 0;
    const uint64_t most = std::min(left, std::max(fair, need));
    return std::min(most, wanted - std::min(wanted, account.usable));
}

void TokenHolder::giveBack(Account &account, uint64_t tokens)
{
    // Moved tokens count with their giver in the store: no more can be given back than
    // the store says this holder has.
    const uint64_t returned = std::min({tokens, account.usable, account.owned});
    if (returned == 0) {
        return;
    }
    account.usable -= returned;
    account.owned -= returned;
    account.correct = true;
}

std::optional<std::vector<AllotmentRow>> TokenHolder::nextBatch(Instant now)
{
    if (!storeReachable_ || inFlight_) {
        return std::nullopt;
    }
    Flight flight;
    flight.composedAt = now;
    std::vector<AllotmentRow> rows;
    for (auto &[workspace, account] : accounts_) {
        account.lowered = account.lowered && table_.allotted(workspace) > account.prepaid;
        if (!stopping_) {
            const uint64_t wanted = target(workspace, account, now);
            const bool waits =
                    account.shortOf > 0 || (account.isHome && askedByPeers(account, now) > 0);
            if (!waits && account.usable > scaled(wanted, settings_.returnAbove)) {
                giveBack(account, account.usable - wanted);
            }
        }
        const uint64_t claim = stopping_ ? 0 : claimFor(workspace, account, now);
        account.flight = account.written;
        if (claim == 0 && !account.correct && !limitDue(workspace, account, now)) {
            continue;
        }
        account.correct = false;
        const uint64_t total = account.owned + claim;
        const uint64_t usedAtMost = used(account) + windowOf(workspace, account, now);
        account.flight = {total, std::min(total, usedAtMost), paceOf(workspace, account, now)};
        const AllotmentRow row{workspace, self_, account.flight};
        flight.rows.push_back({row, claim});
        rows.push_back(row);
    }
    const bool heartbeatDue = now >= writtenAt_ + settings_.heartbeat && anyRowHasUnusedTokens();
    if (rows.empty() && !heartbeatDue) {
        return std::nullopt;
    }
    inFlight_ = std::move(flight);
    return rows;
}

void TokenHolder::onBatchWritten()
{
    if (inFlight_ && inFlight_->rows.empty()) {
        settleFlight();
    }
}

bool TokenHolder::onReadUpTo(uint64_t next)
{
    caughtUp_ = true;
    if (!inFlight_ || inFlight_->rows.empty()) {
        return false;
    }
    uint64_t last = 0;
    for (const RowInFlight &flight : inFlight_->rows) {
        const std::optional<WrittenAllotment> written = table_.of(flight.row.workspace, self_);
        const bool found = written && written->allotment == flight.row.allotment
                           && written->offset >= judgedThrough_ && written->offset < next;
        if (!found) {
            return false;
        }
        last = std::max(last, written->offset);
    }
    judgedThrough_ = last + 1;
    settleFlight();
    return true;
}

void TokenHolder::settleFlight()
{
    const Flight flight = std::move(*inFlight_);
    inFlight_.reset();
    writtenAt_ = flight.composedAt;
    for (const RowInFlight &row : flight.rows) {
        judge(row);
    }
}

void TokenHolder::judge(const RowInFlight &flight)
{
    Account *account = find(flight.row.workspace);
    const uint64_t allotted = table_.allotted(flight.row.workspace);
    const uint64_t excess = allotted > account->prepaid ? allotted - account->prepaid : 0;
    const uint64_t granted = flight.claim - std::min(flight.claim, excess);
    account->owned += granted;
    account->usable += granted;
    account->written = flight.row.allotment;
    // Others count the whole claim until the row says what was taken of it.
    account->correct = account->correct || granted < flight.claim;
}

std::vector<AllotmentRow> TokenHolder::sealRows(const Incarnation &dead,
                                                std::optional<Interval> elapsed) const
{
    const bool keptToItsRows = elapsed && *elapsed < settings_.batchValidity;
    std::vector<AllotmentRow> rows;
    for (AllotmentRow row : table_.rowsOf(dead)) {
        const Allotment &last = row.allotment;
        const uint64_t lost =
                keptToItsRows ? std::min(last.tokens, last.usedAfter(*elapsed)) : last.tokens;
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
    std::vector<TokenRequest> asks;
    for (auto &[workspace, account] : accounts_) {
        const bool isShort = mayUse(account, now) < account.shortOf;
        const uint64_t low = account.demand.over(settings_.demandMemory, now) / 2;
        const bool fromStore = storeReachable_ && unallotted(workspace) > 0;
        const bool runsLow =
                !fromStore && account.usable < low && !leavesItToHomes(workspace, account, now);
        if ((!isShort && !runsLow) || now < account.nextAskAt || stopping_) {
            continue;
        }
        // A request that waits asks as often as it can.
        const uint32_t doublings = std::min(account.askedInVain, settings_.mostDoublings);
        account.nextAskAt =
                now
                + (isShort ? settings_.askInterval : settings_.calmAskInterval * (1U << doublings));
        ++account.askedInVain;
        const uint64_t need = isShort ? account.shortOf - mayUse(account, now) : 0;
        asks.push_back({workspace, need, account.usable,
                        account.demand.over(std::chrono::seconds(1), now), account.askRounds});
        account.askRounds += isShort ? 1 : 0;
    }
    return asks;
}

uint64_t TokenHolder::transferOut(const TokenRequest &ask, Instant now)
{
    Account *account = find(ask.workspace);
    if (account == nullptr) {
        return 0;
    }
    const bool asHome = account->isHome && ask.need > 0;
    uint64_t gift = asHome ? giftOfHome(*account, ask, now) : evenGift(*account, ask, now);
    const uint64_t movable = std::min(gift, mayUse(*account, now));
    noteAsk(*account, asHome ? ask.need : gift, !asHome || ask.round > 0, now);
    noteMoved(*account, movable);
    gift = movable;
    account->usable -= gift;
    return gift;
}

uint64_t TokenHolder::giftOfHome(Account &account, const TokenRequest &ask, Instant now)
{
    // What others ask for is demand here, also what can't be given now: the home holds for it.
    if (ask.round == 0) {
        account.demand.add(ask.need, now);
        account.typical = account.typical == 0 ? ask.need : (7 * account.typical + ask.need) / 8;
    }
    // A part of what a request needs is of use only together with other homes' parts.
    const bool enough = account.usable >= ask.need;
    return enough || ask.round > 0 ? std::min(account.usable, ask.need) : 0;
}

uint64_t TokenHolder::evenGift(const Account &account, const TokenRequest &ask, Instant now) const
{
    if (account.shortOf > 0) {
        return 0;
    }
    const uint64_t usable = account.usable;
    if (usable < account.typical && ask.need > 0) {
        // Too little for a request here; together with what others give it may be
        // enough for the one that waits there.
        return usable >= ask.need / AskedPeers ? usable : 0;
    }
    // So much that both last equally long at their own demand.
    const uint64_t perSecond = account.demand.over(std::chrono::seconds(1), now);
    const auto mine = static_cast<double>(perSecond);
    const auto theirs = static_cast<double>(ask.demandPerSecond);
    const double both = std::max(mine + theirs, 1.0);
    const double even =
            (static_cast<double>(usable) * theirs - static_cast<double>(ask.usable) * mine) / both;
    // A peer that only runs low gets a second's demand: eight are asked, and what a
    // holder may move it may lose.
    const uint64_t most = std::max(ask.need, ask.demandPerSecond);
    uint64_t gift = std::min(most, static_cast<uint64_t>(std::max(0.0, even)));
    // What runs low is evened out in few moves, not with every request.
    if (ask.need == 0 && gift < std::min(usable, ask.demandPerSecond) / LeastEvening) {
        gift = 0;
    }
    // A request that waits there goes before what may come here, but for the next one.
    const uint64_t keep = inUse(account, now) ? std::max(account.typical, perSecond) : 0;
    const bool spares = usable >= ask.need + keep;
    return std::max(gift, spares ? ask.need : 0);
}

uint64_t TokenHolder::releaseLeftover(const WorkspaceId &workspace, Instant now)
{
    Account *account = find(workspace);
    if (account == nullptr || account->shortOf > 0 || now < account->returnAt
        || !leavesItToHomes(workspace, *account, now)) {
        return 0;
    }
    // Tokens that the store counts as this holder's are given back by its row instead.
    const uint64_t moved = account->usable - std::min(account->usable, account->owned);
    account->usable -= moved;
    return moved;
}

void TokenHolder::transferIn(const WorkspaceId &workspace, uint64_t tokens, Instant now)
{
    Account *account = find(workspace);
    if (account == nullptr) {
        return;
    }
    account->usable += tokens;
    account->returnAt = now + settings_.leftoverRetention;
    if (tokens >= account->typical / 4) {
        account->askedInVain = 0;
    }
}

void TokenHolder::returnAll()
{
    stopping_ = true;
    for (auto &[workspace, account] : accounts_) {
        giveBack(account, account.usable);
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
