#include "sequoiagate/Ledger/GrantAccount.h"

#include <algorithm>
#include <cassert>

namespace sequoiagate {

static uint64_t lessOrZero(uint64_t from, uint64_t amount)
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
    const bool direct = witness_.empty() && !nextWitness_;
    return direct ? cap_ : std::min(received_, cap_);
}

uint64_t GrantAccount::available() const
{
    return lessOrZero(spendable(), spent_ + reserved_);
}

uint64_t GrantAccount::unsignedTokens() const
{
    return phase_ == Phase::Open ? cap_ - spendable() : 0;
}

uint64_t GrantAccount::left() const
{
    return available() + unsignedTokens();
}

bool GrantAccount::takesWindows() const
{
    return phase_ == Phase::Open && !witness_.empty() && !nextWitness_;
}

bool GrantAccount::exhausted() const
{
    return phase_ != Phase::Claimed && reserved_ == 0 && left() == 0;
}

void GrantAccount::draw(uint64_t tokens)
{
    assert(tokens <= available() && "only what the windows cover is drawn");
    reserved_ += tokens;
}

void GrantAccount::settle(uint64_t drawn, uint64_t spentTokens)
{
    assert(drawn <= reserved_ && spentTokens <= drawn && "a draw ends once, within its size");
    reserved_ -= drawn;
    spent_ += spentTokens;
}

bool GrantAccount::acceptWindow(const Incarnation &witness, uint64_t signedTotal,
                                bool evenWhileChanging)
{
    if (phase_ != Phase::Open || witness != witness_) {
        return false;
    }
    // Once a rewitness is on its way, the new witness counts from what it says. A
    // window from the old one, signed before or after, wouldn't be in that count, and
    // a later seal would refund what it let us spend.
    if (nextWitness_ && !evenWhileChanging) {
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
    return lessOrZero(cap_, std::max(base_, spent_ + reserved_));
}

void GrantAccount::relinquish(uint64_t tokens)
{
    assert(tokens <= returnable() && "what is reserved can't be given up");
    // The cap falls before the return is appended: once the log has it, another holder
    // may spend the same tokens.
    cap_ -= tokens;
    returned_ += tokens;
    received_ = std::min(received_, cap_);
}

void GrantAccount::changeWitness(const Incarnation &next, uint64_t allowance)
{
    assert(phase_ == Phase::Open && !nextWitness_ && "one change of witness at a time");
    if (witness_.empty()) {
        received_ = std::min(cap_, spent_ + reserved_ + allowance);
    }
    nextWitness_ = next;
    base_ = std::max(base_, received_);
}

void GrantAccount::close()
{
    assert(reserved_ == 0 && "a grant is closed when nothing is drawn on it");
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
        // What the end counted as spent is debited for good; an attestation may have
        // counted less than what we received.
        received_ = spendable();
        if (grant) {
            received_ = std::min(received_, grant->baseSigned);
        }
        cap_ = std::min(cap_, received_);
        phase_ = phase_ == Phase::Closing ? Phase::Closing : Phase::Ended;
        return;
    }
    if (nextWitness_ && grant->witness == *nextWitness_) {
        witness_ = grant->witness;
        nextWitness_.reset();
    }
}

} // namespace sequoiagate
