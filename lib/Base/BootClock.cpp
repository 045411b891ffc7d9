#include "sequoiagate/Base/BootClock.h"

#include <cstdlib>
#include <ctime>

namespace sequoiagate {

namespace {

/// Lets tests give each host on one machine its own clock. The offset is constant for the
/// lifetime of the process, and no code may depend on the origin of a boot clock.
Millis offsetForTests()
{
    const char *const text = std::getenv("SEQUOIAGATE_BOOT_CLOCK_OFFSET_MS");
    return Millis(text == nullptr ? 0 : std::strtoll(text, nullptr, 10));
}

} // namespace

Millis sinceBoot()
{
    static const Millis offset = offsetForTests();
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    const auto time = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return std::chrono::duration_cast<Millis>(time) + offset;
}

} // namespace sequoiagate
