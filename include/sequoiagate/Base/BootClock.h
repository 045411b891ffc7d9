#ifndef SEQUOIAGATE_BASE_BOOTCLOCK_H
#define SEQUOIAGATE_BASE_BOOTCLOCK_H

/// The host's clock since boot, which all of its processes share and which also counts
/// while the host sleeps. It tells a process how long ago one before it on the same host did
/// something; between hosts it means nothing.

#include <string>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// A moment on one host, of one boot.
struct BootMoment
{
    std::string boot; ///< names the boot
    Millis sinceBoot{};
};

/// Thread safe.
BootMoment bootNow();

/// The time from \p earlier to \p later, if both are of one boot and in that order.
/// \returns a negative time otherwise: it can't be known.
Millis sinceOnHost(const BootMoment &earlier, const BootMoment &later);

/// What a host's two clocks say at one moment. The time of day may be set, the clock since
/// boot begins anew when power is lost, at times under the boot's old name.
struct ClockReading
{
    BootMoment sinceBoot;
    Millis timeOfDay{}; ///< since the Unix epoch
};

/// Thread safe.
ClockReading readClocks();

} // namespace sequoiagate

#endif
