/// Many hosts' selectors that share the rates of the endpoints, under the load of the two
/// deployments of docs/design/hard-load.md: 75 hosts, 60 endpoints, 246 digests and 127 chats per
/// second (uneven) and 65 hosts, 90 endpoints, 207 digests and 351 chats per second (scarce).

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/EndpointSelector.h"

using namespace sequoiagate;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);
const ServiceId Model("model");

Interval secondsFrom(double seconds)
{
    return std::chrono::duration_cast<Interval>(std::chrono::duration<double>(seconds));
}

struct Kind
{
    double perSecond;
    uint64_t promptTokens;
    uint64_t sharedTokens;
    uint64_t prefixes;
    uint64_t outputTokens;
    double decodeSeconds; ///< at the median endpoint
    double targetSeconds; ///< until the first event
};

struct Load
{
    int hosts;
    int endpoints;
    double prefillPerSecond; ///< tokens
    uint64_t kvTokens;
    std::vector<double> speeds; ///< multiples of the processing time, in rotation
    Kind digest;
    Kind chat;

    std::vector<double> speedsOf() const
    {
        std::vector<double> result;
        for (std::size_t i = 0; i < static_cast<std::size_t>(endpoints); ++i) {
            result.push_back(speeds[i % speeds.size()]);
        }
        return result;
    }
};

const Load Scarce = {65,
                     90,
                     56'600.0,
                     386'933,
                     {1.0, 1.0, 1.3},
                     {207.0, 9190, 6300, 1055, 49, 0.3, 1.2},
                     {351.0, 826, 198, 544, 200, 2.1, 0.5}};
const Load Uneven = {75,
                     60,
                     93'600.0,
                     459'404,
                     {0.7, 0.7, 1.7},
                     {246.0, 9190, 6300, 1055, 54, 0.4, 0.6},
                     {127.0, 826, 198, 544, 200, 2.4, 0.5}};

struct Outcome
{
    std::map<int, int> sent;         ///< requests, by endpoint
    std::vector<double> firstEvents; ///< seconds, of all requests
    double readAgain =
            0.0; ///< shared tokens that were prefilled although used within 10 s elsewhere
    double lateCount = 0.0; ///< requests whose first event came after the target of their kind
    std::map<uint64_t, std::set<int>> endpointsOfPrefix;

    double late() const { return lateCount / static_cast<double>(firstEvents.size()); }
    std::size_t mostEndpoints() const
    {
        std::size_t most = 0;
        for (const auto &[prefix, endpoints] : endpointsOfPrefix) {
            most = std::max(most, endpoints.size());
        }
        return most;
    }
};

/// An endpoint that prefills one prompt after the other, at a speed that decoding requests reduce,
/// and keeps the least recently used prefixes in what its memory leaves.
class Engine
{
public:
    Engine(double tokensPerSecond, double capacity) : rate_(tokensPerSecond), capacity_(capacity) {}

    /// \returns when the first event is sent
    Instant read(uint64_t prefix, uint64_t shared, uint64_t own, double factor, Instant now,
                 bool &cached)
    {
        cached = touch(prefix, shared);
        const double tokens = static_cast<double>(own + (cached ? 0 : shared));
        const double seconds = (0.005 + tokens / rate_) * factor * (1.0 + 0.02 * decoding);
        freeAt_ = std::max(freeAt_, now) + secondsFrom(seconds);
        return freeAt_;
    }

    int decoding = 0;

private:
    bool touch(uint64_t prefix, uint64_t tokens)
    {
        const auto found = entries_.find(prefix);
        const bool cached = found != entries_.end();
        if (cached) {
            order_.erase(found->second);
        } else {
            used_ += static_cast<double>(tokens);
        }
        order_.push_front({prefix, tokens});
        entries_[prefix] = order_.begin();
        while (used_ > capacity_) {
            used_ -= static_cast<double>(order_.back().second);
            entries_.erase(order_.back().first);
            order_.pop_back();
        }
        return cached;
    }

    double rate_;
    double capacity_;
    double used_ = 0.0;
    Instant freeAt_{};
    std::list<std::pair<uint64_t, uint64_t>> order_;
    std::unordered_map<uint64_t, std::list<std::pair<uint64_t, uint64_t>>::iterator> entries_;
};

