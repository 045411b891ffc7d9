#include "sequoiagate/Router/KeeperOutbox.h"

#include <algorithm>

#include <absl/time/time.h>

namespace sequoiagate {

namespace {

constexpr Millis AfterFailure{200};
/// Far longer than a host's pause or a cut between hosts lasts.
constexpr std::chrono::minutes ReleaseWithin{10};

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

void KeeperOutbox::announceBackup(std::string keeper, wire::SettleRequest request)
{
    post({BackupNote{std::move(keeper), std::move(request)}, Instant(), false, true});
}

void KeeperOutbox::finishRun(wire::FinishRunRequest request)
{
    post({std::move(request), Instant(), false, false});
}

void KeeperOutbox::release(std::string keeper, wire::ReserveRequest request)
{
    // A planned stop doesn't wait for it: the keeper asks after silent routers' requests.
    const Instant giveUpAt = std::chrono::steady_clock::now() + ReleaseWithin;
    post({Release{std::move(keeper), std::move(request), giveUpAt}, Instant(), true, false});
}

void KeeperOutbox::post(Item item)
{
    absl::MutexLock lock(&mutex_);
    notHeld_ += item.held ? 0 : 1;
    items_.push_back(std::move(item));
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

/// \returns what became of it, in the terms of a settled bill.
wire::SettleReply KeeperOutbox::send(const Item &item)
{
    if (const auto *settle = std::get_if<wire::SettleRequest>(&item.message)) {
        return keepers_.settle(*settle);
    }
    wire::SettleReply result;
    if (const auto *finish = std::get_if<wire::FinishRunRequest>(&item.message)) {
        const wire::FinishRunReply reply = keepers_.finishRun(*finish);
        result.set_held(reply.held());
        result.set_durable_offset(reply.durable_offset());
        return result;
    }
    if (const auto *note = std::get_if<BackupNote>(&item.message)) {
        return keepers_.settleWith(note->keeper, note->request);
    }
    const Release &release = std::get<Release>(item.message);
    const bool isOver = keepers_.release(release.keeper, release.request)
                        || std::chrono::steady_clock::now() >= release.giveUpAt;
    result.set_durable_offset(isOver ? 1 : 0);
    return result;
}

void KeeperOutbox::deliver(Item &item)
{
    wire::SettleReply result;
    Millis wait = sendAgain_;
    try {
        result = send(item);
    } catch (const VerdictError &error) {
        log_.write(Event("outbox.unreachable").with("detail", error.verdict().detail));
        wait = AfterFailure;
    }
    const bool durable = result.durable_offset() > 0;
    absl::MutexLock lock(&mutex_);
    const bool countsAsHeld = result.held() || durable || item.once;
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
