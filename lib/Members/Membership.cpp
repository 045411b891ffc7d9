#include "sequoiagate/Members/Membership.h"

#include <algorithm>
#include <utility>

#include "Members/HealthChart.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// Answers from seeds with the whole list that a joiner waits for: two, since
/// part of one may be lost.
constexpr uint32_t JoinAnswersWanted = 2;
/// Peers that are told of a planned leave; they spread it.
constexpr std::size_t LeaveFanOut = 8;
/// Probe periods for which a new member is spread with its addresses. After that
/// whoever still lacks it learns it from the anti-entropy entries.
constexpr int AnnouncePeriods = 60;
/// Probe periods before a suspect's time is up in which it is asked by all.
constexpr int LastCalls = 2;

bool believedLive(wire::MemberHealth health)
{
    return health == wire::MEMBER_ALIVE || health == wire::MEMBER_SUSPECT;
}

/// Whether what \p entry says of an incarnation replaces \p known. Leaving is for
/// good; else the higher refutation, and at the same one the worse health: only
/// the member itself can raise the number (SWIM, section 4.2).
bool supersedes(const wire::MemberEntry &entry, const wire::MemberEntry &known)
{
    if (known.health() == wire::MEMBER_LEFT || entry.health() == wire::MEMBER_LEFT) {
        return known.health() != wire::MEMBER_LEFT;
    }
    if (entry.refutation() != known.refutation()) {
        return entry.refutation() > known.refutation();
    }
    return entry.health() > known.health();
}

/// The entry without what a peer that knows the member has already. A third of
/// the bytes, and most of gossip is suspicions and refutations.
wire::MemberEntry compact(const wire::MemberEntry &entry)
{
    wire::MemberEntry small;
    small.set_incarnation(entry.incarnation());
    small.set_refutation(entry.refutation());
    small.set_health(entry.health());
    small.set_draining(entry.draining());
    return small;
}

bool isCompact(const wire::MemberEntry &entry)
{
    return entry.gossip_address().empty();
}

Incarnation incarnationOf(const wire::MemberEntry &entry)
{
    return Incarnation(entry.incarnation());
}

} // namespace

Membership::Membership(wire::MemberEntry self, MembershipSettings settings, Instant now)
    : self_(std::move(self)), settings_(settings),
      // Members share the settings' seed; with the same numbers all would probe in
      // the same order and hit one peer at once.
      random_(stableHash(self_.incarnation(), settings.seed)), nextProbe_(now),
      nextLostProbe_(now + settings.deadProbePeriod),
      nextFullExchange_(now + settings.deadProbePeriod), nextHealExchange_(now)
{
    self_.set_health(wire::MEMBER_ALIVE);
    healthChart();
}

void Membership::seed(const std::vector<std::string> &gossipAddresses)
{
    seeds_.clear();
    for (const std::string &address : gossipAddresses) {
        if (address != self_.gossip_address()) {
            seeds_.push_back(address);
        }
    }
}

void Membership::onMessage(const wire::GossipMessage &message, Instant now)
{
    if (self_.health() == wire::MEMBER_LEFT || message.from().incarnation().empty()
        || isCompact(message.from()) || message.from().incarnation() == self_.incarnation()) {
        return;
    }
    const Member *known = find(incarnationOf(message.from()));
    const bool wasDead = known != nullptr && known->entry.health() == wire::MEMBER_DEAD;
    learn(message.from(), now);
    if (message.from().health() != wire::MEMBER_LEFT) {
        declareReplaced(message.from(), now);
    }
    for (const wire::MemberEntry &entry : message.members()) {
        learn(entry, now);
    }
    if (message.acknowledge()) {
        onAcknowledge(message);
    } else if (message.probe() != 0) {
        onProbe(message, now);
    }
    if (wasDead) {
        askAllMembers(message.from(), now);
    }
}

void Membership::onTick(Instant now)
{
    if (self_.health() == wire::MEMBER_LEFT) {
        return;
    }
    forgiveOwnPause(now);
    expireProbes(now);
    expireMembers(now);
    if (now >= nextProbe_) {
        probeSuspects(now);
        probeNext(now);
        nextProbe_ = now + settings_.probePeriod;
    }
    if (now >= nextLostProbe_) {
        probeLost(now);
        nextLostProbe_ = now + settings_.deadProbePeriod;
    }
    if (now >= nextFullExchange_) {
        askSomebodyForAll(now);
        // Soon after the start most of the others have just come, too: what one peer
        // knows then is a part, and asking few of them twice as late each time merges it.
        const Interval early = settings_.deadProbePeriod * (1 << std::min(fullExchanges_, 8));
        nextFullExchange_ = now + std::min(early, settings_.fullExchangePeriod);
        ++fullExchanges_;
    }
}

