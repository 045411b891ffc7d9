#include "sequoiagate/Keeper/KeeperView.h"

#include <algorithm>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

KeeperView::KeeperView(wire::MemberEntry self, Interval suspectGrace)
    : self_(std::move(self)), suspectGrace_(suspectGrace), members_{self_}
{}

static bool sameForRouters(const wire::MemberEntry &left, const wire::MemberEntry &right)
{
    return left.incarnation() == right.incarnation() && left.health() == right.health()
           && left.draining() == right.draining() && left.address() == right.address();
}

void KeeperView::setMembers(std::vector<wire::MemberEntry> members, Instant now)
{
    const bool same = std::equal(members.begin(), members.end(), members_.begin(), members_.end(),
                                 sameForRouters);
    members_ = std::move(members);
    if (!same) {
        ++serial_;
    }
    // A peer that is known again must earn its suspicion anew.
    std::erase_if(suspectAt_, [&](const auto &entry) {
        const wire::MemberEntry *known = member(entry.first);
        return (known != nullptr && live(*known)) || entry.second + 100 * suspectGrace_ < now;
    });
}

void KeeperView::setDraining()
{
    self_.set_draining(true);
    for (wire::MemberEntry &entry : members_) {
        if (entry.incarnation() == self_.incarnation()) {
            entry.set_draining(true);
        }
    }
    ++serial_;
}

bool KeeperView::observe(const wire::EndpointObservation &observation)
{
    const EndpointId endpoint(observation.endpoint());
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end() && found->second.serial() >= observation.serial()) {
        return false;
    }
    endpoints_[endpoint] = observation;
    ++serial_;
    return true;
}

std::vector<wire::EndpointObservation> KeeperView::endpoints() const
{
    std::vector<wire::EndpointObservation> all;
    all.reserve(endpoints_.size());
    for (const auto &[endpoint, observation] : endpoints_) {
        all.push_back(observation);
    }
    return all;
}

bool KeeperView::live(const wire::MemberEntry &member) const
{
    return member.incarnation() == self_.incarnation()
           || (member.health() != wire::MEMBER_DEAD && member.health() != wire::MEMBER_LEFT);
}

std::vector<wire::KeeperEntry> KeeperView::domainKeepers() const
{
    std::vector<wire::KeeperEntry> keepers;
    for (const wire::MemberEntry &member : members_) {
        if (member.domain() != self_.domain() || !live(member)) {
            continue;
        }
        wire::KeeperEntry &entry = keepers.emplace_back();
        entry.set_host(member.host());
        entry.set_incarnation(member.incarnation());
        entry.set_domain(member.domain());
        entry.set_address(member.address());
        entry.set_draining(member.draining());
    }
    return keepers;
}

std::vector<Incarnation> KeeperView::witnessesFor(const WorkspaceId &workspace) const
{
    struct Candidate
    {
        bool otherDomain = false;
        uint64_t weight = 0;
        Incarnation incarnation;
    };
    std::vector<Candidate> candidates;
    for (const wire::MemberEntry &member : members_) {
        // A witness on the holder's own host would die with it.
        const bool usable = live(member) && !member.draining() && member.host() != self_.host()
                            && member.health() == wire::MEMBER_ALIVE;
        if (usable) {
            candidates.push_back({member.domain() != self_.domain(),
                                  rendezvousWeight(workspace.text(), member.incarnation()),
                                  Incarnation(member.incarnation())});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.otherDomain != right.otherDomain ? right.otherDomain
                                                     : left.weight > right.weight;
    });
    std::vector<Incarnation> witnesses;
    for (Candidate &candidate : candidates) {
        witnesses.push_back(std::move(candidate.incarnation));
    }
    return witnesses;
}

bool KeeperView::suspected(const Incarnation &incarnation, Instant now)
{
    const wire::MemberEntry *known = member(incarnation);
    if (known != nullptr) {
        return !live(*known);
    }
    const auto armed = suspectAt_.try_emplace(incarnation, now + suspectGrace_).first;
    return armed->second <= now;
}

bool KeeperView::chosen(const std::string &key, const DomainId &domain) const
{
    std::vector<std::string_view> local;
    std::vector<std::string_view> all;
    for (const wire::MemberEntry &member : members_) {
        if (!live(member) || member.draining()) {
            continue;
        }
        all.push_back(member.incarnation());
        if (member.domain() == domain.text()) {
            local.push_back(member.incarnation());
        }
    }
    const std::vector<std::string_view> &pool = local.empty() ? all : local;
    return !pool.empty() && pool[rendezvousChoice(key, pool)] == self_.incarnation();
}

const wire::MemberEntry *KeeperView::member(const Incarnation &incarnation) const
{
    for (const wire::MemberEntry &entry : members_) {
        if (entry.incarnation() == incarnation.text()) {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace sequoiagate
