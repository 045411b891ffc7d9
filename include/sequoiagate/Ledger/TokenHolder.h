#ifndef SEQUOIAGATE_LEDGER_TOKENHOLDER_H
#define SEQUOIAGATE_LEDGER_TOKENHOLDER_H

/// This process's part of the workspaces' budgets: what it may spend without asking
/// anybody. Pure: (event, now) -> rows to write, tokens to move.
///
/// A holder claims tokens by writing its new total to the store, and may spend them only
/// after it has read its row back and the totals of all holders, its own included, fit
/// into the prepaid budget. Why that is enough: of two claims one stands first in the
/// store. The second holder sees the first's row when it judges its own, whether the
/// first was accepted or not; so the totals that holders act on never exceed the budget.
/// A claim that doesn't fit is taken in part, and the row is corrected by the next batch:
/// until then the others count too much, never too little.
///
/// - Rows hold totals, and one batch is in flight at a time: a batch whose answer was lost
///   is written again as it is, and a total that comes twice changes nothing.
/// - A row also says how much of its total the holder has used at most when its batch was
///   composed, and how much more it may use a second from then on. A holder keeps to that
///   while its last batch is younger than `silence`, and only then goes on to the rest of
///   what it has. So when a process dies, whoever knows that it wrote its last batch at most
///   so long before also knows what it used at most, and the rest is given back (sealRows);
///   ElapsedBound says when that is known. Else all of it stays counted as spent: nobody can
///   know what was sent last. A pause of the process only makes its batch older.
/// - What a row allows beyond what is used is what dies with its holder, so it is small: some
///   usual requests, and the demand of the time that passes. A workspace whose rest won't last
///   long is scarce: its rows follow its use request by request, for which its callers wait a
///   few milliseconds, and beyond them allow only what an outage needs.
/// - While the store is away holders go on from what they have. It must last for an
///   outage, and what one lacks another gives: moved tokens leave the giver before they
///   are sent and count with it in the store; the receiver takes each move once.
/// - In a large fleet most workspaces send a host a request every few seconds. If each host
///   held tokens for its next one, 75 hosts would hold twenty seconds' demand in parts too
///   small for any other request. So a workspace has homes, one a failure domain, which hold
///   for all; a host that is none and has little demand asks a home for each request.
/// - A budget that is lowered makes each holder give back what it hasn't spent.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Ledger/AllotmentTable.h"
#include "sequoiagate/Ledger/DemandRate.h"

namespace sequoiagate {

struct TokenHolderSettings
{
    /// Demand to hold tokens for while there are plenty: the store's outage that is outlasted.
    /// Less refuses callers in it, more is lost with a process whose end nobody can date.
    Interval horizon = std::chrono::seconds(9);
    /// What all holders together hold idle is at most about this part of what is left of a budget,
    /// less as less is left: it is what a loss of power of all hosts costs.
    double idleShare = 0.6;
    /// With less than this part of a budget left that bound falls with the cube of the part,
    /// instead of in proportion to it.
    double idleLowRest = 0.5;
    /// Without a batch for so long, what the last one says no longer bounds the holder. Longer
    /// than a killed process takes to be started again, with its last batch's age.
    Interval batchValidity = std::chrono::milliseconds(2400);
    /// A batch is written at least this often, to say that the holder keeps to it.
    Interval heartbeat = std::chrono::milliseconds(500);
    /// Demand that a row allows beyond what was used when it was composed.
    Interval window = std::chrono::milliseconds(2000);
    /// What a row allows a second from then on, as a multiple of demand: room for its swings.
    double paceFactor = 1.5;
    /// The same for a scarce workspace.
    double scarcePace = 0.75;
    /// Of what is held for a workspace that nobody has used yet: room for the first requests.
    double firstWindow = 0.25;
    /// A row that leaves less than this part of the window is written anew.
    double rewriteBelow = 0.5;
    /// A workspace is scarce when what is left of its budget lasts the fleet less than this
    /// multiple of the horizon.
    double scarceBelow = 1.5;
    /// And when less than this part of the budget is left.
    double scarceRest = 0.25;
    /// Holdings below this part of the target are filled up.
    double refillBelow = 0.7;
    /// Holdings above this multiple of the target are given back.
    double returnAbove = 2.5;
    /// Until demand is known: this part of the budget, over all hosts.
    double initialShare = 0.15;
    /// Most of what nobody has that one claim takes, over all hosts: near the end of a
    /// budget the last tokens aren't taken by whoever comes first.
    double greed = 3.0;
    /// Time over which demand is averaged: short enough to follow a workspace that turns
    /// hot within seconds.
    Interval demandMemory = std::chrono::seconds(4);
    /// Time over which the use of all holders is averaged: a budget that lasts long mustn't
    /// seem scarce for a burst.
    Interval fleetsMemory = std::chrono::seconds(8);
    /// A host that isn't a home holds tokens of its own if its demand over the horizon is so
    /// many usual requests: with less, what it holds is mostly a part of a request.
    double ownRequests = 2.0;
    /// Asking peers again for the same workspace.
    Interval askInterval = std::chrono::milliseconds(60);
    /// Asking peers for a workspace whose tokens run low but still serve.
    Interval calmAskInterval = std::chrono::milliseconds(150);
    /// Asking in vain doubles that, so many times at most: to a bit more than a second. Else
    /// hosts that all lack tokens would move crumbs between them without end.
    uint32_t mostDoublings = 3;
    /// What peers asked for stays movable for so long: a few of their intervals.
    Interval lending = std::chrono::milliseconds(1500);
    /// How long moved tokens that a request left unused stay here for the next one. Kept longer,
    /// they would be split over the hosts in amounts too small for a request.
    Interval leftoverRetention = std::chrono::milliseconds(500);
};

struct WorkspaceBudget
{
    WorkspaceId workspace;
    uint64_t prepaid = 0;
};

/// A holder is short of tokens and asks a peer for some.
struct TokenRequest
{
    WorkspaceId workspace;
    uint64_t need = 0;            ///< for the request that waits; 0: it runs low
    uint64_t usable = 0;          ///< that the asking holder has
    uint64_t demandPerSecond = 0; ///< its demand
    uint32_t round = 0;           ///< how often it has asked for the request that waits
};

/// What can be had of a workspace's budget.
enum class BudgetState {
    Available,   ///< tokens can be had here or from the store
    Exhausted,   ///< the store has none left to give out
    Unreachable, ///< the store doesn't answer: it may have some
};

/// Not thread safe.
class TokenHolder
{
public:
    TokenHolder(Incarnation self, TokenHolderSettings settings = {});

