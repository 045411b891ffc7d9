#ifndef SEQUOIAGATE_EDGE_ENDPOINTDIRECTORY_H
#define SEQUOIAGATE_EDGE_ENDPOINTDIRECTORY_H

/// Tracks the endpoints that the platform lists and selects one for each request.
///
/// - An endpoint that is draining, whose entry is removed or that has said in a response that it is
///   leaving gets no new requests from then on.
/// - Entries expire when their endpoints can't renew them, so after an outage of the store the
///   entries of live endpoints are missing until they are written again. An endpoint whose entry
///   disappears during an outage or shortly after it therefore stays in use for a grace period.
/// - An endpoint that is unreachable, or whose address now belongs to another one, is excluded for
///   a while.
/// - An endpoint that limits the requests of all hosts gets this host's share of them. Where all
///   endpoints of a service do, requests beyond the share are refused at once, the less urgent ones
///   first.
/// - An endpoint that has asked this host to back off gets nothing until then. Where all that could
///   run a request have asked, it is refused at once with the end of the first backoff.
/// - A cold endpoint gets this host's share of what it bears while it is cold.
/// - A request that is restricted to regions is sent to endpoints there alone, and relayed by hosts
///   there alone. A failure domain whose region isn't known lies in none.
/// - The endpoints of an evacuated failure domain get nothing until it is taken back.
/// - While this host is partitioned from all endpoints, other hosts relay its requests.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Config/ServingConfig.h"
#include "sequoiagate/Decisions/ColdEndpoints.h"
#include "sequoiagate/Decisions/DistributedRetryBudget.h"
#include "sequoiagate/Decisions/DomainEvacuations.h"
#include "sequoiagate/Decisions/EndpointEligibility.h"
#include "sequoiagate/Decisions/EndpointEntryOrder.h"
#include "sequoiagate/Decisions/EndpointLimits.h"
#include "sequoiagate/Decisions/EndpointProcess.h"
#include "sequoiagate/Decisions/EndpointRates.h"
#include "sequoiagate/Decisions/EndpointSelector.h"
#include "sequoiagate/Decisions/EndpointWithdrawals.h"
#include "sequoiagate/Decisions/PartitionDetector.h"
#include "sequoiagate/Decisions/RelaySelector.h"
#include "sequoiagate/Decisions/ReturnSchedule.h"
#include "sequoiagate/Decisions/VersionHistory.h"
#include "sequoiagate/Proxy/ProxyContext.h"

namespace sequoiagate {

/// Why an endpoint was removed from the directory.
enum class RemovalReason {
    Removed,   ///< its entry was deleted
    Missing,   ///< a snapshot of all entries doesn't include it
    Malformed, ///< its entry can't be decoded
};

/// Another host, as a relay.
struct RelayHost
{
    boost::asio::ip::tcp::endpoint address;
    DomainId domain;
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

    EndpointDirectory(const HostId &host, const DomainId &self,
                      DistributedRetryBudgetSettings retries, EventLog &log,
                      EndpointPlacement placement = EndpointPlacement::PrefixHome);

    /// Called when the other hosts should learn at once what this one observed of an endpoint.
    /// \param rejected whether the endpoint rejected a request
    std::function<void(const EndpointLimitRecord &record, bool rejected)> onLimitObserved;
    /// Called when a slot of another host's share of a limit is needed.
    std::function<void(const SlotRequest &)> onSlotNeeded;

    /// Called when an entry shows that another process listens where one was listed.
    std::function<void(const EndpointProcess &replaced)> onProcessReplaced;

