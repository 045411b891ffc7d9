#ifndef SEQUOIAGATE_PROXY_DIALECT_H
#define SEQUOIAGATE_PROXY_DIALECT_H

/// Translation between HTTP header fields and the request metadata that callers, this program
/// and endpoints exchange. Header names differ between platforms; an implementation only
/// translates and makes no decisions.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Decisions/EndpointNotice.h"
#include "sequoiagate/Proxy/HttpMessage.h"

namespace sequoiagate {

/// A segment of a prompt that may be shared with other requests.
struct PromptPart
{
    uint64_t id = 0;
    uint64_t tokens = 0;
};

/// Metadata of a request, decoded from the caller's header fields.
struct RequestMetadata
{
    RequestId id;
    std::string key;
    Interval timeout = std::chrono::seconds(30); ///< how long the caller waits for the response
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
    bool hasTokenCounts = false; ///< whether the caller sent the two above
    std::vector<PromptPart> prompt;
    std::optional<uint64_t> lastEventId; ///< the stream resumes after this event
    RequestId resumedStream; ///< the request that brought the resumed stream's first event
};

/// Metadata that is added to the request forwarded to an endpoint.
struct ForwardMetadata
{
    Interval timeout{};
    EndpointId endpoint;
    WorkspaceId workspace;               ///< empty if the route requires no API key
    uint32_t priority = 5;               ///< 0 is the highest
    bool sendPriority = false;           ///< whether the endpoint gets the priority
    std::optional<uint64_t> resumeAfter; ///< the last event that the caller received
};

/// Metadata of an endpoint's response, decoded from its header fields.
struct ResponseMetadata
{
    RequestId requestId;
    bool notExecuted = false; ///< the endpoint reports that it didn't run the request
    std::optional<Interval> keepAliveTimeout; ///< the endpoint closes idle connections after this
    bool isEventStream = false;
    bool hasContentEncoding = false; ///< the body has a content coding (e.g. compressed)
    bool hasSignature = false;
    EndpointNotice notice;
};

/// The response status of a program that has taken over an endpoint's address.
inline constexpr int MisdirectedStatus = 421;

/// Whether a response comes from the endpoint that its request was sent to, not from another
/// program at its address. Thread-safe.
inline bool isFromEndpoint(const ResponseHead &head, const ResponseMetadata &metadata)
{
    return head.status != MisdirectedStatus && (metadata.notExecuted || metadata.hasSignature);
}

/// Immutable and therefore thread-safe.
class Dialect
{
public:
    virtual ~Dialect() = default;

    virtual RequestMetadata decodeCaller(const RequestHead &head) const = 0;
    /// Returns the request head for the endpoint: the caller's without hop-by-hop fields and
    /// without fields that only this program may set.
    virtual RequestHead encodeForward(const RequestHead &caller,
                                      const ForwardMetadata &metadata) const = 0;
    virtual ResponseMetadata decodeResponse(const ResponseHead &head) const = 0;
    /// Returns the response head for the caller, made from the endpoint's.
    virtual ResponseHead encodeResponse(const ResponseHead &endpoint) const = 0;
    /// Returns the head of a response that this program generates for a request that it
    /// refuses. \param retryAfter how long the caller should wait before a retry
    virtual ResponseHead encodeRefusal(int status, const RequestId &id,
                                       std::optional<Interval> retryAfter) const = 0;
};

} // namespace sequoiagate

#endif
