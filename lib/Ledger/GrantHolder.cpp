#include "sequoiagate/Ledger/GrantHolder.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

/// The size of a grant follows the demand averaged over an eighth of its horizon: with a shorter
/// time, a burst claims tokens for hours; with a longer one, a rise in the morning requires many
/// claims.
constexpr int GrantDemandDivisor = 8;
/// The size of a window follows the demand averaged over twice its horizon.
constexpr int WindowDemandHorizons = 2;
constexpr Interval TickInterval = std::chrono::seconds(1);

} // namespace

GrantHolder::GrantHolder(WorkspaceId workspace, Incarnation self, GrantSettings settings,
                         GrantSafeguards safeguards)
    : workspace_(std::move(workspace)), self_(std::move(self)), settings_(settings),
      safeguards_(safeguards), grantDemand_(settings.grantHorizon / GrantDemandDivisor),
      windowDemand_(settings.windowHorizon * WindowDemandHorizons)
{}

wire::Record &GrantHolder::append()
{
    actions_.emplace_back(AppendAction{});
    return std::get<AppendAction>(actions_.back()).record;
}

GrantHolder::HeldGrant *GrantHolder::find(const GrantId &grant)
{
    const auto found =
            std::find_if(grants_.begin(), grants_.end(),
                         [&grant](const HeldGrant &held) { return held.account.id() == grant; });
    return found == grants_.end() ? nullptr : &*found;
}

uint64_t GrantHolder::reservedTokens() const
{
    uint64_t sum = 0;
    for (const HeldGrant &held : grants_) {
        sum += held.account.reserved();
    }
    return sum;
}

uint64_t GrantHolder::availableTokens() const
{
    uint64_t sum = 0;
    for (const HeldGrant &held : grants_) {
        sum += held.account.available();
    }
    return sum;
}

uint64_t GrantHolder::unreservedTokens() const
{
    uint64_t sum = 0;
    for (const HeldGrant &held : grants_) {
        sum += held.account.unreserved();
    }
    return sum;
}

uint64_t GrantHolder::unsignedTokens() const
{
    uint64_t sum = 0;
    for (const HeldGrant &held : grants_) {
        sum += held.account.acceptsWindows() ? held.account.unsignedTokens() : 0;
    }
    return sum;
}

uint64_t GrantHolder::windowTokens(Instant now) const
{
    return windowDemand_.expectedTokens(settings_.windowHorizon, now);
}

ReserveOutcome GrantHolder::reserve(const ReservationId &id, uint64_t tokens,
                                    const std::vector<Incarnation> &witnesses,
                                    const LedgerFold &fold, bool logReachable, Instant now)
{
    if (const auto known = reservations_.find(id); known != reservations_.end()) {
        return known->second;
    }
    if (draining_) {
        return Verdict{Execution::NotRun, Reason::Draining, "the keeper is stopping", now};
    }
    logReachable_ = logReachable;
    if (pendingRequests_.emplace(id, PendingRequest{tokens, now + settings_.maxReserveWait})
                .second) {
        grantDemand_.add(tokens, now);
        windowDemand_.add(tokens, now);
    }
    if (tokens <= availableTokens()) {
        return draw(id, tokens);
    }
    const Context context{witnesses, fold, logReachable, now};
    return waitOrRefuse(id, tokens, context);
}

ReservationDraws GrantHolder::draw(const ReservationId &id, uint64_t tokens)
{
    ReservationDraws draws{id, tokens, {}};
    uint64_t missing = tokens;
    for (HeldGrant &held : grants_) {
        const uint64_t part = std::min(missing, held.account.available());
        if (part == 0) {
            continue;
        }
        held.account.draw(part);
        draws.draws.push_back({held.account.id(), part});
        missing -= part;
    }
    assert(missing == 0 && "the caller must check that the windows cover the tokens");
    pendingRequests_.erase(id);
    reservations_.emplace(id, draws);
    return draws;
}

ReserveOutcome GrantHolder::waitOrRefuse(const ReservationId &id, uint64_t tokens,
                                         const Context &context)
{
    const uint64_t shortage = tokens - availableTokens();
    requestWindows(shortage, context.now);
    const uint64_t pendingTokens = unsignedTokens() + pendingClaimTokens(context.now);
    if (context.logReachable && shortage > pendingTokens) {
        submitClaim(shortage - pendingTokens, context);
    }
    const Instant until = pendingRequests_.at(id).deadline;
    if (context.now < until && isResponsePending(context)) {
        return ReservePending{until};
    }
    pendingRequests_.erase(id);
    return makeRefusal(tokens, context);
}

