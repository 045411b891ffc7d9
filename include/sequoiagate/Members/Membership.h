#ifndef SEQUOIAGATE_MEMBERS_MEMBERSHIP_H
#define SEQUOIAGATE_MEMBERS_MEMBERSHIP_H

/// Who is believed live: SWIM-style probes, suspicion and refutation among the
/// hosts, seeded by the host list. Pure; the owner moves the datagrams. Nothing
/// that must always hold rests on what it says.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Members/Dissemination.h"

namespace sequoiagate {

struct MembershipSettings
{
    Interval probePeriod = std::chrono::milliseconds(500);
    Interval probeTimeout = std::chrono::milliseconds(250);
    Interval suspicionTime = std::chrono::seconds(2);
    uint32_t indirectProbes = 3;   ///< at 5% loss a fifth of the false suspicions of 2
    uint32_t maximumPiggyback = 8; ///< member entries a datagram
    uint64_t seed = 1;
    /// How often one member believed dead, and one seed, is probed nevertheless, so
    /// that the two sides of a long partition find each other again.
    Interval deadProbePeriod = std::chrono::seconds(5);
    /// How long a dead member is remembered; longer than partitions are expected to
    /// last, since the forgotten are found through the seeds only.
    Interval deadMemory = std::chrono::hours(24);
    /// How long a member that left, or whose host runs again under another
    /// incarnation, is remembered, so that late gossip doesn't bring it back.
    Interval leftMemory = std::chrono::minutes(10);
    /// How often the whole list is asked of some peer: what gossip missed is known by
    /// then. The first time comes soon after the start.
    Interval fullExchangePeriod = std::chrono::seconds(60);
    /// How often at most the whole list goes to and fro with a member that was
    /// believed dead and answers, after a partition.
    Interval healExchangePeriod = std::chrono::seconds(30);
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

/// Not thread safe. \pre `now` never goes back.
class Membership
{
public:
    /// \pre self names host, incarnation, domain, address and gossip_address.
    /// \throws SettingsError, StatechartError if the membership chart can't be read.
    Membership(wire::MemberEntry self, MembershipSettings settings, Instant now);

    /// Gossip addresses from the host list or the settings, to join through. They
    /// replace those given before; one's own is left out.
    void seed(const std::vector<std::string> &gossipAddresses);
    /// A datagram came in. Whatever it holds is harmless, also doubled or late.
    void onMessage(const wire::GossipMessage &message, Instant now);
    /// Call at nextDeadline, or more often.
    void onTick(Instant now);
    /// This process stops for good and says so to some peers, who spread it.
    void leave(Instant now);
    void setDraining(bool draining);

    std::vector<GossipSend> takeSends();
    /// Changes of health, and of draining, in the order in which they were believed.
    std::vector<MemberChange> takeChanges();
    Instant nextDeadline() const;

    const wire::MemberEntry &self() const { return self_; }
    /// All known, self included, in order of host then incarnation.
    std::vector<wire::MemberEntry> members() const;
    /// Whether \p incarnation is believed live. A suspect still is: most suspicions
    /// are refuted, and moving its keys for a lost datagram would cost more than
    /// the two seconds that a real death waits.
    bool alive(const Incarnation &incarnation) const;

private:
    struct Member
    {
        wire::MemberEntry entry;
        Instant suspicionDeadline = Never; ///< declared dead then, unless refuted
        Instant forgetDeadline = Never;
        Instant announceDeadline = Never; ///< spread with its addresses until then
        bool suspectedHere = false;       ///< this process' own probe failed
    };
    struct Probe
    {
        uint64_t number = 0;
        Incarnation target;
        Instant indirectDeadline = Never; ///< others are asked to probe it then
        Instant failDeadline = Never;
    };
    /// A probe on behalf of somebody whose own one was not answered.
    struct Relay
    {
        uint64_t number = 0;
        uint64_t requesterNumber = 0;
        std::string requesterAddress;
        Incarnation target;
        Instant deadline = Never;
    };

    Member *find(const Incarnation &incarnation);
    void learn(const wire::MemberEntry &entry, Instant now);
    void add(const wire::MemberEntry &entry, Instant now);
    void refute(const wire::MemberEntry &rumour);
    void merge(Member &member, const wire::MemberEntry &entry, Instant now);
    void doubt(const Member &member, const wire::MemberEntry &rumour, Instant now);
    void handle(Member &member, const char *event, Instant now);
    void spread(const Member &member);
    void declareReplaced(const wire::MemberEntry &sender, Instant now);
    bool hostRunsOtherwise(const wire::MemberEntry &entry) const;

    void onAcknowledge(const wire::GossipMessage &message);
    void onProbe(const wire::GossipMessage &message, Instant now);
    void sendAllMembers(const std::string &address, const Incarnation &target);
    void sendJoin(const wire::MemberEntry &peer, Instant now);
    void askSomebodyForAll(Instant now);
    void askAllMembers(const wire::MemberEntry &peer, Instant now);

    void expireProbes(Instant now);
    void expireMembers(Instant now);
    void forgiveOwnPause(Instant now);
    void probeNext(Instant now);
    void probeSuspects(Instant now);
    void probeLost(Instant now);
    void probeSeed(Instant now);
    /// Probes \p target and judges it by the answer. \p rumour: what is said of it, to
    /// be refuted by it; nullptr: nothing.
    void startProbe(const Incarnation &target, const wire::MemberEntry *rumour, Instant now);
    void askOthersToProbe(const Probe &probe, Instant now);
    Incarnation nextTarget();
    std::vector<Incarnation> pickPeers(std::size_t count, const Incarnation &except);
    uint64_t randomBelow(uint64_t bound);

    wire::GossipMessage compose(const Incarnation &target, Instant now);
    void addAntiEntropy(wire::GossipMessage &message);
    void sendProbe(const std::string &address, const Incarnation &target, uint64_t number,
                   Instant now);

    wire::MemberEntry self_;
    MembershipSettings settings_;
    std::mt19937_64 random_;
    std::vector<std::string> seeds_;
    std::map<Incarnation, Member> members_; ///< self not among them
    Dissemination dissemination_;
    std::vector<Incarnation> probeOrder_; ///< shuffled anew after each round
    std::size_t probePosition_ = 0;
    Incarnation antiEntropyPosition_;
    std::vector<Probe> probes_;
    std::vector<Relay> relays_;
    uint64_t lastNumber_ = 0;
    uint32_t joinAnswers_ = 0;
    int fullExchanges_ = 0;
    Instant nextProbe_;
    Instant nextLostProbe_;
    Instant nextFullExchange_;
    Instant nextHealExchange_;
    std::vector<GossipSend> sends_;
    std::vector<MemberChange> changes_;
};

} // namespace sequoiagate

#endif
