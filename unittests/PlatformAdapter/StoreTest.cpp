/// Calls to the store whose answers are late, or not what the protocol says.

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

/// A store that takes one call and answers what the test says.
class SlowStore : public testing::Test
{
protected:
    SlowStore()
        : acceptor_(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), taken_(io_),
          pool_(io_, {}), store_(io_, pool_, acceptor_.local_endpoint())
    {
        acceptor_.async_accept(taken_, [this](const boost::system::error_code &) {
            taken_.async_read_some(
                    boost::asio::buffer(buffer_),
                    [this](const boost::system::error_code &, std::size_t) { isAsked_ = true; });
        });
    }

    void answer(const std::string &bytes)
    {
        boost::asio::write(taken_, boost::asio::buffer(bytes));
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
    tcp::socket taken_;
    std::array<char, 4096> buffer_{};
    ConnectionPool pool_;
    PlatformStore store_;
    bool isAsked_ = false;
};

// A write whose answer is coming counts as unanswered: its timeout passed in the same round.
TEST_F(SlowStore, AnswerThatBeginsTogetherWithTheTimeoutIsTaken)
{
    bool isDone = false;
    StoreOutcome outcome = StoreOutcome::Unreachable;
    store_.append({"topic", "writer", 0, {{"key", "value", 0}}},
                  [&isDone, &outcome](const AppendAnswer &answer) {
                      isDone = true;
                      outcome = answer.outcome;
                  });
    runUntil(isAsked_);
    const std::string body = R"({"offset":7,"end":8})";
    answer(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(),
                       body.substr(0, 1)));
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    io_.restart();
    io_.poll();
    ASSERT_FALSE(isDone);
    answer(body.substr(1));
    runUntil(isDone);
    EXPECT_EQ(outcome, StoreOutcome::Ok);
}

struct AppendCase
{
    const char *name;
    int status;
    const char *body;
    StoreOutcome outcome;
};

class MalformedAppendAnswer : public testing::TestWithParam<AppendCase>
{};

const AppendCase AppendCases[] = {
        {"OffsetOfAnotherType", 200, R"({"offset":"7"})", StoreOutcome::Ok},
        {"NoOffset", 200, R"({})", StoreOutcome::Ok},
        {"ReasonOfAnotherType", 409, R"({"reason":7})", StoreOutcome::Rejected},
        {"NotAnObject", 409, R"([1])", StoreOutcome::Rejected},
        {"NotJson", 200, "<html>", StoreOutcome::Ok},
};

// The process ends, and cuts off all its callers, by an answer that it didn't expect.
TEST_P(MalformedAppendAnswer, EndsNothing)
{
    EXPECT_EQ(decodeAppend(GetParam().status, GetParam().body, 1).outcome, GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(Rows, MalformedAppendAnswer, testing::ValuesIn(AppendCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
