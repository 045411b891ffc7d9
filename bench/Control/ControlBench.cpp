/// What control costs a running fleet: how fast a configuration change is in force on
/// all keepers, by the number of keepers, and what 1,000 requests put on the log.
///
/// Usage: bench-Control [most keepers, 24 by default]

#include <algorithm>
#include <charconv>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>

#include "sequoiagate/Service/Events.h"
#include "test/Support/Fleet.h"
#include "test/Support/ProcessCost.h"

using namespace sequoiagate;

namespace {

constexpr int Changes = 20;
constexpr int Requests = 1000;
constexpr int Threads = 10;
constexpr std::size_t Domains = 3;
constexpr const char *Workspace = "fretwise";

FleetShape shapeOf(std::size_t hosts, bool withRouters)
{
    FleetShape shape;
    for (std::size_t host = 0; host < hosts; ++host) {
        shape.hosts.push_back({fmt::format("h{}", host), fmt::format("d{}", host % Domains)});
    }
    for (std::size_t domain = 0; domain < Domains; ++domain) {
        FleetEndpoint engine;
        engine.name = fmt::format("engine-{}", domain);
        engine.domain = fmt::format("d{}", domain);
        engine.slots = 64;
        engine.tokenMillis = 1;
        shape.endpoints.push_back(engine);
    }
    shape.workspaces = {{Workspace, 100'000'000}};
    shape.withRouters = withRouters;
    return shape;
}

/// Time from the log's acceptance of each change to its being in force on the last
/// keeper, by the events' own stamps (all on one machine's clock).
void measureFanOut(std::size_t hosts)
{
    Fleet fleet(shapeOf(hosts, false));
    std::vector<uint64_t> versions;
    for (int change = 0; change < Changes; ++change) {
        versions.push_back(fleet.topUp(Workspace, fmt::format("t{}", change), 1));
        for (std::size_t host = 0; host < hosts; ++host) {
            fleet.waitInForce(host, versions.back());
        }
    }
    const History history = fleet.history();
    std::vector<WallTime> accepted;
    for (const HistoryEvent &event : history.events) {
        if (event.name == events::LogAccepted && event.text("stream") == "config") {
            accepted.push_back(event.wall());
        }
    }
    std::vector<double> millis;
    for (const uint64_t version : versions) {
        WallTime last;
        for (const HistoryEvent &event : history.events) {
            const bool ours =
                    event.name == events::ConfigInForce && event.number("version") == version;
            last = ours ? std::max(last, event.wall()) : last;
        }
        // Version n is the stream's n-th record: nothing else writes here.
        const auto took = last - accepted.at(version - 1);
        millis.push_back(std::chrono::duration<double, std::milli>(took).count());
    }
    std::sort(millis.begin(), millis.end());
    fmt::print("{:3} keepers: in force on the last one after {:.1f} ms (median of {}), {:.1f} ms "
               "at most\n",
               hosts, millis[millis.size() / 2], millis.size(), millis.back());
}

nlohmann::json logCounts(const std::string &address)
{
    httplib::Client client("http://" + address);
    const httplib::Result result = client.Get("/admin/counts");
    return result ? nlohmann::json::parse(result->body) : nlohmann::json::object();
}

void callMany(Fleet &fleet, std::size_t hosts, const char *round)
{
    std::vector<std::thread> callers;
    for (int thread = 0; thread < Threads; ++thread) {
        callers.emplace_back([&fleet, thread, hosts, round] {
            for (int i = 0; i < Requests / Threads; ++i) {
                ChatCall call = fleet.chatCall(static_cast<std::size_t>(i) % hosts, Workspace,
                                               fmt::format("{}-{}-{}", round, thread, i));
                call.prompt = "tokens=16";
                fleet.caller().chat(call);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
}

/// Appends, bytes and keeper time that 1,000 requests cost, over six hosts.
void measureRequests()
{
    constexpr std::size_t Hosts = 6;
    Fleet fleet(shapeOf(Hosts, true));
    callMany(fleet, Hosts, "warm"); // grants, connections and caches are warm after this
    std::this_thread::sleep_for(Seconds(2));
    const auto keeperSeconds = [&] {
        double sum = 0.0;
        for (std::size_t host = 0; host < Hosts; ++host) {
            sum += std::chrono::duration<double>(processorTime(fleet.keeper(host).id())).count();
        }
        return sum;
    };
    const nlohmann::json countsBefore = logCounts(fleet.logAddress());
    const double before = keeperSeconds();
    const Instant began = std::chrono::steady_clock::now();
    callMany(fleet, Hosts, "measured");
    const auto took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began);
    std::this_thread::sleep_for(Seconds(2));
    const double after = keeperSeconds();
    const nlohmann::json counts = logCounts(fleet.logAddress());
    const auto grown = [&](const char *key) {
        return counts.value(key, uint64_t{0}) - countsBefore.value(key, uint64_t{0});
    };
    fmt::print("{} requests in {:.1f} s over {} hosts: {} appends, {} bytes on the log "
               "(base64 and JSON), {:.2f} ms of keeper time a request, idle work included\n",
               Requests, took.count(), Hosts, grown("append_calls"), grown("append_bytes"),
               (after - before) * 1000.0 / Requests);
}

} // namespace

int main(int argc, char **argv)
{
    std::size_t most = 24;
    if (argc > 1) {
        const std::string text = argv[1];
        std::from_chars(text.data(), text.data() + text.size(), most);
    }
    for (std::size_t hosts = 3; hosts <= most; hosts *= 2) {
        measureFanOut(hosts);
    }
    measureRequests();
    return 0;
}
