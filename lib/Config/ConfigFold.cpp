#include "sequoiagate/Config/ConfigFold.h"

#include <algorithm>
#include <cassert>

#include <fmt/format.h>

#include "SortedEntries.h"
#include "StagedConfigChange.h"

namespace sequoiagate {

namespace {

FoldResult refused(std::string why)
{
    return {FoldOutcome::Refused, std::move(why), 0};
}

} // namespace

FoldResult ConfigFold::apply(const wire::Record &record, uint64_t offset)
{
    assert(offset == state_.offset() && "records are folded in the log's order, without gaps");
    state_.set_offset(offset + 1);
    if (record.writer().empty() || record.sequence() == 0) {
        return refused("a record needs a writer and a sequence from 1 on");
    }
    uint64_t &mark = writers_[Incarnation(record.writer())];
    if (record.sequence() <= mark) {
        return {FoldOutcome::Duplicate, "folded before", 0};
    }
    mark = record.sequence();
    if (record.has_checkpoint()) {
        return {FoldOutcome::Accepted, {}, 0};
    }
    if (!record.has_config_change()) {
        return refused("not a configuration record");
    }
    FoldResult result = applyChange(record.config_change());
    if (result.outcome == FoldOutcome::Accepted) {
        addHistory(record);
    }
    remember(record, result.outcome);
    return result;
}

FoldResult ConfigFold::applyChange(const wire::ConfigChange &change)
{
    // Two operators who start from the same version would each undo what they haven't
    // seen of the other's. The log's first wins; the other is told the version that won.
    if (safeguards_.compareAndSwap && change.base_version() != state_.version()) {
        return refused(fmt::format("built on version {}, the current one is {}",
                                   change.base_version(), state_.version()));
    }
    StagedConfigChange draft(state_, keys_, safeguards_);
    if (std::optional<std::string> fault = draft.stage(change)) {
        return refused(std::move(*fault));
    }
    draft.commit(state_, keys_);
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
    if (state_.history_size() > HistoryKept) {
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
        uint64_t &mark = writers_[Incarnation(entry.writer())];
        mark = std::max(mark, entry.sequence());
    }
    indexKeys();
    return true;
}

void ConfigFold::remember(const wire::Record &record, FoldOutcome outcome)
{
    if (outcomes_.size() == OutcomesKept) {
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
    for (const RecordOutcome &known : outcomes_) {
        if (known.writer == writer && known.sequence == sequence) {
            return known.outcome;
        }
    }
    return std::nullopt;
}

void ConfigFold::indexKeys()
{
    keys_.clear();
    for (const wire::WorkspaceConfig &workspace : state_.workspaces()) {
        for (const std::string &hash : workspace.key_hashes()) {
            keys_.emplace(hash, WorkspaceId(workspace.workspace()));
        }
    }
}

const wire::WorkspaceConfig *ConfigFold::findWorkspace(const WorkspaceId &workspace) const
{
    return findEntry(state_.workspaces(), workspace.text());
}

const wire::WorkspaceConfig *ConfigFold::findWorkspaceByKeyHash(const std::string &keyHash) const
{
    const auto found = keys_.find(keyHash);
    return found == keys_.end() ? nullptr : findWorkspace(found->second);
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
