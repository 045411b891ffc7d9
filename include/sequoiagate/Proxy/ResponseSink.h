#ifndef SEQUOIAGATE_PROXY_RESPONSESINK_H
#define SEQUOIAGATE_PROXY_RESPONSESINK_H

/// Interface through which an exchange sends its response to the caller.

#include <string>
#include <string_view>

#include "sequoiagate/Proxy/HttpMessage.h"

namespace sequoiagate {

/// Single-threaded. Each exchange ends with exactly one call of sendResponse, endStream or
/// abort.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    /// Sends a complete response.
    virtual void sendResponse(ResponseHead head, std::string_view body) = 0;
    virtual void beginStream(ResponseHead head) = 0;
    virtual void streamData(std::string_view bytes) = 0;
    virtual void endStream() = 0;
    /// Closes the caller's connection, so that a partial response doesn't look complete.
    virtual void abort() = 0;
    /// Checks whether the caller has closed or reset its connection, also if that close hasn't been
    /// read yet. If so, the exchange is notified as of any close and has ended on return.
    virtual bool checkCallerGone() = 0;
    /// Bytes that are queued and not yet written to the caller's socket.
    virtual std::size_t backlog() const = 0;
    /// Whether the endpoint is to be read no further until hasRoom(). Called after each part of a
    /// response, so that what the exchange buffers is accounted for.
    virtual bool isFull() = 0;
    /// Whether an endpoint that was paused may be read again.
    virtual bool hasRoom() = 0;
    /// Maximum size of a response that is buffered until it is complete.
    virtual std::size_t maxBufferedBytes() const = 0;
};

} // namespace sequoiagate

#endif
