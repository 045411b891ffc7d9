#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTSELECTOR_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTSELECTOR_H

/// Selects the endpoint for a request among those that offer its service, by prefix
/// affinity with bounded load, locality and health. Pure.
///
/// Guards against callers or prefix keys that make up most of the load. Selection by
/// least requests in flight prefills the same prefix at every endpoint; plain consistent
/// hashing sends a hot prefix to one endpoint, whose callers wait while others idle.
/// Instead, a request goes to the first endpoint in its prefix's rendezvous order whose load
/// is below boundFactor times the mean (Mirrokni, Thorup and Zadimoghaddam, "Consistent
/// Hashing with Bounded Loads", 2018): a hot prefix spreads over as many endpoints as it
/// needs and no more.
///
/// The load is measured in two ways: by the reports, which lag, and by this router's own
/// requests relative to its share of the total. The second knows nothing of other routers
/// but is never late. If each router respects it the total stays even, and no router
/// overloads an endpoint that the reports still show as idle.
///
/// The criteria, in order:
/// 1. Endpoints that are leaving, unreachable, ejected or were attempted before are
///    excluded.
/// 2. An endpoint that is due for a probe gets an idempotent short request.
/// 3. Endpoints in the router's own failure domain come first, while one of them has
///    capacity; then those of all domains, each at its measured round trip. Among these
///    the prefix's rendezvous order decides.
/// 4. Without a prefix, the better of two picked at random: if all routers selected the
///    least loaded endpoint by lagging reports, their requests would arrive there together.
/// 5. If no endpoint has capacity, the one with the least expected time to first token.
///
/// With EndpointPlacement::ExpectedTime, prompts are placed otherwise: by PlacementCost among the
/// first homes of their prefix, which are chosen by rendezvous hashing weighted with the endpoints'
/// rates. Requests without a prompt follow the criteria above.
///
/// See LongPromptLanes for long prompts, EndpointHealth for outlier detection and
/// EndpointLoad for the correction of lagging reports.

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Decisions/EndpointHealth.h"
#include "sequoiagate/Decisions/EndpointLoad.h"
#include "sequoiagate/Decisions/EndpointOccupancy.h"
#include "sequoiagate/Decisions/EndpointRate.h"
#include "sequoiagate/Decisions/EndpointSpec.h"
#include "sequoiagate/Decisions/LongPromptLanes.h"
#include "sequoiagate/Decisions/PlacementCost.h"
#include "sequoiagate/Decisions/PrefixAffinity.h"
#include "sequoiagate/Decisions/RetryBudget.h"
#include "sequoiagate/Decisions/WorkItem.h"

namespace sequoiagate {

/// An endpoint that offers the service but can't be selected.
struct UnusableEndpoint
{
    EndpointId endpoint;
    std::string reason; ///< "leaving", "unreachable", "ejected" or "probing"
};

struct SelectedEndpoint
{
    EndpointId endpoint;
    std::string reason;   ///< "prefix_home", "least_loaded", "spill", "expected_time", ...
    std::string detail{}; ///< the expected time and its parts, for logs; empty: it wasn't estimated
};

using SelectionOutcome = std::variant<SelectedEndpoint, Verdict>;

/// How an endpoint is selected for a request that has a prompt.
enum class EndpointPlacement {
    PrefixHome,   ///< the less loaded of two homes of the prefix; all endpoints count as alike
    ExpectedTime, ///< the lowest expected time to the first event, by the endpoints' rates
    Adaptive,     ///< ExpectedTime for services whose endpoints differ in speed, else PrefixHome
};

/// Counts of the selections by expected time.
struct ExpectedTimeCounts
{
    uint64_t selected = 0;
    uint64_t awayFromHome = 0;  ///< another endpoint than the first usable home was cheaper
    uint64_t spread = 0;        ///< the prefix needs more homes than are considered otherwise
    uint64_t withoutMemory = 0; ///< an endpoint was left out since the prompt doesn't fit there
    uint64_t refused = 0;       ///< the memory of no endpoint holds the prompt
};

struct EndpointSelectorSettings
{
    double boundFactor = 1.25; ///< of the mean load, up to which a prefix stays at home
    /// Prompt tokens an engine prefills a second and the time before the first; they
    /// scale expected times alike at all endpoints, so an error by a factor changes little.
    double prefillTokensPerSecond = 40'000.0;
    Interval prefillBase = std::chrono::milliseconds(20);
    /// Prefill backlog, extrapolated from this router's share to all routers, beyond which
    /// an endpoint isn't selected for a prefix. When each router counted only its own
    /// requests, a hot prefix's home had six routers' backlogs of that length and was
    /// ejected for it.
    Interval prefillBacklogLimit = std::chrono::milliseconds(150);
    /// Share of this router's equal part of an endpoint's slots that a prefix may fill before
    /// the load bound applies. Where a router has a few requests at each endpoint, a bound of
    /// 1.25 times their mean is less than two, and a prefix would leave its home with the
    /// second request.
    double boundExemptShare = 0.0;
    /// Number of homes, in any failure domain, of a prefix that saves more prefill time than
    /// a round trip costs; the least loaded of them is selected. 0: the prefix has one home
    /// in each domain, and boundFactor applies. Two choices even out the load almost as
    /// well as all would (Mitzenmacher, "The power of two choices", 2001), and a prefix is
    /// prefilled by two endpoints, not by all.
    uint32_t prefixHomes = 0;
    /// A home with more than this many times the mean load is skipped for the next one.
    double homeLoadBound = 2.0;
    /// Weight of prefilling a prefix again relative to an endpoint's load, as a multiple of the
    /// time it takes there: it also delays the other requests served there.
    double prefixMissWeight = 3.0;
    double maxUtilization = 0.98; ///< of all slots: leaves room for uneven selection
    double kvLimit = 0.9;         ///< of its KV memory; beyond it an engine preempts and recomputes
    Interval defaultRoundTrip = std::chrono::milliseconds(5); ///< to other domains, until measured
    bool longPromptLanes = true;
    EndpointPlacement placement = EndpointPlacement::PrefixHome;
    /// Share of its time that a home of a prefix is expected to spend on it; a prefix that needs
    /// more has more homes. The rest is left to the other prefixes of the endpoint.
    double homeUtilization = 0.5;
    /// Routers that send to the same endpoints, as membership reports. Deployments have 6 to 9
    /// hosts.
    uint32_t routerCount = 9;
    uint64_t seed = 1;
    HealthSettings health;
};

/// Not thread safe.
class EndpointSelector
{
public:
    explicit EndpointSelector(DomainId self, EndpointSelectorSettings settings = {});

