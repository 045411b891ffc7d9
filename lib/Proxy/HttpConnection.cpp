#include "sequoiagate/Proxy/HttpConnection.h"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

#include "sequoiagate/Proxy/ConnectProbe.h"
#include "sequoiagate/Proxy/RelayHandshake.h"
#include "sequoiagate/Proxy/SocketState.h"

namespace sequoiagate {

namespace asio = boost::asio;
using asio::ip::tcp;

HttpConnection::HttpConnection(asio::io_context &io, tcp::endpoint address,
                               HttpConnectionSettings settings, std::optional<RelayPath> path)
    : address_(std::move(address)), settings_(settings), path_(std::move(path)), socket_(io),
      connectTimer_(io)
{}

void HttpConnection::call(std::string request, HttpCallObserver &observer)
{
    request_ = std::move(request);
    observer_ = &observer;
    headDelivered_ = false;
    reusableUntil_ = Never;
    reader_.emplace(settings_.limits);
    if (connected_) {
        write();
        return;
    }
    connect();
}

void HttpConnection::connect()
{
    ErrorCode error;
    socket_.open(tcp::v4(), error);
    if (error) {
        // Mostly out of file descriptors. Posted, since the end of a call is always reported
        // asynchronously.
        asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
            self->failCall(self->connectFailure(), error.message());
        });
        return;
    }
    socket_.set_option(tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
    applyUnacknowledgedTimeout();
    armConnectTimer(path_ ? settings_.relayConnectTimeout : settings_.connectTimeout);
    socket_.async_connect(path_ ? path_->relay : address_,
                          [self = shared_from_this()](const ErrorCode &connected) {
                              self->onConnected(connected);
                          });
}

void HttpConnection::armConnectTimer(Interval limit)
{
    connectTimer_.expires_after(limit);
    connectTimer_.async_wait([self = shared_from_this()](const ErrorCode &waited) {
        if (!waited && !self->connected_) {
            self->failCall(self->connectFailure(), "no connection in time");
        }
    });
}

void HttpConnection::onConnected(const ErrorCode &error)
{
    if (closed_) {
        return;
    }
    if (error) {
        failCall(connectFailure(), error.message());
        return;
    }
    if (path_) {
        armConnectTimer(settings_.handshakeTimeout);
        sendHandshake();
        return;
    }
    onEstablished();
}

void HttpConnection::setUnacknowledgedTimeout(std::chrono::milliseconds timeout)
{
    settings_.unacknowledgedTimeout = timeout;
    if (socket_.is_open()) {
        applyUnacknowledgedTimeout();
    }
}

void HttpConnection::applyUnacknowledgedTimeout()
{
    const auto timeout = static_cast<unsigned>(settings_.unacknowledgedTimeout.count());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

CallFailure HttpConnection::connectFailure() const
{
    return path_ ? CallFailure::RelayUnreachable : CallFailure::NotConnected;
}

void HttpConnection::onEstablished()
{
    connectTimer_.cancel();
    if (observer_ != nullptr) {
        observer_->onConnected();
    }
    if (closed_) {
        return;
    }
    connected_ = true;
    write();
    read();
}

void HttpConnection::sendHandshake()
{
    asio::async_write(socket_, asio::buffer(path_->handshake),
                      [self = shared_from_this()](const ErrorCode &error, std::size_t) {
                          if (!self->closed_ && !error) {
                              self->relayReader_.emplace(RelayResponseLimits);
                              self->readHandshake();
                          } else if (error) {
                              self->failCall(CallFailure::RelayUnreachable, error.message());
                          }
                      });
}

void HttpConnection::readHandshake()
{
    socket_.async_read_some(
            asio::buffer(readBuffer_),
            [self = shared_from_this()](const ErrorCode &error, std::size_t bytes) {
                if (self->closed_) {
                    return;
                }
                if (error) {
                    self->failCall(CallFailure::RelayUnreachable, error.message());
                    return;
                }
                self->relayReader_->feed(std::string_view(self->readBuffer_.data(), bytes));
                if (self->relayReader_->hasHead()) {
                    self->onHandshakeDone();
                } else if (self->relayReader_->fault() != HttpParseError::None) {
                    self->failCall(CallFailure::RelayUnreachable,
                                   std::string("not a relay: ")
                                           + describeParseError(self->relayReader_->fault()));
                } else {
                    self->readHandshake();
                }
            });
}

void HttpConnection::onHandshakeDone()
{
    const int status = relayReader_->head().status;
    if (status != RelayEstablished) {
        const bool isEndpoint = status == RelayUnreachableEndpoint;
        failCall(isEndpoint ? CallFailure::NotConnected : CallFailure::RelayRefused,
                 "the relay answered " + std::to_string(status));
        return;
    }
    isFramed_ = isRelayFramed(relayReader_->head());
    if (!isFramed_ && !relayReader_->done()) {
        failCall(CallFailure::RelayUnreachable, "not a relay: its response has a body");
        return;
    }
    onEstablished();
}

void HttpConnection::write()
{
    unwritten_ = request_;
    writeMore();
}

void HttpConnection::writeMore()
{
    ErrorCode error;
    while (!unwritten_.empty() && !error) {
        unwritten_.remove_prefix(socket_.write_some(asio::buffer(unwritten_), error));
    }
    writing_ = error == asio::error::would_block;
    if (writing_) {
        awaitWritable();
    }
    // After another error the response can still be read: a server may respond and close before it
    // has read the whole body.
    hasWriteFailed_ = error && !writing_;
}

void HttpConnection::awaitWritable()
{
    // An asynchronous write would send the rest before the observer can cancel the call.
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](const ErrorCode &error) {
                           if (self->closed_ || error) {
                               return;
                           }
                           if (self->observer_ != nullptr) {
                               self->observer_->onWritable();
                           }
                           if (!self->closed_) {
                               self->writeMore();
                           }
                       });
}

