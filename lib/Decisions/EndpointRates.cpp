#include "sequoiagate/Decisions/EndpointRates.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

constexpr std::size_t Collectors = 2;

/// Measurements of a kind that agree with the published rate and are sent in a round, on average.
/// Of 65 hosts, these are three measurements per second of each of 90 endpoints.
constexpr double AgreeingPerRound = 1.0;
/// Share of a round in the moving mean of measurements. Weights that follow single rounds vary from
/// 1 to 11, and a few samples decide the median.
constexpr double SmoothingShare = 0.1;
/// The highest weight for some time after a change, since the samples that showed the change are in
/// part of the time before it.
constexpr uint32_t WeightAfterChange = 4;
constexpr Interval ChangeTime = std::chrono::seconds(3);
/// Measurements of a kind sent in a round at most, for bursts in which none agrees.
constexpr uint32_t MaxSentPerRound = 5;
/// Measurements within this factor of the published rate agree with it, since twice as long times
/// occur without a change. The others are sent at once.
constexpr double AgreementFactor = 2.4;

/// A rate that changes by more than this factor is sent to all hosts at once.
constexpr double BroadcastFactor = 1.35;
/// A measured factor within this of the published one doesn't replace it, so that collectors whose
/// samples differ don't alternate.
constexpr double HysteresisFactor = 1.12;
/// The interval at which the whole fleet may broadcast, and how many broadcasts a host may save up.
/// 16 datagrams of 90 bytes per second are at most 1.4 kB per second at each host.
constexpr Interval FleetBroadcastInterval = std::chrono::milliseconds(60);
constexpr int BroadcastBurst = 6;
/// Broadcasts that a host may make as soon as it has started: endpoints that differ by their kind
/// do so from the start.
constexpr int FirstBroadcasts = 1;
/// Changes of both factors of an endpoint are a little apart, and take one broadcast in this time.
constexpr Interval MinBroadcastInterval = std::chrono::seconds(1);

/// A collector that isn't the first one publishes if the newest rate is older than this.
constexpr Interval StandbyAge = std::chrono::seconds(3);

/// A collector publishes an unchanged rate again after this time, if it has new samples.
constexpr Interval RefreshInterval = std::chrono::seconds(2);
/// Of two records, one must be newer by this to replace the other: the ages in messages don't
/// include the time under way. Published ones are further apart, since their ages are rounded: a
/// correction 0.2 s after a rate was rejected by most hosts.
constexpr Interval MinNewer = std::chrono::milliseconds(150);
constexpr Interval MinPublishInterval = std::chrono::milliseconds(350);

/// Rates in one round of gossip. Those that were sent least often come first.
constexpr std::size_t GossipedRates = 12;

/// A refreshed rate counts as not sent yet only this long after the last time. Gossip delivers some
/// 12 newer rates per second to each host. Rates whose factors aren't within NearUsual of the usual
/// ones come first, since they matter most and must not fade.
constexpr Interval GossipAgainInterval = std::chrono::seconds(4);
constexpr Interval UsualGossipAgainInterval = std::chrono::seconds(8);
constexpr double NearUsual = 1.35;

/// A prefix sent to an endpoint this long ago may have been evicted there.
constexpr Interval CacheTime = std::chrono::seconds(30);
/// Open requests that are older are forgotten.
constexpr Interval MaxOpenTime = std::chrono::minutes(10);

/// A host's load that was stated longer ago is forgotten: the host may have ended.
constexpr Interval MaxLoadAge = std::chrono::seconds(20);
/// Before this many other hosts have stated their load, it isn't known how even it is.
constexpr std::size_t MinLoads = 4;
/// A host without requests expects to send this many per second.
constexpr double MinRequestsPerSecond = 0.2;

/// Endpoints of a service with fewer known rates than this have no meaningful median.
constexpr std::size_t MinEndpointsForMedian = 3;
/// A slow endpoint counts as usual again below this share of SlowFactor.
constexpr double SlowHysteresis = 0.9;

