#include "unittests/Support/FakeLogService.h"

#include <algorithm>

namespace sequoiagate {

namespace {

[[noreturn]] void fail(Execution execution)
{
    throw LogError(Verdict{execution, Reason::LogUnavailable, "fake log fault", std::nullopt});
}

} // namespace

LogOffset FakeLogService::append(const std::string &stream, const std::vector<std::string> &batch,
                                 Instant /*deadline*/)
{
    std::lock_guard lock(mutex_);
    if (down_) {
        fail(Execution::NotRun);
    }
    Stream &target = streams_[stream];
    const LogOffset first = target.oldest + target.records.size();
    target.records.insert(target.records.end(), batch.begin(), batch.end());
    if (answersToLose_ > 0) {
        --answersToLose_;
        fail(Execution::MayHaveRun);
    }
    return first;
}

LogSlice FakeLogService::read(const std::string &stream, LogOffset from, std::size_t limit,
                              Instant /*waitUntil*/)
{
    std::lock_guard lock(mutex_);
    if (down_) {
        fail(Execution::NotRun);
    }
    const Stream &source = streams_[stream];
    LogSlice slice;
    slice.oldest = source.oldest;
    slice.next = source.oldest + source.records.size();
    if (from < slice.oldest) {
        return slice;
    }
    for (LogOffset offset = from; offset < slice.next && slice.entries.size() < limit; ++offset) {
        slice.entries.push_back({offset, source.records[offset - source.oldest]});
    }
    return slice;
}

void FakeLogService::setDown(bool down)
{
    std::lock_guard lock(mutex_);
    down_ = down;
}

void FakeLogService::loseAnswers(int count)
{
    std::lock_guard lock(mutex_);
    answersToLose_ = count;
}

void FakeLogService::expireBelow(const std::string &stream, LogOffset offset)
{
    std::lock_guard lock(mutex_);
    Stream &target = streams_[stream];
    const LogOffset end = target.oldest + target.records.size();
    const LogOffset oldest = std::clamp(offset, target.oldest, end);
    const auto expired = static_cast<std::ptrdiff_t>(oldest - target.oldest);
    target.records.erase(target.records.begin(), target.records.begin() + expired);
    target.oldest = oldest;
}

} // namespace sequoiagate