    /// Adds or changes an entry, unless a newer one is known. Takes effect with the next publish.
    void update(const EndpointEntry &entry, Instant now,
                EntrySource source = EntrySource::Snapshot);
    /// Removes \p id. An endpoint whose entry may merely have expired stays in use for
    /// a grace period.
    void remove(const EndpointId &id, RemovalReason reason, Instant now);
    /// Removes the endpoints that aren't in \p present, the ids in a snapshot of all entries.
    void keepOnly(const std::vector<EndpointId> &present, Instant now);
    /// Sets the services of the configuration in force.
    void setServices(const std::vector<ServiceSpec> &services, Instant now);
    const ExpectedTimeCounts &expectedTimeCounts() const { return selector_.expectedTimeCounts(); }
    void setStoreReachable(bool reachable, Instant now);
    /// Records that all entries written before \p asOf have been read.
    void onListRead(Instant asOf) { entryOrder_.onListRead(asOf); }
    /// Removes entries whose grace period is over. To be called several times a second.
    void tick(Instant now);
    /// Makes changes visible to place().
    void publish(Instant now);
    /// Sets the hosts that share retry budgets and endpoints' limits, including this one.
    void setHosts(const std::vector<HostId> &hosts);
    /// Sets the other hosts that relay requests.
    void setRelays(std::map<HostId, RelayHost> relays);
    /// Sets the region of each failure domain. To be called before endpoints are added.
    void setRegions(std::map<DomainId, RegionId> regions) { regions_ = std::move(regions); }
    /// Sets what measures the endpoints' rates; nullptr: nothing does, and they count as alike. To
    /// be called before endpoints are added. \pre it outlives this object
    void setRates(EndpointRates *rates)
    {
        rates_ = rates;
        selector_.setRateSource(rates);
    }
    bool isPartitioned() const { return partition_.isPartitioned(); }
    /// Whether the endpoint of \p entry takes no new requests, by that entry or by its responses.
    bool isLeaving(const EndpointEntry &entry) const
    {
        return entry.draining || withdrawals_.isLeaving(entry.id);
    }
    /// The address of \p endpoint if it takes new requests.
    std::optional<boost::asio::ip::tcp::endpoint> addressOf(const EndpointId &endpoint) const;
    /// The endpoint to which a connection should be tried now, to find out whether a partition is
    /// over. To be called several times a second.
    std::optional<std::pair<EndpointId, boost::asio::ip::tcp::endpoint>> probeTarget(Instant now);
    /// The start of the process that is listed as \p endpoint; 0 if none is.
    uint64_t startedAtMillis(const EndpointId &endpoint) const;
    /// Takes over what the endpoint of a relayed request said to this host. Its limits are left to
    /// the host that sent the request.
    void onRelayedNotice(const NoticeSource &source, const EndpointNotice &notice, Instant now);
    /// Takes over what another host observed.
    void onPeerLimits(const std::vector<EndpointLimitRecord> &records, Instant now);
    void onPeerRejection(const EndpointLimitRecord &record, Instant now);
    SlotResponse lendSlot(const SlotRequest &request, Instant now);
    void onSlotResponse(const SlotResponse &response, Instant now)
    {
        limits_.onSlotResponse(response, now);
    }
    /// What other hosts need to know of endpoints' limits.
    std::vector<EndpointLimitRecord> limitRecords(Instant now) const
    {
        return limits_.records(now);
    }
    /// Records that an operator evacuates \p domain, by row \p offset of the store.
    void beginEvacuation(const DomainId &domain, uint64_t offset, Instant now);
    /// Records that the operator takes \p domain back.
    void endEvacuation(const DomainId &domain, Instant now);
    std::vector<DomainId> evacuatedDomains() const { return evacuations_.domains(); }
    /// The number of requests that were refused since no endpoint lies in their regions.
    uint64_t requestsRefusedByRegion() const { return refusedByRegion_; }
    /// The number of requests that were refused since no other endpoint could run them.
    uint64_t requestsRefusedByEvacuation() const { return refusedByEvacuation_; }
    /// Whether a request of another host may be passed on to \p endpoint now.
    bool mayRelayTo(const EndpointId &endpoint, Instant now) const;
    bool isBackingOff(const EndpointId &endpoint, Instant now) const
    {
        return withdrawals_.isBackingOff(endpoint, now);
    }
    std::size_t backingOff(Instant now) const { return withdrawals_.backingOffCount(now); }
    /// The number of requests that were refused since all endpoints had asked for a backoff.
    uint64_t requestsRefusedInBackoff() const { return refusedInBackoff_; }
    std::size_t leavingByResponse() const { return withdrawals_.leavingCount(); }
    /// The number of listed endpoints whose removal this host may have missed.
    std::size_t suspects() const;
    std::size_t coldEndpoints(Instant now) const { return cold_.coldCount(now); }
    std::size_t limitedEndpoints() const { return limits_.limitedCount(); }
    /// The number of requests that an endpoint's limit sent elsewhere or refused.
    uint64_t limitedRequests() const { return limitedRequests_; }
    void setRetries(DistributedRetryBudgetSettings settings) { retryBudget_.setSettings(settings); }
    std::size_t size() const { return entries_.size(); }
    /// The software versions of the endpoints of each service, including those that are draining.
    std::vector<ListedVersion> listedVersions() const;
    std::size_t usable() const;

