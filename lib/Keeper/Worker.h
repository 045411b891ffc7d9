#ifndef LIB_KEEPER_WORKER_H
#define LIB_KEEPER_WORKER_H

/// A thread that repeats one step until it is stopped.

#include <atomic>
#include <functional>
#include <thread>

namespace sequoiagate {

class Worker
{
public:
    /// \p step blocks at most for a second or two, since the destructor waits for it.
    explicit Worker(std::function<void()> step)
        : step_(std::move(step)), thread_([this] {
              while (!stopping_) {
                  step_();
              }
          })
    {}
    ~Worker()
    {
        stopping_ = true;
        thread_.join();
    }
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

private:
    std::function<void()> step_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace sequoiagate

#endif
