#include "RelayServer.h"

#include <netinet/tcp.h>

#include <array>

#include <boost/asio/write.hpp>

#include "sequoiagate/Proxy/ConnectProbe.h"
#include "sequoiagate/Proxy/HttpReader.h"
#include "sequoiagate/Proxy/SocketState.h"
#include "sequoiagate/Service/DeadlineTimer.h"

namespace sequoiagate {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Interval HandshakeTimeout = std::chrono::seconds(1);
constexpr Interval ConnectTimeout = std::chrono::milliseconds(400);

/// How often a host is looked at whose bytes the endpoint doesn't take: it isn't read meanwhile.
constexpr Interval CloseCheckInterval = std::chrono::milliseconds(100);

/// After a request's deadline its host has closed the connection, unless it can't any more.
constexpr Interval DeadlineMargin = std::chrono::seconds(1);

struct RelayEndName
{
    RelayEnd end;
    const char *name;
};

constexpr RelayEndName RelayEndNames[] = {{RelayEnd::NotEstablished, "not_established"},
                                          {RelayEnd::EndpointClosed, "endpoint_closed"},
                                          {RelayEnd::EndpointFailed, "endpoint_failed"},
                                          {RelayEnd::HostClosed, "host_closed"},
                                          {RelayEnd::DeadlinePassed, "deadline_passed"},
                                          {RelayEnd::ProcessStopping, "process_stopping"}};

const char *nameOf(RelayEnd end)
{
    for (const RelayEndName &row : RelayEndNames) {
        if (row.end == end) {
            return row.name;
        }
    }
    return "";
}

} // namespace

class RelayTunnel : public std::enable_shared_from_this<RelayTunnel>
{
public:
    RelayTunnel(RelayServer &server, tcp::socket peer)
        : server_(server), peer_(std::move(peer)), endpoint_(server.io_), timer_(server.io_),
          closeCheck_(server.io_)
    {}

    void start()
    {
        error_code ignored;
        peer_.set_option(tcp::no_delay(true), ignored);
        peer_.non_blocking(true, ignored);
        reader_.emplace(RelayHandshakeLimits);
        closeAt(std::chrono::steady_clock::now() + HandshakeTimeout, RelayEnd::NotEstablished);
        readHandshake();
    }

