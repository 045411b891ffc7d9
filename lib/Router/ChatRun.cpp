#include "sequoiagate/Router/ChatRun.h"

#include <cassert>

#include <absl/time/time.h>

namespace sequoiagate {

namespace {

constexpr Millis ComeBackAfter{1000};

/// Workspace names hold no NUL, so two workspaces' requests never share a key.
std::string keyOf(const ChatOrder &order)
{
    return order.workspace.text() + '\0' + order.request.text();
}

} // namespace

void ChatRun::setSource(ResumePoint source)
{
    absl::MutexLock lock(&mutex_);
    source_ = std::move(source);
}

void ChatRun::append(std::vector<EngineChunk> chunks)
{
    absl::MutexLock lock(&mutex_);
    for (EngineChunk &chunk : chunks) {
        chunks_.push_back({chunk.position, std::move(chunk.json)});
    }
    changed_.SignalAll();
}

void ChatRun::end(RunEnd end)
{
    absl::MutexLock lock(&mutex_);
    end_ = std::move(end);
    changed_.SignalAll();
}

bool ChatRun::abandoned(Instant now)
{
    absl::MutexLock lock(&mutex_);
    if (readers_ == 0 && !readElsewhere_ && now >= abandonAt_) {
        closing_ = true;
    }
    return closing_;
}

bool ChatRun::attach()
{
    absl::MutexLock lock(&mutex_);
    if (closing_) {
        return false;
    }
    ++readers_;
    abandonAt_ = Never;
    return true;
}

void ChatRun::detach(Instant abandonAt)
{
    absl::MutexLock lock(&mutex_);
    assert(readers_ > 0 && "detached more often than attached");
    --readers_;
    abandonAt_ = abandonAt;
}

bool ChatRun::keepGoing()
{
    absl::MutexLock lock(&mutex_);
    readElsewhere_ = !closing_;
    return readElsewhere_;
}

RunSlice ChatRun::read(std::size_t from, Instant until) const
{
    absl::MutexLock lock(&mutex_);
    while (chunks_.size() <= from && !end_) {
        const Instant now = std::chrono::steady_clock::now();
        if (until == Never) {
            changed_.Wait(&mutex_);
        } else if (now < until) {
            changed_.WaitWithTimeout(&mutex_, absl::FromChrono(until - now));
        } else {
            break;
        }
    }
    RunSlice slice;
    for (std::size_t i = from; i < chunks_.size(); ++i) {
        slice.chunks.push_back(&chunks_[i]);
    }
    slice.end = end_ ? &*end_ : nullptr;
    return slice;
}

ResumePoint ChatRun::source() const
{
    absl::MutexLock lock(&mutex_);
    return source_;
}

OpenRuns::Found OpenRuns::findOrMake(const ChatOrder &order)
{
    absl::MutexLock lock(&mutex_);
    if (auto run = findLocked(order)) {
        return {std::move(run), false};
    }
    auto run = std::make_shared<ChatRun>(order);
    const bool attached = run->attach();
    assert(attached && "a new run can't be closing");
    static_cast<void>(attached);
    runs_.emplace(keyOf(order), run);
    return {std::move(run), true};
}

std::shared_ptr<ChatRun> OpenRuns::find(const ChatOrder &order)
{
    absl::MutexLock lock(&mutex_);
    return findLocked(order);
}

std::shared_ptr<ChatRun> OpenRuns::findLocked(const ChatOrder &order)
{
    const auto found = runs_.find(keyOf(order));
    if (found == runs_.end()) {
        return nullptr;
    }
    if (found->second->order().bodyHash != order.bodyHash) {
        throw VerdictError(Verdict{Execution::NotRun, Reason::BodyMismatch,
                                   "the same request id is open with another body", std::nullopt});
    }
    if (!found->second->attach()) {
        throw VerdictError(Verdict{Execution::MayHaveRun, Reason::AlreadyRunning,
                                   "the request was left by its caller and is being cancelled",
                                   std::chrono::steady_clock::now() + ComeBackAfter});
    }
    return found->second;
}

std::shared_ptr<ChatRun> OpenRuns::findStream(const ResumePoint &point)
{
    ChatOrder order;
    order.workspace = point.workspace;
    order.request = point.request;
    absl::MutexLock lock(&mutex_);
    const auto found = runs_.find(keyOf(order));
    const bool same =
            found != runs_.end() && found->second->source().engineStream == point.engineStream;
    return same ? found->second : nullptr;
}

void OpenRuns::remove(const ChatRun &run)
{
    absl::MutexLock lock(&mutex_);
    runs_.erase(keyOf(run.order()));
}

std::size_t OpenRuns::size() const
{
    absl::MutexLock lock(&mutex_);
    return runs_.size();
}

} // namespace sequoiagate
