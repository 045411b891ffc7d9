#include "sequoiagate/Members/Membership.h"

#include <algorithm>
#include <utility>

#include "Members/Entries.h"
#include "Members/HealthChart.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// Peers that are told of a planned leave; they spread it.
constexpr std::size_t LeaveFanOut = 8;
/// Probe periods for which a new member is spread with its addresses. After that
/// whoever still lacks it learns it from the anti-entropy entries.
constexpr int AnnouncePeriods = 60;

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

} // namespace sequoiagate
