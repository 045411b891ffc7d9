/// EndpointPlacement::ExpectedTime: selection by the expected time to the first event.

#include <algorithm>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Decisions/EndpointSelector.h"

namespace sequoiagate {

namespace {

/// How often the rates are read: an endpoint that became slow is to be known within 2 s, and the
/// rates of all endpoints take as long to read as a selection.
constexpr Interval RateInterval = std::chrono::milliseconds(500);
/// Homes that are compared for each prefix. With more of them, an endpoint that is cheaper for a
/// moment gets prefixes that it must prefill.
constexpr std::size_t ComparedHomes = 3;
/// Homes beyond these that are ranked, in case some of them can't be used.
constexpr std::size_t SpareHomes = 3;
/// The most homes of one prefix: PrefixAffinity keeps no more holders.
constexpr uint32_t MaxHomes = PrefixAffinity::MaxHolders;
/// A later home must be cheaper than an earlier one by this much, so that hosts which see slightly
/// different loads select the same one.
constexpr Interval RankPenalty = std::chrono::milliseconds(10);
/// Share of its memory that is filled by estimates. They may be wrong by what other hosts send in
/// the meantime, and an engine that runs out of memory preempts requests and prefills them again.
constexpr double MaxMemoryShare = 0.9;
constexpr Interval RetryAfterFullMemory = std::chrono::seconds(1);

/// Endpoints differ in speed if this part of them takes longer than the median one by the factor.
/// Where they differ less, the homes that are moved cost more prefill than slow endpoints do.
constexpr double UnevenShare = 0.2;
constexpr double UnevenFactor = 1.5;
/// They count as alike again below this factor.
constexpr double EvenFactor = 1.25;

bool contains(const std::vector<EndpointId> &ids, const EndpointId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

void EndpointSelector::setRateSource(const EndpointRateSource *rates)
{
    rates_ = rates;
    for (auto &[name, service] : services_) {
        service.ratesDueAt = Instant();
    }
}

void EndpointSelector::updateProcess(Endpoint &endpoint) const
{
    uint64_t key = endpoint.hash;
    if (settings_.placement != EndpointPlacement::PrefixHome) {
        key = affinityWeight(endpoint.spec.startedAtMillis, endpoint.hash);
    }
    if (key != endpoint.cacheKey) {
        endpoint.cacheKey = key;
        endpoint.rate = EndpointRate();
        endpoint.prefillFactor = SteppedFactor();
        endpoint.decodeFactor = SteppedFactor();
        endpoint.weight = 1.0;
    }
}

void EndpointSelector::updateHomes(Service &service, Instant now)
{
    std::vector<uint64_t> present;
    service.homes.clear();
    for (const std::size_t i : service.endpoints) {
        const Endpoint &endpoint = endpoints_[i];
        service.homes.push_back({endpoint.hash, 1.0 / endpoint.weight});
        present.push_back(endpoint.cacheKey);
    }
    service.ratesDueAt = Instant();
    service.occupancy.keepOnly(present, now);
}

PlacementCostSettings EndpointSelector::costSettings(double slots) const
{
    PlacementCostSettings cost;
    cost.prefillTokensPerSecond = settings_.prefillTokensPerSecond;
    cost.prefillBase = settings_.prefillBase;
    // Scaled as in selectHome: a host with less than one request per endpoint sees only a part of
    // the queue that a request at the first home waits for.
    const double observedShare = std::min(1.0, slots * hostShare_);
    cost.prefixMissWeight = std::max(1.0, settings_.prefixMissWeight * observedShare);
    return cost;
}

void EndpointSelector::updateHostShare(Instant now)
{
    if (now < hostShareDueAt_) {
        return;
    }
    hostShareDueAt_ = now + RateInterval;
    const double equal = 1.0 / std::max(settings_.routerCount, 1U);
    hostShare_ = rates_ == nullptr ? equal : rates_->hostShare(now).value_or(equal);
}

void EndpointSelector::refreshRates(Service &service, Instant now)
{
    updateHostShare(now);
    service.occupancy.setScale(hostShare_, service.endpoints.size());
    if (now < service.ratesDueAt) {
        return;
    }
    service.ratesDueAt = now + RateInterval;
    double sum = 0.0;
    std::vector<double> factors;
    for (std::size_t i = 0; i < service.endpoints.size(); ++i) {
        Endpoint &endpoint = endpoints_[service.endpoints[i]];
        endpoint.rate = rates_ == nullptr ? EndpointRate()
                                          : trustedRate(rates_->rateOf(endpoint.spec.id, now));
        factors.push_back(endpoint.rate.prefillFactor);
        endpoint.prefillFactor.update(endpoint.rate.prefillFactor, now);
        endpoint.decodeFactor.update(endpoint.rate.decodeFactor, now);
        endpoint.rate.prefillFactor = endpoint.prefillFactor.value();
        endpoint.rate.decodeFactor = endpoint.decodeFactor.value();
        endpoint.weight = shareOfRequests(endpoint.rate);
        service.homes[i].inverseWeight = 1.0 / endpoint.weight;
        sum += endpoint.weight;
    }
    service.meanWeight = sum / static_cast<double>(service.endpoints.size());
    const auto slow = factors.begin()
                      + static_cast<std::ptrdiff_t>(static_cast<double>(factors.size())
                                                    * (1.0 - UnevenShare));
    std::nth_element(factors.begin(), slow, factors.end());
    service.isUneven = *slow >= (service.isUneven ? EvenFactor : UnevenFactor);
}

bool EndpointSelector::usesExpectedTime(Service &service, Instant now)
{
    if (settings_.placement != EndpointPlacement::Adaptive) {
        return settings_.placement == EndpointPlacement::ExpectedTime;
    }
    refreshRates(service, now);
    return service.isUneven;
}

std::optional<SelectionOutcome>
EndpointSelector::selectByExpectedTime(Service &service, const WorkItem &item,
                                       const std::vector<EndpointId> &excluded, Instant now)
{
    refreshRates(service, now);
    const uint32_t homes = homesNeeded(item, now);
    // Without a prefix, a random one spreads requests by the weights of the endpoints.
    const uint64_t prefix = item.prefixHash != 0 ? item.prefixHash : random_();
    const std::size_t compared = std::max<std::size_t>(homes, ComparedHomes);
    collectHomes(service, prefix, compared + SpareHomes, excluded, now);
    if (homes_.size() < compared && nearest_.size() < service.endpoints.size()) {
        collectHomes(service, prefix, service.endpoints.size(), excluded, now);
    }
    if (homes_.empty()) {
        return std::nullopt;
    }
    const ExpectedTimeQuery query{service, item, useOf(item, false), service.occupancy.others(now),
                                  homes,   now};
    Option best = bestHome(query);
    if (best.memoryShare > MaxMemoryShare) {
        ++counts_.withoutMemory;
        collectHomes(service, prefix, service.endpoints.size(), excluded, now);
        best = bestOption(query, 0, homes_.size());
    }
    if (best.isFull) {
        ++counts_.refused;
        return Verdict{Execution::NotRun, Reason::QueueFull,
                       "this host's requests fill the memory of all endpoints",
                       now + RetryAfterFullMemory};
    }
    ++counts_.selected;
    counts_.awayFromHome += best.rank > 0 && homes <= ComparedHomes ? 1 : 0;
    counts_.spread += homes > ComparedHomes ? 1 : 0;
    return SelectedEndpoint{best.endpoint->spec.id, "expected_time",
                            describe(best.cost, best.endpoint->rate)};
}

void EndpointSelector::collectHomes(const Service &service, uint64_t prefix, std::size_t count,
                                    const std::vector<EndpointId> &excluded, Instant now)
{
    nearestHomes(prefix, service.homes, count, nearest_);
    homes_.clear();
    for (const HomeDistance &home : nearest_) {
        Endpoint &endpoint = endpoints_[service.endpoints[home.position]];
        if (usability(endpoint, now) == Usability::Usable
            && !contains(excluded, endpoint.spec.id)) {
            homes_.push_back(&endpoint);
        }
    }
}

uint32_t EndpointSelector::homesNeeded(const WorkItem &item, Instant now) const
{
    if (item.prefixHash == 0) {
        return 1;
    }
    const double requestsPerSecond = affinity_.requestsPerSecond(item.prefixHash, now) / hostShare_;
    const double work =
            requestsPerSecond * std::chrono::duration<double>(useOf(item, true).prefill).count();
    return std::clamp(static_cast<uint32_t>(std::min(work / settings_.homeUtilization, 1e6)) + 1,
                      1U, MaxHomes);
}

RequestUse EndpointSelector::useOf(const WorkItem &item, bool holdsPrefix) const
{
    const uint64_t shared =
            item.prefixHash == 0 ? 0 : std::min(item.cacheablePrefixTokens, item.promptTokens);
    const uint64_t own = item.promptTokens - shared;
    return {item.request, item.prefixHash, shared, own + item.outputCeiling,
            prefillTime(holdsPrefix ? own : item.promptTokens, costSettings(1.0))};
}

bool EndpointSelector::isRetained(const Service &service, uint64_t prefix, const Endpoint &endpoint,
                                  Instant now) const
{
    const auto lastUse = affinity_.lastUse(prefix, endpoint.cacheKey);
    return lastUse
           && now - *lastUse < service.occupancy.retention(endpoint.spec.kvTokens,
                                                           PrefixAffinity::EntryLifetime, now);
}

EndpointSelector::Option EndpointSelector::optionOf(const ExpectedTimeQuery &query,
                                                    std::size_t rank) const
{
    Option option;
    option.endpoint = homes_[rank];
    option.rank = rank;
    const Endpoint &endpoint = *option.endpoint;
    const double usableShare = endpoint.health.slowStartShare(query.now);
    // The first homes are expected to have it, since all hosts send it there.
    const bool isHome = rank < query.homes && usableShare >= 1.0;
    option.holdsPrefix =
            query.item.prefixHash != 0
            && (isHome || isRetained(query.service, query.item.prefixHash, endpoint, query.now));
    const EndpointUse own = query.service.occupancy.own(endpoint.cacheKey);
    // The other hosts choose homes by the same weights.
    const double othersShare = endpoint.weight / query.service.meanWeight;
    PlacementState state;
    state.rate = endpoint.rate;
    state.queued =
            own.prefill + std::chrono::duration_cast<Interval>(query.others.prefill * othersShare);
    state.waited = query.service.occupancy.waited(endpoint.cacheKey, query.now);
    state.requests = own.requests + query.others.requests * othersShare;
    state.slots = std::max(endpoint.spec.slots, 1U) * usableShare;
    state.holdsPrefix = option.holdsPrefix;
    state.roundTrip = endpoint.local
                              ? Interval::zero()
                              : std::chrono::duration_cast<Interval>(std::chrono::duration<double>(
                                      roundTripSeconds(endpoint.spec.domain)));
    option.cost = placementCost({query.item.promptTokens, query.use.sharedTokens}, state,
                                costSettings(endpoint.spec.slots));
    if (endpoint.spec.kvTokens > 0) {
        const double memory = static_cast<double>(endpoint.spec.kvTokens);
        const double added = query.service.occupancy.additionalTokens(endpoint.cacheKey, query.use);
        option.memoryShare = (own.tokens + query.others.tokens * othersShare + added) / memory;
        option.isFull = own.requests > 0.0 && own.tokens + added > memory;
    }
    if (endpoint.load.report().kvUsed >= settings_.kvLimit) {
        option.memoryShare = std::max(option.memoryShare, endpoint.load.report().kvUsed);
    }
    return option;
}

bool EndpointSelector::isBetter(const Option &option, const Option &best)
{
    const bool fits = option.memoryShare <= MaxMemoryShare;
    const bool bestFits = best.memoryShare <= MaxMemoryShare;
    if (fits != bestFits) {
        return fits;
    }
    if (!fits) {
        return option.memoryShare < best.memoryShare;
    }
    const auto penalized = [](const Option &any) {
        return any.cost.total() + RankPenalty * static_cast<int64_t>(any.rank);
    };
    return penalized(option) < penalized(best);
}

EndpointSelector::Option EndpointSelector::bestOption(const ExpectedTimeQuery &query,
                                                      std::size_t first, std::size_t last) const
{
    Option best = optionOf(query, first);
    for (std::size_t rank = first + 1; rank < last; ++rank) {
        const Option option = optionOf(query, rank);
        if (isBetter(option, best)) {
            best = option;
        }
    }
    return best;
}

EndpointSelector::Option EndpointSelector::bestHome(const ExpectedTimeQuery &query)
{
    const std::size_t spread = std::min<std::size_t>(query.homes, homes_.size());
    if (spread <= ComparedHomes) {
        return bestOption(query, 0, std::min(homes_.size(), ComparedHomes));
    }
    // Two picked at random: if all hosts selected the cheapest of them by the same rates, their
    // requests would arrive there together.
    const std::size_t first = random_() % spread;
    const std::size_t second = (first + 1 + random_() % (spread - 1)) % spread;
    Option best = optionOf(query, first);
    const Option other = optionOf(query, second);
    best.rank = 0;
    return other.cost.total() < best.cost.total() || best.memoryShare > MaxMemoryShare ? other
                                                                                       : best;
}

void EndpointSelector::recordUse(Endpoint &endpoint, const WorkItem &item, Instant now)
{
    const auto found = services_.find(item.service);
    if (settings_.placement == EndpointPlacement::PrefixHome || item.promptTokens == 0
        || found == services_.end()) {
        return;
    }
    Service &service = found->second;
    bool holdsPrefix = false;
    if (item.prefixHash != 0) {
        nearestHomes(item.prefixHash, service.homes, 1, nearest_);
        const Endpoint &home = endpoints_[service.endpoints[nearest_.front().position]];
        holdsPrefix = &home == &endpoint || isRetained(service, item.prefixHash, endpoint, now);
        affinity_.recordRequest(item.prefixHash, now);
    }
    service.occupancy.onSent(endpoint.cacheKey, useOf(item, holdsPrefix), now);
}

} // namespace sequoiagate