    /// Replaces the budgets. What is held of a workspace whose budget was lowered is given back.
    void setBudgets(const std::vector<WorkspaceBudget> &budgets, Instant now);
    void setHorizon(Interval horizon) { settings_.horizon = horizon; }
    /// How many processes share the budgets. \pre count > 0
    void setHolderCount(uint32_t count) { holders_ = count; }
    /// How many homes \p workspace has, and whether this holder is one. 0: it has none, and
    /// each holder holds for itself.
    void setHomes(const WorkspaceId &workspace, uint32_t homes, bool isHome);
    /// Whether the store answers. Without it nothing is claimed or given back.
    void setStoreReachable(bool reachable) { storeReachable_ = reachable; }

    /// Takes \p tokens for a request; false: there aren't as many, and the workspace is
    /// noted as short of them. A workspace without a prepaid budget always has enough.
    bool reserve(const WorkspaceId &workspace, uint64_t tokens, Instant now);
    /// The request ended. \pre spent <= reserved, and both were reserved.
    void settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent, Instant now);
    /// Sets the total number of tokens that the waiting requests of \p workspace need. 0: none
    /// waits.
    void setRequiredTokens(const WorkspaceId &workspace, uint64_t tokens);
    /// No request waits for tokens of \p workspace any more.
    void noLongerShort(const WorkspaceId &workspace);

    // ---- the store ----
    /// The batch to write next, or nullopt: none is due, or the last one isn't settled yet.
    /// Without rows it says only that the holder keeps to what it wrote. It is in flight
    /// until onPosition finds its rows; one without rows, until onWritten.
    std::optional<std::vector<AllotmentRow>> nextBatch(Instant now);
    /// The store took the batch in flight.
    void onBatchWritten();
    void onRow(const AllotmentRow &row, uint64_t offset, Instant now);
    /// All rows before \p next were handed to onRow. Judges the claims in flight.
    /// \returns true if the batch in flight was found in the store: it needn't be sent again.
    bool onReadUpTo(uint64_t next);
    bool batchInFlight() const { return inFlight_.has_value(); }
    /// Whether any row of this holder in the store leaves tokens unused. Otherwise no heartbeats
    /// are written, and a successor has nothing to give back.
    bool anyRowHasUnusedTokens() const;
    /// The rows by which what a dead holder didn't use is given back, and its demand is no
    /// longer counted. \p elapsed: the most time that can have passed between its last batch
    /// and its end; nullopt: that isn't known, and all of it counts as spent.
    /// \pre \p dead has ended
    std::vector<AllotmentRow> sealRows(const Incarnation &dead,
                                       std::optional<Interval> elapsed) const;

    // ---- peers ----
    /// What to ask peers for now.
    std::vector<TokenRequest> peerRequests(Instant now);
    /// Tokens to move to the peer that asks; they are this holder's no more. 0: none.
    uint64_t transferOut(const TokenRequest &ask, Instant now);
    void transferIn(const WorkspaceId &workspace, uint64_t tokens, Instant now);
    /// Releases unused tokens that came from peers, after `leftoverRetention` and only if this
    /// host relies on homes. \returns how many to move to a home.
    uint64_t releaseLeftover(const WorkspaceId &workspace, Instant now);

    /// The process stops: gives back all that isn't reserved.
    void returnAll();

