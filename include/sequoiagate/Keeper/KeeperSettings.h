#ifndef SEQUOIAGATE_KEEPER_KEEPERSETTINGS_H
#define SEQUOIAGATE_KEEPER_KEEPERSETTINGS_H

/// A keeper's settings, typed. share/schemas/sequoia-keeper.json says what each
/// is for and what is allowed.

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Ledger/GrantHolder.h"

namespace sequoiagate {

/// What the core decides by. Intervals become deadlines when a timer is armed.
struct KeeperCoreSettings
{
    GrantSettings grants;
    uint32_t ledgerShards = 1;
    Interval reserveWait = Millis(1000);   ///< the longest a reservation waits for the holder
    Interval claimWait = Millis(1500);     ///< the longest a run claim waits for its read-back
    Interval billFlush = Millis(250);      ///< the longest a bill waits to share an append
    Interval appendRetry = Millis(200);    ///< between two sends of a batch whose answer was lost
    Interval logSilent = Seconds(3);       ///< without an answer the log counts as unreachable
    Interval routerSilent = Seconds(10);   ///< then its open streams are asked after
    Interval fundingFallback = Seconds(2); ///< then a keeper funds in place of the chosen one
    Interval configPeerGrace = Seconds(3); ///< before a new process trusts a peer's version
    Interval claimsRetention = std::chrono::hours(24); ///< keys older than this are refused
    Interval checkpointEvery = std::chrono::minutes(10);
    uint64_t checkpointRecords = 2000;  ///< a new checkpoint at the latest after so many records
    Interval suspectGrace = Seconds(3); ///< a peer unknown for so long counts as dead
};

/// Thread safe as a value.
struct KeeperSettings
{
    std::string listen;
    std::string gossipListen;
    std::vector<std::string> seeds;
    std::string logService;
    std::string hostList;       ///< empty: none
    std::string testLinkFilter; ///< path; empty: none
    KeeperCoreSettings core;
    Interval tailWait = Millis(1000);      ///< one long poll of the log
    Interval appendTimeout = Millis(2000); ///< of one append
    Interval tick = Millis(50);
    Interval configPeerPeriod = Millis(1000); ///< between questions to peers while the log is away
    Interval endpointProbe = Millis(500);
    Interval hostListPeriod = Seconds(5);
    Interval drainLimit = std::chrono::minutes(10);
};

/// \pre the settings passed their schema.
KeeperSettings keeperSettingsFrom(const nlohmann::json &settings);

} // namespace sequoiagate

#endif
