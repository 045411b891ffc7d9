#include "sequoiagate/Service/BoundedLineSink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include <fmt/format.h>

namespace sequoiagate {

BoundedLineSink::BoundedLineSink(int descriptor, LineLimits limits)
    : descriptor_(descriptor),
      limits_(limits), all_{limits.burst, std::chrono::steady_clock::now()},
      essential_{limits.essentialBurst, all_.at}
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

bool BoundedLineSink::Allowance::take(Instant now, double perSecond, double most)
{
    const double seconds = std::chrono::duration<double>(now - at).count();
    at = now;
    lines = std::min(most, lines + seconds * perSecond);
    if (lines < 1.0) {
        return false;
    }
    lines -= 1.0;
    return true;
}

bool BoundedLineSink::admit(Instant now)
{
    return all_.take(now, limits_.linesPerSecond, limits_.burst);
}

bool BoundedLineSink::admitEssential(Instant now)
{
    return admit(now) || essential_.take(now, limits_.essentialPerSecond, limits_.essentialBurst);
}

void BoundedLineSink::write(std::string_view line)
{
    writeIf(admit(std::chrono::steady_clock::now()), line);
}

void BoundedLineSink::writeEssential(std::string_view line)
{
    writeIf(admitEssential(std::chrono::steady_clock::now()), line);
}

void BoundedLineSink::writeIf(bool admitted, std::string_view line)
{
    const bool room = buffer_.size() + line.size() <= limits_.bufferBytes;
    if (!admitted || !room) {
        ++dropped_;
        flush();
        return;
    }
    tellDropped();
    append(line);
    flush();
}

void BoundedLineSink::tellDropped()
{
    if (dropped_ == told_) {
        return;
    }
    append(fmt::format("{{\"event\":\"log.dropped\",\"lines\":{}}}\n", dropped_ - told_));
    told_ = dropped_;
}

void BoundedLineSink::append(std::string_view line)
{
    buffer_.append(line);
}

void BoundedLineSink::flush()
{
    while (!buffer_.empty()) {
        const ssize_t written = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace sequoiagate
