#include "sequoiagate/Decisions/PrefixAffinity.h"

#include <algorithm>
#include <cmath>

#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

namespace {

/// Time constant of the rate of a prefix's requests. A prefix with a quarter of the design load is
/// sent 1.5 times per second by each host, and an ordinary one once in minutes. Over a shorter time
/// two requests by chance would give a prefix another home, and over a longer one the homes of a
/// prefix that becomes hot are overloaded until the rate has risen.
constexpr Interval DemandTime = std::chrono::seconds(8);

double decaySince(Instant since, Instant now)
{
    const double elapsed = std::max(secondsOf(now - since), 0.0);
    return std::exp(-elapsed / secondsOf(DemandTime));
}

} // namespace

void PrefixAffinity::addHolder(uint64_t prefix, uint64_t endpoint, Instant seenAt)
{
    std::vector<Holder> &holders = prefixes_[prefix].holders;
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
    if (prefixes_.size() > sweepThreshold_) {
        dropExpired(seenAt);
    }
}

void PrefixAffinity::removeHolder(uint64_t prefix, uint64_t endpoint)
{
    const auto found = prefixes_.find(prefix);
    if (found == prefixes_.end()) {
        return;
    }
    std::erase_if(found->second.holders,
                  [&](const Holder &holder) { return holder.endpoint == endpoint; });
    if (found->second.holders.empty()) {
        prefixes_.erase(found);
    }
}

bool PrefixAffinity::hasHolder(uint64_t prefix, uint64_t endpoint, Instant now) const
{
    const auto found = prefixes_.find(prefix);
    if (found == prefixes_.end()) {
        return false;
    }
    const std::vector<Holder> &holders = found->second.holders;
    return std::any_of(holders.begin(), holders.end(), [&](const Holder &holder) {
        return holder.endpoint == endpoint && now < holder.expiresAt;
    });
}

void PrefixAffinity::recordRequest(uint64_t prefix, Instant now)
{
    Prefix &known = prefixes_[prefix];
    known.recentRequests = known.recentRequests * decaySince(known.countedAt, now) + 1.0;
    known.countedAt = now;
}

double PrefixAffinity::requestsPerSecond(uint64_t prefix, Instant now) const
{
    const auto found = prefixes_.find(prefix);
    if (found == prefixes_.end()) {
        return 0.0;
    }
    const Prefix &known = found->second;
    return known.recentRequests * decaySince(known.countedAt, now) / secondsOf(DemandTime);
}

std::optional<Instant> PrefixAffinity::lastUse(uint64_t prefix, uint64_t endpoint) const
{
    const auto found = prefixes_.find(prefix);
    if (found == prefixes_.end()) {
        return std::nullopt;
    }
    for (const Holder &holder : found->second.holders) {
        if (holder.endpoint == endpoint) {
            return holder.expiresAt - EntryLifetime;
        }
    }
    return std::nullopt;
}

void PrefixAffinity::dropExpired(Instant now)
{
    constexpr std::size_t MinSweepThreshold = 1024;
    for (auto &[hash, prefix] : prefixes_) {
        std::erase_if(prefix.holders,
                      [&](const Holder &holder) { return holder.expiresAt <= now; });
    }
    std::erase_if(prefixes_, [](const auto &entry) { return entry.second.holders.empty(); });
    // Doubling keeps the cost of sweeps at one step a request on average.
    sweepThreshold_ = std::max(2 * prefixes_.size(), MinSweepThreshold);
}

void nearestHomes(uint64_t prefix, const std::vector<HomeCandidate> &candidates, std::size_t count,
                  std::vector<HomeDistance> &nearest)
{
    nearest.clear();
    const auto isNearer = [](const HomeDistance &a, const HomeDistance &b) {
        return a.distance < b.distance;
    };
    constexpr double Unit = 1.0 / 9007199254740992.0; // 2^-53
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const HomeCandidate &candidate = candidates[i];
        const uint64_t mixed = affinityWeight(prefix, candidate.hash);
        const double uniform = (static_cast<double>(mixed >> 11) + 0.5) * Unit;
        const bool isFull = nearest.size() == count;
        // A logarithm takes longer than the rest, and 1 - x is a lower bound of -ln(x).
        if (isFull && (1.0 - uniform) * candidate.inverseWeight >= nearest.back().distance) {
            continue;
        }
        const HomeDistance distance{-std::log(uniform) * candidate.inverseWeight,
                                    static_cast<uint32_t>(i)};
        if (isFull) {
            if (!isNearer(distance, nearest.back())) {
                continue;
            }
            nearest.pop_back();
        }
        nearest.insert(std::upper_bound(nearest.begin(), nearest.end(), distance, isNearer),
                       distance);
    }
}

} // namespace sequoiagate
