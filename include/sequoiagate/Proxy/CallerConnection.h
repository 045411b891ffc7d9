#ifndef SEQUOIAGATE_PROXY_CALLERCONNECTION_H
#define SEQUOIAGATE_PROXY_CALLERCONNECTION_H

/// A caller's connection: reads its requests one after another, and writes each answer.
///
/// It goes on reading while a request is being served. A caller that leaves is noticed at
/// once, so that its endpoint's work ends; what it pipelines is kept until its turn.

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
class CallerConnection : public std::enable_shared_from_this<CallerConnection>, private ResponseSink
{
public:
    using ClosedHandler = std::function<void(const std::shared_ptr<CallerConnection> &)>;

    CallerConnection(ProxyContext &context, boost::asio::ip::tcp::socket socket, ClosedHandler closed);

    void start();
    /// Closes the connection if it waits for a request; else its answer says that it closes.
    void drain();
    /// Ends an open request and closes the connection behind what its caller is told.
    void stop();
    /// Closes it whatever it does.
    void forceClose();
    bool serving() const { return exchange_ != nullptr; }

private:
    using ErrorCode = boost::system::error_code;

    // ---- AnswerSink ----
    void sendResponse(ResponseHead head, std::string_view body) override;
    void beginStream(ResponseHead head) override;
    void streamData(std::string_view bytes) override;
    void endStream() override;
    void abort() override;
    std::size_t backlog() const override { return backlog_; }

    void read();
    void onRead(const ErrorCode &error, std::size_t bytes);
    void readRequest();
    void beginExchange();
    /// The error with which the caller's connection has ended, if that is known already.
    ErrorCode peekCloseError();
    void onPeerClosed(const ErrorCode &error);
    void refuseRequest(HttpParseError fault);
    void onResponseQueued(bool keepAlive);
    /// Says for how long an idle connection may be used again, if it is kept.
    void addKeepAliveField(ResponseHead &head) const;
    void awaitNextRequest();
    void armTimer(Interval limit);
    void onTimer();
    void queue(std::string bytes);
    void write();
    void close(CallerCloseReason why, const ErrorCode &error = ErrorCode());

    ProxyContext &context_;
    boost::asio::ip::tcp::socket socket_;
    ClosedHandler closed_;
    DeadlineTimer timer_;
    std::array<char, 8192> readBuffer_;
    std::string unparsed_; ///< received, not yet a request
    std::optional<RequestReader> reader_;
    std::string body_;
    Instant requestStartedAt_{};
    std::shared_ptr<Exchange> exchange_;
    std::deque<std::string> outgoing_;
    std::size_t backlog_ = 0;
    bool isNew_ = true; ///< no request has been waited for
    bool reading_ = false;
    bool writing_ = false;
    bool keepAlive_ = true;
    bool closeWhenWritten_ = false;
    bool lingering_ = false; ///< all is written; the peer is given time to read it
    bool isClosed_ = false;
};

} // namespace sequoiagate

#endif
