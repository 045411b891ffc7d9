#include "sequoiagate/Service/BoundedLineSink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include <fmt/format.h>

namespace sequoiagate {

BoundedLineSink::BoundedLineSink(int descriptor, LineLimits limits)
    : descriptor_(descriptor), limits_(limits), credit_(limits.burst),
      creditAt_(std::chrono::steady_clock::now())
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

bool BoundedLineSink::admit(Instant now)
{
    const double seconds = std::chrono::duration<double>(now - creditAt_).count();
    creditAt_ = now;
    credit_ = std::min(limits_.burst, credit_ + seconds * limits_.linesPerSecond);
    if (credit_ < 1.0) {
        return false;
    }
    credit_ -= 1.0;
    return true;
}

void BoundedLineSink::write(std::string_view line)
{
    const bool room = buffer_.size() + line.size() <= limits_.bufferBytes;
    if (!admit(std::chrono::steady_clock::now()) || !room) {
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
