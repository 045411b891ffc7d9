#ifndef SEQUOIAGATE_LEDGER_TOKENHOLDER_H
#define SEQUOIAGATE_LEDGER_TOKENHOLDER_H

/// This process's share of the workspaces' budgets, which it may spend without asking any other
/// process. Pure: (event, now) -> rows to write, tokens to transfer.
///
/// A holder claims tokens by writing its new total to the store. It may spend them only after it
/// has read its row back and the totals of all holders, its own included, fit into the prepaid
/// budget. This is sufficient because one of two claims is always first in the store. The second
/// holder sees the first one's row when it evaluates its own claim, whether or not the first was
/// accepted; so the totals that holders act on never exceed the budget. A claim that doesn't fit is
/// accepted in part, and the next batch corrects the row: until then the others count too much,
/// never too little.
///
/// - Rows hold totals, and one batch is in flight at a time: a batch whose response was lost is
///   written again unchanged, and a total that is read twice changes nothing.
/// - A row also holds an upper bound on the tokens of its total that were used when its batch was
///   composed, and on the additional use per second from then on. A holder observes these bounds
///   while its last batch is younger than `batchValidity`, and only then continues with the rest of
///   its tokens. So when a process terminates, anyone who knows that its last batch was written at
///   most that long before also has an upper bound on what it used, and the rest is returned
///   (sealRows); ElapsedBound says when that is known. Otherwise all of it counts as spent, since
///   it is unknown what was sent last. A pause of the process only makes its batch older.
/// - The tokens that a row allows beyond the used ones are lost with their holder, so they are few:
///   enough for some typical requests and for the demand of the time that passes. A workspace whose
///   remaining budget won't last long is scarce: its rows follow its use request by request, for
///   which its callers wait a few milliseconds, and beyond that they only allow what an outage
///   requires.
/// - While the store is unreachable, holders continue with the tokens they have. These must last
///   for an outage, and a holder that lacks tokens gets some from another one: transferred tokens
///   leave their sender before they are sent, and the store still counts them as the sender's; the
///   receiver accepts each transfer once.
/// - In a large fleet most workspaces send a request to a given host only every few seconds. If
///   each host held tokens for its next request, 75 hosts would hold twenty seconds of demand in
///   parts too small for any other request. So a workspace has homes, one per failure domain, which
///   hold tokens for all hosts; a host that isn't a home and has little demand asks a home for each
///   request.
/// - When a budget is lowered, each holder returns its unspent tokens.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Ledger/AllotmentTable.h"
#include "sequoiagate/Ledger/OutageReserve.h"

namespace sequoiagate {

struct TokenHolderSettings : OutageReserveSettings
{
    /// Time without a batch after which the last one no longer bounds the holder. Longer than a
    /// killed process takes to restart, plus the age of its last batch.
    Interval batchValidity = std::chrono::milliseconds(2400);
    /// A batch is written at least this often, to confirm that the holder observes its rows.
    Interval heartbeat = std::chrono::milliseconds(500);
    /// Demand that a row allows beyond what was used when it was composed.
    Interval window = std::chrono::milliseconds(2000);
    /// Use per second that a row allows from then on, as a multiple of demand: leaves room for
    /// fluctuations.
    double paceFactor = 1.5;
    /// The same for a scarce workspace.
    double scarcePaceFactor = 0.75;
    /// Part of the tokens held for a workspace that hasn't been used yet: allows the first
    /// requests.
    double initialWindowShare = 0.25;
    /// A row that leaves less than this part of the window is rewritten.
    double rewriteBelow = 0.5;
    /// A workspace is scarce if the fleet will use up its remaining budget in less than this
    /// multiple of the horizon.
    double scarceHorizons = 1.5;
    /// And if less than this part of the budget remains.
    double scarceBudgetShare = 0.25;
    /// Limits a claim to this multiple of an equal share, over all hosts, of the unallotted tokens,
    /// unless waiting requests need more: near the end of a budget the first claimer doesn't take
    /// the last tokens.
    double maxClaimFactor = 3.0;
    /// Interval between requests to peers for the same workspace.
    Interval urgentRequestInterval = std::chrono::milliseconds(60);
    /// Interval between requests to peers for a workspace whose tokens run low but still suffice.
    Interval routineRequestInterval = std::chrono::milliseconds(150);
    /// Unsuccessful requests double that interval, at most this many times: to a bit more than a
    /// second. Otherwise hosts that all lack tokens would endlessly transfer small amounts among
    /// them.
    uint32_t maxBackoffDoublings = 3;
    /// How long tokens requested by peers stay transferable: a few of their intervals.
    Interval openRequestRetention = std::chrono::milliseconds(1500);
    /// How long transferred tokens that a request left unused stay here for the next one. Kept
    /// longer, they would be spread over the hosts in amounts too small for a request.
    Interval leftoverRetention = std::chrono::milliseconds(500);
};

struct WorkspaceBudget
{
    WorkspaceId workspace;
    uint64_t prepaid = 0;
};

/// A request for tokens from a holder that lacks them to a peer.
struct TokenRequest
{
    WorkspaceId workspace;
    uint64_t need = 0;            ///< for the waiting requests; 0: tokens run low
    uint64_t usable = 0;          ///< tokens of the requesting holder
    uint64_t demandPerSecond = 0; ///< of the requesting holder
    uint32_t round = 0; ///< number of earlier requests for the tokens that are awaited now
    std::optional<uint32_t> priority; ///< of the waiting request; 0 is the most urgent
    /// A first request goes to all homes at once if the near one is known to have too few tokens.
    bool asksAllIfNearIsShort = false;
    /// Fewer tokens than needed are useful, since other homes are asked at the same time.
    bool acceptsPart = false;
};

/// The availability of a workspace's budget.
enum class BudgetState {
    Available,   ///< tokens can be obtained here or from the store
    Exhausted,   ///< the store has no unallotted tokens left
    Unreachable, ///< the store doesn't respond, and may have tokens
};

/// Not thread safe.
class TokenHolder
{
public:
    TokenHolder(Incarnation self, TokenHolderSettings settings = {});