    /// Replaces the set of endpoints; the state of those that stay is kept. An endpoint
    /// added after the first set begins with a slow start.
    void setEndpoints(const std::vector<EndpointSpec> &endpoints, Instant now);
    /// \param attempted endpoints to exclude: a retry never goes to the same failing endpoint
    /// \param unavailable endpoints to exclude for a time; unlike an attempted one, such an
    ///     endpoint doesn't make the request a retry
    SelectionOutcome select(const WorkItem &item, const std::vector<EndpointId> &attempted,
                            const std::vector<EndpointId> &unavailable, Instant now);
    SelectionOutcome select(const WorkItem &item, const std::vector<EndpointId> &attempted,
                            Instant now)
    {
        return select(item, attempted, {}, now);
    }
    void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now);
    /// Records the first token of a request. Without it a slow endpoint is noticed only
    /// when its streams end.
    void onFirstToken(const EndpointId &endpoint, const RequestId &request, Instant now);
    void onEnd(const AttemptResult &result, Instant now);
    void onReport(const LoadReport &report, Instant now);
    /// Records a cache event: \p prefix, as in WorkItem::prefixHash, was stored or evicted.
    /// Events may arrive late or be lost.
    void onCacheEvent(const EndpointId &endpoint, uint64_t prefix, bool stored, Instant observedAt);
    /// Records a measured round trip to \p domain.
    void onRoundTrip(const DomainId &domain, Interval roundTrip);
    std::vector<UnusableEndpoint> unusableEndpoints(const ServiceId &service, Instant now) const;
    /// Sets how many routers send to these endpoints. A wrong count makes the load uneven
    /// between routers until it is corrected.
    void setRouterCount(uint32_t count) { settings_.routerCount = count; }
    /// Sets the rates that EndpointPlacement::ExpectedTime uses; nullptr: all endpoints are alike.
    /// \p rates must outlive this object.
    void setRateSource(const EndpointRateSource *rates);
    const ExpectedTimeCounts &expectedTimeCounts() const { return counts_; }
    /// Returns how many requests this router may have in flight at all services' endpoints:
    /// at least an equal share of their slots, more while the other routers leave slots free,
    /// and less again when all slots are taken. If slots were divided only by what each router
    /// has in flight, any division would persist: one router kept 6 of 2,940 slots at saturation
    /// and refused its callers. 0 if no endpoint can be used.
    uint32_t concurrencyLimit(Instant now) const;

private:
    enum class Usability {
        Usable,
        Leaving,
        Unreachable,
        Ejected,
        Probing,
    };

    struct Endpoint
    {
        EndpointSpec spec;
        uint64_t hash = 0;
        bool local = false; ///< in this router's domain
        EndpointLoad load;
        EndpointHealth health;
        Instant prefillUntil; ///< own prompts sent there are prefilled by then
        /// Identifies its cache among the holders of prefixes. ExpectedTime: that of its process.
        uint64_t cacheKey = 0;
        EndpointRate rate; ///< of the last refresh, trusted and stepped
        SteppedFactor prefillFactor;
        SteppedFactor decodeFactor;
        double weight = 1.0; ///< in the choice of homes
    };

    /// An endpoint that may be selected, with the values derived once per selection.
    struct Candidate
    {
        Endpoint *endpoint;
        double slots;          ///< that may be used now
        double utilization;    ///< requests there over those slots
        double ownUtilization; ///< this router's requests there over its share of those slots
        bool local;
        bool lane; ///< reserved for long prompts
        bool eligible;
    };

