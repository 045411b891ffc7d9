#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "sequoiagate/Config/ConfigFold.h"
#include "unittests/Support/LedgerRecords.h"

using namespace sequoiagate;

namespace {

const std::vector<std::string> Workspaces = {"u", "v", "w"};
const std::vector<std::string> Keys = {"k1", "k2", "k3"};

wire::Record anyChange(uint64_t version)
{
    wire::Record record;
    wire::ConfigChange &change = *record.mutable_config_change();
    // Sometimes based on a version that is no longer current.
    change.set_base_version(*rc::gen::inRange(0, 5) == 0 ? version / 2 : version);
    const int count = *rc::gen::inRange(0, 3);
    for (int index = 0; index < count; ++index) {
        wire::WorkspaceChange &workspace = *change.add_workspaces();
        workspace.set_workspace(*rc::gen::elementOf(Workspaces));
        workspace.set_budget_tokens(*rc::gen::inRange<uint64_t>(0, 100));
        workspace.add_add_key_hashes(*rc::gen::elementOf(Keys));
        workspace.add_remove_key_hashes(*rc::gen::elementOf(Keys));
        wire::TopUp &topUp = *workspace.add_top_ups();
        topUp.set_id(*rc::gen::elementOf(Keys));
        topUp.set_tokens(7);
        change.add_endpoints()->set_endpoint(*rc::gen::elementOf(Workspaces));
    }
    if (*rc::gen::inRange(0, 4) == 0) {
        change.add_removed_workspaces(*rc::gen::elementOf(Workspaces));
        change.add_removed_endpoints(*rc::gen::elementOf(Workspaces));
    }
    return record;
}

/// Changes update only the affected entries in place. After any history the entries must be
/// sorted, no top-up may be applied twice, and keys must map to the same workspaces as in a
/// process that adopts the whole state from a peer: otherwise two hosts would identify a
/// caller as different workspaces.
RC_GTEST_PROP(ConfigModel, InPlaceChangesMatchTheWholeState, ())
{
    ConfigFold fold;
    const auto length = *rc::gen::inRange<uint64_t>(1, 30);
    for (uint64_t sequence = 1; sequence <= length; ++sequence) {
        const std::string before = fold.state().SerializeAsString();
        const uint64_t version = fold.version();
        const FoldResult result =
                fold.apply(records::from("op", sequence, anyChange(version)), sequence - 1);
        RC_ASSERT(fold.version() == version + (result.outcome == FoldOutcome::Accepted ? 1 : 0));
        wire::ConfigState unchanged;
        RC_ASSERT(unchanged.ParseFromString(before));
        unchanged.set_offset(sequence);
        RC_ASSERT(result.outcome == FoldOutcome::Accepted
                  || unchanged.SerializeAsString() == fold.state().SerializeAsString());
    }
    ConfigFold adopted;
    RC_ASSERT(adopted.adoptIfNewer(fold.state()));
    for (const std::string &key : Keys) {
        const wire::WorkspaceConfig *applied = fold.findWorkspaceByKeyHash(key);
        const wire::WorkspaceConfig *peer = adopted.findWorkspaceByKeyHash(key);
        RC_ASSERT((applied ? applied->workspace() : "") == (peer ? peer->workspace() : ""));
    }
    for (const wire::WorkspaceConfig &workspace : fold.state().workspaces()) {
        RC_ASSERT(fold.findWorkspace(WorkspaceId(workspace.workspace())) == &workspace);
        RC_ASSERT(prepaidTotal(workspace) <= workspace.budget_tokens() + 7 * Keys.size());
    }
}

} // namespace
