#ifndef SEQUOIAGATE_DECISIONS_COLDENDPOINTS_H
#define SEQUOIAGATE_DECISIONS_COLDENDPOINTS_H

/// Decides which endpoints are cold, and until when. A cold endpoint bears only so many requests
/// per second from all hosts together; EndpointLimits shares them out. Pure.
///
/// An endpoint counts as cold
/// - for the time that its entry states, from when the entry was read. The entry is older than
///   that, so the time is rather too long.
/// - for the whole time of its service when its process is seen for the first time and the entry
///   doesn't state a time.
/// - for the whole time of its service when its failure domain is taken back after an evacuation,
///   since the entries that state it may still be under way.
/// - for as long as another host says that asks for a share of what it bears, at most for the whole
///   time of its service.
/// - while it can't be connected to, and for the whole time of its service from the first
///   connection after that: it may have started again, which no entry says while the store is
///   silent. A host that would send much there has tried to connect, so that the sum of what hosts
///   without such a failure send is small.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// What the endpoints of a service bear while they are cold.
struct ColdService
{
    Interval duration{};            ///< after a start
    double requestsPerSecond = 0.0; ///< of one endpoint, from all hosts
};

/// Why an endpoint counts as cold.
enum class ColdReason {
    Stated,      ///< by its entry
    Started,     ///< its process is new here
    TakenBack,   ///< after an evacuation
    Unreachable, ///< a connection failed, and none has been established since
    Reached,     ///< again, after such a failure
    Told,        ///< by another host
};

/// The entry of an endpoint, as far as it says how cold it is.
struct ColdEntry
{
    EndpointId endpoint;
    ServiceId service;
    uint64_t startedAtMillis = 0; ///< identifies its process
    std::optional<Interval> left; ///< how long it is still cold; nullopt: not stated
};

/// Not thread safe.
class ColdEndpoints
{
public:
    /// How long an endpoint that isn't tried again counts as unreachable.
    static constexpr Interval UnreachableLifetime = std::chrono::seconds(30);

    /// Sets the services whose endpoints may be cold.
    void setServices(std::map<ServiceId, ColdService> services, Instant now);
    /// Records an entry.
    void onEntry(const ColdEntry &entry, Instant now);
    void removeEndpoint(const EndpointId &endpoint) { endpoints_.erase(endpoint); }
    /// Records that \p endpoint's failure domain is taken back after an evacuation.
    void onTakenBack(const EndpointId &endpoint, Instant now);
    /// Records that another host counts the process of \p endpoint as cold until \p until.
    void onTold(const EndpointId &endpoint, uint64_t startedAtMillis, Instant until, Instant now);
    /// Records that a connection to \p endpoint failed, or was established.
    void onConnectFailed(const EndpointId &endpoint, Instant now);
    void onConnected(const EndpointId &endpoint, Instant now);

    /// When \p endpoint will be warm; not after \p now if it is.
    Instant coldUntil(const EndpointId &endpoint) const;
    /// The requests per second that it bears while it is cold; 0 if it can't be cold.
    double requestsPerSecond(const EndpointId &endpoint) const;
    /// Why and until when \p endpoint is cold, for logs; empty if it is warm.
    std::string describe(const EndpointId &endpoint, Instant now) const;
    std::size_t coldCount(Instant now) const;
    static const char *nameOf(ColdReason reason);

private:
    struct Endpoint
    {
        ServiceId service;
        uint64_t startedAtMillis = 0;
        Instant firstSeen{};                ///< its process
        std::optional<Instant> statedUntil; ///< the end of the time that its entry states
        Instant coldUntil{};
        ColdReason reason = ColdReason::Stated;
        Instant knownSince{}; ///< when that was learnt
    };

    /// The service of \p endpoint; nullptr if its endpoints are never cold.
    const ColdService *serviceOf(const Endpoint &endpoint) const;
    void applyEntry(Endpoint &endpoint, Instant now) const;
    static void extend(Endpoint &endpoint, Instant until, ColdReason reason, Instant now);

    std::map<ServiceId, ColdService> services_;
    std::map<EndpointId, Endpoint> endpoints_;
};

} // namespace sequoiagate

#endif
