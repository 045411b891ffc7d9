#include "EndpointLimitMessage.h"

#include <algorithm>

#include "MessageTime.h"

namespace sequoiagate {

namespace {

/// Records per datagram; some 60 bytes each, so that it isn't fragmented.
constexpr std::size_t MaxRecords = 20;

/// The longest time for which a peer's known limit is taken over.
constexpr Millis MaxKnownLimitTime = std::chrono::minutes(1);

template <typename Number>
nlohmann::json optionalNumber(const std::optional<Number> &number)
{
    return number ? nlohmann::json(*number) : nlohmann::json();
}

template <typename Number>
std::optional<Number> parseOptional(const nlohmann::json &value)
{
    return value.is_null() ? std::nullopt : std::optional(value.get<Number>());
}

nlohmann::json encodeRecord(const EndpointLimitRecord &record, Instant now)
{
    const auto age = std::chrono::duration_cast<Millis>(now - record.observedAt);
    return {record.endpoint.text(), record.startedAtMillis,
            optionalNumber(record.maxRequestsPerSecond),
            optionalNumber(record.maxRejectionsPerSecond), age.count()};
}

EndpointLimitRecord decodeRecord(const nlohmann::json &value, Instant now)
{
    EndpointLimitRecord record;
    record.endpoint = EndpointId(value.at(0).get<std::string>());
    record.startedAtMillis = value.at(1).get<uint64_t>();
    record.maxRequestsPerSecond = parseOptional<double>(value.at(2));
    record.maxRejectionsPerSecond = parseOptional<uint32_t>(value.at(3));
    record.observedAt = now - parseBoundedMillis(value.at(4), MaxRecordAge);
    return record;
}

} // namespace

std::vector<std::string> encodeEndpointLimits(const EndpointLimitMessage &message, Instant now)
{
    std::vector<std::string> datagrams;
    for (std::size_t first = 0; first < message.records.size(); first += MaxRecords) {
        const std::size_t end = std::min(first + MaxRecords, message.records.size());
        nlohmann::json encoded = nlohmann::json::array();
        for (std::size_t i = first; i < end; ++i) {
            encoded.push_back(encodeRecord(message.records[i], now));
        }
        const nlohmann::json datagram = {{"kind", EndpointLimitMessageKind},
                                         {"version", 1},
                                         {"records", std::move(encoded)},
                                         {"rejected", message.rejected}};
        datagrams.push_back(datagram.dump());
    }
    return datagrams;
}

EndpointLimitMessage decodeEndpointLimits(const nlohmann::json &message, Instant now)
{
    EndpointLimitMessage decoded;
    for (const nlohmann::json &value : message.at("records")) {
        decoded.records.push_back(decodeRecord(value, now));
    }
    decoded.rejected = message.value("rejected", false) && decoded.records.size() == 1;
    return decoded;
}

std::string encodeSlotRequest(const SlotRequest &request, Instant now)
{
    const auto maxDelay = std::chrono::duration_cast<Millis>(request.maxDelay);
    nlohmann::json message = {{"kind", SlotRequestMessageKind},
                              {"version", 2},
                              {"id", request.id},
                              {"max_delay_ms", maxDelay.count()},
                              {"record", encodeRecord(request.record, now)}};
    if (request.known) {
        const auto left = std::chrono::duration_cast<Millis>(request.known->until - now);
        message["known"] = {request.known->requestsPerSecond, left.count()};
    }
    return message.dump();
}

SlotRequest decodeSlotRequest(const nlohmann::json &message, Instant now)
{
    SlotRequest request;
    request.id = message.at("id").get<uint64_t>();
    request.maxDelay = parseBoundedMillis(message.at("max_delay_ms"), MaxSlotTime);
    request.record = decodeRecord(message.at("record"), now);
    // Version 1 has no known limits.
    const auto known = message.find("known");
    if (known != message.end()) {
        request.known = KnownLimit{known->at(0).get<double>(),
                                   now + parseBoundedMillis(known->at(1), MaxKnownLimitTime)};
    }
    return request;
}

std::string encodeSlotResponse(const SlotResponse &response)
{
    nlohmann::json delay;
    if (response.delay) {
        delay = std::chrono::duration_cast<Millis>(*response.delay).count();
    }
    const auto retryAfter = std::chrono::duration_cast<Millis>(response.retryAfter);
    return nlohmann::json({{"kind", SlotResponseMessageKind},
                           {"version", 1},
                           {"id", response.id},
                           {"delay_ms", delay},
                           {"retry_after_ms", retryAfter.count()}})
            .dump();
}

SlotResponse decodeSlotResponse(const nlohmann::json &message)
{
    SlotResponse response;
    response.id = message.at("id").get<uint64_t>();
    if (const nlohmann::json &delay = message.at("delay_ms"); !delay.is_null()) {
        response.delay = parseBoundedMillis(delay, MaxSlotTime);
    }
    response.retryAfter = parseBoundedMillis(message.at("retry_after_ms"), MaxSlotTime);
    return response;
}

} // namespace sequoiagate
