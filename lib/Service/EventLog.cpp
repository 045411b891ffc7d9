#include "sequoiagate/Service/EventLog.h"

#include <charconv>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

constexpr std::size_t WallDigits = 17;
constexpr std::size_t CounterDigits = 6;

std::string stampText(int64_t wallMicros, uint32_t counter)
{
    return fmt::format("{:017d}.{:06d}", wallMicros, counter);
}

int64_t wallMicrosNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

} // namespace

std::string HybridClock::tick()
{
    std::lock_guard lock(mutex_);
    const int64_t wall = wallMicrosNow();
    if (wall > wallMicros_) {
        wallMicros_ = wall;
        counter_ = 0;
    } else {
        ++counter_;
    }
    return stampText(wallMicros_, counter_);
}

void HybridClock::observe(std::string_view stamp)
{
    if (stamp.size() != WallDigits + 1 + CounterDigits || stamp[WallDigits] != '.') {
        return;
    }
    int64_t wall = 0;
    uint32_t counter = 0;
    const auto first = std::from_chars(stamp.data(), stamp.data() + WallDigits, wall);
    const auto second =
            std::from_chars(stamp.data() + WallDigits + 1, stamp.data() + stamp.size(), counter);
    if (first.ec != std::errc() || second.ec != std::errc()) {
        return;
    }
    std::lock_guard lock(mutex_);
    const bool ahead = wall > wallMicros_ || (wall == wallMicros_ && counter > counter_);
    if (ahead) {
        wallMicros_ = wall;
        counter_ = counter;
    }
}

EventLog::EventLog(ProcessIdentity identity, std::FILE *out)
    : identity_(std::move(identity)), out_(out)
{}

void EventLog::write(const Event &event)
{
    nlohmann::json line = event.fields();
    line["host"] = identity_.host.text();
    line["domain"] = identity_.domain.text();
    line["incarnation"] = identity_.incarnation.text();
    line["program"] = identity_.program;
    line["event"] = event.name();
    // The stamp is taken under the same lock as the write, so that a file's lines
    // stand in the clock's order.
    std::lock_guard lock(mutex_);
    line["hlc"] = clock_.tick();
    using ErrorHandler = nlohmann::json::error_handler_t;
    const std::string text = line.dump(-1, ' ', false, ErrorHandler::replace);
    fmt::print(out_, "{}\n", text);
    std::fflush(out_);
}

} // namespace sequoiagate
