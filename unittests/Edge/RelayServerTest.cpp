/// What a host relays for others, and how its tunnels end.

#include <array>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "lib/Edge/RelayServer.h"

using namespace sequoiagate;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint loopback()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

class RelayServerTest : public testing::Test
{
protected:
    static constexpr uint64_t Started = 7; ///< the endpoint's process

    RelayServerTest()
        : file_(std::tmpfile()),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("i")}, file_),
          endpoint_(io_, loopback()), relayAddress_(freeAddress()), peer_(io_), accepted_(io_)
    {
        server_ = std::make_unique<RelayServer>(
                io_, relayAddress_, log_, metrics_,
                RelayServer::Handlers{[this](const Incarnation &process) {
                                          return mayRelay_ && process == Incarnation("listed");
                                      },
                                      [this](const EndpointId &id) {
                                          return id == EndpointId("e") ? std::optional(
                                                         RelayTarget{endpoint_.local_endpoint(),
                                                                     Started, takesRequests_})
                                                                       : std::nullopt;
                                      },
                                      [this](const EndpointId &, bool connected) {
                                          ++(connected ? connected_ : failed_);
                                      },
                                      [this](const NoticeSource &source, const ResponseHead &head) {
                                          responses_.emplace_back(source, head);
                                      },
                                      [this](const EndpointId &) {
                                          return isLeaving_;
                                      }});
    }
    ~RelayServerTest() override
    {
        server_->closeAll();
        server_->stopAccepting();
        io_.restart();
        io_.poll();
        std::fclose(file_);
    }

    tcp::endpoint freeAddress() { return tcp::acceptor(io_, loopback()).local_endpoint(); }

    bool waitUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 400 && !condition(); ++i) {
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(25));
        }
        return condition();
    }

    /// Sends a handshake. \returns the status of the response
    int handshake(const std::string &process, const std::string &endpoint,
                  Millis timeout = Millis(5000), bool acceptsFraming = false)
    {
        peer_.connect(relayAddress_);
        boost::asio::write(peer_, boost::asio::buffer(encodeRelayRequest(
                                          {EndpointId(endpoint), Incarnation(process), timeout,
                                           acceptsFraming})));
        endpoint_.async_accept([this](const error_code &error, tcp::socket socket) {
            if (!error) {
                accepted_ = std::move(socket);
            }
        });
        EXPECT_TRUE(waitUntil([this] { return peer_.available() > 0; }));
        std::array<char, 512> buffer{};
        const std::size_t bytes = peer_.read_some(boost::asio::buffer(buffer));
        return std::stoi(std::string(buffer.data(), bytes).substr(9, 3));
    }

    std::string received(tcp::socket &socket)
    {
        EXPECT_TRUE(waitUntil([&socket] { return socket.available() > 0; }));
        std::array<char, 512> buffer{};
        return {buffer.data(), socket.read_some(boost::asio::buffer(buffer))};
    }

    /// How \p socket ends: eof or a reset.
    error_code endOf(tcp::socket &socket)
    {
        error_code result;
        bool ended = false;
        char next = 0;
        socket.async_read_some(boost::asio::buffer(&next, 1),
                               [&](const error_code &error, std::size_t) {
                                   result = error;
                                   ended = true;
                               });
        EXPECT_TRUE(waitUntil([&ended] { return ended; }));
        return result;
    }

    boost::asio::io_context io_;
    std::FILE *file_;
    EventLog log_;
    Metrics metrics_;
    tcp::acceptor endpoint_;
    tcp::endpoint relayAddress_;
    std::unique_ptr<RelayServer> server_;
    tcp::socket peer_;
    tcp::socket accepted_; ///< the endpoint's side of the tunnel
    std::vector<std::pair<NoticeSource, ResponseHead>> responses_;
    bool mayRelay_ = true;
    bool takesRequests_ = true; ///< the endpoint
    bool isLeaving_ = false;
    int connected_ = 0;
    int failed_ = 0;
};

