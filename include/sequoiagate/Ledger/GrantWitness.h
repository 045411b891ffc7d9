#ifndef SEQUOIAGATE_LEDGER_GRANTWITNESS_H
#define SEQUOIAGATE_LEDGER_GRANTWITNESS_H

/// The witness of other keepers' grants: signs spending windows, counts what it
/// signed, and seals a grant whose holder it believes dead. Pure.

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

using SignOutcome = std::variant<uint64_t, Verdict>; ///< signed in all, or why not

/// Not thread safe.
class GrantWitness
{
public:
    GrantWitness(Incarnation self, GrantSettings settings, GrantSafeguards safeguards = {});

    /// Signs up to \p want more than \p received of a grant.
    /// \param logHeardAt when this keeper last heard from the log: the longer ago,
    /// the wider the window.
    /// A refusal without a time to come back is final for this witness.
    SignOutcome sign(const GrantId &grant, const Incarnation &holder, uint64_t received,
                     uint64_t want, const LedgerFold &fold, Instant logHeardAt, Instant now);
    /// Stops signing for \p holder for ever, then asks to seal its grants.
    void onHolderSuspected(const Incarnation &holder, const LedgerFold &fold, Instant now);
    /// Forgets grants that ended, and seals those that a suspected holder names us
    /// witness of.
    void onFold(const LedgerFold &fold, Instant now);

    GrantActions takeActions();

    /// What was signed of \p grant in all, with the base; 0: nothing known.
    uint64_t signedTokens(const GrantId &grant) const;

private:
    /// What this witness knows of a grant that isn't in the log.
    struct Signed
    {
        uint64_t total = 0;
        bool sealSent = false; ///< since this witness last became the grant's
    };

    uint64_t openedTokens(uint64_t unsignedTokens, Interval silence) const;
    void seal(const LedgerGrant &grant);

    Incarnation self_;
    GrantSettings settings_;
    GrantSafeguards safeguards_;
    GrantActions actions_;
    std::unordered_map<GrantId, Signed> grants_;
    std::set<Incarnation> stopped_; ///< holders that nothing is signed for any more
};

} // namespace sequoiagate

#endif
