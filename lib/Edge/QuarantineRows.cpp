#include "QuarantineRows.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Base/JsonDepth.h"

namespace sequoiagate {

namespace {

constexpr int RowVersion = 1;
constexpr int HexBase = 16;

std::string rowKey(PartKey part, std::string_view prefix)
{
    return fmt::format("{}{:016x}", prefix, part);
}

std::optional<PartKey> partOf(const std::string &key, std::string_view prefix)
{
    std::string_view text = key;
    text.remove_prefix(std::min(text.size(), prefix.size()));
    PartKey part = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), part, HexBase);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isWhole ? std::optional(part) : std::nullopt;
}

} // namespace

StoreRow encodeQuarantineRow(const Quarantine &quarantine, Instant now, WallTime wallNow,
                             std::string_view prefix)
{
    const auto until = std::chrono::duration_cast<Millis>(wallNow.time_since_epoch()
                                                          + (quarantine.until - now));
    nlohmann::json value = {{"version", RowVersion},
                            {"level", quarantine.level},
                            {"until_ms", until.count()},
                            {"decided_by", quarantine.decidedBy.text()},
                            {"crashed", nlohmann::json::array()}};
    for (const EndpointProcess &process : quarantine.crashed) {
        value["crashed"].push_back({process.endpoint.text(), process.startedAtMillis});
    }
    return {rowKey(quarantine.part, prefix),
            value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0};
}

StoreRow encodeQuarantineRemoval(PartKey part, std::string_view prefix)
{
    return {rowKey(part, prefix), "", 0};
}

std::optional<Quarantine> decodeQuarantineRow(const StoreRow &row, Instant now, WallTime wallNow,
                                              std::string_view prefix)
{
    const std::optional<PartKey> part = partOf(row.key, prefix);
    if (!part || row.value.empty() || isNestedTooDeeply(row.value)) {
        return std::nullopt;
    }
    try {
        const nlohmann::json value = nlohmann::json::parse(row.value);
        Quarantine quarantine;
        quarantine.part = *part;
        quarantine.level = value.at("level").get<uint32_t>();
        const auto wallMillis = std::chrono::duration_cast<Millis>(wallNow.time_since_epoch());
        constexpr auto Longest = std::chrono::duration_cast<Millis>(CrashingParts::MaxQuarantine);
        const Millis until(value.at("until_ms").get<int64_t>());
        quarantine.until = now + (std::clamp(until, Millis(0), wallMillis + Longest) - wallMillis);
        quarantine.decidedBy = HostId(value.at("decided_by").get<std::string>());
        for (const nlohmann::json &process : value.at("crashed")) {
            quarantine.crashed.push_back(
                    {EndpointId(process.at(0).get<std::string>()), process.at(1).get<uint64_t>()});
        }
        return quarantine;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace sequoiagate
