#ifndef SEQUOIAGATE_CONFIG_CONFIGFOLD_H
#define SEQUOIAGATE_CONFIG_CONFIGFOLD_H

/// The deterministic fold of the configuration stream: versions by compare-and-
/// swap, so that of two operators who race one wins and the other is told.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Ledger/LedgerFold.h"

namespace sequoiagate {

/// Not thread safe.
class ConfigFold
{
public:
    ConfigFold() = default;
    explicit ConfigFold(ConfigSafeguards safeguards) : safeguards_(safeguards) {}

    /// Folds the record at \p offset. A refused change has no effect at all.
    /// \pre offset == state().offset().
    FoldResult apply(const wire::Record &record, uint64_t offset);
    /// Takes a peer's or a checkpoint's state if it is newer. A version never goes
    /// down. \returns whether it was taken.
    bool adoptIfNewer(const wire::ConfigState &state);

    /// The state as a checkpoint: equal states give equal bytes.
    const wire::ConfigState &state() const { return state_; }
    uint64_t version() const { return state_.version(); }
    /// What became of (writer, sequence): nullopt while not folded. Known for the
    /// latest OutcomesKept records, and for accepted ones as long as the history
    /// holds them.
    std::optional<FoldOutcome> outcomeOf(const Incarnation &writer, uint64_t sequence) const;

    /// nullptr: unknown. Pointers hold until the next apply or takeNewer.
    const wire::WorkspaceConfig *findWorkspace(const WorkspaceId &workspace) const;
    /// The workspace whose API key has this hex SHA-256.
    const wire::WorkspaceConfig *findWorkspaceByKeyHash(const std::string &keyHash) const;

    static constexpr std::size_t OutcomesKept = 1024;
    static constexpr int HistoryKept = 128; ///< versions; part of the fold

private:
    struct RecordOutcome
    {
        Incarnation writer;
        uint64_t sequence = 0;
        FoldOutcome outcome = FoldOutcome::Refused;
    };

    FoldResult applyChange(const wire::ConfigChange &change);
    void addHistory(const wire::Record &record);
    void remember(const wire::Record &record, FoldOutcome outcome);
    void indexKeys();

    ConfigSafeguards safeguards_;
    wire::ConfigState state_;
    std::unordered_map<Incarnation, uint64_t> writers_;
    std::deque<RecordOutcome> outcomes_; ///< oldest first
    std::unordered_map<std::string, WorkspaceId> keys_;
};

/// A workspace's prepaid total: budget and all top-ups; UINT64_MAX at most.
/// Thread safe.
uint64_t prepaidTotal(const wire::WorkspaceConfig &workspace);

} // namespace sequoiagate

#endif
