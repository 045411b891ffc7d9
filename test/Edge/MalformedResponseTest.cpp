/// Endpoints that send a malformed response, or reset the connection inside a response while the
/// request is still being written.

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "PartitionedFleet.h"
#include "test/Support/RawEndpoint.h"

using namespace sequoiagate;
using boost::asio::ip::tcp;
using boost::system::error_code;
using soak::RelayCut;

namespace {

struct Path
{
    const char *name;
    int host; ///< that callers ask; the first one can't reach the endpoint and asks the others
};

const Path Paths[] = {{"Direct", 2}, {"Relayed", 1}};

/// A fleet with one endpoint, which answers as the test says.
class RawEndpointFleet : public PartitionedFleet, public testing::WithParamInterface<Path>
{
protected:
    RawEndpointFleet()
        : raw_(ip(205),
               [this](tcp::socket &socket, const std::string &request) { answer(socket, request); })
    {
        for (const char *id : {"e-2", "e-3"}) {
            store_.put("keyed.servers", id, "");
        }
        for (int host = 1; host <= Hosts; ++host) {
            links_.at(host).endpoints["e-1"] =
                    std::make_unique<soak::TcpRelay>(loop_, ip(204), raw_.address());
        }
    }

    void startFleet()
    {
        startAll();
        cut({1}, RelayCut::Reset);
        ASSERT_TRUE(eventually([] { return ask(1, "/once/a", "first", "body").whole == 200; }));
    }

    struct Received
    {
        int whole = 0; ///< status of a response that is complete as the caller sees it; 0: none is
        std::string body;
        httplib::Headers fields;
    };

    static Received ask(int host, const std::string &path, const std::string &id,
                        const std::string &body)
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(30));
        const httplib::Headers headers = {{"Host", "h.example"},
                                          {"Request-Id", id},
                                          {"Authorization", "Token key"},
                                          {"Deadline-Ms", "20000"},
                                          {"Token-Count", "1,0"}};
        const httplib::Result result = client.Post(path, headers, body, "text/plain");
        return result ? Received{result->status, result->body, result->headers} : Received{};
    }

    /// What the endpoint does with requests, except those by which the test awaits the fleet.
    using Reply = std::function<void(tcp::socket &, const std::string &request)>;
    void setReply(Reply reply)
    {
        const std::lock_guard lock(mutex_);
        reply_ = std::move(reply);
    }

private:
    void answer(tcp::socket &socket, const std::string &request)
    {
        Reply reply;
        {
            const std::lock_guard lock(mutex_);
            reply = reply_;
        }
        const std::string id = requestIdLine(request);
        if (reply && id.find("first") == std::string::npos) {
            reply(socket, request);
            return;
        }
        error_code ignored;
        boost::asio::write(
                socket,
                boost::asio::buffer(fmt::format("HTTP/1.1 200 OK\r\n{}\r\nResponse-Stamp: s\r\n"
                                                "Connection: close\r\nContent-Length: 0\r\n\r\n",
                                                id)),
                ignored);
    }

    std::mutex mutex_;
    Reply reply_;
    RawEndpoint raw_;
};

struct AnswerCase
{
    const char *name;
    const char *statusLine;
    const char *fields; ///< after those of a sound response
    int expected;       ///< status at the caller
};

