#include "sequoiagate/Ledger/GrantHolder.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// A grant's size follows demand over an eighth of its horizon: shorter, and a burst
/// takes hours' worth of tokens; longer, and a morning's rise is met by many claims.
constexpr int LongRateShare = 8;
/// A window's size follows demand over twice its span.
constexpr int ShortRateWindows = 2;
/// A new claim goes out when less than this share of the horizon is left, so that it
/// is read back long before the windows run dry.
constexpr int ClaimAheadShare = 2;
/// More than this many horizons' worth lies idle: demand has moved elsewhere.
constexpr int IdleHorizons = 2;
/// Windows' worth that a holder keeps back when others go short, or after the log was
/// silent and its witness had opened up.
constexpr int WindowsKept = 2;
/// More than this many windows received and unspent, with the log back, is what a
/// death would needlessly put in doubt.
constexpr int WindowsTooMany = 6;
/// So many asks without an answer: the witness is out of reach, whatever the
/// membership says, as in a partition that cuts only the two of us apart.
constexpr int AsksBeforeReplacing = 4;
/// A witness that has been the best one for so long takes over: the witnesses' order
/// moves for a moment whenever a host comes or goes, and each change is a record.
constexpr Interval BetterWitnessAfter = std::chrono::seconds(30);
constexpr Interval TickEvery = std::chrono::seconds(1);
/// A claim that isn't read back for so long doesn't hold up another one. It may still
/// be accepted later, and is then used.
constexpr Interval ClaimGivenUpAfter = std::chrono::seconds(10);

uint64_t lessOrZero(uint64_t from, uint64_t amount)
{
    return from > amount ? from - amount : 0;
}

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

uint64_t GrantHolder::leftTokens() const
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
    if (waiting_.emplace(id, Waiting{tokens, now + settings_.reservePatience}).second) {
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
        return ReserveLater{until};
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
        const bool fromLog = claimed || account.witnessChanging();
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
    return tokens
           > budget->remainder() + leftTokens() + reservedTokens() + claimsUnderWay(around.now);
}

Verdict GrantHolder::refusal(uint64_t tokens, const Surroundings &around) const
{
    if (nothingRemains(tokens, around)) {
        return {Execution::NotRun, Reason::BudgetSpent,
                fmt::format("the budget of workspace {} is spent", workspace_.text()),
                std::nullopt};
    }
    return {Execution::NotRun, Reason::BudgetUnreachable,
            around.logReachable ? "budget remains, but is held elsewhere"
                                : "budget may remain, but the log can't be reached",
            around.now + settings_.comeBackAfter};
}

void GrantHolder::askForWindows(uint64_t tokens, Instant now)
{
    uint64_t missing = std::max(tokens, windowTokens(now));
    for (Held &held : grants_) {
        const uint64_t part = std::min(missing, held.account.unsignedTokens());
        if (part == 0 || !held.account.takesWindows() || held.refusedForGood) {
            continue;
        }
        missing -= part;
        if (held.ask.until != Never) {
            continue;
        }
        held.ask.until = now + settings_.askTimeout;
        AskWindowAction ask;
        ask.witness = held.account.witness();
        ask.grant = held.account.id();
        ask.workspace = workspace_;
        ask.receivedTokens = held.account.received();
        ask.wantTokens = part;
        ask.givenUpTokens = held.account.returned();
        actions_.emplace_back(std::move(ask));
    }
}

uint64_t GrantHolder::claimsUnderWay(Instant now) const
{
    uint64_t sum = 0;
    for (const Held &held : grants_) {
        if (held.account.phase() == GrantAccount::Phase::Claimed
            && now < held.account.claimedAt() + ClaimGivenUpAfter) {
            sum += held.account.cap();
        }
    }
    return sum;
}