/// Classes of prompt sizes, two per power of two.
uint32_t sizeClass(uint64_t tokens)
{
    return static_cast<uint32_t>(std::lround(2.0 * std::log2(static_cast<double>(tokens) + 1.0)));
}

bool differsBy(double a, double b, double factor)
{
    return a > b * factor || b > a * factor;
}

double orUsual(double factor)
{
    return factor > 0.0 ? factor : 1.0;
}

bool differBy(const SharedRate &a, const SharedRate &b, double factor)
{
    return differsBy(orUsual(a.prefillFactor), orUsual(b.prefillFactor), factor)
           || differsBy(orUsual(a.decodeFactor), orUsual(b.decodeFactor), factor);
}

double medianOf(std::vector<double> &values)
{
    if (values.size() < MinEndpointsForMedian) {
        return 1.0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

uint32_t processKey(const EndpointProcess &process)
{
    return static_cast<uint32_t>(stableHash(process.endpoint.text(), process.startedAtMillis));
}

EndpointRates::EndpointRates(const HostId &self, const DomainId &domain)
    : self_(self), domain_(domain), hosts_({{self, domain}}), random_(stableHash(self.text()))
{}

void EndpointRates::setHosts(const std::vector<HostPlace> &others)
{
    hosts_ = others;
    hosts_.push_back({self_, domain_});
    for (auto &[id, endpoint] : endpoints_) {
        chooseCollectors(endpoint);
    }
}

void EndpointRates::chooseCollectors(Endpoint &endpoint) const
{
    const std::string key = endpoint.process.endpoint.text();
    std::vector<std::pair<uint64_t, const HostPlace *>> ranked;
    ranked.reserve(hosts_.size());
    for (const HostPlace &place : hosts_) {
        ranked.emplace_back(rendezvousWeight(key, place.host.text()), &place);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->host < b.second->host;
    });
    const DomainId &firstDomain = ranked.front().second->domain;
    std::stable_partition(ranked.begin() + 1, ranked.end(), [&firstDomain](const auto &entry) {
        return entry.second->domain != firstDomain;
    });
    endpoint.collectors.clear();
    for (std::size_t i = 0; i < std::min(Collectors, ranked.size()); ++i) {
        endpoint.collectors.push_back(ranked[i].second->host);
    }
}

void EndpointRates::setEndpoint(const EndpointProcess &process, const ServiceId &service)
{
    const auto found = endpoints_.find(process.endpoint);
    if (found != endpoints_.end() && found->second.process == process
        && found->second.service == service) {
        return;
    }
    removeEndpoint(process.endpoint);
    Endpoint endpoint;
    endpoint.process = process;
    endpoint.service = service;
    endpoint.rate.process = processKey(process);
    chooseCollectors(endpoint);
    byKey_[endpoint.rate.process] = process.endpoint;
    endpoints_.emplace(process.endpoint, std::move(endpoint));
}

void EndpointRates::removeEndpoint(const EndpointId &endpoint)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        byKey_.erase(found->second.rate.process);
        endpoints_.erase(found);
    }
}

EndpointRates::Endpoint *EndpointRates::findByKey(uint32_t key)
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &endpoints_.at(found->second);
}

EndpointRates::OpenRequest *EndpointRates::findOpen(const EndpointId &endpoint,
                                                    const RequestId &request)
{
    const auto found = open_.find(request);
    const bool isThere = found != open_.end() && found->second.endpoint == endpoint;
    return isThere ? &found->second : nullptr;
}

uint64_t EndpointRates::uncachedTokens(const EndpointId &endpoint, const WorkItem &item,
                                       Instant now)
{
    if (item.prefixHash == 0) {
        return item.promptTokens;
    }
    const uint64_t key = stableHash(endpoint.text(), item.prefixHash);
    Instant &cachedUntil = cachedUntil_[key];
    const bool isCached = now < cachedUntil;
    cachedUntil = now + CacheTime;
    return item.promptTokens
           - (isCached ? std::min(item.cacheablePrefixTokens, item.promptTokens) : 0);
}

