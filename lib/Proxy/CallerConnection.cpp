#include "sequoiagate/Proxy/CallerConnection.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "Refusals.h"
#include "sequoiagate/Proxy/SocketState.h"

namespace sequoiagate {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Maximum bytes of pipelined requests that are buffered while one is served. Beyond it they are
/// read and dropped, and the connection ends with the response: a close behind bytes that stay in
/// the peer's socket can't be noticed.
constexpr std::size_t MaxPipelinedBytes = 256 * 1024;

/// A non-streaming response up to this size is buffered until it is complete, so that a broken
/// one can be replaced by another endpoint's. Usual responses are under 5 KB.
constexpr std::size_t MaxBufferedBytes = 256 * 1024;

/// Bytes queued for a caller above which its endpoint is no longer read; some hundred events.
/// This bounds memory and passes the backpressure of a slow caller on to the endpoint.
constexpr std::size_t MaxBacklogBytes = 128 * 1024;

/// What a queued string costs beside its bytes.
constexpr std::size_t QueuedStringBytes = 64;

/// Maximum bytes that are dropped in one interval.
constexpr std::size_t MaxDroppedBytes = 1024 * 1024;
constexpr Interval DropInterval = std::chrono::milliseconds(100);

/// Approximate size of a request's head, for accounting the link's load.
constexpr uint64_t HeadBytes = 500;

/// Time for a caller to send the body after the head has been received.
constexpr Interval BodyTimeout = std::chrono::seconds(10);

/// The advertised Keep-Alive timeout is shorter than the idle timeout by this margin, so that
/// a request in flight doesn't race with the close of the connection.
constexpr Interval IdleMargin = std::chrono::seconds(2);

/// Closing a socket with unread bytes resets the connection, and the peer may lose a response
/// that it hasn't read yet. The peer gets this long to close first.
constexpr Interval LingerTime = std::chrono::milliseconds(500);

/// Bytes that are read and dropped within that time. Those of a caller that sends more stay in the
/// socket, where they cost nothing.
constexpr std::size_t MaxLingerBytes = 256 * 1024;

CallerLimits limitsOf(const ProxyContext &context)
{
    const ServingConfigPtr config = context.config();
    return config ? config->limits : CallerLimits();
}

RequestReader makeRequestReader(const ProxyContext &context)
{
    const CallerLimits limits = limitsOf(context);
    return RequestReader({limits.maxHeaderBytes, limits.maxBodyBytes});
}

struct ErrorStatus
{
    HttpParseError error;
    int status;
    bool byConfig; ///< a limit of the configuration; a newer one may allow it
};

constexpr ErrorStatus ErrorStatuses[] = {{HttpParseError::HeaderTooLarge, 431, true},
                                         {HttpParseError::BodyTooLarge, 413, true}};

ErrorStatus statusOf(HttpParseError error)
{
    for (const ErrorStatus &row : ErrorStatuses) {
        if (row.error == error) {
            return row;
        }
    }
    return {error, 400, false};
}

} // namespace

CallerConnection::CallerConnection(ProxyContext &context, tcp::socket socket, ClosedHandler closed)
    : context_(context), socket_(std::move(socket)), closed_(std::move(closed)), timer_(context.io),
      dropTimer_(context.io)
{}

void CallerConnection::start()
{
    ErrorCode ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    if (context_.buffers != nullptr) {
        bufferId_ = context_.buffers->add(*this);
    }
    awaitNextRequest();
    read();
}

void CallerConnection::read()
{
    if (reading_ || isClosed_) {
        return;
    }
    if (unparsed_.size() > maxPipelinedBytes()) {
        if (exchange_) {
            dropPipelined();
        }
        return;
    }
    if (!mayReadBody()) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(asio::buffer(readBuffer_),
                            [self = shared_from_this()](const ErrorCode &error, std::size_t bytes) {
                                self->reading_ = false;
                                self->onRead(error, bytes);
                            });
}

void CallerConnection::dropPipelined()
{
    if (!unparsed_.empty()) {
        context_.log.write(Event("caller.pipeline_dropped"));
    }
    keepAlive_ = false;
    unparsed_.clear();
    unparsed_.shrink_to_fit();
    accountBuffers();
    ErrorCode error;
    for (std::size_t dropped = 0; dropped < MaxDroppedBytes && !error;) {
        dropped += socket_.read_some(asio::buffer(readBuffer_), error);
    }
    if (error && error != asio::error::would_block) {
        onPeerClosed(error);
        return;
    }
    dropTimer_.arm(std::chrono::steady_clock::now() + DropInterval, [self = shared_from_this()] {
        if (!self->lingering_) {
            self->dropPipelined();
        }
    });
}

