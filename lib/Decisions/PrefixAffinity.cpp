#include "sequoiagate/Decisions/PrefixAffinity.h"

#include <algorithm>

namespace sequoiagate {

void PrefixAffinity::learn(uint64_t prefix, uint64_t endpoint, Instant seenAt)
{
    std::vector<Holder> &holders = holders_[prefix];
    const Instant until = seenAt + BeliefLifetime;
    const auto known = std::find_if(holders.begin(), holders.end(),
                                    [&](const Holder &h) { return h.endpoint == endpoint; });
    if (known != holders.end()) {
        known->believedUntil = std::max(known->believedUntil, until);
        return;
    }
    if (holders.size() >= MostHolders) {
        const auto oldest = std::min_element(holders.begin(), holders.end(),
                                             [](const Holder &left, const Holder &right) {
                                                 return left.believedUntil < right.believedUntil;
                                             });
        holders.erase(oldest);
    }
    holders.push_back({endpoint, until});
    if (holders_.size() > sweepAbove_) {
        sweep(seenAt);
    }
}

void PrefixAffinity::forget(uint64_t prefix, uint64_t endpoint)
{
    const auto found = holders_.find(prefix);
    if (found == holders_.end()) {
        return;
    }
    std::erase_if(found->second, [&](const Holder &h) { return h.endpoint == endpoint; });
    if (found->second.empty()) {
        holders_.erase(found);
    }
}

bool PrefixAffinity::believes(uint64_t prefix, uint64_t endpoint, Instant now) const
{
    const auto found = holders_.find(prefix);
    if (found == holders_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const Holder &h) {
        return h.endpoint == endpoint && now < h.believedUntil;
    });
}

void PrefixAffinity::sweep(Instant now)
{
    constexpr std::size_t FewestSwept = 1024;
    for (auto &[prefix, holders] : holders_) {
        std::erase_if(holders, [&](const Holder &h) { return h.believedUntil <= now; });
    }
    std::erase_if(holders_, [](const auto &entry) { return entry.second.empty(); });
    // Doubling keeps the cost of sweeps at a step a request on average.
    sweepAbove_ = std::max(2 * holders_.size(), FewestSwept);
}

} // namespace sequoiagate
