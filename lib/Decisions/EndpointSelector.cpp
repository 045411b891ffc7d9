#include "sequoiagate/Decisions/EndpointSelector.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

constexpr Interval RetryAfterNoEndpoint = std::chrono::seconds(1);
/// Expected wait for each request beyond an endpoint's slots: about what it takes until
/// one of some 150 streams of 13 s ends.
constexpr double OverflowSeconds = 0.1;
/// Makes equal costs differ by load: far below a prefill, so that it decides ties only.
constexpr double FillSeconds = 0.01;
/// Behind a long prompt a short request waits seconds: lanes come last.
constexpr double LaneSeconds = 5.0;
constexpr double KvPressureSeconds = 0.5;
/// Part of the prompt that is spared when its prefix is cached; engines don't tell.
constexpr double PrefixPart = 0.8;
/// From here on a late first token may be due to other routers' requests, of which this
/// one hasn't heard: reports lag by about a second, in which 7% of the slots change hands.
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
        if (known == nullptr && !firstSet) {
            updated.back().health.startRamp(now, settings_.health);
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
}

SelectionOutcome EndpointSelector::select(const WorkItem &item,
                                          const std::vector<EndpointId> &tried, Instant now)
{
    const auto found = services_.find(item.service);
    if (found == services_.end()) {
        return Verdict{Execution::NotRun, Reason::NoEndpoint,
                       "no endpoint of the service is listed", now + RetryAfterNoEndpoint};
    }
    Service &service = found->second;
    reviewHealth(service, now);
    const bool isLong = settings_.longWorkLanes && tried.empty()
                        && service.longWork.classify(item.promptTokens, now);
    if (Endpoint *probed = probe(service, item, isLong, tried, now); probed != nullptr) {
        return SelectedEndpoint{probed->spec.id, "probe"};
    }
    gather(service, tried, now);
    if (candidates_.empty()) {
        if (Endpoint *last = lastResort(service, tried, now); last != nullptr) {
            return SelectedEndpoint{last->spec.id, "last_resort"};
        }
        return noEndpoint(service, tried, now);
    }
    markLanes(service, item.service, now);
    if (worthTheWay(item)) {
        return SelectedEndpoint{amongHomes(item, now).endpoint->spec.id, "prefix_home"};
    }
    for (const bool localOnly : {true, false}) {
        markRoomy(isLong, localOnly, now);
        if (const std::optional<SelectedEndpoint> chosen = chooseRoomy(item, localOnly, now)) {
            return *chosen;
        }
    }
    return SelectedEndpoint{leastCost(item, isLong, now)->endpoint->spec.id, "least_cost"};
}

bool EndpointSelector::worthTheWay(const WorkItem &item) const
{
    const double spared =
            static_cast<double>(item.cacheablePrefixTokens) / settings_.prefillTokensPerSecond;
    return settings_.prefixHomes > 0 && item.prefixHash != 0
           && spared > secondsOf(settings_.roundTripElsewhere);
}

double EndpointSelector::loadSeconds(const Candidate &candidate)
{
    // Prompts that wait for their first token, and a little for each open stream.
    constexpr double StreamSeconds = 0.02;
    return secondsOf(candidate.endpoint->health.pendingWork())
           + StreamSeconds * candidate.endpoint->load.own();
}

