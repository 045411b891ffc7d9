/// Membership: responses to messages, and composition of datagrams.

#include <algorithm>
#include <utility>

#include "Members/Entries.h"
#include "sequoiagate/Members/Membership.h"

namespace sequoiagate {

namespace {

/// Number of acknowledgements after which probes stop requesting the full member list.
/// More than one, since part of a list may be lost.
constexpr uint32_t RequiredJoinResponses = 2;

} // namespace

void Membership::onAcknowledge(const wire::GossipMessage &message)
{
    if (joinResponses_ < RequiredJoinResponses) {
        ++joinResponses_;
    }
    // The response to an indirect probe names the probed member.
    const Incarnation probed(message.indirect_target().empty() ? message.from().incarnation()
                                                               : message.indirect_target());
    std::erase_if(probes_, [&](const Probe &probe) {
        return probe.number == message.probe() && probe.target == probed;
    });
    for (const RelayedProbe &relayed : relayedProbes_) {
        if (relayed.number != message.probe() || relayed.target != probed) {
            continue;
        }
        wire::GossipMessage response;
        *response.mutable_from() = self_;
        *response.add_members() = message.from();
        response.set_probe(relayed.requesterNumber);
        response.set_acknowledge(true);
        response.set_indirect_target(probed.text());
        outgoing_.push_back({relayed.requesterAddress, std::move(response)});
    }
    std::erase_if(relayedProbes_,
                  [&](const RelayedProbe &relayed) { return relayed.number == message.probe(); });
}

void Membership::onProbe(const wire::GossipMessage &message, Instant now)
{
    const std::string &senderAddress = message.from().gossip_address();
    const Incarnation sender = incarnationOf(message.from());
    if (!message.indirect_target().empty()) {
        const Incarnation target(message.indirect_target());
        const Member *member = find(target);
        if (member == nullptr) {
            return;
        }
        const uint64_t number = ++lastProbeNumber_;
        relayedProbes_.push_back(
                {number, message.probe(), senderAddress, target, now + settings_.probePeriod});
        sendProbe(member->entry.gossip_address(), target, number, now);
        return;
    }
    wire::GossipMessage response = compose(sender, now);
    response.set_probe(message.probe());
    response.set_acknowledge(true);
    outgoing_.push_back({senderAddress, std::move(response)});
    if (message.join()) {
        sendAllMembers(senderAddress, sender);
    }
}

void Membership::sendAllMembers(const std::string &address, const Incarnation &target)
{
    wire::GossipMessage message;
    const auto flush = [&] {
        *message.mutable_from() = self_;
        outgoing_.push_back({address, std::exchange(message, {})});
    };
    for (const auto &[incarnation, member] : members_) {
        if (incarnation == target) {
            continue;
        }
        *message.add_members() = member.entry;
        if (static_cast<uint32_t>(message.members_size()) >= settings_.maxPiggybackedEntries) {
            flush();
        }
    }
    if (message.members_size() > 0) {
        flush();
    }
}

/// Called when a dead member responds: a partition has healed, and that member knows
/// the state of the others on its side. The rate is limited, since the full lists are
/// exchanged.
void Membership::exchangeFullLists(const wire::MemberEntry &peer, Instant now)
{
    if (now < nextHealExchange_) {
        return;
    }
    nextHealExchange_ = now + settings_.minHealExchangeInterval;
    sendJoin(peer, now);
    sendAllMembers(peer.gossip_address(), incarnationOf(peer));
}

void Membership::sendJoin(const wire::MemberEntry &peer, Instant now)
{
    wire::GossipMessage request = compose(incarnationOf(peer), now);
    request.set_probe(++lastProbeNumber_);
    request.set_join(true);
    outgoing_.push_back({peer.gossip_address(), std::move(request)});
}

/// Hosts that start at the same time get from their seeds only the members that joined
/// before them. With one anti-entropy entry per datagram, it would take many minutes to
/// learn hundreds of others.
void Membership::requestFullList(Instant now)
{
    for (const Incarnation &peer : pickPeers(1, Incarnation())) {
        sendJoin(find(peer)->entry, now);
    }
}

wire::GossipMessage Membership::compose(const Incarnation &target, Instant now)
{
    wire::GossipMessage message;
    *message.mutable_from() = self_;
    const auto limit = static_cast<int>(settings_.maxPiggybackedEntries);
    // A target that isn't considered alive gets its own entry first, so that it can
    // refute it at once instead of when gossip delivers it.
    const Member *targetMember = find(target);
    if (targetMember != nullptr && targetMember->entry.health() != wire::MEMBER_ALIVE) {
        *message.add_members() = compact(targetMember->entry);
    }
    const std::size_t room =
            settings_.maxPiggybackedEntries - static_cast<std::size_t>(message.members_size());
    for (const Incarnation &incarnation : dissemination_.take(room, members_.size() + 1)) {
        const Member *member = find(incarnation);
        if (member == nullptr) {
            continue; // self is in `from`; others may have been removed
        }
        const bool full = now < member->announceDeadline;
        *message.add_members() = full ? member->entry : compact(member->entry);
    }
    if (message.members_size() < limit) {
        addAntiEntropy(message);
    }
    return message;
}

/// Adds one full entry, in rotation, to each datagram that has room. A member that lost
/// all copies of a change still learns it, in bounded time and with bounded traffic.
void Membership::addAntiEntropy(wire::GossipMessage &message)
{
    auto next = members_.upper_bound(antiEntropyPosition_);
    if (next == members_.end()) {
        next = members_.begin();
    }
    if (next == members_.end()) {
        return;
    }
    antiEntropyPosition_ = next->first;
    *message.add_members() = next->second.entry;
}

void Membership::sendProbe(const std::string &address, const Incarnation &target, uint64_t number,
                           Instant now)
{
    wire::GossipMessage message = compose(target, now);
    message.set_probe(number);
    message.set_join(joinResponses_ < RequiredJoinResponses);
    outgoing_.push_back({address, std::move(message)});
}

} // namespace sequoiagate
