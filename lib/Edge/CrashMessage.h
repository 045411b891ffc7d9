#ifndef SEQUOIAGATE_LIB_EDGE_CRASHMESSAGE_H
#define SEQUOIAGATE_LIB_EDGE_CRASHMESSAGE_H

/// The datagrams by which hosts find the part of prompts that crashes endpoints.
///
/// Processes of versions before these messages ignore them. Messages of a later version are read as
/// far as their fields are known. Times travel as ages.

#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Decisions/CrashConfirmation.h"
#include "sequoiagate/Decisions/CrashingParts.h"

namespace sequoiagate {

inline constexpr const char *CrashReportMessageKind = "crash";
inline constexpr const char *PartInquiryMessageKind = "ask_part";
inline constexpr const char *InquiryResponseMessageKind = "part_known";
inline constexpr const char *QuarantineMessageKind = "quarantine";
inline constexpr const char *ProbeRequestMessageKind = "probe_endpoint";
inline constexpr const char *ProbeResponseMessageKind = "endpoint_probed";

/// Thread safe, as are the following; the decoding ones throw nlohmann::json::exception for a
/// malformed message.
std::string encodeCrashReport(const CrashReport &report, Instant now);
CrashReport decodeCrashReport(const nlohmann::json &message, Instant now);
std::string encodePartInquiry(const PartInquiry &inquiry, Instant now);
PartInquiry decodePartInquiry(const nlohmann::json &message, Instant now);
std::string encodeInquiryResponse(const InquiryResponse &response, Instant now);
InquiryResponse decodeInquiryResponse(const nlohmann::json &message, Instant now);
std::string encodeQuarantine(const Quarantine &quarantine, Instant now);
Quarantine decodeQuarantine(const nlohmann::json &message, Instant now);

/// Asks another host to probe a process, or is the response of \p from.
struct ProbeMessage
{
    HostId from;
    EndpointProcess process;
    ProbeResult result = ProbeResult::Unknown; ///< not in requests
};

std::string encodeProbeRequest(const ProbeMessage &request);
std::string encodeProbeResponse(const ProbeMessage &response);
/// Decodes both; a result of a later version is read as Unknown.
ProbeMessage decodeProbeMessage(const nlohmann::json &message);

} // namespace sequoiagate

#endif
