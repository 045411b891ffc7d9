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

EndpointSelectorSettings oneRouter()
{
    EndpointSelectorSettings settings;
    settings.routerCount = 1;
    return settings;
}

std::string chosenId(const SelectionOutcome &outcome)
{
    const auto *chosen = std::get_if<SelectedEndpoint>(&outcome);
    return chosen == nullptr ? "" : chosen->endpoint.text();
}

/// Endpoints that answer at a set pace, for one router.
class Caller
{
public:
    explicit Caller(int endpoints) : choice(Here, oneRouter())
    {
        choice.setEndpoints(fleetOf(endpoints), Start);
    }

    /// Sends one request and plays its first token and end.
    std::string call(int number, Instant now, uint64_t prefix = 0)
    {
        const WorkItem item = itemOf(number, prefix);
        const SelectionOutcome outcome = choice.select(item, {}, now);
        const std::string endpoint = chosenId(outcome);
        if (endpoint.empty()) {
            return endpoint;
        }
        ++sent[endpoint];
        const Interval first = firstToken.count(endpoint) > 0 ? firstToken[endpoint] : Millis(30);
        const bool fails = failing.count(endpoint) > 0;
        choice.onSent(EndpointId(endpoint), item, now);
        if (!fails) {
            choice.onFirstToken(EndpointId(endpoint), item.request, now + first);
        }
        choice.onEnd({EndpointId(endpoint), item.request, !fails, fails ? Interval() : first, 5},
                     now + first);
        return endpoint;
    }

    EndpointSelector choice;
    std::map<std::string, Interval> firstToken;
    std::map<std::string, bool> failing;
    std::map<std::string, int> sent;
};

struct UnusableCase
{
    const char *name;
    void (*spoil)(EndpointSelector &choice);
    Reason reason;
    const char *why; ///< named by unserved and in the verdict; empty: it is served
};

class Unusable : public testing::TestWithParam<UnusableCase>
{};

// An operator sees callers refused and asks why. Each endpoint that isn't used says so,
// and the refusal itself counts the causes.
const UnusableCase UnusableCases[] = {
        {"Leaving",
         [](EndpointSelector &choice) {
             LoadReport report = reportOf(0, 0, Start);
             report.leaving = true;
             choice.onReport(report, Start);
         },
         Reason::NoEndpoint, "leaving"},
        {"Unreachable",
         [](EndpointSelector &choice) {
             LoadReport report = reportOf(0, 0, Start);
             report.reachable = false;
             choice.onReport(report, Start);
         },
         Reason::NoEndpoint, "unreachable"},
        {"LeavingByConfiguration",
         [](EndpointSelector &choice) {
             std::vector<EndpointSpec> specs = fleetOf(1);
             specs[0].leaving = true;
             choice.setEndpoints(specs, Start);
         },
         Reason::NoEndpoint, "leaving"},
        {"NobodyOffersIt", [](EndpointSelector &choice) { choice.setEndpoints({}, Start); },
         Reason::NoEndpoint, ""},
        {"Full", [](EndpointSelector &choice) { choice.onReport(reportOf(0, 40, Start), Start); },
         Reason::None, ""},
};

TEST_P(Unusable, NamesItsReason)
{
    EndpointSelector choice(Here, oneRouter());
    choice.setEndpoints(fleetOf(1), Start);
    GetParam().spoil(choice);
    const SelectionOutcome outcome = choice.select(itemOf(1), {}, Start);
    const std::vector<UnservedRoute> routes = choice.unserved(Chat, Start);
    if (GetParam().reason == Reason::None) {
        EXPECT_EQ(chosenId(outcome), "e0");
        EXPECT_TRUE(routes.empty());
        return;
    }
    const auto *verdict = std::get_if<Verdict>(&outcome);
    ASSERT_NE(verdict, nullptr);
    EXPECT_EQ(verdict->reason, GetParam().reason);
    EXPECT_EQ(verdict->execution, Execution::NotRun);
    EXPECT_TRUE(verdict->retryAt);
    ASSERT_EQ(routes.empty(), GetParam().why == std::string());
    if (!routes.empty()) {
        EXPECT_EQ(routes[0].reason, GetParam().why);
        EXPECT_NE(verdict->detail.find(GetParam().why), std::string::npos) << verdict->detail;
    }
}