    PlacementResult place(const WorkItem &item, const std::vector<PromptPart> &prompt,
                          const std::vector<EndpointId> &tried, Instant now) override;
    void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now) override;
    void onFirstToken(const EndpointId &endpoint, const RequestId &request, Instant now) override;
    void onStreamProgress(const EndpointId &endpoint, const RequestId &request, uint64_t events,
                          Instant now) override;
    void onAttemptEnd(const AttemptResult &result, Instant now) override;
    void onNotice(const NoticeSource &source, const EndpointNotice &notice, Instant now) override;
    std::optional<Instant> returnTime(const WorkItem &item, Instant now) override;
    void onConnected(const EndpointId &endpoint, Instant now) override;
    void onConnectFailed(const EndpointId &endpoint, Instant now) override;
    void onResponse(const EndpointId &endpoint, Instant now) override;
    void onRelayResult(const HostId &host, RelayResult result, Instant now) override;
    void onStaleEndpoint(const EndpointId &endpoint, Instant now) override;
    bool mayRetry(const ServiceId &service, Instant now) override;
    void onRequest(const ServiceId &service, Instant now) override;
    bool isLeaving(const EndpointId &endpoint) const override;

private:
    /// The endpoints of \p item's service that may not get it now.
    ExcludedEndpoints excludedFor(const WorkItem &item, Instant now) const;
    SelectionOutcome selectEndpoint(const WorkItem &item, const std::vector<EndpointId> &tried,
                                    const ExcludedEndpoints &excluded, Instant now);
    /// What becomes of a request for which no endpoint could be selected, with \p verdict.
    PlacementResult delayOrRefuse(const WorkItem &item, const std::vector<EndpointId> &tried,
                                  const ExcludedEndpoints &excluded, Verdict verdict, Instant now);
    PlacementResult awaitSlotOrRefuse(const WorkItem &item, const std::vector<EndpointId> &tried,
                                      const std::vector<EndpointId> &limited, Instant now);
    /// Books or requests slots of \p limited endpoints for a request that no other one can serve.
    /// \returns when to place it again; nullopt if there is no slot within its wait
    std::optional<PlacementDelay> awaitSlot(const WorkItem &item,
                                            const std::vector<EndpointId> &limited, Instant now);
    bool requestSlot(const EndpointId &endpoint, Interval maxDelay, Instant now);
    /// Requests a slot of one of \p limited for the next request, if there is likely to be one
    /// before the slot expires.
    void prefetchSlot(const ServiceId &service, const std::vector<EndpointId> &limited,
                      Instant now);
    /// The region of \p domain; empty if it isn't known.
    RegionId regionOf(const DomainId &domain) const;
    std::optional<RelayRoute> relayFor(const WorkItem &item, const EndpointId &endpoint,
                                       Instant now);
    bool yieldsToMoreUrgent(const WorkItem &item, Instant now) const;
    Verdict refuseByLimits(const WorkItem &item, const std::vector<EndpointId> &limited,
                           Instant now);
    std::string describeLimits(const std::vector<EndpointId> &endpoints, Instant now) const;
    void logLimit(const EndpointLimitRecord &record, const char *source) const;
    void logServiceChanges();
    /// Takes over an entry that holds.
    void apply(const EndpointEntry &entry, const boost::asio::ip::tcp::endpoint &address,
               Instant now);
    /// Takes over the entries that hold since no other one has followed.
    void applyDeferred(Instant now);
    void updateSuspects(Instant now);
    /// When the caller of \p item should return if no endpoint that could run it takes requests.
    std::optional<Instant> returnTime(const WorkItem &item, const ExcludedEndpoints &excluded,
                                      Instant now);
    Verdict refuseByRegion(const WorkItem &item, Instant now);
    Verdict refuseWithoutTakers(const ExcludedEndpoints &excluded, Instant returnAt, Instant now);
    /// The limits of \p chosen and those that excluded others, for logs.
    std::string describeLimitsOf(const EndpointId &chosen, const ExcludedEndpoints &excluded,
                                 Instant now) const;
    void onBackoffNotice(const NoticeSource &source, Interval duration, const char *heardFrom,
                         Instant now);
    /// The version of \p endpoint isn't certain until its entry has been written again.
    void awaitConfirmation(const EndpointId &endpoint);
    std::string describeWithdrawals(const std::vector<EndpointId> &endpoints, Instant now) const;
    /// Makes the limit of \p endpoint follow how cold it is.
    void limitWhileCold(const EndpointId &endpoint, Instant now);
    /// Reports the processes in whose place \p entry is listed at \p address.
    void reportReplaced(const EndpointEntry &entry, const boost::asio::ip::tcp::endpoint &address);
    void onLeavingNotice(const NoticeSource &source, const char *heardFrom, Instant now);

