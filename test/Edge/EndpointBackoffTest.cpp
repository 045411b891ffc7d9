/// Endpoints that turn requests away and ask each host for some seconds without any.

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

constexpr std::chrono::milliseconds Backoff(3000);

/// From when on after such an answer the backoff must hold, and how many requests of a host may
/// reach the endpoint until its end.
constexpr std::chrono::milliseconds Settling(500);
constexpr std::size_t MaxRequests = 2;

struct BackoffCase
{
    const char *name;
    int backingOff; ///< endpoints of three
    StoreFault store;
};

class EndpointBackoff : public EdgeProcess, public testing::WithParamInterface<BackoffCase>
{
protected:
    static constexpr int Hosts = 3;
    static constexpr int CallersPerHost = 3;

    EndpointBackoff() : second_(ip(202), "e-2"), third_(ip(203), "e-3")
    {
        list(second_, "ready");
        list(third_, "ready");
        store_.put("keyed.op", "config", configRow(2, 50'000'000));
    }

    struct Answer
    {
        int host;
        int status;
        double retryAfter;
        Interval took;
    };

    Answer call(int host, const std::string &id)
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(10));
        const httplib::Headers headers = {
                {"Host", "h.example"},
                {"Request-Id", id},
                {"Authorization", "Token key"},
                {"Deadline-Ms", "4000"},
                {"Prompt-Prefix",
                 fmt::format("{:x}:6000,1:100", 1 + std::hash<std::string>()(id) % 9)}};
        const Instant sentAt = std::chrono::steady_clock::now();
        const httplib::Result result = client.Post("/once/a", headers, "body", "text/plain");
        const bool hasRetryAfter = result && result->has_header("Retry-After");
        return {host, status(result),
                hasRetryAfter ? std::stod(result->get_header_value("Retry-After")) : -1.0,
                std::chrono::steady_clock::now() - sentAt};
    }

    std::vector<Answer> callAll(Instant until)
    {
        std::vector<Answer> answers;
        std::vector<std::thread> callers;
        for (int caller = 0; caller < Hosts * CallersPerHost; ++caller) {
            callers.emplace_back([&, caller] {
                const int host = 1 + caller % Hosts;
                for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
                    const Answer answer = call(host, fmt::format("{}-{}-{}", host, caller, i));
                    const std::lock_guard lock(mutex_);
                    answers.push_back(answer);
                    std::this_thread::sleep_for(std::chrono::milliseconds(15));
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        return answers;
    }

    /// The largest number of requests of one host that reached \p endpoint in a backoff that it had
    /// asked that host for. Ids of requests begin with their host.
    static std::size_t mostInBackoff(EndpointStandin &endpoint)
    {
        std::map<std::string, std::vector<Instant>> byHost;
        for (const auto &[id, at] : endpoint.arrivalsById()) {
            byHost[id.substr(0, id.find('-'))].push_back(at);
        }
        std::size_t most = 0;
        for (auto &[host, arrivals] : byHost) {
            std::sort(arrivals.begin(), arrivals.end());
            for (const Instant asked : arrivals) {
                const auto from =
                        std::upper_bound(arrivals.begin(), arrivals.end(), asked + Settling);
                const auto to = std::lower_bound(arrivals.begin(), arrivals.end(), asked + Backoff);
                most = std::max(most,
                                static_cast<std::size_t>(std::max<std::ptrdiff_t>(to - from, 0)));
            }
        }
        return most;
    }

    std::mutex mutex_;
    EndpointStandin second_;
    EndpointStandin third_;
};

// Guards against sending on to an endpoint that has asked this host for a pause, against refusing
// what the other endpoints could serve, and against letting callers wait for what can't be served.
TEST_P(EndpointBackoff, IsKeptAndCallersAreServedElsewhere)
{
    const BackoffCase &row = GetParam();
    std::vector<std::unique_ptr<Process>> edges;
    for (int host = 1; host <= Hosts; ++host) {
        edges.push_back(start(host, fmt::format("edge{}", host)));
    }
    for (int host = 1; host <= Hosts; ++host) {
        ASSERT_TRUE(eventually([this, host] { return call(host, "first").status == 200; }));
    }
    const std::vector<EndpointStandin *> all = {&endpoint_, &second_, &third_};
    const std::vector<EndpointStandin *> asking(all.begin(), all.begin() + row.backingOff);
    store_.setFault(row.store);
    for (EndpointStandin *endpoint : asking) {
        endpoint->setBackoff(Backoff);
    }
    const std::vector<Answer> answers =
            callAll(std::chrono::steady_clock::now() + 2 * Backoff + Settling);
    std::size_t arrivals = 0;
    for (EndpointStandin *endpoint : asking) {
        EXPECT_LE(mostInBackoff(*endpoint), MaxRequests) << endpoint->id();
        arrivals += endpoint->arrivals().size();
    }
    std::size_t refused = 0;
    for (const Answer &answer : answers) {
        EXPECT_TRUE(answer.status == 200 || answer.status == 503) << answer.status;
        refused += answer.status == 200 ? 0 : 1;
        const bool isTimed =
                answer.retryAfter >= 0.0
                && answer.retryAfter <= std::chrono::duration<double>(Backoff).count() + 1.0;
        EXPECT_TRUE(answer.status == 200 || isTimed) << answer.retryAfter;
        EXPECT_LT(answer.took, Backoff / 2);
    }
    const bool isServed = row.backingOff < static_cast<int>(all.size());
    if (isServed) {
        EXPECT_LE(refused, arrivals) << "only what an endpoint turned away, of " << answers.size();
    }
    for (EndpointStandin *endpoint : asking) {
        endpoint->setBackoff(std::nullopt);
    }
    store_.setFault(StoreFault::None);
    EXPECT_TRUE(eventually([&] {
        return call(1, "later").status == 200
               && std::all_of(asking.begin(), asking.end(), [this](EndpointStandin *endpoint) {
                      const int before = endpoint->runs();
                      for (int i = 0; i < 30; ++i) {
                          call(1, fmt::format("back-{}", i));
                      }
                      return endpoint->runs() > before;
                  });
    })) << "they are used again";
}

INSTANTIATE_TEST_SUITE_P(Rows, EndpointBackoff,
                         testing::Values(BackoffCase{"OneOfThree", 1, StoreFault::None},
                                         BackoffCase{"TwoOfThree", 2, StoreFault::None},
                                         BackoffCase{"AllOfThree", 3, StoreFault::None},
                                         BackoffCase{"WhileTheStoreIsSilent", 2,
                                                     StoreFault::Silent}),
                         [](const auto &row) { return row.param.name; });

} // namespace
