#ifndef SEQUOIAGATE_MEMBERS_MEMBERSHIP_H
#define SEQUOIAGATE_MEMBERS_MEMBERSHIP_H

/// Who is believed live: SWIM-style probes, suspicion and refutation among the
/// hosts, seeded by the host list. Pure; the owner moves the datagrams. Nothing
/// that must always hold rests on what it says.

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct MembershipSettings
{
    Interval probePeriod = std::chrono::milliseconds(500);
    Interval probeTimeout = std::chrono::milliseconds(250);
    Interval suspicionTime = std::chrono::seconds(2);
    uint32_t indirectProbes = 2;
    uint32_t maximumPiggyback = 8; ///< member entries a datagram
    uint64_t seed = 1;
};

/// A datagram to send.
struct GossipSend
{
    std::string address; ///< IP:port, UDP
    wire::GossipMessage message;
};

/// A change of what is believed.
struct MemberChange
{
    wire::MemberEntry member;
    wire::MemberHealth before = wire::MEMBER_DEAD;
};

/// Not thread safe.
class Membership
{
public:
    Membership(wire::MemberEntry self, MembershipSettings settings, Instant now);

    /// Gossip addresses from the host list or the settings, to join through.
    void seed(const std::vector<std::string> &gossipAddresses);
    void onMessage(const wire::GossipMessage &message, Instant now);
    void onTick(Instant now);
    /// This process stops for good and says so.
    void leave(Instant now);
    void setDraining(bool draining);

    std::vector<GossipSend> takeSends();
    std::vector<MemberChange> takeChanges();
    Instant nextDeadline() const;

    const wire::MemberEntry &self() const { return self_; }
    /// All known, self included, in order of host then incarnation.
    std::vector<wire::MemberEntry> members() const;
    bool alive(const Incarnation &incarnation) const;

private:
    wire::MemberEntry self_;
    MembershipSettings settings_;
};

} // namespace sequoiagate

#endif
