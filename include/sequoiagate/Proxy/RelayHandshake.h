#ifndef SEQUOIAGATE_PROXY_RELAYHANDSHAKE_H
#define SEQUOIAGATE_PROXY_RELAYHANDSHAKE_H

/// The handshake by which a host asks another one for a connection to an endpoint.
///
/// It is one HTTP request and its response. After a response with status 200 the connection
/// carries the bytes of the endpoint's connection in both directions, for one request. Before it
/// no byte of the request was sent, so that the request can't have run.

#include <optional>
#include <string>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Proxy/HttpMessage.h"
#include "sequoiagate/Proxy/HttpReader.h"

namespace sequoiagate {

struct RelayRequest
{
    EndpointId endpoint;
    Incarnation process; ///< that asks; the relay serves only processes of listed hosts
    Millis timeout{};    ///< until the request's deadline
};

/// Status codes of the response.
inline constexpr int RelayEstablished = 200;
inline constexpr int RelayUnreachableEndpoint = 502; ///< the relay can't connect to the endpoint
inline constexpr int RelayRefused = 503;             ///< the relay doesn't serve the request

/// Neither the handshake nor its response has a body.
inline constexpr HttpReaderLimits RelayHandshakeLimits{4 * 1024, 0};

/// Thread safe, as is decodeRelayRequest.
std::string encodeRelayRequest(const RelayRequest &request);
/// \returns std::nullopt if \p head isn't such a request
std::optional<RelayRequest> decodeRelayRequest(const RequestHead &head);

} // namespace sequoiagate

#endif
