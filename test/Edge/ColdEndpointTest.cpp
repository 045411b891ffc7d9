/// Endpoints that bear only a few requests a second for some time after their start, or after they
/// have turned cold, and a fleet of edges with many callers.

#include <atomic>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

constexpr double ColdPerSecond = 4.0;
constexpr std::chrono::seconds ColdTime(3);
/// Requests that a cold endpoint may get in any second.
constexpr std::size_t Allowed = 11;
constexpr std::chrono::seconds Window(1);

class ColdFleet : public EdgeProcess
{
protected:
    static constexpr int Hosts = 6;
    static constexpr int Prompts = 24;

    ColdFleet() : second_(ip(202), "e-2")
    {
        nlohmann::json config = nlohmann::json::parse(configRow(2, 50'000'000));
        config["backends"][0]["cold-s"] = ColdTime.count();
        config["backends"][0]["cold-per-s"] = ColdPerSecond;
        store_.put("keyed.op", "config", config.dump());
        listAs(endpoint_, 1, std::chrono::milliseconds(0), "d1");
    }

    void startHosts()
    {
        for (int host = 1; host <= Hosts; ++host) {
            edges_.push_back(start(host, fmt::format("edge{}", host)));
        }
        for (int host = 1; host <= Hosts; ++host) {
            ASSERT_TRUE(eventually([host] { return status(post(host, "first", 1)) == 200; }));
        }
    }

    void listAs(const EndpointStandin &endpoint, int born, std::chrono::milliseconds coldLeft,
                const std::string &domain)
    {
        store_.put("keyed.servers", endpoint.id(),
                   nlohmann::json({{"backend", "s"},
                                   {"address", endpoint.address()},
                                   {"zone", domain},
                                   {"slots", 8},
                                   {"state", "ready"},
                                   {"cold-left-ms", coldLeft.count()},
                                   {"born", born}})
                           .dump());
    }

    /// Lets callers of all hosts send some 50 requests a second each until \p until. Half of the
    /// prompts have their home at each endpoint.
    void callUntil(Instant until)
    {
        std::vector<std::thread> callers;
        for (int host = 1; host <= Hosts; ++host) {
            callers.emplace_back([this, host, until] { call(host, until); });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    void call(int host, Instant until)
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_keep_alive(true);
        for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
            const httplib::Headers headers = {
                    {"Host", "h.example"},
                    {"Request-Id", fmt::format("h{}-{}", host, ++lastId_)},
                    {"Authorization", "Token key"},
                    {"Deadline-Ms", "20000"},
                    {"Prompt-Prefix", fmt::format("{:x}:6000,{:x}:100", 1 + i % Prompts, 1 << 20)}};
            const int answer = status(client.Post("/once/a", headers, "body", "text/plain"));
            served_ += answer == 200 ? 1 : 0;
            refused_ += answer == 429 || answer == 503 ? 1 : 0;
            ++sent_;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    // ---- how the second endpoint turns cold ----
public:
    void starts() { listAs(second_, 1, ColdTime, "d1"); }
    void startsAndDoesNotSay() { list(second_, "ready"); }
    void turnsColdWithoutAStart()
    {
        listAs(second_, 1, std::chrono::milliseconds(0), "d1");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        listAs(second_, 1, ColdTime, "d1");
    }
    void startsAgainUnderItsId()
    {
        listAs(second_, 1, std::chrono::milliseconds(0), "d1");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        listAs(second_, 2, ColdTime, "d1");
    }
    void statesNoValidTime() { listAs(second_, 1, std::chrono::milliseconds(-5), "d1"); }
    void isTakenBackAfterAnEvacuation()
    {
        store_.put("keyed.op", "evacuate/d2", "{}");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        listAs(second_, 1, std::chrono::milliseconds(0), "d2");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        store_.put("keyed.op", "evacuate/d2", "");
    }

    struct Case
    {
        const char *name;
        void (ColdFleet::*turnCold)();
    };

protected:
    EndpointStandin second_;
    std::vector<std::unique_ptr<Process>> edges_;
    std::atomic<int> lastId_{0};
    std::atomic<int> sent_{0};
    std::atomic<int> served_{0};
    std::atomic<int> refused_{0};
};

class ColdEndpoint : public ColdFleet, public testing::WithParamInterface<ColdFleet::Case>
{};

// Guards against a fleet that sends a cold endpoint more than it bears, and against leaving it
// unused while it is cold.
TEST_P(ColdEndpoint, GetsWhatItBears)
{
    startHosts();
    (this->*GetParam().turnCold)();
    const Instant cold = std::chrono::steady_clock::now();
    callUntil(cold + ColdTime - std::chrono::milliseconds(200));
    const std::vector<Instant> arrivals = second_.arrivals();
    EXPECT_LE(mostInWindow(arrivals, cold, Window), Allowed);
    EXPECT_GE(arrivals.size(), 3U) << "it takes part";
    EXPECT_EQ(served_, sent_) << "the other endpoint could serve all";
    // When it is warm, its prompts return to it.
    const std::size_t before = second_.arrivals().size();
    callUntil(cold + 2 * ColdTime);
    EXPECT_GT(second_.arrivals().size(), before + 2 * Allowed);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, ColdEndpoint,
        testing::Values(ColdFleet::Case{"Starts", &ColdFleet::starts},
                        ColdFleet::Case{"StartsAndDoesNotSay", &ColdFleet::startsAndDoesNotSay},
                        ColdFleet::Case{"TurnsColdWithoutAStart",
                                        &ColdFleet::turnsColdWithoutAStart},
                        ColdFleet::Case{"StartsAgainUnderItsId", &ColdFleet::startsAgainUnderItsId},
                        ColdFleet::Case{"StatesNoValidTime", &ColdFleet::statesNoValidTime},
                        ColdFleet::Case{"IsTakenBackAfterAnEvacuation",
                                        &ColdFleet::isTakenBackAfterAnEvacuation}),
        [](const auto &row) { return row.param.name; });

// Guards against crashing all endpoints of a service that start together, and against callers who
// wait for endpoints that have no room.
TEST_F(ColdFleet, ServesWhatItsEndpointsBearWhenAllAreCold)
{
    startHosts();
    listAs(endpoint_, 2, ColdTime, "d1");
    listAs(second_, 2, ColdTime, "d1");
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    const Instant cold = std::chrono::steady_clock::now();
    callUntil(cold + std::chrono::seconds(2));
    for (EndpointStandin *endpoint : {&endpoint_, &second_}) {
        const std::vector<Instant> arrivals = endpoint->arrivals();
        const auto first = std::lower_bound(arrivals.begin(), arrivals.end(), cold);
        EXPECT_LE(mostInWindow(arrivals, cold, Window), Allowed);
        EXPECT_GE(arrivals.end() - first, static_cast<std::ptrdiff_t>(ColdPerSecond));
    }
    EXPECT_EQ(served_ + refused_, sent_);
    EXPECT_GE(served_, 2 * ColdPerSecond);
}

} // namespace
