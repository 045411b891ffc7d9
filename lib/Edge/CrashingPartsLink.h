#ifndef SEQUOIAGATE_LIB_EDGE_CRASHINGPARTSLINK_H
#define SEQUOIAGATE_LIB_EDGE_CRASHINGPARTSLINK_H

/// Connects CrashingParts to the other hosts, and probes endpoints for it.

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "HostAddresses.h"
#include "QuarantineStore.h"
#include "sequoiagate/Decisions/CrashConfirmation.h"
#include "sequoiagate/Decisions/CrashingParts.h"
#include "sequoiagate/Proxy/PromptGuard.h"
#include "sequoiagate/Service/DeadlineTimer.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

/// Single-threaded.
class CrashingPartsLink : public PromptGuard
{
public:
    /// The process that is listed as an endpoint which takes new requests.
    struct ListedProcess
    {
        boost::asio::ip::tcp::endpoint address;
        uint64_t startedAtMillis = 0;
    };

    using IsExplained = std::function<bool(PartKey, const std::vector<EndpointProcess> &)>;
    using Resolve = std::function<std::optional<ListedProcess>(const EndpointId &)>;

    /// \pre all arguments outlive it
    CrashingPartsLink(boost::asio::io_context &io, PeerLink &peers,
                      const CrashingPartsSettings &settings, Resolve resolve,
                      std::unique_ptr<QuarantineStore> records, EventLog &log, Metrics &metrics);

    /// Sets what tells whether one request explains the crashes of a part. Set before it is used.
    void setIsExplained(IsExplained isExplained)
    {
        parts_.isExplainedByRequest = std::move(isExplained);
    }
    /// Takes a row of a quarantined part.
    void onRow(const StoreRow &row);
    /// Another process is listed in the place of \p process.
    void onProcessReplaced(const EndpointProcess &process);

    void setHosts(const std::vector<Peer> &others);
    /// Tells a few hosts, in rotation, which parts are quarantined: those that missed it or started
    /// later learn it within a few such rounds.
    void gossip(Instant now);
    std::size_t quarantined(Instant now) const { return parts_.quarantines(now).size(); }

    std::optional<Verdict> refusal(const ServiceId &service, const std::vector<PromptPart> &prompt,
                                   Instant now) override;
    void onAnswerWritten(const ServiceId &service, const std::vector<PromptPart> &prompt,
                         Instant now) override;
    void onConnectionLost(const LostRequest &request, const std::vector<PromptPart> &prompt,
                          Instant now) override;

private:
    using Address = boost::asio::ip::udp::endpoint;

    void registerHandlers();
    void registerProbeHandlers();
    /// Finds out whether a process still listens.
    void probe(const EndpointProcess &process);
    void tryConnection(const EndpointProcess &process,
                       const boost::asio::ip::tcp::endpoint &address, int attempts);
    void onProbed(const EndpointProcess &process, ProbeResult result);
    void onDecided(const EndpointProcess &process, bool hasEnded);
    void onQuarantined(const Quarantine &quarantine);
    void armTimer();

    boost::asio::io_context &io_;
    PeerLink &peers_;
    Resolve resolve_;
    EventLog &log_;
    Metrics &metrics_;
    HostId host_;
    CrashingParts parts_;
    CrashConfirmation confirmation_;
    std::unique_ptr<QuarantineStore> records_;
    HostAddresses hosts_;
    std::size_t nextGossiped_;
    DeadlineTimer timer_;
};

} // namespace sequoiagate

#endif
