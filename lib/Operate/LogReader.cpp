#include "sequoiagate/Operate/LogReader.h"

#include <fmt/format.h>

#include "sequoiagate/Platform/Streams.h"

namespace sequoiagate {

namespace {

constexpr std::size_t ReadLimit = 4096;

struct StreamRecord
{
    uint64_t offset = 0;
    wire::Record record;
};

struct StreamContents
{
    uint64_t oldest = 0;
    std::vector<StreamRecord> records;
};

StreamContents readStream(LogService &log, const std::string &stream)
{
    const auto noWait = std::chrono::steady_clock::now();
    StreamContents contents;
    contents.oldest = log.read(stream, 0, 1, noWait).oldest;
    uint64_t from = contents.oldest;
    while (true) {
        const LogSlice slice = log.read(stream, from, ReadLimit, noWait);
        if (slice.oldest > from) {
            // Records expired while they were read: begin again where the log now does.
            contents = StreamContents{slice.oldest, {}};
            from = slice.oldest;
            continue;
        }
        for (const LogEntry &entry : slice.entries) {
            StreamRecord read;
            read.offset = entry.offset;
            // What can't be parsed still has its offset: the fold refuses it there.
            read.record.ParseFromString(entry.data);
            contents.records.push_back(std::move(read));
        }
        if (slice.entries.empty()) {
            return contents;
        }
        from = contents.records.back().offset + 1;
    }
}

[[noreturn]] void failOverGap(const std::string &stream, uint64_t oldest)
{
    throw VerdictError(Verdict{
            Execution::NotRun, Reason::LogUnavailable,
            fmt::format("stream '{}' begins at {} and holds no checkpoint that reaches so far",
                        stream, oldest),
            std::nullopt});
}

bool isWanted(const wire::Record &record, const RecordName &wanted)
{
    return wanted.sequence != 0 && record.writer() == wanted.writer.text()
           && record.sequence() == wanted.sequence;
}

/// The first answer is the record's; a second copy is only called doubled.
void note(std::optional<FoundRecord> &found, FoldResult result, uint64_t versionBefore)
{
    if (!found) {
        found = FoundRecord{std::move(result), versionBefore};
    }
}

} // namespace

ConfigView readConfig(LogService &log, const RecordName &wanted)
{
    const StreamContents contents = readStream(log, configStream());
    ConfigView view;
    if (contents.oldest > 0) {
        for (const StreamRecord &read : contents.records) {
            const wire::ConfigState &state = read.record.checkpoint().config();
            if (read.record.checkpoint().has_config() && state.offset() >= contents.oldest) {
                view.fold.adoptIfNewer(state);
                break;
            }
        }
        if (view.fold.state().offset() < contents.oldest) {
            failOverGap(configStream(), contents.oldest);
        }
    }
    for (const StreamRecord &read : contents.records) {
        if (read.offset < view.fold.state().offset()) {
            continue;
        }
        const uint64_t before = view.fold.version();
        FoldResult result = view.fold.apply(read.record, read.offset);
        if (isWanted(read.record, wanted)) {
            note(view.found, std::move(result), before);
        }
    }
    return view;
}

LedgerView readLedger(LogService &log, const std::string &stream, const RecordName &wanted)
{
    const StreamContents contents = readStream(log, stream);
    LedgerView view;
    if (contents.oldest > 0) {
        for (const StreamRecord &read : contents.records) {
            const wire::LedgerState &state = read.record.checkpoint().ledger();
            if (read.record.checkpoint().has_ledger() && state.offset() >= contents.oldest) {
                view.fold.restore(state);
                break;
            }
        }
        if (view.fold.nextOffset() < contents.oldest) {
            failOverGap(stream, contents.oldest);
        }
    }
    for (const StreamRecord &read : contents.records) {
        if (read.offset < view.fold.nextOffset()) {
            continue;
        }
        FoldResult result = view.fold.apply(read.record, read.offset);
        if (isWanted(read.record, wanted)) {
            note(view.found, std::move(result), 0);
        }
    }
    return view;
}

} // namespace sequoiagate
