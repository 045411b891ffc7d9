#include "sequoiagate/Ledger/GrantHolder.h"

#include <algorithm>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

// What a holder does on its own account: claims, windows, witnesses, returns. What its
// callers ask of it stands in GrantHolder.cpp.

namespace sequoiagate {

namespace {

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

uint64_t lessOrZero(uint64_t from, uint64_t amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

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
        RequestWindowAction ask;
        ask.witness = held.account.witness();
        ask.grant = held.account.id();
        ask.workspace = workspace_;
        ask.receivedTokens = held.account.received();
        ask.wantTokens = part;
        ask.returnedTokens = held.account.returned();
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
    const uint64_t wanted = std::max(lessOrZero(longRate_.over(horizon, now), unreservedTokens()),
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
        if (account.phase() != GrantAccount::Phase::Open || account.witnessChangePending()
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

void GrantHolder::claimAhead(const Surroundings &around)
{
    const LedgerBudget *budget = around.fold.budget(workspace_);
    // While another holder goes short, only a need of our own justifies a claim: else
    // what was just returned for it would be claimed back.
    if (!budget || budget->remainder() == 0 || budget->unmetTokens > 0) {
        return;
    }
    const Interval ahead = settings_.grantHorizon / ClaimAheadShare;
    if (unreservedTokens() < longRate_.over(ahead, around.now)) {
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
    const bool tooMuch = unreservedTokens() > IdleHorizons * horizon + settings_.minimumGrant;
    uint64_t idle = 0;
    if (budget->unmetTokens > 0) {
        idle = lessOrZero(unreservedTokens(), keptWindows);
    } else if (tooMuch) {
        idle = unreservedTokens() - horizon - settings_.minimumGrant / 2;
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
    account.relinquish(part);
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

} // namespace sequoiagate