INSTANTIATE_TEST_SUITE_P(Causes, Unusable, testing::ValuesIn(UnusableCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(EndpointChoice, NeverRetriesIntoAnEndpointThatWasTried)
{
    // An endpoint failed a request. Sent there again, the retry fails too, and the caller
    // has lost its second chance.
    Caller caller(3);
    std::vector<EndpointId> tried;
    for (int i = 0; i < 3; ++i) {
        const std::string id = chosenId(caller.choice.select(itemOf(1, 7), tried, Start));
        ASSERT_FALSE(id.empty());
        EXPECT_EQ(std::count(tried.begin(), tried.end(), EndpointId(id)), 0);
        tried.push_back(EndpointId(id));
    }
    EXPECT_EQ(chosenId(caller.choice.select(itemOf(1, 7), tried, Start)), "");
}

TEST(EndpointChoice, KeepsAHotPrefixTogetherAndBelowItsBound)
{
    // One prefix is all of the load. At its home alone, callers would wait while the other
    // endpoints idle; spread over all, each would prefill it. 60 open requests over 10
    // endpoints are 6 each on average, so none may have more than 8.
    Caller caller(10);
    std::map<std::string, int> open;
    for (int i = 0; i < 60; ++i) {
        const WorkItem item = itemOf(i, 42);
        const Instant now = Start + i * Millis(100);
        const EndpointId endpoint(chosenId(caller.choice.select(item, {}, now)));
        caller.choice.onSent(endpoint, item, now);
        caller.choice.onFirstToken(endpoint, item.request, now + Millis(30));
        ++open[endpoint.text()];
    }
    for (const auto &[endpoint, count] : open) {
        EXPECT_LE(count, 8) << endpoint;
    }
}

TEST(EndpointChoice, SendsAPrefixWhereItIsCached)
{
    // A conversation's turns come one by one. Each that goes elsewhere costs a prefill.
    Caller caller(10);
    const std::string home = caller.call(0, Start, 42);
    for (int i = 1; i < 20; ++i) {
        EXPECT_EQ(caller.call(i, Start + Seconds(i), 42), home);
    }
    // Its engine evicts it, and another router's work put it elsewhere: follow the cache.
    const std::string other = home == "e0" ? "e1" : "e0";
    caller.choice.onCacheEvent(EndpointId(home), 42, false, Start + Seconds(20));
    caller.choice.onCacheEvent(EndpointId(other), 42, true, Start + Seconds(20));
    EXPECT_EQ(caller.call(20, Start + Seconds(21), 42), other);
    // Nothing is heard for long: events get lost, so the belief ends and the home counts.
    EXPECT_EQ(caller.call(21, Start + Seconds(120), 42), home);
}

TEST(EndpointChoice, SpreadsABurstThatReportsDoNotShowYet)
{
    // e0 was idle when it last spoke, the others had a little to do. Until the next report
    // a router that goes by reports alone sends everything to e0.
    Caller caller(4);
    for (int i = 0; i < 4; ++i) {
        caller.choice.onReport(reportOf(i, i == 0 ? 0 : 3, Start), Start);
    }
    std::map<std::string, int> open;
    for (int i = 0; i < 40; ++i) {
        const WorkItem item = itemOf(i);
        const Instant now = Start + i * Millis(10);
        const EndpointId endpoint(chosenId(caller.choice.select(item, {}, now)));
        caller.choice.onSent(endpoint, item, now);
        ++open[endpoint.text()];
    }
    for (const auto &[endpoint, count] : open) {
        EXPECT_LE(count, 15) << endpoint;
    }
}

TEST(EndpointChoice, StaysInItsDomainWhileThatHasRoom)
{
    // Work that leaves its domain pays the way there and back on each token's path; work
    // that stays at any price waits for a slot while the next domain idles.
    EndpointSelector choice(Here, oneRouter());
    choice.setEndpoints({specOf(0), specOf(1), specOf(2, There), specOf(3, There)}, Start);
    int away = 0;
    for (int i = 0; i < 60; ++i) {
        const WorkItem item = itemOf(i);
        const Instant now = Start + i * Millis(100);
        const EndpointId endpoint(chosenId(choice.select(item, {}, now)));
        choice.onSent(endpoint, item, now);
        choice.onFirstToken(endpoint, item.request, now + Millis(30));
        const bool left = endpoint.text() == "e2" || endpoint.text() == "e3";
        away += left ? 1 : 0;
        if (i < 36) {
            EXPECT_FALSE(left) << "request " << i << " left its domain early";
        }
    }
    EXPECT_GE(away, 18) << "40 slots are here, 60 requests came";
}

TEST(EndpointChoice, AvoidsAnEndpointWithoutKvMemory)
{
    // An engine out of KV memory preempts requests and prefills them again: their streams
    // stall in the middle.
    Caller caller(3);
    LoadReport report = reportOf(1, 1, Start);
    report.kvUsed = 0.95;
    caller.choice.onReport(report, Start);
    for (int i = 0; i < 50; ++i) {
        EXPECT_NE(caller.call(i, Start + i * Millis(50), static_cast<uint64_t>(i) + 1), "e1");
    }
}

struct OutlierCase
{
    const char *name;
    int slow;            ///< endpoints of 9 that are slow
    int failingCount;    ///< endpoints of 9 that fail
    int mostToSick;      ///< requests of the last 400 that may reach a sick one
    std::size_t mostOut; ///< endpoints that may be out at once
};

class Outliers : public testing::TestWithParam<OutlierCase>
{};

// An endpoint is ten times slower, or fails what it gets. Its callers wait or lose their
// request for as long as it is sent work. A fault seen at all endpoints is not theirs,
// and ejecting them would leave nobody to serve.
constexpr OutlierCase OutlierCases[] = {
        {"OneSlow", 1, 0, 12, 1},  {"OneFailing", 0, 1, 12, 1},  {"TwoSlowOneFailing", 2, 1, 36, 3},
        {"AllSlow", 9, 0, 400, 0}, {"AllFailing", 0, 9, 400, 0}, {"HalfSlow", 5, 0, 400, 3},
};

TEST_P(Outliers, AreEjectedBesideTheirPeersUpToAThird)
{
    const OutlierCase &row = GetParam();
    Caller caller(9);
    for (int i = 0; i < row.slow; ++i) {
        caller.firstToken["e" + std::to_string(i)] = Millis(300);
    }
    for (int i = 0; i < row.failingCount; ++i) {
        caller.failing["e" + std::to_string(row.slow + i)] = true;
    }
    int sick = 0;
    for (int i = 0; i < 1200; ++i) {
        const Instant now = Start + i * Millis(50);
        const std::string endpoint = caller.call(i, now);
        const int number = endpoint.empty() ? 0 : std::stoi(endpoint.substr(1));
        sick += i >= 800 && number < row.slow + row.failingCount ? 1 : 0;
        EXPECT_LE(caller.choice.unserved(Chat, now).size(), row.mostOut);
    }
    EXPECT_LE(sick, row.mostToSick);
}

INSTANTIATE_TEST_SUITE_P(Faults, Outliers, testing::ValuesIn(OutlierCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(EndpointChoice, SendsOneProbeAtATimeToAnEndpointThatReturns)
{
    // A slow endpoint's ejection ends. Until it has proved itself no second caller may
    // wait on it, nor may a call that runs at most once.
    Caller caller(9);
    caller.firstToken["e0"] = Millis(600);
    int i = 0;
    while (caller.choice.unserved(Chat, Start + i * Millis(20)).empty()) {
        ASSERT_LT(i, 1000);
        caller.call(i, Start + i * Millis(20));
        ++i;
    }
    const Instant back = Start + i * Millis(20) + Seconds(11);
    WorkItem once = itemOf(9000);
    once.idempotent = false;
    EXPECT_NE(chosenId(caller.choice.select(once, {}, back)), "e0");
    const WorkItem probe = itemOf(9001);
    ASSERT_EQ(chosenId(caller.choice.select(probe, {}, back)), "e0");
    caller.choice.onSent(EndpointId("e0"), probe, back);
    for (int next = 0; next < 50; ++next) {
        EXPECT_NE(chosenId(caller.choice.select(itemOf(9100 + next), {}, back)), "e0");
    }
}

TEST(EndpointChoice, FillsAnEndpointThatComesBackSlowly)
{
    // An endpoint was unreachable and is back, idle. Given its full share at once, its cold
    // cache makes all of these callers wait.
    Caller caller(4);
    LoadReport report = reportOf(0, 0, Start);
    report.reachable = false;
    caller.choice.onReport(report, Start);
    report.reachable = true;
    report.observedAt = Start + Seconds(1);
    caller.choice.onReport(report, Start + Seconds(1));
    int early = 0;
    for (int i = 0; i < 40; ++i) {
        const WorkItem item = itemOf(i);
        const Instant now = Start + Seconds(1) + i * Millis(10);
        const EndpointId endpoint(chosenId(caller.choice.select(item, {}, now)));
        caller.choice.onSent(endpoint, item, now);
        early += endpoint == EndpointId("e0") ? 1 : 0;
    }
    EXPECT_LE(early, 4);
}

TEST(EndpointChoice, CountsTheRoomBesideWhatStaysOpenOnALeavingEndpoint)
{
    // An endpoint is leaving, or is ejected, while its streams go on. Counted against the
    // room of the others they keep callers out though every slot there is free.
    Caller caller(2);
    for (int i = 0; i < 20; ++i) {
        caller.choice.onSent(EndpointId("e0"), itemOf(i), Start);
    }
    LoadReport report = reportOf(0, 20, Start);
    report.leaving = true;
    caller.choice.onReport(report, Start);
    caller.choice.onReport(reportOf(1, 0, Start), Start);
    EXPECT_GE(caller.choice.concurrencyLimit(Start), 20U + 19U);
}

TEST(EndpointChoice, SharesSlotsWithOtherRouters)
{
    // Ten routers see the same idle fleet of 200 slots. Each gets an equal part when all
    // slots are taken, also one that has nothing open, or its callers are refused for ever.
    EndpointSelectorSettings settings;
    settings.routerCount = 10;
    EndpointSelector choice(Here, settings);
    EXPECT_EQ(choice.concurrencyLimit(Start), 0U);
    choice.setEndpoints(fleetOf(10), Start);
    EXPECT_GE(choice.concurrencyLimit(Start), 100U) << "nobody else is there";
    for (int i = 0; i < 10; ++i) {
        choice.onReport(reportOf(i, 20, Start), Start);
    }
    EXPECT_GE(choice.concurrencyLimit(Start), 19U);
    EXPECT_LE(choice.concurrencyLimit(Start), 21U);
}

// Callers wait for a prefix to be read that its first home has read: a request or two are open
// there, the second home has none, and gets the next one. It goes there only once the first
// home's queue takes longer than reading again.
struct RereadCase
{
    const char *name;
    double rereadWeight;
    uint32_t routers;
    int open; ///< requests of the prefix that wait at its first home
    bool staysAtHome;
};

class Reread : public testing::TestWithParam<RereadCase>
{};

const RereadCase RereadCases[] = {
        {"LeavesWithOneOpenIfItIsntWeighed", 0.0, 9, 1, false},
        {"StaysWithOneOpen", 3.0, 9, 1, true},
        {"LeavesALongQueue", 3.0, 9, 40, false},
        {"LeavesWhereRoutersDontSeeTheLoad", 3.0, 2000, 1, false},
};

TEST_P(Reread, IsWeighedAgainstTheQueueAtHome)
{
    EndpointSelectorSettings settings;
    settings.prefixHomes = 2;
    settings.routerCount = GetParam().routers;
    settings.rereadWeight = GetParam().rereadWeight;
    EndpointSelector choice(Here, settings);
    choice.setEndpoints(fleetOf(12), Start);
    const Instant now = Start + std::chrono::minutes(5);
    WorkItem item = itemOf(0, 7);
    item.promptTokens = 9000;
    item.cacheablePrefixTokens = 6000;
    const EndpointId home = std::get<SelectedEndpoint>(choice.select(item, {}, now)).endpoint;
    for (int i = 0; i < GetParam().open; ++i) {
        item.request = itemOf(i + 1, 7).request;
        choice.onSent(home, item, now);
    }
    const EndpointId next = std::get<SelectedEndpoint>(choice.select(item, {}, now)).endpoint;
    EXPECT_EQ(next == home, GetParam().staysAtHome);
}

INSTANTIATE_TEST_SUITE_P(Rows, Reread, testing::ValuesIn(RereadCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Callers wait for prompts to be read that an endpoint has read already. Ninety prefixes share
// twelve endpoints, each router has a few requests at each; a prefix leaves its home with
// the second request, and at last every endpoint reads every prefix.
struct HomesCase
{
    const char *name;
    uint32_t homes;
    double mostReaders; ///< endpoints that read a prefix, on average
};

class PrefixHomes : public testing::TestWithParam<HomesCase>
{};

// Before (one home, the bound): 11.4 endpoints a prefix. With two homes: 2.0, and the busiest
// endpoint has 1.24 times the mean load in place of 1.02.
const HomesCase HomesCases[] = {{"OneHomeAndTheBound", 0, 12.0}, {"TwoHomes", 2, 3.0}};

TEST_P(PrefixHomes, BoundWhatIsReadAgain)
{
    constexpr int Routers = 9;
    constexpr int Endpoints = 12;
    constexpr int Prefixes = 90;
    constexpr int OpenAtOnce = 120;
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
    std::map<uint64_t, std::set<EndpointId>> readers;
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
        readers[item.prefixHash].insert(endpoint);
        ++sent[endpoint];
        if (open.size() > OpenAtOnce) {
            const Open done = open.front();
            open.pop_front();
            routers[done.router].onFirstToken(done.endpoint, done.request, now);
            AttemptResult result;
            result.endpoint = done.endpoint;
            result.request = done.request;
            result.succeeded = true;
            routers[done.router].onEnd(result, now);
        }
    }
    double total = 0.0;
    for (const auto &[prefix, endpoints] : readers) {
        total += static_cast<double>(endpoints.size());
    }
    const double mean = total / static_cast<double>(readers.size());
    int busiest = 0;
    for (const auto &[endpoint, count] : sent) {
        busiest = std::max(busiest, count);
    }
    RecordProperty("readers", std::to_string(mean));
    RecordProperty("busiest", std::to_string(busiest * Endpoints / 6000.0));
    EXPECT_LE(mean, GetParam().mostReaders);
    EXPECT_LE(busiest * Endpoints / 6000.0, 1.6);
}

INSTANTIATE_TEST_SUITE_P(Rows, PrefixHomes, testing::ValuesIn(HomesCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
