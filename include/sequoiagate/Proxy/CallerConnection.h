#ifndef SEQUOIAGATE_PROXY_CALLERCONNECTION_H
#define SEQUOIAGATE_PROXY_CALLERCONNECTION_H

/// A caller's connection: reads requests one after another and writes the responses.
///
/// It keeps reading while a request is being served, so that a disconnect is noticed at once
/// and the endpoint's work can be cancelled. Pipelined requests are buffered, up to a limit.

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sequoiagate/Proxy/Exchange.h"

#include <boost/asio/ip/tcp.hpp>

#include "sequoiagate/Proxy/HttpReader.h"
#include "sequoiagate/Proxy/ResponseSink.h"
#include "sequoiagate/Service/DeadlineTimer.h"

namespace sequoiagate {

/// Single-threaded.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         private ResponseSink,
                         private BufferHolder
{
public:
    using ClosedHandler = std::function<void(const std::shared_ptr<CallerConnection> &)>;

    CallerConnection(ProxyContext &context, boost::asio::ip::tcp::socket socket,
                     ClosedHandler closed);

    void start();
    /// Closes the connection if it is idle; otherwise the response announces the close.
    void drain();
    /// Ends an open request with an error response and closes the connection after it.
    void stop();
    /// Closes the connection at once, whatever its state.
    void forceClose();
    bool serving() const { return exchange_ != nullptr; }

private:
    using ErrorCode = boost::system::error_code;

    // ---- ResponseSink ----
    void sendResponse(ResponseHead head, std::string_view body) override;
    void beginStream(ResponseHead head) override;
    void streamData(std::string_view bytes) override;
    void endStream() override;
    void abort() override;
    bool checkCallerGone() override;
    std::size_t backlog() const override { return backlog_; }
    bool isFull() override;
    bool hasRoom() override;
    std::size_t maxBufferedBytes() const override;

    // ---- BufferHolder ----
    void onBufferRoom() override;
    void onCutOff(const BufferCutOff &figures) override;

    /// Tells the process's budget what this connection buffers.
    void accountBuffers();
    /// Lets the budget act, if it has to, in the next iteration of the event loop.
    static void scheduleBufferAction(ProxyContext &context);
    /// Whether the process has room for the request's body, if one is being received.
    bool mayReadBody();
    /// The size of the request's body, as far as it is known. \pre the head was received
    std::size_t maxBodySize() const;
    void appendBody(const std::string &bytes);
    std::size_t maxPipelinedBytes() const;

    void read();
    /// Reads and drops what follows the open request, at a limited rate, until the response is
    /// written. The connection ends with it.
    void dropPipelined();
    void onRead(const ErrorCode &error, std::size_t bytes);
    void readRequest();
    void beginExchange();
    void onPeerClosed(const ErrorCode &error);
    void refuseRequest(HttpParseError error);
    void onResponseQueued(bool keepAlive);
    /// Adds a Keep-Alive field with the idle timeout if the connection stays open.
    void addKeepAliveField(ResponseHead &head) const;
    void awaitNextRequest();
    void armTimer(Interval limit);
    void onTimer();
    void queue(std::string bytes);
    void write();
    /// The socket has taken \p bytes of what is being written.
    void onTaken(std::size_t bytes);
    void close(CallerCloseReason reason, const ErrorCode &error = ErrorCode());
    /// Closes a connection between two requests, at once or when its pending read is cancelled.
    void closeUnlessRequested(CallerCloseReason reason);

    ProxyContext &context_;
    boost::asio::ip::tcp::socket socket_;
    ClosedHandler closed_;
    DeadlineTimer timer_;
    DeadlineTimer dropTimer_;
    std::array<char, 8192> readBuffer_;
    std::string unparsed_; ///< received bytes that aren't parsed yet
    std::optional<RequestReader> reader_;
    std::string body_;
    Instant requestStartedAt_{};
    std::shared_ptr<Exchange> exchange_;
    std::deque<std::string> outgoing_;
    std::size_t backlog_ = 0;
    std::optional<BufferBudget::Id> bufferId_; ///< in the process's budget, until it is closed
    std::size_t lingerBytes_ = 0;              ///< received while lingering
    bool isNew_ = true;                        ///< awaitNextRequest hasn't been called yet
    bool reading_ = false;
    std::optional<CallerCloseReason> idleClose_; ///< set while the pending read is cancelled
    bool writing_ = false;
    bool keepAlive_ = true;
    bool acceptsChunks_ = true;
    bool isEndUnmarked_ = false;    ///< the response ends with the connection, and hasn't ended
    bool resetWhenWritten_ = false; ///< the end of the connection must not look orderly
    bool closeWhenWritten_ = false;
    bool lingering_ = false; ///< everything is written; waits for the peer to close
    bool isClosed_ = false;
};

} // namespace sequoiagate

#endif