const EndpointSelector::Candidate &EndpointSelector::amongHomes(const WorkItem &item, Instant now)
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
    // One request's prefill is always allowed above the bound.
    const double bound = settings_.homeBound * mean + secondsOf(expectedPrefill(item.promptTokens));
    // What the first home has read another reads again, unless it was sent the prefix before.
    // Where a router has less than one request at an endpoint it doesn't see how full that is;
    // all would keep to the first home, whose callers wait while the second one idles.
    const double again = settings_.rereadWeight * static_cast<double>(item.cacheablePrefixTokens)
                         / settings_.prefillTokensPerSecond;
    const double routers = std::max(settings_.routerCount, 1U);
    const Candidate *best = nullptr;
    double bestCost = 0.0;
    uint32_t seen = 0;
    for (const Candidate &candidate : candidates_) {
        const bool holds =
                seen == 0 || affinity_.believes(item.prefixHash, candidate.endpoint->hash, now);
        const double seenPart = std::min(1.0, candidate.slots / routers);
        const double cost = loadSeconds(candidate) + (holds ? 0.0 : seenPart * again);
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

void EndpointSelector::gather(const Service &service, const std::vector<EndpointId> &tried,
                              Instant now)
{
    candidates_.clear();
    double reported = 0.0;
    double ownWhenReported = 0.0;
    for (const std::size_t i : service.endpoints) {
        Endpoint &endpoint = endpoints_[i];
        if (usability(endpoint, now) != Usability::Usable || contains(tried, endpoint.spec.id)) {
            continue;
        }
        const EndpointLoad &load = endpoint.load;
        const double slots = std::max(endpoint.spec.slots, 1U) * endpoint.health.rampShare(now);
        reported += load.reported(now);
        ownWhenReported += load.ownWhenReported(now);
        candidates_.push_back({&endpoint, slots, load.requests(now) / slots,
                               (load.own() + 1) / slots, endpoint.local});
    }
    ownPart_ = partOf(ownWhenReported, reported);
    for (Candidate &candidate : candidates_) {
        candidate.ownFill /= ownPart_;
    }
}

EndpointSelector::Endpoint *EndpointSelector::lastResort(const Service &service,
                                                         const std::vector<EndpointId> &tried,
                                                         Instant now)
{
    // A slow or doubtful endpoint is better than none.
    Endpoint *best = nullptr;
    for (const std::size_t i : service.endpoints) {
        Endpoint &endpoint = endpoints_[i];
        const Usability how = usability(endpoint, now);
        const bool possible = how == Usability::Ejected || how == Usability::Probing;
        if (!possible || contains(tried, endpoint.spec.id)) {
            continue;
        }
        if (best == nullptr || endpoint.load.own() < best->load.own()) {
            best = &endpoint;
        }
    }
    return best;
}

EndpointSelector::Endpoint *EndpointSelector::probe(const Service &service, const WorkItem &item,
                                                    bool isLong,
                                                    const std::vector<EndpointId> &tried,
                                                    Instant now)
{
    // A first try that can be made again, and whose wait is short if all is well.
    if (!service.outliers.someOut() || !item.idempotent || isLong || !tried.empty()) {
        return nullptr;
    }
    for (const std::size_t i : service.endpoints) {
        Endpoint &endpoint = endpoints_[i];
        if (usability(endpoint, now) == Usability::Probing && endpoint.health.wantsProbe(now)) {
            return &endpoint;
        }
    }
    return nullptr;
}

void EndpointSelector::markLanes(const Service &service, const ServiceId &name, Instant now)
{
    double fill = 0.0;
    for (const Candidate &candidate : candidates_) {
        fill += candidate.fill / static_cast<double>(candidates_.size());
    }
    const std::size_t lanes = service.longWork.lanes(candidates_.size(), fill, now);
    if (lanes == 0) {
        return;
    }
    const uint64_t key = stableHash(name.text());
    std::vector<std::pair<uint64_t, std::size_t>> order;
    order.reserve(candidates_.size());
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        order.emplace_back(affinityWeight(key, candidates_[i].endpoint->hash), i);
    }
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(lanes);
    std::nth_element(order.begin(), end - 1, order.end(), std::greater<>());
    for (auto entry = order.begin(); entry != end; ++entry) {
        candidates_[entry->second].lane = true;
    }
}

void EndpointSelector::markRoomy(bool isLong, bool localOnly, Instant now)
{
    double sum = 0.0;
    double ownSum = 0.0;
    double count = 0.0;
    for (const Candidate &candidate : candidates_) {
        // The mean of those that may be chosen: beside idle ones elsewhere, a domain's own
        // would seem overrun as soon as they had anything to do.
        const bool considered = candidate.lane == isLong && (candidate.local || !localOnly);
        const double counts = considered ? 1.0 : 0.0;
        sum += counts * candidate.fill;
        ownSum += counts * candidate.ownFill;
        count += counts;
    }
    const double bound = std::min(settings_.boundFactor * sum / std::max(count, 1.0), 1.0);
    const double ownBound = std::min(settings_.boundFactor * ownSum / std::max(count, 1.0), 1.0);
    for (Candidate &candidate : candidates_) {
        const Endpoint &endpoint = *candidate.endpoint;
        // One request is always allowed: near idle, a bound below it would send a prefix
        // to a cold endpoint each time.
        const double free = std::max(1.0, settings_.boundExemptShare * candidate.slots
                                                  / std::max(settings_.routerCount, 1U));
        const bool first = endpoint.load.own() < free && candidate.fill < 1.0;
        const bool even = candidate.fill < bound && candidate.ownFill < ownBound;
        candidate.roomy = candidate.lane == isLong && (candidate.local || !localOnly)
                          && (even || first) && endpoint.load.report().kvUsed < settings_.kvLimit
                          && backlog(endpoint, now) <= settings_.prefillBacklogLimit * ownPart_;
    }
}