void Membership::leave(Instant now)
{
    if (self_.health() == wire::MEMBER_LEFT) {
        return;
    }
    self_.set_health(wire::MEMBER_LEFT);
    self_.set_refutation(self_.refutation() + 1);
    for (const Incarnation &peer : pickPeers(LeaveFanOut, Incarnation())) {
        sends_.push_back({find(peer)->entry.gossip_address(), compose(peer, now)});
    }
}

void Membership::setDraining(bool draining)
{
    if (self_.draining() == draining) {
        return;
    }
    self_.set_draining(draining);
    self_.set_refutation(self_.refutation() + 1);
    dissemination_.add(incarnationOf(self_));
}

std::vector<GossipSend> Membership::takeSends()
{
    return std::exchange(sends_, {});
}

std::vector<MemberChange> Membership::takeChanges()
{
    return std::exchange(changes_, {});
}

Instant Membership::nextDeadline() const
{
    if (self_.health() == wire::MEMBER_LEFT) {
        return Never;
    }
    Instant next = std::min({nextProbe_, nextLostProbe_, nextFullExchange_});
    for (const Probe &probe : probes_) {
        next = std::min({next, probe.indirectDeadline, probe.failDeadline});
    }
    for (const auto &[incarnation, member] : members_) {
        next = std::min({next, member.suspicionDeadline, member.forgetDeadline});
    }
    return next;
}

std::vector<wire::MemberEntry> Membership::members() const
{
    std::vector<wire::MemberEntry> all{self_};
    for (const auto &[incarnation, member] : members_) {
        all.push_back(member.entry);
    }
    std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
        return a.host() != b.host() ? a.host() < b.host() : a.incarnation() < b.incarnation();
    });
    return all;
}

bool Membership::alive(const Incarnation &incarnation) const
{
    if (incarnation.text() == self_.incarnation()) {
        return self_.health() != wire::MEMBER_LEFT;
    }
    const auto found = members_.find(incarnation);
    return found != members_.end() && believedLive(found->second.entry.health());
}

// ---- what is believed ----

Membership::Member *Membership::find(const Incarnation &incarnation)
{
    const auto found = members_.find(incarnation);
    return found == members_.end() ? nullptr : &found->second;
}

void Membership::learn(const wire::MemberEntry &entry, Instant now)
{
    if (entry.incarnation() == self_.incarnation()) {
        refute(entry);
        return;
    }
    Member *member = find(incarnationOf(entry));
    if (member == nullptr) {
        // The dead and the left that aren't known were forgotten here: late gossip
        // must not bring them back.
        if (believedLive(entry.health()) && !isCompact(entry) && !entry.incarnation().empty()) {
            add(entry, now);
        }
        return;
    }
    if (supersedes(entry, member->entry)) {
        merge(*member, entry, now);
        return;
    }
    // Somebody still believes live what is known here as dead: right after a death,
    // or when a partition heals. Said again, it reaches either him or the member
    // itself, which then refutes it.
    const bool contradicted =
            member->entry.health() == wire::MEMBER_DEAD && believedLive(entry.health());
    if (contradicted) {
        spread(*member);
    }
}

void Membership::add(const wire::MemberEntry &entry, Instant now)
{
    const Incarnation incarnation = incarnationOf(entry);
    Member &member = members_[incarnation];
    member.entry = entry;
    member.announceDeadline = now + AnnouncePeriods * settings_.probePeriod;
    if (entry.health() == wire::MEMBER_SUSPECT) {
        member.suspicionDeadline = now + settings_.suspicionTime;
    }
    const auto position = static_cast<std::ptrdiff_t>(randomBelow(probeOrder_.size() + 1));
    probeOrder_.insert(probeOrder_.begin() + position, incarnation);
    changes_.push_back({member.entry, wire::MEMBER_DEAD});
    spread(member);
}

void Membership::refute(const wire::MemberEntry &rumour)
{
    const bool wrong = self_.health() != wire::MEMBER_LEFT && rumour.health() != wire::MEMBER_ALIVE
                       && rumour.refutation() >= self_.refutation();
    if (wrong) {
        self_.set_refutation(rumour.refutation() + 1);
        dissemination_.add(incarnationOf(self_));
    }
}

