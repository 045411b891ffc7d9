#ifndef SEQUOIAGATE_MEMBERS_MEMBERSHIP_H
#define SEQUOIAGATE_MEMBERS_MEMBERSHIP_H

/// SWIM-style membership: failure detection among the hosts by probes, suspicion and
/// refutation, seeded by the host list. Does no I/O; the owner sends and receives the
/// datagrams. No safety property depends on its results.

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
    uint32_t indirectProbes = 3;        ///< at 5% loss, a fifth of the false suspicions seen with 2
    uint32_t maxPiggybackedEntries = 8; ///< member entries per datagram
    uint64_t seed = 1;
    /// How often one dead member and one seed are probed, so that the two sides of a
    /// long partition find each other again.
    Interval deadProbePeriod = std::chrono::seconds(5);
    /// How long the entry of a dead member is kept. Longer than partitions are expected
    /// to last, since removed members can be found only through the seeds.
    Interval deadRetention = std::chrono::hours(24);
    /// How long the entry of a member that left, or whose host runs under another
    /// incarnation, is kept, so that late gossip doesn't add it again.
    Interval leftRetention = std::chrono::minutes(10);
    /// How often the full member list is requested from a random peer. Limits how long
    /// a change that gossip missed stays unknown. The first request follows soon after
    /// the start.
    Interval fullExchangePeriod = std::chrono::seconds(60);
    /// Minimum time between exchanges of full member lists with members that were
    /// declared dead and respond again after a partition.
    Interval minHealExchangeInterval = std::chrono::seconds(30);
};

/// A gossip message to send, with its destination.
struct OutgoingGossip
{
    std::string address; ///< IP:port, UDP
    wire::GossipMessage message;
};

/// A change of a member's health or draining state.
struct MemberChange
{
    wire::MemberEntry member;
    wire::MemberHealth before = wire::MEMBER_DEAD;
};

/// Not thread safe. \pre `now` never decreases.
class Membership
{
public:
    /// \pre self has host, incarnation, domain, address and gossip_address set.
    /// \throws SettingsError, StatechartError if the membership chart can't be read.
    Membership(wire::MemberEntry self, MembershipSettings settings, Instant now);

    /// Sets the gossip addresses to join through, from the host list or the settings.
    /// They replace those set before; the own address is ignored.
    void seed(const std::vector<std::string> &gossipAddresses);
    /// Processes a received datagram. Duplicate, late and malformed messages are harmless.
    void onMessage(const wire::GossipMessage &message, Instant now);
    /// Sends probes and handles timeouts. Call at nextDeadline, or more often.
    void onTick(Instant now);
    /// Announces to some peers, which disseminate it, that this process terminates.
    void leave(Instant now);
    void setDraining(bool draining);

    std::vector<OutgoingGossip> takeOutgoing();
    /// Returns the changes of health and draining since the last call, in order.
    std::vector<MemberChange> takeChanges();
    Instant nextDeadline() const;

    const wire::MemberEntry &self() const { return self_; }
    /// Returns all known members including self, sorted by host, then incarnation.
    std::vector<wire::MemberEntry> members() const;
    /// Returns whether \p incarnation is presumed alive. This includes suspects: most
    /// suspicions are refuted. Moving the keys that rendezvous hashing assigns to a
    /// member, because of a lost datagram, would cost more than detecting a real failure
    /// two seconds later.
    bool alive(const Incarnation &incarnation) const;

private:
    struct Member
    {
        wire::MemberEntry entry;
        Instant suspicionDeadline = Never; ///< when it is declared dead, unless refuted
        Instant forgetDeadline = Never;
        Instant announceDeadline = Never; ///< until then, gossip includes its addresses
        bool suspectedLocally = false;    ///< a probe by this process failed
    };
    struct Probe
    {
        uint64_t number = 0;
        Incarnation target;
        Instant indirectDeadline = Never; ///< when indirect probes are requested
        Instant failDeadline = Never;
    };
    /// An indirect probe, sent for a member whose direct probe got no response.
    struct RelayedProbe
    {
        uint64_t number = 0;
        uint64_t requesterNumber = 0;
        std::string requesterAddress;
        Incarnation target;
        Instant deadline = Never;
    };

    Member *find(const Incarnation &incarnation);
    void applyEntry(const wire::MemberEntry &entry, Instant now);
    void add(const wire::MemberEntry &entry, Instant now);
    void refute(const wire::MemberEntry &report);
    void merge(Member &member, const wire::MemberEntry &entry, Instant now);
    void verifyReportedDeath(const Member &member, const wire::MemberEntry &report, Instant now);
    void applyHealthEvent(Member &member, const char *event, Instant now);
    void disseminate(const Member &member);
    void declareReplaced(const wire::MemberEntry &sender, Instant now);
    bool hostHasOtherLiveIncarnation(const wire::MemberEntry &entry) const;

    void onAcknowledge(const wire::GossipMessage &message);
    void onProbe(const wire::GossipMessage &message, Instant now);
    void sendAllMembers(const std::string &address, const Incarnation &target);
    void sendJoin(const wire::MemberEntry &peer, Instant now);
    void requestFullList(Instant now);
    void exchangeFullLists(const wire::MemberEntry &peer, Instant now);

    void expireProbes(Instant now);
    void expireMembers(Instant now);
    void resetDeadlinesAfterPause(Instant now);
    void probeNext(Instant now);
    void probeSuspects(Instant now);
    void probeDeadAndSeed(Instant now);
    void probeSeed(Instant now);
    /// Probes \p target, which becomes suspect if no response arrives. \p report: an
    /// entry about the target that is sent along so that it can refute it, or nullptr.
    void startProbe(const Incarnation &target, const wire::MemberEntry *report, Instant now);
    void requestIndirectProbes(const Probe &probe, Instant now);
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
    std::map<Incarnation, Member> members_; ///< without self
    Dissemination dissemination_;
    std::vector<Incarnation> probeOrder_; ///< reshuffled after each round
    std::size_t probePosition_ = 0;
    Incarnation antiEntropyPosition_;
    std::vector<Probe> probes_;
    std::vector<RelayedProbe> relayedProbes_;
    uint64_t lastProbeNumber_ = 0;
    uint32_t joinResponses_ = 0;
    int fullExchanges_ = 0;
    Instant nextProbe_;
    Instant nextDeadProbe_;
    Instant nextFullExchange_;
    Instant nextHealExchange_;
    std::vector<OutgoingGossip> outgoing_;
    std::vector<MemberChange> changes_;
};

} // namespace sequoiagate

#endif
