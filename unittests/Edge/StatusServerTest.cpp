#include "lib/Edge/StatusServer.h"

#include <sys/resource.h>
#include <unistd.h>

#include <array>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

using boost::asio::ip::tcp;

/// No descriptor can be had while it lives.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int lowestFree = ::dup(STDIN_FILENO);
        ::close(lowestFree);
        rlimit none = before_;
        none.rlim_cur = static_cast<rlim_t>(lowestFree);
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
    rlimit before_{};
};

/// A loopback address of this test process alone.
tcp::endpoint ownEndpoint()
{
    const int id = static_cast<int>(::getpid());
    const std::string ip = fmt::format("127.{}.{}.1", 1 + (id >> 8) % 250, id % 250);
    return {boost::asio::ip::make_address(ip), 8750};
}

// Out of descriptors, accepts that fail one after the other take the whole event loop.
TEST(StatusServer, WaitsForDescriptorsAndThenAnswers)
{
    constexpr int Many = 1000;
    boost::asio::io_context io;
    const tcp::endpoint listen = ownEndpoint();
    StatusServer server(io, listen, [] { return StatusPage{200, "text/plain", "ready\n"}; });
    tcp::socket client(io);
    client.connect(listen);
    int handlers = 0;
    {
        const NoDescriptors none;
        while (handlers < Many && io.poll_one() > 0) {
            ++handlers;
        }
    }
    EXPECT_GE(handlers, 1);
    EXPECT_LT(handlers, Many);
    boost::asio::write(client,
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::array<char, 12> answer{};
    bool answered = false;
    boost::asio::async_read(
            client, boost::asio::buffer(answer),
            [&](const boost::system::error_code &error, std::size_t) { answered = !error; });
    while (!answered && io.run_one() > 0) {
    }
    EXPECT_EQ(std::string(answer.data(), answer.size()), "HTTP/1.1 200");
}

} // namespace