bool GrantHolder::isResponsePending(const Context &context) const
{
    return std::any_of(grants_.begin(), grants_.end(), [&context](const HeldGrant &held) {
        const GrantAccount &account = held.account;
        const bool claimed = account.phase() == GrantAccount::Phase::Claimed
                             && context.now < account.claimedAt() + ClaimTimeout;
        const bool fromLog = claimed || account.witnessChangePending();
        const bool fromWitness =
                held.windowRequest.deadline != Never && context.now < held.windowRequest.deadline;
        return (fromLog && context.logReachable) || fromWitness;
    });
}

bool GrantHolder::isBudgetExhausted(uint64_t tokens, const Context &context) const
{
    const LedgerBudget *budget = context.fold.budget(workspace_);
    // While the log is unreachable, it may contain a top-up that hasn't been read.
    if (!context.logReachable || !budget || budget->configVersion == 0) {
        return false;
    }
    for (const LedgerGrant *grant : context.fold.grantsOf(workspace_)) {
        if (grant->holder != self_) {
            return false;
        }
    }
    return tokens > remainingTokens(*budget, context.now) + reservedTokens();
}

uint64_t GrantHolder::remainingTokens(const LedgerBudget &budget, Instant now) const
{
    return budget.remainder() + unreservedTokens() + pendingClaimTokens(now);
}

Verdict GrantHolder::makeRefusal(uint64_t tokens, const Context &context) const
{
    if (isBudgetExhausted(tokens, context)) {
        return {Execution::NotRun, Reason::BudgetSpent,
                fmt::format("the budget of workspace {} is spent: up to {} tokens are needed, "
                            "{} remain",
                            workspace_.text(), tokens,
                            remainingTokens(*context.fold.budget(workspace_), context.now)),
                std::nullopt};
    }
    return {Execution::NotRun, Reason::BudgetUnreachable,
            context.logReachable ? "budget remains, but is held elsewhere"
                                 : "budget may remain, but the log can't be reached",
            context.now + settings_.retryAfter};
}

std::vector<Draw> GrantHolder::settle(const ReservationId &id, uint64_t spent, Instant now)
{
    const auto found = reservations_.find(id);
    if (found == reservations_.end()) {
        return {};
    }
    assert(spent <= found->second.tokens && "a stream ends at its reservation");
    uint64_t unassignedSpent = std::min(spent, found->second.tokens);
    grantDemand_.remove(found->second.tokens - unassignedSpent, now);
    windowDemand_.remove(found->second.tokens - unassignedSpent, now);
    std::vector<Draw> drawn;
    for (const Draw &draw : found->second.draws) {
        const uint64_t part = std::min(unassignedSpent, draw.tokens);
        unassignedSpent -= part;
        HeldGrant *held = find(draw.grant);
        assert(held && "a grant with reservations must not be removed");
        held->account.settle(draw.tokens, part);
        if (part > 0) {
            drawn.push_back({draw.grant, part});
        }
    }
    reservations_.erase(found);
    closeExhausted();
    return drawn;
}

void GrantHolder::onWindow(const GrantId &grant, const Incarnation &witness, uint64_t signedTotal,
                           Instant /*now*/)
{
    HeldGrant *held = find(grant);
    if (!held || held->account.witness() != witness) {
        return;
    }
    suspectedWitnesses_.erase(witness);
    held->windowRequest = WindowRequest{};
    held->account.acceptWindow(witness, signedTotal, !safeguards_.holderStopsWindowsFirst);
}

void GrantHolder::onWindowRefused(const GrantId &grant, const Incarnation &witness, bool final,
                                  Instant /*now*/)
{
    HeldGrant *held = find(grant);
    if (!held || held->account.witness() != witness) {
        return;
    }
    held->windowRequest = WindowRequest{};
    if (final) {
        held->permanentlyRefused = true;
        excludedWitnesses_.insert(witness);
    }
}