void CallerConnection::onRead(const ErrorCode &error, std::size_t bytes)
{
    if (isClosed_) {
        return;
    }
    const std::optional<CallerCloseReason> idleClose = std::exchange(idleClose_, std::nullopt);
    if (idleClose && error == asio::error::operation_aborted) {
        if (hasUnreadBytes(socket_)) {
            read();
        } else {
            close(*idleClose);
        }
        return;
    }
    if (error) {
        onPeerClosed(error);
        return;
    }
    if (lingering_) {
        lingerBytes_ += bytes;
        if (lingerBytes_ < MaxLingerBytes) {
            read();
        }
        return;
    }
    unparsed_.append(readBuffer_.data(), bytes);
    // After a response the handler that onResponseQueued() posts starts the next request.
    const bool isBetweenRequests = reader_->done();
    if (!exchange_ && !closeWhenWritten_ && !isBetweenRequests) {
        readRequest();
    }
    accountBuffers();
    read();
}

bool CallerConnection::mayReadBody()
{
    const bool isReadingBody = bufferId_ && !exchange_ && !closeWhenWritten_ && !lingering_
                               && reader_->hasHead() && !reader_->done();
    if (!isReadingBody) {
        return true;
    }
    const bool wasWaiting = context_.buffers->isWaiting(*bufferId_);
    const std::size_t size = maxBodySize();
    const bool mayRead = context_.buffers->admitBody(*bufferId_, size);
    if (!mayRead && !wasWaiting) {
        context_.log.write(Event("caller.body_waits")
                                   .with("size", size)
                                   .with("bodies", context_.buffers->total().body)
                                   .with("limit", context_.buffers->bodyLimit(size))
                                   .with("waiting", context_.buffers->waiting()));
        context_.metrics.count("proxy_bodies_waited_total");
    }
    return mayRead;
}

std::size_t CallerConnection::maxBodySize() const
{
    std::size_t whole = limitsOf(context_).maxBodyBytes;
    const std::string *length = findField(reader_->head().fields, "Content-Length");
    if (length != nullptr) {
        std::size_t declared = 0;
        std::from_chars(length->data(), length->data() + length->size(), declared);
        whole = std::min(whole, declared);
    }
    return whole;
}

void CallerConnection::appendBody(const std::string &bytes)
{
    // A string that grows takes up to twice its size, which is more than was reserved.
    const bool isKnown = findField(reader_->head().fields, "Content-Length") != nullptr;
    if (bufferId_ && isKnown && context_.buffers->isAdmitted(*bufferId_)) {
        body_.reserve(maxBodySize());
    }
    body_ += bytes;
}

std::size_t CallerConnection::maxPipelinedBytes() const
{
    return bufferId_ ? std::min(MaxPipelinedBytes, context_.buffers->otherLimit())
                     : MaxPipelinedBytes;
}

std::size_t CallerConnection::maxBufferedBytes() const
{
    return bufferId_ ? std::min(MaxBufferedBytes, context_.buffers->otherLimit())
                     : MaxBufferedBytes;
}

bool CallerConnection::isFull()
{
    accountBuffers();
    return bufferId_ ? context_.buffers->pauseIfFull(*bufferId_) : backlog_ > MaxBacklogBytes;
}

bool CallerConnection::hasRoom()
{
    return bufferId_ ? context_.buffers->resumeIfRoom(*bufferId_) : backlog_ <= MaxBacklogBytes / 2;
}

void CallerConnection::accountBuffers()
{
    if (!bufferId_) {
        return;
    }
    if (unparsed_.empty()) {
        unparsed_ = std::string();
    }
    BufferUse use;
    use.unread = backlog_ + outgoing_.size() * QueuedStringBytes;
    use.body = body_.empty() ? 0 : body_.capacity() + body_.size();
    use.other = unparsed_.empty() ? 0 : unparsed_.capacity();
    if (exchange_) {
        use.body += exchange_->requestBytes();
        use.other += exchange_->responseBytes();
    }
    context_.buffers->update(*bufferId_, use, std::chrono::steady_clock::now());
    scheduleBufferAction(context_);
}

