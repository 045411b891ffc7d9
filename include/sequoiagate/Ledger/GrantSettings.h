#ifndef SEQUOIAGATE_LEDGER_GRANTSETTINGS_H
#define SEQUOIAGATE_LEDGER_GRANTSETTINGS_H

/// Settings for grants.
///
/// A grant is an amount of tokens that a holder claims from a workspace's budget. The holder may
/// spend only the part of it that the grant's witness has signed; each further part that the
/// witness signs is a window. A grant without a witness needs no windows.

#include <cstdint>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// The settings in which the two users differ. docs/Settings.md explains the defaults.
struct GrantSettings
{
    Interval grantHorizon = std::chrono::hours(2);     ///< demand that one grant should cover
    Interval windowHorizon = std::chrono::seconds(30); ///< demand that one window should cover
    Interval logSilentAfter =
            std::chrono::seconds(5); ///< when the witness starts to widen its windows
    Interval openFullAfter = std::chrono::minutes(5); ///< when the window covers the whole grant
    uint64_t minimumGrant = 20'000;                   ///< tokens
    double shareOfRemainder = 0.25; ///< maximum part of the unallocated tokens that one claim takes
    /// Demand that a grant without a witness should cover. What a failed holder spent of it is
    /// unknown, so all of it is in doubt until an operator attests.
    Interval unwitnessedHorizon = std::chrono::minutes(5);
    Interval windowRequestTimeout = std::chrono::milliseconds(500); ///< per request for a window
    Interval claimPause = std::chrono::seconds(1); ///< after a refused claim, or between returns
    /// How long a request may wait for the log or a witness before it is refused.
    Interval maxReserveWait = std::chrono::seconds(2);
    Interval retryAfter = std::chrono::seconds(5); ///< sent with a refusal
};

} // namespace sequoiagate

#endif
