#ifndef SEQUOIAGATE_PROXY_REQUESTGUARD_H
#define SEQUOIAGATE_PROXY_REQUESTGUARD_H

/// Keeps requests from endpoints that would crash on them.

#include <optional>
#include <string_view>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Config/ServingConfig.h"
#include "sequoiagate/Decisions/CrashingRequests.h"
#include "sequoiagate/Proxy/Dialect.h"

namespace sequoiagate {

/// Returns what all attempts of a caller for the same request have in common. Request ids,
/// deadlines and the place where a stream is resumed differ between them, and on a split route the
/// service does.
/// \param service that this attempt goes to
/// \param workspace empty if the route requires no API key
/// Thread safe.
RequestIdentity identifyRequest(const Route &route, const ServiceId &service,
                                const WorkspaceId &workspace, const RequestHead &head,
                                std::string_view body, const std::vector<PromptPart> &prompt);

/// Single-threaded.
class RequestGuard
{
public:
    virtual ~RequestGuard() = default;
    /// \returns the verdict on a request that may not be sent; nullopt if it may
    virtual std::optional<Verdict> refusal(const RequestIdentity &identity, Instant now) = 0;
    /// An endpoint's whole response to the request was received.
    virtual void onAnswered(const RequestIdentity &identity, Instant now) = 0;
    /// The connection to \p process was lost after the request was sent and before its response was
    /// whole. \pre \p sentAt isn't later than \p now
    virtual void onEndpointLost(const RequestIdentity &identity, const EndpointProcess &process,
                                Instant sentAt, Instant now) = 0;
    /// Returns when a request whose endpoint was lost at \p lostAt may be sent to another one.
    /// The delay lets hosts that know of more losses under the request tell this one before one
    /// more endpoint is lost.
    virtual Instant repeatTime(Instant lostAt) const = 0;
};

} // namespace sequoiagate

#endif
