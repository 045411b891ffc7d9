#ifndef SEQUOIAGATE_LEDGER_GRANTWITNESS_H
#define SEQUOIAGATE_LEDGER_GRANTWITNESS_H

/// The witness of other keepers' grants: signs spending windows, counts the tokens it has signed,
/// and seals a grant whose holder it believes to have failed. Pure.

#include <cstdint>
#include <set>
#include <unordered_map>
#include <variant>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Ledger/GrantActions.h"
#include "sequoiagate/Ledger/GrantHolder.h"
#include "sequoiagate/Ledger/LedgerFold.h"

namespace sequoiagate {

using SignOutcome =
        std::variant<uint64_t, Verdict>; ///< tokens signed in total, or the reason for the refusal

/// Not thread safe.
class GrantWitness
{
public:
    GrantWitness(Incarnation self, GrantSettings settings, GrantSafeguards safeguards = {});

    /// Signs up to \p want tokens of a grant beyond \p received.
    /// \param logHeardAt when this keeper last received data from the log: the longer ago, the
    /// wider the window.
    /// A refusal without a time to retry is final for this witness.
    SignOutcome sign(const GrantId &grant, const Incarnation &holder, uint64_t received,
                     uint64_t want, const LedgerFold &fold, Instant logHeardAt, Instant now);
    /// Permanently stops signing for \p holder, then requests seals for its grants.
    void onHolderSuspected(const Incarnation &holder, const LedgerFold &fold, Instant now);
    /// Removes grants that have ended, and seals those for which a suspected holder has named this
    /// keeper as the witness.
    void onFold(const LedgerFold &fold, Instant now);

    GrantActions takeActions();

    /// Tokens of \p grant signed in total, including the base; 0 if nothing is known.
    uint64_t signedTokens(const GrantId &grant) const;

private:
    /// This witness's state of a grant, which the log doesn't hold.
    struct SignedGrant
    {
        uint64_t total = 0;
        bool sealSent = false; ///< since this keeper last became the grant's witness
    };

    uint64_t outageWindowTokens(uint64_t unsignedTokens, Interval sinceLogHeard) const;
    void seal(const LedgerGrant &grant);

    Incarnation self_;
    GrantSettings settings_;
    GrantSafeguards safeguards_;
    GrantActions actions_;
    std::unordered_map<GrantId, SignedGrant> grants_;
    std::set<Incarnation> stoppedHolders_; ///< nothing is signed for these any more
};

} // namespace sequoiagate

#endif