class Fleet : public EndpointRateSource
{
public:
    Fleet(const Load &load, EndpointPlacement placement, uint64_t seed) : load_(load), random_(seed)
    {
        std::vector<EndpointSpec> specs;
        for (int i = 0; i < load.endpoints; ++i) {
            EndpointSpec spec;
            spec.id = idOf(i);
            spec.domain = DomainId("d" + std::to_string(i % 3));
            spec.services = {Model};
            spec.slots = load.endpoints == 90 ? 32 : 64;
            spec.kvTokens = load.kvTokens;
            specs.push_back(spec);
            numbers_[spec.id] = i;
            engines_.emplace_back(load.prefillPerSecond, 0.6 * static_cast<double>(load.kvTokens));
        }
        factors = load.speedsOf();
        rateFactors = relative(factors);
        for (int i = 0; i < load.hosts; ++i) {
            EndpointSelectorSettings settings;
            settings.placement = placement;
            settings.boundExemptShare = 0.6;
            settings.prefixHomes = 2;
            settings.prefillBacklogLimit = Millis(400);
            settings.routerCount = static_cast<uint32_t>(load.hosts);
            settings.seed = static_cast<uint64_t>(i) + 1;
            hosts_.emplace_back(DomainId("d" + std::to_string(i % 3)), settings);
            hosts_.back().setEndpoints(specs, Start);
            hosts_.back().setRateSource(this);
        }
    }

    static EndpointId idOf(int number) { return EndpointId("i-7f3a91c2" + std::to_string(number)); }

    static std::vector<double> relative(const std::vector<double> &factors)
    {
        std::vector<double> sorted = factors;
        std::sort(sorted.begin(), sorted.end());
        std::vector<double> result = factors;
        for (double &factor : result) {
            factor /= sorted[sorted.size() / 2];
        }
        return result;
    }

    EndpointRate rateOf(const EndpointId &endpoint, Instant now) const override
    {
        const double factor = rateFactors[static_cast<std::size_t>(numbers_.at(endpoint))];
        measured = numbers_.at(endpoint);
        const double noisy = factor * std::exp(std::normal_distribution<>(0.0, noise)(random_));
        return {noisy, noisy, 40, rateAge(now)};
    }

    /// Simulates \p seconds and adds the requests after the first \p warmUp seconds to \p outcome.
    void run(double seconds, double warmUp, Outcome &outcome)
    {
        double at = 0.0;
        const double total = load_.digest.perSecond + load_.chat.perSecond;
        std::exponential_distribution<> gap(total);
        while ((at += gap(random_)) < seconds) {
            const Instant now = Start + secondsFrom(at);
            finishUntil(now);
            const bool isDigest =
                    std::uniform_real_distribution<>(0.0, total)(random_) < load_.digest.perSecond;
            place(isDigest ? load_.digest : load_.chat, isDigest ? 0 : 1'000'000, now, at >= warmUp,
                  outcome);
            if (onSent) {
                onSent(lastEndpoint_, at);
            }
        }
    }

    std::vector<double> factors;     ///< of the processing time
    std::vector<double> rateFactors; ///< as told by the rate source
    std::function<Interval(Instant)> rateAge = [](Instant) {
        return Millis(500);
    };
    mutable int measured = 0; ///< the endpoint whose rate is asked for
    std::function<void(int endpoint, double at)> onSent;
    double noise = 0.0; ///< of the rates
    double hotShare = 0.0;
    std::vector<EndpointSelector> &hosts() { return hosts_; }

private:
    struct Due
    {
        Instant at;
        int host;
        int endpoint;
        RequestId request;
        bool isEnd;
        Interval decode;
        bool operator>(const Due &other) const { return at > other.at; }
    };

    void finishUntil(Instant now)
    {
        while (!due_.empty() && due_.top().at <= now) {
            Due next = due_.top();
            due_.pop();
            EndpointSelector &host = hosts_[static_cast<std::size_t>(next.host)];
            Engine &engine = engines_[static_cast<std::size_t>(next.endpoint)];
            if (!next.isEnd) {
                host.onFirstToken(idOf(next.endpoint), next.request, next.at);
                ++engine.decoding;
                next.isEnd = true;
                next.at += next.decode;
                due_.push(next);
                continue;
            }
            --engine.decoding;
            host.onEnd({idOf(next.endpoint), next.request, true, Millis(1), 0}, next.at);
        }
    }

