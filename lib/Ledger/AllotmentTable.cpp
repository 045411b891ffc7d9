#include "sequoiagate/Ledger/AllotmentTable.h"

namespace sequoiagate {

void AllotmentTable::set(const AllotmentRow &row, uint64_t offset)
{
    Division &division = divisions_[row.workspace];
    const auto [found, added] = division.holders.try_emplace(row.holder);
    WrittenAllotment &known = found->second;
    if (!added && offset <= known.offset) {
        return;
    }
    division.total += row.tokens;
    division.total -= known.tokens;
    division.used += row.usedAtMost;
    division.used -= known.usedAtMost;
    known = {row.tokens, row.usedAtMost, offset};
}

uint64_t AllotmentTable::allotted(const WorkspaceId &workspace) const
{
    const auto found = divisions_.find(workspace);
    return found == divisions_.end() ? 0 : found->second.total;
}

uint64_t AllotmentTable::used(const WorkspaceId &workspace) const
{
    const auto found = divisions_.find(workspace);
    return found == divisions_.end() ? 0 : found->second.used;
}

std::optional<WrittenAllotment> AllotmentTable::of(const WorkspaceId &workspace,
                                                   const Incarnation &holder) const
{
    const auto division = divisions_.find(workspace);
    if (division == divisions_.end()) {
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
    for (const auto &[workspace, division] : divisions_) {
        const auto found = division.holders.find(holder);
        if (found != division.holders.end()) {
            rows.push_back({workspace, holder, found->second.tokens, found->second.usedAtMost});
        }
    }
    return rows;
}

} // namespace sequoiagate
