#include <algorithm>
#include <optional>
#include <string_view>
#include <unordered_map>

#include <fmt/format.h>

#include "sequoiagate/Config/ConfigFold.h"
#include "sequoiagate/Config/Sheet.h"

namespace sequoiagate {

namespace {

wire::WorkspaceSettings settingsOf(const SheetWorkspace &workspace)
{
    wire::WorkspaceSettings settings;
    for (const ServiceId &service : workspace.services) {
        settings.add_services(service.text());
    }
    settings.set_weight(workspace.weight);
    settings.set_max_output_tokens(workspace.maxOutputTokens);
    return settings;
}

bool sameSettings(const wire::WorkspaceSettings &left, const wire::WorkspaceSettings &right)
{
    return left.weight() == right.weight() && left.max_output_tokens() == right.max_output_tokens()
           && std::equal(left.services().begin(), left.services().end(), right.services().begin(),
                         right.services().end());
}

const wire::TopUp *findTopUp(const wire::WorkspaceConfig &workspace, const std::string &id)
{
    for (const wire::TopUp &topUp : workspace.top_ups()) {
        if (topUp.id() == id) {
            return &topUp;
        }
    }
    return nullptr;
}

/// Indexes the workspaces of a configuration by id, including removed ones.
class WorkspaceIndex
{
public:
    explicit WorkspaceIndex(const wire::ConfigState &state)
    {
        for (const auto *entries : {&state.workspaces(), &state.removed_workspaces()}) {
            for (const wire::WorkspaceConfig &workspace : *entries) {
                byId_.emplace(workspace.workspace(), &workspace);
            }
        }
    }

    /// \returns an empty entry if the workspace is new.
    const wire::WorkspaceConfig &find(const WorkspaceId &workspace) const
    {
        const auto found = byId_.find(workspace.text());
        return found == byId_.end() ? wire::WorkspaceConfig::default_instance() : *found->second;
    }

private:
    std::unordered_map<std::string_view, const wire::WorkspaceConfig *> byId_;
};

/// Compares the rows of one workspace with its current configuration.
class WorkspaceDiff
{
public:
    WorkspaceDiff(const SheetWorkspace &sheet, const wire::WorkspaceConfig &current)
        : sheet_(sheet), current_(current)
    {
        change_.set_workspace(sheet.workspace.text());
    }

    /// \returns nullopt if there is no difference.
    std::optional<wire::WorkspaceChange> compute(SheetErrors &errors)
    {
        bool changed = false;
        if (current_.name() != sheet_.name) {
            change_.set_name(sheet_.name);
            changed = true;
        }
        if (current_.workspace().empty() || current_.budget_tokens() != sheet_.budgetTokens) {
            change_.set_budget_tokens(sheet_.budgetTokens);
            changed = true;
        }
        const wire::WorkspaceSettings settings = settingsOf(sheet_);
        if (!sameSettings(current_.settings(), settings)) {
            *change_.mutable_settings() = settings;
            changed = true;
        }
        addTopUps(errors);
        changed = changed || change_.top_ups_size() > 0;
        return changed ? std::optional(change_) : std::nullopt;
    }

private:
    void addTopUps(SheetErrors &errors)
    {
        uint64_t total = prepaidTotal(current_) - current_.budget_tokens() + sheet_.budgetTokens;
        for (const SheetTopUp &topUp : sheet_.topUps) {
            const wire::TopUp *applied = findTopUp(current_, topUp.id);
            if (applied && applied->tokens() != topUp.tokens) {
                errors.push_back({topUp.line, "top_up_tokens",
                                  fmt::format("top-up '{}' was already applied with {} tokens",
                                              topUp.id, applied->tokens())});
            }
            if (applied) {
                continue;
            }
            if (topUp.tokens > UINT64_MAX - total) {
                errors.push_back(
                        {topUp.line, "top_up_tokens",
                         "together with the top-ups already applied, the total overflows"});
                return;
            }
            total += topUp.tokens;
            wire::TopUp *added = change_.add_top_ups();
            added->set_id(topUp.id);
            added->set_tokens(topUp.tokens);
        }
    }

    const SheetWorkspace &sheet_;
    const wire::WorkspaceConfig &current_;
    wire::WorkspaceChange change_;
};

} // namespace

SheetChangeResult makeConfigChange(const Sheet &sheet, const wire::ConfigState &state,
                                   const std::string &author, const std::string &note)
{
    wire::ConfigChange change;
    change.set_base_version(state.version());
    change.set_author(author);
    change.set_note(note);
    SheetErrors errors;
    const WorkspaceIndex index(state);
    for (const SheetWorkspace &workspace : sheet.workspaces) {
        std::optional<wire::WorkspaceChange> difference =
                WorkspaceDiff(workspace, index.find(workspace.workspace)).compute(errors);
        if (difference) {
            *change.add_workspaces() = std::move(*difference);
        }
    }
    if (!errors.empty()) {
        return errors;
    }
    return change;
}

} // namespace sequoiagate
