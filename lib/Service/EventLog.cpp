#include "sequoiagate/Service/EventLog.h"

#include <charconv>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

constexpr std::size_t WallDigits = 17;
constexpr std::size_t CounterDigits = 6;
constexpr uint32_t MaximumCounter = 999'999;

/// How far ahead a peer's stamp may be to be believed: a day.
constexpr int64_t MaximumLeadMicros = 24 * int64_t{3600} * 1'000'000;

std::string stampText(int64_t wallMicros, uint32_t counter)
{
    return fmt::format("{:017d}.{:06d}", wallMicros, counter);
}

int64_t wallMicrosNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

class FlushedFile : public LineSink
{
public:
    explicit FlushedFile(std::FILE *out) : out_(out) {}

    void write(std::string_view line) override
    {
        std::fwrite(line.data(), 1, line.size(), out_);
        std::fflush(out_);
    }

private:
    std::FILE *out_;
};

} // namespace

std::string HybridClock::tick()
{
    std::lock_guard lock(mutex_);
    const int64_t wall = wallMicrosNow();
    if (wall > wallMicros_) {
        wallMicros_ = wall;
        counter_ = 0;
    } else if (counter_ < MaximumCounter) {
        ++counter_;
    } else {
        // While a peer's clock is ahead the counter alone moves on. One digit more
        // would make the stamp longer, and it would sort before its causes.
        ++wallMicros_;
        counter_ = 0;
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
    // One host with a broken clock would otherwise drag all others into its future,
    // for good, and the time line's times would mean nothing to people. Past this its
    // own events sort wrongly, which shows where the fault is.
    if (wall > wallMicrosNow() + MaximumLeadMicros) {
        return;
    }
    std::lock_guard lock(mutex_);
    const bool ahead = wall > wallMicros_ || (wall == wallMicros_ && counter > counter_);
    if (ahead) {
        wallMicros_ = wall;
        counter_ = counter;
    }
}

std::unique_ptr<LineSink> flushedFileSink(std::FILE *out)
{
    return std::make_unique<FlushedFile>(out);
}

EventLog::EventLog(ProcessIdentity identity, std::FILE *out)
    : EventLog(std::move(identity), flushedFileSink(out))
{}

EventLog::EventLog(ProcessIdentity identity, std::unique_ptr<LineSink> sink)
    : identity_(std::move(identity)), sink_(std::move(sink))
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
    std::string text = line.dump(-1, ' ', false, ErrorHandler::replace);
    text += '\n';
    if (event.isEssential()) {
        sink_->writeEssential(text);
    } else {
        sink_->write(text);
    }
}

} // namespace sequoiagate
