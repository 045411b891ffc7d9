#ifndef SEQUOIAGATE_BASE_TIME_H
#define SEQUOIAGATE_BASE_TIME_H

/// The two clocks of the system. Core code never reads either of them: it gets `now`
/// as an argument, so that a test can replay any schedule.

#include <chrono>

namespace sequoiagate {

/// A point in time on the local monotonic clock. Deadlines are stored in this type.
using Instant = std::chrono::steady_clock::time_point;

/// A point in time on the wall clock, only for display, log retention and the age of UUIDv7
/// keys. The clocks of hosts differ; what may be concluded from several of them, as a last
/// resort, is defined in Ledger/ElapsedBound.h.
using WallTime = std::chrono::system_clock::time_point;

using Interval = std::chrono::steady_clock::duration;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// The deadline of a timer that isn't armed.
inline constexpr Instant Never = Instant::max();

} // namespace sequoiagate

#endif
