#ifndef UNITTESTS_SUPPORT_ESCROWSEARCH_H
#define UNITTESTS_SUPPORT_ESCROWSEARCH_H

/// Every run of one small grant: a holder and two witnesses around a log, each of
/// which may be paused at any step; windows and appends lost, late and doubled.

#include <cstdint>
#include <string>
#include <vector>

#include "sequoiagate/Ledger/Safeguards.h"

namespace sequoiagate {

/// How often each kind of step may come in one run. All faults at once make too many
/// states; faults that meet are searched together.
struct EscrowSearchBounds
{
    std::size_t records = 0; ///< in the log, after the claim
    int witnessChanges = 0;
    int returns = 0;
    int closes = 0;
    int lostAnswers = 0; ///< appends that stand and are sent again
};

struct EscrowSearchResult
{
    std::size_t states = 0;
    /// The shortest run after which more could be spent than the log holds as given
    /// out; empty: there is none.
    std::vector<std::string> trace;
};

/// Breadth first over all states of a grant of four tokens, which is the whole budget.
EscrowSearchResult searchEscrow(const EscrowSearchBounds &bounds, GrantSafeguards grants,
                                LedgerSafeguards ledger);

} // namespace sequoiagate

#endif
