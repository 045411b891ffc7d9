#include "sequoiagate/Decisions/EndpointSelector.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

constexpr Interval RetryAfterNoEndpoint = std::chrono::seconds(1);
/// Expected wait for each request beyond an endpoint's slots: about the time until one of
/// 150 streams of 13 s ends.
constexpr double OverflowSeconds = 0.1;
/// Breaks ties between equal costs by utilization: far below the time of a prefill.
constexpr double UtilizationSeconds = 0.01;
/// Cost of a short request in a lane: behind a long prompt it waits seconds.
constexpr double WrongLaneSeconds = 5.0;
/// Cost of an endpoint whose KV memory use has reached kvLimit, where an engine preempts
/// requests and recomputes them.
constexpr double KvLimitPenaltySeconds = 0.5;
/// Assumed share of the prompt that a cached prefix saves; engines don't report it.
constexpr double CachedPrefixShare = 0.8;
/// Utilization from which a late first token may be due to other routers' requests that no
/// report shows yet: reports lag by about a second, in which 7% of the slots are reassigned.
constexpr double NearlyFull = 0.9;
constexpr uint32_t RoundTripSamples = 32;

bool contains(const std::vector<EndpointId> &ids, const EndpointId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

EndpointSelector::EndpointSelector(DomainId self, EndpointSelectorSettings settings)
    : self_(std::move(self)), settings_(settings), random_(settings.seed)
{}

void EndpointSelector::setEndpoints(const std::vector<EndpointSpec> &endpoints, Instant now)
{
    const bool firstSet = endpoints_.empty();
    std::vector<Endpoint> updated;
    updated.reserve(endpoints.size());
    for (const EndpointSpec &spec : endpoints) {
        Endpoint *known = find(spec.id);
        updated.push_back(known != nullptr ? std::move(*known) : Endpoint{});
        updated.back().spec = spec;
        updated.back().hash = stableHash(spec.id.text());
        updated.back().local = spec.domain == self_;
        updateProcess(updated.back());
        if (known == nullptr && !firstSet) {
            updated.back().health.beginSlowStart(now, settings_.health);
        }
    }
    endpoints_ = std::move(updated);
    index_.clear();
    for (auto &[name, service] : services_) {
        service.endpoints.clear();
    }
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        index_[endpoints_[i].spec.id] = i;
        for (const ServiceId &name : endpoints_[i].spec.services) {
            const auto added = services_.try_emplace(
                    name, Service{{}, OutlierDetection(settings_.health), LongPromptLanes()});
            added.first->second.endpoints.push_back(i);
        }
    }
    std::erase_if(services_, [](const auto &entry) { return entry.second.endpoints.empty(); });
    for (auto &[name, service] : services_) {
        updateHomes(service, now);
    }
}

SelectionOutcome EndpointSelector::select(const WorkItem &item,
                                          const std::vector<EndpointId> &attempted,
                                          const std::vector<EndpointId> &unavailable, Instant now)
{
    const auto found = services_.find(item.service);
    if (found == services_.end()) {
        return Verdict{Execution::NotRun, Reason::NoEndpoint,
                       "no endpoint of the service is listed", now + RetryAfterNoEndpoint};
    }
    Service &service = found->second;
    reviewHealth(service, now);
    const bool isLong = settings_.longPromptLanes && attempted.empty()
                        && service.longPrompts.classify(item.promptTokens, now);
    if (Endpoint *probed = selectProbe(service, item, isLong, attempted, unavailable, now);
        probed != nullptr) {
        return SelectedEndpoint{probed->spec.id, "probe"};
    }
    std::vector<EndpointId> excluded = attempted;
    excluded.insert(excluded.end(), unavailable.begin(), unavailable.end());
    if (item.promptTokens > 0 && usesExpectedTime(service, now)) {
        if (auto outcome = selectByExpectedTime(service, item, excluded, now)) {
            return *std::move(outcome);
        }
    }
    collectCandidates(service, excluded, now);
    if (candidates_.empty()) {
        if (Endpoint *last = lastResort(service, excluded, now); last != nullptr) {
            return SelectedEndpoint{last->spec.id, "last_resort"};
        }
        return noEndpointVerdict(service, attempted, now);
    }
    markLanes(service, item.service, now);
    if (prefixOutweighsRoundTrip(item)) {
        return SelectedEndpoint{selectHome(item, now).endpoint->spec.id, "prefix_home"};
    }
    for (const bool localOnly : {true, false}) {
        markEligible(isLong, localOnly, now);
        if (const std::optional<SelectedEndpoint> chosen = selectEligible(item, localOnly, now)) {
            return *chosen;
        }
    }
    return SelectedEndpoint{leastCost(item, isLong, now)->endpoint->spec.id, "least_cost"};
}

