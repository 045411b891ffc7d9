#ifndef SEQUOIAGATE_LIB_EDGE_STREAMORIGINLINK_H
#define SEQUOIAGATE_LIB_EDGE_STREAMORIGINLINK_H

/// Connects StreamOrigins to the other hosts.

#include <vector>

#include "HostAddresses.h"
#include "sequoiagate/Config/ServingConfig.h"
#include "sequoiagate/Decisions/StreamOrigins.h"
#include "sequoiagate/Proxy/StreamContinuity.h"
#include "sequoiagate/Service/DeadlineTimer.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

/// Single-threaded.
class StreamOriginLink : public StreamOriginSource
{
public:
    /// \pre all arguments outlive it
    StreamOriginLink(boost::asio::io_context &io, PeerLink &peers, const HostId &self,
                     const DomainId &domain, Metrics &metrics);

    void setHosts(const std::vector<Peer> &others) { origins_.setHosts(hosts_.set(others)); }
    /// Called when \p config comes into force in place of \p previous, nullptr at first.
    void onConfig(const ServingConfig &config, const ServingConfig *previous, Instant now);
    VersionHistory &versions() { return origins_.versions(); }

    void onStreamBegan(const ServiceId &service, const RequestId &first,
                       const SoftwareVersion &version, Instant now) override;
    void find(const ServiceId &service, const RequestId &first, Instant now,
              std::function<void(const StreamOrigin &)> handler) override;
    std::size_t recordCount() const { return origins_.recordCount(); }

private:
    using Address = boost::asio::ip::udp::endpoint;

    void registerHandlers();
    void armTimer();

    PeerLink &peers_;
    HostId self_;
    Metrics &metrics_;
    StreamOrigins origins_;
    HostAddresses hosts_;
    DeadlineTimer timer_;
};

/// The services that some route of \p config leads to and didn't lead to in \p previous, where it
/// led elsewhere. Thread safe.
std::vector<ServiceId> movedServices(const ServingConfig &config, const ServingConfig &previous);

/// The longest time that a stream of any route may take. Thread safe.
Interval longestStream(const ServingConfig &config);

} // namespace sequoiagate

#endif
