#ifndef LIB_CONFIG_STAGEDCONFIGCHANGE_H
#define LIB_CONFIG_STAGEDCONFIGCHANGE_H

/// A configuration change that is computed and validated separately from the state, so
/// that a rejected change has no effect. Committing it updates only the entries that it
/// changes, since copying the whole state takes seconds with 390,000 budgets.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Ledger/Safeguards.h"

namespace sequoiagate {

/// The workspace of each API key, by the key's hash.
using KeyIndex = std::unordered_map<std::string, WorkspaceId>;

/// Not thread safe. For a single use.
class StagedConfigChange
{
public:
    /// \pre state and keys outlive this object; keys is the index of state's keys.
    StagedConfigChange(const wire::ConfigState &state, const KeyIndex &keys,
                       ConfigSafeguards safeguards)
        : state_(state), keys_(keys), safeguards_(safeguards)
    {}

    /// Computes and validates the effects of \p change. \returns why the change is rejected;
    /// nullopt: it may be committed.
    std::optional<std::string> stage(const wire::ConfigChange &change);
    /// Applies the staged change. \pre stage() returned nullopt; state and keys are those
    /// passed to the constructor.
    void commit(wire::ConfigState &state, KeyIndex &keys) const;

private:
    wire::WorkspaceConfig &stagedWorkspace(const std::string &name);
    void stageWorkspace(const wire::WorkspaceChange &change);
    void stageTopUps(const wire::WorkspaceChange &change, wire::WorkspaceConfig &workspace) const;
    std::optional<std::string> findError(const wire::WorkspaceConfig &workspace,
                                         std::set<std::string> &seenKeys) const;
    bool keepsItsKeys(const WorkspaceId &owner) const;
    void commitKeys(const wire::ConfigState &state, KeyIndex &keys) const;
    void commitWorkspaces(wire::ConfigState &state) const;
    void commitRemovals(wire::ConfigState &state) const;
    void commitEndpoints(wire::ConfigState &state) const;

    const wire::ConfigState &state_;
    const KeyIndex &keys_;
    ConfigSafeguards safeguards_;
    std::map<std::string, wire::WorkspaceConfig> workspaces_; ///< in their new form
    std::map<std::string, wire::EndpointChange> endpoints_;
    std::set<std::string> removedWorkspaces_;
    std::set<std::string> removedEndpoints_;
};

} // namespace sequoiagate

#endif