uint64_t GrantHolder::claimSize(uint64_t need, bool witnessed, uint64_t remainder,
                                Instant now) const
{
    const Interval horizon = witnessed ? settings_.grantHorizon : settings_.unwitnessedHorizon;
    const uint64_t wanted = std::max(lessOrZero(longRate_.over(horizon, now), leftTokens()),
                                     settings_.minimumGrant);
    // A share of what is left, so that claims shrink towards the end and the last tokens
    // aren't all in the first claimer's hands; but never less than the need itself.
    const auto share =
            static_cast<uint64_t>(settings_.shareOfRemainder * static_cast<double>(remainder));
    return std::max(std::min(wanted, share), need);
}

void GrantHolder::claimFor(uint64_t need, const Surroundings &around)
{
    const LedgerBudget *budget = around.fold.budget(workspace_);
    if (!budget || budget->configVersion == 0 || around.now < claimAgainAt_
        || claimsUnderWay(around.now) > 0) {
        return;
    }
    const std::optional<Incarnation> witness = chooseWitness(around.witnesses, Incarnation());
    // A claim for more than remains is refused; it is sent all the same, since the fold
    // then shows the unmet demand, upon which the other holders return what lies idle.
    const uint64_t size = claimSize(need, witness.has_value(), budget->remainder(), around.now);
    if (size == 0) {
        return;
    }
    claimAgainAt_ = around.now + settings_.claimPause;
    GrantAccount account(nextGrantId(), size, witness.value_or(Incarnation()), around.now);
    wire::GrantClaim &claim = *append().mutable_grant_claim();
    claim.set_grant(account.id().text());
    claim.set_workspace(workspace_.text());
    claim.set_tokens(size);
    claim.set_holder(self_.text());
    claim.set_witness(account.witness().text());
    grants_.push_back({std::move(account), {}, {}, false});
}

GrantId GrantHolder::nextGrantId()
{
    // Derived, not drawn: the incarnation is random, and so a run can be replayed.
    ++grantsClaimed_;
    const std::string name =
            fmt::format("{}/{}/{}", self_.text(), workspace_.text(), grantsClaimed_);
    return GrantId(fmt::format("{:016x}{:016x}", stableHash(name, 0), stableHash(name, 1)));
}

