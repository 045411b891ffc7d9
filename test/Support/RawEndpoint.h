#ifndef TEST_SUPPORT_RAWENDPOINT_H
#define TEST_SUPPORT_RAWENDPOINT_H

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>

namespace sequoiagate {

/// An endpoint whose answers a test writes byte by byte, each connection on a thread of its own.
class RawEndpoint
{
public:
    /// The head of a request, and what else was read with it.
    using Answer = std::function<void(boost::asio::ip::tcp::socket &, const std::string &request)>;

    /// \param answer is called once for each connection, which is closed behind it
    RawEndpoint(const std::string &ip, Answer answer);
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    std::string address() const;
    /// Whether answers are to end, since the test does. Thread safe.
    bool isStopping() const { return isStopping_; }

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket &socket);

    Answer answer_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

/// The line of \p request with its id, without its end; empty in a probe.
std::string requestIdLine(const std::string &request);

} // namespace sequoiagate

#endif
