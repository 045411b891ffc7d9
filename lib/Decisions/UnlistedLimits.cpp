#include "sequoiagate/Decisions/UnlistedLimits.h"

namespace sequoiagate {

void UnlistedLimits::keep(const EndpointLimitRecord &record)
{
    const auto [found, added] =
            records_.try_emplace({record.endpoint, record.startedAtMillis}, record);
    if (!added && record.observedAt > found->second.observedAt) {
        found->second = record;
    }
    if (!found->second.hasLimit()) {
        records_.erase(found);
    }
}

std::optional<EndpointLimitRecord> UnlistedLimits::take(const EndpointId &endpoint,
                                                        uint64_t startedAtMillis)
{
    const auto found = records_.find({endpoint, startedAtMillis});
    if (found == records_.end()) {
        return std::nullopt;
    }
    std::optional<EndpointLimitRecord> record = std::move(found->second);
    records_.erase(found);
    return record;
}

void UnlistedLimits::dropExpired(Instant now)
{
    std::erase_if(records_,
                  [now](const auto &entry) { return now >= entry.second.observedAt + Lifetime; });
}

} // namespace sequoiagate
