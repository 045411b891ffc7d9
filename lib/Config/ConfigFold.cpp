#include "sequoiagate/Config/ConfigFold.h"

#include <algorithm>
#include <cassert>

#include <fmt/format.h>

#include "SortedEntries.h"
#include "StagedConfigChange.h"

namespace sequoiagate {

namespace {

FoldResult rejected(std::string reason)
{
    return {FoldOutcome::Refused, std::move(reason), 0};
}

} // namespace

FoldResult ConfigFold::apply(const wire::Record &record, uint64_t offset)
{
    assert(offset == state_.offset() && "records are applied in log order, without gaps");
    state_.set_offset(offset + 1);
    if (record.writer().empty() || record.sequence() == 0) {
        return rejected("a record needs a writer and a sequence number of at least 1");
    }
    uint64_t &lastSequence = lastSequences_[Incarnation(record.writer())];
    if (record.sequence() <= lastSequence) {
        return {FoldOutcome::Duplicate, "already applied", 0};
    }
    lastSequence = record.sequence();
    if (record.has_checkpoint()) {
        return {FoldOutcome::Accepted, {}, 0};
    }
    if (!record.has_config_change()) {
        return rejected("not a configuration record");
    }
    FoldResult result = applyChange(record.config_change());
    if (result.outcome == FoldOutcome::Accepted) {
        addHistory(record);
    }
    recordOutcome(record, result.outcome);
    return result;
}

FoldResult ConfigFold::applyChange(const wire::ConfigChange &change)
{
    // Of two operators who start from the same version, the later would undo changes of
    // the earlier that it hasn't seen. The first in the log wins; the other gets an error
    // with the current version.
    if (safeguards_.compareAndSwap && change.base_version() != state_.version()) {
        return rejected(
                fmt::format("the change is based on version {}, but the current version is {}",
                            change.base_version(), state_.version()));
    }
    StagedConfigChange staged(state_, keyIndex_, safeguards_);
    if (std::optional<std::string> error = staged.stage(change)) {
        return rejected(std::move(*error));
    }
    staged.commit(state_, keyIndex_);
    state_.set_version(state_.version() + 1);
    return {FoldOutcome::Accepted, {}, 0};
}

void ConfigFold::addHistory(const wire::Record &record)
{
    wire::ConfigHistoryEntry *entry = state_.add_history();
    entry->set_version(state_.version());
    entry->set_author(record.config_change().author());
    entry->set_note(record.config_change().note());
    entry->set_wall_us(record.wall_us());
    entry->set_writer(record.writer());
    entry->set_sequence(record.sequence());
    if (state_.history_size() > MaxHistoryEntries) {
        state_.mutable_history()->erase(state_.mutable_history()->begin());
    }
}

bool ConfigFold::adoptIfNewer(const wire::ConfigState &state)
{
    const bool newer = state.version() > state_.version()
                       || (state.version() == state_.version() && state.offset() > state_.offset());
    if (!newer || state.offset() < state_.offset()) {
        return false;
    }
    state_ = state;
    for (const wire::ConfigHistoryEntry &entry : state_.history()) {
        uint64_t &lastSequence = lastSequences_[Incarnation(entry.writer())];
        lastSequence = std::max(lastSequence, entry.sequence());
    }
    rebuildKeyIndex();
    return true;
}

void ConfigFold::recordOutcome(const wire::Record &record, FoldOutcome outcome)
{
    if (outcomes_.size() == MaxOutcomes) {
        outcomes_.pop_front();
    }
    outcomes_.push_back({Incarnation(record.writer()), record.sequence(), outcome});
}

std::optional<FoldOutcome> ConfigFold::outcomeOf(const Incarnation &writer, uint64_t sequence) const
{
    for (const wire::ConfigHistoryEntry &entry : state_.history()) {
        if (entry.writer() == writer.text() && entry.sequence() == sequence) {
            return FoldOutcome::Accepted;
        }
    }
    for (const RecordOutcome &entry : outcomes_) {
        if (entry.writer == writer && entry.sequence == sequence) {
            return entry.outcome;
        }
    }
    return std::nullopt;
}

void ConfigFold::rebuildKeyIndex()
{
    keyIndex_.clear();
    for (const wire::WorkspaceConfig &workspace : state_.workspaces()) {
        for (const std::string &hash : workspace.key_hashes()) {
            keyIndex_.emplace(hash, WorkspaceId(workspace.workspace()));
        }
    }
}

const wire::WorkspaceConfig *ConfigFold::findWorkspace(const WorkspaceId &workspace) const
{
    return findEntry(state_.workspaces(), workspace.text());
}

const wire::WorkspaceConfig *ConfigFold::findWorkspaceByKeyHash(const std::string &keyHash) const
{
    const auto found = keyIndex_.find(keyHash);
    return found == keyIndex_.end() ? nullptr : findWorkspace(found->second);
}

uint64_t prepaidTotal(const wire::WorkspaceConfig &workspace)
{
    uint64_t total = workspace.budget_tokens();
    for (const wire::TopUp &topUp : workspace.top_ups()) {
        total = topUp.tokens() > UINT64_MAX - total ? UINT64_MAX : total + topUp.tokens();
    }
    return total;
}

} // namespace sequoiagate
