#include "sequoiagate/Decisions/CrashConfirmation.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

void CrashConfirmation::setHosts(const std::vector<HostPlace> &others)
{
    placement_.setHosts(others);
    hasOwnDomain_ = std::any_of(others.begin(), others.end(),
                                [this](const HostPlace &place) { return place.domain == self_; });
}

void CrashConfirmation::begin(const EndpointProcess &process, const HostId &relay, Instant now)
{
    if (relay.empty()) {
        startProbe(process, {true, {}});
        return;
    }
    std::vector<HostId> hosts = witnesses(process);
    hosts.push_back(relay);
    ask(process, hosts, 0, now);
}

void CrashConfirmation::startProbe(const EndpointProcess &process, const Probe &wanted)
{
    const auto [found, added] = probes_.try_emplace(process, wanted);
    if (!added) {
        found->second.isOwn = found->second.isOwn || wanted.isOwn;
        found->second.requesters.insert(wanted.requesters.begin(), wanted.requesters.end());
        return;
    }
    probe(process);
}

void CrashConfirmation::onProbed(const EndpointProcess &process, ProbeResult result, Instant now)
{
    const auto found = probes_.find(process);
    if (found == probes_.end()) {
        return;
    }
    const Probe done = std::move(found->second);
    probes_.erase(found);
    std::erase_if(endedUntil_, [now](const auto &entry) { return now >= entry.second; });
    if (result == ProbeResult::Ended) {
        endedUntil_[process] = now + ResultLifetime;
    }
    for (const HostId &host : done.requesters) {
        sendResponse(host, process, result);
    }
    if (!done.isOwn) {
        return;
    }
    const std::vector<HostId> hosts = witnesses(process);
    if (result == ProbeResult::Listens || hosts.empty()) {
        onDecided(process, result == ProbeResult::Ended);
        return;
    }
    ask(process, hosts, result == ProbeResult::Ended ? 1 : 0, now);
}

std::vector<HostId> CrashConfirmation::witnesses(const EndpointProcess &process) const
{
    const uint64_t key = stableHash(process.endpoint.text(), process.startedAtMillis);
    std::vector<ReplicaCandidates> domains = placement_.candidates(key);
    // The candidates of this host's failure domain come first, and are asked last.
    ReplicaCandidates neighbours;
    if (hasOwnDomain_) {
        neighbours = std::move(domains.front());
        domains.erase(domains.begin());
    }
    std::vector<HostId> chosen;
    const std::size_t ranks = std::accumulate(
            domains.begin(), domains.end(), std::size_t{0},
            [](std::size_t most, const auto &hosts) { return std::max(most, hosts.size()); });
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        for (const ReplicaCandidates &hosts : domains) {
            if (rank < hosts.size()) {
                chosen.push_back(hosts[rank]);
            }
        }
    }
    chosen.insert(chosen.end(), neighbours.begin(), neighbours.end());
    chosen.resize(std::min(chosen.size(), Witnesses));
    return chosen;
}

void CrashConfirmation::ask(const EndpointProcess &process, const std::vector<HostId> &hosts,
                            std::size_t ownResults, Instant now)
{
    Inquiry &inquiry = inquiries_[process];
    inquiry.unanswered = {hosts.begin(), hosts.end()};
    const std::size_t voters = inquiry.unanswered.size() + ownResults;
    inquiry.needed = voters / 2 + 1 - ownResults;
    inquiry.resendAt = now + ResendDelay;
    inquiry.decideAt = now + ResponseTime;
    for (const HostId &host : std::set<HostId>(inquiry.unanswered)) {
        sendRequest(host, process);
    }
}

void CrashConfirmation::onRequest(const HostId &from, const EndpointProcess &process, Instant now)
{
    const auto known = endedUntil_.find(process);
    if (known != endedUntil_.end() && now < known->second) {
        sendResponse(from, process, ProbeResult::Ended);
        return;
    }
    startProbe(process, {false, {from}});
}

void CrashConfirmation::onResponse(const HostId &from, const EndpointProcess &process,
                                   ProbeResult result, Instant now)
{
    const auto found = inquiries_.find(process);
    if (found == inquiries_.end() || found->second.unanswered.erase(from) == 0) {
        return;
    }
    Inquiry &inquiry = found->second;
    if (result == ProbeResult::Listens) {
        decide(process, false);
        return;
    }
    if (result == ProbeResult::Ended && inquiry.needed > 0 && --inquiry.needed == 0) {
        inquiry.decideAt = std::min(inquiry.decideAt, now + ContradictionTime);
    }
    if (inquiry.unanswered.empty()) {
        decide(process, inquiry.needed == 0);
    }
}

void CrashConfirmation::decide(const EndpointProcess &process, bool hasEnded)
{
    inquiries_.erase(process);
    onDecided(process, hasEnded);
}

void CrashConfirmation::tick(Instant now)
{
    std::vector<EndpointProcess> due;
    for (auto &[process, inquiry] : inquiries_) {
        if (now >= inquiry.decideAt) {
            due.push_back(process);
            continue;
        }
        if (now >= inquiry.resendAt) {
            inquiry.resendAt = now + ResendDelay;
            for (const HostId &host : inquiry.unanswered) {
                sendRequest(host, process);
            }
        }
    }
    for (const EndpointProcess &process : due) {
        decide(process, inquiries_.at(process).needed == 0);
    }
}

Instant CrashConfirmation::nextDeadline() const
{
    Instant next = Never;
    for (const auto &[process, inquiry] : inquiries_) {
        next = std::min({next, inquiry.decideAt, inquiry.resendAt});
    }
    return next;
}

} // namespace sequoiagate
