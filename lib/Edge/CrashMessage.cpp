#include "CrashMessage.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "MessageTime.h"

namespace sequoiagate {

namespace {

/// Messages name no greater age.
constexpr Millis MaxAge = std::chrono::hours(1);

/// What reports without an age of their requests are read as.
constexpr std::size_t OldestAgeClass = OutcomeCounts::AgeClasses - 1;

nlohmann::json messageOf(const char *kind)
{
    return {{"kind", kind}, {"version", 1}};
}

/// Names come from the platform and may hold any bytes.
std::string textOf(const nlohmann::json &message)
{
    return message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Adds the endpoints to \p message, no more than fit into a datagram, and the starts of their
/// processes, which earlier versions ignore.
void addCrashed(nlohmann::json &message, const std::vector<EndpointProcess> &crashed)
{
    message["crashed"] = nlohmann::json::array();
    message["started_at"] = nlohmann::json::array();
    const std::size_t count = std::min(crashed.size(), CrashingParts::MaxNamedEndpoints);
    for (std::size_t i = 0; i < count; ++i) {
        message["crashed"].push_back(crashed[i].endpoint.text());
        message["started_at"].push_back(crashed[i].startedAtMillis);
    }
}

std::vector<EndpointProcess> crashedOf(const nlohmann::json &message)
{
    const nlohmann::json &names = message.at("crashed");
    const nlohmann::json starts = message.value("started_at", nlohmann::json::array());
    std::vector<EndpointProcess> crashed;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const uint64_t start = i < starts.size() ? starts.at(i).get<uint64_t>() : 0;
        crashed.push_back({EndpointId(names.at(i).get<std::string>()), start});
    }
    return crashed;
}

OutcomeCounts outcomesOf(const nlohmann::json &message)
{
    OutcomeCounts outcomes;
    outcomes.written = message.value("written", uint64_t{0});
    const auto lost = message.find("lost");
    const std::size_t classes = lost == message.end() ? 0 : lost->size();
    for (std::size_t i = 0; i < std::min(classes, OutcomeCounts::AgeClasses); ++i) {
        outcomes.lost.at(i) = lost->at(i).get<uint64_t>();
    }
    return outcomes;
}

nlohmann::json probeMessage(const char *kind, const ProbeMessage &probe)
{
    nlohmann::json message = messageOf(kind);
    message["from"] = probe.from.text();
    message["endpoint"] = probe.process.endpoint.text();
    message["started_at"] = probe.process.startedAtMillis;
    return message;
}

constexpr std::pair<ProbeResult, std::string_view> ProbeResultNames[] = {
        {ProbeResult::Unknown, "unknown"},
        {ProbeResult::Listens, "listens"},
        {ProbeResult::Ended, "ended"},
};

std::string_view resultName(ProbeResult result)
{
    return ProbeResultNames[static_cast<std::size_t>(result)].second;
}

ProbeResult resultOf(std::string_view name)
{
    const auto *const found =
            std::find_if(std::begin(ProbeResultNames), std::end(ProbeResultNames),
                         [name](const auto &entry) { return entry.second == name; });
    return found == std::end(ProbeResultNames) ? ProbeResult::Unknown : found->first;
}

int64_t ageOf(Instant at, Instant now)
{
    return std::chrono::duration_cast<Millis>(now - at).count();
}

Instant timeOf(const nlohmann::json &age, Instant now)
{
    return now - parseBoundedMillis(age, MaxAge);
}

} // namespace

std::string encodeCrashReport(const CrashReport &report, Instant now)
{
    nlohmann::json message = messageOf(CrashReportMessageKind);
    message["service"] = report.service;
    message["endpoint"] = report.process.endpoint.text();
    message["started_at"] = report.process.startedAtMillis;
    message["age_ms"] = ageOf(report.at, now);
    message["parts"] = nlohmann::json::array();
    for (const SuspectPart &part : report.parts) {
        message["parts"].push_back({part.key, part.depth, part.ageClass});
    }
    return textOf(message);
}

CrashReport decodeCrashReport(const nlohmann::json &message, Instant now)
{
    CrashReport report;
    report.service = message.at("service").get<uint64_t>();
    report.process = {EndpointId(message.at("endpoint").get<std::string>()),
                      message.value("started_at", uint64_t{0})};
    report.at = timeOf(message.at("age_ms"), now);
    for (const nlohmann::json &part : message.at("parts")) {
        const std::size_t age = part.size() > 2 ? part.at(2).get<std::size_t>() : OldestAgeClass;
        report.parts.push_back({part.at(0).get<PartKey>(), part.at(1).get<uint32_t>(),
                                std::min(age, OldestAgeClass)});
    }
    return report;
}

std::string encodePartInquiry(const PartInquiry &inquiry, Instant now)
{
    nlohmann::json message = messageOf(PartInquiryMessageKind);
    message["part"] = inquiry.part;
    message["service"] = inquiry.service;
    message["age_ms"] = ageOf(inquiry.since, now);
    return textOf(message);
}

PartInquiry decodePartInquiry(const nlohmann::json &message, Instant now)
{
    return {message.at("part").get<PartKey>(), message.at("service").get<uint64_t>(),
            timeOf(message.at("age_ms"), now)};
}

std::string encodeInquiryResponse(const InquiryResponse &response, Instant now)
{
    nlohmann::json message = messageOf(InquiryResponseMessageKind);
    message["part"] = response.part;
    message["service"] = response.service;
    if (response.servedAt) {
        message["served_age_ms"] = ageOf(*response.servedAt, now);
    }
    addCrashed(message, response.crashed);
    message["written"] = response.outcomes.written;
    message["lost"] = response.outcomes.lost;
    return textOf(message);
}

InquiryResponse decodeInquiryResponse(const nlohmann::json &message, Instant now)
{
    InquiryResponse response;
    response.part = message.at("part").get<PartKey>();
    response.service = message.at("service").get<uint64_t>();
    if (const auto age = message.find("served_age_ms"); age != message.end()) {
        response.servedAt = timeOf(*age, now);
    }
    response.crashed = crashedOf(message);
    response.outcomes = outcomesOf(message);
    return response;
}

std::string encodeQuarantine(const Quarantine &quarantine, Instant now)
{
    nlohmann::json message = messageOf(QuarantineMessageKind);
    message["part"] = quarantine.part;
    message["level"] = quarantine.level;
    message["remaining_ms"] = std::chrono::duration_cast<Millis>(quarantine.until - now).count();
    message["decided_by"] = quarantine.decidedBy.text();
    addCrashed(message, quarantine.crashed);
    return textOf(message);
}

Quarantine decodeQuarantine(const nlohmann::json &message, Instant now)
{
    Quarantine quarantine;
    quarantine.part = message.at("part").get<PartKey>();
    quarantine.level = message.at("level").get<uint32_t>();
    quarantine.until =
            now + parseBoundedMillis(message.at("remaining_ms"), CrashingParts::MaxQuarantine);
    quarantine.decidedBy = HostId(message.at("decided_by").get<std::string>());
    quarantine.crashed = crashedOf(message);
    return quarantine;
}

std::string encodeProbeRequest(const ProbeMessage &request)
{
    return textOf(probeMessage(ProbeRequestMessageKind, request));
}

std::string encodeProbeResponse(const ProbeMessage &response)
{
    nlohmann::json message = probeMessage(ProbeResponseMessageKind, response);
    message["result"] = resultName(response.result);
    return textOf(message);
}

ProbeMessage decodeProbeMessage(const nlohmann::json &message)
{
    return {HostId(message.at("from").get<std::string>()),
            {EndpointId(message.at("endpoint").get<std::string>()),
             message.at("started_at").get<uint64_t>()},
            resultOf(message.value("result", ""))};
}

} // namespace sequoiagate
