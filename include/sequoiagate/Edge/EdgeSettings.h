#ifndef SEQUOIAGATE_EDGE_EDGESETTINGS_H
#define SEQUOIAGATE_EDGE_EDGESETTINGS_H

/// The settings of sequoia-edge; docs/Settings.md tells each one's unit and reason.

#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/DistributedRetryBudget.h"
#include "sequoiagate/Ledger/TokenHolder.h"

namespace sequoiagate {

struct EdgeSettings
{
    HostId host;
    DomainId domain;
    std::string listenCallers;
    std::string listenReady;
    std::string listenPeers;
    std::string announcePeers; ///< what peers send to; empty: listenPeers
    std::string listenMetrics; ///< empty: none
    std::string store;
    Interval stopGrace{};            ///< from the stop signal to the forced end
    Interval readyGrace{};           ///< callers still come for so long after the stop signal
    uint64_t linkBytesPerSecond = 0; ///< of the host's network link, each way; 0: unknown
    DistributedRetryBudgetSettings retries;
    TokenHolderSettings tokens;
};

/// \pre \p settings passed their schema.
EdgeSettings edgeSettingsFrom(const nlohmann::json &settings);

} // namespace sequoiagate

#endif
