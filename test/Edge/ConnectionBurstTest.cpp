/// Most new connections of a failure domain, or of all of them, go to one host for some seconds.

#include <atomic>
#include <map>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

struct BurstCase
{
    const char *name;
    const char *path;
    std::vector<int> hosts; ///< whose callers go to the first host
};

class ConnectionBurst : public EdgeProcess, public testing::WithParamInterface<BurstCase>
{
protected:
    static constexpr int Hosts = 6;
    static constexpr int CallersPerHost = 6;

    ConnectionBurst() : second_(ip(202), "e-2"), third_(ip(203), "e-3")
    {
        list(second_, "ready");
        list(third_, "ready");
        store_.put("keyed.op", "config", configRow(2, 50'000'000));
    }
    ~ConnectionBurst() override { edges_.clear(); }

    void startAll()
    {
        for (int host = 1; host <= Hosts; ++host) {
            nlohmann::json values = settings(host);
            values["domain"] = fmt::format("d{}", host % 3);
            edges_[host] = std::make_unique<Process>(scratch_, "sequoia-edge",
                                                     fmt::format("edge{}", host), values);
        }
        for (int host = 1; host <= Hosts; ++host) {
            ASSERT_TRUE(eventually([host] { return status(post(host, "first", 1)) == 200; }));
        }
    }

    struct Served
    {
        std::atomic<int> sent{0};
        std::atomic<int> served{0};
    };

    /// Each caller opens a connection for each request, and sends the next one after \p pause.
    void call(Served &result, const std::function<int(int host)> &hostOf,
              std::chrono::milliseconds pause, std::chrono::milliseconds time) const
    {
        const Instant end = std::chrono::steady_clock::now() + time;
        std::vector<std::thread> callers;
        for (int i = 0; i < Hosts * CallersPerHost; ++i) {
            callers.emplace_back([&, i] {
                while (std::chrono::steady_clock::now() < end) {
                    const int host = hostOf(1 + i % Hosts);
                    result.sent += 1;
                    result.served += isServed(host, i) ? 1 : 0;
                    std::this_thread::sleep_for(pause);
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    static bool isServed(int host, int caller)
    {
        static std::atomic<int> lastId{0};
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(5));
        const httplib::Headers headers = {{"Host", "h.example"},
                                          {"Request-Id", fmt::format("b{}-{}", caller, ++lastId)},
                                          {"Authorization", "Token key"},
                                          {"Deadline-Ms", "1500"},
                                          {"Token-Count", "500,20"},
                                          {"Prompt-Prefix", "f1:300,c3:200"},
                                          {"X-Events", "5"}};
        const std::string path = fmt::format("/{}/a", GetParam().path);
        return status(client.Post(path, headers, "body", "text/plain")) == 200;
    }

    EndpointStandin second_;
    EndpointStandin third_;
    std::map<int, std::unique_ptr<Process>> edges_;
};

// Guards against a host that refuses or fails what it reads while it gets the fleet's callers.
TEST_P(ConnectionBurst, IsServedAsBefore)
{
    startAll();
    const auto own = [](int host) {
        return host;
    };
    const auto first = [](int host) {
        const std::vector<int> &moved = GetParam().hosts;
        return std::find(moved.begin(), moved.end(), host) != moved.end() ? 1 : host;
    };
    Served before;
    call(before, own, std::chrono::milliseconds(60), std::chrono::seconds(3));
    Served settling;
    call(settling, first, std::chrono::milliseconds(30), std::chrono::seconds(3));
    Served during;
    call(during, first, std::chrono::milliseconds(30), std::chrono::seconds(4));
    const double share = static_cast<double>(during.served) / during.sent;
    const double shareBefore = static_cast<double>(before.served) / before.sent;
    RecordProperty("sent", during.sent);
    RecordProperty("served", during.served);
    EXPECT_GE(4 * share, 3 * shareBefore) << during.served << " of " << during.sent << ", before "
                                          << before.served << " of " << before.sent;
}

INSTANTIATE_TEST_SUITE_P(Bursts, ConnectionBurst,
                         testing::Values(BurstCase{"OfADomain", "once", {1, 4}},
                                         BurstCase{"OfAllDomains", "once", {1, 2, 3, 4, 5, 6}},
                                         BurstCase{"OfStreams", "stream", {1, 2, 3, 4, 5, 6}}),
                         [](const auto &row) { return row.param.name; });

} // namespace
