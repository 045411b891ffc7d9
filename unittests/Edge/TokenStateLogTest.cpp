#include "lib/Edge/TokenStateLog.h"

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

TokenState stateOf(const char *workspace, uint64_t owned, uint64_t usable, uint64_t unallotted)
{
    TokenState state;
    state.workspace = WorkspaceId(workspace);
    state.prepaid = 1000;
    state.owned = owned;
    state.usable = usable;
    state.unallotted = unallotted;
    state.current = true;
    return state;
}

struct StateChange
{
    const char *name;
    TokenState before;
    TokenState after;
    const char *expectedWorkspace; ///< the only one selected
};

const StateChange StateChanges[] = {
        {"UsedHere", stateOf("w", 10, 10, 500), stateOf("w", 10, 4, 500), "w"},
        {"ClaimedElsewhereAndOwnedHere", stateOf("w", 10, 10, 500), stateOf("w", 10, 10, 300), "w"},
        {"ClaimedElsewhere", stateOf("w", 0, 0, 500), stateOf("w", 0, 0, 300), "idle"},
        {"Unchanged", stateOf("w", 10, 10, 500), stateOf("w", 10, 10, 500), "idle"},
};

class TokenStateLogSelect : public testing::TestWithParam<StateChange>
{};

// Guards against logging unchanged workspaces at every interval, and against a running process
// that logs nothing and is taken for one that ended.
TEST_P(TokenStateLogSelect, ReturnsChangedStateOrHeartbeat)
{
    const TokenState idle = stateOf("idle", 0, 0, 1000);
    TokenStateLog log;
    ASSERT_EQ(log.select({idle, GetParam().before}).size(), 2U);
    const std::vector<TokenState> selected = log.select({idle, GetParam().after});
    ASSERT_EQ(selected.size(), 1U);
    EXPECT_EQ(selected[0].workspace, WorkspaceId(GetParam().expectedWorkspace));
}

INSTANTIATE_TEST_SUITE_P(Rows, TokenStateLogSelect, testing::ValuesIn(StateChanges),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
