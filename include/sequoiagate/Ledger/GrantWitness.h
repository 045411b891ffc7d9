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
    GrantWitness(Incarnation self, GrantSettings settings);

    /// Signs up to \p want more than \p received of a grant.
    /// \param logHeardAt when this keeper last heard from the log: the longer ago,
    /// the wider the window.
    SignOutcome sign(const GrantId &grant, const Incarnation &holder, uint64_t received,
                     uint64_t want, const LedgerFold &fold, Instant logHeardAt, Instant now);
    /// Stops signing for \p holder for ever, then asks to seal its grants.
    void onHolderSuspected(const Incarnation &holder, const LedgerFold &fold, Instant now);
    void onFold(const LedgerFold &fold, Instant now);

    GrantActions takeActions();

private:
    Incarnation self_;
    GrantSettings settings_;
    GrantActions actions_;
};

} // namespace sequoiagate

#endif
