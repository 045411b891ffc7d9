#include "PeerClocks.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

constexpr Interval AskInterval = std::chrono::milliseconds(300);
constexpr std::size_t MostAsked = 6;
/// If half of the fleet is killed at once, at least one of five peers usually survives.
constexpr std::size_t MostNamed = 5;
/// Keeps peers available when an entire failure domain fails.
constexpr uint32_t MostADomain = 2;

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
    asked_.clear();
    for (const auto &[weight, peer] : order) {
        if (asked_.size() < MostAsked && ++chosen[peer->domain] <= MostADomain) {
            asked_.push_back(*peer);
        }
    }
}

void PeerClocks::onBatch(const Incarnation &holder, const StoreRow &row, Instant now)
{
    batches_[holder] = {row, now};
}

std::optional<BatchMoment> PeerClocks::lastBatchOf(const Incarnation &holder) const
{
    const auto found = batches_.find(holder);
    return found == batches_.end() ? std::nullopt : decodeBatch(found->second.row);
}

void PeerClocks::onAnswer(const ClockAnswer &answer, Instant now)
{
    answers_[answer.process] = {answer.sinceBoot, now + 2 * AskInterval};
}

std::vector<boost::asio::ip::udp::endpoint> PeerClocks::asks(Instant now)
{
    std::vector<boost::asio::ip::udp::endpoint> addresses;
    if (now < askAt_) {
        return addresses;
    }
    askAt_ = now + AskInterval;
    std::erase_if(answers_, [now](const auto &entry) { return now >= entry.second.expiresAt; });
    for (const Peer &peer : asked_) {
        addresses.push_back(peer.address);
    }
    return addresses;
}

std::optional<PeerClock> PeerClocks::clockOf(const Peer &peer, Instant now) const
{
    const auto answer = answers_.find(peer.incarnation);
    if (answer != answers_.end() && now < answer->second.expiresAt) {
        return PeerClock{peer.address, peer.incarnation, answer->second.sinceBoot};
    }
    const std::optional<BatchMoment> batch = lastBatchOf(peer.incarnation);
    if (!batch) {
        return std::nullopt;
    }
    return PeerClock{peer.address, peer.incarnation, batch->sinceBoot};
}

std::vector<PeerClock> PeerClocks::newestClocks(Instant now) const
{
    std::vector<std::pair<Instant, const Peer *>> order;
    for (const Peer &peer : peers_) {
        const auto answer = answers_.find(peer.incarnation);
        const auto batch = batches_.find(peer.incarnation);
        if (answer != answers_.end() && now < answer->second.expiresAt) {
            order.emplace_back(answer->second.expiresAt, &peer);
        } else if (batch != batches_.end()) {
            order.emplace_back(batch->second.readAt, &peer);
        }
    }
    std::sort(order.begin(), order.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    std::map<DomainId, uint32_t> chosen;
    std::vector<PeerClock> clocks;
    for (const auto &[at, peer] : order) {
        if (clocks.size() == MostNamed || ++chosen[peer->domain] > MostADomain) {
            continue;
        }
        if (const std::optional<PeerClock> clock = clockOf(*peer, now)) {
            clocks.push_back(*clock);
        }
    }
    return clocks;
}

} // namespace sequoiagate
