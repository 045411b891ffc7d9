#include "Predecessor.h"

#include <algorithm>

namespace sequoiagate {

namespace {

constexpr Interval RetryInterval = std::chrono::milliseconds(100);
constexpr Interval AllResponsesTimeout = std::chrono::milliseconds(500);
/// Waiting longer makes the bound no larger; it only delays the return of the tokens.
constexpr Interval GiveUpTimeout = std::chrono::seconds(10);

} // namespace

Predecessor::Predecessor(BatchHeader last, const std::set<Address> &listed, Instant now)
    : process_(std::move(last.holder)), preferAllUntil_(now + AllResponsesTimeout),
      giveUpAt_(now + GiveUpTimeout)
{
    for (PeerClock &peer : last.peers) {
        if (listed.count(peer.address) > 0) {
            const Address address = peer.address;
            queriedPeers_[address] = {std::move(peer), std::nullopt};
        }
    }
}

std::vector<Predecessor::Address> Predecessor::addressesToQuery(Instant now)
{
    std::vector<Address> addresses;
    if (now < nextQueryAt_) {
        return addresses;
    }
    nextQueryAt_ = now + RetryInterval;
    for (const auto &[address, queried] : queriedPeers_) {
        if (!queried.response) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void Predecessor::onResponse(const ClockResponse &response)
{
    const auto found = queriedPeers_.find(response.address);
    if (found != queriedPeers_.end() && !found->second.response) {
        found->second.response = response;
    }
}

std::size_t Predecessor::responseCount() const
{
    return static_cast<std::size_t>(
            std::count_if(queriedPeers_.begin(), queriedPeers_.end(),
                          [](const auto &entry) { return entry.second.response.has_value(); }));
}

bool Predecessor::isComplete(Instant now) const
{
    return responseCount() == queriedCount() || now >= giveUpAt_
           || (now >= preferAllUntil_ && elapsedUpperBound());
}

std::optional<Millis> Predecessor::elapsedUpperBound() const
{
    std::vector<PeerClockReadings> spans;
    for (const auto &[address, queried] : queriedPeers_) {
        if (queried.response) {
            spans.push_back({queried.earlierReading.process,
                             Incarnation(shortProcessId(queried.response->process)),
                             queried.earlierReading.sinceBoot, queried.response->sinceBoot,
                             queried.response->requestedAfterStart});
        }
    }
    return elapsedBound(spans);
}

} // namespace sequoiagate
