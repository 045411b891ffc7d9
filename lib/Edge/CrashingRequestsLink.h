#ifndef SEQUOIAGATE_LIB_EDGE_CRASHINGREQUESTSLINK_H
#define SEQUOIAGATE_LIB_EDGE_CRASHINGREQUESTSLINK_H

/// Connects CrashingRequests to the other hosts.

#include <memory>
#include <optional>
#include <vector>

#include "HostAddresses.h"
#include "QuarantineStore.h"
#include "sequoiagate/Decisions/CrashingRequests.h"
#include "sequoiagate/Proxy/RequestGuard.h"
#include "sequoiagate/Service/DeadlineTimer.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

/// Single-threaded.
class CrashingRequestsLink : public RequestGuard
{
public:
    /// \pre all arguments outlive it
    CrashingRequestsLink(boost::asio::io_context &io, PeerLink &peers, const HostId &host,
                         const DomainId &domain, std::unique_ptr<QuarantineStore> records,
                         EventLog &log, Metrics &metrics);

    /// Takes a row of a refused request.
    void onRow(const StoreRow &row);

    void setHosts(const std::vector<Peer> &others);
    /// Tells a few hosts, in rotation, which requests are refused: those that missed it or started
    /// later learn it within a few such rounds.
    void gossip(Instant now);
    std::size_t refused(Instant now) const { return requests_.countRefused(now); }
    /// Whether the crashes of \p processes may be those of one request with \p part in its prompt.
    bool explains(PartKey part, const std::vector<EndpointProcess> &processes) const
    {
        return requests_.explains(part, processes);
    }

    std::optional<Verdict> refusal(const RequestIdentity &identity, Instant now) override;
    void onAnswered(const RequestIdentity &identity, Instant now) override;
    void onEndpointLost(const RequestIdentity &identity, const EndpointProcess &process,
                        Instant sentAt, Instant now) override;
    Instant repeatTime(Instant lostAt) const override { return requests_.repeatTime(lostAt); }

private:
    void logRefused(const RequestLosses &known);
    void armTimer();

    EventLog &log_;
    Metrics &metrics_;
    HostId host_;
    CrashingRequests requests_;
    std::unique_ptr<QuarantineStore> records_;
    HostAddresses hosts_;
    std::size_t nextGossiped_;
    DeadlineTimer timer_;
};

} // namespace sequoiagate

#endif