    void close(RelayEnd end)
    {
        if (isClosed_) {
            return;
        }
        isClosed_ = true;
        if (end != RelayEnd::NotEstablished) {
            server_.log_.write(Event("relay.ended")
                                       .with("why", nameOf(end))
                                       .with("endpoint", request_->endpoint)
                                       .with("for", request_->process)
                                       .with("bytes_back", bytesBack_));
            server_.metrics_.count("relay_tunnels_ended_total", {{"why", nameOf(end)}});
        }
        timer_.disarm();
        closeCheck_.disarm();
        error_code ignored;
        // A response may end with its connection. One that was cut off must not look complete to
        // a host that doesn't accept framing.
        if (end != RelayEnd::NotEstablished && end != RelayEnd::EndpointClosed) {
            peer_.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        peer_.close(ignored);
        dropUnsentOnClose(endpoint_);
        endpoint_.close(ignored);
        server_.onClosed(shared_from_this());
    }

    bool isCarrying() const { return isCarrying_; }

private:
    /// One direction of an established tunnel.
    struct Direction
    {
        tcp::socket &from;
        tcp::socket &to;
        RelayEnd onReadError;
        RelayEnd onWriteError;
        std::array<char, 16 * 1024> buffer{};
        std::string chunk{};          ///< of the buffer, if the direction is framed
        std::string_view unwritten{}; ///< part of the buffer or of the chunk
    };

    void closeAt(Instant deadline, RelayEnd end)
    {
        timer_.arm(deadline, [self = shared_from_this(), end] { self->close(end); });
    }

    void readHandshake()
    {
        peer_.async_read_some(
                asio::buffer(forth_.buffer),
                [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                    if (self->isClosed_) {
                        return;
                    }
                    if (error) {
                        self->close(RelayEnd::NotEstablished);
                        return;
                    }
                    self->reader_->feed(std::string_view(self->forth_.buffer.data(), bytes));
                    if (self->reader_->fault() != HttpParseError::None) {
                        self->server_.log_.write(
                                Event("relay.malformed")
                                        .with("why", describeParseError(self->reader_->fault())));
                        self->close(RelayEnd::NotEstablished);
                    } else if (self->reader_->done()) {
                        self->connect();
                    } else {
                        self->readHandshake();
                    }
                });
    }

    void connect()
    {
        request_ = decodeRelayRequest(reader_->head());
        const bool mayRelay = request_ && server_.handlers_.mayRelayFor(request_->process)
                              && server_.open() <= RelayServer::MaxTunnels;
        std::optional<RelayTarget> target;
        if (mayRelay) {
            target = server_.handlers_.resolve(request_->endpoint);
        }
        if (!target) {
            respond(RelayRefused);
            return;
        }
        if (!target->takesRequests) {
            // Unlike a refusal, this lets the other host choose another endpoint.
            respond(RelayUnreachableEndpoint);
            return;
        }
        source_.endpoint = request_->endpoint;
        source_.startedAtMillis = target->startedAtMillis;
        address_ = target->address;
        source_.sentAt = std::chrono::steady_clock::now();
        timer_.arm(std::chrono::steady_clock::now() + ConnectTimeout,
                   [self = shared_from_this()] { self->onConnected(asio::error::timed_out); });
        endpoint_.async_connect(target->address,
                                [self = shared_from_this()](const error_code &error) {
                                    if (!self->isClosed_ && !self->isDecided_) {
                                        self->onConnected(error);
                                    }
                                });
    }

    void onConnected(const error_code &error)
    {
        isDecided_ = true;
        server_.handlers_.onConnectResult(request_->endpoint, !error);
        if (error) {
            respond(RelayUnreachableEndpoint);
            return;
        }
        error_code ignored;
        endpoint_.set_option(tcp::no_delay(true), ignored);
        endpoint_.non_blocking(true, ignored);
        respond(RelayEstablished);
    }

    void respond(int status)
    {
        server_.metrics_.count("relay_requests_total", {{"status", std::to_string(status)}});
        server_.log_.write(Event("relay.request")
                                   .with("status", status)
                                   .with("endpoint", request_ ? request_->endpoint : EndpointId())
                                   .with("for", request_ ? request_->process : Incarnation())
                                   .with("open", server_.open()));
        ResponseHead head;
        head.status = status;
        const bool isFramed = status == RelayEstablished && request_->acceptsFraming;
        response_ =
                writeResponseHead(head, isFramed ? BodyFraming::Chunked : BodyFraming::Length, 0);
        asio::async_write(
                peer_, asio::buffer(response_),
                [self = shared_from_this(), status](const error_code &error, std::size_t) {
                    if (self->isClosed_) {
                        return;
                    }
                    if (error || status != RelayEstablished) {
                        self->close(RelayEnd::NotEstablished);
                        return;
                    }
                    self->carry();
                });
    }

    void carry()
    {
        isCarrying_ = true;
        closeAt(std::chrono::steady_clock::now() + request_->timeout + DeadlineMargin,
                RelayEnd::DeadlinePassed);
        pump(forth_);
        pump(back_);
    }

    void pump(Direction &direction)
    {
        direction.from.async_read_some(asio::buffer(direction.buffer),
                                       [self = shared_from_this(),
                                        &direction](const error_code &error, std::size_t bytes) {
                                           if (self->isClosed_) {
                                               return;
                                           }
                                           if (error) {
                                               self->onReadError(direction, error);
                                               return;
                                           }
                                           const bool isForth = &direction == &self->forth_;
                                           if (isForth && self->endIfHostClosed()) {
                                               return;
                                           }
                                           if (!isForth) {
                                               self->bytesBack_ += bytes;
                                               self->readResponseHead(bytes);
                                           }
                                           self->write(direction, bytes);
                                       });
    }

    /// The endpoint's connection is this host's, so what it says about new requests holds for this
    /// host as well.
    void readResponseHead(std::size_t bytes)
    {
        if (!responseHead_) {
            return;
        }
        responseHead_->feed(std::string_view(back_.buffer.data(), bytes));
        if (responseHead_->hasHead()) {
            endsWithConnection_ = responseHead_->endsWithConnection();
            server_.handlers_.onResponse(source_, responseHead_->head());
        }
        if (responseHead_->hasHead() || responseHead_->fault() != HttpParseError::None) {
            responseHead_.reset();
        }
    }

    bool isFramed(const Direction &direction) const
    {
        return &direction == &back_ && request_->acceptsFraming;
    }

    void write(Direction &direction, std::size_t bytes)
    {
        direction.unwritten = std::string_view(direction.buffer.data(), bytes);
        if (isFramed(direction)) {
            direction.chunk = writeChunk(direction.unwritten);
            direction.unwritten = direction.chunk;
        }
        writeMore(direction);
    }

    void writeMore(Direction &direction)
    {
        error_code error;
        while (!direction.unwritten.empty() && !error) {
            direction.unwritten.remove_prefix(
                    direction.to.write_some(asio::buffer(direction.unwritten), error));
        }
        if (error == asio::error::would_block) {
            awaitWritable(direction);
        } else if (error) {
            close(direction.onWriteError);
        } else if (hasEndpointClosed_ && &direction == &back_) {
            close(RelayEnd::EndpointClosed);
        } else {
            pump(direction);
        }
    }

    void awaitWritable(Direction &direction)
    {
        direction.to.async_wait(tcp::socket::wait_write, [self = shared_from_this(),
                                                          &direction](const error_code &error) {
            if (self->isClosed_) {
                return;
            }
            if (error) {
                self->close(direction.onWriteError);
            } else if (&direction == &self->back_ || !self->endIfHostClosed()) {
                self->writeMore(direction);
            }
        });
        if (&direction == &forth_) {
            checkHostLater();
        }
    }

    void checkHostLater()
    {
        closeCheck_.arm(std::chrono::steady_clock::now() + CloseCheckInterval,
                        [self = shared_from_this()] {
                            if (!self->forth_.unwritten.empty() && !self->endIfHostClosed()) {
                                self->checkHostLater();
                            }
                        });
    }

    bool endIfHostClosed()
    {
        const bool isClosed = static_cast<bool>(peekCloseError(peer_));
        if (isClosed) {
            close(RelayEnd::HostClosed);
        }
        return isClosed;
    }

    void onReadError(const Direction &direction, const error_code &error)
    {
        if (error != asio::error::eof || &direction != &back_) {
            close(direction.onReadError);
            return;
        }
        if (!endsWithConnection_ || server_.handlers_.isLeaving(request_->endpoint)) {
            onEndpointClosed();
            return;
        }
        // The kernel closes the connections of a process that dies in order as well, and from then
        // on refuses new ones.
        probeConnection(endpoint_.get_executor(), address_,
                        std::chrono::steady_clock::now() + ConnectTimeout,
                        [self = shared_from_this()](ProbeOutcome outcome) {
                            if (self->isClosed_) {
                                return;
                            }
                            if (outcome == ProbeOutcome::Refused) {
                                self->close(RelayEnd::EndpointFailed);
                            } else {
                                self->onEndpointClosed();
                            }
                        });
    }

    void onEndpointClosed()
    {
        hasEndpointClosed_ = true;
        back_.unwritten = isFramed(back_) ? LastChunk : std::string_view();
        writeMore(back_);
    }

    RelayServer &server_;
    tcp::socket peer_;
    tcp::socket endpoint_;
    DeadlineTimer timer_;
    DeadlineTimer closeCheck_;
    std::optional<RequestReader> reader_;
    std::optional<RelayRequest> request_;
    std::string response_;
    NoticeSource source_;
    std::optional<ResponseReader> responseHead_{HttpReaderLimits()}; ///< until it is read
    Direction forth_{peer_, endpoint_, RelayEnd::HostClosed, RelayEnd::EndpointFailed};
    Direction back_{endpoint_, peer_, RelayEnd::EndpointFailed, RelayEnd::HostClosed};
    std::size_t bytesBack_ = 0;       ///< received from the endpoint
    bool isDecided_ = false;          ///< whether the endpoint can be connected to
    bool isCarrying_ = false;         ///< the tunnel is established
    tcp::endpoint address_;           ///< of the endpoint
    bool endsWithConnection_ = false; ///< the response has no length
    bool hasEndpointClosed_ = false;
    bool isClosed_ = false;
};

RelayServer::RelayServer(asio::io_context &io, const tcp::endpoint &listen, EventLog &log,
                         Metrics &metrics, Handlers handlers)
    : io_(io), acceptor_(io, listen), acceptRetry_(io), log_(log), metrics_(metrics),
      handlers_(std::move(handlers))
{
    accept();
}

RelayServer::~RelayServer() = default;

void RelayServer::accept()
{
    acceptor_.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (error) {
            acceptRetry_.arm([this] { accept(); });
            return;
        }
        const auto tunnel = std::make_shared<RelayTunnel>(*this, std::move(socket));
        tunnels_.insert(tunnel);
        tunnel->start();
        accept();
    });
}

void RelayServer::stopAccepting()
{
    error_code ignored;
    acceptor_.close(ignored);
}

void RelayServer::closeAll()
{
    const std::set<std::shared_ptr<RelayTunnel>> tunnels = tunnels_;
    for (const std::shared_ptr<RelayTunnel> &tunnel : tunnels) {
        tunnel->close(tunnel->isCarrying() ? RelayEnd::ProcessStopping : RelayEnd::NotEstablished);
    }
}

void RelayServer::onClosed(const std::shared_ptr<RelayTunnel> &tunnel)
{
    tunnels_.erase(tunnel);
}

} // namespace sequoiagate
