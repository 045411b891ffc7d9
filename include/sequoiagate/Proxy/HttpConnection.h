#ifndef SEQUOIAGATE_PROXY_HTTPCONNECTION_H
#define SEQUOIAGATE_PROXY_HTTPCONNECTION_H

/// A connection to an HTTP server, kept for many calls, one at a time; used for endpoints
/// and for the store alike.
///
/// It reads all the while, also between calls: a server's close is seen before the next
/// request is written to a dead connection, and bytes that come between calls (a second
/// answer, a late one) end the connection instead of becoming the next call's answer.

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiagate/Proxy/HttpReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// How far a call had come when its connection was lost.
enum class CallFailure {
    NotConnected, ///< no byte left
    MaybeSent,         ///< a part of the request may have arrived
};

/// Receives what becomes of one call. Each call ends with exactly one of onDone and
/// onFailed, unless it is cancelled. Any method may cancel the call.
class HttpCallObserver
{
public:
    virtual ~HttpCallObserver() = default;
    virtual void onSent() {}
    virtual void onHead(const ResponseHead &head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    /// The whole answer has come.
    virtual void onDone() = 0;
    virtual void onFailed(CallFailure how, const std::string &why) = 0;
};

struct HttpConnectionSettings
{
    /// For the connection to stand; then it counts as unreachable. A round trip between
    /// failure domains is some milliseconds; a lost opening packet is sent again after 1 s.
    Interval connectTimeout = std::chrono::milliseconds(400);
    /// For sent bytes to be acknowledged, or the peer counts as lost (TCP_USER_TIMEOUT).
    std::chrono::milliseconds unacknowledgedTimeout{1500};
    HttpReaderLimits limits;
};

/// Single-threaded: all calls from the io_context's thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint address,
                   HttpConnectionSettings settings);

    /// Called when an idle connection is lost, and after each call that leaves it usable.
    std::function<void(HttpConnection &)> onIdleLost;
    std::function<void(const std::shared_ptr<HttpConnection> &)> onIdle;

    /// Sends \p request (head and body) and tells \p observer what comes back, connecting
    /// first if need be. \pre no call is open.
    void call(std::string request, HttpCallObserver &observer);
    /// Ends the open call, if any, and the connection: a server drops the work whose
    /// connection closes. The observer hears nothing more.
    void cancel();
    /// Stops reading until resumeReading: the caller's side takes the bytes more slowly.
    void pauseReading() { readingPaused_ = true; }
    void resumeReading();

    const boost::asio::ip::tcp::endpoint &address() const { return address_; }
    bool usable() const { return connected_ && !closed_; }
    /// Whether it ever stood, closed or not. Until then no byte of a call has left.
    bool wasConnected() const { return connected_; }
    Instant idleSince() const { return idleSince_; }
    /// When the server said it would close it.
    Instant idleUntil() const { return idleUntil_; }
    void setIdleUntil(Instant until) { idleUntil_ = until; }

private:
    using ErrorCode = boost::system::error_code;

    void connect();
    void onConnected(const ErrorCode &error);
    void write();
    void read();
    void onRead(const ErrorCode &error, std::size_t bytes);
    void deliver(std::string_view bytes);
    void onEndOfStream(const ErrorCode &error);
    void finishCall();
    void failCall(CallFailure how, const std::string &why);
    void close();

    boost::asio::ip::tcp::endpoint address_;
    HttpConnectionSettings settings_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connectTimer_;
    std::array<char, 8192> readBuffer_;
    std::string request_;
    std::optional<ResponseReader> reader_;
    HttpCallObserver *observer_ = nullptr;
    Instant idleSince_{};
    Instant idleUntil_ = Never;
    bool connected_ = false;
    bool closed_ = false;
    bool writing_ = false;
    bool reading_ = false;
    bool readingPaused_ = false;
    bool headDelivered_ = false;
};

} // namespace sequoiagate

#endif