void CallerConnection::scheduleBufferAction(ProxyContext &context)
{
    BufferBudget &buffers = *context.buffers;
    if (buffers.needsAction()) {
        // Posted, since it may call any connection, also the one on the call stack.
        asio::post(context.io, [&buffers] {
            if (buffers.needsAction()) {
                buffers.act(std::chrono::steady_clock::now());
            }
        });
    }
}

void CallerConnection::onBufferRoom()
{
    // Keeps it alive: what is read may end it.
    const auto self = shared_from_this();
    if (exchange_) {
        const std::shared_ptr<Exchange> exchange = exchange_;
        exchange->onBacklogReduced();
    }
    read();
}

void CallerConnection::onCutOff(const BufferCutOff &figures)
{
    const auto self = shared_from_this();
    bufferId_.reset();
    context_.log.write(
            Event("caller.cut_off")
                    .with("request", exchange_ ? exchange_->requestId() : RequestId())
                    .with("unread", figures.unread)
                    .with("unread_total", figures.unreadTotal)
                    .with("limit", figures.limit)
                    .with("taken", figures.taken)
                    .with("behind_ms",
                          std::chrono::duration_cast<Millis>(figures.behindFor).count())
                    .with("last_taken_ms",
                          std::chrono::duration_cast<Millis>(figures.lastTakenAgo).count()));
    context_.metrics.count("proxy_callers_cut_off_total");
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close(CallerCloseReason::CutOff);
}

