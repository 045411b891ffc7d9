#ifndef SEQUOIAGATE_LEDGER_LEDGERFOLD_H
#define SEQUOIAGATE_LEDGER_LEDGERFOLD_H

/// The deterministic fold of a ledger stream: budgets, grants, bills and run claims. Two folds at
/// the same offset hold the same state. Every rule that keeps spending within the budget is decided
/// here, by the order of the log alone.

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Ledger/Safeguards.h"

namespace sequoiagate {

/// The outcome of folding a record.
enum class FoldOutcome {
    Accepted,
    Refused,   ///< a rule was violated; the record has no effect
    Duplicate, ///< this (writer, sequence) or a later one of the writer was folded before
};

struct FoldResult
{
    FoldOutcome outcome = FoldOutcome::Refused;
    std::string reason;        ///< human-readable; empty if accepted
    uint64_t refundTokens = 0; ///< tokens returned to the pool
};

/// The state of a grant according to the log.
struct LedgerGrant
{
    GrantId id;
    WorkspaceId workspace;
    uint64_t tokens = 0; ///< granted, less what was returned
    Incarnation holder;
    Incarnation witness; ///< empty: no witness
    /// The total from which the current witness counts; for an ended grant, the tokens that count
    /// as spent.
    uint64_t baseSigned = 0;
    bool ended = false;
};

struct LedgerBudget
{
    uint64_t total = 0;     ///< prepaid, under configVersion
    uint64_t allocated = 0; ///< debited for grants, less refunds; may exceed a lowered total
    uint64_t configVersion = 0;
    uint64_t unmetTokens = 0; ///< tokens requested by refused claims since the last accepted one
    uint64_t billed = 0;

    uint64_t remainder() const { return total > allocated ? total - allocated : 0; }
};

struct LedgerRun
{
    wire::RunClaim claim;
    Incarnation writer;
    std::optional<wire::RunOutcome> outcome;
    uint64_t offset = 0;

    /// The claimer will never send the call, so another claim may take the key.
    bool keyAvailable() const { return outcome && outcome->execution() == wire::NOT_RUN; }
};

/// Thrown by requireNoGap.
class LedgerGapError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Refuses to start across a gap: records between the folded ones and the oldest record in the log
/// are lost to this reader, so it would underestimate what is spent. Thread safe.
/// \throws LedgerGapError if \p nextOffset < \p oldestKept.
void requireNoGap(uint64_t nextOffset, uint64_t oldestKept);

/// Not thread safe: requires a single owner or a lock.
class LedgerFold
{
public:
    LedgerFold() = default;
    explicit LedgerFold(LedgerSafeguards safeguards) : safeguards_(safeguards) {}

    /// Folds the record at \p offset. \pre offset == nextOffset().
    FoldResult apply(const wire::Record &record, uint64_t offset);

    uint64_t nextOffset() const { return nextOffset_; }

    /// nullptr if unknown. Pointers are valid until the next apply or restore.
    const LedgerBudget *budget(const WorkspaceId &workspace) const;
    /// nullptr if never accepted, or if it ended so long ago that it was removed.
    const LedgerGrant *grant(const GrantId &grant) const;
    const LedgerRun *run(const WorkspaceId &workspace, const RunKey &key) const;
    bool billed(const WorkspaceId &workspace, const RequestId &request) const;
    /// Whether the claim of \p grant was refused recently. Only the latest RefusedClaimsKept of a
    /// budget are known.
    bool claimRefused(const WorkspaceId &workspace, const GrantId &grant) const;
    /// Grants of \p workspace that haven't ended.
    std::vector<const LedgerGrant *> grantsOf(const WorkspaceId &workspace) const;
    /// Grants that haven't ended and of which \p incarnation is the holder, or the witness.
    std::vector<const LedgerGrant *> grantsHeldBy(const Incarnation &incarnation) const;
    std::vector<const LedgerGrant *> grantsWitnessedBy(const Incarnation &incarnation) const;
    /// Whether (writer, sequence) has been folded, with any outcome.
    bool folded(const Incarnation &writer, uint64_t sequence) const;