    void place(const Kind &kind, uint64_t firstPrefix, Instant now, bool counts, Outcome &outcome)
    {
        // A mild skew: the density of prefix x of n falls with the square root of x/n.
        const double uniform = std::uniform_real_distribution<>(0.0, 1.0)(random_);
        const auto drawn =
                static_cast<uint64_t>(uniform * uniform * static_cast<double>(kind.prefixes));
        const bool isHot = std::uniform_real_distribution<>(0.0, 1.0)(random_) < hotShare;
        WorkItem item;
        item.request = RequestId("r" + std::to_string(++requests_));
        item.service = Model;
        item.promptTokens = kind.promptTokens;
        item.cacheablePrefixTokens = kind.sharedTokens;
        item.outputCeiling = kind.outputTokens;
        item.prefixHash = affinityWeight(firstPrefix + (isHot ? 0 : drawn) + 1, 77);
        const int host = static_cast<int>(random_() % hosts_.size());
        EndpointSelector &selector = hosts_[static_cast<std::size_t>(host)];
        const SelectionOutcome selected = selector.select(item, {}, now);
        const EndpointId id = std::get<SelectedEndpoint>(selected).endpoint;
        selector.onSent(id, item, now);
        const int endpoint = numbers_.at(id);
        lastEndpoint_ = endpoint;
        const double factor = factors[static_cast<std::size_t>(endpoint)];
        bool cached = false;
        const Instant first = engines_[static_cast<std::size_t>(endpoint)].read(
                item.prefixHash, kind.sharedTokens, kind.promptTokens - kind.sharedTokens, factor,
                now, cached);
        due_.push({first, host, endpoint, item.request, false,
                   secondsFrom(kind.decodeSeconds * factor)});
        const auto used = lastUse_.find(item.prefixHash);
        const bool isAgain = used != lastUse_.end() && now - used->second < Seconds(10);
        lastUse_[item.prefixHash] = now;
        if (counts) {
            ++outcome.sent[endpoint];
            outcome.endpointsOfPrefix[item.prefixHash].insert(endpoint);
            const double seconds = std::chrono::duration<double>(first - now).count();
            outcome.firstEvents.push_back(seconds);
            outcome.lateCount += seconds > kind.targetSeconds ? 1.0 : 0.0;
            outcome.readAgain += isAgain && !cached ? static_cast<double>(kind.sharedTokens) : 0.0;
        }
    }

    const Load load_;
    std::vector<EndpointSelector> hosts_;
    std::vector<Engine> engines_;
    std::unordered_map<EndpointId, int> numbers_;
    std::unordered_map<uint64_t, Instant> lastUse_;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    mutable std::mt19937_64 random_;
    int requests_ = 0;
    int lastEndpoint_ = 0;
};

double percentile(const Outcome &outcome, double share)
{
    return outcome.firstEvents[static_cast<std::size_t>(
            share * static_cast<double>(outcome.firstEvents.size() - 1))];
}

void record(const Outcome &reference, const Outcome &outcome)
{
    for (const auto &[name, figures] :
         {std::pair("prefix_home", &reference), std::pair("expected_time", &outcome)}) {
        std::string text;
        for (const double share : {0.5, 0.9, 0.99}) {
            text += std::to_string(std::lround(1e3 * percentile(*figures, share))) + " ms, ";
        }
        testing::Test::RecordProperty(
                name, text + "late " + std::to_string(figures->late()) + ", read again "
                              + std::to_string(std::lround(figures->readAgain)) + ", up to "
                              + std::to_string(figures->mostEndpoints())
                              + " endpoints of a prefix");
    }
}