    /// Replaces the budgets. Unspent tokens of a workspace whose budget was lowered are returned.
    void setBudgets(const std::vector<WorkspaceBudget> &budgets, Instant now);
    void setHorizon(Interval horizon);
    void setReservePolicy(ReservePolicy policy);
    /// Sets the number of processes that share the budgets.
    /// \pre count > 0
    void setHolderCount(uint32_t count) { holderCount_ = count; }
    /// Sets the number of homes of \p workspace, and whether this holder is one. 0: there are no
    /// homes, and each holder holds its own tokens.
    void setHomes(const WorkspaceId &workspace, uint32_t homes, bool isHome);
    /// Sets whether the store responds. Without it nothing is claimed or returned.
    void setStoreReachable(bool reachable) { storeReachable_ = reachable; }

    /// Reserves \p tokens for a request. Returns false if there aren't as many; the workspace is
    /// then recorded as requiring them. A workspace without a prepaid budget always has enough.
    bool reserve(const WorkspaceId &workspace, uint64_t tokens, Instant now);
    /// Ends a request.
    /// \pre spent <= reserved, and both were reserved.
    void settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent, Instant now);
    /// Sets the total number of tokens that the waiting requests of \p workspace need. 0: none
    /// waits.
    void setRequiredTokens(const WorkspaceId &workspace, uint64_t tokens);
    /// No request is waiting for tokens of \p workspace any more.
    void clearRequiredTokens(const WorkspaceId &workspace);

    // ---- Store ----
    /// The batch to write next, or nullopt if none is due or the last one isn't confirmed yet. A
    /// batch without rows only confirms that the holder observes its earlier rows. A batch is in
    /// flight until onReadUpTo finds its rows; one without rows, until onBatchWritten.
    std::optional<std::vector<AllotmentRow>> nextBatch(Instant now);
    /// The store has accepted the batch in flight.
    void onBatchWritten();
    void onRow(const AllotmentRow &row, uint64_t offset, Instant now);
    /// All rows before \p next were passed to onRow. Evaluates the claims in flight.
    /// \returns true if the batch in flight was found in the store, so that it needn't be resent.
    bool onReadUpTo(uint64_t next);
    bool batchInFlight() const { return inFlight_.has_value(); }
    /// Whether any row of this holder in the store leaves tokens unused. Otherwise no heartbeats
    /// are written, and a successor has nothing to return.
    bool anyRowHasUnusedTokens() const;
    /// The rows that return what a terminated holder didn't use, and remove its demand.
    /// \p elapsed: upper bound on the time between its last batch and its end; nullopt if unknown,
    /// in which case all of its tokens count as spent.
    /// \pre the process \p ended has ended
    std::vector<AllotmentRow> sealRows(const Incarnation &ended,
                                       std::optional<Interval> elapsed) const;

    // ---- Peers ----
    /// The requests to send to peers now.
    std::vector<TokenRequest> peerRequests(Instant now);
    /// Tokens to transfer to the requesting peer; they no longer belong to this holder. 0: none.
    uint64_t transferOut(const TokenRequest &request, Instant now);
    void transferIn(const WorkspaceId &workspace, uint64_t tokens, Instant now);
    /// Releases unused tokens that came from peers, after `leftoverRetention` and only if this
    /// host relies on homes. \returns how many to transfer to a home.
    uint64_t releaseLeftover(const WorkspaceId &workspace, Instant now);

    /// Stops the process: returns all tokens that aren't reserved.
    void returnAll();

