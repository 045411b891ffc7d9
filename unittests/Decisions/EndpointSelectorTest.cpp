#include "sequoiagate/Decisions/EndpointSelector.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);
const ServiceId Chat("chat");
const DomainId Here("here");
const DomainId There("there");

EndpointSpec specOf(int number, const DomainId &domain = Here)
{
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(number));
    spec.domain = domain;
    spec.services = {Chat};
    spec.slots = 20;
    return spec;
}

std::vector<EndpointSpec> fleetOf(int count)
{
    std::vector<EndpointSpec> specs;
    for (int i = 0; i < count; ++i) {
        specs.push_back(specOf(i));
    }
    return specs;
}

WorkItem itemOf(int number, uint64_t prefix = 0)
{
    WorkItem item;
    item.request = RequestId("r" + std::to_string(number));
    item.workspace = WorkspaceId("w");
    item.service = Chat;
    item.promptTokens = 1000;
    item.outputCeiling = 300;
    item.prefixHash = prefix;
    return item;
}

LoadReport reportOf(int number, uint32_t running, Instant observedAt)
{
    LoadReport report;
    report.endpoint = specOf(number).id;
    report.running = running;
    report.observedAt = observedAt;
    return report;
}

EndpointSelectorSettings singleRouterSettings()
{
    EndpointSelectorSettings settings;
    settings.routerCount = 1;
    return settings;
}

std::string selectedId(const SelectionOutcome &outcome)
{
    const auto *chosen = std::get_if<SelectedEndpoint>(&outcome);
    return chosen == nullptr ? "" : chosen->endpoint.text();
}

/// One router, and endpoints that respond after set times.
class RouterSimulation
{
public:
    explicit RouterSimulation(int endpoints) : selector(Here, singleRouterSettings())
    {
        selector.setEndpoints(fleetOf(endpoints), Start);
    }

    /// Sends one request and simulates its first token and end.
    std::string sendRequest(int number, Instant now, uint64_t prefix = 0)
    {
        const WorkItem item = itemOf(number, prefix);
        const SelectionOutcome outcome = selector.select(item, {}, now);
        const std::string endpoint = selectedId(outcome);
        if (endpoint.empty()) {
            return endpoint;
        }
        ++sent[endpoint];
        const Interval first = firstToken.count(endpoint) > 0 ? firstToken[endpoint] : Millis(30);
        const bool fails = failing.count(endpoint) > 0;
        selector.onSent(EndpointId(endpoint), item, now);
        if (!fails) {
            selector.onFirstToken(EndpointId(endpoint), item.request, now + first);
        }
        selector.onEnd({EndpointId(endpoint), item.request, !fails, fails ? Interval() : first, 5},
                       now + first);
        return endpoint;
    }

    EndpointSelector selector;
    std::map<std::string, Interval> firstToken;
    std::map<std::string, bool> failing;
    std::map<std::string, int> sent;
};

struct UnusableCase
{
    const char *name;
    void (*makeUnusable)(EndpointSelector &selector);
    Reason reason;
    const char *listedReason; ///< in unusableEndpoints and in the verdict; empty: none is listed
};

class Unusable : public testing::TestWithParam<UnusableCase>
{};

// An operator investigates why requests are refused. unusableEndpoints gives the reason for
// each endpoint, and the refusal itself counts the reasons.
const UnusableCase UnusableCases[] = {
        {"Leaving",
         [](EndpointSelector &selector) {
             LoadReport report = reportOf(0, 0, Start);
             report.leaving = true;
             selector.onReport(report, Start);
         },
         Reason::NoEndpoint, "leaving"},
        {"Unreachable",
         [](EndpointSelector &selector) {
             LoadReport report = reportOf(0, 0, Start);
             report.reachable = false;
             selector.onReport(report, Start);
         },
         Reason::NoEndpoint, "unreachable"},
        {"LeavingByConfiguration",
         [](EndpointSelector &selector) {
             std::vector<EndpointSpec> specs = fleetOf(1);
             specs[0].leaving = true;
             selector.setEndpoints(specs, Start);
         },
         Reason::NoEndpoint, "leaving"},
        {"NoEndpointOffersService",
         [](EndpointSelector &selector) { selector.setEndpoints({}, Start); }, Reason::NoEndpoint,
         ""},
        {"Full",
         [](EndpointSelector &selector) { selector.onReport(reportOf(0, 40, Start), Start); },
         Reason::None, ""},
};

