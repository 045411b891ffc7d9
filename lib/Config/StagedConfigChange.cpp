#include "StagedConfigChange.h"

#include <algorithm>

#include <fmt/format.h>

#include "SortedEntries.h"

namespace sequoiagate {

namespace {

bool hasTopUp(const wire::WorkspaceConfig &workspace, const std::string &id)
{
    return std::any_of(workspace.top_ups().begin(), workspace.top_ups().end(),
                       [&id](const wire::TopUp &topUp) { return topUp.id() == id; });
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

std::optional<std::string> StagedConfigChange::stage(const wire::ConfigChange &change)
{
    for (const wire::WorkspaceChange &workspace : change.workspaces()) {
        if (workspace.workspace().empty()) {
            return "a workspace needs an id";
        }
        applyWorkspace(workspace);
    }
    for (const wire::EndpointChange &endpoint : change.endpoints()) {
        if (endpoint.endpoint().empty()) {
            return "an endpoint needs an id";
        }
        endpoints_[endpoint.endpoint()] = endpoint;
    }
    removedWorkspaces_.insert(change.removed_workspaces().begin(),
                              change.removed_workspaces().end());
    removedEndpoints_.insert(change.removed_endpoints().begin(), change.removed_endpoints().end());
    std::set<std::string> seenKeys;
    for (const auto &[name, workspace] : workspaces_) {
        if (removedWorkspaces_.contains(name)) {
            continue;
        }
        if (std::optional<std::string> fault = faultOf(workspace, seenKeys)) {
            return fault;
        }
    }
    return std::nullopt;
}

wire::WorkspaceConfig &StagedConfigChange::workspaceToChange(const std::string &name)
{
    const auto [place, isNew] = workspaces_.try_emplace(name);
    if (!isNew) {
        return place->second;
    }
    place->second.set_workspace(name);
    if (const wire::WorkspaceConfig *known = findEntry(state_.workspaces(), name)) {
        place->second = *known;
    } else if (const auto *old = findEntry(state_.removed_workspaces(), name)) {
        // One that comes back keeps its top-ups: without them a sheet that is applied
        // again would top up a second time what the ledger has long given out.
        place->second = *old;
    }
    return place->second;
}

void StagedConfigChange::applyWorkspace(const wire::WorkspaceChange &change)
{
    wire::WorkspaceConfig &workspace = workspaceToChange(change.workspace());
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

void StagedConfigChange::addTopUps(const wire::WorkspaceChange &change,
                                   wire::WorkspaceConfig &workspace) const
{
    for (const wire::TopUp &topUp : change.top_ups()) {
        // The planners' export is a whole day's sheet and is applied again after every
        // correction: without the ids, each time would add the tokens once more.
        if (safeguards_.deduplicateTopUps && hasTopUp(workspace, topUp.id())) {
            continue;
        }
        *workspace.add_top_ups() = topUp;
    }
}

/// Does \p owner still have its keys once the draft is in place, without the draft
/// saying so itself?
bool StagedConfigChange::keepsKey(const WorkspaceId &owner) const
{
    return !workspaces_.contains(owner.text()) && !removedWorkspaces_.contains(owner.text());
}

std::optional<std::string> StagedConfigChange::faultOf(const wire::WorkspaceConfig &workspace,
                                                       std::set<std::string> &seenKeys) const
{
    if (totalOverflows(workspace)) {
        return fmt::format("the prepaid total of workspace {} overflows", workspace.workspace());
    }
    for (const std::string &hash : workspace.key_hashes()) {
        const auto owner = keys_.find(hash);
        const bool taken = owner != keys_.end() && keepsKey(owner->second);
        if (taken || !seenKeys.insert(hash).second) {
            // A key in two workspaces would let one spend and read as the other.
            return fmt::format("an API key of workspace {} belongs to another workspace",
                               workspace.workspace());
        }
    }
    return std::nullopt;
}

void StagedConfigChange::commit(wire::ConfigState &state, KeyIndex &keys) const
{
    commitKeys(state, keys);
    commitWorkspaces(state);
    commitRemovals(state);
    commitEndpoints(state);
}

void StagedConfigChange::commitKeys(const wire::ConfigState &state, KeyIndex &keys) const
{
    // First all that go, then all that come: a key may move from one to another.
    const auto forget = [&state, &keys](const std::string &name) {
        const wire::WorkspaceConfig *known = findEntry(state.workspaces(), name);
        if (!known) {
            return;
        }
        for (const std::string &hash : known->key_hashes()) {
            keys.erase(hash);
        }
    };
    for (const auto &[name, workspace] : workspaces_) {
        forget(name);
    }
    for (const std::string &name : removedWorkspaces_) {
        forget(name);
    }
    for (const auto &[name, workspace] : workspaces_) {
        if (removedWorkspaces_.contains(name)) {
            continue;
        }
        for (const std::string &hash : workspace.key_hashes()) {
            keys.emplace(hash, WorkspaceId(name));
        }
    }
}

void StagedConfigChange::commitWorkspaces(wire::ConfigState &state) const
{
    auto &entries = *state.mutable_workspaces();
    wire::ConfigState added;
    for (const auto &[name, workspace] : workspaces_) {
        if (wire::WorkspaceConfig *known = findEntry(entries, name)) {
            *known = workspace;
            continue;
        }
        *added.add_workspaces() = workspace;
        eraseEntry(*state.mutable_removed_workspaces(), name);
    }
    if (added.workspaces_size() > 0) {
        entries.MergeFrom(added.workspaces());
        sortEntries(entries);
    }
}

void StagedConfigChange::commitRemovals(wire::ConfigState &state) const
{
    bool removed = false;
    for (const std::string &name : removedWorkspaces_) {
        const wire::WorkspaceConfig *known = findEntry(state.workspaces(), name);
        if (!known) {
            continue;
        }
        removed = true;
        wire::WorkspaceConfig &tombstone = *state.add_removed_workspaces();
        tombstone.set_workspace(name);
        *tombstone.mutable_top_ups() = known->top_ups();
        eraseEntry(*state.mutable_workspaces(), name);
    }
    if (removed) {
        sortEntries(*state.mutable_removed_workspaces());
    }
}

void StagedConfigChange::commitEndpoints(wire::ConfigState &state) const
{
    auto &entries = *state.mutable_endpoints();
    wire::ConfigState added;
    for (const auto &[name, endpoint] : endpoints_) {
        if (wire::EndpointChange *known = findEntry(entries, name)) {
            *known = endpoint;
        } else {
            *added.add_endpoints() = endpoint;
        }
    }
    entries.MergeFrom(added.endpoints());
    sortEntries(entries);
    for (const std::string &name : removedEndpoints_) {
        eraseEntry(entries, name);
    }
}

} // namespace sequoiagate