void Membership::merge(Member &member, const wire::MemberEntry &entry, Instant now)
{
    const bool drainingChanged = entry.draining() != member.entry.draining()
                                 && entry.refutation() >= member.entry.refutation();
    if (entry.refutation() > member.entry.refutation()) {
        member.entry.set_refutation(entry.refutation());
        member.entry.set_draining(entry.draining());
        handle(member, "refuted", now);
    }
    if (entry.health() == wire::MEMBER_SUSPECT) {
        handle(member, "suspected", now);
    } else if (entry.health() == wire::MEMBER_DEAD) {
        if (member.entry.health() == wire::MEMBER_ALIVE) {
            doubt(member, entry, now);
            return;
        }
        handle(member, "declared_dead", now);
    } else if (entry.health() == wire::MEMBER_LEFT) {
        handle(member, "left", now);
    }
    if (drainingChanged && believedLive(member.entry.health())) {
        changes_.push_back({member.entry, member.entry.health()});
    }
    spread(member);
}

/// When a partition heals, each side holds the other's members dead. Taken at its
/// word, that would have every member believe its own neighbours dead until they
/// refute it: a storm of false deaths. A death that comes as news is therefore asked of
/// the member itself, which refutes it if it can; if it can't, this probe fails.
void Membership::doubt(const Member &member, const wire::MemberEntry &rumour, Instant now)
{
    const Incarnation target = incarnationOf(member.entry);
    const bool asked = std::any_of(probes_.begin(), probes_.end(),
                                   [&](const Probe &probe) { return probe.target == target; });
    if (!asked) {
        startProbe(target, &rumour, now);
    }
}

void Membership::handle(Member &member, const char *event, Instant now)
{
    const wire::MemberHealth before = member.entry.health();
    const wire::MemberHealth after = nextHealth(before, event);
    if (after == before) {
        return;
    }
    member.entry.set_health(after);
    member.suspicionDeadline = Never;
    member.forgetDeadline = Never;
    member.suspectedHere = false;
    if (after == wire::MEMBER_SUSPECT) {
        member.suspicionDeadline = now + settings_.suspicionTime;
    } else if (after == wire::MEMBER_DEAD) {
        const bool replaced = hostRunsOtherwise(member.entry);
        member.forgetDeadline = now + (replaced ? settings_.leftMemory : settings_.deadMemory);
    } else if (after == wire::MEMBER_LEFT) {
        member.forgetDeadline = now + settings_.leftMemory;
    }
    changes_.push_back({member.entry, before});
}

void Membership::spread(const Member &member)
{
    dissemination_.add(incarnationOf(member.entry));
}

/// A socket address belongs to one process at a time: an older incarnation known
/// under the sender's has ended, and need not be waited for.
void Membership::declareReplaced(const wire::MemberEntry &sender, Instant now)
{
    for (auto &[incarnation, member] : members_) {
        const bool replaced = member.entry.gossip_address() == sender.gossip_address()
                              && member.entry.incarnation() != sender.incarnation()
                              && believedLive(member.entry.health());
        if (replaced) {
            handle(member, "declared_dead", now);
            spread(member);
        }
    }
}

bool Membership::hostRunsOtherwise(const wire::MemberEntry &entry) const
{
    return std::any_of(members_.begin(), members_.end(), [&](const auto &row) {
        const wire::MemberEntry &other = row.second.entry;
        return other.host() == entry.host() && other.incarnation() != entry.incarnation()
               && believedLive(other.health());
    });
}

// ---- messages ----

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

// ---- timers ----

/// A paused process finds all its probes overdue when it wakes, while the answers
/// wait unread in its socket: it would suspect everybody. A tick that comes a
/// whole period late therefore judges nobody.
void Membership::forgiveOwnPause(Instant now)
{
    if (now < nextProbe_ + settings_.probePeriod) {
        return;
    }
    probes_.clear();
    relays_.clear();
    for (auto &[incarnation, member] : members_) {
        if (member.suspicionDeadline != Never) {
            member.suspicionDeadline = now + settings_.suspicionTime;
        }
    }
}

void Membership::expireProbes(Instant now)
{
    for (Probe &probe : probes_) {
        if (now >= probe.indirectDeadline) {
            probe.indirectDeadline = Never;
            askOthersToProbe(probe, now);
        }
        Member *member = find(probe.target);
        const bool failed = now >= probe.failDeadline && member != nullptr
                            && member->entry.health() == wire::MEMBER_ALIVE;
        if (failed) {
            handle(*member, "suspected", now);
            member->suspectedHere = true;
            spread(*member);
        }
    }
    std::erase_if(probes_, [&](const Probe &probe) { return now >= probe.failDeadline; });
    std::erase_if(relays_, [&](const Relay &relay) { return now >= relay.deadline; });
}

