#ifndef SEQUOIAGATE_ROUTER_CALLERSERVER_H
#define SEQUOIAGATE_ROUTER_CALLERSERVER_H

/// The HTTP server that callers reach, with what the library leaves out: a full
/// listen backlog and a bounded pool whose fullness is told.

#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// A pool that grows to a cap. Connections past the cap are served by a few spare
/// threads, on which overloaded() is true, so that the handlers refuse them at
/// once. Without it the library queues them without bound and without a word: a
/// caller waits behind streams that last seconds, and admission never sees it.
class CappedTaskQueue : public httplib::TaskQueue
{
public:
    explicit CappedTaskQueue(std::size_t cap) : cap_(cap) {}

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// Whether the calling thread serves a connection past the cap.
    static bool overloaded();

private:
    struct Lane
    {
        std::list<std::function<void()>> tasks;
        absl::CondVar ready;
        std::size_t threads = 0;
        std::size_t idle = 0;
        bool spare = false;
    };

    void push(Lane &lane, std::function<void()> task);
    void work(Lane &lane);

    std::size_t cap_;
    absl::Mutex mutex_;
    Lane main_;
    Lane spare_{{}, {}, 0, 0, true};
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

struct CallerServerSettings
{
    std::string listen;
    std::size_t connections = 0;
    std::size_t maximumBodyBytes = 0;
    Millis callerTimeout{};
};

/// start and stop from one thread; handlers run on many.
class CallerServer
{
public:
    explicit CallerServer(const CallerServerSettings &settings);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// For routes; before start.
    httplib::Server &http() { return server_; }
    /// Binds and serves. \throws std::runtime_error if the address can't be bound.
    void start();
    /// Ends open connections too: call it when no request is in progress.
    void stop();
    /// IP:port, after start.
    const std::string &address() const { return address_; }

private:
    CallerServerSettings settings_;
    httplib::Server server_;
    std::thread thread_;
    std::string address_;
};

} // namespace sequoiagate

#endif
