#include "unittests/Support/FleetModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <numeric>
#include <queue>
#include <random>
#include <unordered_map>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate::model {

namespace {

const ServiceId Model("model");
const DomainId Domain("domain");
const Instant Start = Instant() + std::chrono::hours(1);
constexpr Interval FirstTokenGoal = std::chrono::milliseconds(630);
constexpr Interval RefusedConnection = std::chrono::milliseconds(1);
constexpr std::size_t MostTries = 3;
constexpr Interval BucketLength = std::chrono::seconds(1);
constexpr Interval Drain = std::chrono::seconds(1800); // ten times slower, for the longest

/// Things to do at points of virtual time, in order, ties by insertion.
class Agenda
{
public:
    using Action = std::function<void()>;

    Instant now() const { return now_; }
    void at(Instant when, Action action)
    {
        entries_.push({std::max(when, now_), next_++, std::move(action)});
    }
    void runUntil(Instant end)
    {
        while (!entries_.empty() && entries_.top().when < end) {
            now_ = entries_.top().when;
            const Action action = std::move(entries_.top().action);
            entries_.pop();
            action();
        }
    }

private:
    struct Entry
    {
        Instant when;
        uint64_t sequence;
        mutable Action action; ///< moved out when its time has come
        friend bool operator<(const Entry &a, const Entry &b)
        {
            return a.when > b.when || (a.when == b.when && a.sequence > b.sequence);
        }
    };

    std::priority_queue<Entry> entries_;
    uint64_t next_ = 0;
    Instant now_ = Start;
};

/// Draws ranks with probabilities that fall as a power of the rank.
class Zipf
{
public:
    Zipf(uint32_t count, double skew)
    {
        double sum = 0.0;
        for (uint32_t rank = 1; rank <= count; ++rank) {
            sum += std::pow(rank, -skew);
            cumulative_.push_back(sum);
        }
    }
    std::size_t draw(std::mt19937_64 &random) const
    {
        std::uniform_real_distribution<double> uniform(0.0, cumulative_.back());
        const auto found =
                std::lower_bound(cumulative_.begin(), cumulative_.end(), uniform(random));
        return static_cast<std::size_t>(found - cumulative_.begin());
    }

private:
    std::vector<double> cumulative_;
};

/// The prefixes that fit into an engine's cache, least recently used go first.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

    /// Uses a prefix. \returns whether it was there; \p evicted is set when one had to go.
    bool use(uint64_t prefix, std::optional<uint64_t> &evicted)
    {
        const auto found = places_.find(prefix);
        if (found != places_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            return true;
        }
        order_.push_front(prefix);
        places_[prefix] = order_.begin();
        if (order_.size() > capacity_) {
            evicted = order_.back();
            places_.erase(order_.back());
            order_.pop_back();
        }
        return false;
    }

private:
    std::size_t capacity_;
    std::list<uint64_t> order_;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> places_;
};

struct Request
{
    WorkItem item;
    std::size_t router = 0;
    std::size_t workspace = 0;
    uint64_t outputTokens = 0;
    bool isLong = false;
    uint32_t comebacks = 0;
    Instant firstOfferedAt;
    std::vector<EndpointId> tried;
    std::size_t endpoint = 0;
    Instant firstTokenAt = Never;
};

struct Engine
{
    EndpointSpec spec;
    PrefixCache cache;
    uint32_t running = 0;
    std::deque<std::size_t> waiting;
    Instant prefillUntil = Start;
    Instant countedUntil = Start;
    double busySeconds = 0.0;
    uint64_t sent = 0;
};

struct Router
{
    std::unique_ptr<AdmissionStrategy> admission;
    std::unique_ptr<ChoiceStrategy> choice;
    RetryBudget retries;
    Instant nextPoll = Never;
};

/// Nobody watches for the first token of batch work; it may wait as admission lets it.
Interval goalOf(const Request &request)
{
    constexpr Interval BatchGoal = std::chrono::seconds(3);
    return request.item.workClass == WorkClass::Batch ? BatchGoal : FirstTokenGoal;
}

FirstTokens quantiles(std::vector<double> &seconds)
{
    std::sort(seconds.begin(), seconds.end());
    const auto at = [&](double part) {
        return seconds.empty() ? 0.0
                               : seconds[static_cast<std::size_t>(
                                       part * static_cast<double>(seconds.size() - 1))];
    };
    return {at(0.50), at(0.95), at(0.99)};
}