TEST_F(RelayServerTest, CarriesBytesInBothDirections)
{
    EXPECT_EQ(handshake("listed", "e"), RelayEstablished);
    EXPECT_EQ(connected_, 1);
    EXPECT_EQ(server_->open(), 1U);
    boost::asio::write(peer_, boost::asio::buffer("request", 7));
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    EXPECT_EQ(received(accepted_), "request");
    boost::asio::write(accepted_, boost::asio::buffer("answer", 6));
    EXPECT_EQ(received(peer_), "answer");
    accepted_.close();
    EXPECT_EQ(endOf(peer_), boost::asio::error::eof);
    EXPECT_EQ(server_->open(), 0U);
}

// Guards against a relay that anybody can use, that reaches other addresses than endpoints', or
// that takes work while it stops or is partitioned itself.
TEST_F(RelayServerTest, RefusesProcessesThatAreNotListed)
{
    EXPECT_EQ(handshake("stranger", "e"), RelayRefused);
    EXPECT_EQ(connected_ + failed_, 0);
}

TEST_F(RelayServerTest, RefusesEndpointsThatAreNotListed)
{
    EXPECT_EQ(handshake("listed", "127.0.0.1:80"), RelayRefused);
}

TEST_F(RelayServerTest, RefusesWhileItMustNotRelay)
{
    mayRelay_ = false;
    EXPECT_EQ(handshake("listed", "e"), RelayRefused);
}

// Guards against relaying to an endpoint that wants nothing from this host, and against being
// avoided for it as a relay to the others.
TEST_F(RelayServerTest, SendsNothingToAnEndpointThatTakesNoRequests)
{
    takesRequests_ = false;
    EXPECT_EQ(handshake("listed", "e"), RelayUnreachableEndpoint);
    EXPECT_EQ(connected_ + failed_, 0);
}

TEST_F(RelayServerTest, ReportsAnEndpointThatCannotBeReached)
{
    const tcp::endpoint gone = endpoint_.local_endpoint();
    endpoint_.close();
    endpoint_ = tcp::acceptor(io_);
    endpoint_.open(tcp::v4());
    endpoint_.bind(gone); // no listener: refused
    EXPECT_EQ(handshake("listed", "e"), RelayUnreachableEndpoint);
    EXPECT_EQ(failed_, 1);
}

