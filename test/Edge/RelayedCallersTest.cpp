/// Callers that leave while other hosts relay their requests, and all hosts run in turns.

#include <csignal>
#include <map>
#include <mutex>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "PartitionedFleet.h"

using namespace sequoiagate;
using soak::RelayCut;

namespace {

/// How long after a caller left a request may still reach an endpoint, and how many may later.
constexpr std::chrono::milliseconds MaxDelay(500);
constexpr int MaxLate = 3;

struct RelayedCallersCase
{
    const char *name;
    std::chrono::milliseconds runTime;
    std::chrono::milliseconds pauseTime; ///< of each host, in turn with the others
    std::size_t bodyBytes;
};

class RelayedCallers : public PartitionedFleet,
                       public testing::WithParamInterface<RelayedCallersCase>
{
protected:
    static constexpr int CallersPerHost = 4;

    /// Lets callers of the first two hosts leave 150 ms after they have sent a request.
    void callAndLeave(int host, int caller, Instant until)
    {
        const std::string body(GetParam().bodyBytes, 'x');
        for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
            const std::string id = fmt::format("c{}-{}-{}", host, caller, i);
            httplib::Client client(ip(host), CallerPort);
            client.set_read_timeout(std::chrono::milliseconds(150));
            const httplib::Headers headers = {{"Host", "h.example"},
                                              {"Request-Id", id},
                                              {"Authorization", "Token key"},
                                              {"Deadline-Ms", "4000"},
                                              {"Token-Count", "1,0"}};
            const httplib::Result result = client.Post("/once/a", headers, body, "text/plain");
            client.stop();
            const std::lock_guard lock(mutex_);
            if (!result) {
                leftAt_[id] = std::chrono::steady_clock::now();
            }
        }
    }

    void runInTurns(int host, Instant until)
    {
        const auto turn = GetParam().runTime + GetParam().pauseTime;
        std::this_thread::sleep_for(host * turn / Hosts);
        while (std::chrono::steady_clock::now() < until) {
            edges_.at(host)->signal(SIGSTOP);
            std::this_thread::sleep_for(GetParam().pauseTime);
            edges_.at(host)->signal(SIGCONT);
            std::this_thread::sleep_for(GetParam().runTime);
        }
    }

    int lateArrivals()
    {
        int late = 0;
        for (EndpointStandin *endpoint : {&endpoint_, &second_, &third_}) {
            for (const auto &[id, arrivedAt] : endpoint->arrivalsById()) {
                const auto left = leftAt_.find(id);
                late += left != leftAt_.end() && arrivedAt > left->second + MaxDelay ? 1 : 0;
            }
        }
        return late;
    }

    std::mutex mutex_;
    std::map<std::string, Instant> leftAt_;
};

// Guards against work for callers that have left where two hosts handle a request one after the
// other, each of them late by less than it may arrive late.
TEST_P(RelayedCallers, AreNotServedOnceTheyHaveLeft)
{
    startAll();
    cut({1, 2}, RelayCut::Reset);
    const Instant cutAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < cutAt + Settling) {
        call(1, 4, std::chrono::milliseconds(800));
        call(2, 4, std::chrono::milliseconds(800));
    }
    const Instant until = std::chrono::steady_clock::now() + std::chrono::seconds(8);
    std::vector<std::thread> threads;
    for (int caller = 0; caller < CallersPerHost; ++caller) {
        for (const int host : {1, 2}) {
            threads.emplace_back(
                    [this, host, caller, until] { callAndLeave(host, caller, until); });
        }
    }
    for (int host = 1; host <= Hosts; ++host) {
        threads.emplace_back([this, host, until] { runInTurns(host, until); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const int late = lateArrivals();
    RecordProperty("left", static_cast<int>(leftAt_.size()));
    RecordProperty("late", late);
    EXPECT_GT(leftAt_.size(), 0U);
    EXPECT_LE(late, MaxLate) << "of " << leftAt_.size() << " that left";
}

INSTANTIATE_TEST_SUITE_P(
        Turns, RelayedCallers,
        testing::Values(RelayedCallersCase{"Short", std::chrono::milliseconds(100),
                                           std::chrono::milliseconds(350), 100},
                        RelayedCallersCase{"ShortWithLargeRequests", std::chrono::milliseconds(100),
                                           std::chrono::milliseconds(350), 50'000}),
        [](const auto &row) { return row.param.name; });

} // namespace
