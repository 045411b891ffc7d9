/// What a membership does by itself as time passes: probes, verdicts, forgetting.

#include <algorithm>

#include "Members/Entries.h"
#include "sequoiagate/Members/Membership.h"

namespace sequoiagate {

namespace {

/// Probe periods before a suspect's time is up in which it is asked by all.
constexpr int LastCalls = 2;

} // namespace

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
