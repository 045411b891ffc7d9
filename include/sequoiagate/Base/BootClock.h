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

} // namespace sequoiagate

#endif
