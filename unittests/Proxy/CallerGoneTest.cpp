/// Requests whose callers leave while something is awaited, on a host whose event loop is held up:
/// the close and the completion are both ready when the loop goes on, the completion first.

#include <array>
#include <functional>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "ProxyTestHarness.h"
#include "sequoiagate/Proxy/HttpConnection.h"

using namespace sequoiagate;

namespace {

constexpr const char *Good = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                             "Content-Length: 4\r\n\r\ngood";
constexpr const char *Full = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\n"
                             "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char *Failed = "HTTP/1.1 500 Failed\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                               "Content-Length: 0\r\n\r\n";
constexpr const char *Established = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

std::size_t requestsReceived(const ProxyTestHarness &harness)
{
    std::size_t count = 0;
    for (const std::unique_ptr<ScriptedEndpoint> &endpoint : harness.endpoints) {
        count += endpoint->received().size();
    }
    return count;
}

/// Runs until endpoint \p index has responded to \p requests, and the proxy hasn't read it yet.
bool runUntilReplied(ProxyTestHarness &harness, std::size_t index, std::size_t requests)
{
    return harness.waitUntil(
            [&] { return harness.endpoints[index]->received().size() == requests; });
}

/// Sends a request that both endpoints respond to, then one that the first has responded to.
bool beginWithOpenConnections(ProxyTestHarness &harness)
{
    harness.send(ProxyTestHarness::request("/get/a", "r1"));
    if (!harness.waitFor("good")) {
        return false;
    }
    harness.send(ProxyTestHarness::request("/get/a", "r2"));
    return runUntilReplied(harness, 0, 2);
}

struct CallerGoneCase
{
    const char *name;
    std::vector<std::vector<Reply>> scripts;
    /// Sends a request and runs until what it waits for is ready, and not yet noticed.
    std::function<bool(ProxyTestHarness &)> begin;
    /// What completes before the close is read, if it isn't in the socket.
    std::function<void(ProxyTestHarness &)> complete;
};

class CallerGone : public testing::TestWithParam<CallerGoneCase>
{};

const CallerGoneCase CallerGoneCases[] = {
        {"Connection",
         {{{Good}}},
         [](ProxyTestHarness &harness) {
             harness.send(ProxyTestHarness::request("/get/a", "r1"));
             return harness.waitUntil([&] { return harness.countLogLines("request.sent") == 1; });
         },
         nullptr},
        {"RelaysHandshake",
         {{{Established}, {Good}}},
         [](ProxyTestHarness &harness) {
             harness.placement.endpoints[0].relay =
                     RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
             harness.send(ProxyTestHarness::request("/get/a", "r1"));
             return runUntilReplied(harness, 0, 1);
         },
         nullptr},
        {"Rejection", {{{Full}, {Full}}, {{Good}, {Good}}}, beginWithOpenConnections, nullptr},
        {"FailureOfTheEndpoint",
         {{{Failed}, {Failed}}, {{Good}, {Good}}},
         beginWithOpenConnections,
         nullptr},
        {"Tokens",
         {{{Good}, {Good}}},
         [](ProxyTestHarness &harness) {
             harness.send(ProxyTestHarness::request("/get/a", "r1"));
             if (!harness.waitFor("good")) {
                 return false;
             }
             harness.tokenReservations.isDelayed = true;
             harness.send(ProxyTestHarness::request("/get/a", "r2"));
             return harness.waitUntil([&] { return harness.tokenReservations.delayed != nullptr; });
         },
         [](ProxyTestHarness &harness) {
             harness.tokenReservations.delayed();
         }},
};

/// Lets the caller of \p row send \p bytes behind its request and leave, and checks that the
/// request isn't sent on.
void leaveBehind(const CallerGoneCase &row, const std::string &bytes)
{
    ProxyTestHarness harness(row.scripts);
    ASSERT_TRUE(row.begin(harness));
    const std::size_t before = requestsReceived(harness);
    harness.send(bytes);
    harness.closeCaller();
    if (row.complete) {
        row.complete(harness);
    }
    EXPECT_TRUE(
            harness.waitUntil([&] { return harness.countLogLines("request.caller_gone") == 1; }));
    for (int i = 0; i < 20; ++i) {
        harness.io.restart();
        harness.io.run_one_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(requestsReceived(harness), before);
    EXPECT_EQ(harness.tokenReservations.reserved, 0U);
    EXPECT_EQ(harness.placement.sent, harness.placement.ended);
}

// Guards against sending a request on after its caller has left.
TEST_P(CallerGone, RequestIsNotSentOn)
{
    leaveBehind(GetParam(), "");
}

// Guards against a close that isn't noticed because it follows bytes that haven't been read.
TEST_P(CallerGone, RequestIsNotSentOnBehindALineBreak)
{
    leaveBehind(GetParam(), "\r\n");
}

TEST_P(CallerGone, RequestIsNotSentOnBehindTheNextRequest)
{
    leaveBehind(GetParam(), ProxyTestHarness::request("/get/a", "next"));
}

// Guards against sending the rest of a request, whose first part filled the socket, after its
// caller has left.
TEST(PartlySentRequest, IsNotSentOnOnceItsCallerHasLeft)
{
    using boost::asio::ip::tcp;
    constexpr std::size_t BodyBytes = 16 * 1024 * 1024;
    ProxyTestHarness harness(std::vector<std::vector<Reply>>(1));
    harness.config->limits.maxBodyBytes = BodyBytes;
    boost::asio::io_context endpointIo;
    tcp::acceptor acceptor(endpointIo, {boost::asio::ip::address_v4::loopback(), 0});
    harness.placement.endpoints[0].address = acceptor.local_endpoint();
    const std::string request = fmt::format("POST /get/a HTTP/1.1\r\nHost: h.example\r\n"
                                            "Request-Id: r\r\nDeadline-Ms: 4000\r\n"
                                            "Authorization: Token key\r\nToken-Count: 1,1\r\n"
                                            "Content-Length: {}\r\n\r\n",
                                            BodyBytes)
                                + std::string(BodyBytes, 'x');
    std::thread caller([&harness, &request] { harness.send(request); });
    const bool isSent =
            harness.waitUntil([&harness] { return harness.countLogLines("request.sent") == 1; });
    caller.join();
    ASSERT_TRUE(isSent);
    tcp::socket accepted = acceptor.accept();
    harness.io.run_for(std::chrono::milliseconds(200));
    std::vector<char> buffer(BodyBytes);
    accepted.non_blocking(true);
    const auto drain = [&accepted, &buffer] {
        std::size_t total = 0;
        boost::system::error_code error;
        for (int pauses = 0; pauses < 4 && error != boost::asio::error::eof;) {
            const std::size_t bytes = accepted.read_some(boost::asio::buffer(buffer), error);
            total += bytes;
            if (bytes == 0) {
                ++pauses;
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        }
        return total;
    };
    EXPECT_GT(drain(), 0U);
    harness.closeCaller();
    EXPECT_TRUE(
            harness.waitUntil([&] { return harness.countLogLines("request.caller_gone") == 1; }));
    EXPECT_EQ(drain(), 0U);
}

struct PipeliningCase
{
    const char *name;
    std::size_t bytes; ///< behind the open request
};

class PipeliningCaller : public testing::TestWithParam<PipeliningCase>
{};

const PipeliningCase PipeliningCases[] = {
        {"MoreThanIsBuffered", 300 * 1024},
        {"MoreThanTheSocketsHold", 8 * 1024 * 1024},
};

// Guards against work for a caller that left after it had sent more than is buffered behind its
// request: a close behind bytes that the kernel doesn't take can't be noticed.
TEST_P(PipeliningCaller, IsNoticedWhenItLeaves)
{
    ProxyTestHarness harness({{{"", AfterReply::Hang}}});
    harness.send(ProxyTestHarness::request("/get/a", "r"));
    ASSERT_TRUE(runUntilReplied(harness, 0, 1));
    harness.sendWhileTaken(GetParam().bytes);
    harness.closeCaller();
    EXPECT_TRUE(
            harness.waitUntil([&] { return harness.countLogLines("request.caller_gone") == 1; }));
}

// Guards against an answer that is lost because its caller sent more behind the request than is
// buffered, and against requests of which only a part was kept.
TEST_P(PipeliningCaller, GetsItsAnswerAndIsToldThatTheRestIsDropped)
{
    ProxyTestHarness harness({{{Good}, {Good}}});
    harness.tokenReservations.isDelayed = true;
    harness.send(ProxyTestHarness::request("/get/a", "r"));
    ASSERT_TRUE(harness.waitUntil([&] { return harness.tokenReservations.delayed != nullptr; }));
    EXPECT_EQ(harness.sendWhileTaken(GetParam().bytes), GetParam().bytes);
    harness.tokenReservations.delayed();
    EXPECT_TRUE(harness.waitForClose());
    EXPECT_FALSE(harness.wasReset());
    EXPECT_NE(harness.received().find("Connection: close"), std::string::npos);
    EXPECT_NE(harness.received().find("good"), std::string::npos);
    EXPECT_EQ(requestsReceived(harness), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, PipeliningCaller, testing::ValuesIn(PipeliningCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against reading without a limit what a caller sends behind an open request.
TEST(EndlessPipeline, IsReadAtALimitedRate)
{
    constexpr std::size_t MaxBytesPerSecond = 10 * 1024 * 1024;
    constexpr std::size_t SocketBytes = 8 * 1024 * 1024;
    ProxyTestHarness harness({{{"", AfterReply::Hang}}});
    harness.send(ProxyTestHarness::request("/get/a", "r"));
    ASSERT_TRUE(runUntilReplied(harness, 0, 1));
    const Instant begin = std::chrono::steady_clock::now();
    const std::size_t sent = harness.sendWhileTaken(4 * SocketBytes);
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - begin;
    EXPECT_LE(static_cast<double>(sent), MaxBytesPerSecond * time.count() + SocketBytes);
}

INSTANTIATE_TEST_SUITE_P(WhileAwaiting, CallerGone, testing::ValuesIn(CallerGoneCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against a request that the kernel delivers after it was cancelled.
TEST(HttpConnection, UnsentBytesOfACancelledCallAreDropped)
{
    using boost::asio::ip::tcp;
    struct Ignored : HttpCallObserver
    {
        void onHead(const ResponseHead &) override {}
        void onBody(std::string_view) override {}
        void onDone() override {}
        void onFailed(CallFailure, const std::string &) override {}
    };
    constexpr std::size_t BodyBytes = 16 * 1024 * 1024;
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    Ignored observer;
    const auto connection = std::make_shared<HttpConnection>(io, acceptor.local_endpoint(),
                                                             HttpConnectionSettings());
    connection->call(std::string(BodyBytes, 'x'), observer);
    tcp::socket accepted = acceptor.accept();
    io.run_for(std::chrono::milliseconds(100));
    connection->cancel();
    std::vector<char> buffer(BodyBytes);
    boost::system::error_code error;
    while (!error) {
        accepted.read_some(boost::asio::buffer(buffer), error);
    }
    EXPECT_EQ(error, boost::asio::error::connection_reset);
}

} // namespace
