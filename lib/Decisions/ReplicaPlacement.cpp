#include "sequoiagate/Decisions/ReplicaPlacement.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Decisions/PrefixAffinity.h"

namespace sequoiagate {

void ReplicaPlacement::setHosts(const std::vector<HostPlace> &others)
{
    domains_.clear();
    for (const HostPlace &place : others) {
        Domain &domain = domains_[place.domain];
        domain.hash = stableHash(place.domain.text());
        domain.members.push_back({place.host, stableHash(place.host.text())});
    }
}

std::size_t ReplicaPlacement::replicasPerDomain() const
{
    return std::max<std::size_t>(1, MaxDomains / std::max<std::size_t>(1, domains_.size()));
}

std::vector<ReplicaCandidates> ReplicaPlacement::candidates(uint64_t key) const
{
    std::vector<std::pair<uint64_t, const Domain *>> order;
    order.reserve(domains_.size());
    for (const auto &[name, domain] : domains_) {
        const uint64_t weight = name == self_ ? std::numeric_limits<uint64_t>::max()
                                              : affinityWeight(key, domain.hash);
        order.emplace_back(weight, &domain);
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    order.resize(std::min(order.size(), MaxDomains));
    const std::size_t count = replicasPerDomain() + ExtraReaders;
    std::vector<ReplicaCandidates> candidates;
    for (const auto &[weight, domain] : order) {
        std::vector<std::pair<uint64_t, const Member *>> members;
        members.reserve(domain->members.size());
        for (const Member &member : domain->members) {
            members.emplace_back(affinityWeight(key, member.hash), &member);
        }
        const std::size_t kept = std::min(count, members.size());
        std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(kept),
                          members.end(), std::greater<>());
        ReplicaCandidates &hosts = candidates.emplace_back();
        for (std::size_t i = 0; i < kept; ++i) {
            hosts.push_back(members[i].second->host);
        }
    }
    return candidates;
}

} // namespace sequoiagate
