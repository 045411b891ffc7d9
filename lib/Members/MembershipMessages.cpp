/// What a membership answers, and what it puts into its datagrams.

#include <algorithm>
#include <utility>

#include "Members/Entries.h"
#include "sequoiagate/Members/Membership.h"

namespace sequoiagate {

namespace {

/// Answers from seeds with the whole list that a joiner waits for: two, since
/// part of one may be lost.
constexpr uint32_t JoinAnswersWanted = 2;

} // namespace

void Membership::onAcknowledge(const wire::GossipMessage &message)
{
    if (joinAnswers_ < JoinAnswersWanted) {
        ++joinAnswers_;
    }
    // An answer through a helper names whom it is about.
    const Incarnation about(message.indirect_target().empty() ? message.from().incarnation()
                                                              : message.indirect_target());
    std::erase_if(probes_, [&](const Probe &probe) {
        return probe.number == message.probe() && probe.target == about;
    });
    for (const Relay &relay : relays_) {
        if (relay.number != message.probe() || relay.target != about) {
            continue;
        }
        wire::GossipMessage answer;
        *answer.mutable_from() = self_;
        *answer.add_members() = message.from();
        answer.set_probe(relay.requesterNumber);
        answer.set_acknowledge(true);
        answer.set_indirect_target(about.text());
        sends_.push_back({relay.requesterAddress, std::move(answer)});
    }
    std::erase_if(relays_, [&](const Relay &relay) { return relay.number == message.probe(); });
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
        const uint64_t number = ++lastNumber_;
        relays_.push_back(
                {number, message.probe(), senderAddress, target, now + settings_.probePeriod});
        sendProbe(member->entry.gossip_address(), target, number, now);
        return;
    }
    wire::GossipMessage answer = compose(sender, now);
    answer.set_probe(message.probe());
    answer.set_acknowledge(true);
    sends_.push_back({senderAddress, std::move(answer)});
    if (message.join()) {
        sendAllMembers(senderAddress, sender);
    }
}

void Membership::sendAllMembers(const std::string &address, const Incarnation &target)
{
    wire::GossipMessage part;
    const auto flush = [&] {
        *part.mutable_from() = self_;
        sends_.push_back({address, std::exchange(part, {})});
    };
    for (const auto &[incarnation, member] : members_) {
        if (incarnation == target) {
            continue;
        }
        *part.add_members() = member.entry;
        if (static_cast<uint32_t>(part.members_size()) >= settings_.maximumPiggyback) {
            flush();
        }
    }
    if (part.members_size() > 0) {
        flush();
    }
}

/// A member believed dead answers: a partition has healed, and it knows what
/// became of the others over there. Asked seldom, since the answer holds all.
void Membership::askAllMembers(const wire::MemberEntry &peer, Instant now)
{
    if (now < nextHealExchange_) {
        return;
    }
    nextHealExchange_ = now + settings_.healExchangePeriod;
    sendJoin(peer, now);
    sendAllMembers(peer.gossip_address(), incarnationOf(peer));
}

void Membership::sendJoin(const wire::MemberEntry &peer, Instant now)
{
    wire::GossipMessage question = compose(incarnationOf(peer), now);
    question.set_probe(++lastNumber_);
    question.set_join(true);
    sends_.push_back({peer.gossip_address(), std::move(question)});
}

/// Hosts that all start at once get from their seeds only those that came before
/// them, and one entry a datagram takes many minutes to bring hundreds of others.
void Membership::askSomebodyForAll(Instant now)
{
    for (const Incarnation &peer : pickPeers(1, Incarnation())) {
        sendJoin(find(peer)->entry, now);
    }
}

wire::GossipMessage Membership::compose(const Incarnation &target, Instant now)
{
    wire::GossipMessage message;
    *message.mutable_from() = self_;
    const auto limit = static_cast<int>(settings_.maximumPiggyback);
    // A member that is doubted is told so first of all: it can refute at once,
    // instead of waiting until the rumour comes around.
    const Member *doubted = find(target);
    if (doubted != nullptr && doubted->entry.health() != wire::MEMBER_ALIVE) {
        *message.add_members() = compact(doubted->entry);
    }
    const std::size_t room =
            settings_.maximumPiggyback - static_cast<std::size_t>(message.members_size());
    for (const Incarnation &incarnation : dissemination_.take(room, members_.size() + 1)) {
        const Member *member = find(incarnation);
        if (member == nullptr) {
            continue; // self rides in `from`; others may have been forgotten
        }
        const bool full = now < member->announceDeadline;
        *message.add_members() = full ? member->entry : compact(member->entry);
    }
    if (message.members_size() < limit) {
        addAntiEntropy(message);
    }
    return message;
}

/// One entry in turn, whole, in each datagram with room: what all copies of a
/// change missed by loss still gets through, in bounded time and bytes.
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
    message.set_join(joinAnswers_ < JoinAnswersWanted);
    sends_.push_back({address, std::move(message)});
}

} // namespace sequoiagate
