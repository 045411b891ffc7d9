#ifndef SEQUOIAGATE_KEEPER_KEEPER_H
#define SEQUOIAGATE_KEEPER_KEEPER_H

/// KeeperCore behind a lock, for the threads that move its messages.

#include <chrono>
#include <type_traits>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "sequoiagate/Keeper/KeeperCore.h"

namespace sequoiagate {

/// Thread safe.
class Keeper
{
public:
    Keeper(const KeeperCoreSettings &settings, const wire::MemberEntry &self,
           const Statechart &drainChart, EventLog &log)
        : log_(log), core_(settings, self, drainChart, std::chrono::steady_clock::now())
    {}

    /// Runs \p body(core, now, wall) under the lock, then writes what it logged and wakes
    /// whoever waits for the change. The events are written before anybody outside can
    /// see the answer, so that an effect's line never stands before its cause's.
    template <typename Body>
    auto run(const Body &body)
    {
        absl::MutexLock lock(&mutex_);
        const uint64_t before = core_.progress();
        if constexpr (std::is_void_v<std::invoke_result_t<Body, KeeperCore &, Instant, WallTime>>) {
            body(core_, std::chrono::steady_clock::now(), std::chrono::system_clock::now());
            finish(before);
        } else {
            auto result =
                    body(core_, std::chrono::steady_clock::now(), std::chrono::system_clock::now());
            finish(before);
            return result;
        }
    }

    /// Repeats \p ask(core, now, wall) each time the core has moved on, until it answers or
    /// \p until has passed; then \p giveUp(core, now, wall) answers.
    template <typename Reply, typename Ask, typename GiveUp>
    Reply await(Instant until, const Ask &ask, const GiveUp &giveUp)
    {
        absl::MutexLock lock(&mutex_);
        for (;;) {
            const uint64_t before = core_.progress();
            const Instant now = std::chrono::steady_clock::now();
            Step<Reply> step = ask(core_, now, std::chrono::system_clock::now());
            finish(before);
            if (Reply *reply = std::get_if<Reply>(&step)) {
                return std::move(*reply);
            }
            if (now >= until) {
                Reply reply = giveUp(core_, now, std::chrono::system_clock::now());
                finish(before);
                return reply;
            }
            // Never a wait of nothing, which would spin until the deadline.
            const Instant askedFor = std::max(std::get<AskAgain>(step).until, now + LeastWait);
            if (core_.progress() == before) {
                const Interval wait = std::min(until, askedFor) - now;
                changed_.WaitWithTimeout(&mutex_, absl::FromChrono(wait));
            }
        }
    }

    /// Waits until the core has had more work of \p kind than \p seen counts
    /// (KeeperCore::work), at the latest until \p until.
    void waitForWork(WorkKind kind, uint64_t seen, Instant until)
    {
        absl::MutexLock lock(&mutex_);
        if (core_.work(kind) == seen) {
            const Interval wait = until - std::chrono::steady_clock::now();
            work_[static_cast<std::size_t>(kind)].WaitWithTimeout(&mutex_, absl::FromChrono(wait));
        }
    }

    EventLog &log() { return log_; }

private:
    static constexpr Millis LeastWait{5};

    void finish(uint64_t before) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        for (const Event &event : core_.takeEvents()) {
            log_.write(event);
        }
        if (core_.progress() != before) {
            changed_.SignalAll();
        }
        for (std::size_t kind = 0; kind < WorkKinds; ++kind) {
            const uint64_t work = core_.work(static_cast<WorkKind>(kind));
            if (work != signalledWork_[kind]) {
                signalledWork_[kind] = work;
                work_[kind].SignalAll();
            }
        }
    }

    EventLog &log_;
    absl::Mutex mutex_;
    absl::CondVar changed_; ///< an answer may be ready
    /// By WorkKind: with one for all, each bill woke every driver.
    std::array<absl::CondVar, WorkKinds> work_;
    KeeperCore core_ ABSL_GUARDED_BY(mutex_);
    std::array<uint64_t, WorkKinds> signalledWork_ ABSL_GUARDED_BY(mutex_){};
};

} // namespace sequoiagate

#endif
