/// Membership: periodic probes, timeouts and removal of old entries.

#include <algorithm>

#include "Members/Entries.h"
#include "sequoiagate/Members/Membership.h"

namespace sequoiagate {

namespace {

/// Number of probe periods before the suspicion deadline in which every member probes
/// the suspect.
constexpr int FinalProbePeriods = 2;

} // namespace

/// When a paused process resumes, all its probes are overdue while the responses are
/// still unread in its socket, so it would suspect every member. A tick that is a whole
/// period late therefore discards the probes and restarts the suspicion times.
void Membership::resetDeadlinesAfterPause(Instant now)
{
    if (now < nextProbe_ + settings_.probePeriod) {
        return;
    }
    probes_.clear();
    relayedProbes_.clear();
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
            requestIndirectProbes(probe, now);
        }
        Member *member = find(probe.target);
        const bool failed = now >= probe.failDeadline && member != nullptr
                            && member->entry.health() == wire::MEMBER_ALIVE;
        if (failed) {
            applyHealthEvent(*member, "suspected", now);
            member->suspectedLocally = true;
            disseminate(*member);
        }
    }
    std::erase_if(probes_, [&](const Probe &probe) { return now >= probe.failDeadline; });
    std::erase_if(relayedProbes_,
                  [&](const RelayedProbe &relayed) { return now >= relayed.deadline; });
}

void Membership::expireMembers(Instant now)
{
    std::vector<Incarnation> expired;
    for (auto &[incarnation, member] : members_) {
        if (now >= member.suspicionDeadline) {
            applyHealthEvent(member, "declared_dead", now);
            disseminate(member);
        }
        if (now >= member.forgetDeadline) {
            expired.push_back(incarnation);
        }
    }
    for (const Incarnation &incarnation : expired) {
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

void Membership::startProbe(const Incarnation &target, const wire::MemberEntry *report, Instant now)
{
    const uint64_t number = ++lastProbeNumber_;
    probes_.push_back({number, target, now + settings_.probeTimeout, now + settings_.probePeriod});
    sendProbe(find(target)->entry.gossip_address(), target, number, now);
    if (report != nullptr) {
        *outgoing_.back().message.add_members() = compact(*report);
    }
}

/// A member suspected by this process is probed again in each period: at 5% loss, one
/// more response ends nearly all suspicions before they spread far. A member suspected
/// by others is probed only shortly before its deadline. Without that probe it would be
/// declared dead here if all copies of its refutation were lost; if all members probed
/// it at once, they would flood it.
void Membership::probeSuspects(Instant now)
{
    for (const auto &[incarnation, member] : members_) {
        const bool nearDeadline =
                member.suspicionDeadline - now <= FinalProbePeriods * settings_.probePeriod;
        const bool probeAgain = member.entry.health() == wire::MEMBER_SUSPECT
                                && (member.suspectedLocally || nearDeadline);
        if (probeAgain) {
            sendProbe(member.entry.gossip_address(), incarnation, ++lastProbeNumber_, now);
        }
    }
}

void Membership::probeDeadAndSeed(Instant now)
{
    std::vector<Incarnation> dead;
    for (const auto &[incarnation, member] : members_) {
        if (member.entry.health() == wire::MEMBER_DEAD) {
            dead.push_back(incarnation);
        }
    }
    if (!dead.empty()) {
        const Incarnation target = dead[randomBelow(dead.size())];
        sendProbe(find(target)->entry.gossip_address(), target, ++lastProbeNumber_, now);
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
        return entry.gossip_address() == address && presumedAlive(entry.health());
    });
    if (!known) {
        sendProbe(address, Incarnation(), ++lastProbeNumber_, now);
    }
}

void Membership::requestIndirectProbes(const Probe &probe, Instant now)
{
    for (const Incarnation &peer : pickPeers(settings_.indirectProbes, probe.target)) {
        wire::GossipMessage request = compose(peer, now);
        request.set_probe(probe.number);
        request.set_indirect_target(probe.target.text());
        outgoing_.push_back({find(peer)->entry.gossip_address(), std::move(request)});
    }
}

/// Returns every member once per round, in an order that is shuffled for each round, so
/// that a failure is detected within a bounded time (SWIM, section 4.3). Returns an empty
/// incarnation if there is no member to probe.
Incarnation Membership::nextTarget()
{
    for (std::size_t attempts = 0; attempts < probeOrder_.size(); ++attempts) {
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
