#ifndef SEQUOIAGATE_EDGE_ENDPOINTDIRECTORY_H
#define SEQUOIAGATE_EDGE_ENDPOINTDIRECTORY_H

/// Tracks the endpoints that the platform lists and selects one for each request.
///
/// - An endpoint that is draining or whose entry is removed gets no new requests from then on.
/// - Entries expire when their endpoints can't renew them, so after an outage of the store the
///   entries of live endpoints are missing until they are written again. An endpoint whose entry
///   disappears during an outage or shortly after it therefore stays in use for a grace period.
/// - An endpoint that is unreachable, or whose address now belongs to another one, is excluded for
///   a while.

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Config/ServingConfig.h"
#include "sequoiagate/Decisions/DistributedRetryBudget.h"
#include "sequoiagate/Decisions/EndpointSelector.h"
#include "sequoiagate/Proxy/ProxyContext.h"

namespace sequoiagate {

/// Why an endpoint was removed from the directory.
enum class RemovalReason {
    Removed,   ///< its entry was deleted
    Missing,   ///< a snapshot of all entries doesn't include it
    Malformed, ///< its entry can't be decoded
};

/// Single-threaded.
class EndpointDirectory : public Placement
{
public:
    /// How long after the store's return an endpoint without an entry stays in use. Live endpoints
    /// rewrite their entries within about two seconds.
    static constexpr Interval ExpiredEntryGrace = std::chrono::milliseconds(2200);
    /// How long an unreachable endpoint is excluded before it is tried again. The entry of a
    /// crashed endpoint is removed after three heartbeats of about a second, but one that was
    /// partitioned may be reachable again at any time.
    static constexpr Interval UnreachableRetryDelay = std::chrono::milliseconds(1000);

    EndpointDirectory(const DomainId &self, DistributedRetryBudgetSettings retries, EventLog &log);

    /// Adds or changes an entry. Takes effect with the next publish.
    void update(const EndpointEntry &entry, Instant now);
    /// Removes \p id. An endpoint whose entry may merely have expired stays in use for
    /// a grace period.
    void remove(const EndpointId &id, RemovalReason reason, Instant now);
    /// Removes the endpoints that aren't in \p present, the ids in a snapshot of all entries.
    void keepOnly(const std::vector<EndpointId> &present, Instant now);
    void setStoreReachable(bool reachable, Instant now);
    /// Removes entries whose grace period is over. To be called several times a second.
    void tick(Instant now);
    /// Makes changes visible to place().
    void publish(Instant now);
    void setProcesses(uint32_t count);
    void setRetries(DistributedRetryBudgetSettings settings) { retryBudget_.setSettings(settings); }
    std::size_t size() const { return entries_.size(); }
    std::size_t usable() const;

    PlacementResult place(const WorkItem &item, const std::vector<PromptPart> &prompt,
                          const std::vector<EndpointId> &tried, Instant now) override;
    void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now) override;
    void onFirstToken(const EndpointId &endpoint, const RequestId &request, Instant now) override;
    void onAttemptEnd(const AttemptResult &result, Instant now) override;
    void onNotice(const EndpointId &endpoint, const EndpointNotice &notice, Instant sentAt,
                  Instant now) override;
    void onStaleEndpoint(const EndpointId &endpoint, Instant now) override;
    bool mayRetry(const ServiceId &service, Instant now) override;
    void onRequest(const ServiceId &service, Instant now) override;

private:
    void logServiceChanges();

    struct ListedEndpoint
    {
        EndpointEntry entry;
        boost::asio::ip::tcp::endpoint address;
        Instant removeAt = Never; ///< end of the grace period after its entry disappeared
        Instant excludedUntil{};  ///< not chosen before then, since it was unreachable
        EndpointNotice notice;    ///< of its last response
    };

    EventLog &log_;
    EndpointSelector selector_;
    DistributedRetryBudget retryBudget_;
    std::unordered_map<EndpointId, ListedEndpoint> entries_;
    std::set<ServiceId> servedServices_; ///< services with an endpoint that isn't draining
    bool changed_ = false;
    bool storeReachable_ = false;
    Instant storeReachableSince_{};
};

/// The hash of the part of a prompt that may be shared with other requests: all parts but the
/// last, which is specific to the request. 0 if there is no such part.
uint64_t sharedPromptHash(const std::vector<PromptPart> &prompt);

} // namespace sequoiagate

#endif
