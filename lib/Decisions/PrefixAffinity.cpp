#include "sequoiagate/Decisions/PrefixAffinity.h"

#include <algorithm>

namespace sequoiagate {

void PrefixAffinity::addHolder(uint64_t prefix, uint64_t endpoint, Instant seenAt)
{
    std::vector<Holder> &holders = holders_[prefix];
    const Instant expiresAt = seenAt + EntryLifetime;
    const auto known = std::find_if(holders.begin(), holders.end(), [&](const Holder &holder) {
        return holder.endpoint == endpoint;
    });
    if (known != holders.end()) {
        known->expiresAt = std::max(known->expiresAt, expiresAt);
        return;
    }
    if (holders.size() >= MaxHolders) {
        const auto oldest = std::min_element(holders.begin(), holders.end(),
                                             [](const Holder &left, const Holder &right) {
                                                 return left.expiresAt < right.expiresAt;
                                             });
        holders.erase(oldest);
    }
    holders.push_back({endpoint, expiresAt});
    if (holders_.size() > sweepThreshold_) {
        dropExpired(seenAt);
    }
}

void PrefixAffinity::removeHolder(uint64_t prefix, uint64_t endpoint)
{
    const auto found = holders_.find(prefix);
    if (found == holders_.end()) {
        return;
    }
    std::erase_if(found->second, [&](const Holder &holder) { return holder.endpoint == endpoint; });
    if (found->second.empty()) {
        holders_.erase(found);
    }
}

bool PrefixAffinity::hasHolder(uint64_t prefix, uint64_t endpoint, Instant now) const
{
    const auto found = holders_.find(prefix);
    if (found == holders_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const Holder &holder) {
        return holder.endpoint == endpoint && now < holder.expiresAt;
    });
}

void PrefixAffinity::dropExpired(Instant now)
{
    constexpr std::size_t MinSweepThreshold = 1024;
    for (auto &[prefix, holders] : holders_) {
        std::erase_if(holders, [&](const Holder &holder) { return holder.expiresAt <= now; });
    }
    std::erase_if(holders_, [](const auto &entry) { return entry.second.empty(); });
    // Doubling keeps the cost of sweeps at one step a request on average.
    sweepThreshold_ = std::max(2 * holders_.size(), MinSweepThreshold);
}

} // namespace sequoiagate
