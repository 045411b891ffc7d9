#ifndef SEQUOIAGATE_LEDGER_GRANTSETTINGS_H
#define SEQUOIAGATE_LEDGER_GRANTSETTINGS_H

/// What the users set about grants.

#include <cstdint>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// In which the two users differ. docs/Settings.md gives the defaults' reasons.
struct GrantSettings
{
    Interval grantHorizon = std::chrono::hours(2);     ///< demand that one grant should cover
    Interval windowHorizon = std::chrono::seconds(30); ///< demand that one window should cover
    Interval logSilentAfter = std::chrono::seconds(5); ///< when the witness starts to open up
    Interval openFullAfter = std::chrono::minutes(5);  ///< when it has opened to the whole
    uint64_t minimumGrant = 20'000;                    ///< tokens
    double shareOfRemainder = 0.25; ///< the most one claim takes of what is unallocated
    /// Demand that a grant without a witness should cover. Nobody knows what a dead
    /// holder spent of one, so that all of it is in doubt until an operator attests.
    Interval unwitnessedHorizon = std::chrono::minutes(5);
    Interval askTimeout = std::chrono::milliseconds(500); ///< for a window
    Interval claimPause = std::chrono::seconds(1); ///< after a refused claim, or between returns
    /// How long a request may wait for the log or a witness before it is refused.
    Interval maxReserveWait = std::chrono::seconds(2);
    Interval comeBackAfter = std::chrono::seconds(5); ///< told with a refusal
};

} // namespace sequoiagate

#endif
