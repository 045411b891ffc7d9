#include "sequoiagate/Standins/HttpStandin.h"

#include <stdexcept>

#include <fmt/format.h>
#include <sys/socket.h>

namespace sequoiagate {

namespace {

constexpr int ListenBacklog = 1024;

} // namespace

HttpStandin::HttpStandin(const std::string &ip, int port, std::size_t workers)
    : ip_(ip), port_(port)
{
    server_.new_task_queue = [workers] {
        return new httplib::ThreadPool(workers);
    };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(1'000'000);
    server_.set_keep_alive_timeout(1);
}

HttpStandin::~HttpStandin()
{
    stop();
}

void HttpStandin::start()
{
    int descriptor = -1;
    server_.set_socket_options([&descriptor](socket_t socket) {
        descriptor = socket;
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    const int bound = port_ == 0 ? server_.bind_to_any_port(ip_.c_str())
                                 : (server_.bind_to_port(ip_.c_str(), port_) ? port_ : -1);
    if (bound < 0) {
        throw std::runtime_error(fmt::format("can't bind {}:{}", ip_, port_));
    }
    // The library listens with a backlog of 5: a few hundred callers that open at
    // once would wait seconds for the kernel's retransmits. Listening again on the
    // same descriptor raises it.
    ::listen(descriptor, ListenBacklog);
    address_ = fmt::format("{}:{}", ip_, bound);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
}

void HttpStandin::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    server_.stop();
    thread_.join();
}

void answerJson(httplib::Response &response, const nlohmann::json &body, int status)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

nlohmann::json jsonBody(const httplib::Request &request)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    return body.is_object() ? body : nlohmann::json::object();
}

} // namespace sequoiagate
