#include "RequestLossMessage.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "MessageTime.h"

namespace sequoiagate {

namespace {

/// Messages name no greater age.
constexpr Millis MaxAge = std::chrono::hours(24);

constexpr std::pair<RequestScope, std::string_view> ScopeNames[] = {
        {RequestScope::WithPrompt, "prompt"},
        {RequestScope::WithoutPrompt, "plain"},
        {RequestScope::Session, "session"},
};

/// A scope of a later version is read as that of requests which are soon allowed again.
RequestScope scopeOf(std::string_view name)
{
    const auto *const found =
            std::find_if(std::begin(ScopeNames), std::end(ScopeNames),
                         [name](const auto &entry) { return entry.second == name; });
    return found == std::end(ScopeNames) ? RequestScope::WithoutPrompt : found->first;
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

std::string encodeRequestLosses(const char *kind, const RequestLosses &known, Instant now)
{
    const Interval remaining = std::max(known.refusedUntil - now, Interval::zero());
    nlohmann::json message = {
            {"kind", kind},
            {"version", 1},
            {"key", known.key},
            {"service", known.service},
            {"scope", ScopeNames[static_cast<std::size_t>(known.scope)].second},
            {"refusals", known.refusals},
            {"remaining_ms", std::chrono::duration_cast<Millis>(remaining).count()},
            {"parts", known.sharedParts},
            {"lost", nlohmann::json::array()}};
    for (const auto &[process, loss] : known.losses) {
        message["lost"].push_back({process.endpoint.text(), process.startedAtMillis,
                                   ageOf(loss.at, now), ageOf(loss.sentAt, now)});
    }
    if (known.answeredAt) {
        message["answered_age_ms"] = ageOf(*known.answeredAt, now);
    }
    // Names come from the platform and may hold any bytes.
    return message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

RequestLosses decodeRequestLosses(const nlohmann::json &message, Instant now)
{
    RequestLosses known;
    known.key = message.at("key").get<RequestKey>();
    known.service = message.at("service").get<uint64_t>();
    known.scope = scopeOf(message.at("scope").get_ref<const std::string &>());
    known.refusals = message.at("refusals").get<uint32_t>();
    known.refusedUntil =
            now + parseBoundedMillis(message.at("remaining_ms"), CrashingRequests::MaxRefusal);
    const nlohmann::json &parts = message.at("parts");
    for (std::size_t i = 0; i < std::min(parts.size(), CrashingRequests::MaxSharedParts); ++i) {
        known.sharedParts.push_back(parts.at(i).get<PartKey>());
    }
    const nlohmann::json &lost = message.at("lost");
    for (std::size_t i = 0; i < std::min(lost.size(), CrashingRequests::MaxLosses); ++i) {
        const nlohmann::json &loss = lost.at(i);
        const EndpointProcess process{EndpointId(loss.at(0).get<std::string>()),
                                      loss.at(1).get<uint64_t>()};
        known.losses.try_emplace(process,
                                 RequestLoss{timeOf(loss.at(3), now), timeOf(loss.at(2), now)});
    }
    if (const auto age = message.find("answered_age_ms"); age != message.end()) {
        known.answeredAt = timeOf(*age, now);
    }
    return known;
}

} // namespace sequoiagate
