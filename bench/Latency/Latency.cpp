/// What router and keeper add to a call, against the same engine called straight,
/// both in one run by the same callers in turn; what an open stream costs a
/// router; and how long 400 callers that open at once wait for their first byte.

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "test/Support/Fleet.h"
#include "test/Support/ProcessCost.h"

using namespace sequoiagate;

namespace {

using Micros = std::chrono::microseconds;

constexpr const char *Workspace = "fretwise";
constexpr std::size_t Callers = 8;
constexpr std::size_t CallsEach = 250;
constexpr uint64_t TokensEach = 16;

struct CallTimes
{
    Micros firstByte{};
    Micros whole{};
    bool good = false;
};

struct Target
{
    std::string address;
    std::string key; ///< empty: the engine itself
    std::string workClass = "interactive";
};

CallTimes timeCall(const Target &target, const std::string &name, uint64_t tokens)
{
    const nlohmann::json message = {{"role", "user"},
                                    {"content", fmt::format("tokens={}", tokens)}};
    const nlohmann::json body = {{"model", "chat"},
                                 {"stream", true},
                                 {"max_tokens", tokens},
                                 {"messages", nlohmann::json::array({message})}};
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body.dump();
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Request-Id", name},
                       {"X-Workspace", Workspace},
                       {"X-Work-Class", target.workClass},
                       {"Authorization", "Bearer " + target.key}};
    const Instant start = std::chrono::steady_clock::now();
    const auto elapsed = [&] {
        return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - start);
    };
    CallTimes times;
    std::string received;
    request.content_receiver = [&](const char *data, std::size_t size, uint64_t, uint64_t) {
        if (received.empty()) {
            times.firstByte = elapsed();
        }
        received.append(data, size);
        return true;
    };
    httplib::Client client("http://" + target.address);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(Seconds(60));
    client.send(request);
    times.whole = elapsed();
    times.good = received.find("[DONE]") != std::string::npos;
    return times;
}

double millisAt(std::vector<Micros> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return static_cast<double>(values[index].count()) / 1000.0;
}

void printTimes(const std::string &name, const std::vector<CallTimes> &times)
{
    std::vector<Micros> first;
    std::vector<Micros> whole;
    std::size_t failed = 0;
    for (const CallTimes &one : times) {
        first.push_back(one.firstByte);
        whole.push_back(one.whole);
        failed += one.good ? 0 : 1;
    }
    fmt::print("{:<16} first byte p50 {:.2f} p95 {:.2f} p99 {:.2f} ms; "
               "whole p50 {:.2f} p95 {:.2f} p99 {:.2f} ms; {} calls, {} failed\n",
               name, millisAt(first, 0.5), millisAt(first, 0.95), millisAt(first, 0.99),
               millisAt(whole, 0.5), millisAt(whole, 0.95), millisAt(whole, 0.99), times.size(),
               failed);
}

FleetShape shapeOf()
{
    FleetShape shape;
    shape.hosts = {{"a1", "a"}};
    shape.endpoints = {{.name = "engine-1", .domain = "a", .slots = 512, .tokenMillis = 2}};
    shape.workspaces = {{Workspace, 1'000'000'000}};
    shape.routerSettings = {{"connections", 450}, {"slots", 450}, {"queue_wait_ms", 20'000}};
    return shape;
}

void measureAddedLatency(Fleet &fleet, const Target &engine, const Target &router)
{
    std::vector<CallTimes> straight(Callers * CallsEach);
    std::vector<CallTimes> routed(Callers * CallsEach);
    std::vector<std::thread> callers;
    const Micros before = processorTime(fleet.router(0).id());
    const Micros keeperBefore = processorTime(fleet.keeper(0).id());
    for (std::size_t caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            for (std::size_t i = caller * CallsEach; i < (caller + 1) * CallsEach; ++i) {
                straight[i] = timeCall(engine, fmt::format("s{}", i), TokensEach);
                routed[i] = timeCall(router, fmt::format("r{}", i), TokensEach);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const Micros used = processorTime(fleet.router(0).id()) - before;
    const Micros keeperUsed = processorTime(fleet.keeper(0).id()) - keeperBefore;
    printTimes("engine straight", straight);
    printTimes("through router", routed);
    fmt::print("router {:.0f} us and keeper {:.0f} us of processor time a request of {} tokens\n",
               static_cast<double>(used.count()) / static_cast<double>(routed.size()),
               static_cast<double>(keeperUsed.count()) / static_cast<double>(routed.size()),
               TokensEach);
}

/// Long answers, a few callers: what is left of the time a request is a token's.
void measureTokenCost(Fleet &fleet, const Target &router)
{
    constexpr uint64_t Tokens = 2000;
    constexpr std::size_t Streams = 16;
    const Micros before = processorTime(fleet.router(0).id());
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < Streams; ++i) {
        callers.emplace_back([&, i] { timeCall(router, fmt::format("t{}", i), Tokens); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const Micros used = processorTime(fleet.router(0).id()) - before;
    fmt::print("router {:.1f} us of processor time a token\n",
               static_cast<double>(used.count()) / static_cast<double>(Streams * Tokens));
}

/// Many callers in one moment; then, while all streams are open, the router's memory.
void measureOpening(Fleet &fleet, const Target &router, uint64_t tokens)
{
    constexpr std::size_t Streams = 400;
    const int64_t before = residentBytes(fleet.router(0).id());
    std::vector<CallTimes> times(Streams);
    std::atomic<std::size_t> ended = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < Streams; ++i) {
        callers.emplace_back([&, i] {
            times[i] =
                    timeCall(router, fmt::format("{}-{}-{}", router.workClass, tokens, i), tokens);
            ++ended;
        });
    }
    int64_t most = 0;
    while (ended == 0) {
        most = std::max(most, residentBytes(fleet.router(0).id()));
        std::this_thread::sleep_for(Millis(5));
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::vector<Micros> first;
    for (const CallTimes &one : times) {
        first.push_back(one.firstByte);
    }
    printTimes("400 " + router.workClass, times);
    fmt::print("worst first byte {:.1f} ms; router {} KB before, {} KB with {} streams of up to {} "
               "chunks open: {} bytes a stream\n",
               millisAt(first, 1.0), before / 1024, most / 1024, Streams, tokens,
               (most - before) / static_cast<int64_t>(Streams));
}

} // namespace

int main()
{
    Fleet fleet(shapeOf());
    const Target engine{fleet.endpointAddress("engine-1"), ""};
    const Target router{fleet.chatCall(0, Workspace, "").router, fleet.apiKey(Workspace)};
    measureAddedLatency(fleet, engine, router);
    measureTokenCost(fleet, router);
    // Batch work waits its turn; interactive work that can't start in time is turned
    // away by admission, and counts as failed here.
    const Target batch{router.address, router.key, "batch"};
    for (const uint64_t tokens : {100, 1000}) {
        measureOpening(fleet, batch, tokens);
    }
    measureOpening(fleet, router, 100);
    return 0;
}