void EndpointRates::onSent(const EndpointId &endpoint, const WorkItem &item, Instant now)
{
    if (!isActive()) {
        return;
    }
    OpenRequest &open = open_[item.request];
    open = OpenRequest();
    open.endpoint = endpoint;
    open.size = sizeClass(uncachedTokens(endpoint, item, now));
    open.sentAt = now;
    if (item.promptTokens > 0) {
        sent_.add(1.0, now);
    }
}

void EndpointRates::onFirstEvent(const EndpointId &endpoint, const RequestId &request, Instant now)
{
    OpenRequest *open = findOpen(endpoint, request);
    const auto found = endpoints_.find(endpoint);
    if (open == nullptr || found == endpoints_.end()) {
        return;
    }
    open->lastEventAt = now;
    measurePrefill(found->second, *open, now);
}

void EndpointRates::measurePrefill(Endpoint &endpoint, const OpenRequest &open, Instant now)
{
    RelativeTimes &times = times_[endpoint.service].prefill;
    const double known = endpoint.relative.prefillFactor;
    if (const auto relative = times.add(open.size, now - open.sentAt, known)) {
        share(endpoint, {endpoint.rate.process, *relative, 0.0, 1, now}, prefillSampling_, now);
    }
}

void EndpointRates::measureDecode(Endpoint &endpoint, Interval time, Instant now)
{
    RelativeTimes &times = times_[endpoint.service].decode;
    if (const auto relative = times.add(0, time, endpoint.relative.decodeFactor)) {
        share(endpoint, {endpoint.rate.process, 0.0, *relative, 1, now}, decodeSampling_, now);
    }
}

void EndpointRates::onProgress(const EndpointId &endpoint, const RequestId &request,
                               uint64_t events, Instant now)
{
    OpenRequest *open = findOpen(endpoint, request);
    const auto found = endpoints_.find(endpoint);
    if (open == nullptr || found == endpoints_.end() || open->lastEventAt == Instant()) {
        return;
    }
    const Interval time = now - std::exchange(open->lastEventAt, now);
    if (events > 0) {
        measureDecode(found->second, time / static_cast<int64_t>(events), now);
    }
}

void EndpointRates::share(Endpoint &endpoint, SharedRate measurement, Sampling &sampling,
                          Instant now)
{
    ++sampling.measured;
    const bool isPrefill = measurement.prefillFactor > 0.0;
    const double measured = isPrefill ? measurement.prefillFactor : measurement.decodeFactor;
    const double published =
            orUsual(isPrefill ? endpoint.rate.prefillFactor : endpoint.rate.decodeFactor);
    const bool agrees = !differsBy(measured, published, AgreementFactor);
    const uint32_t weight = now < endpoint.changedAt + ChangeTime
                                    ? std::min(sampling.weight, WeightAfterChange)
                                    : sampling.weight;
    if (sampling.sent >= MaxSentPerRound || (agrees && random_() % weight != 0)) {
        return;
    }
    measurement.samples = agrees ? weight : 1;
    ++sampling.sent;
    for (const HostId &collector : endpoint.collectors) {
        if (collector == self_) {
            collect(endpoint, measurement, self_, now);
        } else if (sendMeasurement) {
            sendMeasurement(collector, measurement);
        }
    }
}

bool EndpointRates::onMeasurement(const SharedRate &measurement, const HostId &from, Instant now)
{
    Endpoint *endpoint = findByKey(measurement.process);
    if (endpoint == nullptr) {
        return false;
    }
    collect(*endpoint, measurement, from, now);
    return true;
}

