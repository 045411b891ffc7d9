#ifndef SEQUOIAGATE_LIB_EDGE_REQUESTLOSSMESSAGE_H
#define SEQUOIAGATE_LIB_EDGE_REQUESTLOSSMESSAGE_H

/// The datagrams by which hosts count the endpoints that were lost under one request.
///
/// Processes of versions before these messages ignore them. Times travel as ages.

#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Decisions/CrashingRequests.h"

namespace sequoiagate {

/// A report to the hosts that count, or the response to a broadcast.
inline constexpr const char *RequestLossReportKind = "request_losses";
inline constexpr const char *RequestLossBroadcastKind = "request_lost";

/// \param kind one of the two above
/// Thread safe, as is the following.
std::string encodeRequestLosses(const char *kind, const RequestLosses &known, Instant now);
/// \throws nlohmann::json::exception for a malformed message
RequestLosses decodeRequestLosses(const nlohmann::json &message, Instant now);

} // namespace sequoiagate

#endif
