#include "sequoiagate/Ledger/GrantAccount.h"

#include <algorithm>
#include <cassert>

namespace sequoiagate {

static uint64_t saturatingSub(uint64_t from, uint64_t amount)
{
    return from > amount ? from - amount : 0;
}

GrantAccount::GrantAccount(GrantId id, uint64_t tokens, Incarnation witness, Instant now)
    : id_(std::move(id)), witness_(std::move(witness)), claimedAt_(now), cap_(tokens)
{}

uint64_t GrantAccount::spendable() const
{
    if (phase_ == Phase::Claimed) {
        return 0;
    }
    if (phase_ == Phase::Closing) {
        return spent_;
    }
    const bool unwitnessed = witness_.empty() && !pendingWitness_;
    return unwitnessed ? cap_ : std::min(received_, cap_);
}

uint64_t GrantAccount::available() const
{
    return saturatingSub(spendable(), spent_ + reserved_);
}

uint64_t GrantAccount::unsignedTokens() const
{
    return phase_ == Phase::Open ? cap_ - spendable() : 0;
}

uint64_t GrantAccount::unreserved() const
{
    return available() + unsignedTokens();
}

bool GrantAccount::acceptsWindows() const
{
    return phase_ == Phase::Open && !witness_.empty() && !pendingWitness_;
}

bool GrantAccount::exhausted() const
{
    return phase_ != Phase::Claimed && reserved_ == 0 && unreserved() == 0;
}

void GrantAccount::draw(uint64_t tokens)
{
    assert(tokens <= available() && "windows must cover the drawn tokens");
    reserved_ += tokens;
}

void GrantAccount::settle(uint64_t drawn, uint64_t spentTokens)
{
    assert(drawn <= reserved_ && spentTokens <= drawn
           && "a draw is settled once, with at most its tokens");
    reserved_ -= drawn;
    spent_ += spentTokens;
}

bool GrantAccount::acceptWindow(const Incarnation &witness, uint64_t signedTotal,
                                bool allowDuringChange)
{
    if (phase_ != Phase::Open || witness != witness_) {
        return false;
    }
    // While a rewitness is pending, the new witness counts from the total reported in it. A window
    // from the old witness, signed before or after, would be missing in that count, and a later
    // seal would refund the tokens spent from it.
    if (pendingWitness_ && !allowDuringChange) {
        return false;
    }
    received_ = std::max(received_, signedTotal);
    return true;
}

uint64_t GrantAccount::returnable() const
{
    if (phase_ != Phase::Open) {
        return 0;
    }
    return saturatingSub(cap_, std::max(base_, spent_ + reserved_));
}

void GrantAccount::relinquish(uint64_t tokens)
{
    assert(tokens <= returnable() && "reserved tokens can't be relinquished");
    // The cap is lowered before the return is appended: once the return is in the log, another
    // holder may spend the same tokens.
    cap_ -= tokens;
    returned_ += tokens;
    received_ = std::min(received_, cap_);
}

void GrantAccount::changeWitness(const Incarnation &next, uint64_t allowance)
{
    assert(phase_ == Phase::Open && !pendingWitness_
           && "only one change of witness may be pending");
    if (witness_.empty()) {
        received_ = std::min(cap_, spent_ + reserved_ + allowance);
    }
    pendingWitness_ = next;
    base_ = std::max(base_, received_);
}

void GrantAccount::close()
{
    assert(reserved_ == 0 && "a grant with reserved tokens can't be closed");
    phase_ = Phase::Closing;
}

void GrantAccount::updateFromLog(const LedgerGrant *grant)
{
    if (phase_ == Phase::Claimed) {
        if (!grant) {
            return;
        }
        phase_ = Phase::Open;
        witness_ = grant->witness;
        base_ = grant->baseSigned;
    }
    if (!grant || grant->ended) {
        // Tokens counted as spent at the end of the grant are debited permanently; an attestation
        // may have counted fewer than were received.
        received_ = spendable();
        if (grant) {
            received_ = std::min(received_, grant->baseSigned);
        }
        cap_ = std::min(cap_, received_);
        phase_ = phase_ == Phase::Closing ? Phase::Closing : Phase::Ended;
        return;
    }
    if (pendingWitness_ && grant->witness == *pendingWitness_) {
        witness_ = grant->witness;
        pendingWitness_.reset();
    }
}

} // namespace sequoiagate