void EndpointRates::collect(Endpoint &endpoint, const SharedRate &measurement, const HostId &from,
                            Instant now)
{
    const uint64_t source = stableHash(from.text());
    bool isChange = false;
    if (measurement.prefillFactor > 0.0) {
        isChange = endpoint.prefill.add(measurement.prefillFactor, measurement.samples,
                                        measurement.observedAt, source, hosts_.size());
    }
    if (measurement.decodeFactor > 0.0) {
        const bool isDecodeChange =
                endpoint.decode.add(measurement.decodeFactor, measurement.samples,
                                    measurement.observedAt, source, hosts_.size());
        isChange = isChange || isDecodeChange;
    }
    endpoint.measuredAt = std::max(endpoint.measuredAt, measurement.observedAt);
    if (isChange) {
        publish(endpoint, now);
    }
}

std::size_t EndpointRates::rankAt(const Endpoint &endpoint) const
{
    const auto own = std::find(endpoint.collectors.begin(), endpoint.collectors.end(), self_);
    return static_cast<std::size_t>(own - endpoint.collectors.begin());
}

SharedRate EndpointRates::estimateOf(const Endpoint &endpoint) const
{
    // The time to the first event includes the wait for other prompts. A rate that follows it makes
    // a busy endpoint seem slow, and its prefixes move away with each burst.
    const double decode = endpoint.decode.factor();
    const double prefill = endpoint.decode.isKnown() ? decode : endpoint.prefill.factor();
    return {endpoint.rate.process, prefill, decode,
            std::min(endpoint.prefill.samples() + endpoint.decode.samples(), 255U),
            endpoint.measuredAt};
}

bool EndpointRates::mayPublish(const Endpoint &endpoint, Instant now) const
{
    return rankAt(endpoint) == 0 || endpoint.isOwnRate
           || now >= endpoint.rate.observedAt + StandbyAge;
}

void EndpointRates::publish(Endpoint &endpoint, Instant now)
{
    endpoint.prefill.dropOld(now);
    endpoint.decode.dropOld(now);
    SharedRate estimate = estimateOf(endpoint);
    const bool isNew = estimate.observedAt > endpoint.rate.observedAt + MinPublishInterval;
    const bool differs = differBy(estimate, endpoint.rate, HysteresisFactor);
    const bool isDue = endpoint.rate.samples == 0 || differs
                       || estimate.observedAt >= endpoint.rate.observedAt + RefreshInterval;
    const bool isKnown = endpoint.prefill.isKnown() || endpoint.decode.isKnown();
    if (!isKnown || !isNew || !isDue || !mayPublish(endpoint, now)) {
        return;
    }
    // Without a published rate, hosts take the endpoint for a usual one.
    endpoint.isUrgent = endpoint.isUrgent || differBy(estimate, endpoint.rate, BroadcastFactor);
    if (endpoint.rate.samples > 0 && !differs) {
        estimate.prefillFactor = endpoint.rate.prefillFactor;
        estimate.decodeFactor = endpoint.rate.decodeFactor;
    }
    setRate(endpoint, estimate, now);
    endpoint.isOwnRate = true;
    broadcastUrgent(endpoint, now);
    for (const HostId &collector : endpoint.collectors) {
        if (collector != self_ && sendRate) {
            sendRate(collector, estimate);
        }
    }
}

void EndpointRates::setRate(Endpoint &endpoint, const SharedRate &rate, Instant now)
{
    const bool isChanged =
            endpoint.rate.samples == 0 || differBy(rate, endpoint.rate, HysteresisFactor);
    if (endpoint.rate.samples > 0 && differBy(rate, endpoint.rate, BroadcastFactor)) {
        endpoint.changedAt = now;
    }
    endpoint.rate = rate;
    updateRelative(endpoint, now);
    const bool isUsual = !differsBy(endpoint.relative.prefillFactor, 1.0, NearUsual)
                         && !differsBy(endpoint.relative.decodeFactor, 1.0, NearUsual);
    const Interval interval = isUsual ? UsualGossipAgainInterval : GossipAgainInterval;
    if (isChanged || rate.observedAt >= endpoint.gossipedAt + interval) {
        endpoint.gossiped = 0;
        endpoint.gossipedAt = rate.observedAt;
    }
}

