#ifndef SEQUOIAGATE_LIB_EDGE_STREAMORIGINMESSAGE_H
#define SEQUOIAGATE_LIB_EDGE_STREAMORIGINMESSAGE_H

/// The datagrams by which hosts tell each other at which software version a stream began.
///
/// Processes of versions before these messages ignore them, and so neither acknowledge records nor
/// respond to queries. Messages of a later version are read as far as their fields are known.

#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Decisions/StreamOrigins.h"

namespace sequoiagate {

inline constexpr const char *StreamRecordMessageKind = "stream";
inline constexpr const char *StreamAckMessageKind = "stream_ack";
inline constexpr const char *OriginQueryMessageKind = "ask_stream";
inline constexpr const char *OriginResponseMessageKind = "stream_origin";

/// The host that sent a message, any of these. Thread safe, as are the following; the decoding ones
/// throw nlohmann::json::exception for a malformed message.
HostId decodeSender(const nlohmann::json &message);

std::string encodeStreamRecord(const HostId &from, const StreamRecord &record);
StreamRecord decodeStreamRecord(const nlohmann::json &message);
std::string encodeStreamAck(const HostId &from, StreamKey key);
StreamKey decodeStreamAck(const nlohmann::json &message);
std::string encodeOriginQuery(const HostId &from, const OriginQuery &query);
OriginQuery decodeOriginQuery(const nlohmann::json &message);
std::string encodeOriginResponse(const HostId &from, const OriginResponse &response);
OriginResponse decodeOriginResponse(const nlohmann::json &message);

} // namespace sequoiagate

#endif
