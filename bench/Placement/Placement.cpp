/// The processor time of EndpointDirectory::place among 112 endpoints: when all take requests, when
/// some are limited, and when all back off.

#include <cstdio>
#include <string>

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

BENCHMARK_CAPTURE(timePlacement, all_take_requests, 0, 0);
BENCHMARK_CAPTURE(timePlacement, a_quarter_is_limited, Endpoints / 4, 0);
BENCHMARK_CAPTURE(timePlacement, a_quarter_backs_off, 0, Endpoints / 4);
BENCHMARK_CAPTURE(timePlacement, all_back_off, 0, Endpoints);

} // namespace

BENCHMARK_MAIN();
