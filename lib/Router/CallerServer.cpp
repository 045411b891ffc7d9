#include "sequoiagate/Router/CallerServer.h"

#include <stdexcept>

#include <fmt/format.h>
#include <sys/socket.h>

#include "sequoiagate/Router/RouterSettings.h"

namespace sequoiagate {

namespace {

constexpr int ListenBacklog = 1024;
constexpr std::size_t SpareThreads = 4;
constexpr time_t KeepAliveSeconds = 5;
constexpr std::size_t RequestsPerConnection = 1'000'000;
/// The library finds a route by std::regex, whose matcher recurses for each
/// character: a path of 8 KB could end the process by stack overflow.
constexpr std::size_t LongestPath = 1024;
constexpr int StatusUriTooLong = 414;

thread_local bool onSpareThread = false;

} // namespace

bool CappedTaskQueue::overloaded()
{
    return onSpareThread;
}

void CappedTaskQueue::enqueue(std::function<void()> task)
{
    absl::MutexLock lock(&mutex_);
    const bool full = main_.idle <= main_.tasks.size() && main_.threads >= cap_;
    push(full ? spare_ : main_, std::move(task));
}

void CappedTaskQueue::push(Lane &lane, std::function<void()> task)
{
    lane.tasks.push_back(std::move(task));
    const std::size_t most = lane.spare ? SpareThreads : cap_;
    if (lane.idle < lane.tasks.size() && lane.threads < most) {
        ++lane.threads;
        threads_.emplace_back([this, &lane] { work(lane); });
    }
    lane.ready.Signal();
}

void CappedTaskQueue::work(Lane &lane)
{
    onSpareThread = lane.spare;
    absl::MutexLock lock(&mutex_);
    for (;;) {
        ++lane.idle;
        while (lane.tasks.empty() && !stopping_) {
            lane.ready.Wait(&mutex_);
        }
        --lane.idle;
        if (lane.tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(lane.tasks.front());
        lane.tasks.pop_front();
        mutex_.Unlock();
        task();
        mutex_.Lock();
    }
}

void CappedTaskQueue::shutdown()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
        main_.ready.SignalAll();
        spare_.ready.SignalAll();
    }
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

CallerServer::CallerServer(const CallerServerSettings &settings) : settings_(settings)
{
    server_.new_task_queue = [connections = settings.connections] {
        return new CappedTaskQueue(connections);
    };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(RequestsPerConnection);
    server_.set_keep_alive_timeout(KeepAliveSeconds);
    server_.set_read_timeout(settings.callerTimeout);
    server_.set_write_timeout(settings.callerTimeout);
    server_.set_payload_max_length(settings.maximumBodyBytes);
    server_.set_pre_routing_handler(
            [](const httplib::Request &request, httplib::Response &response) {
                if (request.path.size() <= LongestPath) {
                    return httplib::Server::HandlerResponse::Unhandled;
                }
                response.status = StatusUriTooLong;
                response.set_header("Connection", "close");
                return httplib::Server::HandlerResponse::Handled;
            });
}

CallerServer::~CallerServer()
{
    stop();
}

void CallerServer::start()
{
    const SocketAddress address = parseAddress(settings_.listen);
    int descriptor = -1;
    server_.set_socket_options([&descriptor](socket_t socket) {
        descriptor = socket;
        // Not the library's default, which also sets SO_REUSEPORT: two routers on
        // one port would silently share its callers.
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    int port = address.port;
    if (port == 0) {
        port = server_.bind_to_any_port(address.ip);
    } else if (!server_.bind_to_port(address.ip, port)) {
        port = -1;
    }
    if (port < 0) {
        throw std::runtime_error(fmt::format("'{}' can't be bound", settings_.listen));
    }
    // The library listens with a backlog of 5: of a few hundred callers that open
    // at once, most would wait seconds for the kernel's retransmissions. A second
    // listen() on the same descriptor raises it.
    if (::listen(descriptor, ListenBacklog) != 0) {
        throw std::runtime_error(fmt::format("'{}' can't be listened on", settings_.listen));
    }
    address_ = fmt::format("{}:{}", address.ip, port);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
}

void CallerServer::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    server_.stop();
    thread_.join();
}

} // namespace sequoiagate