/// Jain's index of what each got over its max-min fair part of \p capacity.
double jainIndex(const std::vector<double> &demands, const std::vector<double> &served,
                 double capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });
    double left = capacity;
    double sum = 0.0;
    double squares = 0.0;
    double count = 0.0;
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const double equalPart = left / static_cast<double>(order.size() - rank);
        const double fair = std::min(demands[order[rank]], equalPart);
        left -= fair;
        if (fair <= 0.0) {
            continue;
        }
        const double got = served[order[rank]] / fair;
        sum += got;
        squares += got * got;
        count += 1.0;
    }
    return squares > 0.0 ? sum * sum / (count * squares) : 0.0;
}

/// Callers' view of a while, to see when a burst is over for them.
struct Bucket
{
    uint64_t offered = 0;
    uint64_t unhappy = 0; ///< refused, or a late first token
};

class Simulation
{
public:
    Simulation(const FleetSettings &fleet, const LoadSettings &load, const Policy &policy);

    Outcome run();

private:
    bool measured(Instant when) const { return when >= Start + load_.warmUp; }
    Instant now() const { return agenda_.now(); }

    // ---- callers ----
    double arrivalRate() const;
    void arrive();
    std::size_t makeRequest();
    void offer(std::size_t id);
    void refuse(std::size_t id, const Verdict &verdict);
    void tookNote(const Request &request, bool unhappy);

    // ---- routers ----
    void poll(std::size_t router);
    void send(std::size_t id);
    void tryFailed(std::size_t id, Interval after);
    void finish(std::size_t id, bool succeeded, uint64_t tokens);

    // ---- engines ----
    const EndpointFault *faultOf(std::size_t endpoint) const;
    double slowFactor(std::size_t endpoint) const;
    void receive(std::size_t id);
    void begin(std::size_t id);
    void firstToken(std::size_t id);
    void end(std::size_t id);
    void countBusy(Engine &engine);
    void publishCache(std::size_t endpoint, uint64_t prefix, bool stored);
    void report();

    Outcome outcome();

    FleetSettings fleet_;
    LoadSettings load_;
    Policy policy_;
    Agenda agenda_;
    std::mt19937_64 random_;
    Zipf workspaces_;
    Zipf prefixes_;
    std::vector<Request> requests_;
    std::vector<Engine> engines_;
    std::vector<Router> routers_;
    std::unordered_map<EndpointId, std::size_t> engineIndex_;
    std::unordered_map<RequestId, std::size_t> requestIndex_;
    Instant end_;

    Outcome outcome_;
    std::vector<double> firstTokens_;
    std::vector<double> briefFirstTokens_;
    std::vector<double> demand_;
    std::vector<double> servedTokens_;
    std::vector<Bucket> buckets_;
    uint64_t tries_ = 0;
    uint64_t firstTries_ = 0;
    uint64_t prefixUses_ = 0;
    uint64_t prefixHits_ = 0;
};

Simulation::Simulation(const FleetSettings &fleet, const LoadSettings &load, const Policy &policy)
    : fleet_(fleet), load_(load), policy_(policy), random_(load.seed),
      workspaces_(load.workspaces, load.workspaceSkew), prefixes_(load.prefixes, load.prefixSkew),
      end_(Start + load.duration), demand_(load.workspaces), servedTokens_(load.workspaces)
{
    std::vector<EndpointSpec> specs;
    for (uint32_t i = 0; i < fleet_.endpoints; ++i) {
        EndpointSpec spec;
        spec.id = EndpointId("endpoint-" + std::to_string(i));
        spec.domain = Domain;
        spec.services = {Model};
        spec.slots = fleet_.slots;
        specs.push_back(spec);
        engineIndex_[spec.id] = i;
        engines_.push_back({spec, PrefixCache(fleet_.cachedPrefixes)});
    }
    for (uint32_t i = 0; i < fleet_.routers; ++i) {
        Router router;
        router.admission = policy_.admission(load.seed * 1000 + i);
        router.choice = policy_.choice(Domain, load.seed * 1000 + i);
        router.choice->setEndpoints(specs, Start);
        router.admission->setSlots(fleet_.endpoints * fleet_.slots / fleet_.routers, Start);
        routers_.push_back(std::move(router));
    }
}

Outcome Simulation::run()
{
    agenda_.at(Start, [this] { arrive(); });
    agenda_.at(Start, [this] { report(); });
    // Streams that have begun end, so that what each workspace got can be told.
    agenda_.runUntil(end_ + Drain);
    return outcome();
}