    /// How long a request waits for a slot of a limited endpoint.
    static constexpr Interval MaxSlotWait = std::chrono::milliseconds(200);

    struct ListedEndpoint
    {
        EndpointEntry entry;
        boost::asio::ip::tcp::endpoint address;
        RegionId region;
        Instant removeAt = Never; ///< end of the grace period after its entry disappeared
        Instant excludedUntil{};  ///< not chosen before then, since it was unreachable
        bool isLeaving = false;   ///< as published
        bool isSuspect = false;   ///< while few of its service are; as published
        int entriesToConfirm = 0; ///< until its version is certain
    };

    /// A request that waits for a slot of an endpoint's limit.
    struct WaitingRequest
    {
        ServiceId service;
        Instant until{};
    };

    /// Requests of a service that endpoints' limits refused lately.
    struct Scarcity
    {
        std::map<uint32_t, Instant> refusedUntil; ///< by priority
        Instant nextReturn{};                     ///< when the next refused caller should return
    };

    EventLog &log_;
    EndpointRates *rates_ = nullptr;
    EndpointSelector selector_;
    EndpointLimits limits_;
    EndpointEntryOrder entryOrder_;
    ColdEndpoints cold_;
    EndpointWithdrawals withdrawals_;
    DomainEvacuations evacuations_;
    EndpointEligibility eligibility_;
    PartitionDetector partition_;
    RelaySelector relaySelector_;
    std::map<HostId, RelayHost> relays_;
    std::map<DomainId, RegionId> regions_;
    Instant nextProbeAt_{};
    std::size_t nextProbed_ = 0;
    std::map<ServiceId, Scarcity> scarcities_;
    std::map<RequestId, WaitingRequest> waiting_;
    std::map<ServiceId, Instant> lastPlacedAt_; ///< while limits hold
    std::size_t nextLimited_ = 0;               ///< rotates among limited endpoints
    uint64_t limitedRequests_ = 0;
    std::map<ServiceId, ReturnSchedule> returns_; ///< of callers refused without an endpoint
    uint64_t refusedInBackoff_ = 0;
    uint64_t refusedByEvacuation_ = 0;
    uint64_t refusedByRegion_ = 0;
    DistributedRetryBudget retryBudget_;
    std::unordered_map<EndpointId, ListedEndpoint> entries_;
    std::map<EndpointId, EndpointEntry> deferred_; ///< of processes with an earlier start
    std::map<ServiceId, uint64_t> kvTokens_; ///< of the services whose endpoints' memory is known
    std::set<ServiceId> servedServices_;     ///< services with an endpoint that isn't draining
    bool changed_ = false;
    bool hadSuspects_ = false; ///< as published
    bool storeReachable_ = false;
    Instant storeReachableSince_{};
};

/// The hash of the part of a prompt that may be shared with other requests: all parts but the
/// last, which is specific to the request. 0 if there is no such part.
uint64_t sharedPromptHash(const std::vector<PromptPart> &prompt);

} // namespace sequoiagate

#endif
