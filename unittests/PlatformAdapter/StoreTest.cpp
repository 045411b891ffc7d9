/// Calls to the store whose responses are late or violate the protocol.

#include <array>
#include <thread>

#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/PlatformStore.h"

using namespace sequoiagate;
using namespace sequoiagate::platform;
using boost::asio::ip::tcp;

namespace {

/// A store that accepts one call and sends the response that the test provides.
class SlowStore : public testing::Test
{
protected:
    SlowStore()
        : acceptor_(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), socket_(io_),
          pool_(io_, {}), store_(io_, pool_, acceptor_.local_endpoint())
    {
        acceptor_.async_accept(socket_, [this](const boost::system::error_code &) {
            socket_.async_read_some(boost::asio::buffer(buffer_),
                                    [this](const boost::system::error_code &, std::size_t) {
                                        requestReceived_ = true;
                                    });
        });
    }

    void respond(const std::string &bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    void runUntil(const bool &done)
    {
        const Instant limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!done && std::chrono::steady_clock::now() < limit) {
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(50));
        }
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    tcp::socket socket_;
    std::array<char, 4096> buffer_{};
    ConnectionPool pool_;
    PlatformStore store_;
    bool requestReceived_ = false;
};

// Guards against treating a write as unanswered when its timeout expires in the same iteration
// of the event loop in which its response starts to arrive.
TEST_F(SlowStore, ResponseThatStartsTogetherWithTheTimeoutIsAccepted)
{
    bool isDone = false;
    StoreOutcome outcome = StoreOutcome::Unreachable;
    store_.append({"topic", "writer", 0, {{"key", "value", 0}}},
                  [&isDone, &outcome](const AppendAnswer &response) {
                      isDone = true;
                      outcome = response.outcome;
                  });
    runUntil(requestReceived_);
    const std::string body = R"({"offset":7,"end":8})";
    respond(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(),
                        body.substr(0, 1)));
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    io_.restart();
    io_.poll();
    ASSERT_FALSE(isDone);
    respond(body.substr(1));
    runUntil(isDone);
    EXPECT_EQ(outcome, StoreOutcome::Ok);
}

struct MalformedStoreCase
{
    const char *name;
    const char *before; ///< what precedes the body's length
    StoreOutcome outcome;
};

class MalformedStoreResponse : public SlowStore,
                               public testing::WithParamInterface<MalformedStoreCase>
{};

const MalformedStoreCase MalformedStoreCases[] = {
        {"StatusZero", "HTTP/1.1 000 Trouble\r\n", StoreOutcome::Unreachable},
        {"StatusBelowAHundred", "HTTP/1.1 020 Trouble\r\n", StoreOutcome::Unreachable},
        {"StatusAboveTheRange", "HTTP/1.1 600 Trouble\r\n", StoreOutcome::Unreachable},
        {"SwitchOfProtocol", "HTTP/1.1 101 Switching Protocols\r\n", StoreOutcome::Unreachable},
        {"BlankInAName", "HTTP/1.1 200 OK\r\nFie ld: 1\r\n", StoreOutcome::Unreachable},
        {"BlankBeforeAName", "HTTP/1.1 200 OK\r\nField: 1\r\n Other: 1\r\n",
         StoreOutcome::Unreachable},
        {"AfterAnInterim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", StoreOutcome::Ok},
};

// Guards against a write whose response says nothing and that is taken for done or for rejected.
TEST_P(MalformedStoreResponse, IsNoAnswer)
{
    bool isDone = false;
    StoreOutcome outcome = StoreOutcome::Gone;
    store_.append({"topic", "writer", 0, {{"key", "value", 0}}},
                  [&isDone, &outcome](const AppendAnswer &response) {
                      isDone = true;
                      outcome = response.outcome;
                  });
    runUntil(requestReceived_);
    const std::string body = R"({"offset":7,"end":8})";
    respond(fmt::format("{}Content-Length: {}\r\n\r\n{}", GetParam().before, body.size(), body));
    runUntil(isDone);
    EXPECT_EQ(outcome, GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(Rows, MalformedStoreResponse, testing::ValuesIn(MalformedStoreCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct AppendCase
{
    const char *name;
    int status;
    const char *body;
    StoreOutcome outcome;
};

class MalformedAppendResponse : public testing::TestWithParam<AppendCase>
{};

const AppendCase AppendCases[] = {
        {"OffsetOfAnotherType", 200, R"({"offset":"7"})", StoreOutcome::Ok},
        {"NoOffset", 200, R"({})", StoreOutcome::Ok},
        {"ReasonOfAnotherType", 409, R"({"reason":7})", StoreOutcome::Rejected},
        {"NotAnObject", 409, R"([1])", StoreOutcome::Rejected},
        {"NotJson", 200, "<html>", StoreOutcome::Ok},
};

// Guards against a malformed response that terminates the process and with it all callers'
// connections.
TEST_P(MalformedAppendResponse, DoesNotThrow)
{
    EXPECT_EQ(decodeAppend(GetParam().status, GetParam().body, 1).outcome, GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(Rows, MalformedAppendResponse, testing::ValuesIn(AppendCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