std::optional<Incarnation> GrantHolder::chooseWitness(const std::vector<Incarnation> &candidates,
                                                      const Incarnation &except) const
{
    for (const Incarnation &candidate : candidates) {
        if (candidate != self_ && candidate != except && !candidate.empty()
            && !avoided_.contains(candidate) && !suspected_.contains(candidate)) {
            return candidate;
        }
    }
    return std::nullopt;
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
    held->account.takeWindow(witness, signedTotal, !safeguards_.holderStopsWindowsFirst);
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
        account.readBack(fold.grant(account.id()));
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

void GrantHolder::replaceWitness(Held &held, const Incarnation &next, Instant now)
{
    const uint64_t allowance = WindowsTooMany * windowTokens(now);
    held.account.changeWitness(next, allowance);
    held.ask = Ask{};
    wire::GrantRewitness &change = *append().mutable_grant_rewitness();
    change.set_grant(held.account.id().text());
    change.set_received_tokens(held.account.received());
    change.set_witness(next.text());
}

void GrantHolder::notePreferred(const Surroundings &around)
{
    std::optional<Incarnation> best = chooseWitness(around.witnesses, Incarnation());
    if (best != preferred_) {
        preferred_ = std::move(best);
        preferredFrom_ = around.now + BetterWitnessAfter;
    }
}

void GrantHolder::replaceWitnesses(const Surroundings &around)
{
    // After a death the only witness left may be in another failure domain. Were it kept
    // once the dead one is replaced, the next partition would cut the holder off from its
    // windows, and it would refuse with a full grant in hand.
    const bool settled = preferred_ && around.now >= preferredFrom_;
    for (Held &held : grants_) {
        GrantAccount &account = held.account;
        if (account.phase() != GrantAccount::Phase::Open || account.witnessChanging()
            || account.unsignedTokens() + account.available() == 0) {
            continue;
        }
        const bool failing = held.ask.failures >= AsksBeforeReplacing || held.refusedForGood
                             || suspected_.contains(account.witness());
        const bool outranked = settled && account.witness() != *preferred_;
        if (!account.witness().empty() && !failing && !outranked) {
            continue;
        }
        const std::optional<Incarnation> next = chooseWitness(around.witnesses, account.witness());
        if (next) {
            replaceWitness(held, *next, around.now);
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
        return entry.second.until + settings_.reservePatience < now;
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

void GrantHolder::claimAhead(const Surroundings &around)
{
    const LedgerBudget *budget = around.fold.budget(workspace_);
    // While another holder goes short, only a need of our own justifies a claim: else
    // what was just returned for it would be claimed back.
    if (!budget || budget->remainder() == 0 || budget->unmet > 0) {
        return;
    }
    const Interval ahead = settings_.grantHorizon / ClaimAheadShare;
    if (leftTokens() < longRate_.over(ahead, around.now)) {
        claimFor(0, around);
    }
}

void GrantHolder::returnIdle(const Surroundings &around)
{
    const LedgerBudget *budget = around.fold.budget(workspace_);
    if (!budget) {
        return;
    }
    const uint64_t keptWindows = WindowsKept * windowTokens(around.now);
    const uint64_t horizon = longRate_.over(settings_.grantHorizon, around.now);
    const bool tooMuch = leftTokens() > IdleHorizons * horizon + settings_.minimumGrant;
    uint64_t idle = 0;
    if (budget->unmet > 0) {
        idle = lessOrZero(leftTokens(), keptWindows);
    } else if (tooMuch) {
        idle = leftTokens() - horizon - settings_.minimumGrant / 2;
    }
    for (auto held = grants_.rbegin(); held != grants_.rend(); ++held) {
        if (around.now < held->returnAgainAt) {
            continue;
        }
        const GrantAccount &account = held->account;
        // Without a witness nothing was opened: all of the grant is spent directly.
        const uint64_t kept =
                WindowsTooMany * windowTokens(around.now) + settings_.minimumGrant / 2;
        const uint64_t opened =
                account.witness().empty() ? 0 : lessOrZero(account.available(), kept);
        const uint64_t wanted = std::max(std::min(idle, account.left()), opened);
        idle = lessOrZero(idle, wanted);
        giveBack(*held, wanted, around.now);
    }
}

void GrantHolder::giveBack(Held &held, uint64_t tokens, Instant now)
{
    GrantAccount &account = held.account;
    if (tokens == 0 || account.phase() != GrantAccount::Phase::Open) {
        return;
    }
    held.returnAgainAt = now + settings_.claimPause;
    if (account.reserved() == 0 && tokens == account.left()) {
        close(held);
        return;
    }
    const uint64_t part = std::min(tokens, account.returnable());
    if (part == 0) {
        return;
    }
    account.giveUp(part);
    wire::GrantReturn &giveBack = *append().mutable_grant_return();
    giveBack.set_grant(account.id().text());
    giveBack.set_tokens(part);
}

void GrantHolder::close(Held &held)
{
    held.account.close();
    held.ask = Ask{};
    wire::GrantClose &close = *append().mutable_grant_close();
    close.set_grant(held.account.id().text());
    close.set_spent_tokens(held.account.spent());
}

void GrantHolder::closeExhausted()
{
    // An exhausted grant that stays open would read, to a holder that goes short, as
    // budget that remains elsewhere: it could never say that the budget is spent.
    for (Held &held : grants_) {
        if (held.account.phase() == GrantAccount::Phase::Open && held.account.exhausted()) {
            close(held);
        }
    }
    std::erase_if(grants_, [](const Held &held) {
        return held.account.phase() == GrantAccount::Phase::Ended && held.account.exhausted();
    });
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