void EndpointRates::broadcastUrgent(Endpoint &endpoint, Instant now)
{
    if (!endpoint.isUrgent || now < endpoint.mayBroadcastAt) {
        return;
    }
    const Interval interval = FleetBroadcastInterval * static_cast<int64_t>(hosts_.size());
    mayBroadcastAt_ = std::max(mayBroadcastAt_, now - BroadcastBurst * interval);
    if (mayBroadcastAt_ + interval > now) {
        return;
    }
    mayBroadcastAt_ += interval;
    endpoint.mayBroadcastAt = now + MinBroadcastInterval;
    endpoint.isUrgent = false;
    if (broadcastRate) {
        broadcastRate(endpoint.rate);
    }
}

bool EndpointRates::onRate(const SharedRate &rate, Instant now)
{
    Endpoint *endpoint = findByKey(rate.process);
    if (endpoint == nullptr) {
        return false;
    }
    if (endpoint->rate.samples > 0 && rate.observedAt < endpoint->rate.observedAt + MinNewer) {
        return true;
    }
    setRate(*endpoint, rate, now);
    endpoint->isOwnRate = false;
    endpoint->isUrgent = false;
    return true;
}

void EndpointRates::tick(Instant now)
{
    if (mayBroadcastAt_ == Instant()) {
        // Little is saved up at first, when factors of a few samples change often.
        mayBroadcastAt_ =
                now
                - FirstBroadcasts * FleetBroadcastInterval * static_cast<int64_t>(hosts_.size());
    }
    for (Sampling *sampling : {&prefillSampling_, &decodeSampling_}) {
        sampling->usualMeasured += SmoothingShare * (sampling->measured - sampling->usualMeasured);
        const auto weight =
                static_cast<uint32_t>(std::ceil(sampling->usualMeasured / AgreeingPerRound));
        sampling->weight = std::clamp(weight, 1U, RateEstimate::MaxWeight);
        sampling->measured = 0;
        sampling->sent = 0;
    }
    if (!isActive()) {
        dropExpired(now);
        return;
    }
    for (auto &[id, endpoint] : endpoints_) {
        if (!endpoint.prefill.isEmpty() || !endpoint.decode.isEmpty()) {
            publish(endpoint, now);
        }
        broadcastUrgent(endpoint, now);
    }
    updateUsual(now);
    gossip(now);
    dropExpired(now);
}

void EndpointRates::gossip(Instant now)
{
    std::vector<Endpoint *> candidates;
    for (auto &[id, endpoint] : endpoints_) {
        if (endpoint.rate.samples > 0 && now < endpoint.rate.observedAt + FullAge) {
            candidates.push_back(&endpoint);
        }
    }
    const std::size_t count = std::min(GossipedRates, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const Endpoint *a, const Endpoint *b) {
                          return std::pair(a->gossiped, b->rate.observedAt)
                                 < std::pair(b->gossiped, a->rate.observedAt);
                      });
    std::vector<SharedRate> rates;
    for (std::size_t i = 0; i < count; ++i) {
        ++candidates[i]->gossiped;
        rates.push_back(candidates[i]->rate);
    }
    if (!rates.empty() && gossipRates) {
        gossipRates(rates);
    }
}

