#include "LogDrivers.h"

namespace sequoiagate {

static constexpr std::size_t ReadLimit = 1000;
/// Between two tries while the log is away; a tail that spun would load a service that
/// is just coming back.
static constexpr Millis RetryAfter{200};
static constexpr Millis LongestIdle{500};

static std::string nameOf(Keeper &keeper, std::size_t stream)
{
    return keeper.run([&](KeeperCore &core, Instant, WallTime) { return core.streamName(stream); });
}

LogTail::LogTail(Keeper &keeper, LogService &log, std::size_t stream,
                 const KeeperSettings &settings)
    : keeper_(keeper), log_(log), stream_(stream), name_(nameOf(keeper, stream)),
      settings_(settings), worker_([this] { return step(); })
{}

Interval LogTail::step()
{
    try {
        return readOn();
    } catch (const LogError &) {
        return RetryAfter;
    }
}

Interval LogTail::readOn()
{
    // The first read must not wait for news: until it is back nothing is known of the
    // stream, and everybody who asks is turned away.
    bool current = false;
    const LogOffset from = keeper_.run([&](KeeperCore &core, Instant, WallTime) {
        current = core.streamState(stream_) == StreamState::Current;
        return core.nextOffset(stream_);
    });
    const Interval wait = current ? settings_.tailWait : Interval::zero();
    const Instant waitUntil = std::chrono::steady_clock::now() + wait;
    const LogSlice slice = log_.read(name_, from, ReadLimit, waitUntil);
    keeper_.run([&](KeeperCore &core, Instant now, WallTime wall) {
        core.onSlice(stream_, slice, now, wall);
    });
    if (slice.oldest <= from) {
        return Interval::zero();
    }
    keeper_.log().write(
            Event("log.gap").with("stream", name_).with("from", from).with("oldest", slice.oldest));
    if (const std::optional<wire::Checkpoint> checkpoint = newestCheckpoint(slice.oldest)) {
        keeper_.run([&](KeeperCore &core, Instant now, WallTime) {
            core.onCheckpoint(stream_, *checkpoint, now);
        });
        return Interval::zero();
    }
    return RetryAfter;
}

std::optional<wire::Checkpoint> LogTail::newestCheckpoint(LogOffset oldest)
{
    std::optional<wire::Checkpoint> newest;
    const auto offsetOf = [](const wire::Checkpoint &checkpoint) {
        return checkpoint.has_ledger() ? checkpoint.ledger().offset()
                                       : checkpoint.config().offset();
    };
    LogOffset from = oldest;
    for (;;) {
        const Instant now = std::chrono::steady_clock::now();
        const LogSlice slice = log_.read(name_, from, ReadLimit, now);
        for (const LogEntry &entry : slice.entries) {
            wire::Record record;
            if (!record.ParseFromString(entry.data) || !record.has_checkpoint()) {
                continue;
            }
            // The records from the checkpoint's offset on must still be there. A paused
            // host may append an old checkpoint late: the highest offset counts.
            const LogOffset offset = offsetOf(record.checkpoint());
            if (offset >= slice.oldest && (!newest || offset > offsetOf(*newest))) {
                newest = record.checkpoint();
            }
        }
        if (slice.entries.empty()) {
            return newest;
        }
        from = slice.entries.back().offset + 1;
    }
}

LogWriter::LogWriter(Keeper &keeper, LogService &log, std::size_t stream,
                     const KeeperSettings &settings)
    : keeper_(keeper), log_(log), stream_(stream), name_(nameOf(keeper, stream)),
      appendTimeout_(settings.appendTimeout), worker_([this] { return step(); })
{}

Interval LogWriter::step()
{
    std::vector<std::string> batch;
    uint64_t seen = 0;
    const Instant due = keeper_.run([&](KeeperCore &core, Instant now, WallTime) {
        AppendQueue &queue = core.queue(stream_);
        batch = queue.takeBatch(now);
        seen = core.work(WorkKind::Append);
        return queue.nextDeadline();
    });
    const Instant now = std::chrono::steady_clock::now();
    if (batch.empty()) {
        keeper_.waitForWork(WorkKind::Append, seen, std::min(due, now + LongestIdle));
        return Interval::zero();
    }
    try {
        log_.append(name_, batch, now + appendTimeout_);
        keeper_.run(
                [&](KeeperCore &core, Instant, WallTime) { core.queue(stream_).onAcknowledged(); });
    } catch (const LogError &error) {
        keeper_.log().write(Event("append.failed")
                                    .with("stream", name_)
                                    .with("records", batch.size())
                                    .with("why", std::string(error.what())));
        keeper_.run([&](KeeperCore &core, Instant failedAt, WallTime) {
            core.queue(stream_).onFailed(failedAt);
        });
    }
    return Interval::zero();
}

} // namespace sequoiagate
