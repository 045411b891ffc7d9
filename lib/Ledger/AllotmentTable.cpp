#include "sequoiagate/Ledger/AllotmentTable.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

uint64_t Allotment::maxUsedAfter(Interval elapsed) const
{
    // Rounded up, and limited before the conversion to an integer.
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double more = std::ceil(static_cast<double>(usePerSecond) * seconds);
    const uint64_t left = tokens - std::min(tokens, maxUsed);
    if (more >= static_cast<double>(left)) {
        return std::max(tokens, maxUsed);
    }
    return maxUsed + static_cast<uint64_t>(more);
}

void AllotmentTable::set(const AllotmentRow &row, uint64_t offset)
{
    WorkspaceAllotments &division = workspaces_[row.workspace];
    const auto [found, added] = division.holders.try_emplace(row.holder);
    StoredAllotment &known = found->second;
    if (!added && offset <= known.offset) {
        return;
    }
    const Allotment &before = known.allotment;
    division.total += row.allotment.tokens - before.tokens;
    division.used += row.allotment.maxUsed - before.maxUsed;
    known = {row.allotment, offset};
}

uint64_t AllotmentTable::allotted(const WorkspaceId &workspace) const
{
    const auto found = workspaces_.find(workspace);
    return found == workspaces_.end() ? 0 : found->second.total;
}

uint64_t AllotmentTable::used(const WorkspaceId &workspace) const
{
    const auto found = workspaces_.find(workspace);
    return found == workspaces_.end() ? 0 : found->second.used;
}

std::optional<StoredAllotment> AllotmentTable::find(const WorkspaceId &workspace,
                                                    const Incarnation &holder) const
{
    const auto division = workspaces_.find(workspace);
    if (division == workspaces_.end()) {
        return std::nullopt;
    }
    const auto found = division->second.holders.find(holder);
    if (found == division->second.holders.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<AllotmentRow> AllotmentTable::rowsOf(const Incarnation &holder) const
{
    std::vector<AllotmentRow> rows;
    for (const auto &[workspace, division] : workspaces_) {
        const auto found = division.holders.find(holder);
        if (found != division.holders.end()) {
            rows.push_back({workspace, holder, found->second.allotment});
        }
    }
    return rows;
}

} // namespace sequoiagate
