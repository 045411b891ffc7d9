/// The processor time of EndpointDirectory::place among 112 endpoints: when all take requests, when
/// some are limited, and when all back off. Then that of a choice alone, as one of 75 hosts and
/// with a clock that moves, for both settings of `placement`, among 100 and 300 endpoints.

#include <chrono>
#include <cstdio>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <benchmark/benchmark.h>

#include "sequoiagate/Edge/EndpointDirectory.h"

using namespace sequoiagate;

namespace {

constexpr int Endpoints = 112;
constexpr int Domains = 4;
constexpr uint64_t Prompts = 400;
const ServiceId Service("model");

class Directory
{
public:
    Directory() : directory_(HostId("h"), DomainId("d0"), {}, log_)
    {
        directory_.setStoreReachable(true, now_);
        directory_.setHosts({HostId("h"), HostId("i")});
        for (int i = 0; i < Endpoints; ++i) {
            EndpointEntry entry;
            entry.id = idOf(i);
            entry.service = Service;
            entry.domain = DomainId("d" + std::to_string(i % Domains));
            entry.address = "127.0.0.1:9";
            entry.slots = 64;
            entry.startedAtMillis = 1;
            directory_.update(entry, now_);
        }
        directory_.publish(now_);
    }
    ~Directory() { std::fclose(file_); }

    static EndpointId idOf(int number) { return EndpointId("i-7f3a91c2" + std::to_string(number)); }

    /// Records what the first \p count endpoints say in their responses.
    void notice(int count, const EndpointNotice &notice)
    {
        for (int i = 0; i < count; ++i) {
            directory_.onNotice({idOf(i), 1, RequestId("r"), now_}, notice, now_);
        }
    }

    PlacementResult place(uint64_t number)
    {
        WorkItem item;
        item.request = RequestId("r" + std::to_string(number));
        item.service = Service;
        item.promptTokens = 3000;
        item.arrivedAt = now_;
        item.deadline = now_ + std::chrono::seconds(5);
        return directory_.place(item, {{1 + number % Prompts, 2500}, {number, 100}}, {}, now_);
    }

private:
    std::FILE *file_ = std::tmpfile();
    EventLog log_{{"bench", HostId("h"), DomainId("d0"), Incarnation("i")}, file_};
    Instant now_{std::chrono::hours(1)};
    EndpointDirectory directory_;
};

void timePlacement(benchmark::State &state, int limited, int backingOff)
{
    Directory directory;
    EndpointNotice limit;
    limit.maxRequestsPerSecond = 8.0;
    directory.notice(limited, limit);
    EndpointNotice backoff;
    backoff.backoff = std::chrono::minutes(1);
    directory.notice(backingOff, backoff);
    uint64_t number = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(directory.place(number++));
    }
}

/// A rate for each endpoint, as the hosts exchange them.
class Rates : public EndpointRateSource
{
public:
    explicit Rates(int endpoints)
    {
        for (int i = 0; i < endpoints; ++i) {
            const double factor = i % 3 == 2 ? 1.7 / 0.7 : 1.0;
            rates_[Directory::idOf(i)] = {factor, factor, 40, std::chrono::milliseconds(300)};
        }
    }
    EndpointRate rateOf(const EndpointId &endpoint, Instant) const override
    {
        const auto found = rates_.find(endpoint);
        return found == rates_.end() ? EndpointRate() : found->second;
    }

private:
    std::unordered_map<EndpointId, EndpointRate> rates_;
};

/// The choice alone, with the requests in flight that one of 75 hosts has.
void timeChoice(benchmark::State &state, EndpointPlacement placement)
{
    constexpr std::size_t OpenRequests = 8;
    const int count = static_cast<int>(state.range(0));
    const Rates rates(count);
    EndpointSelectorSettings settings;
    settings.placement = placement;
    settings.prefixHomes = 2;
    settings.routerCount = 75;
    EndpointSelector selector(DomainId("d0"), settings);
    std::vector<EndpointSpec> specs;
    for (int i = 0; i < count; ++i) {
        EndpointSpec spec;
        spec.id = Directory::idOf(i);
        spec.domain = DomainId("d" + std::to_string(i % Domains));
        spec.services = {Service};
        spec.slots = 64;
        spec.kvTokens = 459'404;
        specs.push_back(spec);
    }
    Instant now{std::chrono::hours(1)};
    selector.setEndpoints(specs, now);
    selector.setRateSource(&rates);
    std::deque<std::pair<EndpointId, RequestId>> open;
    WorkItem item;
    item.service = Service;
    item.promptTokens = 9190;
    item.cacheablePrefixTokens = 6300;
    item.outputCeiling = 54;
    uint64_t number = 0;
    for (auto _ : state) {
        item.prefixHash = affinityWeight(number % 1055, 77);
        const Instant begin = std::chrono::steady_clock::now();
        const SelectionOutcome chosen = selector.select(item, {}, now);
        const Interval taken = std::chrono::steady_clock::now() - begin;
        state.SetIterationTime(std::chrono::duration<double>(taken).count());
        item.request = RequestId("r" + std::to_string(++number));
        const EndpointId endpoint = std::get<SelectedEndpoint>(chosen).endpoint;
        selector.onSent(endpoint, item, now);
        open.emplace_back(endpoint, item.request);
        if (open.size() > OpenRequests) {
            selector.onFirstToken(open.front().first, open.front().second, now);
            selector.onEnd({open.front().first, open.front().second, true, Interval(1), 0}, now);
            open.pop_front();
        }
        now += std::chrono::milliseconds(130);
    }
}

BENCHMARK_CAPTURE(timeChoice, prefix_home, EndpointPlacement::PrefixHome)
        ->Arg(100)
        ->Arg(300)
        ->UseManualTime();
BENCHMARK_CAPTURE(timeChoice, expected_time, EndpointPlacement::ExpectedTime)
        ->Arg(100)
        ->Arg(300)
        ->UseManualTime();
BENCHMARK_CAPTURE(timePlacement, all_take_requests, 0, 0);
BENCHMARK_CAPTURE(timePlacement, a_quarter_is_limited, Endpoints / 4, 0);
BENCHMARK_CAPTURE(timePlacement, a_quarter_backs_off, 0, Endpoints / 4);
BENCHMARK_CAPTURE(timePlacement, all_back_off, 0, Endpoints);

} // namespace

BENCHMARK_MAIN();
