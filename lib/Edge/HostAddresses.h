#ifndef SEQUOIAGATE_LIB_EDGE_HOSTADDRESSES_H
#define SEQUOIAGATE_LIB_EDGE_HOSTADDRESSES_H

/// Sends datagrams to other hosts by their names.

#include <map>
#include <string>
#include <vector>

#include "sequoiagate/Edge/PeerLink.h"

#include "sequoiagate/Decisions/ReplicaPlacement.h"

namespace sequoiagate {

/// Single-threaded.
class HostAddresses
{
public:
    /// \pre \p peers outlives it
    explicit HostAddresses(PeerLink &peers) : peers_(peers) {}

    /// Replaces the other hosts. \returns where they are
    std::vector<HostPlace> set(const std::vector<Peer> &others);
    std::size_t size() const { return addresses_.size(); }

    /// Does nothing if \p to isn't among the hosts.
    void send(const HostId &to, const std::string &text);
    /// \pre \p place is below size()
    void sendToNth(std::size_t place, const std::string &text);
    void broadcast(const std::string &text);

private:
    PeerLink &peers_;
    std::map<HostId, boost::asio::ip::udp::endpoint> addresses_;
};

} // namespace sequoiagate

#endif
