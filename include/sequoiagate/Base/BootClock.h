#ifndef SEQUOIAGATE_BASE_BOOTCLOCK_H
#define SEQUOIAGATE_BASE_BOOTCLOCK_H

/// The time since the host booted. This clock can't be set and keeps running while the host is
/// suspended. Its values can't be compared between hosts, or between boots of one host.

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Other hosts' readings are bounded by this: with a margin, an Interval can hold it.
inline constexpr Millis MaxSinceBoot = std::chrono::hours(24) * 365 * 100;

/// Thread safe.
Millis sinceBoot();

} // namespace sequoiagate

#endif
