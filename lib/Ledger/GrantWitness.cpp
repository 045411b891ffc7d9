#include "sequoiagate/Ledger/GrantWitness.h"

#include <algorithm>
#include <utility>

namespace sequoiagate {

namespace {

Verdict refuseForNow(std::string detail, Instant comeBackAt)
{
    return {Execution::NotRun, Reason::BudgetUnreachable, std::move(detail), comeBackAt};
}

Verdict refusePermanently(std::string detail)
{
    return {Execution::NotRun, Reason::BudgetUnreachable, std::move(detail), std::nullopt};
}

} // namespace

GrantWitness::GrantWitness(Incarnation self, GrantSettings settings, GrantSafeguards safeguards)
    : self_(std::move(self)), settings_(settings), safeguards_(safeguards)
{}

SignOutcome GrantWitness::sign(const GrantId &grant, const Incarnation &holder, uint64_t received,
                               uint64_t want, const LedgerFold &fold, Instant logHeardAt,
                               Instant now)
{
    const LedgerGrant *known = fold.grant(grant);
    if (!known) {
        return refuseForNow("the grant hasn't been read from the log yet",
                            now + settings_.windowRequestTimeout);
    }
    if (known->ended) {
        return refusePermanently("the grant has ended");
    }
    if (known->holder != holder) {
        return refusePermanently("the grant is held by another keeper");
    }
    if (known->witness != self_) {
        return refuseForNow("another keeper is the grant's witness",
                            now + settings_.windowRequestTimeout);
    }
    // Nothing is signed again for a holder that was once considered failed, even if it responds:
    // the pending seal states what was signed, and must remain true.
    const bool stopped = stoppedHolders_.contains(holder);
    if (stopped && safeguards_.witnessStopsSigningFirst) {
        return refusePermanently("the holder was taken for dead");
    }
    SignedGrant &count = grants_[grant];
    // A witness that was replaced and named again keeps its count: windows that it signed before
    // may still be in transit to the holder, which accepts them, as it is the witness.
    count.total = std::max(count.total, known->baseSigned);
    const uint64_t unsignedTokens = known->tokens > received ? known->tokens - received : 0;
    const uint64_t outageTokens = outageWindowTokens(unsignedTokens, now - logHeardAt);
    const uint64_t signedTotal = received + std::min(unsignedTokens, std::max(want, outageTokens));
    count.total = std::max(count.total, signedTotal);
    return count.total;
}

uint64_t GrantWitness::outageWindowTokens(uint64_t unsignedTokens, Interval sinceLogHeard) const
{
    if (sinceLogHeard <= settings_.logSilentAfter) {
        return 0;
    }
    if (sinceLogHeard >= settings_.openFullAfter) {
        return unsignedTokens;
    }
    using FloatSeconds = std::chrono::duration<double>;
    const double share = FloatSeconds(sinceLogHeard - settings_.logSilentAfter).count()
                         / FloatSeconds(settings_.openFullAfter - settings_.logSilentAfter).count();
    return static_cast<uint64_t>(share * static_cast<double>(unsignedTokens));
}

uint64_t GrantWitness::signedTokens(const GrantId &grant) const
{
    const auto found = grants_.find(grant);
    return found == grants_.end() ? 0 : found->second.total;
}

void GrantWitness::seal(const LedgerGrant &grant)
{
    SignedGrant &count = grants_[grant.id];
    if (count.sealSent) {
        return;
    }
    count.sealSent = true;
    count.total = std::max(count.total, grant.baseSigned);
    AppendAction action;
    wire::GrantSeal &seal = *action.record.mutable_grant_seal();
    seal.set_grant(grant.id.text());
    seal.set_signed_tokens(count.total);
    actions_.emplace_back(std::move(action));
}

void GrantWitness::onHolderSuspected(const Incarnation &holder, const LedgerFold &fold,
                                     Instant /*now*/)
{
    stoppedHolders_.insert(holder);
    for (const LedgerGrant *grant : fold.grantsWitnessedBy(self_)) {
        if (grant->holder == holder) {
            seal(*grant);
        }
    }
}

void GrantWitness::onFold(const LedgerFold &fold, Instant /*now*/)
{
    std::erase_if(grants_, [&fold](const auto &entry) {
        const LedgerGrant *grant = fold.grant(entry.first);
        return !grant || grant->ended;
    });
    for (auto &[id, count] : grants_) {
        if (fold.grant(id)->witness != self_) {
            count.sealSent = false;
            count.total = safeguards_.witnessKeepsCount ? count.total : 0;
        }
    }
    for (const LedgerGrant *grant : fold.grantsWitnessedBy(self_)) {
        if (stoppedHolders_.contains(grant->holder)) {
            seal(*grant);
        }
    }
}

GrantActions GrantWitness::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace sequoiagate
