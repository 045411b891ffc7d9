#ifndef SEQUOIAGATE_BASE_TIME_H
#define SEQUOIAGATE_BASE_TIME_H

/// The two clocks of the system. Core code never reads either: it is handed
/// `now`, so that a test can replay any schedule.

#include <chrono>

namespace sequoiagate {

/// A point on the local monotonic clock. Deadlines are stored as these.
using Instant = std::chrono::steady_clock::time_point;

/// A point on the wall clock, for people, log retention and UUIDv7 ages only. Hosts' clocks
/// disagree; what is believed of them together, and only when all else is lost, is in
/// Ledger/ElapsedBound.h.
using WallTime = std::chrono::system_clock::time_point;

using Interval = std::chrono::steady_clock::duration;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// "Never": the deadline of something that isn't armed.
inline constexpr Instant Never = Instant::max();

} // namespace sequoiagate

#endif
