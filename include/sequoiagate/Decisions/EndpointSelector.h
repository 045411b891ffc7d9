#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTSELECTOR_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTSELECTOR_H

/// Where a request goes: among the endpoints that offer its service, by prefix
/// affinity with bounded load, locality and health. Pure.
///
/// Answers callers or prefix keys that take most of the load. Least in flight prefills
/// the same prefix everywhere; plain consistent hashing sends a hot prefix to one
/// endpoint, whose callers wait while others idle. Here a request goes to the highest
/// in its prefix's rendezvous order that is below boundFactor times the mean load
/// (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018):
/// a hot prefix spreads over as many endpoints as it needs and no more.
///
/// The load is measured twice: by the lagging reports, and by this router's own requests
/// beside its part of all. The second knows nothing of others but is never late; routers
/// that each keep to it keep the sum even, and none overruns an endpoint that the
/// reports still call idle.
///
/// In the order in which they are weighed:
/// 1. Never: endpoints that are leaving, unreachable, ejected, or were tried before.
/// 2. An endpoint that wants a probe gets an idempotent short request.
/// 3. Own failure domain first, while an endpoint there has room; then all domains, each
///    at its measured round trip. Of these, what the prefix's order says.
/// 4. Without a prefix, the better of two picked at random: routers that all went for
///    the least loaded of lagging reports would arrive there together.
/// 5. With room nowhere, the least expected time to the first token of all.
///
/// Long work and short: see LongWork. Health: see EndpointHealth. Lag: see EndpointLoad.

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
#include "sequoiagate/Decisions/EndpointSpec.h"
#include "sequoiagate/Decisions/LongPromptLanes.h"
#include "sequoiagate/Decisions/PrefixAffinity.h"
#include "sequoiagate/Decisions/RetryBudget.h"
#include "sequoiagate/Decisions/WorkItem.h"

namespace sequoiagate {

/// Why an endpoint that offers the service isn't used.
struct UnservedRoute
{
    EndpointId endpoint;
    std::string reason; ///< "leaving", "ejected", "unreachable", "full", ...
};

struct SelectedEndpoint
{
    EndpointId endpoint;
    std::string reason; ///< "prefix", "least_loaded", "spill", ...
};

using SelectionOutcome = std::variant<SelectedEndpoint, Verdict>;

struct EndpointSelectorSettings
{
    double boundFactor = 1.25; ///< of the mean load, up to which a prefix stays at home
    /// Prompt tokens an engine prefills a second and the time before the first; they
    /// scale expected times alike at all endpoints, so a factor off changes little.
    double prefillTokensPerSecond = 40'000.0;
    Interval prefillBase = std::chrono::milliseconds(20);
    /// Prefill work in hand, this router's part of it taken for all, beyond which an
    /// endpoint isn't a prefix's choice. A hot prefix's home had six routers' backlogs of
    /// that length and was ejected for it when each router counted its own alone.
    Interval prefillBacklogLimit = std::chrono::milliseconds(150);
    /// Of this router's equal part of an endpoint's slots, that a prefix may fill before the
    /// bound counts. Where a router has a few requests at each endpoint, a bound of 1.25 times
    /// their mean is less than two, and a prefix would leave its home with the second request.
    double boundExemptShare = 0.0;
    /// A prefix that spares more prefill than a round trip costs has so many homes, in any
    /// failure domain, of which the less loaded is chosen; 0: it has one in each domain, and
    /// the bound above. Two choices even out the load almost as well as all would (Mitzenmacher,
    /// "The power of two choices", 2001), and a prefix is read by two endpoints, not by all.
    uint32_t prefixHomes = 0;
    /// A home with more than this many times the mean load is passed over for the next one.
    double homeBound = 2.0;
    /// What reading a prefix again counts beside an endpoint's load, as a multiple of the time
    /// that it takes there: it also delays whoever else is served there.
    double rereadWeight = 3.0;
    double fullest = 0.98; ///< of all slots, that routers fill: room for uneven choices
    double kvLimit = 0.9;  ///< of its KV memory; beyond it an engine preempts and recomputes
    Interval roundTripElsewhere = std::chrono::milliseconds(5); ///< until it is measured
    bool longWorkLanes = true;
    /// Routers that send to the same endpoints, as membership says; 6 to 9 hosts today.
    uint32_t routerCount = 9;
    uint64_t seed = 1;
    HealthSettings health;
};

/// Not thread safe.
class EndpointSelector
{
public:
    explicit EndpointSelector(DomainId self, EndpointSelectorSettings settings = {});

