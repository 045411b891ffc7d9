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

struct EndlessRequest
{
    const char *name;
    std::string bytes;
};

class EndlessStatusRequest : public testing::TestWithParam<EndlessRequest>
{};

const std::string Start = "GET / HTTP/1.1\r\nHost: h\r\n";

const EndlessRequest EndlessRequests[] = {
        {"Head", Start + "A: " + std::string(64 * 1024, 'x')},
        {"Body", Start + "Content-Length: 999999\r\n\r\n" + std::string(64 * 1024, 'x')},
        {"Chunk",
         Start + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" + std::string(64 * 1024, 'x')},
        {"ChunkExtension",
         Start + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(64 * 1024, 'x')},
        {"EmptyLines", std::string(64 * 1024, '\n')},
};

// Guards against a request for a page that is read without end.
TEST_P(EndlessStatusRequest, IsClosed)
{
    boost::asio::io_context io;
    const tcp::endpoint listen = ownEndpoint();
    StatusServer server(io, listen, [] { return StatusPage{200, "text/plain", "ready\n"}; });
    tcp::socket client(io);
    client.connect(listen);
    boost::asio::write(client, boost::asio::buffer(GetParam().bytes));
    std::array<char, 12> response{};
    bool isClosed = false;
    client.async_read_some(
            boost::asio::buffer(response),
            [&](const boost::system::error_code &error, std::size_t) { isClosed = !!error; });
    // Only ends a test that has failed already.
    constexpr int MaxRounds = 60;
    for (int round = 0; round < MaxRounds && !isClosed; ++round) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(isClosed);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndlessStatusRequest, testing::ValuesIn(EndlessRequests),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