void EndpointRates::updateUsual(Instant now)
{
    struct Factors
    {
        std::vector<double> prefill;
        std::vector<double> decode;
    };
    std::unordered_map<ServiceId, Factors> known;
    for (const auto &[id, endpoint] : endpoints_) {
        // Unknown endpoints count as usual ones. Rates of slow endpoints are sent first, and the
        // median of these alone would make them seem usual.
        const bool isKnown = endpoint.rate.samples > 0 && now < endpoint.rate.observedAt + FadedAge;
        Factors &factors = known[endpoint.service];
        factors.prefill.push_back(isKnown ? orUsual(endpoint.rate.prefillFactor) : 1.0);
        factors.decode.push_back(isKnown ? orUsual(endpoint.rate.decodeFactor) : 1.0);
    }
    for (auto &[service, factors] : known) {
        usual_[service] = {medianOf(factors.prefill), medianOf(factors.decode)};
    }
    for (auto &[id, endpoint] : endpoints_) {
        updateRelative(endpoint, now);
    }
}

void EndpointRates::updateRelative(Endpoint &endpoint, Instant now)
{
    const SharedRate &rate = endpoint.rate;
    const Interval age = now - rate.observedAt;
    EndpointRate relative;
    if (rate.samples > 0 && age < FadedAge) {
        const UsualFactors &usual = usual_[endpoint.service];
        const double left = std::clamp(std::chrono::duration<double>(FadedAge - age)
                                               / std::chrono::duration<double>(FadedAge - FullAge),
                                       0.0, 1.0);
        relative.prefillFactor = std::pow(orUsual(rate.prefillFactor) / usual.prefill, left);
        relative.decodeFactor = std::pow(orUsual(rate.decodeFactor) / usual.decode, left);
        relative.samples = rate.samples;
    }
    endpoint.relative = relative;
    const double highest = std::max(relative.prefillFactor, relative.decodeFactor);
    const bool isSlow = highest >= (endpoint.isSlow ? SlowHysteresis : 1.0) * SlowFactor;
    if (isSlow != endpoint.isSlow) {
        endpoint.isSlow = isSlow;
        relative.age = age;
        if (onCrossed) {
            onCrossed(endpoint.process.endpoint, relative, isSlow);
        }
    }
}

void EndpointRates::dropExpired(Instant now)
{
    std::erase_if(cachedUntil_, [now](const auto &entry) { return now >= entry.second; });
    std::erase_if(loads_,
                  [now](const auto &entry) { return now >= entry.second.statedAt + MaxLoadAge; });
    std::erase_if(open_,
                  [now](const auto &entry) { return now >= entry.second.sentAt + MaxOpenTime; });
}

EndpointRate EndpointRates::rateOf(const EndpointId &endpoint, Instant now) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || !isActive()) {
        return {};
    }
    EndpointRate rate = found->second.relative;
    if (rate.samples > 0) {
        rate.age = std::max(now - found->second.rate.observedAt, Interval::zero());
    }
    return rate;
}

void EndpointRates::onHostLoad(const HostId &host, double requestsPerSecond, Instant now)
{
    if (host != self_) {
        loads_[host] = {requestsPerSecond, now};
    }
}

double EndpointRates::requestsPerSecond(Instant now) const
{
    return sent_.at(now) / secondsOf(LoadTime);
}

std::optional<double> EndpointRates::hostShare(Instant now) const
{
    double sum = 0.0;
    std::size_t known = 0;
    for (const auto &[host, load] : loads_) {
        if (now < load.statedAt + MaxLoadAge) {
            sum += load.requestsPerSecond;
            ++known;
        }
    }
    const std::size_t others = hosts_.size() - 1;
    if (known < std::min(MinLoads, others) || others == 0) {
        return std::nullopt;
    }
    // The hosts that are heard are about as loaded as the others.
    const double otherRequests = sum * static_cast<double>(others) / static_cast<double>(known);
    const double own = std::max(requestsPerSecond(now), MinRequestsPerSecond);
    return own / (own + otherRequests);
}

std::size_t EndpointRates::knownCount(Instant now) const
{
    return static_cast<std::size_t>(
            std::count_if(endpoints_.begin(), endpoints_.end(), [now](const auto &entry) {
                const SharedRate &rate = entry.second.rate;
                return rate.samples > 0 && now < rate.observedAt + FadedAge;
            }));
}

} // namespace sequoiagate
