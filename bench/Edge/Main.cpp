/// What sequoia-edge costs: processor time a request and an event of a stream, memory a
/// stream and a route, each as a slope between two points.
///     build/bench/bench-Edge

#include <unistd.h>

#include <functional>
#include <thread>

#include <fmt/format.h>

#include "platform/PlatformRows.h"
#include "sequoiagate/Ledger/AllotmentTable.h"
#include "test/Support/PlatformStandin.h"
#include "test/Support/Process.h"
#include "test/Support/ProcessCost.h"

using namespace sequoiagate;

namespace {

constexpr int CallerPort = 8740;
constexpr const char *Host = "127.77.7.1";

std::string configRow(uint64_t version, int idleRoutes)
{
    nlohmann::json routes = nlohmann::json::array();
    const auto add = [&routes](const std::string &name, const char *type) {
        routes.push_back({{"name", name},
                          {"host", "h.example"},
                          {"path-prefix", "/" + name + "/"},
                          {"type", type},
                          {"timeout-ms", 60000},
                          {"slo-ms", 30000},
                          {"gap-target-ms", 30000},
                          {"priority", 0},
                          {"backend", "s"},
                          {"max-attempts", 1}});
    };
    add("once", "non_idempotent");
    add("stream", "streaming");
    for (int i = 0; i < idleRoutes; ++i) {
        add(fmt::format("idle{}", i), "idempotent");
    }
    return nlohmann::json({{"version", version},
                           {"routes", routes},
                           {"backends",
                            {{{"name", "s"}, {"max-conns", 1000}, {"engine", {{"stride", 1}}}}}},
                           {"limits", nlohmann::json::object()},
                           {"tenants",
                            {{{"name", "w"}, {"api-keys", {"key"}}, {"prepaid", 1'000'000'000}}}}})
            .dump();
}

httplib::Headers headers(const std::string &id, int events)
{
    httplib::Headers all = {{"Host", "h.example"},
                            {"Request-Id", id},
                            {"Authorization", "Token key"},
                            {"Deadline-Ms", "60000"},
                            {"Token-Count", "100,1000"}};
    if (events > 0) {
        all.emplace("X-Events", std::to_string(events));
    }
    return all;
}

/// Calls from \p callers threads. \returns how many were answered with 200.
int call(int callers, int calls, const std::string &path, int events)
{
    std::atomic<int> good{0};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([caller, calls, path, events, &good] {
            httplib::Client client(Host, CallerPort);
            client.set_keep_alive(true);
            client.set_read_timeout(std::chrono::seconds(60));
            for (int i = 0; i < calls; ++i) {
                const auto id = fmt::format("r{}-{}-{}", events, caller, i);
                const auto answer = client.Post(path, headers(id, events), "body", "text/plain");
                good += answer && answer->status == 200 ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return good;
}

double microseconds(std::chrono::microseconds time, double count)
{
    return static_cast<double>(time.count()) / count;
}

std::chrono::microseconds ownTime()
{
    return processorTime(::getpid());
}

/// What is read of other nodes at the design size: rows of allotments and of endpoints.
void measureReading()
{
    constexpr int Workspaces = 210;
    constexpr int Nodes = 370;
    constexpr double Rows = Workspaces * Nodes;
    AllotmentTable table;
    const int64_t before = residentBytes(::getpid());
    std::chrono::microseconds began = ownTime();
    uint64_t offset = 0;
    for (int node = 0; node < Nodes; ++node) {
        const Incarnation holder(fmt::format("{:032x}", node));
        for (int i = 0; i < Workspaces; ++i) {
            table.set({WorkspaceId(fmt::format("w{}", i)), holder, {1000, 100, 0}}, ++offset);
        }
    }
    fmt::print("allotment rows: {:.2f} us and {:.0f} bytes a row of {}\n",
               microseconds(ownTime() - began, Rows),
               static_cast<double>(residentBytes(::getpid()) - before) / Rows, Rows);
    constexpr int Entries = 50'000;
    const std::string entry =
            R"({"backend":"huvo11a","address":"10.128.0.9:8080","zone":"amman-a","version":"v1",)"
            R"("slots":64,"state":"ready","cold-left-ms":0,"stage":"both","models":[{"name":"m",)"
            R"("version":1,"adapters":[]}],"seq":4,"born":1780000000000})";
    began = ownTime();
    for (int i = 0; i < Entries; ++i) {
        platform::decodeEndpoint("i-1", entry);
    }
    fmt::print("endpoint row: {:.1f} us, {} bytes\n", microseconds(ownTime() - began, Entries),
               entry.size());
}

} // namespace

int main()
{
    measureReading();
    ScratchFolder scratch;
    StoreStandin store("127.77.7.200");
    EndpointStandin endpoint("127.77.7.201", "e-1");
    store.put("keyed.op", "config", configRow(1, 0));
    store.put("keyed.servers", "e-1",
              nlohmann::json({{"backend", "s"},
                              {"address", endpoint.address()},
                              {"zone", "d1"},
                              {"slots", 100},
                              {"state", "ready"}})
                      .dump());
    Process edge(scratch, "sequoia-edge", "edge",
                 {{"host", "h1"},
                  {"domain", "d1"},
                  {"listen", fmt::format("{}:{}", Host, CallerPort)},
                  {"listen_ready", fmt::format("{}:8741", Host)},
                  {"listen_peers", fmt::format("{}:8742", Host)},
                  {"store", store.address()}});
    edge.waitFor("endpoint.listed");
    const auto cost = [&edge](const std::function<void()> &work) {
        const std::chrono::microseconds before = processorTime(edge.id());
        work();
        return processorTime(edge.id()) - before;
    };
    const auto idle = cost([] { std::this_thread::sleep_for(std::chrono::seconds(10)); });
    fmt::print("idle: {:.2f}% of a core, {} KB\n", microseconds(idle, 100'000.0),
               residentBytes(edge.id()) / 1024);
    constexpr int Callers = 8;
    constexpr int Calls = 1000;
    int answered = 0;
    const auto plain = cost([&answered] { answered = call(Callers, Calls, "/once/a", 0); });
    fmt::print("plain call: {:.0f} us of processor time ({} of {} answered)\n",
               microseconds(plain, Callers * Calls), answered, Callers * Calls);
    const auto few = cost([&answered] { answered = call(50, 2, "/stream/a", 50); });
    const auto many = cost([&answered] { answered += call(50, 2, "/stream/a", 550); });
    fmt::print("stream: {:.0f} us an event, {:.0f} us a stream of 50 ({} of 200 answered)\n",
               microseconds(many - few, 100.0 * 500), microseconds(few, 100.0), answered);
    const int64_t before = residentBytes(edge.id());
    std::thread open([] { call(100, 1, "/stream/a", 300); });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    fmt::print("open stream: {:.1f} KB\n",
               static_cast<double>(residentBytes(edge.id()) - before) / 100.0 / 1024.0);
    open.join();
    for (const int routes : {350, 3500}) {
        const int64_t memory = residentBytes(edge.id());
        const auto change = cost([&store, &edge, routes] {
            const auto version = static_cast<uint64_t>(routes);
            store.put("keyed.op", "config", configRow(version, routes));
            edge.waitFor("config.in_force",
                         [version](const auto &line) { return line.at("version") == version; });
        });
        fmt::print("configuration of {} routes: {:.0f} us of processor time a route, {} KB more\n",
                   routes, microseconds(change, routes),
                   (residentBytes(edge.id()) - memory) / 1024);
    }
    return 0;
}
