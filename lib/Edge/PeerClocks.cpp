#include "PeerClocks.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

constexpr Interval QueryInterval = std::chrono::milliseconds(300);
constexpr std::size_t MaxQueried = 6;
/// If half of the fleet is killed at once, at least one of five peers usually survives.
constexpr std::size_t MaxNamed = 5;
/// Keeps peers available when an entire failure domain fails.
constexpr uint32_t MaxPerDomain = 2;

} // namespace

void PeerClocks::setPeers(const std::vector<Peer> &peers)
{
    peers_ = peers;
    std::vector<std::pair<uint64_t, const Peer *>> order;
    for (const Peer &peer : peers_) {
        order.emplace_back(rendezvousWeight(self_.text(), peer.host.text()), &peer);
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    std::map<DomainId, uint32_t> chosen;
    queriedPeers_.clear();
    for (const auto &[weight, peer] : order) {
        if (queriedPeers_.size() < MaxQueried && ++chosen[peer->domain] <= MaxPerDomain) {
            queriedPeers_.push_back(*peer);
        }
    }
}

void PeerClocks::onBatch(const Incarnation &peer, const StoreRow &row, Instant now)
{
    batches_[peer] = {row, now};
}

std::optional<BatchHeader> PeerClocks::lastBatchOf(const Incarnation &peer) const
{
    const auto found = batches_.find(peer);
    return found == batches_.end() ? std::nullopt : decodeBatch(found->second.row);
}

void PeerClocks::onResponse(const ClockResponse &response, Instant now)
{
    responses_[response.process] = {response.sinceBoot, now + 2 * QueryInterval};
}

std::vector<boost::asio::ip::udp::endpoint> PeerClocks::peersToQuery(Instant now)
{
    std::vector<boost::asio::ip::udp::endpoint> addresses;
    if (now < nextQueryAt_) {
        return addresses;
    }
    nextQueryAt_ = now + QueryInterval;
    std::erase_if(responses_, [now](const auto &entry) { return now >= entry.second.expiresAt; });
    for (const Peer &peer : queriedPeers_) {
        addresses.push_back(peer.address);
    }
    return addresses;
}

std::optional<PeerClock> PeerClocks::clockOf(const Peer &peer, Instant now) const
{
    const auto response = responses_.find(peer.incarnation);
    if (response != responses_.end() && now < response->second.expiresAt) {
        return PeerClock{peer.address, peer.incarnation, response->second.sinceBoot};
    }
    const std::optional<BatchHeader> batch = lastBatchOf(peer.incarnation);
    if (!batch) {
        return std::nullopt;
    }
    return PeerClock{peer.address, peer.incarnation, batch->sinceBoot};
}

std::vector<PeerClock> PeerClocks::newestClocks(Instant now) const
{
    std::vector<std::pair<Instant, const Peer *>> order;
    for (const Peer &peer : peers_) {
        const auto response = responses_.find(peer.incarnation);
        const auto batch = batches_.find(peer.incarnation);
        if (response != responses_.end() && now < response->second.expiresAt) {
            order.emplace_back(response->second.expiresAt, &peer);
        } else if (batch != batches_.end()) {
            order.emplace_back(batch->second.readAt, &peer);
        }
    }
    std::sort(order.begin(), order.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    std::map<DomainId, uint32_t> chosen;
    std::vector<PeerClock> clocks;
    for (const auto &[at, peer] : order) {
        if (clocks.size() == MaxNamed || ++chosen[peer->domain] > MaxPerDomain) {
            continue;
        }
        if (const std::optional<PeerClock> clock = clockOf(*peer, now)) {
            clocks.push_back(*clock);
        }
    }
    return clocks;
}

} // namespace sequoiagate