const AnswerCase AnswerCases[] = {
        {"Sound", "HTTP/1.1 200 OK\r\n", "", 200},
        {"StatusZero", "HTTP/1.1 000 Trouble\r\n", "", 502},
        {"StatusBelowAHundred", "HTTP/1.1 099 Trouble\r\n", "", 502},
        {"StatusAboveTheRange", "HTTP/1.1 600 Trouble\r\n", "", 502},
        {"SwitchOfProtocol", "HTTP/1.1 101 Switching Protocols\r\n", "", 502},
        {"AfterAnInterim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "", 200},
        {"BlankInAName", "HTTP/1.1 200 OK\r\n", "Fie ld: 1\r\n", 502},
        {"ControlByteInAName", "HTTP/1.1 200 OK\r\n", "Fie\001ld: 1\r\n", 502},
        {"BlankBeforeTheColon", "HTTP/1.1 200 OK\r\n", "Field : 1\r\n", 502},
        {"BlankBeforeAName", "HTTP/1.1 200 OK\r\n", " Field: 1\r\n", 502},
};

class MalformedResponse : public RawEndpointFleet
{};

// Guards against a malformed response that reaches callers.
TEST_P(MalformedResponse, IsNoAnswer)
{
    startFleet();
    for (const AnswerCase &row : AnswerCases) {
        SCOPED_TRACE(row.name);
        setReply([&row](tcp::socket &socket, const std::string &request) {
            error_code ignored;
            boost::asio::write(socket,
                               boost::asio::buffer(fmt::format(
                                       "{}{}\r\nConnection: close\r\nContent-Length: 4\r\n"
                                       "Response-Stamp: s\r\n{}\r\ngood",
                                       row.statusLine, requestIdLine(request), row.fields)),
                               ignored);
        });
        const Received received =
                ask(GetParam().host, fmt::format("/once/{}", row.name), row.name, "body");
        EXPECT_EQ(received.whole, row.expected) << received.body;
        EXPECT_EQ(received.body == "good", row.expected == 200) << received.body;
        EXPECT_EQ(received.fields.count("Response-Stamp"), row.expected == 200 ? 1U : 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Paths, MalformedResponse, testing::ValuesIn(Paths),
                         [](const auto &row) { return std::string(row.param.name); });

struct ResetCase
{
    bool isExplicit;       ///< else the close resets the connection, since bytes stay unread
    std::size_t bytesRead; ///< of the request's body
    std::chrono::milliseconds delay;
};

const ResetCase ResetCases[] = {
        {true, 0, std::chrono::milliseconds(0)},
        {true, 0, std::chrono::milliseconds(50)},
        {true, 0, std::chrono::milliseconds(200)},
        {true, 100'000, std::chrono::milliseconds(0)},
        {true, 100'000, std::chrono::milliseconds(50)},
        {true, 100'000, std::chrono::milliseconds(200)},
        {false, 0, std::chrono::milliseconds(0)},
        {false, 0, std::chrono::milliseconds(50)},
        {false, 0, std::chrono::milliseconds(200)},
        {false, 100'000, std::chrono::milliseconds(0)},
        {false, 100'000, std::chrono::milliseconds(50)},
        {false, 100'000, std::chrono::milliseconds(200)},
};

class ResetDuringUpload : public RawEndpointFleet
{};

// Guards against a part of a response that looks whole since its connection was reset while the
// request was being written.
TEST_P(ResetDuringUpload, IsNoEndOfAResponse)
{
    constexpr std::size_t UploadBytes = 3'500'000;
    constexpr int Repeats = 4;
    startFleet();
    const std::string upload(UploadBytes, 'x');
    int index = 0;
    for (const ResetCase &row : ResetCases) {
        setReply([&row](tcp::socket &socket, const std::string &request) {
            error_code ignored;
            std::string read(row.bytesRead, ' ');
            boost::asio::read(socket, boost::asio::buffer(read), ignored);
            boost::asio::write(socket,
                               boost::asio::buffer(fmt::format(
                                       "HTTP/1.1 200 OK\r\n{}\r\nResponse-Stamp: s\r\n\r\n{}",
                                       requestIdLine(request), std::string(220, 'p'))),
                               ignored);
            std::this_thread::sleep_for(row.delay);
            socket.set_option(boost::asio::socket_base::linger(row.isExplicit, 0), ignored);
            socket.close(ignored);
        });
        for (int repeat = 0; repeat < Repeats; ++repeat) {
            SCOPED_TRACE(fmt::format("reset {}, {} bytes read, {} ms", row.isExplicit,
                                     row.bytesRead, row.delay.count()));
            const std::string name = fmt::format("r{}", ++index);
            const Received received = ask(GetParam().host, "/once/" + name, name, upload);
            EXPECT_NE(received.whole, 200) << received.body.size();
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Paths, ResetDuringUpload, testing::ValuesIn(Paths),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
