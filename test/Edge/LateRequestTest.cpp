/// Requests that reach a host while it stops.

#include <csignal>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds ReadyGrace(800);
constexpr std::chrono::milliseconds StopGrace(4000);
/// Behind ReadyGrace, and long before the end of StopGrace.
constexpr std::chrono::milliseconds Late(1200);

/// A caller's connection.
class Connection
{
public:
    explicit Connection(int host) : socket_(io_)
    {
        socket_.connect({boost::asio::ip::make_address(ip(host)), CallerPort});
    }

    void send(const std::string &bytes)
    {
        error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    /// Reads until \p text or the end. \returns what was read and not returned before
    std::string readUntil(const std::string &text)
    {
        error_code error;
        const std::size_t size = boost::asio::read_until(socket_, buffer_, text, error);
        const std::size_t taken = error ? buffer_.size() : size;
        std::string bytes(boost::asio::buffers_begin(buffer_.data()),
                          boost::asio::buffers_begin(buffer_.data())
                                  + static_cast<std::ptrdiff_t>(taken));
        buffer_.consume(taken);
        return bytes;
    }

private:
    boost::asio::io_context io_;
    tcp::socket socket_;
    boost::asio::streambuf buffer_;
};

std::string head(const std::string &path, const std::string &id, std::chrono::milliseconds deadline,
                 int events)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
                       "Authorization: Token key\r\nDeadline-Ms: {}\r\nToken-Count: 1,0\r\n"
                       "{}Content-Length: 4\r\n\r\n",
                       path, id, deadline.count(),
                       events > 0 ? fmt::format("X-Events: {}\r\n", events) : std::string());
}

struct LateRequest
{
    const char *name;
    /// Brings a request to a stopping host on \p connection, which has had a response. \p late is
    /// when it may be late.
    void (*bring)(Connection &connection, const std::string &requestHead, Instant late);
    const char *path;
    std::chrono::milliseconds deadline;
    int events; ///< of the response, if it is a stream
    const char *expected;
};

/// The head arrives at once, the body late.
void bringBodySlowly(Connection &connection, const std::string &requestHead, Instant late)
{
    connection.send(requestHead + "bo");
    std::this_thread::sleep_until(late);
    connection.send("dy");
}

/// The request waits behind a stream that began before the stop.
void bringBehindAStream(Connection &connection, const std::string &requestHead, Instant late)
{
    std::this_thread::sleep_until(late - std::chrono::milliseconds(100));
    connection.send(requestHead + "body");
    connection.readUntil("0\r\n\r\n");
}

constexpr std::chrono::milliseconds Long(20000);
/// Over before the process ends: from the head, and from the end of the stream before.
constexpr std::chrono::milliseconds ShortFromHead(2500);
constexpr std::chrono::milliseconds ShortBehindAStream(900);
/// Of the stream before.
constexpr int FirstEvents = 130;

class LateRequests : public EdgeProcess, public testing::WithParamInterface<LateRequest>
{};

// Guards against a request that is taken long after the stop signal and given up with the process.
TEST_P(LateRequests, AreServedWholeOrRefusedAtOnce)
{
    const LateRequest &row = GetParam();
    nlohmann::json values = settings(1);
    values["ready_grace_ms"] = ReadyGrace.count();
    values["stop_grace_ms"] = StopGrace.count();
    Process edge(scratch_, "sequoia-edge", "edge", values);
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 1)) == 200; }));
    Connection connection(1);
    const bool isBehindAStream = row.bring == bringBehindAStream;
    if (isBehindAStream) {
        // Lasts a little longer than the request is late.
        connection.send(head("/stream/a", "first", Long, FirstEvents) + "body");
        connection.readUntil("id: 0");
    } else {
        connection.send(head("/once/a", "first", Long, 0) + "body");
        connection.readUntil("ran /once/a");
    }
    const int runs = endpoint_.runs();
    if (!isBehindAStream) {
        // The request has begun when the signal comes, so that the connection isn't idle.
        std::thread stop([&edge] {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            edge.signal(SIGTERM);
        });
        row.bring(connection, head(row.path, "late", row.deadline, row.events),
                  std::chrono::steady_clock::now() + std::chrono::milliseconds(100) + Late);
        stop.join();
    } else {
        edge.signal(SIGTERM);
        row.bring(connection, head(row.path, "late", row.deadline, row.events),
                  std::chrono::steady_clock::now() + Late);
    }
    const std::string answer = connection.readUntil(row.events > 0 ? "0\r\n\r\n" : "\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 12), fmt::format("HTTP/1.1 {}", row.expected)) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    const bool isRefused = std::string(row.expected) == "503";
    EXPECT_EQ(endpoint_.runs(), runs + (isRefused ? 0 : 1));
    EXPECT_EQ(answer.find("Retry-After") != std::string::npos, isRefused) << answer;
    EXPECT_EQ(edge.wait(), 0);
    EXPECT_EQ(edge.waitFor("process.stopped").at("cut_off"), 0);
}

const LateRequest LateRequestRows[] = {
        {"LongStreamWithASlowBody", bringBodySlowly, "/stream/a", Long, 1000, "503"},
        {"LongCallWithASlowBody", bringBodySlowly, "/once/a", Long, 0, "503"},
        {"ShortCallWithASlowBody", bringBodySlowly, "/once/a", ShortFromHead, 0, "200"},
        {"LongStreamBehindAStream", bringBehindAStream, "/stream/a", Long, 1000, "503"},
        {"ShortCallBehindAStream", bringBehindAStream, "/once/a", ShortBehindAStream, 0, "200"},
};

INSTANTIATE_TEST_SUITE_P(Rows, LateRequests, testing::ValuesIn(LateRequestRows),
                         [](const auto &row) { return std::string(row.param.name); });

struct LateStopCase
{
    const char *name;
    bool isSentWhole; ///< before the process goes on
};

class StopThatBeginsLate : public EdgeProcess, public testing::WithParamInterface<LateStopCase>
{};

// Guards against counting the grace period from a signal handler that ran late.
TEST_P(StopThatBeginsLate, RefusesWhatMayNotEndInTime)
{
    nlohmann::json values = settings(1);
    values["ready_grace_ms"] = ReadyGrace.count();
    values["stop_grace_ms"] = StopGrace.count();
    Process edge(scratch_, "sequoia-edge", "edge", values);
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 1)) == 200; }));
    Connection connection(1);
    connection.send(head("/once/a", "first", Long, 0) + "body");
    connection.readUntil("ran /once/a");
    const int runs = endpoint_.runs();
    connection.send(head("/stream/a", "late", Long, 1000) + "bo");
    // The head is read before the process is held up.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    edge.signal(SIGSTOP);
    edge.signal(SIGTERM);
    if (GetParam().isSentWhole) {
        connection.send("dy");
    }
    std::this_thread::sleep_for(Late);
    edge.signal(SIGCONT);
    if (!GetParam().isSentWhole) {
        edge.waitFor("process.draining");
        connection.send("dy");
    }
    const std::string answer = connection.readUntil("0\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503") << answer.substr(0, 200);
    EXPECT_EQ(endpoint_.runs(), runs);
    EXPECT_EQ(edge.wait(), 0);
    EXPECT_EQ(edge.waitFor("process.stopped").at("cut_off"), 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, StopThatBeginsLate,
                         testing::Values(LateStopCase{"EndOfTheRequestAfterwards", false},
                                         LateStopCase{"WholeRequestMeanwhile", true}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
