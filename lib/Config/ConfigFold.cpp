#include "sequoiagate/Config/ConfigFold.h"

#include <algorithm>
#include <cassert>
#include <unordered_set>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

FoldResult refused(std::string why)
{
    return {FoldOutcome::Refused, std::move(why), 0};
}

const std::string &nameOf(const wire::WorkspaceConfig &entry)
{
    return entry.workspace();
}

const std::string &nameOf(const wire::EndpointChange &entry)
{
    return entry.endpoint();
}

/// Entries stand in the order of their names: a search is quick, and two folds of
/// the same records hold equal bytes.
template <typename Entries>
auto lowerBound(Entries &entries, const std::string &name)
{
    return std::lower_bound(
            entries.begin(), entries.end(), name,
            [](const auto &entry, const std::string &key) { return nameOf(entry) < key; });
}

template <typename Entries>
auto *find(Entries &entries, const std::string &name)
{
    const auto place = lowerBound(entries, name);
    return place != entries.end() && nameOf(*place) == name ? &*place : nullptr;
}

template <typename Entry>
Entry &insert(google::protobuf::RepeatedPtrField<Entry> &entries, const std::string &name)
{
    const auto place = static_cast<int>(lowerBound(entries, name) - entries.begin());
    Entry *added = entries.Add();
    for (int index = entries.size() - 1; index > place; --index) {
        entries.SwapElements(index, index - 1);
    }
    return *added;
}

template <typename Entry>
void erase(google::protobuf::RepeatedPtrField<Entry> &entries, const std::string &name)
{
    const auto place = lowerBound(entries, name);
    if (place != entries.end() && nameOf(*place) == name) {
        entries.erase(place);
    }
}

bool hasTopUp(const wire::WorkspaceConfig &workspace, const std::string &id)
{
    return std::any_of(workspace.top_ups().begin(), workspace.top_ups().end(),
                       [&id](const wire::TopUp &topUp) { return topUp.id() == id; });
}

wire::WorkspaceConfig &workspaceToChange(wire::ConfigState &state, const std::string &name)
{
    if (wire::WorkspaceConfig *known = find(*state.mutable_workspaces(), name)) {
        return *known;
    }
    wire::WorkspaceConfig &added = insert(*state.mutable_workspaces(), name);
    added.set_workspace(name);
    // One that comes back keeps its top-ups: without them a sheet that is applied
    // again would top up a second time what the ledger has long given out.
    if (const wire::WorkspaceConfig *old = find(*state.mutable_removed_workspaces(), name)) {
        added = *old;
        erase(*state.mutable_removed_workspaces(), name);
    }
    return added;
}

void removeWorkspace(wire::ConfigState &state, const std::string &name)
{
    const wire::WorkspaceConfig *known = find(*state.mutable_workspaces(), name);
    if (!known) {
        return;
    }
    wire::WorkspaceConfig tombstone;
    tombstone.set_workspace(name);
    *tombstone.mutable_top_ups() = known->top_ups();
    insert(*state.mutable_removed_workspaces(), name) = std::move(tombstone);
    erase(*state.mutable_workspaces(), name);
}

void changeKeys(const wire::WorkspaceChange &change, wire::WorkspaceConfig &workspace)
{
    auto &hashes = *workspace.mutable_key_hashes();
    for (const std::string &removed : change.remove_key_hashes()) {
        hashes.erase(std::remove(hashes.begin(), hashes.end(), removed), hashes.end());
    }
    for (const std::string &added : change.add_key_hashes()) {
        if (std::find(hashes.begin(), hashes.end(), added) == hashes.end()) {
            *hashes.Add() = added;
        }
    }
    std::sort(hashes.begin(), hashes.end());
}

