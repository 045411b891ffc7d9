#ifndef SEQUOIAGATE_CONFIG_SHEET_H
#define SEQUOIAGATE_CONFIG_SHEET_H

/// The CSV sheet that the operators' planners export each morning: budgets, top-ups
/// and settings of workspaces. It is either accepted as a whole or rejected with a
/// list of all its errors, and becomes one configuration change. docs/Sheet.md
/// describes the format.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// A validation error and its position in the file.
struct SheetError
{
    std::size_t line = 0; ///< 1-based, as in an editor; 0: the file as a whole
    std::string column;   ///< the column's name; empty: the line as a whole
    std::string reason;   ///< one sentence, lower case
};

/// Sorted by line.
using SheetErrors = std::vector<SheetError>;

/// Formats \p error as "line 3, column budget_tokens: ...". Thread safe.
std::string describe(const SheetError &error);

struct SheetTopUp
{
    std::string id;
    uint64_t tokens = 0;
    std::size_t line = 0;
};

/// The rows of one workspace, combined.
struct SheetWorkspace
{
    WorkspaceId workspace;
    std::string name;
    uint64_t budgetTokens = 0;
    std::vector<SheetTopUp> topUps;
    std::vector<ServiceId> services;
    double weight = 1;
    uint64_t maxOutputTokens = 0; ///< 0: the system's own limit applies
    std::size_t line = 0;         ///< of its first row
};

struct Sheet
{
    std::vector<SheetWorkspace> workspaces; ///< in the order of their first rows
};

using ParseSheetResult = std::variant<Sheet, SheetErrors>;

/// Parses the bytes of a CSV file. Thread safe. \returns the sheet, or all errors
/// (never an empty list), in which case nothing of the file may be applied.
ParseSheetResult parseSheet(std::string_view bytes);

using SheetChangeResult = std::variant<wire::ConfigChange, SheetErrors>;

/// Compares \p sheet with \p state and makes one change, based on the state's version.
/// A sheet that is already applied gives a change without workspaces, which needn't be
/// appended. Workspaces that the sheet doesn't name stay as they are. Thread safe.
/// \returns errors if a top-up id was applied with another number of tokens, or if a
/// workspace's total would overflow.
SheetChangeResult makeConfigChange(const Sheet &sheet, const wire::ConfigState &state,
                                   const std::string &author, const std::string &note);

} // namespace sequoiagate

#endif