void GrantHolder::onFold(const LedgerFold &fold, Instant now)
{
    for (HeldGrant &held : grants_) {
        GrantAccount &account = held.account;
        const GrantAccount::Phase before = account.phase();
        const Incarnation witnessBefore = account.witness();
        account.updateFromLog(fold.grant(account.id()));
        if (before == GrantAccount::Phase::Open && account.phase() == GrantAccount::Phase::Ended) {
            // The witness considered this holder failed and will not sign for this incarnation
            // again.
            excludedWitnesses_.insert(account.witness());
        }
        if (before == GrantAccount::Phase::Claimed
            && account.phase() == GrantAccount::Phase::Open) {
            // The pause applies to refused claims. An accepted claim may have been too small, as is
            // common near the end of a budget; then the next one is sent at once, since a caller is
            // waiting for it.
            nextClaimAt_ = now;
        }
        if (account.witness() != witnessBefore) {
            held.windowRequest = WindowRequest{};
            held.permanentlyRefused = false;
        }
    }
    const std::size_t removed = std::erase_if(grants_, [&](const HeldGrant &held) {
        const LedgerGrant *known = fold.grant(held.account.id());
        const bool claimed = held.account.phase() == GrantAccount::Phase::Claimed;
        const bool refused = claimed && fold.claimRefused(workspace_, held.account.id());
        const bool closed =
                held.account.phase() == GrantAccount::Phase::Closing && (!known || known->ended);
        const bool used =
                held.account.phase() == GrantAccount::Phase::Ended && held.account.exhausted();
        return refused || closed || used;
    });
    if (removed > 0) {
        nextClaimAt_ = std::max(nextClaimAt_, now);
    }
}

void GrantHolder::onWitnessSuspected(const Incarnation &witness,
                                     const std::vector<Incarnation> &others, Instant now)
{
    suspectedWitnesses_.insert(witness);
    if (!logReachable_) {
        return;
    }
    const std::optional<Incarnation> next = chooseWitness(others, witness);
    if (!next) {
        return;
    }
    for (HeldGrant &held : grants_) {
        if (held.account.acceptsWindows() && held.account.witness() == witness) {
            replaceWitness(held, *next, now);
        }
    }
}

void GrantHolder::expireWindowRequests(Instant now)
{
    for (HeldGrant &held : grants_) {
        if (held.windowRequest.deadline != Never && held.windowRequest.deadline <= now) {
            held.windowRequest.deadline = Never;
            ++held.windowRequest.failures;
        }
    }
}

void GrantHolder::removeExpiredRequests(Instant now)
{
    std::erase_if(pendingRequests_, [this, now](const auto &entry) {
        return entry.second.deadline + settings_.maxReserveWait < now;
    });
}

void GrantHolder::onTick(const std::vector<Incarnation> &witnesses, const LedgerFold &fold,
                         bool logReachable, Instant now)
{
    logReachable_ = logReachable;
    nextTick_ = now + TickInterval;
    expireWindowRequests(now);
    removeExpiredRequests(now);
    closeExhausted();
    if (draining_) {
        drain(now);
        return;
    }
    const Context context{witnesses, fold, logReachable, now};
    // While the log is unreachable the witness gradually widens its windows: keep requesting them.
    if (!logReachable || availableTokens() * 2 < windowTokens(now)) {
        requestWindows(0, now);
    }
    if (!logReachable) {
        return;
    }
    updatePreferredWitness(context);
    replaceWitnesses(context);
    returnIdleTokens(context);
    claimAheadOfDemand(context);
}

bool GrantHolder::drain(Instant /*now*/)
{
    draining_ = true;
    bool open = false;
    for (HeldGrant &held : grants_) {
        const GrantAccount::Phase phase = held.account.phase();
        if (held.account.reserved() > 0) {
            open = true;
            continue;
        }
        // A claim that isn't confirmed yet is closed, too: its close follows it in the log, since
        // the records of one writer stay in order.
        if (phase == GrantAccount::Phase::Open || phase == GrantAccount::Phase::Claimed) {
            close(held);
        }
    }
    return !open;
}

GrantActions GrantHolder::takeActions()
{
    return std::exchange(actions_, {});
}

std::vector<wire::HeldGrant> GrantHolder::describe() const
{
    std::vector<wire::HeldGrant> result;
    for (const HeldGrant &held : grants_) {
        wire::HeldGrant entry;
        entry.set_grant(held.account.id().text());
        entry.set_workspace(workspace_.text());
        entry.set_tokens(held.account.cap());
        entry.set_windows_tokens(held.account.spendable());
        entry.set_reserved_tokens(held.account.reserved());
        entry.set_spent_tokens(held.account.spent());
        entry.set_witness(held.account.witness().text());
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace sequoiagate
