#include "sequoiagate/Decisions/RelaySelector.h"

#include <algorithm>

namespace sequoiagate {

void RelaySelector::setHosts(std::vector<HostId> hosts)
{
    hosts_ = std::move(hosts);
    std::erase_if(pausedUntil_, [this](const auto &paused) {
        return std::find(hosts_.begin(), hosts_.end(), paused.first) == hosts_.end();
    });
}

std::optional<HostId> RelaySelector::select(const Filter &mayRelay, Instant now)
{
    if (now < isolatedUntil_) {
        return std::nullopt;
    }
    std::vector<const HostId *> usable;
    for (const HostId &host : hosts_) {
        const auto paused = pausedUntil_.find(host);
        const bool isPaused = paused != pausedUntil_.end() && now < paused->second;
        if (!isPaused && mayRelay(host)) {
            usable.push_back(&host);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return *usable[random_() % usable.size()];
}

void RelaySelector::onRefused(const HostId &host, Instant now)
{
    unreachableInARow_ = 0;
    pausedUntil_[host] = now + FailurePause;
}

void RelaySelector::onUnreachable(const HostId &host, Instant now)
{
    pausedUntil_[host] = now + FailurePause;
    if (++unreachableInARow_ >= MaxUnreachableInARow) {
        isolatedUntil_ = now + IsolationPause;
    }
}

} // namespace sequoiagate