/// Requests to the slowest third over requests to the fastest third.
double slowToFast(const Outcome &outcome, const std::vector<double> &factors)
{
    std::vector<std::pair<double, int>> bySpeed;
    for (std::size_t i = 0; i < factors.size(); ++i) {
        const auto found = outcome.sent.find(static_cast<int>(i));
        bySpeed.emplace_back(factors[i], found == outcome.sent.end() ? 0 : found->second);
    }
    std::sort(bySpeed.begin(), bySpeed.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    const std::size_t third = bySpeed.size() / 3;
    double fast = 0.0;
    double slow = 0.0;
    for (std::size_t i = 0; i < third; ++i) {
        fast += bySpeed[i].second;
        slow += bySpeed[bySpeed.size() - 1 - i].second;
    }
    return slow / fast;
}

/// The sum over several seeds: late requests come in clusters, so that one run tells little.
Outcome simulate(const Load &load, EndpointPlacement placement, double seconds, double warmUp,
                 void (*arrange)(Fleet &fleet) = nullptr)
{
    Outcome outcome;
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Fleet fleet(load, placement, seed);
        if (arrange != nullptr) {
            arrange(fleet);
        }
        fleet.run(seconds, warmUp, outcome);
    }
    std::sort(outcome.firstEvents.begin(), outcome.firstEvents.end());
    return outcome;
}

/// The load after 10 s with prefix_home, which doesn't use the rates.
const Outcome &byPrefixHome(const Load &load)
{
    static std::map<const Load *, Outcome> outcomes;
    const auto found = outcomes.find(&load);
    return found != outcomes.end()
                   ? found->second
                   : outcomes.emplace(&load, simulate(load, EndpointPlacement::PrefixHome, 40, 10))
                             .first->second;
}

struct RatesCase
{
    const char *name;
    const Load *load;
    void (*arrange)(Fleet &fleet);
    bool isUseful; ///< whether the rates are those of the endpoints
};

class Rates : public testing::TestWithParam<RatesCase>
{};

void keepRates(Fleet & /*fleet*/) {}

void removeRates(Fleet &fleet)
{
    for (EndpointSelector &host : fleet.hosts()) {
        host.setRateSource(nullptr);
    }
}

void makeRatesStale(Fleet &fleet)
{
    fleet.rateAge = [](Instant) {
        return Seconds(30);
    };
    std::shuffle(fleet.rateFactors.begin(), fleet.rateFactors.end(), std::mt19937(3));
}

void makeRatesWrong(Fleet &fleet)
{
    std::shuffle(fleet.rateFactors.begin(), fleet.rateFactors.end(), std::mt19937(3));
}

void makeRatesNoisy(Fleet &fleet)
{
    fleet.noise = 0.15;
}

const RatesCase RatesCases[] = {
        {"ScarceKnown", &Scarce, keepRates, true},
        {"ScarceNoisy", &Scarce, makeRatesNoisy, true},
        {"ScarceMissing", &Scarce, removeRates, false},
        {"ScarceStale", &Scarce, makeRatesStale, false},
        {"UnevenKnown", &Uneven, keepRates, true},
        {"UnevenNoisy", &Uneven, makeRatesNoisy, true},
        {"UnevenMissing", &Uneven, removeRates, false},
        {"UnevenStale", &Uneven, makeRatesStale, false},
};

// Guards against prefixes that are prefilled again since homes follow the rates, and against
// placements worse than without rates where these are missing, old or vary by chance.
TEST_P(Rates, MakeFewerResponsesLateWithoutRepeatedPrefill)
{
    const Load &load = *GetParam().load;
    const Outcome &reference = byPrefixHome(load);
    const Outcome outcome =
            simulate(load, EndpointPlacement::ExpectedTime, 40, 10, GetParam().arrange);
    record(reference, outcome);
    EXPECT_LE(outcome.readAgain, 1.1 * reference.readAgain);
    const double count = static_cast<double>(outcome.firstEvents.size());
    const double samplingError = 3.0 * std::sqrt(reference.late() / count);
    EXPECT_LE(outcome.late(),
              GetParam().isUseful ? reference.late() / 2.0 : reference.late() + samplingError);
    const bool isTwiceAsSlow = &load == &Uneven;
    if (GetParam().isUseful && isTwiceAsSlow) {
        EXPECT_LE(slowToFast(outcome, load.speedsOf()), 0.6);
    }
}

INSTANTIATE_TEST_SUITE_P(Loads, Rates, testing::ValuesIn(RatesCases),
                         [](const auto &row) { return std::string(row.param.name); });

