#include "sequoiagate/Ledger/GrantHolder.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

/// A grant's size follows demand over an eighth of its horizon: shorter, and a burst
/// takes hours' worth of tokens; longer, and a morning's rise is met by many claims.
constexpr int LongRateShare = 8;
/// A window's size follows demand over twice its span.
constexpr int ShortRateWindows = 2;
constexpr Interval TickEvery = std::chrono::seconds(1);

} // namespace

GrantHolder::GrantHolder(WorkspaceId workspace, Incarnation self, GrantSettings settings,
                         GrantSafeguards safeguards)
    : workspace_(std::move(workspace)), self_(std::move(self)), settings_(settings),
      safeguards_(safeguards), longRate_(settings.grantHorizon / LongRateShare),
      shortRate_(settings.windowHorizon * ShortRateWindows)
{}

wire::Record &GrantHolder::append()
{
    actions_.emplace_back(AppendAction{});
    return std::get<AppendAction>(actions_.back()).record;
}

GrantHolder::Held *GrantHolder::find(const GrantId &grant)
{
    const auto found = std::find_if(grants_.begin(), grants_.end(), [&grant](const Held &held) {
        return held.account.id() == grant;
    });
    return found == grants_.end() ? nullptr : &*found;
}

uint64_t GrantHolder::reservedTokens() const
{
    uint64_t sum = 0;
    for (const Held &held : grants_) {
        sum += held.account.reserved();
    }
    return sum;
}

uint64_t GrantHolder::availableTokens() const
{
    uint64_t sum = 0;
    for (const Held &held : grants_) {
        sum += held.account.available();
    }
    return sum;
}

uint64_t GrantHolder::unreservedTokens() const
{
    uint64_t sum = 0;
    for (const Held &held : grants_) {
        sum += held.account.left();
    }
    return sum;
}

uint64_t GrantHolder::unsignedTokens() const
{
    uint64_t sum = 0;
    for (const Held &held : grants_) {
        sum += held.account.takesWindows() ? held.account.unsignedTokens() : 0;
    }
    return sum;
}

uint64_t GrantHolder::windowTokens(Instant now) const
{
    return shortRate_.over(settings_.windowHorizon, now);
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
    if (waiting_.emplace(id, Waiting{tokens, now + settings_.maxReserveWait}).second) {
        longRate_.add(tokens, now);
        shortRate_.add(tokens, now);
    }
    if (tokens <= availableTokens()) {
        return draw(id, tokens);
    }
    const Surroundings around{witnesses, fold, logReachable, now};
    return waitOrRefuse(id, tokens, around);
}

ReservationDraws GrantHolder::draw(const ReservationId &id, uint64_t tokens)
{
    ReservationDraws draws{id, tokens, {}};
    uint64_t missing = tokens;
    for (Held &held : grants_) {
        const uint64_t part = std::min(missing, held.account.available());
        if (part == 0) {
            continue;
        }
        held.account.draw(part);
        draws.draws.push_back({held.account.id(), part});
        missing -= part;
    }
    assert(missing == 0 && "the caller has checked that the windows cover it");
    waiting_.erase(id);
    reservations_.emplace(id, draws);
    return draws;
}

ReserveOutcome GrantHolder::waitOrRefuse(const ReservationId &id, uint64_t tokens,
                                         const Surroundings &around)
{
    const uint64_t shortage = tokens - availableTokens();
    askForWindows(shortage, around.now);
    const uint64_t coming = unsignedTokens() + claimsUnderWay(around.now);
    if (around.logReachable && shortage > coming) {
        claimFor(shortage - coming, around);
    }
    const Instant until = waiting_.at(id).until;
    if (around.now < until && answerUnderWay(around)) {
        return ReservePending{until};
    }
    waiting_.erase(id);
    return refusal(tokens, around);
}

bool GrantHolder::answerUnderWay(const Surroundings &around) const
{
    return std::any_of(grants_.begin(), grants_.end(), [&around](const Held &held) {
        const GrantAccount &account = held.account;
        const bool claimed = account.phase() == GrantAccount::Phase::Claimed
                             && around.now < account.claimedAt() + ClaimGivenUpAfter;
        const bool fromLog = claimed || account.witnessChangePending();
        const bool fromWitness = held.ask.until != Never && around.now < held.ask.until;
        return (fromLog && around.logReachable) || fromWitness;
    });
}

bool GrantHolder::nothingRemains(uint64_t tokens, const Surroundings &around) const
{
    const LedgerBudget *budget = around.fold.budget(workspace_);
    // While the log is silent, a top-up may stand there that we can't hear of.
    if (!around.logReachable || !budget || budget->configVersion == 0) {
        return false;
    }
    for (const LedgerGrant *grant : around.fold.grantsOf(workspace_)) {
        if (grant->holder != self_) {
            return false;
        }
    }
    return tokens > remainingTokens(*budget, around.now) + reservedTokens();
}

uint64_t GrantHolder::remainingTokens(const LedgerBudget &budget, Instant now) const
{
    return budget.remainder() + unreservedTokens() + claimsUnderWay(now);
}

