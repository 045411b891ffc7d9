#ifndef SEQUOIAGATE_DECISIONS_CRASHCONFIRMATION_H
#define SEQUOIAGATE_DECISIONS_CRASHCONFIRMATION_H

/// Finds out whether the process of an endpoint has ended, by probes of several hosts. Pure:
/// messages, probes and deadlines are the caller's.
///
/// To a host that is partitioned from an endpoint it looks as if it had ended. So a host that lost
/// a connection and can't open another one asks other hosts to try as well, those of other failure
/// domains first. One to which the endpoint still listens shows that it lives; where no majority of
/// them and this host finds its end, this host may be cut off from the others too. A request that
/// was relayed went over the path of the relay, so that the relay is asked in place of a probe from
/// here.

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/EndpointProcess.h"
#include "sequoiagate/Decisions/ReplicaPlacement.h"

namespace sequoiagate {

enum class ProbeResult {
    Unknown, ///< this host doesn't list the endpoint
    Listens,
    Ended,
};

/// Not thread safe.
class CrashConfirmation
{
public:
    /// Other hosts that are asked to probe, besides a relay.
    static constexpr std::size_t Witnesses = 5;
    /// How long they have to respond: they may have to wait for a connection.
    static constexpr Interval ResponseTime = std::chrono::milliseconds(600);
    /// How long the others have once a majority has found that the process has ended.
    static constexpr Interval ContradictionTime = std::chrono::milliseconds(200);
    static constexpr Interval ResendDelay = std::chrono::milliseconds(150);
    /// How long a probe that found the end of a process answers for another one.
    static constexpr Interval ResultLifetime = std::chrono::seconds(2);

    explicit CrashConfirmation(DomainId domain) : self_(domain), placement_(std::move(domain)) {}

    // Set before any other call.
    /// Tries the address of a process from here; the result goes to onProbed.
    std::function<void(const EndpointProcess &)> probe;
    std::function<void(const HostId &to, const EndpointProcess &)> sendRequest;
    std::function<void(const HostId &to, const EndpointProcess &, ProbeResult)> sendResponse;
    /// Called once for each call of begin, possibly from inside it.
    std::function<void(const EndpointProcess &, bool hasEnded)> onDecided;

    void setHosts(const std::vector<HostPlace> &others);

    /// Begins to find out whether \p process has ended.
    /// \param relay the host that relayed the lost request; empty if none did
    /// \pre a call for the same process has been decided
    void begin(const EndpointProcess &process, const HostId &relay, Instant now);
    void onProbed(const EndpointProcess &process, ProbeResult result, Instant now);
    /// Another host asks this one to probe.
    void onRequest(const HostId &from, const EndpointProcess &process, Instant now);
    void onResponse(const HostId &from, const EndpointProcess &process, ProbeResult result,
                    Instant now);

    /// To be called at nextDeadline().
    void tick(Instant now);
    Instant nextDeadline() const;

private:
    /// A probe from here that has no result yet.
    struct Probe
    {
        bool isOwn = false;
        std::set<HostId> requesters;
    };

    /// Hosts that were asked and haven't responded.
    struct Inquiry
    {
        std::set<HostId> unanswered;
        std::size_t needed = 0; ///< results Ended that are missing
        Instant resendAt = Never;
        Instant decideAt = Never;
    };

    void startProbe(const EndpointProcess &process, const Probe &probe);
    std::vector<HostId> witnesses(const EndpointProcess &process) const;
    /// \param ownResults how many results Ended this host has itself
    void ask(const EndpointProcess &process, const std::vector<HostId> &hosts,
             std::size_t ownResults, Instant now);
    void decide(const EndpointProcess &process, bool hasEnded);

    DomainId self_;
    ReplicaPlacement placement_;
    bool hasOwnDomain_ = false; ///< another host is in the failure domain of this one
    std::map<EndpointProcess, Probe> probes_;
    std::map<EndpointProcess, Inquiry> inquiries_;
    std::map<EndpointProcess, Instant> endedUntil_; ///< results that answer for other probes
};

} // namespace sequoiagate

#endif
