#ifndef SEQUOIAGATE_ROUTER_ENDPOINTHTTP_H
#define SEQUOIAGATE_ROUTER_ENDPOINTHTTP_H

/// One HTTP exchange with an endpoint: on a connection of its own, never sent twice.

#include <httplib.h>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Router/EngineClient.h"

namespace sequoiagate {

struct EndpointTimeouts
{
    Millis connect{};
    Millis read{}; ///< longest silence
};

/// Sends \p request to \p address and reads the answer.
///
/// The library's client, version 0.11.4, sends a request again in two cases only:
/// on a redirect (followed only if set_follow_location) and on a 401 with digest
/// credentials (none are set here). It doesn't send again on a stale kept
/// connection: send() looks whether the socket is alive, connects anew if not,
/// and a failure after that is returned. But that look can't tell a connection
/// that the endpoint closes just then from one it closed after reading, and both
/// would have to be told as "may have run". So each call has a fresh connection:
/// refused before a byte left is then the one case of NotSent, and it is true.
///
/// A malformed response is no answer: its end is Cut.
/// \pre address is IP:port. Thread safe.
ConnectionResult exchange(const std::string &address, const EndpointTimeouts &timeouts,
                          httplib::Request &request, httplib::Response &response);

/// Whether \p response has the status of a final response (RFC 9110, 15) and field names that are
/// tokens, neither of which the library checks. Thread safe.
bool isWellFormed(const httplib::Response &response);

} // namespace sequoiagate

#endif
