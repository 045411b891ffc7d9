#include "sequoiagate/Base/BootClock.h"

#include <ctime>
#include <fstream>

namespace sequoiagate {

namespace {

std::string readBootName()
{
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string name;
    file >> name;
    return name;
}

} // namespace

BootMoment bootNow()
{
    static const std::string boot = readBootName();
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    const auto time = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return {boot, std::chrono::duration_cast<Millis>(time)};
}

Millis sinceOnHost(const BootMoment &earlier, const BootMoment &later)
{
    if (earlier.boot != later.boot || later.sinceBoot < earlier.sinceBoot) {
        return Millis(-1);
    }
    return later.sinceBoot - earlier.sinceBoot;
}

ClockReading readClocks()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {bootNow(), std::chrono::duration_cast<Millis>(sinceEpoch)};
}

} // namespace sequoiagate