class Loads : public testing::TestWithParam<const Load *>
{};

// Guards against a fleet in which more than 0.03 of the requests are late, the part of the score
// that a deployment may lose, since the rates are those of other endpoints.
TEST_P(Loads, SurviveWrongRates)
{
    const Outcome &reference = byPrefixHome(*GetParam());
    const Outcome outcome =
            simulate(*GetParam(), EndpointPlacement::ExpectedTime, 40, 10, makeRatesWrong);
    record(reference, outcome);
    EXPECT_LE(outcome.late(), reference.late() + 0.03);
}

// Guards against late responses at the start, when no endpoint has a prefix.
TEST_P(Loads, BeginWithHalfTheLateResponses)
{
    const Outcome reference = simulate(*GetParam(), EndpointPlacement::PrefixHome, 4, 0);
    const Outcome outcome = simulate(*GetParam(), EndpointPlacement::ExpectedTime, 4, 0);
    record(reference, outcome);
    EXPECT_LE(outcome.late(), reference.late() / 2.0);
}

// Guards against a prefix with a quarter of the traffic that overloads its homes, and against one
// that every endpoint prefills.
TEST_P(Loads, SpreadAHotPrefix)
{
    const auto addHotPrefix = [](Fleet &fleet) {
        fleet.hotShare = 0.25;
    };
    const Outcome reference =
            simulate(*GetParam(), EndpointPlacement::PrefixHome, 40, 10, addHotPrefix);
    const Outcome outcome =
            simulate(*GetParam(), EndpointPlacement::ExpectedTime, 40, 10, addHotPrefix);
    record(reference, outcome);
    EXPECT_LE(outcome.readAgain, 1.1 * reference.readAgain);
    EXPECT_LE(outcome.late(), reference.late() / 2.0);
    EXPECT_LT(outcome.mostEndpoints(), GetParam()->speedsOf().size() / 2);
}

// Guards against requests that wait for an endpoint that became four times as slow, and against one
// that gets none when it has recovered. The rates follow 2 s later, and age while there is no
// request to measure.
TEST_P(Loads, LeaveASlowEndpointUntilItRecovers)
{
    constexpr int Slow = 0;
    std::vector<int> perSecond(60);
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Fleet fleet(*GetParam(), EndpointPlacement::ExpectedTime, seed);
        double lastSentAt = 0.0;
        fleet.rateAge = [&](Instant now) {
            return fleet.measured == Slow ? now - Start - secondsFrom(lastSentAt)
                                          : Interval(Millis(500));
        };
        fleet.onSent = [&](int endpoint, double at) {
            const bool isSlow = at >= 20.0 && at < 40.0;
            fleet.factors[Slow] = GetParam()->speeds[0] * (isSlow ? 4.0 : 1.0);
            // The recovery is learnt only from a request that is sent after it.
            if (at >= 22.0 && (at < 40.0 || lastSentAt >= 42.0)) {
                fleet.rateFactors = Fleet::relative(GetParam()->speedsOf());
                fleet.rateFactors[Slow] *= at < 40.0 ? 4.0 : 1.0;
            }
            if (endpoint == Slow) {
                lastSentAt = at;
                ++perSecond[static_cast<std::size_t>(at)];
            }
        };
        Outcome outcome;
        fleet.run(60, 0, outcome);
    }
    const auto sent = [&perSecond](int first, int last) {
        return std::accumulate(perSecond.begin() + first, perSecond.begin() + last, 0)
               / static_cast<double>(last - first);
    };
    RecordProperty("before", std::to_string(sent(10, 20)));
    RecordProperty("slow", std::to_string(sent(24, 40)));
    RecordProperty("after", std::to_string(sent(50, 60)));
    EXPECT_LE(sent(24, 40), 0.25 * sent(10, 20));
    EXPECT_GT(sent(24, 40), 0.0);
    EXPECT_GE(sent(50, 60), 0.5 * sent(10, 20));
}

INSTANTIATE_TEST_SUITE_P(Rows, Loads, testing::Values(&Scarce, &Uneven), [](const auto &row) {
    return std::string(row.param == &Scarce ? "Scarce" : "Uneven");
});

} // namespace
