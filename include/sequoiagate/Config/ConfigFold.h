#ifndef SEQUOIAGATE_CONFIG_CONFIGFOLD_H
#define SEQUOIAGATE_CONFIG_CONFIGFOLD_H

/// Computes the configuration state by applying the records of the configuration
/// stream in order. Versions advance by compare-and-swap: of two operators who race,
/// one succeeds and the other gets an error.

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

    /// Applies the record at \p offset. A rejected change leaves the configuration as it is.
    /// \pre offset == state().offset().
    FoldResult apply(const wire::Record &record, uint64_t offset);
    /// Adopts the state of a peer or a checkpoint if it is newer. The version never
    /// decreases. \returns whether the state was adopted.
    bool adoptIfNewer(const wire::ConfigState &state);

    /// The state as stored in a checkpoint: equal states serialize to equal bytes.
    const wire::ConfigState &state() const { return state_; }
    uint64_t version() const { return state_.version(); }
    /// The outcome of the record (writer, sequence); nullopt if it hasn't been applied
    /// or its outcome is no longer kept. Outcomes are kept for the last MaxOutcomes
    /// records, and for accepted records as long as they are in the history.
    std::optional<FoldOutcome> outcomeOf(const Incarnation &writer, uint64_t sequence) const;

    /// \returns nullptr if unknown. The pointer is valid until the next apply() or
    /// adoptIfNewer().
    const wire::WorkspaceConfig *findWorkspace(const WorkspaceId &workspace) const;
    /// The workspace whose API key has this hex SHA-256, or nullptr.
    const wire::WorkspaceConfig *findWorkspaceByKeyHash(const std::string &keyHash) const;

    static constexpr std::size_t MaxOutcomes = 1024;
    /// Number of versions in the history. The history is part of the state, so all
    /// processes must use the same value.
    static constexpr int MaxHistoryEntries = 128;

private:
    struct RecordOutcome
    {
        Incarnation writer;
        uint64_t sequence = 0;
        FoldOutcome outcome = FoldOutcome::Refused;
    };

    FoldResult applyChange(const wire::ConfigChange &change);
    void addHistory(const wire::Record &record);
    void recordOutcome(const wire::Record &record, FoldOutcome outcome);
    void rebuildKeyIndex();

    ConfigSafeguards safeguards_; ///< all on except in tests
    wire::ConfigState state_;
    std::unordered_map<Incarnation, uint64_t> lastSequences_;
    std::deque<RecordOutcome> outcomes_; ///< oldest first
    std::unordered_map<std::string, WorkspaceId> keyIndex_;
};

/// The budget of \p workspace plus all its top-ups, saturating at UINT64_MAX.
/// Thread safe.
uint64_t prepaidTotal(const wire::WorkspaceConfig &workspace);

} // namespace sequoiagate

#endif
