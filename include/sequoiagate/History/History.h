#ifndef SEQUOIAGATE_HISTORY_HISTORY_H
#define SEQUOIAGATE_HISTORY_HISTORY_H

/// The history of a run: the events of all processes and callers in causal order, and
/// the budgets and bills that the ledger holds at the end of the run.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// One log line of a process.
struct HistoryEvent
{
    std::string stamp; ///< hybrid logical clock; sorts as text
    std::string name;
    HostId host;
    Incarnation incarnation;
    std::string program;
    nlohmann::json fields; ///< the whole line

    std::string text(const char *key) const { return fields.value(key, std::string()); }
    uint64_t number(const char *key) const { return fields.value(key, uint64_t{0}); }
    bool flag(const char *key) const { return fields.value(key, false); }
    /// Returns the wall clock part of the stamp.
    WallTime wall() const;
};

/// A workspace's budget in the ledger at the end of the run.
struct FinalBudget
{
    WorkspaceId workspace;
    uint64_t prepaid = 0; ///< the highest total that was in force at any time
};

/// An accepted bill.
struct FinalBill
{
    WorkspaceId workspace;
    RequestId request;
    uint64_t tokens = 0;
    bool inDoubt = false;
};

/// The input of the checks.
struct History
{
    std::vector<HistoryEvent> events; ///< sorted by stamp
    std::vector<FinalBudget> budgets;
    std::vector<FinalBill> bills;
    bool ledgerAvailable = true; ///< false: budgets and bills are missing, and aren't checked
};

/// Reads log files of JSON lines into one list, sorted by stamp. Skips lines that aren't
/// events, such as the truncated last line of a killed process.
/// \throws std::runtime_error if a file can't be opened.
std::vector<HistoryEvent> readEvents(const std::vector<std::string> &paths);

/// A violated property.
struct Violation
{
    std::string property; ///< the check's name
    std::string what;     ///< human-readable, one line, with the ids concerned
};

/// Checks a run against all properties. Thread safe: only reads.
std::vector<Violation> checkHistory(const History &history);

/// Returns the names of the checks, in the order in which checkHistory runs them.
std::vector<std::string> historyProperties();

/// Formats the violations, one per line, for a test's failure message.
std::string describe(const std::vector<Violation> &violations);

} // namespace sequoiagate

#endif