double Simulation::arrivalRate() const
{
    const double base = load_.utilization * fleet_.requestsPerSecond(load_.outputTokens);
    const bool burst = now() >= Start + load_.burstFrom && now() < Start + load_.burstUntil;
    return burst ? base * load_.burstFactor : base;
}

void Simulation::arrive()
{
    if (now() >= end_) {
        return;
    }
    offer(makeRequest());
    std::exponential_distribution<double> gap(arrivalRate());
    agenda_.at(now() + intervalOf(gap(random_)), [this] { arrive(); });
}

std::size_t Simulation::makeRequest()
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    std::geometric_distribution<uint64_t> output(1.0 / load_.outputTokens);
    const std::size_t id = requests_.size();
    Request request;
    request.router = random_() % routers_.size();
    request.workspace = workspaces_.draw(random_);
    request.outputTokens = 1 + output(random_);
    request.isLong = uniform(random_) < load_.longShare;
    request.firstOfferedAt = now();
    WorkItem &item = request.item;
    item.request = RequestId("r" + std::to_string(id));
    item.workspace = WorkspaceId("w" + std::to_string(request.workspace));
    item.service = Model;
    item.promptTokens = load_.promptTokens;
    item.outputCeiling = 1000;
    const bool batch = uniform(random_) < load_.batchShare;
    item.workClass = batch ? WorkClass::Batch : WorkClass::Interactive;
    if (request.isLong) {
        item.promptTokens =
                static_cast<uint64_t>(load_.longFactor * static_cast<double>(load_.promptTokens));
    } else {
        item.prefixHash = stableHash("prefix", prefixes_.draw(random_) + 1);
    }
    if (measured(now())) {
        ++outcome_.offered;
        demand_[request.workspace] += static_cast<double>(request.outputTokens);
    }
    requestIndex_[item.request] = id;
    requests_.push_back(std::move(request));
    return id;
}

void Simulation::offer(std::size_t id)
{
    Request &request = requests_[id];
    request.item.arrivedAt = now();
    const std::size_t router = request.router;
    const AdmissionOutcome outcome = routers_[router].admission->offer(request.item, now());
    if (std::holds_alternative<Admitted>(outcome)) {
        send(id);
    } else if (const auto *verdict = std::get_if<Verdict>(&outcome)) {
        refuse(id, *verdict);
    }
    poll(router);
}

void Simulation::refuse(std::size_t id, const Verdict &verdict)
{
    Request &request = requests_[id];
    if (request.comebacks == 0) {
        tookNote(request, true);
    }
    if (request.comebacks < load_.comebacks && verdict.retryAt.has_value()) {
        ++request.comebacks;
        request.tried.clear();
        agenda_.at(*verdict.retryAt, [this, id] { offer(id); });
        return;
    }
    if (measured(request.firstOfferedAt)) {
        ++outcome_.refused[verdict.reason];
    }
}

void Simulation::tookNote(const Request &request, bool unhappy)
{
    const auto index = static_cast<std::size_t>((request.firstOfferedAt - Start) / BucketLength);
    buckets_.resize(std::max(buckets_.size(), index + 1));
    ++buckets_[index].offered;
    buckets_[index].unhappy += unhappy ? 1 : 0;
}

void Simulation::poll(std::size_t index)
{
    Router &router = routers_[index];
    for (const QueueRelease &release : router.admission->poll(now())) {
        const std::size_t id = requestIndex_.at(release.request);
        if (release.admitted) {
            send(id);
        } else {
            refuse(id, release.verdict);
        }
    }
    const Instant next = router.admission->nextDeadline();
    if (next == Never || (router.nextPoll > now() && router.nextPoll <= next)) {
        return;
    }
    router.nextPoll = next;
    agenda_.at(next, [this, index] { poll(index); });
}

void Simulation::send(std::size_t id)
{
    Request &request = requests_[id];
    Router &router = routers_[request.router];
    const SelectionOutcome outcome = router.choice->choose(request.item, request.tried, now());
    if (const auto *verdict = std::get_if<Verdict>(&outcome)) {
        router.admission->finished(request.item.request, 0, now());
        refuse(id, *verdict);
        return;
    }
    const EndpointId &endpoint = std::get<SelectedEndpoint>(outcome).endpoint;
    ++tries_;
    if (request.tried.empty()) {
        ++firstTries_;
        router.retries.onFirstAttempt(now());
    }
    request.tried.push_back(endpoint);
    request.endpoint = engineIndex_.at(endpoint);
    router.choice->onSent(endpoint, request.item, now());
    receive(id);
}

