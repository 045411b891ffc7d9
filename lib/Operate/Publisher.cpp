#include "sequoiagate/Operate/Publisher.h"

#include <thread>

#include <fmt/format.h>

#include "sequoiagate/Platform/Streams.h"

namespace sequoiagate {

namespace {

constexpr Millis RetryPause{200};

/// The change that took the version ours was built on.
LostRace winnerOver(uint64_t base, const wire::ConfigState &state)
{
    for (const wire::ConfigHistoryEntry &entry : state.history()) {
        if (entry.version() == base + 1) {
            return {entry.version(), entry.author()};
        }
    }
    return {state.version(), "unknown"};
}

} // namespace

Publisher::Publisher(LogService &log, HostId host, Millis giveUpAfter)
    : log_(log), host_(std::move(host)), giveUpAfter_(giveUpAfter), writer_(randomId<Incarnation>())
{}

void Publisher::stamp(wire::Record &record)
{
    record.set_writer(writer_.text());
    record.set_sequence(++sequence_);
    record.set_host(host_.text());
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    record.set_wall_us(std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
}

template <typename Find>
PublishOutcome Publisher::send(const std::string &stream, const wire::Record &record,
                               const Find &find)
{
    const Instant deadline = std::chrono::steady_clock::now() + giveUpAfter_;
    bool maySay = true; // that nothing was changed: no copy has left this process
    std::string fault = "the log service doesn't show the record";
    while (true) {
        try {
            log_.append(stream, {record.SerializeAsString()}, deadline);
            maySay = false;
        } catch (const LogError &error) {
            maySay = maySay && error.verdict().execution == Execution::NotRun;
            fault = error.what();
        }
        try {
            if (std::optional<PublishOutcome> outcome = find()) {
                return *outcome;
            }
        } catch (const LogError &error) {
            fault = error.what();
        }
        if (std::chrono::steady_clock::now() + RetryPause >= deadline) {
            const char *const state =
                    maySay ? "nothing was changed"
                           : "the change may be in force: look before you try again";
            throw VerdictError(Verdict{maySay ? Execution::NotRun : Execution::MayHaveRun,
                                       Reason::LogUnavailable, fmt::format("{}; {}", fault, state),
                                       std::nullopt});
        }
        std::this_thread::sleep_for(RetryPause);
    }
}

PublishOutcome Publisher::publish(wire::ConfigChange change)
{
    const uint64_t base = change.base_version();
    wire::Record record;
    *record.mutable_config_change() = std::move(change);
    stamp(record);
    const auto find = [&]() -> std::optional<PublishOutcome> {
        const ConfigView view = readConfig(log_, {writer_, record.sequence()});
        const bool accepted =
                view.fold.outcomeOf(writer_, record.sequence()) == FoldOutcome::Accepted;
        if (accepted) {
            return Published{base + 1};
        }
        if (view.fold.version() != base) {
            return winnerOver(base, view.fold.state());
        }
        if (view.found) {
            return RefusedRecord{view.found->result.reason};
        }
        return std::nullopt;
    };
    return send(configStream(), record, find);
}

PublishOutcome Publisher::publish(const std::string &stream, wire::Record record)
{
    stamp(record);
    const auto find = [&]() -> std::optional<PublishOutcome> {
        const LedgerView view = readLedger(log_, stream, {writer_, record.sequence()});
        if (!view.found) {
            return std::nullopt;
        }
        if (view.found->result.outcome == FoldOutcome::Accepted) {
            return Published{};
        }
        return RefusedRecord{view.found->result.reason};
    };
    return send(stream, record, find);
}

} // namespace sequoiagate
