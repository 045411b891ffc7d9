#ifndef SEQUOIAGATE_KEEPER_KEEPERVIEW_H
#define SEQUOIAGATE_KEEPER_KEEPERVIEW_H

/// What a keeper believes of the other hosts and of the endpoints, and hands to
/// the routers of its domain. Nothing that must always hold rests on it.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class KeeperView
{
public:
    /// \p self is counted as live always.
    KeeperView(wire::MemberEntry self, Interval suspectGrace);

    /// What membership says now; it leaves out hosts that it has forgotten.
    void setMembers(std::vector<wire::MemberEntry> members, Instant now);
    void setDraining();
    /// Takes an observation if it is the newest of its endpoint. \returns whether it was.
    bool observe(const wire::EndpointObservation &observation);

    /// Rises with every change that routers should hear of.
    uint64_t serial() const { return serial_; }
    const wire::MemberEntry &self() const { return self_; }
    const std::vector<wire::MemberEntry> &members() const { return members_; }
    std::vector<wire::EndpointObservation> endpoints() const;
    /// The keepers of this failure domain believed live, self included.
    std::vector<wire::KeeperEntry> domainKeepers() const;
    /// Keepers on other hosts that may witness a grant of \p workspace, best first: those
    /// of the same domain, so that a domain cut off from the rest goes on getting windows.
    std::vector<Incarnation> witnessesFor(const WorkspaceId &workspace) const;
    /// Whether \p incarnation is dead, has left, or has been unknown for the grace.
    /// Starts the grace for one that was never heard of.
    bool suspected(const Incarnation &incarnation, Instant now);
    /// Whether this keeper is the rendezvous choice for \p key among the live ones of
    /// \p domain, or of all if \p domain is empty or has none.
    bool chosen(const std::string &key, const DomainId &domain) const;
    /// nullptr: unknown.
    const wire::MemberEntry *member(const Incarnation &incarnation) const;

private:
    bool live(const wire::MemberEntry &member) const;

    wire::MemberEntry self_;
    Interval suspectGrace_;
    std::vector<wire::MemberEntry> members_;
    std::unordered_map<Incarnation, Instant> suspectAt_; ///< deadlines of the unknown
    std::unordered_map<EndpointId, wire::EndpointObservation> endpoints_;
    uint64_t serial_ = 1;
};

} // namespace sequoiagate

#endif
