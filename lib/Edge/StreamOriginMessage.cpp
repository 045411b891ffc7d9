#include "StreamOriginMessage.h"

namespace sequoiagate {

namespace {

struct KnowledgeName
{
    VersionKnowledge knowledge;
    const char *name;
};

constexpr KnowledgeName KnowledgeNames[] = {{VersionKnowledge::Unknown, "unknown"},
                                            {VersionKnowledge::Several, "several"},
                                            {VersionKnowledge::Sole, "sole"}};

const char *nameOf(VersionKnowledge knowledge)
{
    for (const KnowledgeName &row : KnowledgeNames) {
        if (row.knowledge == knowledge) {
            return row.name;
        }
    }
    return "";
}

VersionKnowledge knowledgeOf(const std::string &name)
{
    for (const KnowledgeName &row : KnowledgeNames) {
        if (name == row.name) {
            return row.knowledge;
        }
    }
    return VersionKnowledge::Unknown;
}

nlohmann::json messageOf(const char *kind, const HostId &from, StreamKey key)
{
    return {{"kind", kind}, {"version", 1}, {"from", from.text()}, {"key", key}};
}

StreamKey keyOf(const nlohmann::json &message)
{
    return message.at("key").get<StreamKey>();
}

/// Names come from settings and callers and may hold any bytes.
std::string textOf(const nlohmann::json &message)
{
    return message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

HostId decodeSender(const nlohmann::json &message)
{
    return HostId(message.at("from").get<std::string>());
}

std::string encodeStreamRecord(const HostId &from, const StreamRecord &record)
{
    nlohmann::json message = messageOf(StreamRecordMessageKind, from, record.key);
    message["software"] = record.version.text();
    return textOf(message);
}

StreamRecord decodeStreamRecord(const nlohmann::json &message)
{
    return {keyOf(message), SoftwareVersion(message.at("software").get<std::string>())};
}

std::string encodeStreamAck(const HostId &from, StreamKey key)
{
    return textOf(messageOf(StreamAckMessageKind, from, key));
}

StreamKey decodeStreamAck(const nlohmann::json &message)
{
    return keyOf(message);
}

std::string encodeOriginQuery(const HostId &from, const OriginQuery &query)
{
    nlohmann::json message = messageOf(OriginQueryMessageKind, from, query.key);
    message["service"] = query.service.text();
    return textOf(message);
}

OriginQuery decodeOriginQuery(const nlohmann::json &message)
{
    return {keyOf(message), ServiceId(message.at("service").get<std::string>())};
}

std::string encodeOriginResponse(const HostId &from, const OriginResponse &response)
{
    nlohmann::json message = messageOf(OriginResponseMessageKind, from, response.key);
    if (response.recorded) {
        message["software"] = response.recorded->text();
    }
    message["listed"] = nameOf(response.listed.knowledge);
    message["listed_version"] = response.listed.version.text();
    message["listed_recorded"] = response.listed.isRecorded;
    return textOf(message);
}

OriginResponse decodeOriginResponse(const nlohmann::json &message)
{
    OriginResponse response;
    response.key = keyOf(message);
    if (const auto software = message.find("software"); software != message.end()) {
        response.recorded = SoftwareVersion(software->get<std::string>());
    }
    response.listed.knowledge = knowledgeOf(message.at("listed").get<std::string>());
    response.listed.version = SoftwareVersion(message.at("listed_version").get<std::string>());
    // Earlier versions keep no records.
    response.listed.isRecorded = message.value("listed_recorded", false);
    return response;
}

} // namespace sequoiagate
