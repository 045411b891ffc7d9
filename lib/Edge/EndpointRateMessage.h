#ifndef SEQUOIAGATE_LIB_EDGE_ENDPOINTRATEMESSAGE_H
#define SEQUOIAGATE_LIB_EDGE_ENDPOINTRATEMESSAGE_H

/// The datagrams by which hosts share how fast endpoints work.
///
/// {"kind": "endpoint_rates", "version": 1, "from": host, "load": the sender's requests in ten
/// seconds, "own": records, "rates": records},
/// where "own" are measurements of the sender, and a record is [process, prefill percent, decode
/// percent, samples, age in tenths of seconds], and 0 percent is a factor that isn't known. Ages
/// are rounded up, so that a record doesn't become newer on its way. Processes of versions before
/// this message ignore it.

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Decisions/EndpointRates.h"

namespace sequoiagate {

inline constexpr const char *EndpointRateMessageKind = "endpoint_rates";

/// Datagrams are no larger, so that networks don't fragment them.
inline constexpr std::size_t MaxEndpointRateBytes = 1200;

/// Records name no greater age.
inline constexpr Millis MaxRateAge = std::chrono::minutes(1);

struct EndpointRateMessage
{
    HostId from;
    std::vector<SharedRate> measurements; ///< for a collector
    std::vector<SharedRate> rates;        ///< as published
    std::size_t dropped = 0;              ///< invalid records, or 1 if the whole message is
    std::string fault;                    ///< of the last one dropped
    /// Requests that the sender sends per second; nullopt if it doesn't say so.
    std::optional<double> requestsPerSecond;
};

/// Returns one datagram, or several if the records don't fit into one. Thread safe.
std::vector<std::string> encodeEndpointRates(const EndpointRateMessage &message, Instant now);
/// Drops what is invalid.
/// \throws nlohmann::json::exception if the message names no version or sender. Thread safe.
EndpointRateMessage decodeEndpointRates(const nlohmann::json &message, Instant now);

} // namespace sequoiagate

#endif
