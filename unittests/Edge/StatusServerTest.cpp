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

/// Prevents the process from opening file descriptors while it exists.
class DescriptorExhaustion
{
public:
    DescriptorExhaustion()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int lowestFree = ::dup(STDIN_FILENO);
        ::close(lowestFree);
        rlimit none = before_;
        none.rlim_cur = static_cast<rlim_t>(lowestFree);
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~DescriptorExhaustion() { setrlimit(RLIMIT_NOFILE, &before_); }
    DescriptorExhaustion(const DescriptorExhaustion &) = delete;
    DescriptorExhaustion &operator=(const DescriptorExhaustion &) = delete;

private:
    rlimit before_{};
};

/// A loopback address that no other test process uses.
tcp::endpoint ownEndpoint()
{
    const int id = static_cast<int>(::getpid());
    const std::string ip = fmt::format("127.{}.{}.1", 1 + (id >> 8) % 250, id % 250);
    return {boost::asio::ip::make_address(ip), 8750};
}

// Guards against an event loop that is busy with failing accepts while the process is out of file
// descriptors.
TEST(StatusServer, RetriesAcceptsAfterDescriptorExhaustion)
{
    constexpr int MaxHandlers = 1000;
    boost::asio::io_context io;
    const tcp::endpoint listen = ownEndpoint();
    StatusServer server(io, listen, [] { return StatusPage{200, "text/plain", "ready\n"}; });
    tcp::socket client(io);
    client.connect(listen);
    int handlers = 0;
    {
        const DescriptorExhaustion exhaustion;
        while (handlers < MaxHandlers && io.poll_one() > 0) {
            ++handlers;
        }
    }
    EXPECT_GE(handlers, 1);
    EXPECT_LT(handlers, MaxHandlers);
    boost::asio::write(client,
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::array<char, 12> response{};
    bool responded = false;
    boost::asio::async_read(
            client, boost::asio::buffer(response),
            [&](const boost::system::error_code &error, std::size_t) { responded = !error; });
    while (!responded && io.run_one() > 0) {
    }
    EXPECT_EQ(std::string(response.data(), response.size()), "HTTP/1.1 200");
}

} // namespace
