#ifndef SEQUOIAGATE_LEDGER_GRANTACCOUNT_H
#define SEQUOIAGATE_LEDGER_GRANTACCOUNT_H

/// One grant in its holder's books: what may be spent of it now. The rules of
/// what a holder may do to a grant stand here; when to do it is GrantHolder's.

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
        Claimed, ///< the claim isn't read back yet: nothing may be spent
        Open,
        Closing, ///< the close is on its way: nothing more may be spent
        Ended,   ///< sealed or attested: what was received may still be spent
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
    bool witnessChangePending() const { return nextWitness_.has_value(); }

    /// The most that may ever be spent with what is known now.
    uint64_t spendable() const;
    /// Spendable, not reserved nor spent.
    uint64_t available() const;
    /// Not yet spendable, but the witness may sign it.
    uint64_t unsignedTokens() const;
    /// All that isn't reserved nor spent, signed or not.
    uint64_t left() const;
    /// May windows be taken from the present witness?
    bool takesWindows() const;
    /// Has it nothing left that could be spent, and nothing reserved?
    bool exhausted() const;

    /// \pre tokens <= available()
    void draw(uint64_t tokens);
    /// Ends a draw: \p spentTokens of it are gone.
    void settle(uint64_t drawn, uint64_t spentTokens);
    /// \returns whether the window was taken. \p evenWhileChanging is what the
    /// safeguard holderStopsWindowsFirst forbids.
    bool acceptWindow(const Incarnation &witness, uint64_t signedTotal, bool evenWhileChanging);

    /// The most that can be given up without touching what is reserved or what the
    /// log lets no return go under.
    uint64_t returnable() const;
    /// Stops spending \p tokens of it for ever. The caller appends the return next.
    /// \pre tokens <= returnable()
    void relinquish(uint64_t tokens);
    /// Stops taking windows; spending stops at what was received, which of an
    /// unwitnessed grant is what is drawn and \p allowance. The caller appends the
    /// rewitness with received() next. \pre phase() == Open, !witnessChanging()
    void changeWitness(const Incarnation &next, uint64_t allowance);
    /// Stops spending for ever. The caller appends the close with spent() next.
    /// \pre reserved() == 0
    void close();
    /// Takes over what the log says of the grant; nullptr: nothing (any more).
    void updateFromLog(const LedgerGrant *grant);

private:
    GrantId id_;
    Phase phase_ = Phase::Claimed;
    Incarnation witness_;
    std::optional<Incarnation> nextWitness_;
    Instant claimedAt_;
    uint64_t cap_ = 0;      ///< granted, less what was given up
    uint64_t received_ = 0; ///< the highest total that a window brought, with the base
    uint64_t base_ = 0;     ///< what the log lets no return go under
    uint64_t returned_ = 0;
    uint64_t spent_ = 0;
    uint64_t reserved_ = 0;
};

} // namespace sequoiagate

#endif
