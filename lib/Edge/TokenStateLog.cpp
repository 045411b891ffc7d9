#include "TokenStateLog.h"

namespace sequoiagate {

namespace {

/// Ignores changes to the unallotted tokens if this process owns none: every process reads the
/// claims of all others, and would log each of them.
bool isUnchanged(const TokenState &state, const TokenState &lastLogged)
{
    TokenState expected = lastLogged;
    if (state.owned == 0) {
        expected.unallotted = state.unallotted;
    }
    return state == expected;
}

} // namespace

std::vector<TokenState> TokenStateLog::select(const std::vector<TokenState> &all)
{
    std::vector<TokenState> selected;
    for (const TokenState &state : all) {
        const auto [lastLogged, added] = lastLogged_.try_emplace(state.workspace, state);
        if (!added && isUnchanged(state, lastLogged->second)) {
            continue;
        }
        lastLogged->second = state;
        selected.push_back(state);
    }
    if (selected.empty() && !all.empty()) {
        const TokenState &state = all[nextHeartbeat_++ % all.size()];
        lastLogged_[state.workspace] = state;
        selected.push_back(state);
    }
    return selected;
}

} // namespace sequoiagate
