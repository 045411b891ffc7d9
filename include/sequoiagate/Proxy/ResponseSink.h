#ifndef SEQUOIAGATE_PROXY_RESPONSESINK_H
#define SEQUOIAGATE_PROXY_RESPONSESINK_H

/// The caller's side of one exchange.

#include <string>
#include <string_view>

#include "sequoiagate/Proxy/HttpMessage.h"

namespace sequoiagate {

/// Single-threaded. Of answer, endStream and abort exactly one ends the exchange.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    /// A whole answer.
    virtual void sendResponse(ResponseHead head, std::string_view body) = 0;
    virtual void beginStream(ResponseHead head) = 0;
    virtual void streamData(std::string_view bytes) = 0;
    virtual void endStream() = 0;
    /// Closes the caller's connection, so that what it has doesn't look complete.
    virtual void abort() = 0;
    /// Bytes that the caller hasn't taken yet.
    virtual std::size_t backlog() const = 0;
};

} // namespace sequoiagate

#endif
