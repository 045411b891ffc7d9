#ifndef SEQUOIAGATE_PROXY_RELAYHANDSHAKE_H
#define SEQUOIAGATE_PROXY_RELAYHANDSHAKE_H

/// The handshake by which a host asks another one for a connection to an endpoint.
///
/// It is one HTTP request and its response. After a response with status 200 the connection
/// carries the bytes of the endpoint's connection in both directions, for one request. Before it
/// no byte of the request was sent, so that the request can't have run.
///
/// To a host that accepts framing the endpoint's bytes are sent as the chunked body of that
/// response. Its last chunk says that the endpoint closed its connection in order; a connection
/// that ends without it was ended by the relay or broke. Hosts of earlier releases neither ask for
/// chunks nor send them: the end of their connections says nothing, since the kernel closes those
/// of a process that dies in order.

#include <cstdint>
#include <limits>
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
    bool acceptsFraming = true;
};

/// Status codes of the response.
inline constexpr int RelayEstablished = 200;
inline constexpr int RelayUnreachableEndpoint = 502; ///< the relay can't connect to the endpoint
inline constexpr int RelayRefused = 503;             ///< the relay doesn't serve the request

/// The handshake has no body.
inline constexpr HttpReaderLimits RelayHandshakeLimits{4 * 1024, 0};
/// The body of its response, if it is chunked, is as long as what the endpoint sends.
inline constexpr HttpReaderLimits RelayResponseLimits{4 * 1024,
                                                      std::numeric_limits<std::uint64_t>::max()};

/// Whether the endpoint's bytes follow as chunks. Thread safe.
bool isRelayFramed(const ResponseHead &head);

/// Thread safe, as is decodeRelayRequest.
std::string encodeRelayRequest(const RelayRequest &request);
/// \returns std::nullopt if \p head isn't such a request
std::optional<RelayRequest> decodeRelayRequest(const RequestHead &head);

} // namespace sequoiagate

#endif
