#include "sequoiagate/Members/Membership.h"

#include <algorithm>
#include <utility>

#include "Members/Entries.h"
#include "Members/HealthChart.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// Number of peers that are notified of a planned leave; they disseminate it.
constexpr std::size_t LeaveFanOut = 8;
/// Number of probe periods in which gossip about a new member includes its addresses.
/// Members that don't know it by then learn it from the anti-entropy entries.
constexpr int AnnouncePeriods = 60;

/// Returns whether \p entry replaces \p known, an entry of the same incarnation.
/// Leaving is final. Otherwise the higher refutation number wins, and at equal numbers
/// the worse health: only the member itself can raise the number (SWIM, section 4.2).
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
      // All members have the same seed in their settings. With the same random numbers
      // they would probe in the same order and all hit one peer at once.
      random_(stableHash(self_.incarnation(), settings.seed)), nextProbe_(now),
      nextDeadProbe_(now + settings.deadProbePeriod),
      nextFullExchange_(now + settings.deadProbePeriod), nextHealExchange_(now)
{
    self_.set_health(wire::MEMBER_ALIVE);
    membershipChart();
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
    applyEntry(message.from(), now);
    if (message.from().health() != wire::MEMBER_LEFT) {
        declareReplaced(message.from(), now);
    }
    for (const wire::MemberEntry &entry : message.members()) {
        applyEntry(entry, now);
    }
    if (message.acknowledge()) {
        onAcknowledge(message);
    } else if (message.probe() != 0) {
        onProbe(message, now);
    }
    if (wasDead) {
        exchangeFullLists(message.from(), now);
    }
}

void Membership::onTick(Instant now)
{
    if (self_.health() == wire::MEMBER_LEFT) {
        return;
    }
    resetDeadlinesAfterPause(now);
    expireProbes(now);
    expireMembers(now);
    if (now >= nextProbe_) {
        probeSuspects(now);
        probeNext(now);
        nextProbe_ = now + settings_.probePeriod;
    }
    if (now >= nextDeadProbe_) {
        probeDeadAndSeed(now);
        nextDeadProbe_ = now + settings_.deadProbePeriod;
    }
    if (now >= nextFullExchange_) {
        requestFullList(now);
        // Soon after the start, most other members have just started too, and each peer
        // knows only part of the list. A few requests with doubling delays merge the parts.
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
        outgoing_.push_back({find(peer)->entry.gossip_address(), compose(peer, now)});
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

std::vector<OutgoingGossip> Membership::takeOutgoing()
{
    return std::exchange(outgoing_, {});
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
    Instant next = std::min({nextProbe_, nextDeadProbe_, nextFullExchange_});
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
    return found != members_.end() && presumedAlive(found->second.entry.health());
}

// ---- member states ----

Membership::Member *Membership::find(const Incarnation &incarnation)
{
    const auto found = members_.find(incarnation);
    return found == members_.end() ? nullptr : &found->second;
}

void Membership::applyEntry(const wire::MemberEntry &entry, Instant now)
{
    if (entry.incarnation() == self_.incarnation()) {
        refute(entry);
        return;
    }
    Member *member = find(incarnationOf(entry));
    if (member == nullptr) {
        // Unknown members that are dead or have left were removed here before: late
        // gossip must not add them again.
        if (presumedAlive(entry.health()) && !isCompact(entry) && !entry.incarnation().empty()) {
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
    disseminate(member);
}

void Membership::refute(const wire::MemberEntry &report)
{
    const bool mustRefute = self_.health() != wire::MEMBER_LEFT
                            && report.health() != wire::MEMBER_ALIVE
                            && report.refutation() >= self_.refutation();
    if (mustRefute) {
        self_.set_refutation(report.refutation() + 1);
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
        applyHealthEvent(member, "refuted", now);
    }
    if (entry.health() == wire::MEMBER_SUSPECT) {
        applyHealthEvent(member, "suspected", now);
    } else if (entry.health() == wire::MEMBER_DEAD) {
        if (member.entry.health() == wire::MEMBER_ALIVE) {
            verifyReportedDeath(member, entry, now);
            return;
        }
        applyHealthEvent(member, "declared_dead", now);
    } else if (entry.health() == wire::MEMBER_LEFT) {
        applyHealthEvent(member, "left", now);
    }
    if (drainingChanged && presumedAlive(member.entry.health())) {
        changes_.push_back({member.entry, member.entry.health()});
    }
    disseminate(member);
}

/// When a partition heals, each side has declared the other's members dead. If such
/// reports were accepted, every member would declare members of its own side dead until
/// they refute it: a burst of false deaths. A member that is reported dead while it is
/// alive here is therefore probed first. It refutes the report, or the probe fails.
void Membership::verifyReportedDeath(const Member &member, const wire::MemberEntry &report,
                                     Instant now)
{
    const Incarnation target = incarnationOf(member.entry);
    const bool alreadyProbed = std::any_of(probes_.begin(), probes_.end(), [&](const Probe &probe) {
        return probe.target == target;
    });
    if (!alreadyProbed) {
        startProbe(target, &report, now);
    }
}

void Membership::applyHealthEvent(Member &member, const char *event, Instant now)
{
    const wire::MemberHealth before = member.entry.health();
    const wire::MemberHealth after = nextHealth(before, event);
    if (after == before) {
        return;
    }
    member.entry.set_health(after);
    member.suspicionDeadline = Never;
    member.forgetDeadline = Never;
    member.suspectedLocally = false;
    if (after == wire::MEMBER_SUSPECT) {
        member.suspicionDeadline = now + settings_.suspicionTime;
    } else if (after == wire::MEMBER_DEAD) {
        const bool replaced = hostHasOtherLiveIncarnation(member.entry);
        member.forgetDeadline =
                now + (replaced ? settings_.leftRetention : settings_.deadRetention);
    } else if (after == wire::MEMBER_LEFT) {
        member.forgetDeadline = now + settings_.leftRetention;
    }
    changes_.push_back({member.entry, before});
}

void Membership::disseminate(const Member &member)
{
    dissemination_.add(incarnationOf(member.entry));
}

/// A socket address belongs to one process at a time. Another incarnation at the
/// sender's address has terminated, and is declared dead without a suspicion period.
void Membership::declareReplaced(const wire::MemberEntry &sender, Instant now)
{
    for (auto &[incarnation, member] : members_) {
        const bool replaced = member.entry.gossip_address() == sender.gossip_address()
                              && member.entry.incarnation() != sender.incarnation()
                              && presumedAlive(member.entry.health());
        if (replaced) {
            applyHealthEvent(member, "declared_dead", now);
            disseminate(member);
        }
    }
}

bool Membership::hostHasOtherLiveIncarnation(const wire::MemberEntry &entry) const
{
    return std::any_of(members_.begin(), members_.end(), [&](const auto &row) {
        const wire::MemberEntry &other = row.second.entry;
        return other.host() == entry.host() && other.incarnation() != entry.incarnation()
               && presumedAlive(other.health());
    });
}

} // namespace sequoiagate
