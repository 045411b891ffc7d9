#ifndef SEQUOIAGATE_EDGE_ENDPOINTDIRECTORY_H
#define SEQUOIAGATE_EDGE_ENDPOINTDIRECTORY_H

/// The endpoints that the platform lists, and which of them a request goes to.
///
/// - One that says it is leaving, or whose entry is removed, gets no new work at once.
/// - Entries lapse when their endpoints can't renew them, so a store that was away comes
///   back with live endpoints' entries missing. They are back soon after; until then an
///   endpoint whose entry went while the store was away, or just after, stays in use.
/// - One that can't be reached, or whose address another one has, is left out for a while.

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Config/ServingConfig.h"
#include "sequoiagate/Decisions/DistributedRetryBudget.h"
#include "sequoiagate/Decisions/EndpointSelector.h"
#include "sequoiagate/Proxy/ProxyContext.h"

namespace sequoiagate {

/// Why an endpoint is no longer listed.
enum class Delisting {
    Removed,   ///< its entry was
    Missing,   ///< the newest entries don't include it
    Malformed, ///< its entry can't be read
};

/// Single-threaded.
class EndpointDirectory : public Placement
{
public:
    /// Live endpoints write their entries anew within some two seconds of the store's
    /// return; one that is still missing then has gone.
    static constexpr Interval LapseGrace = std::chrono::milliseconds(2200);
    /// An endpoint that can't be reached is tried again after this. A crashed one is
    /// delisted after three heartbeats of a second or so; a cut one may be back any time.
    static constexpr Interval UnreachableFor = std::chrono::milliseconds(1000);

    EndpointDirectory(const DomainId &self, DistributedRetryBudgetSettings retries, EventLog &log);

    /// An entry came or changed. In force with the next publish.
    void update(const EndpointEntry &entry, Instant now);
    /// No longer lists \p id. An entry that may only have lapsed stays in use for a while.
    void remove(const EndpointId &id, Delisting why, Instant now);
    /// The newest entries of all were read; those that aren't in \p present were removed.
    void keepOnly(const std::vector<EndpointId> &present, Instant now);
    void setStoreReachable(bool reachable, Instant now);
    /// Takes lapsed entries out when their time is over. Call some times a second.
    void tick(Instant now);
    /// Puts what changed in force.
    void publish(Instant now);
    void setProcesses(uint32_t count);
    void setRetries(DistributedRetryBudgetSettings settings) { retries_.setSettings(settings); }
    std::size_t size() const { return entries_.size(); }
    std::size_t usable() const;

    PlacementResult place(const WorkItem &item, const std::vector<PromptPart> &prompt,
                          const std::vector<EndpointId> &tried, Instant now) override;
    void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now) override;
    void onFirstToken(const EndpointId &endpoint, const RequestId &request, Instant now) override;
    void onAttemptEnd(const AttemptResult &result, Instant now) override;
    void onStaleEndpoint(const EndpointId &endpoint, Instant now) override;
    bool mayRetry(const ServiceId &service, Instant now) override;
    void onRequest(const ServiceId &service, Instant now) override;

private:
    void logServices();

    struct Listed
    {
        EndpointEntry entry;
        boost::asio::ip::tcp::endpoint address;
        Instant goneAt = Never; ///< its entry lapsed; it is out from then on
        Instant avoidUntil{};   ///< it couldn't be reached
    };

    EventLog &log_;
    EndpointSelector choice_;
    DistributedRetryBudget retries_;
    std::unordered_map<EndpointId, Listed> entries_;
    std::set<ServiceId> served_; ///< services with a listed endpoint that takes new work
    bool changed_ = false;
    bool storeReachable_ = false;
    Instant storeBackAt_{};
};

/// The hash of what of a prompt other requests share: all parts but the last, which is the
/// request's own. 0 if there is none.
uint64_t sharedPromptHash(const std::vector<PromptPart> &prompt);

} // namespace sequoiagate

#endif