Interval EndpointSelector::backlog(const Endpoint &endpoint, Instant now)
{
    // By the clock, and by what hasn't come: other routers' prompts are in its way too.
    return std::max({endpoint.prefillUntil - now, endpoint.health.pendingWork(), Interval::zero()});
}

std::optional<SelectedEndpoint> EndpointSelector::chooseRoomy(const WorkItem &item, bool localOnly,
                                                              Instant now)
{
    if (item.prefixHash != 0) {
        if (const Candidate *holder = byPrefix(item.prefixHash, true, now)) {
            return SelectedEndpoint{holder->endpoint->spec.id,
                                    localOnly ? "prefix_cached" : "prefix_spill"};
        }
        if (const Candidate *home = byPrefix(item.prefixHash, false, now)) {
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

const EndpointSelector::Candidate *EndpointSelector::byPrefix(uint64_t prefix, bool holdersOnly,
                                                              Instant now) const
{
    const Candidate *best = nullptr;
    uint64_t bestWeight = 0;
    for (const Candidate &candidate : candidates_) {
        if (!candidate.roomy) {
            continue;
        }
        const uint64_t weight = affinityWeight(prefix, candidate.endpoint->hash);
        if (best != nullptr && weight <= bestWeight) {
            continue;
        }
        if (holdersOnly && !affinity_.believes(prefix, candidate.endpoint->hash, now)) {
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
        if (!candidate.roomy) {
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
    // Routers that hold the same reports must not all take the same endpoint.
    std::uniform_real_distribution<double> apart(0.0, OverflowSeconds);
    const Candidate *best = nullptr;
    double bestCost = 0.0;
    for (const Candidate &candidate : candidates_) {
        const double wrongLane = candidate.lane != isLong ? LaneSeconds : 0.0;
        const double total = cost(candidate, item, now) + wrongLane + apart(random_);
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
            item.prefixHash != 0 && affinity_.believes(item.prefixHash, endpoint.hash, now);
    const double overflow = std::max((candidate.fill - 1.0) * candidate.slots + 1.0, 0.0);
    const double ownOverflow = std::max(candidate.ownFill - 1.0, 0.0) * candidate.slots;
    double seconds = secondsOf(backlog(endpoint, now));
    seconds += secondsOf(expectedPrefill(item.promptTokens)) * (cached ? 1.0 - PrefixPart : 1.0);
    seconds += (overflow + ownOverflow) * OverflowSeconds + candidate.fill * FillSeconds;
    seconds += candidate.local ? 0.0 : roundTripSeconds(endpoint.spec.domain);
    seconds += endpoint.load.report().kvUsed >= settings_.kvLimit ? KvPressureSeconds : 0.0;
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
    return measured == roundTrips_.end() ? secondsOf(settings_.roundTripElsewhere)
                                         : measured->second.mean();
}

Verdict EndpointSelector::noEndpoint(const Service &service, const std::vector<EndpointId> &tried,
                                     Instant now) const
{
    std::array<uint32_t, 5> counts = {};
    uint32_t triedCount = 0;
    for (const std::size_t i : service.endpoints) {
        if (contains(tried, endpoints_[i].spec.id)) {
            ++triedCount;
            continue;
        }
        ++counts[static_cast<std::size_t>(usability(endpoints_[i], now))];
    }
    std::string detail = "no endpoint can be used: " + std::to_string(triedCount) + " tried";
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
            item.prefixHash != 0 && affinity_.believes(item.prefixHash, found->hash, now);
    const Interval prefill = expectedPrefill(item.promptTokens);
    const double part = cached ? 1.0 - PrefixPart : 1.0;
    found->prefillUntil =
            std::max(found->prefillUntil, now) + intervalOf(secondsOf(prefill) * part);
    const bool full = found->load.requests(now) >= NearlyFull * found->spec.slots;
    found->load.onSent(now);
    found->health.onSent(item.request, prefill, full, now);
    if (item.prefixHash != 0) {
        affinity_.learn(item.prefixHash, found->hash, now);
    }
}

void EndpointSelector::onFirstToken(const EndpointId &endpoint, const RequestId &request,
                                    Instant now)
{
    if (Endpoint *found = find(endpoint); found != nullptr) {
        found->health.onFirstToken(request, now);
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
    if (result.succeeded) {
        return;
    }
    for (const ServiceId &service : found->spec.services) {
        services_.at(service).outliers.reviewSoon();
    }
}

void EndpointSelector::onReport(const LoadReport &report, Instant now)
{
    Endpoint *found = find(report.endpoint);
    if (found == nullptr) {
        return;
    }
    const bool wasAway = !found->load.report().reachable;
    found->load.onReport(report);
    if (wasAway && found->load.report().reachable) {
        found->health.startRamp(now, settings_.health);
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
        affinity_.learn(prefix, found->hash, observedAt);
    } else {
        affinity_.forget(prefix, found->hash);
    }
}

void EndpointSelector::onRoundTrip(const DomainId &domain, Interval roundTrip)
{
    const auto added = roundTrips_.try_emplace(domain, MovingMean(RoundTripSamples));
    added.first->second.add(secondsOf(roundTrip));
}

std::vector<UnservedRoute> EndpointSelector::unserved(const ServiceId &service, Instant now) const
{
    std::vector<UnservedRoute> routes;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return routes;
    }
    for (const std::size_t i : found->second.endpoints) {
        const Usability how = usability(endpoints_[i], now);
        if (how != Usability::Usable) {
            routes.push_back({endpoints_[i].spec.id, usabilityName(how)});
        }
    }
    return routes;
}

uint32_t EndpointSelector::concurrencyLimit(Instant now) const
{
    double own = 0.0;
    double ownWhenReported = 0.0;
    double reported = 0.0;
    double requests = 0.0;
    double slots = 0.0;
    double ownElsewhere = 0.0; // open where no more is sent; they hold no slot that counts here
    for (const Endpoint &endpoint : endpoints_) {
        if (usability(endpoint, now) != Usability::Usable) {
            ownElsewhere += endpoint.load.own();
            continue;
        }
        own += endpoint.load.own();
        ownWhenReported += endpoint.load.ownWhenReported(now);
        reported += endpoint.load.reported(now);
        requests += endpoint.load.requests(now);
        slots += endpoint.spec.slots * endpoint.health.rampShare(now);
    }
    if (slots <= 0.0) {
        return 0;
    }
    // The others are taken to have grown as this router has since the reports.
    const double part = partOf(ownWhenReported, reported);
    const double everybodys = std::max(requests, own / part);
    // Summed over all before the difference is taken: an endpoint that is overrun must
    // count against another's room, or uneven choices add up to an overrun fleet.
    const double room = settings_.fullest * slots - everybodys;
    const double equalPart = 1.0 / std::max(settings_.routerCount, 1U);
    // Shares grow by half an equal step and shrink by what each has, which pulls them
    // together (Chiu and Jain, 1989).
    const double change = room > 0.0 ? room * (part + equalPart) / 2.0 : room * part;
    const double least = std::max(settings_.fullest * slots * equalPart, 1.0);
    return static_cast<uint32_t>(std::max(own + change, least) + ownElsewhere);
}

double EndpointSelector::partOf(double own, double everybodys) const
{
    const double equalPart = 1.0 / std::max(settings_.routerCount, 1U);
    return everybodys > 0.0 ? std::clamp(own / everybodys, equalPart, 1.0) : 1.0;
}

EndpointSelector::Endpoint *EndpointSelector::find(const EndpointId &id)
{
    const auto found = index_.find(id);
    return found == index_.end() ? nullptr : &endpoints_[found->second];
}

} // namespace sequoiagate
