/// Which responses of an endpoint count as its answer.

#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Router/EndpointHttp.h"

using namespace sequoiagate;
using boost::asio::ip::tcp;

namespace {

/// Answers one request with the given bytes and closes the connection.
class OneAnswer
{
public:
    explicit OneAnswer(std::string bytes)
        : bytes_(std::move(bytes)), acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this] { answer(); })
    {}
    ~OneAnswer() { thread_.join(); }
    OneAnswer(const OneAnswer &) = delete;
    OneAnswer &operator=(const OneAnswer &) = delete;

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
    }

private:
    void answer()
    {
        boost::system::error_code error;
        tcp::socket socket = acceptor_.accept(error);
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(bytes_), error);
    }

    std::string bytes_;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

struct ResponseRow
{
    const char *name;
    const char *head;
    bool isAnswer;
    bool isSuccess = isAnswer;
};

const ResponseRow ResponseRows[] = {
        {"Sound", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", true},
        {"Failure", "HTTP/1.1 599 Odd\r\nContent-Length: 9\r\n", true, false},
        {"AfterContinue", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
         true},
        {"StatusZero", "HTTP/1.1 000 Trouble\r\nContent-Length: 9\r\n", false},
        {"StatusBelowAHundred", "HTTP/1.1 020 Trouble\r\nContent-Length: 9\r\n", false},
        {"StatusAboveTheRange", "HTTP/1.1 600 Trouble\r\nContent-Length: 9\r\n", false},
        {"SwitchOfProtocol", "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 9\r\n", false},
        {"EarlyHints", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
         false},
        {"BlankInAName", "HTTP/1.1 200 OK\r\nFie ld: 1\r\nContent-Length: 9\r\n", false},
        {"ControlByteInAName", "HTTP/1.1 200 OK\r\nFie\001ld: 1\r\nContent-Length: 9\r\n", false},
        {"BlankBehindTheNameOfTheLength", "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n", false},
        {"BlankBeforeAName", "HTTP/1.1 200 OK\r\n Field: 1\r\nContent-Length: 9\r\n", false},
};

class EndpointResponse : public testing::TestWithParam<ResponseRow>
{};

// Guards against a malformed response that callers get as an answer, one of status 0 as a success.
TEST_P(EndpointResponse, IsAnAnswerOrNot)
{
    OneAnswer endpoint(std::string(GetParam().head) + "\r\ndata: x\n\n");
    httplib::Request request;
    request.method = "GET";
    request.path = "/call/a";
    httplib::Response response;
    const EndpointTimeouts timeouts{Millis(5000), Millis(5000)};
    const ConnectionResult result = exchange(endpoint.address(), timeouts, request, response);
    EXPECT_EQ(result.end, GetParam().isAnswer ? ConnectionEnd::Closed : ConnectionEnd::Cut)
            << result.detail;
    EXPECT_EQ(result.status == 0, !GetParam().isAnswer) << result.status;
}

TEST_P(EndpointResponse, BeginsAStreamOrNot)
{
    OneAnswer endpoint(std::string(GetParam().head) + "\r\ndata: x\n\n");
    int events = 0;
    EngineStreamHandlers handlers;
    handlers.onStreamId = [](const std::string &) {
    };
    handlers.onEvent = [&events](const std::string &) {
        return ++events > 0;
    };
    const EngineClient client(endpoint.address(), Millis(5000), Millis(5000));
    const ConnectionResult result = client.resume("s", 0, handlers);
    EXPECT_EQ(result.end, GetParam().isSuccess ? ConnectionEnd::Closed : ConnectionEnd::Cut)
            << result.detail;
    EXPECT_EQ(events, GetParam().isSuccess ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndpointResponse, testing::ValuesIn(ResponseRows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
