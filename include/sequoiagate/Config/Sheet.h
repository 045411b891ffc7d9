#ifndef SEQUOIAGATE_CONFIG_SHEET_H
#define SEQUOIAGATE_CONFIG_SHEET_H

/// The sheet that the operators' planners export each morning, as CSV: budgets,
/// top-ups and settings of workspaces. It is read whole or refused with every
/// fault it has, and becomes one configuration change. docs/Sheet.md is the page
/// for those who write it.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// What is wrong, and where a person finds it in the file.
struct SheetError
{
    std::size_t line = 0; ///< from 1, as an editor counts; 0: the file as a whole
    std::string column;   ///< the header's name; empty: the line as a whole
    std::string reason;   ///< one sentence, lower case
};

/// In the order of their lines.
using SheetErrors = std::vector<SheetError>;

/// "line 3, column budget_tokens: ...". Thread safe.
std::string describe(const SheetError &fault);

struct SheetTopUp
{
    std::string id;
    uint64_t tokens = 0;
    std::size_t line = 0;
};

/// All rows of one workspace.
struct SheetWorkspace
{
    WorkspaceId workspace;
    std::string name;
    uint64_t budgetTokens = 0;
    std::vector<SheetTopUp> topUps;
    std::vector<ServiceId> services;
    double weight = 1;
    uint64_t maxOutputTokens = 0; ///< 0: the system's own ceiling
    std::size_t line = 0;         ///< of its first row
};

struct Sheet
{
    std::vector<SheetWorkspace> workspaces; ///< in the order of their first rows
};

using ParseSheetResult = std::variant<Sheet, SheetErrors>;

/// Reads the bytes of a CSV file. Thread safe. \returns the sheet, or all faults
/// (never an empty list), in which case nothing of it may be put into force.
ParseSheetResult parseSheet(std::string_view bytes);

using SheetChangeResult = std::variant<wire::ConfigChange, SheetErrors>;

/// What \p sheet changes of \p state, as one change built on its version. A sheet
/// that is in force already gives a change without workspaces, which needn't be
/// appended. Workspaces that the sheet doesn't name stay as they are. Thread safe.
/// \returns faults if a top-up id is known with another number of tokens.
SheetChangeResult makeConfigChange(const Sheet &sheet, const wire::ConfigState &state,
                                   const std::string &author, const std::string &note);

} // namespace sequoiagate

#endif