TEST_P(Unusable, ReportsReason)
{
    EndpointSelector selector(Here, singleRouterSettings());
    selector.setEndpoints(fleetOf(1), Start);
    GetParam().makeUnusable(selector);
    const SelectionOutcome outcome = selector.select(itemOf(1), {}, Start);
    const std::vector<UnusableEndpoint> unusable = selector.unusableEndpoints(Chat, Start);
    if (GetParam().reason == Reason::None) {
        EXPECT_EQ(selectedId(outcome), "e0");
        EXPECT_TRUE(unusable.empty());
        return;
    }
    const auto *verdict = std::get_if<Verdict>(&outcome);
    ASSERT_NE(verdict, nullptr);
    EXPECT_EQ(verdict->reason, GetParam().reason);
    EXPECT_EQ(verdict->execution, Execution::NotRun);
    EXPECT_TRUE(verdict->retryAt);
    ASSERT_EQ(unusable.empty(), GetParam().listedReason == std::string());
    if (!unusable.empty()) {
        EXPECT_EQ(unusable[0].reason, GetParam().listedReason);
        EXPECT_NE(verdict->detail.find(GetParam().listedReason), std::string::npos)
                << verdict->detail;
    }
}

INSTANTIATE_TEST_SUITE_P(Causes, Unusable, testing::ValuesIn(UnusableCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(EndpointSelector, NeverRetriesAtAnAttemptedEndpoint)
{
    // An endpoint failed a request. A retry sent to the same endpoint would fail as well and
    // use up an attempt.
    RouterSimulation simulation(3);
    std::vector<EndpointId> attempted;
    for (int i = 0; i < 3; ++i) {
        const std::string id =
                selectedId(simulation.selector.select(itemOf(1, 7), attempted, Start));
        ASSERT_FALSE(id.empty());
        EXPECT_EQ(std::count(attempted.begin(), attempted.end(), EndpointId(id)), 0);
        attempted.push_back(EndpointId(id));
    }
    EXPECT_EQ(selectedId(simulation.selector.select(itemOf(1, 7), attempted, Start)), "");
}

TEST(EndpointSelector, SpreadsHotPrefixOnlyUpToLoadBound)
{
    // One prefix makes up all of the load. At its home alone, callers would wait while the
    // other endpoints idle; spread over all, each would prefill it. 60 requests in flight over
    // 10 endpoints are 6 each on average, so none may have more than 8.
    RouterSimulation simulation(10);
    std::map<std::string, int> open;
    for (int i = 0; i < 60; ++i) {
        const WorkItem item = itemOf(i, 42);
        const Instant now = Start + i * Millis(100);
        const EndpointId endpoint(selectedId(simulation.selector.select(item, {}, now)));
        simulation.selector.onSent(endpoint, item, now);
        simulation.selector.onFirstToken(endpoint, item.request, now + Millis(30));
        ++open[endpoint.text()];
    }
    for (const auto &[endpoint, count] : open) {
        EXPECT_LE(count, 8) << endpoint;
    }
}

TEST(EndpointSelector, PrefersEndpointsThatHoldThePrefix)
{
    // The turns of a conversation arrive one by one. Each one sent to another endpoint costs
    // a prefill.
    RouterSimulation simulation(10);
    const std::string home = simulation.sendRequest(0, Start, 42);
    for (int i = 1; i < 20; ++i) {
        EXPECT_EQ(simulation.sendRequest(i, Start + Seconds(i), 42), home);
    }
    // The engine evicts the prefix, and a request of another router has put it in another
    // endpoint's cache: the cache events take precedence over the home.
    const std::string other = home == "e0" ? "e1" : "e0";
    simulation.selector.onCacheEvent(EndpointId(home), 42, false, Start + Seconds(20));
    simulation.selector.onCacheEvent(EndpointId(other), 42, true, Start + Seconds(20));
    EXPECT_EQ(simulation.sendRequest(20, Start + Seconds(21), 42), other);
    // Without further events, which may get lost, the entry expires and the home is used.
    EXPECT_EQ(simulation.sendRequest(21, Start + Seconds(120), 42), home);
}

TEST(EndpointSelector, SpreadsBurstBeforeNextReport)
{
    // e0 was idle in its last report, the others had a few requests. A router that uses
    // reports alone sends everything to e0 until the next report.
    RouterSimulation simulation(4);
    for (int i = 0; i < 4; ++i) {
        simulation.selector.onReport(reportOf(i, i == 0 ? 0 : 3, Start), Start);
    }
    std::map<std::string, int> open;
    for (int i = 0; i < 40; ++i) {
        const WorkItem item = itemOf(i);
        const Instant now = Start + i * Millis(10);
        const EndpointId endpoint(selectedId(simulation.selector.select(item, {}, now)));
        simulation.selector.onSent(endpoint, item, now);
        ++open[endpoint.text()];
    }
    for (const auto &[endpoint, count] : open) {
        EXPECT_LE(count, 15) << endpoint;
    }
}

TEST(EndpointSelector, StaysInOwnDomainWhileItHasCapacity)
{
    // Requests sent to another domain pay a round trip; requests that never leave their domain
    // wait for a slot while the next domain idles.
    EndpointSelector selector(Here, singleRouterSettings());
    selector.setEndpoints({specOf(0), specOf(1), specOf(2, There), specOf(3, There)}, Start);
    int remote = 0;
    for (int i = 0; i < 60; ++i) {
        const WorkItem item = itemOf(i);
        const Instant now = Start + i * Millis(100);
        const EndpointId endpoint(selectedId(selector.select(item, {}, now)));
        selector.onSent(endpoint, item, now);
        selector.onFirstToken(endpoint, item.request, now + Millis(30));
        const bool isRemote = endpoint.text() == "e2" || endpoint.text() == "e3";
        remote += isRemote ? 1 : 0;
        if (i < 36) {
            EXPECT_FALSE(isRemote) << "request " << i << " left its domain early";
        }
    }
    EXPECT_GE(remote, 18) << "40 local slots, 60 requests";
}

TEST(EndpointSelector, AvoidsEndpointWithoutFreeKvMemory)
{
    // An engine that is out of KV memory preempts requests and prefills them again, so their
    // streams stall.
    RouterSimulation simulation(3);
    LoadReport report = reportOf(1, 1, Start);
    report.kvUsed = 0.95;
    simulation.selector.onReport(report, Start);
    for (int i = 0; i < 50; ++i) {
        EXPECT_NE(simulation.sendRequest(i, Start + i * Millis(50), static_cast<uint64_t>(i) + 1),
                  "e1");
    }
}

struct OutlierCase
{
    const char *name;
    int slow;               ///< endpoints of 9 that are slow
    int failingCount;       ///< endpoints of 9 that fail
    int maxToFaulty;        ///< requests of the last 400 that may reach a faulty endpoint
    std::size_t maxEjected; ///< endpoints that may be ejected at the same time
};

class Outliers : public testing::TestWithParam<OutlierCase>
{};

// An endpoint is ten times slower, or fails its requests. Callers are affected for as long as
// it gets requests. A fault seen at all endpoints has another cause, and ejecting them would
// leave no endpoint.
constexpr OutlierCase OutlierCases[] = {
        {"OneSlow", 1, 0, 12, 1},  {"OneFailing", 0, 1, 12, 1},  {"TwoSlowOneFailing", 2, 1, 36, 3},
        {"AllSlow", 9, 0, 400, 0}, {"AllFailing", 0, 9, 400, 0}, {"HalfSlow", 5, 0, 400, 3},
};

TEST_P(Outliers, AreEjectedUpToAThirdOfThePeers)
{
    const OutlierCase &row = GetParam();
    RouterSimulation simulation(9);
    for (int i = 0; i < row.slow; ++i) {
        simulation.firstToken["e" + std::to_string(i)] = Millis(300);
    }
    for (int i = 0; i < row.failingCount; ++i) {
        simulation.failing["e" + std::to_string(row.slow + i)] = true;
    }
    int toFaulty = 0;
    for (int i = 0; i < 1200; ++i) {
        const Instant now = Start + i * Millis(50);
        const std::string endpoint = simulation.sendRequest(i, now);
        const int number = endpoint.empty() ? 0 : std::stoi(endpoint.substr(1));
        toFaulty += i >= 800 && number < row.slow + row.failingCount ? 1 : 0;
        EXPECT_LE(simulation.selector.unusableEndpoints(Chat, now).size(), row.maxEjected);
    }
    EXPECT_LE(toFaulty, row.maxToFaulty);
}

INSTANTIATE_TEST_SUITE_P(Faults, Outliers, testing::ValuesIn(OutlierCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(EndpointSelector, SendsOneProbeAtATimeAfterEjection)
{
    // A slow endpoint's ejection ends. Until its probes succeed it gets one request at a time,
    // and none that isn't idempotent.
    RouterSimulation simulation(9);
    simulation.firstToken["e0"] = Millis(600);
    int i = 0;
    while (simulation.selector.unusableEndpoints(Chat, Start + i * Millis(20)).empty()) {
        ASSERT_LT(i, 1000);
        simulation.sendRequest(i, Start + i * Millis(20));
        ++i;
    }
    const Instant ejectionEnd = Start + i * Millis(20) + Seconds(11);
    WorkItem nonIdempotent = itemOf(9000);
    nonIdempotent.idempotent = false;
    EXPECT_NE(selectedId(simulation.selector.select(nonIdempotent, {}, ejectionEnd)), "e0");
    const WorkItem probe = itemOf(9001);
    ASSERT_EQ(selectedId(simulation.selector.select(probe, {}, ejectionEnd)), "e0");
    simulation.selector.onSent(EndpointId("e0"), probe, ejectionEnd);
    for (int next = 0; next < 50; ++next) {
        EXPECT_NE(selectedId(simulation.selector.select(itemOf(9100 + next), {}, ejectionEnd)),
                  "e0");
    }
}

TEST(EndpointSelector, SlowStartsReturningEndpoint)
{
    // An endpoint that was unreachable returns idle. If it got its full share at once, its cold
    // cache would delay all of these requests.
    RouterSimulation simulation(4);
    LoadReport report = reportOf(0, 0, Start);
    report.reachable = false;
    simulation.selector.onReport(report, Start);
    report.reachable = true;
    report.observedAt = Start + Seconds(1);
    simulation.selector.onReport(report, Start + Seconds(1));
    int toReturning = 0;
    for (int i = 0; i < 40; ++i) {
        const WorkItem item = itemOf(i);
        const Instant now = Start + Seconds(1) + i * Millis(10);
        const EndpointId endpoint(selectedId(simulation.selector.select(item, {}, now)));
        simulation.selector.onSent(endpoint, item, now);
        toReturning += endpoint == EndpointId("e0") ? 1 : 0;
    }
    EXPECT_LE(toReturning, 4);
}

TEST(EndpointSelector, LimitIncludesRequestsOpenAtLeavingEndpoint)
{
    // An endpoint is leaving or ejected while its streams continue. If these counted against
    // the capacity of the other endpoints, callers would be refused although slots are free.
    RouterSimulation simulation(2);
    for (int i = 0; i < 20; ++i) {
        simulation.selector.onSent(EndpointId("e0"), itemOf(i), Start);
    }
    LoadReport report = reportOf(0, 20, Start);
    report.leaving = true;
    simulation.selector.onReport(report, Start);
    simulation.selector.onReport(reportOf(1, 0, Start), Start);
    EXPECT_GE(simulation.selector.concurrencyLimit(Start), 20U + 19U);
}

TEST(EndpointSelector, LimitIsAtLeastAnEqualShare)
{
    // Ten routers share an idle fleet of 200 slots. When all slots are taken each gets an
    // equal share, also a router without requests in flight: otherwise its callers would be
    // refused permanently.
    EndpointSelectorSettings settings;
    settings.routerCount = 10;
    EndpointSelector selector(Here, settings);
    EXPECT_EQ(selector.concurrencyLimit(Start), 0U);
    selector.setEndpoints(fleetOf(10), Start);
    EXPECT_GE(selector.concurrencyLimit(Start), 100U) << "no other router has requests in flight";
    for (int i = 0; i < 10; ++i) {
        selector.onReport(reportOf(i, 20, Start), Start);
    }
    EXPECT_GE(selector.concurrencyLimit(Start), 19U);
    EXPECT_LE(selector.concurrencyLimit(Start), 21U);
}

// A prefix is prefilled at its second home although its first home has it cached, because the
// first has a request or two in flight and the second none. The request should go to the second
// home only if the first home's queue takes longer than a prefill.
struct PrefixMissCase
{
    const char *name;
    double prefixMissWeight;
    uint32_t routers;
    int open; ///< requests of the prefix in flight at its first home
    bool staysAtHome;
};

class PrefixMiss : public testing::TestWithParam<PrefixMissCase>
{};

const PrefixMissCase PrefixMissCases[] = {
        {"LeavesWithOneOpenIfWeightIsZero", 0.0, 9, 1, false},
        {"StaysWithOneOpen", 3.0, 9, 1, true},
        {"LeavesALongQueue", 3.0, 9, 40, false},
        {"LeavesIfRoutersCannotObserveLoad", 3.0, 2000, 1, false},
};

TEST_P(PrefixMiss, IsComparedWithQueueAtHome)
{
    EndpointSelectorSettings settings;
    settings.prefixHomes = 2;
    settings.routerCount = GetParam().routers;
    settings.prefixMissWeight = GetParam().prefixMissWeight;
    EndpointSelector selector(Here, settings);
    selector.setEndpoints(fleetOf(12), Start);
    const Instant now = Start + std::chrono::minutes(5);
    WorkItem item = itemOf(0, 7);
    item.promptTokens = 9000;
    item.cacheablePrefixTokens = 6000;
    const EndpointId home = std::get<SelectedEndpoint>(selector.select(item, {}, now)).endpoint;
    for (int i = 0; i < GetParam().open; ++i) {
        item.request = itemOf(i + 1, 7).request;
        selector.onSent(home, item, now);
    }
    const EndpointId next = std::get<SelectedEndpoint>(selector.select(item, {}, now)).endpoint;
    EXPECT_EQ(next == home, GetParam().staysAtHome);
}

INSTANTIATE_TEST_SUITE_P(Rows, PrefixMiss, testing::ValuesIn(PrefixMissCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Prompts are prefilled although another endpoint has their prefix cached. Ninety prefixes share
// twelve endpoints and each router has a few requests at each: with the load bound a prefix
// leaves its home with the second request, and finally every endpoint prefills every prefix.
struct HomesCase
{
    const char *name;
    uint32_t homes;
    double maxHolders; ///< endpoints that prefill a prefix, on average
};

class PrefixHomes : public testing::TestWithParam<HomesCase>
{};

// With one home and the load bound, 11.4 endpoints prefill a prefix. With two homes it is 2.0,
// and the busiest endpoint has 1.24 times the mean load instead of 1.02.
const HomesCase HomesCases[] = {{"OneHomeWithLoadBound", 0, 12.0}, {"TwoHomes", 2, 3.0}};

TEST_P(PrefixHomes, LimitRepeatedPrefill)
{
    constexpr int Routers = 9;
    constexpr int Endpoints = 12;
    constexpr int Prefixes = 90;
    constexpr int MaxOpen = 120;
    EndpointSelectorSettings settings;
    settings.prefixHomes = GetParam().homes;
    settings.routerCount = Routers;
    std::vector<EndpointSelector> routers;
    for (int i = 0; i < Routers; ++i) {
        settings.seed = static_cast<uint64_t>(i);
        routers.emplace_back(Here, settings);
        routers.back().setEndpoints(fleetOf(Endpoints), Start);
    }
    struct Open
    {
        int router;
        EndpointId endpoint;
        RequestId request;
    };
    std::deque<Open> open;
    std::map<uint64_t, std::set<EndpointId>> holders;
    std::map<EndpointId, int> sent;
    std::mt19937_64 random(7);
    Instant now = Start + std::chrono::minutes(5);
    for (int i = 0; i < 6000; ++i) {
        now += std::chrono::milliseconds(20);
        const int router = static_cast<int>(random() % Routers);
        WorkItem item = itemOf(i, 1 + random() % Prefixes);
        item.promptTokens = 9000;
        item.cacheablePrefixTokens = 6000;
        const SelectionOutcome outcome = routers[router].select(item, {}, now);
        const EndpointId endpoint = std::get<SelectedEndpoint>(outcome).endpoint;
        routers[router].onSent(endpoint, item, now);
        open.push_back({router, endpoint, item.request});
        holders[item.prefixHash].insert(endpoint);
        ++sent[endpoint];
        if (open.size() > MaxOpen) {
            const Open oldest = open.front();
            open.pop_front();
            routers[oldest.router].onFirstToken(oldest.endpoint, oldest.request, now);
            AttemptResult result;
            result.endpoint = oldest.endpoint;
            result.request = oldest.request;
            result.succeeded = true;
            routers[oldest.router].onEnd(result, now);
        }
    }
    double total = 0.0;
    for (const auto &[prefix, endpoints] : holders) {
        total += static_cast<double>(endpoints.size());
    }
    const double mean = total / static_cast<double>(holders.size());
    int busiest = 0;
    for (const auto &[endpoint, count] : sent) {
        busiest = std::max(busiest, count);
    }
    RecordProperty("readers", std::to_string(mean));
    RecordProperty("busiest", std::to_string(busiest * Endpoints / 6000.0));
    EXPECT_LE(mean, GetParam().maxHolders);
    EXPECT_LE(busiest * Endpoints / 6000.0, 1.6);
}

INSTANTIATE_TEST_SUITE_P(Rows, PrefixHomes, testing::ValuesIn(HomesCases),
                         [](const auto &row) { return std::string(row.param.name); });

/// Rates that a test sets.
class SetRates : public EndpointRateSource
{
public:
    EndpointRate rateOf(const EndpointId &endpoint, Instant /*now*/) const override
    {
        const auto found = rates.find(endpoint);
        return found == rates.end() ? EndpointRate() : found->second;
    }

    std::map<EndpointId, EndpointRate> rates;
};

struct HomeLeftCase
{
    const char *name;
    /// What happens at the home of the prefix before the next request.
    void (*happens)(EndpointSelector &selector, std::vector<EndpointSpec> specs, SetRates &rates,
                    const EndpointId &home, Instant now);
    bool staysAtHome;
};

class HomeLeft : public testing::TestWithParam<HomeLeftCase>
{};

WorkItem digestOf(int number, uint64_t prefix)
{
    WorkItem item = itemOf(number, prefix);
    item.promptTokens = 9190;
    item.cacheablePrefixTokens = 6300;
    item.outputCeiling = 54;
    return item;
}

void sendMany(EndpointSelector &selector, const EndpointId &home, int count, bool isPrefilled,
              Instant now)
{
    for (int i = 0; i < count; ++i) {
        const WorkItem item = digestOf(100 + i, 1000 + static_cast<uint64_t>(i));
        selector.onSent(home, item, now);
        if (isPrefilled) {
            selector.onFirstToken(home, item.request, now);
        }
    }
}

// A request's prefix is held by an endpoint that can't serve it soon. Guards against a caller who
// waits there for longer than another endpoint takes to prefill it.
const HomeLeftCase HomeLeftCases[] = {
        {"Nothing",
         [](EndpointSelector &, std::vector<EndpointSpec>, SetRates &, const EndpointId &,
            Instant) {},
         true},
        {"OneRequest",
         [](EndpointSelector &selector, std::vector<EndpointSpec>, SetRates &,
            const EndpointId &home, Instant now) { sendMany(selector, home, 1, false, now); },
         true},
        {"LongQueue",
         [](EndpointSelector &selector, std::vector<EndpointSpec>, SetRates &,
            const EndpointId &home, Instant now) { sendMany(selector, home, 8, false, now); },
         false},
        {"Slow",
         [](EndpointSelector &, std::vector<EndpointSpec>, SetRates &rates, const EndpointId &home,
            Instant) {
             rates.rates[home] = {9.0, 9.0, 60, Millis(100)};
         },
         false},
        {"SlowByAStaleRate",
         [](EndpointSelector &, std::vector<EndpointSpec>, SetRates &rates, const EndpointId &home,
            Instant) {
             rates.rates[home] = {9.0, 9.0, 60, Seconds(20)};
         },
         true},
        {"OutOfMemory",
         [](EndpointSelector &selector, std::vector<EndpointSpec>, SetRates &,
            const EndpointId &home, Instant now) { sendMany(selector, home, 4, true, now); },
         false},
        {"Leaving",
         [](EndpointSelector &selector, std::vector<EndpointSpec> specs, SetRates &,
            const EndpointId &home, Instant now) {
             for (EndpointSpec &spec : specs) {
                 spec.leaving = spec.id == home;
             }
             selector.setEndpoints(specs, now);
         },
         false},
        {"Ended",
         [](EndpointSelector &selector, std::vector<EndpointSpec> specs, SetRates &,
            const EndpointId &home, Instant now) {
             std::erase_if(specs, [&home](const EndpointSpec &spec) { return spec.id == home; });
             selector.setEndpoints(specs, now);
         },
         false},
        {"RestartedWithAQueueOfItsEarlierProcess",
         [](EndpointSelector &selector, std::vector<EndpointSpec> specs, SetRates &,
            const EndpointId &home, Instant now) {
             sendMany(selector, home, 8, false, now);
             for (EndpointSpec &spec : specs) {
                 spec.startedAtMillis = spec.id == home ? 2 : 1;
             }
             selector.setEndpoints(specs, now);
         },
         true},
};

TEST_P(HomeLeft, WhenAnotherEndpointIsSooner)
{
    EndpointSelectorSettings settings;
    settings.placement = EndpointPlacement::ExpectedTime;
    settings.routerCount = 1;
    SetRates rates;
    std::vector<EndpointSpec> specs = fleetOf(12);
    for (EndpointSpec &spec : specs) {
        spec.kvTokens = 40'000;
        spec.startedAtMillis = 1;
    }
    EndpointSelector selector(Here, settings);
    selector.setEndpoints(specs, Start);
    selector.setRateSource(&rates);
    Instant now = Start + std::chrono::minutes(5);
    const WorkItem first = digestOf(0, 7);
    const EndpointId home(selectedId(selector.select(first, {}, now)));
    selector.onSent(home, first, now);
    selector.onFirstToken(home, first.request, now);
    selector.onEnd({home, first.request, true, Millis(1), 0}, now);
    now += Seconds(3);
    GetParam().happens(selector, specs, rates, home, now);
    const SelectionOutcome next = selector.select(digestOf(1, 7), {}, now);
    EXPECT_EQ(selectedId(next) == home.text(), GetParam().staysAtHome) << selectedId(next);
    EXPECT_FALSE(std::get<SelectedEndpoint>(next).detail.empty());
}

INSTANTIATE_TEST_SUITE_P(Rows, HomeLeft, testing::ValuesIn(HomeLeftCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(EndpointSelector, RefusesWhatFitsIntoNoMemory)
{
    // An engine without memory preempts the requests that it has. A prompt that is too large for
    // any endpoint is left to the endpoint to reject.
    EndpointSelectorSettings settings;
    settings.placement = EndpointPlacement::ExpectedTime;
    settings.routerCount = 1;
    std::vector<EndpointSpec> specs = fleetOf(2);
    for (EndpointSpec &spec : specs) {
        spec.kvTokens = 10'000;
    }
    EndpointSelector selector(Here, settings);
    selector.setEndpoints(specs, Start);
    WorkItem tooLarge = digestOf(9, 9);
    tooLarge.promptTokens = 20'000;
    EXPECT_NE(selectedId(selector.select(tooLarge, {}, Start)), "");
    for (int i = 0; i < 2; ++i) {
        const WorkItem item = digestOf(i, static_cast<uint64_t>(i) + 1);
        const std::string endpoint = selectedId(selector.select(item, {}, Start));
        ASSERT_NE(endpoint, "") << i;
        selector.onSent(EndpointId(endpoint), item, Start);
    }
    const SelectionOutcome refused = selector.select(digestOf(2, 3), {}, Start);
    const auto *verdict = std::get_if<Verdict>(&refused);
    ASSERT_NE(verdict, nullptr);
    EXPECT_EQ(verdict->reason, Reason::QueueFull);
    EXPECT_EQ(verdict->execution, Execution::NotRun);
    EXPECT_EQ(selector.expectedTimeCounts().refused, 1U);
}

struct AdaptiveCase
{
    const char *name;
    std::vector<double> factors; ///< of ten endpoints, one phase after the other
    const char *expected;        ///< how a prompt is placed in the end
};

class AdaptivePlacement : public testing::TestWithParam<AdaptiveCase>
{};

const AdaptiveCase AdaptiveCases[] = {
        {"NothingIsKnown", {}, "prefix_home"},
        {"AllAlike", {1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, "prefix_home"},
        {"ThirdIsSlower", {1, 1, 1, 1, 1, 1, 1, 2.4, 2.4, 2.4}, "expected_time"},
        {"ThirdIsALittleSlower", {1, 1, 1, 1, 1, 1, 1, 1.3, 1.3, 1.3}, "prefix_home"},
        {"OneHasAFault", {1, 1, 1, 1, 1, 1, 1, 1, 1, 5}, "prefix_home"},
        {"SlowerAndThenALittleSlower",
         {1, 1, 1, 1, 1, 1, 1, 2.4, 2.4, 2.4, 1, 1, 1, 1, 1, 1, 1, 1.4, 1.4, 1.4},
         "expected_time"},
        {"SlowerAndThenAlike",
         {1, 1, 1, 1, 1, 1, 1, 2.4, 2.4, 2.4, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
         "prefix_home"},
};

/// Guards against prefixes that move to other endpoints, which must prefill them again, where the
/// endpoints differ too little for that to pay.
TEST_P(AdaptivePlacement, UsesExpectedTimeWhereEndpointsDiffer)
{
    const AdaptiveCase &row = GetParam();
    EndpointSelectorSettings settings;
    settings.placement = EndpointPlacement::Adaptive;
    SetRates rates;
    EndpointSelector selector(Here, settings);
    selector.setRateSource(&rates);
    selector.setEndpoints(fleetOf(10), Start);
    std::string reason;
    Instant now = Start;
    for (std::size_t phase = 0; phase == 0 || phase < row.factors.size() / 10; ++phase) {
        for (std::size_t i = 0; i < 10 && !row.factors.empty(); ++i) {
            const double factor = row.factors[10 * phase + i];
            rates.rates[specOf(static_cast<int>(i)).id] = {factor, factor, 60, Millis(100)};
        }
        now += Seconds(1);
        const SelectionOutcome outcome = selector.select(digestOf(1, 7), {}, now);
        reason = std::get<SelectedEndpoint>(outcome).reason;
    }
    EXPECT_EQ(reason, row.expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, AdaptivePlacement, testing::ValuesIn(AdaptiveCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