    uint64_t prepaid(const WorkspaceId &workspace) const;
    /// Tokens of this holder according to the store, including those transferred to peers.
    uint64_t owned(const WorkspaceId &workspace) const;
    /// The allotments of \p holder according to the store, one row per workspace.
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
    /// Whether this host gets the tokens of each request of \p workspace from a home.
    bool reliesOnHomes(const WorkspaceId &workspace, Instant now) const;
    std::vector<WorkspaceId> workspaces() const;

private:
    /// Tokens that a peer lacks: it requested them and has not been given them yet.
    struct UnmetPeerRequest
    {
        uint64_t tokens = 0;
        Instant until{}; ///< kept until then, so that the peer can request them again
    };

    struct Account
    {
        explicit Account(const OutageReserveSettings &settings) : reserve(settings) {}

        uint64_t prepaid = 0;
        uint64_t owned = 0;    ///< this holder's total, as accepted
        uint64_t usable = 0;   ///< may be reserved
        uint64_t reserved = 0; ///< of open requests
        uint64_t spent = 0;
        uint64_t typicalReservation = 0;                 ///< moving average of a reservation
        uint64_t requiredTokens = 0;                     ///< total for the waiting requests
        std::vector<UnmetPeerRequest> unmetPeerRequests; ///< oldest first
        Allotment written;                               ///< by the last batch that is in the store
        Allotment inFlight;                              ///< by the batch in flight
        bool budgetLowered = false;      ///< and the holders' totals still exceed the lower budget
        bool needsCorrection = false;    ///< the row in the store differs from `owned`
        Instant leftoverReturnAt{};      ///< when unused transferred tokens go back to a home
        Instant nextPeerRequestAt{};     ///< earliest time of the next request to peers
        uint32_t unansweredRequests = 0; ///< consecutive
        uint32_t requestRounds = 0;      ///< for the requests that are waiting now
        uint32_t homes = 0;
        bool isHome = false;
        OutageReserve reserve;
    };

    /// A row in flight, and the tokens it claims beyond the owned ones.
    struct RowInFlight
    {
        AllotmentRow row;
        uint64_t claim = 0;
    };

    struct Batch
    {
        std::vector<RowInFlight> rows;
        Instant composedAt{};
    };

    Account *find(const WorkspaceId &workspace);
    const Account *find(const WorkspaceId &workspace) const;
    bool isScarce(const WorkspaceId &workspace, const Account &account, Instant now) const;
    uint64_t unusedTokens(const WorkspaceId &workspace, const Account &account) const;
    ReserveContext contextOf(const WorkspaceId &workspace, const Account &account) const;
    uint64_t targetTokens(const WorkspaceId &workspace, const Account &account, Instant now) const;
    bool reliesOnHomes(const WorkspaceId &workspace, const Account &account, Instant now) const;
    /// \p writesRow: a row of the workspace is written in any case
    uint64_t claimSize(const WorkspaceId &workspace, const Account &account, bool writesRow,
                       Instant now) const;
    void returnTokens(Account &account, uint64_t tokens);
    static uint64_t transferFromHome(Account &account, const TokenRequest &request, Instant now);
    uint64_t balancingTransfer(const Account &account, const TokenRequest &request,
                               Instant now) const;
    static uint64_t used(const Account &account);
    bool inUse(const WorkspaceId &workspace, const Account &account, Instant now) const;
    uint64_t usableNow(const Account &account, Instant now) const;
    static uint64_t tokensRequestedByPeers(const Account &account, Instant now);
    void recordPeerRequest(Account &account, uint64_t tokens, bool isRepeat, Instant now) const;
    static void recordTransfer(Account &account, uint64_t tokens);
    uint64_t rowLimit(const Allotment &row, Instant composedAt, Instant now) const;
    uint64_t allowedUsePerSecond(const WorkspaceId &workspace, const Account &account,
                                 Instant now) const;
    uint64_t usageWindow(const WorkspaceId &workspace, const Account &account, Instant now) const;
    bool needsRewrite(const WorkspaceId &workspace, const Account &account, Instant now) const;
    void evaluateClaim(const RowInFlight &rowInFlight);
    void completeBatch();

    Incarnation self_;
    TokenHolderSettings settings_;
    AllotmentTable table_;
    std::unordered_map<WorkspaceId, Account> accounts_;
    std::optional<Batch> inFlight_;
    Instant lastBatchComposedAt_{}; ///< the last batch in the store
    uint64_t evaluatedThrough_ = 0; ///< claims of own rows below this offset were evaluated
    uint32_t holderCount_ = 1;
    bool caughtUp_ = false; ///< all rows present at the start have been read
    bool storeReachable_ = false;
    bool stopping_ = false;
};

} // namespace sequoiagate

#endif
