#ifndef SEQUOIAGATE_LEDGER_ALLOTMENTTABLE_H
#define SEQUOIAGATE_LEDGER_ALLOTMENTTABLE_H

/// What the store says of how budgets are divided: for each workspace and holder the
/// tokens that the holder has, or claims. The newest row of a holder counts.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// What a holder has of a workspace's budget, and how much of it may be used by when.
struct Allotment
{
    uint64_t tokens = 0;       ///< that it has, or claims
    uint64_t maxUsed = 0;      ///< of these, when its last batch was composed
    uint64_t usePerSecond = 0; ///< that may be used beyond that, from then on

    /// The most that is used \p elapsed after the holder composed its last batch.
    /// \pre elapsed >= 0
    uint64_t usedAfter(Interval elapsed) const;

    friend bool operator==(const Allotment &, const Allotment &) = default;
};

/// One holder's part of one workspace's budget, as a row of the store.
struct AllotmentRow
{
    WorkspaceId workspace;
    Incarnation holder;
    Allotment allotment;
};

/// A row's value with the place where it stands.
struct WrittenAllotment
{
    Allotment allotment;
    uint64_t offset = 0;
};

/// Not thread safe.
class AllotmentTable
{
public:
    /// Takes a row in. One that stands before the holder's known row is ignored, so rows
    /// may come twice and out of order.
    void set(const AllotmentRow &row, uint64_t offset);
    /// Tokens that all holders together have or claim.
    uint64_t allotted(const WorkspaceId &workspace) const;
    /// Tokens that all holders together have used at most, as their rows say.
    uint64_t used(const WorkspaceId &workspace) const;
    std::optional<WrittenAllotment> of(const WorkspaceId &workspace,
                                       const Incarnation &holder) const;

    /// What \p holder has, by workspace.
    std::vector<AllotmentRow> rowsOf(const Incarnation &holder) const;

private:
    struct Division
    {
        uint64_t total = 0;
        uint64_t used = 0;
        std::map<Incarnation, WrittenAllotment> holders;
    };

    std::unordered_map<WorkspaceId, Division> divisions_;
};

} // namespace sequoiagate

#endif