void HttpConnection::resumeReading()
{
    readingPaused_ = false;
    if (connected_ && !closed_) {
        read();
    }
}

void HttpConnection::read()
{
    if (reading_ || readingPaused_ || closed_) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(asio::buffer(readBuffer_),
                            [self = shared_from_this()](const ErrorCode &error, std::size_t bytes) {
                                self->reading_ = false;
                                self->onRead(error, bytes);
                            });
}

void HttpConnection::onRead(const ErrorCode &error, std::size_t bytes)
{
    if (closed_) {
        return;
    }
    if (error) {
        onEndOfStream(error);
        return;
    }
    if (observer_ == nullptr) {
        // Unsolicited bytes: a second or late response.
        close();
        if (onIdleLost) {
            onIdleLost(*this);
        }
        return;
    }
    const std::string_view received(readBuffer_.data(), bytes);
    if (isFramed_) {
        deliverFramed(received);
    } else {
        deliver(received);
    }
    if (!closed_) {
        read();
    }
}

void HttpConnection::deliverFramed(std::string_view bytes)
{
    relayReader_->feed(bytes);
    const std::string body = relayReader_->takeBody();
    if (!body.empty()) {
        deliver(body);
    }
    if (observer_ == nullptr) {
        return;
    }
    if (relayReader_->fault() != HttpParseError::None) {
        failCall(CallFailure::RelayEnded, std::string("unusable framing of the relay: ")
                                                  + describeParseError(relayReader_->fault()));
    } else if (relayReader_->done()) {
        onServerClosed();
    }
}

void HttpConnection::deliver(std::string_view bytes)
{
    const std::size_t used = reader_->feed(bytes);
    if (reader_->hasHead() && !headDelivered_) {
        headDelivered_ = true;
        observer_->onHead(reader_->head());
    }
    if (observer_ == nullptr) {
        return;
    }
    const std::string body = reader_->takeBody();
    if (!body.empty()) {
        observer_->onBody(body);
    }
    if (observer_ == nullptr) {
        return;
    }
    if (reader_->fault() != HttpParseError::None) {
        failCall(CallFailure::Malformed,
                 std::string("unusable answer: ") + describeParseError(reader_->fault()));
        return;
    }
    if (!reader_->done()) {
        return;
    }
    // Bytes after a response belong to no call. If the request is still being written, the
    // server would read the rest of it as the next request.
    const bool surplus = used < bytes.size();
    if (surplus || writing_ || hasWriteFailed_ || !reader_->head().keepAlive) {
        close();
    }
    finishCall();
}

void HttpConnection::onEndOfStream(const ErrorCode &error)
{
    if (observer_ == nullptr) {
        close();
        if (onIdleLost) {
            onIdleLost(*this);
        }
        return;
    }
    // Only an orderly close may end a body without a length; after a reset an unknown part of
    // it is missing.
    if (error != asio::error::eof) {
        failCall(CallFailure::MaybeSent, error.message());
    } else if (hasWriteFailed_ && reader_->endsWithConnection()) {
        // A socket reports a reset once. The write has got it, and the read an end of file.
        failCall(CallFailure::MaybeSent, "the connection was reset");
    } else if (path_) {
        // The kernel closes the connections of a relay that dies in order.
        failCall(CallFailure::RelayEnded, "the relay ended the connection");
    } else {
        onServerClosed();
    }
}

void HttpConnection::onServerClosed()
{
    if (path_ || !reader_->endsWithConnection()) {
        finishAtEnd();
        return;
    }
    // The kernel closes the connections of a process that dies in order as well, and from then on
    // refuses new ones.
    close();
    probeConnection(connectTimer_.get_executor(), address_,
                    std::chrono::steady_clock::now() + settings_.connectTimeout,
                    [self = shared_from_this()](ProbeOutcome outcome) {
                        if (self->observer_ != nullptr) {
                            self->hasServerEnded_ = outcome == ProbeOutcome::Refused;
                            self->finishAtEnd();
                        }
                    });
}

void HttpConnection::finishAtEnd()
{
    reader_->feedEnd();
    if (!reader_->done()) {
        failCall(CallFailure::MaybeSent, "the connection ended inside the response");
        return;
    }
    endedWithConnection_ = true;
    close();
    finishCall();
}

void HttpConnection::finishCall()
{
    HttpCallObserver *observer = std::exchange(observer_, nullptr);
    // An idle connection keeps no memory for the request it sent.
    request_ = std::string();
    readingPaused_ = false;
    idleSince_ = std::chrono::steady_clock::now();
    const auto self = shared_from_this();
    observer->onDone();
    if (path_) {
        // A relay carries one request per connection, so that it can stop between two.
        cancel();
        return;
    }
    if (!closed_ && observer_ == nullptr && onIdle) {
        onIdle(self);
    }
}

void HttpConnection::failCall(CallFailure failure, const std::string &reason)
{
    const auto self = shared_from_this();
    close();
    if (HttpCallObserver *observer = std::exchange(observer_, nullptr)) {
        observer->onFailed(failure, reason);
    }
}

void HttpConnection::cancel()
{
    observer_ = nullptr;
    close();
}

std::optional<std::size_t> HttpConnection::unacknowledgedBytes()
{
    return socket_.is_open() ? sequoiagate::unacknowledgedBytes(socket_) : std::nullopt;
}

void HttpConnection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    connectTimer_.cancel();
    dropUnsentOnClose(socket_);
    ErrorCode ignored;
    socket_.close(ignored);
}

} // namespace sequoiagate
