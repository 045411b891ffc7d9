#ifndef SEQUOIAGATE_EDGE_EDGESETTINGS_H
#define SEQUOIAGATE_EDGE_EDGESETTINGS_H

/// The settings of sequoia-edge. docs/Settings.md documents their units and defaults.

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/DistributedRetryBudget.h"
#include "sequoiagate/Decisions/EndpointSelector.h"
#include "sequoiagate/Decisions/TokenAllocation.h"
#include "sequoiagate/Ledger/TokenHolder.h"

namespace sequoiagate {

struct EdgeSettings
{
    HostId host;
    DomainId domain;
    std::string listenCallers;
    std::string listenReady;
    std::string listenPeers;
    std::string advertisePeers; ///< the address that peers send to; listenPeers if empty
    std::string listenRelay;    ///< no requests are relayed for other hosts if empty
    std::string advertiseRelay; ///< the address that other hosts connect to; listenRelay if empty
    std::string listenMetrics;  ///< not served if empty
    std::string store;
    std::map<DomainId, RegionId> regions; ///< of all failure domains
    Interval stopGrace{};                 ///< from the stop signal to the forced exit
    Interval readyGrace{};            ///< new callers are accepted this long after the stop signal
    uint64_t linkBytesPerSecond = 0;  ///< link capacity in each direction; 0 if unknown
    std::size_t memoryBytes = 0;      ///< memory limit of the process; 0: none
    bool sharesEndpointRates = false; ///< whether rates of endpoints are measured and shared
    DistributedRetryBudgetSettings retries;
    TokenHolderSettings tokens;
    TokenAllocationPolicy tokenAllocation = TokenAllocationPolicy::FirstCome;
    uint32_t fleetPoliciesFromHosts = 1; ///< see TokenServiceSettings
    EndpointPlacement placement = EndpointPlacement::PrefixHome;
};

/// \pre \p settings are valid according to their schema.
EdgeSettings edgeSettingsFrom(const nlohmann::json &settings);

} // namespace sequoiagate

#endif