bool totalOverflows(const wire::WorkspaceConfig &workspace)
{
    uint64_t total = workspace.budget_tokens();
    for (const wire::TopUp &topUp : workspace.top_ups()) {
        if (topUp.tokens() > UINT64_MAX - total) {
            return true;
        }
        total += topUp.tokens();
    }
    return false;
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
        return {FoldOutcome::Doubled, "folded before", 0};
    }
    mark = record.sequence();
    if (record.has_checkpoint()) {
        return {FoldOutcome::Accepted, {}, 0};
    }
    if (!record.has_config_change()) {
        return refused("not a configuration record");
    }
    wire::ConfigState next = state_;
    FoldResult result = applyChange(record.config_change(), next);
    if (result.outcome == FoldOutcome::Accepted) {
        wire::ConfigHistoryEntry *entry = next.add_history();
        entry->set_version(next.version());
        entry->set_author(record.config_change().author());
        entry->set_note(record.config_change().note());
        entry->set_wall_us(record.wall_us());
        entry->set_writer(record.writer());
        entry->set_sequence(record.sequence());
        if (next.history_size() > HistoryKept) {
            next.mutable_history()->erase(next.mutable_history()->begin());
        }
        state_ = std::move(next);
        indexKeys();
    }
    remember(record, result.outcome);
    return result;
}

FoldResult ConfigFold::applyChange(const wire::ConfigChange &change, wire::ConfigState &next) const
{
    // Two operators who start from the same version would each undo what they haven't
    // seen of the other's. The log's first wins; the other is told the version that won.
    if (safeguards_.compareAndSwap && change.base_version() != state_.version()) {
        return refused(fmt::format("built on version {}, the current one is {}",
                                   change.base_version(), state_.version()));
    }
    for (const wire::WorkspaceChange &workspace : change.workspaces()) {
        if (workspace.workspace().empty()) {
            return refused("a workspace needs an id");
        }
        applyWorkspace(workspace, next);
    }
    for (const wire::EndpointChange &endpoint : change.endpoints()) {
        if (endpoint.endpoint().empty()) {
            return refused("an endpoint needs an id");
        }
        wire::EndpointChange *known = find(*next.mutable_endpoints(), endpoint.endpoint());
        (known ? *known : insert(*next.mutable_endpoints(), endpoint.endpoint())) = endpoint;
    }
    for (const std::string &workspace : change.removed_workspaces()) {
        removeWorkspace(next, workspace);
    }
    for (const std::string &endpoint : change.removed_endpoints()) {
        erase(*next.mutable_endpoints(), endpoint);
    }
    if (std::optional<std::string> fault = faultOf(next)) {
        return refused(std::move(*fault));
    }
    next.set_version(state_.version() + 1);
    return {FoldOutcome::Accepted, {}, 0};
}

void ConfigFold::applyWorkspace(const wire::WorkspaceChange &change, wire::ConfigState &state) const
{
    wire::WorkspaceConfig &workspace = workspaceToChange(state, change.workspace());
    if (!change.name().empty()) {
        workspace.set_name(change.name());
    }
    if (change.has_budget_tokens()) {
        workspace.set_budget_tokens(change.budget_tokens());
    }
    addTopUps(change, workspace);
    if (change.has_settings()) {
        *workspace.mutable_settings() = change.settings();
    }
    changeKeys(change, workspace);
}

void ConfigFold::addTopUps(const wire::WorkspaceChange &change,
                           wire::WorkspaceConfig &workspace) const
{
    for (const wire::TopUp &topUp : change.top_ups()) {
        // The planners' export is a whole day's sheet and is applied again after every
        // correction: without the ids, each time would add the tokens once more.
        if (safeguards_.topUpOnce && hasTopUp(workspace, topUp.id())) {
            continue;
        }
        *workspace.add_top_ups() = topUp;
    }
}

std::optional<std::string> ConfigFold::faultOf(const wire::ConfigState &next) const
{
    std::unordered_set<std::string> seen;
    for (const wire::WorkspaceConfig &workspace : next.workspaces()) {
        if (totalOverflows(workspace)) {
            return fmt::format("the prepaid total of workspace {} overflows",
                               workspace.workspace());
        }
        for (const std::string &hash : workspace.key_hashes()) {
            if (!seen.insert(hash).second) {
                // A key in two workspaces would let one spend and read as the other.
                return fmt::format("an API key of workspace {} belongs to another workspace",
                                   workspace.workspace());
            }
        }
    }
    return std::nullopt;
}

bool ConfigFold::takeNewer(const wire::ConfigState &state)
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

const wire::WorkspaceConfig *ConfigFold::workspace(const WorkspaceId &workspace) const
{
    return find(state_.workspaces(), workspace.text());
}

const wire::WorkspaceConfig *ConfigFold::workspaceOfKeyHash(const std::string &keyHash) const
{
    const auto found = keys_.find(keyHash);
    return found == keys_.end() ? nullptr : workspace(found->second);
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