void Membership::expireMembers(Instant now)
{
    std::vector<Incarnation> forgotten;
    for (auto &[incarnation, member] : members_) {
        if (now >= member.suspicionDeadline) {
            handle(member, "declared_dead", now);
            spread(member);
        }
        if (now >= member.forgetDeadline) {
            forgotten.push_back(incarnation);
        }
    }
    for (const Incarnation &incarnation : forgotten) {
        members_.erase(incarnation);
        dissemination_.remove(incarnation);
        std::erase(probeOrder_, incarnation);
    }
}

void Membership::probeNext(Instant now)
{
    const Incarnation target = nextTarget();
    if (target.empty()) {
        probeSeed(now);
        return;
    }
    startProbe(target, nullptr, now);
}

void Membership::startProbe(const Incarnation &target, const wire::MemberEntry *rumour, Instant now)
{
    const uint64_t number = ++lastNumber_;
    probes_.push_back({number, target, now + settings_.probeTimeout, now + settings_.probePeriod});
    sendProbe(find(target)->entry.gossip_address(), target, number, now);
    if (rumour != nullptr) {
        *sends_.back().message.add_members() = compact(*rumour);
    }
}

/// Who is suspected here is asked again each period: at 5% loss one more answer
/// ends nearly all suspicions before they spread far. Who is suspected elsewhere is
/// asked when its time is nearly up: gossip that lost all copies of its refutation
/// to this member would otherwise kill it here. Asked at once, it would be flooded by all.
void Membership::probeSuspects(Instant now)
{
    for (const auto &[incarnation, member] : members_) {
        const bool lastCall = member.suspicionDeadline - now <= LastCalls * settings_.probePeriod;
        const bool asked =
                member.entry.health() == wire::MEMBER_SUSPECT && (member.suspectedHere || lastCall);
        if (asked) {
            sendProbe(member.entry.gossip_address(), incarnation, ++lastNumber_, now);
        }
    }
}

void Membership::probeLost(Instant now)
{
    std::vector<Incarnation> dead;
    for (const auto &[incarnation, member] : members_) {
        if (member.entry.health() == wire::MEMBER_DEAD) {
            dead.push_back(incarnation);
        }
    }
    if (!dead.empty()) {
        const Incarnation target = dead[randomBelow(dead.size())];
        sendProbe(find(target)->entry.gossip_address(), target, ++lastNumber_, now);
    }
    probeSeed(now);
}

void Membership::probeSeed(Instant now)
{
    if (seeds_.empty()) {
        return;
    }
    const std::string &address = seeds_[randomBelow(seeds_.size())];
    const bool known = std::any_of(members_.begin(), members_.end(), [&](const auto &row) {
        const wire::MemberEntry &entry = row.second.entry;
        return entry.gossip_address() == address && believedLive(entry.health());
    });
    if (!known) {
        sendProbe(address, Incarnation(), ++lastNumber_, now);
    }
}

void Membership::askOthersToProbe(const Probe &probe, Instant now)
{
    for (const Incarnation &helper : pickPeers(settings_.indirectProbes, probe.target)) {
        wire::GossipMessage question = compose(helper, now);
        question.set_probe(probe.number);
        question.set_indirect_target(probe.target.text());
        sends_.push_back({find(helper)->entry.gossip_address(), std::move(question)});
    }
}

/// Every member once a round, in an order shuffled for each round, so that a death
/// is found within a bounded time (SWIM, section 4.3). Empty: nobody to probe.
Incarnation Membership::nextTarget()
{
    for (std::size_t tries = 0; tries < probeOrder_.size(); ++tries) {
        if (probePosition_ >= probeOrder_.size()) {
            probePosition_ = 0;
            std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
        }
        const Incarnation &candidate = probeOrder_[probePosition_];
        ++probePosition_;
        if (find(candidate)->entry.health() == wire::MEMBER_ALIVE) {
            return candidate;
        }
    }
    return Incarnation();
}

std::vector<Incarnation> Membership::pickPeers(std::size_t count, const Incarnation &except)
{
    std::vector<Incarnation> peers;
    for (const auto &[incarnation, member] : members_) {
        if (incarnation != except && member.entry.health() == wire::MEMBER_ALIVE) {
            peers.push_back(incarnation);
        }
    }
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(count, peers.size()));
    return peers;
}

uint64_t Membership::randomBelow(uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random_);
}

} // namespace sequoiagate
