#include "bench/Decisions/DecisionTime.h"

#include <deque>
#include <string>

#include <benchmark/benchmark.h>

#include "unittests/Support/FleetPolicies.h"

namespace sequoiagate::bench {

using namespace sequoiagate::model;

namespace {

/// One failure domain's servers at the design size.
constexpr int Endpoints = 140;
/// Streams that a router has open at the design size.
constexpr std::size_t OpenRequests = 325;
constexpr uint64_t Prefixes = 2000;

std::vector<EndpointSpec> domainOfEndpoints()
{
    std::vector<EndpointSpec> specs;
    for (int i = 0; i < Endpoints; ++i) {
        EndpointSpec spec;
        spec.id = EndpointId("endpoint-" + std::to_string(i));
        spec.domain = DomainId("domain");
        spec.services = {ServiceId("model")};
        spec.slots = 150;
        specs.push_back(spec);
    }
    return specs;
}

WorkItem nextItem(uint64_t number)
{
    WorkItem item;
    item.request = RequestId("r" + std::to_string(number));
    item.workspace = WorkspaceId("w");
    item.service = ServiceId("model");
    item.promptTokens = 1000;
    item.outputCeiling = 1000;
    // Multiplying by an odd constant scatters the prefixes without a generator's cost.
    item.prefixHash = 1 + (number * 0x9E3779B97F4A7C15ULL >> 32) % Prefixes;
    return item;
}

/// A router in its steady state: with each round one stream begins and one ends.
class SteadyRouter
{
public:
    explicit SteadyRouter(const Policy &policy) : choice_(policy.choice(DomainId("domain"), 1))
    {
        choice_->setEndpoints(domainOfEndpoints(), now_);
        for (std::size_t i = 0; i < OpenRequests; ++i) {
            begin(nextItem(number_++));
        }
    }

    WorkItem prepare()
    {
        now_ += Millis(40);
        if (number_ % 12 == 0) {
            report();
        }
        const Open ended = open_.front();
        open_.pop_front();
        choice_->onEnd({ended.endpoint, ended.request, true, Millis(30), 300}, now_);
        return nextItem(number_++);
    }
    SelectionOutcome choose(const WorkItem &item) { return choice_->choose(item, {}, now_); }
    void begin(const WorkItem &item)
    {
        const EndpointId endpoint = std::get<SelectedEndpoint>(choose(item)).endpoint;
        choice_->onSent(endpoint, item, now_);
        choice_->onFirstToken(endpoint, item.request, now_ + Millis(30));
        open_.push_back({endpoint, item.request});
    }

private:
    struct Open
    {
        EndpointId endpoint;
        RequestId request;
    };

    void report()
    {
        for (int i = 0; i < Endpoints; ++i) {
            LoadReport report;
            report.endpoint = EndpointId("endpoint-" + std::to_string(i));
            report.running = 100;
            report.observedAt = now_ - Seconds(1);
            choice_->onReport(report, now_);
        }
    }

    std::unique_ptr<ChoiceStrategy> choice_;
    std::deque<Open> open_;
    Instant now_ = Instant() + std::chrono::hours(1);
    uint64_t number_ = 0;
};

void timeChoice(benchmark::State &state, const Policy &policy)
{
    SteadyRouter router(policy);
    for (auto _ : state) {
        state.PauseTiming();
        const WorkItem item = router.prepare();
        state.ResumeTiming();
        benchmark::DoNotOptimize(router.choose(item));
        state.PauseTiming();
        router.begin(item);
        state.ResumeTiming();
    }
}

/// Ends, reports and the choice itself: all that a request costs.
void timeRound(benchmark::State &state, const Policy &policy)
{
    SteadyRouter router(policy);
    for (auto _ : state) {
        router.begin(router.prepare());
    }
}

} // namespace

void printDecisionTimes()
{
    const Policy policies[] = {
            sequoiagatePolicy(),
            plainChoicePolicy("random", PlainChoice::Random),
            plainChoicePolicy("round_robin", PlainChoice::RoundRobin),
            plainChoicePolicy("least_in_flight", PlainChoice::LeastInFlight),
            plainChoicePolicy("consistent_hash", PlainChoice::ConsistentHash),
    };
    for (const Policy &policy : policies) {
        benchmark::RegisterBenchmark(("choice/" + policy.name).c_str(), timeChoice, policy);
        benchmark::RegisterBenchmark(("round/" + policy.name).c_str(), timeRound, policy);
    }
    int argc = 1;
    char name[] = "bench-Decisions";
    char *argv[] = {name, nullptr};
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
}

} // namespace sequoiagate::bench
