#include "sequoiagate/Ledger/GrantHolder.h"

#include <algorithm>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

// What a holder does on its own: claims, windows, witnesses and returns. GrantHolder.cpp contains
// what its callers request.

namespace sequoiagate {

namespace {

/// A new claim is sent when less than the horizon divided by this is left, so that it is confirmed
/// long before the windows are used up.
constexpr int ClaimAheadDivisor = 2;
/// More idle tokens than for this many horizons: demand has moved to other holders.
constexpr int IdleHorizons = 2;
/// Number of windows that a holder keeps when other holders lack tokens, or after the log was
/// unreachable and the witness had widened its windows.
constexpr int MinKeptWindows = 2;
/// With the log reachable, more than this many received but unspent windows would needlessly be in
/// doubt if the holder failed.
constexpr int MaxUnspentWindows = 6;
/// After this many requests without a response the witness is unreachable, whatever the membership
/// reports, as in a partition that separates only the two keepers.
constexpr int MaxFailedRequests = 4;
/// A witness that has been the best one for this long replaces the current one: the order of the
/// witnesses changes briefly whenever a host joins or leaves, and each replacement is a record.
constexpr Interval WitnessReplacementDelay = std::chrono::seconds(30);

uint64_t saturatingSub(uint64_t from, uint64_t amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

void GrantHolder::requestWindows(uint64_t tokens, Instant now)
{
    uint64_t missing = std::max(tokens, windowTokens(now));
    for (HeldGrant &held : grants_) {
        const uint64_t part = std::min(missing, held.account.unsignedTokens());
        if (part == 0 || !held.account.acceptsWindows() || held.permanentlyRefused) {
            continue;
        }
        missing -= part;
        if (held.windowRequest.deadline != Never) {
            continue;
        }
        held.windowRequest.deadline = now + settings_.windowRequestTimeout;
        RequestWindowAction request;
        request.witness = held.account.witness();
        request.grant = held.account.id();
        request.workspace = workspace_;
        request.receivedTokens = held.account.received();
        request.wantTokens = part;
        request.returnedTokens = held.account.returned();
        actions_.emplace_back(std::move(request));
    }
}

uint64_t GrantHolder::pendingClaimTokens(Instant now) const
{
    uint64_t sum = 0;
    for (const HeldGrant &held : grants_) {
        if (held.account.phase() == GrantAccount::Phase::Claimed
            && now < held.account.claimedAt() + ClaimTimeout) {
            sum += held.account.cap();
        }
    }
    return sum;
}

uint64_t GrantHolder::claimSize(uint64_t need, bool witnessed, uint64_t remainder,
                                Instant now) const
{
    const Interval horizon = witnessed ? settings_.grantHorizon : settings_.unwitnessedHorizon;
    const uint64_t wanted =
            std::max(saturatingSub(grantDemand_.expectedTokens(horizon, now), unreservedTokens()),
                     settings_.minimumGrant);
    // A share of the remainder, so that claims become smaller towards the end and the first claimer
    // doesn't get all of the last tokens; but never less than what is needed now.
    const auto share =
            static_cast<uint64_t>(settings_.shareOfRemainder * static_cast<double>(remainder));
    return std::max(std::min(wanted, share), need);
}

void GrantHolder::submitClaim(uint64_t need, const Context &context)
{
    const LedgerBudget *budget = context.fold.budget(workspace_);
    if (!budget || budget->configVersion == 0 || context.now < nextClaimAt_
        || pendingClaimTokens(context.now) > 0) {
        return;
    }
    const std::optional<Incarnation> witness = chooseWitness(context.witnesses, Incarnation());
    // A claim for more than remains will be refused; it is sent nevertheless, since the fold then
    // shows the unmet demand, and the other holders return their idle tokens.
    const uint64_t size = claimSize(need, witness.has_value(), budget->remainder(), context.now);
    if (size == 0) {
        return;
    }
    nextClaimAt_ = context.now + settings_.claimPause;
    GrantAccount account(nextGrantId(), size, witness.value_or(Incarnation()), context.now);
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
    // Derived instead of random: the incarnation is random already, and this makes a run
    // reproducible.
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
            && !excludedWitnesses_.contains(candidate)
            && !suspectedWitnesses_.contains(candidate)) {
            return candidate;
        }
    }
    return std::nullopt;
}

void GrantHolder::replaceWitness(HeldGrant &held, const Incarnation &next, Instant now)
{
    const uint64_t allowance = MaxUnspentWindows * windowTokens(now);
    held.account.changeWitness(next, allowance);
    held.windowRequest = WindowRequest{};
    wire::GrantRewitness &change = *append().mutable_grant_rewitness();
    change.set_grant(held.account.id().text());
    change.set_received_tokens(held.account.received());
    change.set_witness(next.text());
}

void GrantHolder::updatePreferredWitness(const Context &context)
{
    std::optional<Incarnation> best = chooseWitness(context.witnesses, Incarnation());
    if (best != preferredWitness_) {
        preferredWitness_ = std::move(best);
        preferredEffectiveAt_ = context.now + WitnessReplacementDelay;
    }
}

void GrantHolder::replaceWitnesses(const Context &context)
{
    // After a failure the only remaining witness may be in another failure domain. If it were kept
    // once the failed one is replaced, the next partition would separate the holder from its
    // windows, and it would refuse requests despite a full grant.
    const bool isPreferredStable = preferredWitness_ && context.now >= preferredEffectiveAt_;
    for (HeldGrant &held : grants_) {
        GrantAccount &account = held.account;
        if (account.phase() != GrantAccount::Phase::Open || account.witnessChangePending()
            || account.unsignedTokens() + account.available() == 0) {
            continue;
        }
        const bool hasFailed = held.windowRequest.failures >= MaxFailedRequests
                               || held.permanentlyRefused
                               || suspectedWitnesses_.contains(account.witness());
        const bool isOutranked = isPreferredStable && account.witness() != *preferredWitness_;
        if (!account.witness().empty() && !hasFailed && !isOutranked) {
            continue;
        }
        const std::optional<Incarnation> next = chooseWitness(context.witnesses, account.witness());
        if (next) {
            replaceWitness(held, *next, context.now);
        }
    }
}

void GrantHolder::claimAheadOfDemand(const Context &context)
{
    const LedgerBudget *budget = context.fold.budget(workspace_);
    // While another holder lacks tokens, only an immediate need justifies a claim: otherwise this
    // holder would claim back what was just returned for the other one.
    if (!budget || budget->remainder() == 0 || budget->unmetTokens > 0) {
        return;
    }
    const Interval ahead = settings_.grantHorizon / ClaimAheadDivisor;
    if (unreservedTokens() < grantDemand_.expectedTokens(ahead, context.now)) {
        submitClaim(0, context);
    }
}

void GrantHolder::returnIdleTokens(const Context &context)
{
    const LedgerBudget *budget = context.fold.budget(workspace_);
    if (!budget) {
        return;
    }
    const uint64_t keptWindows = MinKeptWindows * windowTokens(context.now);
    const uint64_t horizon = grantDemand_.expectedTokens(settings_.grantHorizon, context.now);
    const bool tooMuch = unreservedTokens() > IdleHorizons * horizon + settings_.minimumGrant;
    uint64_t idle = 0;
    if (budget->unmetTokens > 0) {
        idle = saturatingSub(unreservedTokens(), keptWindows);
    } else if (tooMuch) {
        idle = unreservedTokens() - horizon - settings_.minimumGrant / 2;
    }
    for (auto held = grants_.rbegin(); held != grants_.rend(); ++held) {
        if (context.now < held->nextReturnAt) {
            continue;
        }
        const GrantAccount &account = held->account;
        // Without a witness no window was widened: the whole grant is spent directly.
        const uint64_t kept =
                MaxUnspentWindows * windowTokens(context.now) + settings_.minimumGrant / 2;
        const uint64_t widened =
                account.witness().empty() ? 0 : saturatingSub(account.available(), kept);
        const uint64_t wanted = std::max(std::min(idle, account.unreserved()), widened);
        idle = saturatingSub(idle, wanted);
        returnTokens(*held, wanted, context.now);
    }
}

void GrantHolder::returnTokens(HeldGrant &held, uint64_t tokens, Instant now)
{
    GrantAccount &account = held.account;
    if (tokens == 0 || account.phase() != GrantAccount::Phase::Open) {
        return;
    }
    held.nextReturnAt = now + settings_.claimPause;
    if (account.reserved() == 0 && tokens == account.unreserved()) {
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

void GrantHolder::close(HeldGrant &held)
{
    held.account.close();
    held.windowRequest = WindowRequest{};
    wire::GrantClose &close = *append().mutable_grant_close();
    close.set_grant(held.account.id().text());
    close.set_spent_tokens(held.account.spent());
}

void GrantHolder::closeExhausted()
{
    // An exhausted grant that stays open would look, to a holder that lacks tokens, like budget
    // held elsewhere: it could never report that the budget is spent.
    for (HeldGrant &held : grants_) {
        if (held.account.phase() == GrantAccount::Phase::Open && held.account.exhausted()) {
            close(held);
        }
    }
    std::erase_if(grants_, [](const HeldGrant &held) {
        return held.account.phase() == GrantAccount::Phase::Ended && held.account.exhausted();
    });
}

} // namespace sequoiagate