void Simulation::tryFailed(std::size_t id, Interval after)
{
    agenda_.at(now() + after, [this, id] {
        Request &request = requests_[id];
        Router &router = routers_[request.router];
        router.choice->onEnd(
                {engines_[request.endpoint].spec.id, request.item.request, false, {}, 0}, now());
        const Verdict verdict{Execution::NotRun, Reason::EndpointFailed, "it failed",
                              now() + Seconds(1)};
        const bool again =
                policy_.retryBudget
                        ? router.retries.mayRetry(verdict, request.item.idempotent, now())
                        : request.tried.size() < MostTries;
        if (again) {
            send(id);
            return;
        }
        router.admission->finished(request.item.request, 0, now());
        refuse(id, verdict);
        poll(request.router);
    });
}

const EndpointFault *Simulation::faultOf(std::size_t endpoint) const
{
    for (const EndpointFault &fault : load_.faults) {
        const bool active = now() >= Start + fault.from && now() < Start + fault.until;
        if (fault.endpoint == endpoint && active) {
            return &fault;
        }
    }
    return nullptr;
}

double Simulation::slowFactor(std::size_t endpoint) const
{
    const EndpointFault *fault = faultOf(endpoint);
    return fault == nullptr ? 1.0 : fault->slowFactor;
}

void Simulation::receive(std::size_t id)
{
    Engine &engine = engines_[requests_[id].endpoint];
    ++engine.sent;
    const EndpointFault *fault = faultOf(requests_[id].endpoint);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    if (fault != nullptr && (fault->away || uniform(random_) < fault->failureShare)) {
        tryFailed(id, RefusedConnection);
        return;
    }
    if (engine.running >= fleet_.slots) {
        engine.waiting.push_back(id);
        return;
    }
    begin(id);
}

void Simulation::begin(std::size_t id)
{
    Request &request = requests_[id];
    Engine &engine = engines_[request.endpoint];
    countBusy(engine);
    ++engine.running;
    uint64_t tokens = request.item.promptTokens;
    if (request.item.prefixHash != 0) {
        std::optional<uint64_t> evicted;
        const bool hit = engine.cache.use(request.item.prefixHash, evicted);
        prefixUses_ += measured(now()) ? 1 : 0;
        prefixHits_ += measured(now()) && hit ? 1 : 0;
        tokens -= hit ? load_.prefixTokens : 0;
        if (!hit) {
            publishCache(request.endpoint, request.item.prefixHash, true);
        }
        if (evicted.has_value()) {
            publishCache(request.endpoint, *evicted, false);
        }
    }
    const double slow = slowFactor(request.endpoint);
    const double prefill = secondsOf(fleet_.prefillBase)
                           + static_cast<double>(tokens) / fleet_.prefillTokensPerSecond;
    engine.prefillUntil = std::max(engine.prefillUntil, now()) + intervalOf(prefill * slow);
    agenda_.at(engine.prefillUntil, [this, id] { firstToken(id); });
}

void Simulation::firstToken(std::size_t id)
{
    Request &request = requests_[id];
    request.firstTokenAt = now();
    Router &router = routers_[request.router];
    router.choice->onFirstToken(engines_[request.endpoint].spec.id, request.item.request, now());
    router.admission->onFirstToken(request.item.request, now());
    poll(request.router);
    const Interval waited = now() - request.item.arrivedAt;
    if (request.comebacks == 0) {
        tookNote(request, waited > goalOf(request));
    }
    if (measured(request.firstOfferedAt)) {
        firstTokens_.push_back(secondsOf(waited));
        if (!request.isLong && request.item.workClass == WorkClass::Interactive) {
            briefFirstTokens_.push_back(secondsOf(waited));
        }
    }
    const double stream = static_cast<double>(request.outputTokens) * secondsOf(fleet_.tokenTime)
                          * slowFactor(request.endpoint);
    agenda_.at(now() + intervalOf(stream), [this, id] { end(id); });
}

void Simulation::end(std::size_t id)
{
    Request &request = requests_[id];
    Engine &engine = engines_[request.endpoint];
    countBusy(engine);
    --engine.running;
    if (!engine.waiting.empty()) {
        const std::size_t next = engine.waiting.front();
        engine.waiting.pop_front();
        begin(next);
    }
    const double tokens = static_cast<double>(request.outputTokens);
    if (measured(request.firstOfferedAt)) {
        servedTokens_[request.workspace] += tokens;
        ++outcome_.served;
    }
    if (measured(now()) && now() < end_) {
        outcome_.throughput += tokens;
        const bool inTime = request.firstTokenAt - request.item.arrivedAt <= goalOf(request);
        outcome_.goodput += inTime ? tokens : 0.0;
    }
    finish(id, true, request.item.promptTokens + request.outputTokens);
}