bool EndpointSelector::prefixOutweighsRoundTrip(const WorkItem &item) const
{
    const double savedSeconds =
            static_cast<double>(item.cacheablePrefixTokens) / settings_.prefillTokensPerSecond;
    return settings_.prefixHomes > 0 && item.prefixHash != 0
           && savedSeconds > secondsOf(settings_.defaultRoundTrip);
}

double EndpointSelector::loadSeconds(const Candidate &candidate)
{
    // The expected prefill of requests without a first token, and a small cost for each request
    // in flight.
    constexpr double StreamSeconds = 0.02;
    return secondsOf(candidate.endpoint->health.pendingWork())
           + StreamSeconds * candidate.endpoint->load.ownRequests();
}

const EndpointSelector::Candidate &EndpointSelector::selectHome(const WorkItem &item, Instant now)
{
    double mean = 0.0;
    for (const Candidate &candidate : candidates_) {
        mean += loadSeconds(candidate) / static_cast<double>(candidates_.size());
    }
    std::sort(candidates_.begin(), candidates_.end(),
              [&item](const Candidate &a, const Candidate &b) {
                  return affinityWeight(item.prefixHash, a.endpoint->hash)
                         > affinityWeight(item.prefixHash, b.endpoint->hash);
              });
    // Always allow one request's prefill above the bound.
    const double bound =
            settings_.homeLoadBound * mean + secondsOf(expectedPrefill(item.promptTokens));
    // A home other than the first must prefill the prefix again, unless it was sent the prefix
    // before. A router with less than one request per endpoint can't observe an endpoint's load,
    // so the cost is scaled down: otherwise all routers would use the first home, whose callers
    // would wait while the second one idles.
    const double prefixMissCost = settings_.prefixMissWeight
                                  * static_cast<double>(item.cacheablePrefixTokens)
                                  / settings_.prefillTokensPerSecond;
    const double routerCount = std::max(settings_.routerCount, 1U);
    const Candidate *best = nullptr;
    double bestCost = 0.0;
    uint32_t seen = 0;
    for (const Candidate &candidate : candidates_) {
        const bool isHolder =
                seen == 0
                || affinity_.hasHolder(item.prefixHash, candidate.endpoint->cacheKey, now);
        const double observedShare = std::min(1.0, candidate.slots / routerCount);
        const double cost =
                loadSeconds(candidate) + (isHolder ? 0.0 : observedShare * prefixMissCost);
        if (best == nullptr || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
        if (++seen >= settings_.prefixHomes && loadSeconds(*best) <= bound) {
            break;
        }
    }
    return *best;
}

void EndpointSelector::reviewHealth(Service &service, Instant now)
{
    if (!service.outliers.due(now)) {
        return;
    }
    std::vector<EndpointHealth *> peers;
    peers.reserve(service.endpoints.size());
    for (const std::size_t i : service.endpoints) {
        peers.push_back(&endpoints_[i].health);
    }
    service.outliers.review(peers, now);
}

EndpointSelector::Usability EndpointSelector::usability(const Endpoint &endpoint, Instant now)
{
    const LoadReport &report = endpoint.load.report();
    if (endpoint.spec.leaving || report.leaving) {
        return Usability::Leaving;
    }
    if (!report.reachable) {
        return Usability::Unreachable;
    }
    if (endpoint.health.ejected(now)) {
        return Usability::Ejected;
    }
    return endpoint.health.probing(now) ? Usability::Probing : Usability::Usable;
}

const char *EndpointSelector::usabilityName(Usability usability)
{
    static constexpr std::array<const char *, 5> Names = {"usable", "leaving", "unreachable",
                                                          "ejected", "probing"};
    return Names[static_cast<std::size_t>(usability)];
}

void EndpointSelector::collectCandidates(const Service &service,
                                         const std::vector<EndpointId> &excluded, Instant now)
{
    candidates_.clear();
    double reported = 0.0;
    double ownAtReport = 0.0;
    for (const std::size_t i : service.endpoints) {
        Endpoint &endpoint = endpoints_[i];
        if (usability(endpoint, now) != Usability::Usable || contains(excluded, endpoint.spec.id)) {
            continue;
        }
        const EndpointLoad &load = endpoint.load;
        const double slots =
                std::max(endpoint.spec.slots, 1U) * endpoint.health.slowStartShare(now);
        reported += load.reportedRequests(now);
        ownAtReport += load.ownRequestsAtReport(now);
        candidates_.push_back({&endpoint, slots, load.requests(now) / slots,
                               (load.ownRequests() + 1) / slots, endpoint.local});
    }
    ownShare_ = shareOf(ownAtReport, reported);
    for (Candidate &candidate : candidates_) {
        candidate.ownUtilization /= ownShare_;
    }
}

EndpointSelector::Endpoint *EndpointSelector::lastResort(const Service &service,
                                                         const std::vector<EndpointId> &excluded,
                                                         Instant now)
{
    // A slow or unconfirmed endpoint is better than none.
    Endpoint *best = nullptr;
    for (const std::size_t i : service.endpoints) {
        Endpoint &endpoint = endpoints_[i];
        const Usability state = usability(endpoint, now);
        const bool isFallback = state == Usability::Ejected || state == Usability::Probing;
        if (!isFallback || contains(excluded, endpoint.spec.id)) {
            continue;
        }
        if (best == nullptr || endpoint.load.ownRequests() < best->load.ownRequests()) {
            best = &endpoint;
        }
    }
    return best;
}

EndpointSelector::Endpoint *
EndpointSelector::selectProbe(const Service &service, const WorkItem &item, bool isLong,
                              const std::vector<EndpointId> &attempted,
                              const std::vector<EndpointId> &unavailable, Instant now)
{
    // Only first attempts that can be retried, and that are short if the endpoint is healthy.
    if (!service.outliers.anyOutOfService() || !item.idempotent || isLong || !attempted.empty()) {
        return nullptr;
    }
    for (const std::size_t i : service.endpoints) {
        Endpoint &endpoint = endpoints_[i];
        if (usability(endpoint, now) == Usability::Probing && endpoint.health.wantsProbe(now)
            && !contains(unavailable, endpoint.spec.id)) {
            return &endpoint;
        }
    }
    return nullptr;
}

void EndpointSelector::markLanes(const Service &service, const ServiceId &name, Instant now)
{
    double utilization = 0.0;
    for (const Candidate &candidate : candidates_) {
        utilization += candidate.utilization / static_cast<double>(candidates_.size());
    }
    const std::size_t laneCount =
            service.longPrompts.laneCount(candidates_.size(), utilization, now);
    if (laneCount == 0) {
        return;
    }
    const uint64_t key = stableHash(name.text());
    std::vector<std::pair<uint64_t, std::size_t>> order;
    order.reserve(candidates_.size());
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        order.emplace_back(affinityWeight(key, candidates_[i].endpoint->hash), i);
    }
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(laneCount);
    std::nth_element(order.begin(), end - 1, order.end(), std::greater<>());
    for (auto entry = order.begin(); entry != end; ++entry) {
        candidates_[entry->second].lane = true;
    }
}

