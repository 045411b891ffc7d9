#ifndef SEQUOIAGATE_PROXY_HTTPCONNECTION_H
#define SEQUOIAGATE_PROXY_HTTPCONNECTION_H

/// A keep-alive connection to an HTTP server for any number of calls, one at a time. It is
/// used for endpoints and for the store.
///
/// It also reads between calls. A close by the server is thus noticed before the next request
/// is written, and bytes that arrive between calls (a second or late response) close the
/// connection instead of being read as the next call's response.

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

/// How far a call had got when its connection was lost.
enum class CallFailure {
    NotConnected,     ///< no byte was sent
    RelayUnreachable, ///< no byte was sent: the relay doesn't respond
    RelayRefused,     ///< no byte was sent: the relay doesn't serve the request
    MaybeSent,        ///< a part of the request may have arrived
    RelayEnded,       ///< the same; the relay ended the connection, the server may not have
    Malformed,        ///< the same; the server sent something that isn't a response
};

/// The host through which a connection is made, and the handshake that asks it to do so.
struct RelayPath
{
    boost::asio::ip::tcp::endpoint relay;
    std::string handshake;
};

/// Receives the events of one call. Each call ends with exactly one of onDone and onFailed,
/// unless it is cancelled. Any method may cancel the call.
class HttpCallObserver
{
public:
    virtual ~HttpCallObserver() = default;
    /// A connection was established for this call.
    virtual void onConnected() {}
    /// The connection can take more of a request of which it took only a part. Called before each
    /// further part is written.
    virtual void onWritable() {}
    virtual void onHead(const ResponseHead &head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    /// The response is complete.
    virtual void onDone() = 0;
    virtual void onFailed(CallFailure failure, const std::string &reason) = 0;
};

struct HttpConnectionSettings
{
    /// Time to establish a connection; after it the server counts as unreachable. A round trip
    /// between failure domains takes some milliseconds; a lost SYN is retransmitted after 1 s.
    Interval connectTimeout = std::chrono::milliseconds(400);
    /// Time for sent bytes to be acknowledged; after it the peer counts as lost
    /// (TCP_USER_TIMEOUT). Where keep-alive probes are on, it also decides when they give up.
    std::chrono::milliseconds unacknowledgedTimeout{1500};
    /// Time to connect to a relay, and then for its handshake, in which it connects to the server
    /// within connectTimeout.
    Interval relayConnectTimeout = std::chrono::milliseconds(250);
    Interval handshakeTimeout = std::chrono::milliseconds(500);
    HttpReaderLimits limits;
};

/// Single-threaded: all calls from the io_context's thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint address,
                   HttpConnectionSettings settings, std::optional<RelayPath> path = {});

    /// Called when an idle connection is lost, and after each call that leaves it usable.
    std::function<void(HttpConnection &)> onIdleLost;
    std::function<void(const std::shared_ptr<HttpConnection> &)> onIdle;

    /// Sends \p request (head and body) and reports the response to \p observer. Connects
    /// first if necessary. \pre no call is open.
    void call(std::string request, HttpCallObserver &observer);
    /// Reports the rest of the open call to \p observer. \pre a call is open
    void setObserver(HttpCallObserver &observer) { observer_ = &observer; }
    /// Aborts the open call, if any, and closes the connection, upon which a server cancels the
    /// work. What the server hasn't acknowledged yet is dropped: after an orderly close the kernel
    /// would go on sending it. The observer isn't called any more.
    void cancel();
    /// Stops reading until resumeReading, for backpressure from a slower caller.
    void pauseReading() { readingPaused_ = true; }
    void resumeReading();

    /// Sets the time for sent bytes to be acknowledged, for this and later calls.
    void setUnacknowledgedTimeout(std::chrono::milliseconds timeout);

    const boost::asio::ip::tcp::endpoint &address() const { return address_; }
    /// Bytes of the request that the peer hasn't acknowledged; nullopt if that isn't known.
    std::optional<std::size_t> unacknowledgedBytes();
    bool isRelayed() const { return path_.has_value(); }
    /// Whether the last response had no length and ended with the connection.
    bool endedWithConnection() const { return endedWithConnection_; }
    /// Whether nobody listened at the server's address any more when such a response ended.
    bool hasServerEnded() const { return hasServerEnded_; }
    bool usable() const { return connected_ && !closed_; }
    /// Whether it was ever established, closed or not. Before that no byte of a call was sent.
    bool wasConnected() const { return connected_; }
    Instant idleSince() const { return idleSince_; }
    /// The time from which the connection mustn't be reused, since the server announced its close.
    Instant reusableUntil() const { return reusableUntil_; }
    void setReusableUntil(Instant until) { reusableUntil_ = until; }

private:
    using ErrorCode = boost::system::error_code;

    void connect();
    void armConnectTimer(Interval limit);
    void applyUnacknowledgedTimeout();
    void onConnected(const ErrorCode &error);
    void onEstablished();
    void sendHandshake();
    void readHandshake();
    void onHandshakeDone();
    CallFailure connectFailure() const;
    void write();
    void writeMore();
    void awaitWritable();
    void read();
    void onRead(const ErrorCode &error, std::size_t bytes);
    void deliver(std::string_view bytes);
    /// Delivers what the relay's framing says the server has sent.
    void deliverFramed(std::string_view bytes);
    void onEndOfStream(const ErrorCode &error);
    /// The server closed the connection in order, which may end a response.
    void onServerClosed();
    void finishAtEnd();
    void finishCall();
    void failCall(CallFailure failure, const std::string &reason);
    void close();

    boost::asio::ip::tcp::endpoint address_;
    HttpConnectionSettings settings_;
    std::optional<RelayPath> path_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connectTimer_;
    std::array<char, 8192> readBuffer_;
    std::string request_;
    std::string_view unwritten_; ///< rest of request_
    std::optional<ResponseReader> reader_;
    /// Of the relay's response; its body is what the server sends, if it is framed.
    std::optional<ResponseReader> relayReader_;
    HttpCallObserver *observer_ = nullptr;
    Instant idleSince_{};
    Instant reusableUntil_ = Never;
    bool connected_ = false;
    bool closed_ = false;
    bool writing_ = false;
    bool hasWriteFailed_ = false; ///< the rest of the request can't be sent
    bool reading_ = false;
    bool readingPaused_ = false;
    bool headDelivered_ = false;
    bool endedWithConnection_ = false;
    bool hasServerEnded_ = false;
    bool isFramed_ = false; ///< by the relay
};

} // namespace sequoiagate

#endif