void Simulation::finish(std::size_t id, bool succeeded, uint64_t tokens)
{
    Request &request = requests_[id];
    Router &router = routers_[request.router];
    const Interval first = request.firstTokenAt - request.item.arrivedAt;
    router.choice->onEnd({engines_[request.endpoint].spec.id, request.item.request, succeeded,
                          first, request.outputTokens},
                         now());
    router.admission->finished(request.item.request, tokens, now());
    poll(request.router);
}

void Simulation::countBusy(Engine &engine)
{
    const Instant from = std::max(engine.countedUntil, Start + load_.warmUp);
    const Instant until = std::min(now(), end_);
    engine.busySeconds += secondsOf(std::max(until - from, Interval::zero())) * engine.running;
    engine.countedUntil = now();
}

void Simulation::publishCache(std::size_t endpoint, uint64_t prefix, bool stored)
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    if (uniform(random_) < fleet_.cacheEventLoss) {
        return;
    }
    agenda_.at(now() + fleet_.cacheEventLag, [this, endpoint, prefix, stored, at = now()] {
        for (Router &router : routers_) {
            router.choice->onCacheEvent(engines_[endpoint].spec.id, prefix, stored, at);
        }
    });
}

void Simulation::report()
{
    std::vector<LoadReport> reports;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        const Engine &engine = engines_[i];
        LoadReport report;
        report.endpoint = engine.spec.id;
        report.running = engine.running;
        report.waiting = static_cast<uint32_t>(engine.waiting.size());
        report.reachable = faultOf(i) == nullptr || !faultOf(i)->away;
        report.observedAt = now();
        reports.push_back(report);
    }
    agenda_.at(now() + fleet_.reportLag, [this, reports] {
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            Router &router = routers_[i];
            for (const LoadReport &report : reports) {
                router.choice->onReport(report, now());
            }
            if (const uint32_t slots = router.choice->totalSlots(now()); slots > 0) {
                router.admission->setSlots(slots, now());
                poll(i);
            }
        }
    });
    agenda_.at(now() + fleet_.reportInterval, [this] { report(); });
}

Outcome Simulation::outcome()
{
    const double seconds = secondsOf(load_.duration - load_.warmUp);
    const double capacity = fleet_.capacity() * seconds;
    outcome_.fairness = jainIndex(demand_, servedTokens_, capacity);
    outcome_.goodput /= capacity;
    outcome_.throughput /= capacity;
    outcome_.all = quantiles(firstTokens_);
    outcome_.brief = quantiles(briefFirstTokens_);
    outcome_.hitRate = static_cast<double>(prefixHits_)
                       / static_cast<double>(std::max<uint64_t>(prefixUses_, 1));
    outcome_.amplification =
            static_cast<double>(tries_) / static_cast<double>(std::max<uint64_t>(firstTries_, 1));
    double total = 0.0;
    double most = 0.0;
    for (Engine &engine : engines_) {
        countBusy(engine);
        total += engine.busySeconds;
        most = std::max(most, engine.busySeconds);
        outcome_.sentTo.push_back(engine.sent);
    }
    outcome_.loadRatio = total > 0.0 ? most * static_cast<double>(engines_.size()) / total : 0.0;
    const auto burstEnd = static_cast<std::size_t>(load_.burstUntil / BucketLength);
    for (std::size_t i = burstEnd; i < buckets_.size(); ++i) {
        // Two callers in a while of ten aren't a trace yet.
        constexpr double Trace = 0.05;
        constexpr uint64_t FewestUnhappy = 3;
        const Bucket &bucket = buckets_[i];
        if (bucket.unhappy >= FewestUnhappy
            && static_cast<double>(bucket.unhappy) > Trace * static_cast<double>(bucket.offered)) {
            outcome_.recovery = static_cast<double>(i + 1 - burstEnd) * secondsOf(BucketLength);
        }
    }
    return outcome_;
}

} // namespace

double FleetSettings::capacity() const
{
    return endpoints * slots / secondsOf(tokenTime);
}

double FleetSettings::requestsPerSecond(double outputTokens) const
{
    return capacity() / outputTokens;
}

Outcome play(const FleetSettings &fleet, const LoadSettings &load, const Policy &policy)
{
    return Simulation(fleet, load, policy).run();
}

} // namespace sequoiagate::model
