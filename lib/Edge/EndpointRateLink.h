#ifndef SEQUOIAGATE_LIB_EDGE_ENDPOINTRATELINK_H
#define SEQUOIAGATE_LIB_EDGE_ENDPOINTRATELINK_H

/// Connects EndpointRates to the other hosts.

#include <string>
#include <vector>

#include "EndpointRateMessage.h"
#include "HostAddresses.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

/// Single-threaded.
class EndpointRateLink
{
public:
    /// \pre all arguments outlive it
    EndpointRateLink(PeerLink &peers, const HostId &self, EndpointRates &rates, EventLog &log,
                     Metrics &metrics);

    void setHosts(const std::vector<Peer> &others) { rates_.setHosts(hosts_.set(others)); }
    /// To be called each EndpointRates::RoundInterval.
    void gossip(Instant now) { rates_.tick(now); }

private:
    void setSenders();
    std::vector<std::string> encode(std::vector<SharedRate> measurements,
                                    std::vector<SharedRate> rates, Instant now) const;
    void onMessage(const nlohmann::json &message);
    void logDropped(const EndpointRateMessage &message, Instant now);
    /// Counts \p datagram as sent to \p recipients.
    void count(const std::string &datagram, std::size_t recipients);

    HostId self_;
    EndpointRates &rates_;
    EventLog &log_;
    Metrics &metrics_;
    HostAddresses hosts_;
    std::size_t nextGossiped_;
    std::size_t dropped_ = 0; ///< since the last line
    Instant nextDroppedLineAt_{};
};

} // namespace sequoiagate

#endif
