#ifndef SEQUOIAGATE_LEDGER_TOKENHOMES_H
#define SEQUOIAGATE_LEDGER_TOKENHOMES_H

/// Selects the hosts that hold a workspace's tokens for the others.
///
/// The store appends the batches of a topic one after another. If every host were a home of some
/// workspace, each would write several times a second, and from some hundred hosts on claims would
/// queue for longer than requests wait. So the homes of all workspaces are chosen from a few hosts
/// in each failure domain, and other hosts claim tokens only if homes can't serve a request.

#include <cstddef>
#include <map>
#include <vector>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// A host and its failure domain.
struct HostLocation
{
    HostId host;
    DomainId domain;
};

/// Chooses homes by rendezvous hashing: processes that know the same hosts choose the same homes,
/// and adding or removing a host moves few workspaces. Not thread safe.
class TokenHomes
{
public:
    /// Replaces the hosts to choose from.
    void setHosts(const std::vector<HostLocation> &hosts);
    /// The homes of \p workspace, one per failure domain with hosts, ordered by failure domain.
    std::vector<HostLocation> homesOf(const WorkspaceId &workspace) const;

    /// The number of homes in a failure domain with \p hosts hosts.
    static std::size_t homeCount(std::size_t hosts);

private:
    std::map<DomainId, std::vector<HostId>> homes_; ///< of all workspaces
};

} // namespace sequoiagate

#endif