void EndpointSelector::markEligible(bool isLong, bool localOnly, Instant now)
{
    double sum = 0.0;
    double ownSum = 0.0;
    double count = 0.0;
    for (const Candidate &candidate : candidates_) {
        // The mean of the endpoints in scope: compared with idle ones in other domains, the
        // local endpoints would seem overloaded as soon as they had any requests.
        const bool isInScope = candidate.lane == isLong && (candidate.local || !localOnly);
        const double counts = isInScope ? 1.0 : 0.0;
        sum += counts * candidate.utilization;
        ownSum += counts * candidate.ownUtilization;
        count += counts;
    }
    const double bound = std::min(settings_.boundFactor * sum / std::max(count, 1.0), 1.0);
    const double ownBound = std::min(settings_.boundFactor * ownSum / std::max(count, 1.0), 1.0);
    for (Candidate &candidate : candidates_) {
        const Endpoint &endpoint = *candidate.endpoint;
        // Always allow one request: near idle, a bound below one would send a prefix to a
        // cold endpoint each time.
        const double exemptRequests = std::max(1.0, settings_.boundExemptShare * candidate.slots
                                                            / std::max(settings_.routerCount, 1U));
        const bool isExempt =
                endpoint.load.ownRequests() < exemptRequests && candidate.utilization < 1.0;
        const bool isBelowBound =
                candidate.utilization < bound && candidate.ownUtilization < ownBound;
        candidate.eligible =
                candidate.lane == isLong && (candidate.local || !localOnly)
                && (isBelowBound || isExempt) && endpoint.load.report().kvUsed < settings_.kvLimit
                && prefillBacklog(endpoint, now) <= settings_.prefillBacklogLimit * ownShare_;
    }
}