    /// Endpoints that serve the same service, and are therefore each other's peers.
    struct Service
    {
        std::vector<std::size_t> endpoints;
        OutlierDetection outliers;
        LongPromptLanes longPrompts;
        // Not used by EndpointPlacement::PrefixHome.
        std::vector<HomeCandidate> homes{}; ///< in the order of endpoints
        double meanWeight = 1.0;
        bool isUneven = false; ///< whether its endpoints differ in speed
        Instant ratesDueAt{};
        EndpointOccupancy occupancy{};
    };

    /// What the options of one selection by expected time share.
    struct ExpectedTimeQuery
    {
        const Service &service;
        const WorkItem &item;
        RequestUse use;
        EndpointUse others;
        uint32_t homes; ///< that the prefix needs
        Instant now;
    };

    /// An endpoint in a selection by expected time.
    struct Option
    {
        Endpoint *endpoint = nullptr;
        std::size_t rank = 0; ///< among the usable homes
        PlacementCost cost;
        double memoryShare = 0.0; ///< that would be occupied by all hosts; 0: unknown
        bool holdsPrefix = false;
        bool isFull = false; ///< this host's requests alone would exceed its memory
    };

    static const char *usabilityName(Usability usability);
    static Usability usability(const Endpoint &endpoint, Instant now);
    Endpoint *find(const EndpointId &id);
    bool prefixOutweighsRoundTrip(const WorkItem &item) const;
    const Candidate &selectHome(const WorkItem &item, Instant now);
    static double loadSeconds(const Candidate &candidate);
    void reviewHealth(Service &service, Instant now);
    void collectCandidates(const Service &service, const std::vector<EndpointId> &excluded,
                           Instant now);
    Endpoint *lastResort(const Service &service, const std::vector<EndpointId> &excluded,
                         Instant now);
    Endpoint *selectProbe(const Service &service, const WorkItem &item, bool isLong,
                          const std::vector<EndpointId> &attempted,
                          const std::vector<EndpointId> &unavailable, Instant now);
    void markLanes(const Service &service, const ServiceId &name, Instant now);
    static Interval prefillBacklog(const Endpoint &endpoint, Instant now);
    void markEligible(bool isLong, bool localOnly, Instant now);
    std::optional<SelectedEndpoint> selectEligible(const WorkItem &item, bool localOnly,
                                                   Instant now);
    const Candidate *firstByPrefix(uint64_t prefix, bool holdersOnly, Instant now) const;
    const Candidate *bestOfTwo(const WorkItem &item, Instant now);
    const Candidate *leastCost(const WorkItem &item, bool isLong, Instant now);
    void updateProcess(Endpoint &endpoint) const;
    void updateHomes(Service &service, Instant now);
    PlacementCostSettings costSettings(double slots) const;
    void updateHostShare(Instant now);
    /// Whether a prompt for \p service is placed by the expected time.
    bool usesExpectedTime(Service &service, Instant now);
    void refreshRates(Service &service, Instant now);
    std::optional<SelectionOutcome> selectByExpectedTime(Service &service, const WorkItem &item,
                                                         const std::vector<EndpointId> &excluded,
                                                         Instant now);
    void collectHomes(const Service &service, uint64_t prefix, std::size_t count,
                      const std::vector<EndpointId> &excluded, Instant now);
    uint32_t homesNeeded(const WorkItem &item, Instant now) const;
    RequestUse useOf(const WorkItem &item, bool holdsPrefix) const;
    bool isRetained(const Service &service, uint64_t prefix, const Endpoint &endpoint,
                    Instant now) const;
    Option optionOf(const ExpectedTimeQuery &query, std::size_t rank) const;
    static bool isBetter(const Option &option, const Option &best);
    Option bestOption(const ExpectedTimeQuery &query, std::size_t first, std::size_t last) const;
    Option bestHome(const ExpectedTimeQuery &query);
    void recordUse(Endpoint &endpoint, const WorkItem &item, Instant now);
    Interval expectedPrefill(uint64_t promptTokens) const;
    double cost(const Candidate &candidate, const WorkItem &item, Instant now) const;
    double shareOf(double own, double total) const;
    double roundTripSeconds(const DomainId &domain) const;
    Verdict noEndpointVerdict(const Service &service, const std::vector<EndpointId> &attempted,
                              Instant now) const;

    DomainId self_;
    EndpointSelectorSettings settings_;
    std::vector<Endpoint> endpoints_;
    std::unordered_map<EndpointId, std::size_t> index_;
    std::unordered_map<ServiceId, Service> services_;
    std::unordered_map<DomainId, MovingMean> roundTrips_;
    PrefixAffinity affinity_;
    std::vector<Candidate> candidates_; ///< of the selection in progress
    double ownShare_ = 1.0;             ///< this router's share of the candidates' load
    std::mt19937_64 random_;
    const EndpointRateSource *rates_ = nullptr;
    double hostShare_ = 1.0; ///< the part of the fleet's requests that this host sends
    Instant hostShareDueAt_{};
    std::vector<HomeDistance> nearest_; ///< of the selection in progress
    std::vector<Endpoint *> homes_;     ///< those that are usable, the first home first
    ExpectedTimeCounts counts_;
};

} // namespace sequoiagate

#endif
