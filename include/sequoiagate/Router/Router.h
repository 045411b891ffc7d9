#ifndef SEQUOIAGATE_ROUTER_ROUTER_H
#define SEQUOIAGATE_ROUTER_ROUTER_H

/// A router: callers in front, keepers and endpoints behind.

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <httplib.h>

#include "sequoiagate/Router/CallerServer.h"
#include "sequoiagate/Router/ChatService.h"
#include "sequoiagate/Router/PlainService.h"
#include "sequoiagate/Router/RouterContext.h"
#include "sequoiagate/Transport/Security.h"

namespace sequoiagate {

/// start and drain from one thread.
class Router
{
public:
    /// \pre \p security and \p log outlive this.
    Router(RouterSettings settings, Security &security, EventLog &log);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Serves callers. \throws std::runtime_error if the address can't be bound.
    void start();
    /// A planned stop: fails readyz and refuses new work at once, lets what is in
    /// progress run to its end, hands the bills to keepers, and stops serving.
    /// \returns how many requests in progress the stop cut off.
    std::size_t drain();
    /// IP:port, after start.
    const std::string &address() const { return server_.address(); }

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    void route();
    Handler guarded(Handler handler);
    void answerReady(httplib::Response &response);
    void answerMetrics(httplib::Response &response);
    void tailView();
    void takeView(const wire::ReadViewReply &reply);

    RouterContext context_;
    ChatService chat_;
    PlainService plain_;
    CallerServer server_;
    std::atomic<bool> stopping_ = false;
    std::thread viewTail_;
};

} // namespace sequoiagate

#endif
