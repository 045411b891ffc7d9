#ifndef SEQUOIAGATE_PROXY_DIALECT_H
#define SEQUOIAGATE_PROXY_DIALECT_H

/// The headers by which callers, this program and endpoints tell each other about a
/// request, decoded into what they mean. Each platform has its own names for them; an
/// implementation translates and decides nothing.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Proxy/HttpMessage.h"

namespace sequoiagate {

/// A part of a prompt that other requests may share.
struct PromptPart
{
    uint64_t id = 0;
    uint64_t tokens = 0;
};

/// What a caller says of its request.
struct RequestMetadata
{
    RequestId id;
    std::string key;
    Interval timeout = std::chrono::seconds(30); ///< how long it waits for the answer
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0; ///< at most
    bool hasTokenCounts = false;    ///< the two above were sent
    std::vector<PromptPart> prompt;
    std::optional<uint64_t> lastEventId; ///< it goes on behind this one
};

/// What an endpoint is told beside what the caller sent.
struct ForwardMetadata
{
    Interval timeout{};
    EndpointId endpoint;
    WorkspaceId workspace; ///< empty where the route needs no key
    uint32_t priority = 5;  ///< 0 is the most urgent
    bool sendPriority = false;
    std::optional<uint64_t> resumeAfter; ///< the last event that the caller has
};

/// What an endpoint's answer says beside its body.
struct ResponseMetadata
{
    RequestId requestId;
    bool notExecuted = false;            ///< the endpoint says that it did not run the request
    std::optional<Interval> keepAliveTimeout; ///< it closes an idle connection after this
    bool isEventStream = false;
    bool hasContentEncoding = false; ///< its body isn't the endpoint's own bytes
    bool hasSignature = false;
};

/// Immutable, so thread safe.
class Dialect
{
public:
    virtual ~Dialect() = default;

    virtual RequestMetadata decodeCaller(const RequestHead &head) const = 0;
    /// The head for the endpoint: the caller's, without what concerns the caller's
    /// connection and without what only this program may say.
    virtual RequestHead encodeForward(const RequestHead &caller,
                                      const ForwardMetadata &terms) const = 0;
    virtual ResponseMetadata decodeResponse(const ResponseHead &head) const = 0;
    /// The head for the caller of an endpoint's answer.
    virtual ResponseHead encodeResponse(const ResponseHead &endpoint) const = 0;
    /// The head of this program's own answer to a request that it didn't serve.
    /// \param comeBackAfter when asking again makes sense
    virtual ResponseHead encodeRefusal(int status, const RequestId &id,
                                       std::optional<Interval> comeBackAfter) const = 0;
};

} // namespace sequoiagate

#endif
