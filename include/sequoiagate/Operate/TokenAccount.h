#ifndef SEQUOIAGATE_OPERATE_TOKENACCOUNT_H
#define SEQUOIAGATE_OPERATE_TOKENACCOUNT_H

/// Where each workspace's prepaid tokens went, told from the logs of all edge processes.
///
/// What a holder owns by the store is what it has (usable, reserved), what it spent and what it
/// gave to others beyond what it took. Since tokens.state names all of these but the last, moves
/// and charges whose lines were dropped are found again with the holder's next tokens.state.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// One line of some process's log.
struct AccountEvent
{
    std::chrono::microseconds at{}; ///< since the simulation's start or the epoch
    nlohmann::json fields;
};

/// What requests that ended alike were charged.
struct ChargeSum
{
    int64_t tokens = 0;
    uint64_t requests = 0;
};

/// One workspace's sums. They are signed: a negative one shows that more was used than the store
/// allowed for, or that lines are missing.
struct WorkspaceAccount
{
    WorkspaceId workspace;
    int64_t prepaid = 0;
    std::map<std::string, ChargeSum> charged; ///< by outcome and status of the request
    int64_t chargedUnlogged = 0;              ///< spent by a holder beyond what its lines say
    int64_t held = 0;                         ///< usable at processes
    int64_t reserved = 0;                     ///< by open requests
    int64_t unallotted = 0;                   ///< given to nobody
    std::map<std::string, int64_t> givenUp;   ///< with processes that ended, by the reason
    int64_t onTheWay = 0;                     ///< given and not yet taken
    int64_t lost = 0;                         ///< given and never taken
    uint64_t refused = 0;                     ///< requests, for the workspace's budget

    int64_t totalCharged() const;
    int64_t totalGivenUp() const;
    /// What is prepaid and found nowhere; negative: more was found than was prepaid.
    int64_t missing() const;
};

/// Adds up the events of a run. Not thread safe.
class TokenAccount
{
public:
    /// Takes the next event in. \pre those of one process come in their order.
    void take(const AccountEvent &event);
    /// The sums as of the last event, sorted by workspace. Workspaces without a prepaid budget are
    /// left out.
    std::vector<WorkspaceAccount> workspaces() const;
    /// Lines that processes left out of their logs.
    uint64_t droppedLines() const { return droppedLines_; }

private:
    /// One process's part of one workspace's budget.
    struct Part
    {
        int64_t usable = 0;
        int64_t reserved = 0;
        int64_t movedOut = 0; ///< given less taken
        int64_t logged = 0;   ///< charged by request.ended
        int64_t unlogged = 0; ///< spent beyond that
        int64_t kept = 0;     ///< counted as spent by the store since it was given up
    };

    struct Holder
    {
        std::string host;
        std::chrono::microseconds lastSeen{};
        bool replaced = false;  ///< its host runs a later process
        std::string whyGivenUp; ///< empty: nobody has found out what it used
    };

    struct Move
    {
        std::string workspace;
        std::string from;
        std::string to;
        int64_t tokens = 0;
        bool given = false;
        bool taken = false;
        bool lost = false;
    };

    /// What a process that reads the store said last of a whole budget.
    struct Budget
    {
        std::chrono::microseconds at{};
        bool current = false;
        int64_t prepaid = 0;
        int64_t unallotted = 0;
    };

    struct Workspace
    {
        Budget budget;
        std::map<std::string, Part> parts; ///< by incarnation
        std::map<std::string, ChargeSum> charged;
        uint64_t refused = 0;
    };

    void see(const AccountEvent &event);
    void onState(const AccountEvent &event);
    void onEnded(const AccountEvent &event);
    void onRefused(const AccountEvent &event);
    void onGiven(const AccountEvent &event);
    void onTaken(const AccountEvent &event);
    void onLost(const AccountEvent &event);
    void onGivenUp(const AccountEvent &event);
    void onDropped(const AccountEvent &event);

    void leaveGiver(Move &move);
    Part &partOf(const AccountEvent &event);
    Move &moveOf(const std::string &giver, const AccountEvent &event);
    bool hasEnded(const std::string &incarnation) const;
    WorkspaceAccount sumsOf(const std::string &name, const Workspace &workspace) const;
    int64_t lostMoves(const std::string &workspace) const;

    std::chrono::microseconds now_{};
    std::map<std::string, Workspace> workspaces_;
    std::map<std::string, Holder> holders_;        ///< by incarnation
    std::map<std::string, std::string> processes_; ///< the newest incarnation of each host
    std::map<std::string, Move> moves_;            ///< by giver and number
    uint64_t droppedLines_ = 0;
};

/// Reads log files of JSON lines into one list in the order of time. A line may have a prefix
/// before its first brace; where all have one that begins with a time in seconds, that time
/// counts, and the lines' own stamps otherwise. Other lines are left out.
/// \throws std::runtime_error if a file can't be opened.
std::vector<AccountEvent> readAccountEvents(const std::vector<std::string> &paths);

/// A workspace's account, a line a sum.
std::string accountText(const WorkspaceAccount &account);

/// The program sequoia-account but for its main. \returns an ExitCode.
int runAccount(int argc, char **argv);

} // namespace sequoiagate

#endif
