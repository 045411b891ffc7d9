#ifndef SEQUOIAGATE_LEDGER_ALLOTMENTTABLE_H
#define SEQUOIAGATE_LEDGER_ALLOTMENTTABLE_H

/// How the budgets are divided among holders, as recorded in the store: for each workspace and
/// holder, the tokens that the holder owns or claims. Only a holder's newest row counts.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// A holder's share of a workspace's budget, and an upper bound on its use over time.
struct Allotment
{
    uint64_t tokens = 0;  ///< owned or claimed
    uint64_t maxUsed = 0; ///< upper bound on used tokens when the holder's last batch was composed
    uint64_t usePerSecond = 0; ///< additional tokens that may be used per second from then on

    /// Upper bound on the used tokens \p elapsed after the holder composed its last batch.
    /// \pre elapsed >= 0
    uint64_t maxUsedAfter(Interval elapsed) const;

    friend bool operator==(const Allotment &, const Allotment &) = default;
};

/// A row of the store: one holder's share of one workspace's budget.
struct AllotmentRow
{
    WorkspaceId workspace;
    Incarnation holder;
    Allotment allotment;
};

/// The value of a row and its offset in the store.
struct StoredAllotment
{
    Allotment allotment;
    uint64_t offset = 0;
};

/// Not thread safe.
class AllotmentTable
{
public:
    /// Applies a row. A row with a lower offset than the holder's known row is ignored, so rows may
    /// be duplicated and out of order.
    void set(const AllotmentRow &row, uint64_t offset);
    /// Tokens that all holders together own or claim.
    uint64_t allotted(const WorkspaceId &workspace) const;
    /// Upper bound on the tokens used by all holders together, according to their rows.
    uint64_t used(const WorkspaceId &workspace) const;
    std::optional<StoredAllotment> find(const WorkspaceId &workspace,
                                        const Incarnation &holder) const;

    /// The allotments of \p holder, one row per workspace.
    std::vector<AllotmentRow> rowsOf(const Incarnation &holder) const;

private:
    struct WorkspaceAllotments
    {
        uint64_t total = 0;
        uint64_t used = 0;
        std::map<Incarnation, StoredAllotment> holders;
    };

    std::unordered_map<WorkspaceId, WorkspaceAllotments> workspaces_;
};

} // namespace sequoiagate

#endif