Interval EndpointSelector::prefillBacklog(const Endpoint &endpoint, Instant now)
{
    // Other routers' prompts may delay this router's beyond their expected end, so requests
    // without a first token count as well.
    return std::max({endpoint.prefillUntil - now, endpoint.health.pendingWork(), Interval::zero()});
}

std::optional<SelectedEndpoint> EndpointSelector::selectEligible(const WorkItem &item,
                                                                 bool localOnly, Instant now)
{
    if (item.prefixHash != 0) {
        if (const Candidate *holder = firstByPrefix(item.prefixHash, true, now)) {
            return SelectedEndpoint{holder->endpoint->spec.id,
                                    localOnly ? "prefix_cached" : "prefix_spill"};
        }
        if (const Candidate *home = firstByPrefix(item.prefixHash, false, now)) {
            return SelectedEndpoint{home->endpoint->spec.id,
                                    localOnly ? "prefix_home" : "prefix_spill"};
        }
        return std::nullopt;
    }
    if (const Candidate *best = bestOfTwo(item, now)) {
        return SelectedEndpoint{best->endpoint->spec.id, localOnly ? "least_loaded" : "spill"};
    }
    return std::nullopt;
}

const EndpointSelector::Candidate *
EndpointSelector::firstByPrefix(uint64_t prefix, bool holdersOnly, Instant now) const
{
    const Candidate *best = nullptr;
    uint64_t bestWeight = 0;
    for (const Candidate &candidate : candidates_) {
        if (!candidate.eligible) {
            continue;
        }
        const uint64_t weight = affinityWeight(prefix, candidate.endpoint->hash);
        if (best != nullptr && weight <= bestWeight) {
            continue;
        }
        if (holdersOnly && !affinity_.hasHolder(prefix, candidate.endpoint->cacheKey, now)) {
            continue;
        }
        best = &candidate;
        bestWeight = weight;
    }
    return best;
}

const EndpointSelector::Candidate *EndpointSelector::bestOfTwo(const WorkItem &item, Instant now)
{
    // Reservoir sampling of two in one pass.
    std::array<const Candidate *, 2> picked = {nullptr, nullptr};
    uint32_t seen = 0;
    for (const Candidate &candidate : candidates_) {
        if (!candidate.eligible) {
            continue;
        }
        const uint64_t slot = seen < picked.size() ? seen : random_() % (seen + 1);
        if (slot < picked.size()) {
            picked[slot] = &candidate;
        }
        ++seen;
    }
    if (picked[1] == nullptr) {
        return picked[0];
    }
    return cost(*picked[0], item, now) <= cost(*picked[1], item, now) ? picked[0] : picked[1];
}

const EndpointSelector::Candidate *EndpointSelector::leastCost(const WorkItem &item, bool isLong,
                                                               Instant now)
{
    // Routers that have the same reports must not all select the same endpoint.
    std::uniform_real_distribution<double> jitter(0.0, OverflowSeconds);
    const Candidate *best = nullptr;
    double bestCost = 0.0;
    for (const Candidate &candidate : candidates_) {
        const double lanePenalty = candidate.lane != isLong ? WrongLaneSeconds : 0.0;
        const double total = cost(candidate, item, now) + lanePenalty + jitter(random_);
        if (best == nullptr || total < bestCost) {
            best = &candidate;
            bestCost = total;
        }
    }
    return best;
}