    uint64_t prepaid(const WorkspaceId &workspace) const;
    /// What the store says that this holder has; what it gave to peers counts with it.
    uint64_t owned(const WorkspaceId &workspace) const;
    /// What the store says that \p holder has, by workspace.
    std::vector<AllotmentRow> rowsOf(const Incarnation &holder) const
    {
        return table_.rowsOf(holder);
    }
    uint64_t usable(const WorkspaceId &workspace) const;
    uint64_t spent(const WorkspaceId &workspace) const;
    uint64_t reserved(const WorkspaceId &workspace) const;
    /// Tokens that no holder has, as far as the store was read.
    uint64_t unallotted(const WorkspaceId &workspace) const;
    BudgetState budgetState(const WorkspaceId &workspace, uint64_t need) const;
    std::vector<WorkspaceId> workspaces() const;

private:
    /// What a peer asked for and wasn't given yet.
    struct OpenAsk
    {
        uint64_t tokens = 0;
        Instant until{}; ///< it may ask again, and find that it can be moved by then
    };

    struct Account
    {
        Account(Interval memory, Interval fleetsMemory) : demand(memory), fleetsUse(fleetsMemory) {}

        uint64_t prepaid = 0;
        uint64_t owned = 0;    ///< this holder's total, as accepted
        uint64_t usable = 0;   ///< may be reserved
        uint64_t reserved = 0; ///< of open requests
        uint64_t spent = 0;
        uint64_t typical = 0;          ///< reservation, a moving mean
        uint64_t shortOf = 0;          ///< total that waiting requests need
        std::vector<OpenAsk> openAsks; ///< of peers that lack tokens, oldest first
        Allotment written;             ///< by the last batch that the store has
        Allotment flight;              ///< by the batch in flight
        bool lowered = false;          ///< the budget fell, and the holders' totals still exceed it
        bool correct = false;          ///< the store's row says something else than `owned`
        Instant returnAt{};            ///< when unused moved tokens go back to a home
        Instant nextAskAt{};
        uint32_t askedInVain = 0; ///< times in a row
        uint32_t askRounds = 0;   ///< for the request that waits now
        uint32_t homes = 0;
        bool isHome = false;
        DemandRate demand;
        DemandRate fleetsUse; ///< of all holders, as their rows tell
    };

    /// A row in flight, and what it claims beyond what is owned.
    struct RowInFlight
    {
        AllotmentRow row;
        uint64_t claim = 0;
    };

    struct Flight
    {
        std::vector<RowInFlight> rows;
        Instant composedAt{};
    };

    Account *find(const WorkspaceId &workspace);
    const Account *find(const WorkspaceId &workspace) const;
    bool isScarce(const WorkspaceId &workspace, const Account &account, Instant now) const;
    uint64_t leftToUse(const WorkspaceId &workspace, const Account &account) const;
    uint64_t mostIdle(const WorkspaceId &workspace, const Account &account) const;
    Interval bridged(const WorkspaceId &workspace, const Account &account, Instant now) const;
    uint64_t target(const WorkspaceId &workspace, const Account &account, Instant now) const;
    bool leavesItToHomes(const WorkspaceId &workspace, const Account &account, Instant now) const;
    uint64_t claimFor(const WorkspaceId &workspace, const Account &account, Instant now) const;
    void giveBack(Account &account, uint64_t tokens);
    static uint64_t giftOfHome(Account &account, const TokenRequest &ask, Instant now);
    uint64_t evenGift(const Account &account, const TokenRequest &ask, Instant now) const;
    static uint64_t used(const Account &account);
    bool inUse(const Account &account, Instant now) const;
    uint64_t mayUse(const Account &account, Instant now) const;
    static uint64_t askedByPeers(const Account &account, Instant now);
    void noteAsk(Account &account, uint64_t tokens, bool isRepeat, Instant now) const;
    static void noteMoved(Account &account, uint64_t tokens);
    uint32_t maxHoldersOf(const Account &account) const;
    uint64_t rowLimit(const Allotment &row, Instant composedAt, Instant now) const;
    uint64_t paceOf(const WorkspaceId &workspace, const Account &account, Instant now) const;
    uint64_t windowOf(const WorkspaceId &workspace, const Account &account, Instant now) const;
    bool limitDue(const WorkspaceId &workspace, const Account &account, Instant now) const;
    void judge(const RowInFlight &flight);
    void settleFlight();

    Incarnation self_;
    TokenHolderSettings settings_;
    AllotmentTable table_;
    std::unordered_map<WorkspaceId, Account> accounts_;
    std::optional<Flight> inFlight_;
    Instant writtenAt_{};        ///< when the last batch that the store has was composed
    uint64_t judgedThrough_ = 0; ///< offsets of own rows below this were judged
    uint32_t holders_ = 1;
    bool caughtUp_ = false; ///< the store's rows were read once
    bool storeReachable_ = false;
    bool stopping_ = false;
};

} // namespace sequoiagate

#endif
