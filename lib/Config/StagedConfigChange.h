#ifndef LIB_CONFIG_STAGEDCONFIGCHANGE_H
#define LIB_CONFIG_STAGEDCONFIGCHANGE_H

/// A configuration change on its way into the state: worked out and checked aside, so
/// that a refused one has no effect, and put in place only where it changes something,
/// since a copy of the whole state takes seconds at the size of 390,000 budgets.

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

/// Not thread safe. Used once.
class StagedConfigChange
{
public:
    /// \pre state and keys outlive this, and belong together.
    StagedConfigChange(const wire::ConfigState &state, const KeyIndex &keys,
                       ConfigSafeguards safeguards)
        : state_(state), keys_(keys), safeguards_(safeguards)
    {}

    /// Works \p change out. \returns why it is refused; nothing: it may be committed.
    std::optional<std::string> stage(const wire::ConfigChange &change);
    /// Puts the draft in place. \pre add found no fault; state and keys are those that
    /// this was made with.
    void commit(wire::ConfigState &state, KeyIndex &keys) const;

private:
    wire::WorkspaceConfig &workspaceToChange(const std::string &name);
    void applyWorkspace(const wire::WorkspaceChange &change);
    void addTopUps(const wire::WorkspaceChange &change, wire::WorkspaceConfig &workspace) const;
    std::optional<std::string> faultOf(const wire::WorkspaceConfig &workspace,
                                       std::set<std::string> &seenKeys) const;
    bool keepsKey(const WorkspaceId &owner) const;
    void commitKeys(const wire::ConfigState &state, KeyIndex &keys) const;
    void commitWorkspaces(wire::ConfigState &state) const;
    void commitRemovals(wire::ConfigState &state) const;
    void commitEndpoints(wire::ConfigState &state) const;

    const wire::ConfigState &state_;
    const KeyIndex &keys_;
    ConfigSafeguards safeguards_;
    std::map<std::string, wire::WorkspaceConfig> workspaces_; ///< as they will be
    std::map<std::string, wire::EndpointChange> endpoints_;
    std::set<std::string> removedWorkspaces_;
    std::set<std::string> removedEndpoints_;
};

} // namespace sequoiagate

#endif