double EndpointSelector::cost(const Candidate &candidate, const WorkItem &item, Instant now) const
{
    const Endpoint &endpoint = *candidate.endpoint;
    const bool cached =
            item.prefixHash != 0 && affinity_.hasHolder(item.prefixHash, endpoint.cacheKey, now);
    const double overflow = std::max((candidate.utilization - 1.0) * candidate.slots + 1.0, 0.0);
    const double ownOverflow = std::max(candidate.ownUtilization - 1.0, 0.0) * candidate.slots;
    double seconds = secondsOf(prefillBacklog(endpoint, now));
    seconds += secondsOf(expectedPrefill(item.promptTokens))
               * (cached ? 1.0 - CachedPrefixShare : 1.0);
    seconds +=
            (overflow + ownOverflow) * OverflowSeconds + candidate.utilization * UtilizationSeconds;
    seconds += candidate.local ? 0.0 : roundTripSeconds(endpoint.spec.domain);
    seconds += endpoint.load.report().kvUsed >= settings_.kvLimit ? KvLimitPenaltySeconds : 0.0;
    return seconds;
}

Interval EndpointSelector::expectedPrefill(uint64_t promptTokens) const
{
    const double tokens = static_cast<double>(promptTokens);
    return settings_.prefillBase + intervalOf(tokens / settings_.prefillTokensPerSecond);
}

double EndpointSelector::roundTripSeconds(const DomainId &domain) const
{
    const auto measured = roundTrips_.find(domain);
    return measured == roundTrips_.end() ? secondsOf(settings_.defaultRoundTrip)
                                         : measured->second.mean();
}

Verdict EndpointSelector::noEndpointVerdict(const Service &service,
                                            const std::vector<EndpointId> &attempted,
                                            Instant now) const
{
    std::array<uint32_t, 5> counts = {};
    uint32_t attemptedCount = 0;
    for (const std::size_t i : service.endpoints) {
        if (contains(attempted, endpoints_[i].spec.id)) {
            ++attemptedCount;
            continue;
        }
        ++counts[static_cast<std::size_t>(usability(endpoints_[i], now))];
    }
    std::string detail = "no endpoint can be used: " + std::to_string(attemptedCount) + " tried";
    for (std::size_t i = 1; i < counts.size(); ++i) {
        if (counts[i] > 0) {
            detail += ", " + std::to_string(counts[i]) + " "
                      + usabilityName(static_cast<Usability>(i));
        }
    }
    return {Execution::NotRun, Reason::NoEndpoint, detail, now + RetryAfterNoEndpoint};
}

void EndpointSelector::onSent(const EndpointId &endpoint, const WorkItem &item, Instant now)
{
    Endpoint *found = find(endpoint);
    if (found == nullptr) {
        return;
    }
    const bool cached =
            item.prefixHash != 0 && affinity_.hasHolder(item.prefixHash, found->cacheKey, now);
    const Interval prefill = expectedPrefill(item.promptTokens);
    const double share = cached ? 1.0 - CachedPrefixShare : 1.0;
    found->prefillUntil =
            std::max(found->prefillUntil, now) + intervalOf(secondsOf(prefill) * share);
    const bool full = found->load.requests(now) >= NearlyFull * found->spec.slots;
    found->load.onSent(now);
    found->health.onSent(item.request, prefill, full, now);
    recordUse(*found, item, now);
    if (item.prefixHash != 0) {
        affinity_.addHolder(item.prefixHash, found->cacheKey, now);
    }
}

void EndpointSelector::onFirstToken(const EndpointId &endpoint, const RequestId &request,
                                    Instant now)
{
    if (Endpoint *found = find(endpoint); found != nullptr) {
        found->health.onFirstToken(request, now);
        for (const ServiceId &service : found->spec.services) {
            services_.at(service).occupancy.onFirstEvent(found->cacheKey, request, now);
        }
    }
}