    /// The state as a checkpoint: equal states produce equal bytes.
    wire::LedgerState checkpoint() const;
    /// Replaces all state. Used at start and across a retention gap.
    /// \pre state.offset() >= nextOffset(): a reader never goes back.
    void restore(const wire::LedgerState &state);

    /// Number of refused claims and of ended grants kept per budget. Part of the fold: two readers
    /// with different values would produce different checkpoints.
    static constexpr std::size_t RefusedClaimsKept = 16;
    static constexpr std::size_t EndedGrantsKept = 64;

private:
    /// A budget with its grants.
    struct BudgetEntry
    {
        LedgerBudget budget;
        std::vector<GrantId> live;
        std::vector<GrantId> ended;   ///< oldest first
        std::vector<GrantId> refused; ///< oldest first
    };
    struct RunId
    {
        WorkspaceId workspace;
        RunKey key;
        friend bool operator==(const RunId &, const RunId &) = default;
    };
    struct BillId
    {
        WorkspaceId workspace;
        RequestId request;
        friend bool operator==(const BillId &, const BillId &) = default;
    };
    struct PairHash
    {
        std::size_t operator()(const RunId &id) const;
        std::size_t operator()(const BillId &id) const;
    };
    using GrantIndex = std::unordered_map<Incarnation, std::unordered_set<GrantId>>;

    FoldResult applyBody(const wire::Record &record, uint64_t offset);
    FoldResult applyFunding(const wire::Funding &funding);
    FoldResult applyClaim(const wire::GrantClaim &claim, const Incarnation &writer);
    FoldResult applyReturn(const wire::GrantReturn &grantReturn, const Incarnation &writer);
    FoldResult applySeal(const wire::GrantSeal &seal, const Incarnation &writer);
    FoldResult applyRewitness(const wire::GrantRewitness &change, const Incarnation &writer);
    FoldResult applyClose(const wire::GrantClose &close, const Incarnation &writer);
    FoldResult applyAttest(const wire::GrantAttest &attest);
    FoldResult applyBill(const wire::Bill &bill);
    FoldResult applyRunClaim(const wire::RunClaim &claim, const Incarnation &writer,
                             uint64_t offset);
    FoldResult applyRunOutcome(const wire::RunOutcome &outcome);

    FoldResult refuseClaim(BudgetEntry &entry, const wire::GrantClaim &claim, std::string reason);
    /// Ends a grant of which at most \p used may have been spent, and refunds the rest.
    FoldResult endGrant(LedgerGrant &grant, uint64_t used);
    LedgerGrant *findOpenGrant(const std::string &id);
    void addGrant(BudgetEntry &entry, LedgerGrant grant);
    void index(const LedgerGrant &grant);
    void unindex(const LedgerGrant &grant);
    void trimEndedGrants(BudgetEntry &entry);
    std::vector<const LedgerGrant *> grantsIn(const GrantIndex &index,
                                              const Incarnation &incarnation) const;
    wire::BudgetState budgetState(const WorkspaceId &workspace, const BudgetEntry &entry) const;
    void restoreBudget(const wire::BudgetState &state);

    LedgerSafeguards safeguards_;
    uint64_t nextOffset_ = 0;
    std::unordered_map<Incarnation, uint64_t> writers_;
    std::unordered_map<WorkspaceId, BudgetEntry> budgets_;
    std::unordered_map<GrantId, LedgerGrant> grants_;
    GrantIndex byHolder_;
    GrantIndex byWitness_;
    std::unordered_map<RunId, LedgerRun, PairHash> runs_;
    std::unordered_map<BillId, uint64_t, PairHash> bills_; ///< tokens billed
};

} // namespace sequoiagate

#endif
