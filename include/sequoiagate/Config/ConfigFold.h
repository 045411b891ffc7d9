#ifndef SEQUOIAGATE_CONFIG_CONFIGFOLD_H
#define SEQUOIAGATE_CONFIG_CONFIGFOLD_H

/// The deterministic fold of the configuration stream: versions by compare-and-
/// swap, so that of two operators who race one wins and the other is told.

#include <cstdint>
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
    /// Folds the record at \p offset. \pre offset == state().offset().
    FoldResult apply(const wire::Record &record, uint64_t offset);
    /// Takes a peer's or a checkpoint's state if it is newer. A version never goes
    /// down. \returns whether it was taken.
    bool takeNewer(const wire::ConfigState &state);

    const wire::ConfigState &state() const { return state_; }
    uint64_t version() const { return state_.version(); }
    /// Who wrote (writer, sequence)'s outcome: nullopt while not folded.
    std::optional<FoldOutcome> outcomeOf(const Incarnation &writer, uint64_t sequence) const;

    /// nullptr: unknown.
    const wire::WorkspaceConfig *workspace(const WorkspaceId &workspace) const;
    /// The workspace whose API key has this hex SHA-256.
    const wire::WorkspaceConfig *workspaceOfKeyHash(const std::string &keyHash) const;

private:
    wire::ConfigState state_;
    std::unordered_map<Incarnation, uint64_t> writers_;
};

/// A workspace's prepaid total: budget and all top-ups.
uint64_t prepaidTotal(const wire::WorkspaceConfig &workspace);

} // namespace sequoiagate

#endif