void CallerConnection::readRequest()
{
    if (unparsed_.empty()) {
        return;
    }
    const bool hadStarted = reader_->begun();
    if (reader_->isFresh()) {
        // Uses the current limits, not those of the time when the connection became idle.
        reader_.emplace(makeRequestReader(context_));
    }
    if (!hadStarted) {
        requestStartedAt_ = std::chrono::steady_clock::now();
    }
    const bool hadHead = reader_->hasHead();
    const std::size_t used = reader_->feed(unparsed_);
    unparsed_.erase(0, used);
    if (!hadStarted && reader_->begun()) {
        armTimer(limitsOf(context_).headerTimeout);
    }
    appendBody(reader_->takeBody());
    if (reader_->fault() != HttpParseError::None) {
        refuseRequest(reader_->fault());
        return;
    }
    if (reader_->hasHead() && !hadHead) {
        armTimer(BodyTimeout);
        const std::string *expect = findField(reader_->head().fields, "Expect");
        if (expect != nullptr && !reader_->done()) {
            queue("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
    if (reader_->done()) {
        beginExchange();
    }
}

bool CallerConnection::checkCallerGone()
{
    if (isClosed_) {
        return true;
    }
    const ErrorCode closeError = peekCloseError(socket_);
    if (closeError) {
        onPeerClosed(closeError);
    }
    return static_cast<bool>(closeError);
}

void CallerConnection::onPeerClosed(const ErrorCode &error)
{
    const bool isClosed = error == asio::error::eof;
    close(isClosed ? CallerCloseReason::PeerClosed : CallerCloseReason::ReadFailed, error);
}

void CallerConnection::beginExchange()
{
    timer_.disarm();
    if (checkCallerGone()) {
        return;
    }
    if (bufferId_) {
        body_.shrink_to_fit();
    }
    CallerRequest request;
    request.head = std::move(reader_->head());
    request.body = std::exchange(body_, std::string());
    request.receivedAt = requestStartedAt_;
    keepAlive_ = request.head.keepAlive;
    acceptsChunks_ = request.head.acceptsChunks;
    context_.link.onReceived(request.body.size() + HeadBytes, std::chrono::steady_clock::now());
    // The local copy keeps the exchange alive: one that is refused ends inside start().
    ResponseSink &sink = *this;
    const auto exchange = std::make_shared<Exchange>(context_, std::move(request), sink);
    exchange_ = exchange;
    if (bufferId_) {
        context_.buffers->endBody(*bufferId_);
    }
    accountBuffers();
    try {
        exchange->start();
    } catch (const std::exception &) {
        stop();
        throw;
    }
}

void CallerConnection::refuseRequest(HttpParseError error)
{
    const ErrorStatus row = statusOf(error);
    const bool isPermanent = !row.byConfig || context_.configIsCurrent();
    const int status = isPermanent ? row.status : refusalStatus(Reason::NotReady);
    std::optional<Interval> retryAfter;
    if (!isPermanent) {
        retryAfter = RetryElsewhereDelay;
    }
    context_.log.write(Event("caller.malformed")
                               .with("status", status)
                               .with("why", describeParseError(error)));
    context_.metrics.count("proxy_malformed_total");
    ResponseHead head = context_.dialect.encodeRefusal(status, RequestId(), retryAfter);
    head.keepAlive = false;
    queue(writeResponseHead(head, BodyFraming::Length, 0));
    onResponseQueued(false);
}

void CallerConnection::sendResponse(ResponseHead head, std::string_view body)
{
    const bool keepAlive = keepAlive_ && !context_.shouldShedConnections();
    head.keepAlive = keepAlive;
    addKeepAliveField(head);
    std::string bytes = writeResponseHead(head, BodyFraming::Length, body.size());
    bytes.append(body);
    queue(std::move(bytes));
    onResponseQueued(keepAlive);
}

void CallerConnection::addKeepAliveField(ResponseHead &head) const
{
    const Interval advertised = limitsOf(context_).idleTimeout - IdleMargin;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(advertised).count();
    if (head.keepAlive && seconds > 0) {
        head.fields.push_back({"Keep-Alive", fmt::format("timeout={}", seconds)});
    }
}

void CallerConnection::beginStream(ResponseHead head)
{
    keepAlive_ = keepAlive_ && acceptsChunks_ && !context_.shouldShedConnections();
    head.keepAlive = keepAlive_;
    addKeepAliveField(head);
    const BodyFraming framing = acceptsChunks_ ? BodyFraming::Chunked : BodyFraming::Close;
    isEndUnmarked_ = !acceptsChunks_;
    queue(writeResponseHead(head, framing, 0));
}

void CallerConnection::streamData(std::string_view bytes)
{
    if (!bytes.empty()) {
        queue(acceptsChunks_ ? writeChunk(bytes) : std::string(bytes));
    }
}

void CallerConnection::endStream()
{
    if (acceptsChunks_) {
        queue(std::string(LastChunk));
    }
    onResponseQueued(keepAlive_);
}

void CallerConnection::abort()
{
    // Bytes already queued are still written. Without the last chunk the caller can tell that
    // the response is incomplete; without chunks, by the reset.
    resetWhenWritten_ = isEndUnmarked_;
    onResponseQueued(false);
    armTimer(LingerTime);
}

void CallerConnection::onResponseQueued(bool keepAlive)
{
    exchange_.reset();
    if (bufferId_) {
        context_.buffers->endBody(*bufferId_);
        context_.buffers->endPause(*bufferId_);
    }
    accountBuffers();
    if (!keepAlive) {
        closeWhenWritten_ = true;
        write();
        return;
    }
    // Posted, because the ending exchange is still on the call stack.
    asio::post(context_.io, [self = shared_from_this()] {
        if (!self->isClosed_ && !self->exchange_ && !self->closeWhenWritten_) {
            self->awaitNextRequest();
            self->readRequest();
            self->read();
        }
    });
}

void CallerConnection::awaitNextRequest()
{
    reader_.emplace(makeRequestReader(context_));
    body_.clear();
    // A new connection always gets to send its first request: a caller that was just
    // redirected to this host would otherwise lose the connection before sending anything.
    const bool first = std::exchange(isNew_, false);
    if (!first && context_.shouldShedConnections()) {
        drain();
        if (isClosed_) {
            return;
        }
    }
    armTimer(limitsOf(context_).idleTimeout);
}

void CallerConnection::armTimer(Interval limit)
{
    timer_.arm(std::chrono::steady_clock::now() + limit,
               [self = shared_from_this()] { self->onTimer(); });
}

void CallerConnection::onTimer()
{
    if (lingering_ || closeWhenWritten_) {
        close(CallerCloseReason::Answered);
        return;
    }
    if (!reader_->begun()) {
        // Takes effect unless a request has arrived, which then is served.
        armTimer(limitsOf(context_).idleTimeout);
        closeUnlessRequested(CallerCloseReason::Idle);
        return;
    }
    // The request hasn't been received completely, so it hasn't run.
    ResponseHead head = context_.dialect.encodeRefusal(408, RequestId(), std::nullopt);
    head.keepAlive = false;
    queue(writeResponseHead(head, BodyFraming::Length, 0));
    onResponseQueued(false);
}

void CallerConnection::drain()
{
    const bool isIdle = !exchange_ && reader_ && !reader_->begun() && unparsed_.empty();
    if (isIdle && outgoing_.empty() && !writing_) {
        closeUnlessRequested(CallerCloseReason::Drained);
    }
}

void CallerConnection::closeUnlessRequested(CallerCloseReason reason)
{
    // A request that has arrived is served: a busy host reads it some hundred milliseconds later.
    if (hasUnreadBytes(socket_)) {
        return;
    }
    if (!reading_) {
        close(reason);
        return;
    }
    // A read may have taken the request already, with its handler still queued. Only one that
    // hasn't is cancelled.
    idleClose_ = reason;
    ErrorCode ignored;
    socket_.cancel(ignored);
}

void CallerConnection::stop()
{
    if (exchange_) {
        const std::shared_ptr<Exchange> exchange = exchange_;
        exchange->stop();
        return;
    }
    if (!closeWhenWritten_) {
        close(CallerCloseReason::StopForced);
    }
}

void CallerConnection::forceClose()
{
    close(CallerCloseReason::StopForced);
}

void CallerConnection::queue(std::string bytes)
{
    if (isClosed_) {
        return;
    }
    backlog_ += bytes.size();
    context_.link.onSent(bytes.size(), std::chrono::steady_clock::now());
    outgoing_.push_back(std::move(bytes));
    accountBuffers();
    write();
}

void CallerConnection::write()
{
    if (writing_ || isClosed_) {
        return;
    }
    if (outgoing_.empty()) {
        if (closeWhenWritten_ && resetWhenWritten_) {
            ErrorCode ignored;
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
            close(CallerCloseReason::Answered);
            return;
        }
        if (closeWhenWritten_ && !lingering_) {
            isEndUnmarked_ = false;
            ErrorCode ignored;
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
            lingering_ = true;
            armTimer(LingerTime);
            unparsed_.clear();
            read();
        }
        return;
    }
    writing_ = true;
    // Joins everything queued into one write to save the CPU cost of a system call each.
    std::string bytes = std::move(outgoing_.front());
    outgoing_.pop_front();
    while (!outgoing_.empty()) {
        bytes += outgoing_.front();
        outgoing_.pop_front();
    }
    const auto shared = std::make_shared<std::string>(std::move(bytes));
    std::size_t taken = 0;
    asio::async_write(
            socket_, asio::buffer(*shared),
            [self = shared_from_this(), taken](const ErrorCode &error,
                                               std::size_t written) mutable {
                self->onTaken(written - std::exchange(taken, written));
                return asio::transfer_all()(error, written);
            },
            [self = shared_from_this(), shared](const ErrorCode &error, std::size_t) {
                self->writing_ = false;
                self->backlog_ -= shared->size();
                self->accountBuffers();
                if (self->isClosed_) {
                    return;
                }
                if (error) {
                    self->close(CallerCloseReason::WriteFailed, error);
                    return;
                }
                if (self->exchange_) {
                    self->exchange_->onBacklogReduced();
                }
                self->write();
            });
}

void CallerConnection::onTaken(std::size_t bytes)
{
    if (bufferId_ && bytes > 0) {
        context_.buffers->onTaken(*bufferId_, bytes, std::chrono::steady_clock::now());
    }
}

void CallerConnection::close(CallerCloseReason reason, const ErrorCode &error)
{
    if (isClosed_) {
        return;
    }
    isClosed_ = true;
    timer_.disarm();
    dropTimer_.disarm();
    if (bufferId_) {
        context_.buffers->remove(*std::exchange(bufferId_, std::nullopt));
        scheduleBufferAction(context_);
    }
    ErrorCode ignored;
    if (isEndUnmarked_) {
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
    const auto self = shared_from_this();
    context_.metrics.count("proxy_caller_closed_total",
                           {{"why", std::string(callerCloseReasonName(reason))},
                            {"request", exchange_ ? "open" : "none"}});
    if (const std::shared_ptr<Exchange> exchange = std::move(exchange_)) {
        exchange->onCallerClosed(reason, error ? error.message() : std::string());
    }
    if (closed_) {
        closed_(self);
    }
}

} // namespace sequoiagate