void EndpointSelector::onEnd(const AttemptResult &result, Instant now)
{
    Endpoint *found = find(result.endpoint);
    if (found == nullptr) {
        return;
    }
    found->load.onEnd(now);
    found->health.onEnd(result.request, result.succeeded, result.firstToken, result.tokens, now);
    for (const ServiceId &service : found->spec.services) {
        services_.at(service).occupancy.onEnd(found->cacheKey, result.request, now);
    }
    if (result.succeeded) {
        return;
    }
    for (const ServiceId &service : found->spec.services) {
        services_.at(service).outliers.requestReview();
    }
}

void EndpointSelector::onReport(const LoadReport &report, Instant now)
{
    Endpoint *found = find(report.endpoint);
    if (found == nullptr) {
        return;
    }
    const bool wasUnreachable = !found->load.report().reachable;
    found->load.onReport(report);
    if (wasUnreachable && found->load.report().reachable) {
        found->health.beginSlowStart(now, settings_.health);
    }
}

void EndpointSelector::onCacheEvent(const EndpointId &endpoint, uint64_t prefix, bool stored,
                                    Instant observedAt)
{
    const Endpoint *found = find(endpoint);
    if (found == nullptr) {
        return;
    }
    if (stored) {
        affinity_.addHolder(prefix, found->cacheKey, observedAt);
    } else {
        affinity_.removeHolder(prefix, found->cacheKey);
    }
}

void EndpointSelector::onRoundTrip(const DomainId &domain, Interval roundTrip)
{
    const auto added = roundTrips_.try_emplace(domain, MovingMean(RoundTripSamples));
    added.first->second.add(secondsOf(roundTrip));
}

std::vector<UnusableEndpoint> EndpointSelector::unusableEndpoints(const ServiceId &service,
                                                                  Instant now) const
{
    std::vector<UnusableEndpoint> unusable;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return unusable;
    }
    for (const std::size_t i : found->second.endpoints) {
        const Usability state = usability(endpoints_[i], now);
        if (state != Usability::Usable) {
            unusable.push_back({endpoints_[i].spec.id, usabilityName(state)});
        }
    }
    return unusable;
}

uint32_t EndpointSelector::concurrencyLimit(Instant now) const
{
    double own = 0.0;
    double ownAtReport = 0.0;
    double reported = 0.0;
    double requests = 0.0;
    double slots = 0.0;
    // In flight at unusable endpoints; they occupy none of the slots counted.
    double ownElsewhere = 0.0;
    for (const Endpoint &endpoint : endpoints_) {
        if (usability(endpoint, now) != Usability::Usable) {
            ownElsewhere += endpoint.load.ownRequests();
            continue;
        }
        own += endpoint.load.ownRequests();
        ownAtReport += endpoint.load.ownRequestsAtReport(now);
        reported += endpoint.load.reportedRequests(now);
        requests += endpoint.load.requests(now);
        slots += endpoint.spec.slots * endpoint.health.slowStartShare(now);
    }
    if (slots <= 0.0) {
        return 0;
    }
    // Assumes that the load of other routers grew like this router's since the reports.
    const double share = shareOf(ownAtReport, reported);
    const double total = std::max(requests, own / share);
    // Sum over all endpoints before taking the difference: an overloaded endpoint must reduce
    // the free slots of the others, or uneven selections overload the fleet.
    const double freeSlots = settings_.maxUtilization * slots - total;
    const double equalShare = 1.0 / std::max(settings_.routerCount, 1U);
    // An increase is half equal for all routers and half proportional, a decrease is
    // proportional, so that their shares converge (Chiu and Jain, 1989).
    const double change =
            freeSlots > 0.0 ? freeSlots * (share + equalShare) / 2.0 : freeSlots * share;
    const double minLimit = std::max(settings_.maxUtilization * slots * equalShare, 1.0);
    return static_cast<uint32_t>(std::max(own + change, minLimit) + ownElsewhere);
}

double EndpointSelector::shareOf(double own, double total) const
{
    const double equalShare = 1.0 / std::max(settings_.routerCount, 1U);
    return total > 0.0 ? std::clamp(own / total, equalShare, 1.0) : 1.0;
}

EndpointSelector::Endpoint *EndpointSelector::find(const EndpointId &id)
{
    const auto found = index_.find(id);
    return found == index_.end() ? nullptr : &endpoints_[found->second];
}

} // namespace sequoiagate
