#ifndef SEQUOIAGATE_LEDGER_LEDGERFOLD_H
#define SEQUOIAGATE_LEDGER_LEDGERFOLD_H

/// The deterministic fold of a ledger stream: budgets, grants, bills and run
/// claims. Two folds at the same offset hold the same state. Every rule that
/// keeps spend within budget is decided here, by the log's order alone.

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// What the fold did with a record.
enum class FoldOutcome {
    Accepted,
    Refused, ///< a rule was not met; the record has no effect
    Doubled, ///< this (writer, sequence) or a later one of the writer was folded before
};

struct FoldResult
{
    FoldOutcome outcome = FoldOutcome::Refused;
    std::string why;           ///< for people; empty when accepted
    uint64_t refundTokens = 0; ///< what went back to the pool
};

/// A grant as the log knows it.
struct LedgerGrant
{
    GrantId id;
    WorkspaceId workspace;
    uint64_t tokens = 0; ///< granted, less what was returned
    Incarnation holder;
    Incarnation witness;     ///< empty: unwitnessed
    uint64_t baseSigned = 0; ///< what the present witness counts from
    bool ended = false;
};

struct LedgerBudget
{
    uint64_t total = 0;     ///< prepaid, under configVersion
    uint64_t allocated = 0; ///< debited for grants, less refunds; may exceed a lowered total
    uint64_t configVersion = 0;
    uint64_t unmet = 0; ///< tokens that refused claims asked for since the last accepted one
    uint64_t billed = 0;

    uint64_t remainder() const { return total > allocated ? total - allocated : 0; }
};

struct LedgerRun
{
    wire::RunClaim claim;
    Incarnation writer;
    std::optional<wire::RunOutcome> outcome;
    uint64_t offset = 0;
};

/// Not thread safe: one owner, or a lock around it.
class LedgerFold
{
public:
    /// Folds the record at \p offset. \pre offset == nextOffset().
    FoldResult apply(const wire::Record &record, uint64_t offset);

    uint64_t nextOffset() const { return nextOffset_; }

    /// nullptr: unknown.
    const LedgerBudget *budget(const WorkspaceId &workspace) const;
    const LedgerGrant *grant(const GrantId &grant) const;
    const LedgerRun *run(const WorkspaceId &workspace, const RunKey &key) const;
    bool billed(const WorkspaceId &workspace, const RequestId &request) const;
    /// Grants not ended that \p incarnation holds, or that it is witness of.
    std::vector<const LedgerGrant *> grantsHeldBy(const Incarnation &incarnation) const;
    std::vector<const LedgerGrant *> grantsWitnessedBy(const Incarnation &incarnation) const;
    /// Has (writer, sequence) been folded, whatever came of it?
    bool folded(const Incarnation &writer, uint64_t sequence) const;

    /// The state as a checkpoint: equal states give equal bytes.
    wire::LedgerState checkpoint() const;
    /// Replaces all state. Used at start and over a retention gap.
    void restore(const wire::LedgerState &state);

private:
    FoldResult applyBody(const wire::Record &record, uint64_t offset);

    uint64_t nextOffset_ = 0;
    std::unordered_map<Incarnation, uint64_t> writers_;
    std::unordered_map<WorkspaceId, LedgerBudget> budgets_;
    std::unordered_map<GrantId, LedgerGrant> grants_;
};

} // namespace sequoiagate

#endif
