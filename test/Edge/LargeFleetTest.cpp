/// A fleet of dozens of hosts, of which some get little processor time, before endpoints of which
/// one limits its requests and loses its entry now and then. Callers leave soon.

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

constexpr int SlowHosts = 3;
constexpr int Endpoints = 4;
constexpr int CallersPerHost = 2;
constexpr std::size_t StoreWorkers = 400;

/// How long after a caller left a request may still reach an endpoint, and how many may later.
constexpr std::chrono::milliseconds MaxDelay(500);
constexpr int MaxLate = 3;

/// An eighth of a processor, in turns that are longer than that.
constexpr std::chrono::milliseconds RunTime(100);
constexpr std::chrono::milliseconds PauseTime(700);

constexpr double Limit = 3.0;
constexpr std::chrono::seconds LimitSettling(4);
constexpr std::chrono::seconds LimitWindow(4);

struct LargeFleetCase
{
    const char *name;
    int hosts;
    std::chrono::seconds time;
    std::chrono::milliseconds patience; ///< of callers
};

class LargeFleet : public EdgeProcess, public testing::WithParamInterface<LargeFleetCase>
{
protected:
    LargeFleet() : largeStore_(ip(199), StoreWorkers)
    {
        largeStore_.put("keyed.op", "config", configRow(1, 500'000'000));
        for (int i = 0; i < Endpoints; ++i) {
            endpoints_.push_back(
                    std::make_unique<EndpointStandin>(ip(210 + i), fmt::format("f-{}", i)));
            listLarge(i);
        }
    }
    ~LargeFleet() override { edges_.clear(); }

    void listLarge(int endpoint)
    {
        const EndpointStandin &listed = *endpoints_[static_cast<std::size_t>(endpoint)];
        largeStore_.put("keyed.servers", listed.id(),
                        nlohmann::json({{"backend", "s"},
                                        {"address", listed.address()},
                                        {"zone", "d1"},
                                        {"slots", 12},
                                        {"state", "ready"},
                                        {"born", 1}})
                                .dump());
    }

    void startAll()
    {
        for (int host = 1; host <= GetParam().hosts; ++host) {
            nlohmann::json values = settings(host);
            values["store"] = largeStore_.address();
            values["domain"] = fmt::format("d{}", host % 4);
            edges_[host] = std::make_unique<Process>(scratch_, "sequoia-edge",
                                                     fmt::format("edge{}", host), values);
        }
        for (int host = 1; host <= GetParam().hosts; ++host) {
            ASSERT_TRUE(eventually([host] { return status(post(host, "first", 1)) == 200; }));
        }
    }

    /// Sends requests on new connections until \p until, half of them to slow hosts.
    void call(int caller, Instant until)
    {
        for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
            const int host = i % 2 == 0 ? 1 + (caller + i / 2) % SlowHosts
                                        : 1 + (caller * 7 + i) % GetParam().hosts;
            const std::string id = fmt::format("c{}-{}", caller, i);
            httplib::Client client(ip(host), CallerPort);
            client.set_read_timeout(GetParam().patience);
            const httplib::Headers headers = {
                    {"Host", "h.example"},
                    {"Request-Id", id},
                    {"Authorization", "Token key"},
                    {"Deadline-Ms", "4000"},
                    {"Token-Count", "1,0"},
                    {"Prompt-Prefix", fmt::format("{:x}:6000,{:x}:100", 1 + i % 24, 1 << 20)}};
            const httplib::Result result = client.Post("/once/a", headers, "body", "text/plain");
            client.stop();
            const std::lock_guard lock(mutex_);
            ++sent_;
            if (!result) {
                leftAt_[id] = std::chrono::steady_clock::now();
            }
        }
    }

    void pauseSlowHosts(Instant until)
    {
        while (std::chrono::steady_clock::now() < until) {
            for (int host = 1; host <= SlowHosts; ++host) {
                edges_.at(host)->signal(SIGSTOP);
            }
            std::this_thread::sleep_for(PauseTime);
            for (int host = 1; host <= SlowHosts; ++host) {
                edges_.at(host)->signal(SIGCONT);
            }
            std::this_thread::sleep_for(RunTime);
        }
    }

    /// Deletes the limited endpoint's entry now and then, and writes it again.
    void delistNowAndThen(Instant until)
    {
        while (std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1200));
            largeStore_.put("keyed.servers", endpoints_[0]->id(), "");
            std::this_thread::sleep_for(std::chrono::milliseconds(800));
            listLarge(0);
        }
    }

    int lateArrivals()
    {
        int late = 0;
        for (const std::unique_ptr<EndpointStandin> &endpoint : endpoints_) {
            for (const auto &[id, arrivedAt] : endpoint->arrivalsById()) {
                const auto left = leftAt_.find(id);
                late += left != leftAt_.end() && arrivedAt > left->second + MaxDelay ? 1 : 0;
            }
        }
        return late;
    }

    StoreStandin largeStore_;
    std::vector<std::unique_ptr<EndpointStandin>> endpoints_;
    std::map<int, std::unique_ptr<Process>> edges_;
    std::mutex mutex_;
    int sent_ = 0;
    std::map<std::string, Instant> leftAt_;
};

// Guards against work for callers that have left, and against exceeding a limit, in a fleet whose
// hosts act late and see entries go.
TEST_P(LargeFleet, ServesNobodyWhoLeftAndKeepsTheLimit)
{
    startAll();
    endpoints_[0]->setLimit(Limit);
    const Instant named = std::chrono::steady_clock::now();
    const Instant until = named + GetParam().time;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < GetParam().hosts * CallersPerHost; ++caller) {
        threads.emplace_back([this, caller, until] { call(caller, until); });
    }
    threads.emplace_back([this, until] { pauseSlowHosts(until); });
    threads.emplace_back([this, until] { delistNowAndThen(until); });
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::this_thread::sleep_for(2 * PauseTime);
    const int late = lateArrivals();
    const std::size_t most =
            mostInWindow(endpoints_[0]->arrivals(), named + LimitSettling, LimitWindow);
    RecordProperty("sent", sent_);
    RecordProperty("left", static_cast<int>(leftAt_.size()));
    RecordProperty("late", late);
    RecordProperty("most_in_4s", static_cast<int>(most));
    constexpr double Tolerance = 1.5;
    constexpr double Extra = 5.0;
    EXPECT_GT(leftAt_.size(), 0U);
    EXPECT_LE(late, MaxLate) << "of " << leftAt_.size() << " that left, of " << sent_;
    EXPECT_LE(static_cast<double>(most),
              Tolerance * Limit * static_cast<double>(LimitWindow.count()) + Extra);
}

INSTANTIATE_TEST_SUITE_P(Fleets, LargeFleet,
                         testing::Values(LargeFleetCase{"TwentyFour", 24, std::chrono::seconds(12),
                                                        std::chrono::milliseconds(150)}),
                         [](const auto &row) { return row.param.name; });

} // namespace
