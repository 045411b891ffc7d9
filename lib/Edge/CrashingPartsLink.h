#ifndef SEQUOIAGATE_LIB_EDGE_CRASHINGPARTSLINK_H
#define SEQUOIAGATE_LIB_EDGE_CRASHINGPARTSLINK_H

/// Connects CrashingParts to the other hosts, and probes endpoints for it.

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "HostAddresses.h"
#include "QuarantineStore.h"
#include "sequoiagate/Decisions/CrashingParts.h"
#include "sequoiagate/Proxy/PromptGuard.h"
#include "sequoiagate/Service/DeadlineTimer.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

/// Single-threaded.
class CrashingPartsLink : public PromptGuard
{
public:
    /// Returns the address of an endpoint that takes new requests.
    using Resolve =
            std::function<std::optional<boost::asio::ip::tcp::endpoint>(const EndpointId &)>;

    /// \pre all arguments outlive it
    CrashingPartsLink(boost::asio::io_context &io, PeerLink &peers,
                      const CrashingPartsSettings &settings, Resolve resolve,
                      std::unique_ptr<QuarantineStore> records, EventLog &log, Metrics &metrics);

    /// Takes a row of a quarantined part.
    void onRow(const StoreRow &row);

    void setHosts(const std::vector<Peer> &others) { parts_.setHosts(hosts_.set(others)); }
    /// Tells a few hosts, in rotation, which parts are quarantined: those that missed it or started
    /// later learn it within a few such rounds.
    void gossip(Instant now);
    std::size_t quarantined(Instant now) const { return parts_.quarantines(now).size(); }

    std::optional<Verdict> refusal(const ServiceId &service, const std::vector<PromptPart> &prompt,
                                   Instant now) override;
    void onAnswerWritten(const ServiceId &service, const std::vector<PromptPart> &prompt,
                         Instant now) override;
    void onConnectionLost(const ServiceId &service, const EndpointProcess &process,
                          const std::vector<PromptPart> &prompt, Instant sentAt,
                          Instant now) override;

private:
    using Address = boost::asio::ip::udp::endpoint;

    void registerHandlers();
    /// Finds out whether an endpoint has ended.
    void probe(const EndpointProcess &process, const boost::asio::ip::tcp::endpoint &address,
               int attempts);
    void onProbed(const EndpointProcess &process, bool hasEnded);
    void onQuarantined(const Quarantine &quarantine);
    void armTimer();

    boost::asio::io_context &io_;
    PeerLink &peers_;
    Resolve resolve_;
    EventLog &log_;
    Metrics &metrics_;
    CrashingParts parts_;
    std::unique_ptr<QuarantineStore> records_;
    HostAddresses hosts_;
    std::size_t nextGossiped_;
    DeadlineTimer timer_;
};

} // namespace sequoiagate

#endif
