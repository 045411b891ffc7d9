#ifndef SEQUOIAGATE_HISTORY_HISTORY_H
#define SEQUOIAGATE_HISTORY_HISTORY_H

/// The history of a run: the events of all processes and callers in one causal
/// order, with what the run's log holds in the end.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// One line of some process's log.
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
    /// The stamp's wall part.
    WallTime wall() const;
};

/// What the ledger holds at the end of the run for one workspace.
struct FinalBudget
{
    WorkspaceId workspace;
    uint64_t prepaid = 0; ///< the highest total that was ever in force
};

/// An accepted bill.
struct FinalBill
{
    WorkspaceId workspace;
    RequestId request;
    uint64_t tokens = 0;
    bool inDoubt = false;
};

struct History
{
    std::vector<HistoryEvent> events; ///< sorted by stamp
    std::vector<FinalBudget> budgets;
    std::vector<FinalBill> bills;
    bool ledgerAvailable = true; ///< false: budgets and bills weren't to be had, and aren't checked
};

/// Reads log files of JSON lines into one sorted list. Lines that aren't events
/// are left out; the last line of a killed process may be cut off.
/// \throws std::runtime_error if a file can't be opened.
std::vector<HistoryEvent> readEvents(const std::vector<std::string> &paths);

/// Something that must hold and didn't.
struct Violation
{
    std::string property; ///< the check's name
    std::string what;     ///< one line for people, with the ids at fault
};

/// Holds a run against what must always hold. Thread safe: reads only.
std::vector<Violation> checkHistory(const History &history);

/// The names of the checks, in the order that checkHistory runs them.
std::vector<std::string> historyProperties();

/// The violations as lines for a test's message.
std::string describe(const std::vector<Violation> &violations);

} // namespace sequoiagate

#endif
