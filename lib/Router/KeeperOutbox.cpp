#include "sequoiagate/Router/KeeperOutbox.h"

#include <algorithm>

#include <absl/time/time.h>

namespace sequoiagate {

namespace {

constexpr Millis AfterFailure{200};

} // namespace

KeeperOutbox::KeeperOutbox(KeeperClient &keepers, EventLog &log, Millis sendAgain)
    : keepers_(keepers), log_(log), sendAgain_(sendAgain), thread_([this] { run(); })
{}

KeeperOutbox::~KeeperOutbox()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
        changed_.SignalAll();
    }
    thread_.join();
}

void KeeperOutbox::settle(wire::SettleRequest request)
{
    post({std::move(request), Instant(), false, false});
}

void KeeperOutbox::announceOpen(wire::SettleRequest request)
{
    post({std::move(request), Instant(), false, true});
}

void KeeperOutbox::finishRun(wire::FinishRunRequest request)
{
    post({std::move(request), Instant(), false, false});
}

void KeeperOutbox::post(Item item)
{
    absl::MutexLock lock(&mutex_);
    items_.push_back(std::move(item));
    ++notHeld_;
    changed_.SignalAll();
}

void KeeperOutbox::awaitHeld()
{
    absl::MutexLock lock(&mutex_);
    while (notHeld_ > 0) {
        changed_.Wait(&mutex_);
    }
}

std::size_t KeeperOutbox::pending() const
{
    absl::MutexLock lock(&mutex_);
    return items_.size();
}

bool KeeperOutbox::awaitDue(Item &item)
{
    absl::MutexLock lock(&mutex_);
    while (!stopping_) {
        const Instant now = std::chrono::steady_clock::now();
        const auto next =
                std::min_element(items_.begin(), items_.end(),
                                 [](const Item &a, const Item &b) { return a.sendAt < b.sendAt; });
        if (next == items_.end()) {
            changed_.Wait(&mutex_);
            continue;
        }
        if (next->sendAt <= now) {
            item = std::move(*next);
            items_.erase(next);
            return true;
        }
        changed_.WaitWithTimeout(&mutex_, absl::FromChrono(next->sendAt - now));
    }
    return false;
}

void KeeperOutbox::run()
{
    Item item;
    while (awaitDue(item)) {
        deliver(item);
    }
}

void KeeperOutbox::deliver(Item &item)
{
    bool held = false;
    bool durable = false;
    Millis wait = sendAgain_;
    try {
        if (const auto *settle = std::get_if<wire::SettleRequest>(&item.message)) {
            const wire::SettleReply reply = keepers_.settle(*settle);
            held = reply.held();
            durable = reply.durable_offset() > 0;
        } else {
            const wire::FinishRunReply reply =
                    keepers_.finishRun(std::get<wire::FinishRunRequest>(item.message));
            held = reply.held();
            durable = reply.durable_offset() > 0;
        }
    } catch (const VerdictError &error) {
        log_.write(Event("outbox.unreachable").with("detail", error.verdict().detail));
        wait = AfterFailure;
    }
    absl::MutexLock lock(&mutex_);
    const bool countsAsHeld = held || durable || item.once;
    if (countsAsHeld && !item.held) {
        item.held = true;
        --notHeld_;
        changed_.SignalAll();
    }
    if (durable || item.once) {
        return;
    }
    item.sendAt = std::chrono::steady_clock::now() + wait;
    items_.push_back(std::move(item));
}

} // namespace sequoiagate