Verdict GrantHolder::refusal(uint64_t tokens, const Surroundings &around) const
{
    if (nothingRemains(tokens, around)) {
        return {Execution::NotRun, Reason::BudgetSpent,
                fmt::format("the budget of workspace {} is spent: up to {} tokens are needed, "
                            "{} remain",
                            workspace_.text(), tokens,
                            remainingTokens(*around.fold.budget(workspace_), around.now)),
                std::nullopt};
    }
    return {Execution::NotRun, Reason::BudgetUnreachable,
            around.logReachable ? "budget remains, but is held elsewhere"
                                : "budget may remain, but the log can't be reached",
            around.now + settings_.comeBackAfter};
}

std::vector<Draw> GrantHolder::settle(const ReservationId &id, uint64_t spent, Instant now)
{
    const auto found = reservations_.find(id);
    if (found == reservations_.end()) {
        return {};
    }
    assert(spent <= found->second.tokens && "a stream is cut at its reservation");
    uint64_t toSpend = std::min(spent, found->second.tokens);
    longRate_.remove(found->second.tokens - toSpend, now);
    shortRate_.remove(found->second.tokens - toSpend, now);
    std::vector<Draw> drawn;
    for (const Draw &draw : found->second.draws) {
        const uint64_t part = std::min(toSpend, draw.tokens);
        toSpend -= part;
        Held *held = find(draw.grant);
        assert(held && "a grant with a reservation is kept");
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
    Held *held = find(grant);
    if (!held || held->account.witness() != witness) {
        return;
    }
    suspected_.erase(witness);
    held->ask = Ask{};
    held->account.acceptWindow(witness, signedTotal, !safeguards_.holderStopsWindowsFirst);
}

void GrantHolder::onWindowRefused(const GrantId &grant, const Incarnation &witness, bool final,
                                  Instant /*now*/)
{
    Held *held = find(grant);
    if (!held || held->account.witness() != witness) {
        return;
    }
    held->ask = Ask{};
    if (final) {
        held->refusedForGood = true;
        avoided_.insert(witness);
    }
}

void GrantHolder::onFold(const LedgerFold &fold, Instant now)
{
    for (Held &held : grants_) {
        GrantAccount &account = held.account;
        const GrantAccount::Phase before = account.phase();
        const Incarnation witnessBefore = account.witness();
        account.updateFromLog(fold.grant(account.id()));
        if (before == GrantAccount::Phase::Open && account.phase() == GrantAccount::Phase::Ended) {
            // Our witness took us for dead and won't sign for this incarnation again.
            avoided_.insert(account.witness());
        }
        if (before == GrantAccount::Phase::Claimed
            && account.phase() == GrantAccount::Phase::Open) {
            // The pause is there for claims that are refused. After an accepted one that
            // was too small, as they are near the budget's end, the next goes out at
            // once: a caller waits for it.
            claimAgainAt_ = now;
        }
        if (account.witness() != witnessBefore) {
            held.ask = Ask{};
            held.refusedForGood = false;
        }
    }
    const std::size_t removed = std::erase_if(grants_, [&](const Held &held) {
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
        claimAgainAt_ = std::max(claimAgainAt_, now);
    }
}

void GrantHolder::onWitnessSuspected(const Incarnation &witness,
                                     const std::vector<Incarnation> &others, Instant now)
{
    suspected_.insert(witness);
    if (!logReachable_) {
        return;
    }
    const std::optional<Incarnation> next = chooseWitness(others, witness);
    if (!next) {
        return;
    }
    for (Held &held : grants_) {
        if (held.account.takesWindows() && held.account.witness() == witness) {
            replaceWitness(held, *next, now);
        }
    }
}

void GrantHolder::expireAsks(Instant now)
{
    for (Held &held : grants_) {
        if (held.ask.until != Never && held.ask.until <= now) {
            held.ask.until = Never;
            ++held.ask.failures;
        }
    }
}

void GrantHolder::forgetWaiting(Instant now)
{
    std::erase_if(waiting_, [this, now](const auto &entry) {
        return entry.second.until + settings_.maxReserveWait < now;
    });
}

void GrantHolder::onTick(const std::vector<Incarnation> &witnesses, const LedgerFold &fold,
                         bool logReachable, Instant now)
{
    logReachable_ = logReachable;
    nextTick_ = now + TickEvery;
    expireAsks(now);
    forgetWaiting(now);
    closeExhausted();
    if (draining_) {
        drain(now);
        return;
    }
    const Surroundings around{witnesses, fold, logReachable, now};
    // With the log silent the witness opens up by and by: ask on, to get what it opens.
    if (!logReachable || availableTokens() * 2 < windowTokens(now)) {
        askForWindows(0, now);
    }
    if (!logReachable) {
        return;
    }
    notePreferred(around);
    replaceWitnesses(around);
    returnIdle(around);
    claimAhead(around);
}

bool GrantHolder::drain(Instant /*now*/)
{
    draining_ = true;
    bool open = false;
    for (Held &held : grants_) {
        const GrantAccount::Phase phase = held.account.phase();
        if (held.account.reserved() > 0) {
            open = true;
            continue;
        }
        // A claim that isn't read back is closed, too: its close stands after it in the
        // log, since one writer's records keep their order.
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
    for (const Held &held : grants_) {
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