// Guards against a relay that passes on what an endpoint says and goes on sending to it itself.
TEST_F(RelayServerTest, ReportsTheHeadOfTheResponse)
{
    EXPECT_EQ(handshake("listed", "e"), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    for (const std::string_view part : {"HTTP/1.1 503 Full\r\nServer-Lea", "ving: 1\r\n",
                                        "Content-Length: 4\r\n\r\nfull", "more"}) {
        boost::asio::write(accepted_, boost::asio::buffer(part));
        EXPECT_EQ(received(peer_), part);
    }
    ASSERT_EQ(responses_.size(), 1U);
    const auto &[source, head] = responses_.front();
    EXPECT_EQ(source.endpoint, EndpointId("e"));
    EXPECT_EQ(source.startedAtMillis, Started);
    EXPECT_EQ(head.status, 503);
    EXPECT_NE(findField(head.fields, "Server-Leaving"), nullptr);
}

TEST_F(RelayServerTest, CarriesBytesThatAreNoResponse)
{
    EXPECT_EQ(handshake("listed", "e"), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    boost::asio::write(accepted_, boost::asio::buffer("no response\r\n\r\n", 15));
    EXPECT_EQ(received(peer_), "no response\r\n\r\n");
    EXPECT_TRUE(responses_.empty());
}

struct NoNoticeRow
{
    const char *name;
    const char *head;
};

class MalformedHead : public RelayServerTest, public testing::WithParamInterface<NoNoticeRow>
{};

const NoNoticeRow NoNoticeRows[] = {
        {"StatusZero", "HTTP/1.1 000 Trouble\r\nServer-Leaving: 1\r\n\r\n"},
        {"SwitchOfProtocol", "HTTP/1.1 101 Switching Protocols\r\nServer-Leaving: 1\r\n\r\n"},
        {"Interim", "HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n"},
        {"BlankInAName", "HTTP/1.1 503 Full\r\nServer-Leaving: 1\r\nFie ld: 1\r\n\r\n"},
        {"BlankBeforeAName", "HTTP/1.1 503 Full\r\nField: 1\r\n Server-Leaving: 1\r\n\r\n"},
};

// Guards against an endpoint that is left out for what a malformed or interim response says.
TEST_P(MalformedHead, SaysNothingOfTheEndpoint)
{
    EXPECT_EQ(handshake("listed", "e"), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    boost::asio::write(accepted_, boost::asio::buffer(std::string_view(GetParam().head)));
    EXPECT_EQ(received(peer_), GetParam().head);
    EXPECT_TRUE(responses_.empty());
}

INSTANTIATE_TEST_SUITE_P(Rows, MalformedHead, testing::ValuesIn(NoNoticeRows),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against a response that was cut off and looks complete to the host that asked.
TEST_F(RelayServerTest, PassesAResetOn)
{
    EXPECT_EQ(handshake("listed", "e"), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    accepted_.set_option(boost::asio::socket_base::linger(true, 0));
    accepted_.close();
    EXPECT_EQ(endOf(peer_), boost::asio::error::connection_reset);
}

// Guards against work that goes on after the host that asked has cancelled it.
TEST_F(RelayServerTest, ClosesTheEndpointsConnectionWithTheHosts)
{
    EXPECT_EQ(handshake("listed", "e"), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    peer_.close();
    EXPECT_TRUE(endOf(accepted_));
    EXPECT_EQ(server_->open(), 0U);
}

// Guards against passing on a request that its host has given up already.
TEST_F(RelayServerTest, DropsARequestThatWasCancelled)
{
    EXPECT_EQ(handshake("listed", "e"), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    boost::asio::write(peer_, boost::asio::buffer("request", 7));
    peer_.close();
    std::array<char, 16> buffer{};
    std::size_t received = 0;
    error_code end;
    accepted_.async_read_some(boost::asio::buffer(buffer),
                              [&](const error_code &error, std::size_t bytes) {
                                  received += bytes;
                                  end = error;
                              });
    EXPECT_TRUE(waitUntil([&] { return end || received > 0; }));
    EXPECT_EQ(received, 0U);
    EXPECT_EQ(server_->open(), 0U);
}

// Guards against delivering the rest of a request that its host has given up, once its endpoint
// reads again.
TEST_F(RelayServerTest, ClosesAtOnceWithItsHostWhileTheEndpointDoesNotRead)
{
    constexpr Millis Timeout = std::chrono::minutes(1);
    EXPECT_EQ(handshake("listed", "e", Timeout), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    const std::string bytes(64 * 1024, 'x');
    peer_.non_blocking(true);
    // Until the relay waits for the endpoint, and the host's own socket is full.
    for (int pauses = 0; pauses < 10;) {
        error_code error;
        peer_.write_some(boost::asio::buffer(bytes), error);
        pauses = error ? pauses + 1 : 0;
        io_.restart();
        io_.run_for(std::chrono::milliseconds(error ? 10 : 0));
    }
    peer_.set_option(boost::asio::socket_base::linger(true, 0));
    peer_.close();
    EXPECT_TRUE(waitUntil([this] { return server_->open() == 0; }));
}

struct TunnelEndRow
{
    const char *name;
    bool acceptsFraming;
    /// What ends the tunnel. \p endpoint is its side of the connection.
    void (*end)(RelayServer &server, tcp::socket &endpoint);
    const char *received; ///< by the host, behind the response
    error_code expected;  ///< how its connection ends
};

void closeInOrder(RelayServer &, tcp::socket &endpoint)
{
    endpoint.close();
}

void reset(RelayServer &, tcp::socket &endpoint)
{
    endpoint.set_option(boost::asio::socket_base::linger(true, 0));
    endpoint.close();
}

void stopRelay(RelayServer &server, tcp::socket &)
{
    server.closeAll();
}

void letDeadlinePass(RelayServer &, tcp::socket &) {}

const TunnelEndRow TunnelEndRows[] = {
        {"EndpointCloses", true, closeInOrder, "0\r\n\r\n", boost::asio::error::eof},
        {"EndpointResets", true, reset, "", boost::asio::error::connection_reset},
        {"RelayStops", true, stopRelay, "", boost::asio::error::connection_reset},
        {"DeadlinePasses", true, letDeadlinePass, "", boost::asio::error::connection_reset},
        {"EndpointClosesForAnEarlierRelease", false, closeInOrder, "", boost::asio::error::eof},
        {"RelayStopsForAnEarlierRelease", false, stopRelay, "",
         boost::asio::error::connection_reset},
        {"DeadlinePassesForAnEarlierRelease", false, letDeadlinePass, "",
         boost::asio::error::connection_reset},
};

class TunnelEnd : public RelayServerTest, public testing::WithParamInterface<TunnelEndRow>
{};

// Guards against a tunnel that ends like a response although its endpoint goes on.
TEST_P(TunnelEnd, IsInOrderOnlyWithTheEndpoints)
{
    const TunnelEndRow &row = GetParam();
    ASSERT_EQ(handshake("listed", "e", Millis(200), row.acceptsFraming), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    boost::asio::write(accepted_, boost::asio::buffer("answer", 6));
    EXPECT_EQ(received(peer_), row.acceptsFraming ? "6\r\nanswer\r\n" : "answer");
    row.end(*server_, accepted_);
    if (*row.received != '\0') {
        EXPECT_EQ(received(peer_), row.received);
    }
    EXPECT_EQ(endOf(peer_), row.expected);
    EXPECT_EQ(server_->open(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Rows, TunnelEnd, testing::ValuesIn(TunnelEndRows),
                         [](const auto &row) { return std::string(row.param.name); });

struct ProcessEndRow
{
    const char *name;
    bool isLeaving;
    const char *head;
    error_code expected; ///< how the host's connection ends
};

class RelayedProcessEnd : public RelayServerTest, public testing::WithParamInterface<ProcessEndRow>
{};

const ProcessEndRow ProcessEndRows[] = {
        {"Unframed", false, "HTTP/1.1 200 OK\r\n\r\nhal", boost::asio::error::connection_reset},
        {"UnframedAfterAnInterim", false, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhal",
         boost::asio::error::connection_reset},
        {"UnframedOfOneThatLeaves", true, "HTTP/1.1 200 OK\r\n\r\nhal", boost::asio::error::eof},
        {"WithALength", false, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhal",
         boost::asio::error::eof},
};

// Guards against the end of an endpoint's process that looks like the end of its response.
TEST_P(RelayedProcessEnd, IsNoEndOfAResponse)
{
    isLeaving_ = GetParam().isLeaving;
    ASSERT_EQ(handshake("listed", "e"), RelayEstablished);
    ASSERT_TRUE(waitUntil([this] { return accepted_.is_open(); }));
    boost::asio::write(accepted_, boost::asio::buffer(std::string_view(GetParam().head)));
    EXPECT_EQ(received(peer_), GetParam().head);
    endpoint_.close();
    accepted_.close();
    EXPECT_EQ(endOf(peer_), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, RelayedProcessEnd, testing::ValuesIn(ProcessEndRows),
                         [](const auto &row) { return std::string(row.param.name); });

struct EndlessHandshake
{
    const char *name;
    std::string begin;
};

class EndlessHandshakes : public RelayServerTest,
                          public testing::WithParamInterface<EndlessHandshake>
{};

const EndlessHandshake HandshakeCases[] = {
        {"Head", "POST /relay/v1/e HTTP/1.1\r\nA: "},
        {"Body", "POST /relay/v1/e HTTP/1.1\r\nContent-Length: 999999\r\n\r\n"},
        {"Chunk", "POST /relay/v1/e HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n"},
        {"ChunkExtension", "POST /relay/v1/e HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;"},
};

// Guards against a handshake that is read without end, or until its time is over.
TEST_P(EndlessHandshakes, AreClosedAtOnce)
{
    peer_.connect(relayAddress_);
    boost::asio::write(peer_, boost::asio::buffer(GetParam().begin + std::string(64 * 1024, 'x')));
    EXPECT_TRUE(endOf(peer_));
    std::rewind(file_);
    std::array<char, 1024> line{};
    bool isLogged = false;
    while (std::fgets(line.data(), static_cast<int>(line.size()), file_) != nullptr) {
        isLogged =
                isLogged
                || std::string_view(line.data()).find("relay.malformed") != std::string_view::npos;
    }
    EXPECT_TRUE(isLogged);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndlessHandshakes, testing::ValuesIn(HandshakeCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
