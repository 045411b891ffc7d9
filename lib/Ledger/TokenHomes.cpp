#include "sequoiagate/Ledger/TokenHomes.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// Minimum number of homes in a failure domain; with fewer hosts, all of them are homes.
constexpr std::size_t MinHomes = 4;

/// Hosts per home in a failure domain with more than `MinHomes` homes.
constexpr std::size_t HostsPerHome = 8;

/// Rendezvous key that ranks the hosts of a failure domain; the first ones are homes.
constexpr std::string_view HomeOrderKey = "token homes";

std::vector<HostId> selectHomes(std::vector<HostId> hosts)
{
    const auto before = [](const HostId &a, const HostId &b) {
        return std::pair(rendezvousWeight(HomeOrderKey, b.text()), a.text())
               < std::pair(rendezvousWeight(HomeOrderKey, a.text()), b.text());
    };
    std::sort(hosts.begin(), hosts.end(), before);
    hosts.resize(TokenHomes::homeCount(hosts.size()));
    return hosts;
}

} // namespace

std::size_t TokenHomes::homeCount(std::size_t hosts)
{
    const std::size_t byHosts = (hosts + HostsPerHome - 1) / HostsPerHome;
    return std::max(std::min(hosts, MinHomes), byHosts);
}

void TokenHomes::setHosts(const std::vector<HostLocation> &hosts)
{
    std::map<DomainId, std::vector<HostId>> domains;
    for (const HostLocation &location : hosts) {
        domains[location.domain].push_back(location.host);
    }
    homes_.clear();
    for (auto &[domain, members] : domains) {
        homes_[domain] = selectHomes(std::move(members));
    }
}

std::vector<HostLocation> TokenHomes::homesOf(const WorkspaceId &workspace) const
{
    std::vector<HostLocation> homes;
    for (const auto &[domain, members] : homes_) {
        std::vector<std::string_view> names;
        names.reserve(members.size());
        for (const HostId &member : members) {
            names.emplace_back(member.text());
        }
        homes.push_back({members[rendezvousChoice(workspace.text(), names)], domain});
    }
    return homes;
}

} // namespace sequoiagate
