#ifndef LIB_KEEPER_WORKER_H
#define LIB_KEEPER_WORKER_H

/// A thread that repeats one step until it is stopped.

#include <functional>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

class Worker
{
public:
    /// \p step blocks at most for a second or two, since the destructor waits for it, and
    /// returns how long to pause before the next one. The pause ends at once at a stop.
    explicit Worker(std::function<Interval()> step)
        : step_(std::move(step)), thread_([this] { run(); })
    {}
    ~Worker()
    {
        {
            absl::MutexLock lock(&mutex_);
            stopping_ = true;
        }
        thread_.join();
    }
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

private:
    void run()
    {
        for (;;) {
            const Interval pause = step_();
            absl::MutexLock lock(&mutex_);
            if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_), absl::FromChrono(pause))) {
                return;
            }
        }
    }

    std::function<Interval()> step_;
    absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace sequoiagate

#endif
