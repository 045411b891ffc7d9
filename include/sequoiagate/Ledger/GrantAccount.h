#ifndef SEQUOIAGATE_LEDGER_GRANTACCOUNT_H
#define SEQUOIAGATE_LEDGER_GRANTACCOUNT_H

/// A holder's local accounting of one grant: how much of it may be spent now. Implements the rules
/// for what a holder may do to a grant; GrantHolder decides when to do it.

#include <cstdint>
#include <optional>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Ledger/LedgerFold.h"

namespace sequoiagate {

/// Not thread safe.
class GrantAccount
{
public:
    enum class Phase {
        Claimed, ///< the claim isn't confirmed by the log yet: nothing may be spent
        Open,
        Closing, ///< the close is pending: nothing more may be spent
        Ended,   ///< sealed or attested: the tokens received until then may still be spent
    };

    GrantAccount(GrantId id, uint64_t tokens, Incarnation witness, Instant now);

    const GrantId &id() const { return id_; }
    Phase phase() const { return phase_; }
    const Incarnation &witness() const { return witness_; }
    Instant claimedAt() const { return claimedAt_; }
    uint64_t cap() const { return cap_; }
    uint64_t received() const { return received_; }
    uint64_t returned() const { return returned_; }
    uint64_t spent() const { return spent_; }
    uint64_t reserved() const { return reserved_; }
    bool witnessChangePending() const { return pendingWitness_.has_value(); }

    /// The maximum that may be spent in total, by what is known now.
    uint64_t spendable() const;
    /// Spendable tokens that are neither reserved nor spent.
    uint64_t available() const;
    /// Tokens that aren't spendable yet but may be signed by the witness.
    uint64_t unsignedTokens() const;
    /// All tokens that are neither reserved nor spent, signed or not.
    uint64_t unreserved() const;
    /// Whether windows of the current witness are accepted.
    bool acceptsWindows() const;
    /// Whether nothing is reserved and nothing is left to spend.
    bool exhausted() const;

    /// \pre tokens <= available()
    void draw(uint64_t tokens);
    /// Ends a reservation of \p drawn tokens, of which \p spentTokens were spent.
    void settle(uint64_t drawn, uint64_t spentTokens);
    /// \returns whether the window was accepted. \p evenWhileChanging accepts it during a change of
    /// witness, which the safeguard holderStopsWindowsFirst forbids.
    bool acceptWindow(const Incarnation &witness, uint64_t signedTotal, bool allowDuringChange);

    /// The maximum that can be relinquished: neither reserved tokens nor tokens below the minimum
    /// that the log accepts for a return.
    uint64_t returnable() const;
    /// Permanently stops spending \p tokens of the grant. The caller appends the return next.
    void relinquish(uint64_t tokens);
    /// Stops accepting windows and limits spending to the received tokens; for a grant without a
    /// witness these are the tokens reserved or spent plus \p allowance. The caller appends the
    /// rewitness with received() next.
    /// \pre phase() == Open, !witnessChangePending()
    void changeWitness(const Incarnation &next, uint64_t allowance);
    /// Permanently stops spending. The caller appends the close with spent() next.
    /// \pre reserved() == 0
    void close();
    /// Updates the account from the grant's state in the log; nullptr: the log doesn't have the
    /// grant yet or any more.
    void updateFromLog(const LedgerGrant *grant);

private:
    GrantId id_;
    Phase phase_ = Phase::Claimed;
    Incarnation witness_;
    std::optional<Incarnation> pendingWitness_;
    Instant claimedAt_;
    uint64_t cap_ = 0;      ///< granted, less what was relinquished
    uint64_t received_ = 0; ///< the highest total of any window, including the base
    uint64_t base_ = 0;     ///< the log accepts no return that leaves less than this
    uint64_t returned_ = 0;
    uint64_t spent_ = 0;
    uint64_t reserved_ = 0;
};

} // namespace sequoiagate

#endif
