#include "sequoiagate/Ledger/GrantWitness.h"

#include <algorithm>
#include <utility>

namespace sequoiagate {

namespace {

Verdict notNow(std::string detail, Instant comeBackAt)
{
    return {Execution::NotRun, Reason::BudgetUnreachable, std::move(detail), comeBackAt};
}

Verdict never(std::string detail)
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
        return notNow("the grant hasn't been read from the log yet", now + settings_.askTimeout);
    }
    if (known->ended) {
        return never("the grant has ended");
    }
    if (known->holder != holder) {
        return never("the grant is held by another keeper");
    }
    if (known->witness != self_) {
        return notNow("another keeper is the grant's witness", now + settings_.askTimeout);
    }
    // Whoever is taken for dead once is never signed for again, even if it answers: the
    // seal on its way says what was signed, and must stay true.
    const bool stopped = stopped_.contains(holder);
    if (stopped && safeguards_.witnessStopsSigningFirst) {
        return never("the holder was taken for dead");
    }
    Signed &count = grants_[grant];
    // A witness that was replaced and named again keeps its count: windows of its first
    // time may still be under way to the holder, which takes them as it is the witness.
    count.total = std::max(count.total, known->baseSigned);
    const uint64_t unsignedTokens = known->tokens > received ? known->tokens - received : 0;
    const uint64_t opened = openedTokens(unsignedTokens, now - logHeardAt);
    const uint64_t wanted = received + std::min(unsignedTokens, std::max(want, opened));
    count.total = std::max(count.total, wanted);
    return count.total;
}

uint64_t GrantWitness::openedTokens(uint64_t unsignedTokens, Interval silence) const
{
    if (silence <= settings_.logSilentAfter) {
        return 0;
    }
    if (silence >= settings_.openFullAfter) {
        return unsignedTokens;
    }
    using FloatSeconds = std::chrono::duration<double>;
    const double share = FloatSeconds(silence - settings_.logSilentAfter).count()
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
    Signed &count = grants_[grant.id];
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
    stopped_.insert(holder);
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
            count.total = safeguards_.witnessKeepsItsCount ? count.total : 0;
        }
    }
    for (const LedgerGrant *grant : fold.grantsWitnessedBy(self_)) {
        if (stopped_.contains(grant->holder)) {
            seal(*grant);
        }
    }
}

GrantActions GrantWitness::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace sequoiagate