    /// Replaces the set; what is known of endpoints that stay is kept. One that comes
    /// later than the first set begins by slow start.
    void setEndpoints(const std::vector<EndpointSpec> &endpoints, Instant now);
    /// \p tried are left out: a retry never goes into the same failing endpoint.
    SelectionOutcome select(const WorkItem &item, const std::vector<EndpointId> &tried,
                            Instant now);
    void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now);
    /// The first token of a request came. Without it a slow endpoint is noticed only
    /// when its streams end.
    void onFirstToken(const EndpointId &endpoint, const RequestId &request, Instant now);
    void onEnd(const AttemptResult &result, Instant now);
    void onReport(const LoadReport &report, Instant now);
    /// A cache event: \p prefix as in WorkItem::prefixHash, stored or evicted. May come
    /// late, or never.
    void onCacheEvent(const EndpointId &endpoint, uint64_t prefix, bool stored, Instant observedAt);
    /// A round trip to \p domain was measured.
    void onRoundTrip(const DomainId &domain, Interval roundTrip);
    std::vector<UnservedRoute> unserved(const ServiceId &service, Instant now) const;
    /// How many routers send to these endpoints. Wrong by a factor it costs evenness
    /// between routers, for as long as it is wrong.
    void setRouterCount(uint32_t count) { settings_.routerCount = count; }
    /// Requests that this router may have open at the endpoints of all services: an equal
    /// part of their slots at least; more while the others leave room, and less again
    /// when all slots are taken. Divided by what each has open alone, any division stands
    /// for ever: one router kept 6 of 2,940 slots at saturation, and refused its callers.
    /// 0 if no endpoint can be used.
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
    };

    /// An endpoint under choice, with what was worked out of it once.
    struct Candidate
    {
        Endpoint *endpoint;
        double slots;   ///< that it may fill now
        double fill;    ///< requests there over those slots
        double ownFill; ///< this router's requests there over its part of those slots
        bool local;
        bool lane; ///< reserved for long work
        bool roomy;
    };

    /// Endpoints that serve the same, and are therefore each other's peers.
    struct Service
    {
        std::vector<std::size_t> endpoints;
        OutlierDetection outliers;
        LongPromptLanes longWork;
    };

    static const char *usabilityName(Usability usability);
    static Usability usability(const Endpoint &endpoint, Instant now);
    Endpoint *find(const EndpointId &id);
    bool worthTheWay(const WorkItem &item) const;
    const Candidate &amongHomes(const WorkItem &item, Instant now);
    static double loadSeconds(const Candidate &candidate);
    void reviewHealth(Service &service, Instant now);
    void gather(const Service &service, const std::vector<EndpointId> &tried, Instant now);
    Endpoint *lastResort(const Service &service, const std::vector<EndpointId> &tried, Instant now);
    Endpoint *probe(const Service &service, const WorkItem &item, bool isLong,
                    const std::vector<EndpointId> &tried, Instant now);
    void markLanes(const Service &service, const ServiceId &name, Instant now);
    static Interval backlog(const Endpoint &endpoint, Instant now);
    void markRoomy(bool isLong, bool localOnly, Instant now);
    std::optional<SelectedEndpoint> chooseRoomy(const WorkItem &item, bool localOnly, Instant now);
    const Candidate *byPrefix(uint64_t prefix, bool holdersOnly, Instant now) const;
    const Candidate *bestOfTwo(const WorkItem &item, Instant now);
    const Candidate *leastCost(const WorkItem &item, bool isLong, Instant now);
    Interval expectedPrefill(uint64_t promptTokens) const;
    double cost(const Candidate &candidate, const WorkItem &item, Instant now) const;
    double partOf(double own, double everybodys) const;
    double roundTripSeconds(const DomainId &domain) const;
    Verdict noEndpoint(const Service &service, const std::vector<EndpointId> &tried,
                       Instant now) const;

    DomainId self_;
    EndpointSelectorSettings settings_;
    std::vector<Endpoint> endpoints_;
    std::unordered_map<EndpointId, std::size_t> index_;
    std::unordered_map<ServiceId, Service> services_;
    std::unordered_map<DomainId, MovingMean> roundTrips_;
    PrefixAffinity affinity_;
    std::vector<Candidate> candidates_; ///< of the choice under way
    double ownPart_ = 1.0;              ///< this router's of their load
    std::mt19937_64 random_;
};

} // namespace sequoiagate

#endif
