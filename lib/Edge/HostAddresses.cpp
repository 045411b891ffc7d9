#include "HostAddresses.h"

#include <iterator>

namespace sequoiagate {

std::vector<HostPlace> HostAddresses::set(const std::vector<Peer> &others)
{
    std::vector<HostPlace> places;
    addresses_.clear();
    for (const Peer &peer : others) {
        places.push_back({peer.host, peer.domain});
        addresses_[peer.host] = peer.address;
    }
    return places;
}

void HostAddresses::send(const HostId &to, const std::string &text)
{
    const auto found = addresses_.find(to);
    if (found != addresses_.end()) {
        peers_.send(text, found->second);
    }
}

void HostAddresses::sendToNth(std::size_t place, const std::string &text)
{
    const auto found = std::next(addresses_.begin(), static_cast<std::ptrdiff_t>(place));
    peers_.send(text, found->second);
}

void HostAddresses::broadcast(const std::string &text)
{
    for (const auto &[host, address] : addresses_) {
        peers_.send(text, address);
    }
}

} // namespace sequoiagate
