#ifndef SEQUOIAGATE_LIB_EDGE_ENDPOINTLIMITMESSAGE_H
#define SEQUOIAGATE_LIB_EDGE_ENDPOINTLIMITMESSAGE_H

/// The datagrams by which hosts tell each other what they observed of endpoints' limits.
///
/// Processes of versions before this message ignore it. One of a later version is read as far as
/// its fields are known.

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/EndpointLimits.h"

namespace sequoiagate {

inline constexpr const char *EndpointLimitMessageKind = "limits";
inline constexpr const char *SlotRequestMessageKind = "ask_slot";
inline constexpr const char *SlotResponseMessageKind = "slot";

/// Records name no greater age.
inline constexpr Millis MaxRecordAge = std::chrono::hours(1);
/// Messages about slots name no longer time.
inline constexpr Millis MaxSlotTime = std::chrono::hours(1);

struct EndpointLimitMessage
{
    std::vector<EndpointLimitRecord> records;
    bool rejected = false; ///< the endpoint of the only record rejected a request
};

/// Returns one datagram, or several if the records don't fit into one. Thread safe.
std::vector<std::string> encodeEndpointLimits(const EndpointLimitMessage &message, Instant now);
/// \throws nlohmann::json::exception for a malformed message. Thread safe.
EndpointLimitMessage decodeEndpointLimits(const nlohmann::json &message, Instant now);

/// Thread safe, as are the following; the decoding ones throw nlohmann::json::exception for a
/// malformed message.
std::string encodeSlotRequest(const SlotRequest &request, Instant now);
SlotRequest decodeSlotRequest(const nlohmann::json &message, Instant now);
std::string encodeSlotResponse(const SlotResponse &response);
SlotResponse decodeSlotResponse(const nlohmann::json &message);

} // namespace sequoiagate

#endif
