#ifndef SEQUOIAGATE_DECISIONS_REPLICAPLACEMENT_H
#define SEQUOIAGATE_DECISIONS_REPLICAPLACEMENT_H

/// Selects the hosts that keep replicas of a small record, by rendezvous hashing. Pure.
///
/// The writer and the reader of a record are different hosts, each of which leaves out itself and
/// may know a host that the other doesn't, or one that has ended. So the reader asks a few more
/// hosts than the writer sends to. One group of replicas is in the failure domain of the host that
/// asks, for partitions between the domains.

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// A host, and the failure domain that it is in.
struct HostPlace
{
    HostId host;
    DomainId domain;
};

/// The hosts of one failure domain that a record may be replicated to, the preferred first.
using ReplicaCandidates = std::vector<HostId>;

/// Not thread safe.
class ReplicaPlacement
{
public:
    /// Failure domains with replicas; in fewer domains, each has several.
    static constexpr std::size_t MaxDomains = 4;
    /// Hosts that the reader asks in a domain in addition to those that the writer sends to.
    static constexpr std::size_t ExtraReaders = 2;

    explicit ReplicaPlacement(DomainId self) : self_(std::move(self)) {}

    /// Sets the other hosts.
    void setHosts(const std::vector<HostPlace> &others);
    /// Returns the candidates for the record of \p key in each selected failure domain, that of
    /// this host included.
    std::vector<ReplicaCandidates> candidates(uint64_t key) const;
    /// The number of replicas in each failure domain.
    std::size_t replicasPerDomain() const;
    bool isEmpty() const { return domains_.empty(); }

private:
    struct Member
    {
        HostId host;
        uint64_t hash = 0;
    };

    struct Domain
    {
        uint64_t hash = 0;
        std::vector<Member> members;
    };

    DomainId self_;
    std::map<DomainId, Domain> domains_;
};

} // namespace sequoiagate

#endif
