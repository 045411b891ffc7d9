/// One request, sent again and again by its callers, that crashes each endpoint it reaches.

#include <algorithm>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "CrashingFleet.h"

using namespace sequoiagate;

namespace {

/// Time for hosts to tell each other of a loss.
constexpr std::chrono::milliseconds UntilTold(100);
constexpr std::chrono::seconds CallingTime(8);
constexpr int MaxAttempts = 2; ///< of the routes

struct RequestCase
{
    const char *name;
    const char *path;
    const char *prompt;     ///< empty: none
    bool isSession = false; ///< each request has another body
    std::chrono::milliseconds pause{250};
    int callers = 1; ///< who send the same request, each to other hosts first
    std::size_t crashesAllowed = 3;
    Restarts restarts;
    int endpointsOfOtherService = 0;
};

class CrashingRequests : public CrashingFleet, public testing::WithParamInterface<RequestCase>
{
protected:
    /// What the callers of the request get.
    struct Told
    {
        std::atomic<int> failed{0};
        std::atomic<int> quarantined{0};
        std::atomic<int> withTime{0}; ///< to come back, of those
    };

    httplib::Result sendOnce(int caller, int number)
    {
        const RequestCase &row = GetParam();
        const int host = 1 + (caller + number) % Hosts;
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(10));
        httplib::Headers headers = {{"Host", "h.example"},
                                    {"Request-Id", fmt::format("b{}-{}", caller, number)},
                                    {"Authorization", "Token key"},
                                    {"Deadline-Ms", "4000"}};
        const std::string prompt = row.prompt;
        if (!prompt.empty()) {
            headers.insert({"Token-Count", "300,20"});
            headers.insert({"Prompt-Prefix", prompt});
            headers.insert({"X-Events", "12"});
        }
        const std::string body = row.isSession ? fmt::format("turn {}", number) : "body";
        return client.Post(row.path, headers, body, "text/plain");
    }

    void insist(int caller)
    {
        for (int i = 0; !isStopping_; ++i) {
            const httplib::Result result = sendOnce(caller, i);
            const bool isRefused = status(result) == 503 && isQuarantined(result);
            told_.failed += status(result) == 502 ? 1 : 0;
            told_.quarantined += isRefused ? 1 : 0;
            told_.withTime += isRefused && result->has_header("Retry-After") ? 1 : 0;
            std::this_thread::sleep_for(GetParam().pause);
        }
    }

    Told told_;
};

// Guards against a request that crashes one endpoint after the other through its repeats at several
// hosts, and against refusing sound requests for it.
TEST_P(CrashingRequests, AreKeptFromEndpoints)
{
    const RequestCase &row = GetParam();
    restartsOfEndpoints_ = row.restarts;
    addEndpoints(6);
    addEndpoints(row.endpointsOfOtherService, "s2");
    startAll();
    std::vector<std::thread> callers;
    for (int i = 0; i < 10; ++i) {
        callers.emplace_back([this, i] { callSoundly("resume", i); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (int i = 0; i < row.callers; ++i) {
        callers.emplace_back([this, i] { insist(i); });
    }
    std::this_thread::sleep_for(CallingTime);
    isStopping_ = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    const std::lock_guard lock(mutex_);
    ASSERT_GE(crashes_.size(), row.crashesAllowed);
    const Instant learnt = crashes_[row.crashesAllowed - 1] + UntilTold;
    const auto late = std::count_if(arrivals_.begin(), arrivals_.end(),
                                    [learnt](Instant at) { return at > learnt; });
    RecordProperty("crashes", static_cast<int>(crashes_.size()));
    RecordProperty("arrivals", static_cast<int>(arrivals_.size()));
    RecordProperty("sent", sound_.sent);
    RecordProperty("served", sound_.served);
    EXPECT_EQ(late, 0) << crashes_.size() << " crashes";
    // Attempts of other callers may be under way then.
    const auto after = std::count_if(arrivals_.begin(), arrivals_.end(), [&](Instant at) {
        return at > crashes_[row.crashesAllowed - 1];
    });
    EXPECT_LE(after, (row.callers - 1) * MaxAttempts);
    EXPECT_GT(told_.quarantined, 0);
    EXPECT_EQ(told_.withTime, told_.quarantined);
    EXPECT_EQ(sound_.quarantined, 0);
    EXPECT_GE(2 * sound_.served, sound_.sent) << sound_.served << " of " << sound_.sent;
}

class QuarantinedRequest : public CrashingFleet
{
protected:
    std::size_t countArrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_.size();
    }

    static int send(int number)
    {
        return status(stream(1 + number % Hosts, "resume", fmt::format("b{}", number),
                             fmt::format("f1:120,5003:80,{}:100", CrashingPart)));
    }

    void sendUntilRefused()
    {
        EXPECT_TRUE(eventually([this] { return send(number_++) == 503; }));
        EXPECT_EQ(countArrivals(), CrashesAllowed);
    }

    void expectRefusedAtAll()
    {
        const std::size_t before = countArrivals();
        for (int i = 0; i < 2 * Hosts; ++i) {
            EXPECT_EQ(send(number_++), 503);
        }
        EXPECT_EQ(countArrivals(), before);
    }

    static constexpr std::size_t CrashesAllowed = 3;
    int number_ = 0;
};

// Guards against a host that has just started and knows nothing of what the others refuse.
TEST_F(QuarantinedRequest, IsKnownToAHostThatStarts)
{
    addEndpoints(6);
    startAll();
    sendUntilRefused();
    edges_.at(2).reset();
    nlohmann::json values = settings(2);
    values["domain"] = "d0";
    edges_[2] = std::make_unique<Process>(scratch_, "sequoia-edge", "edge2-again", values);
    ASSERT_TRUE(eventually([] { return status(post(2, "first", 1)) == 200; }));
    expectRefusedAtAll();
}

// Guards against forgetting a request that crashes endpoints when all hosts start again.
TEST_F(QuarantinedRequest, OutlivesAllHosts)
{
    addEndpoints(6);
    startAll();
    sendUntilRefused();
    EXPECT_TRUE(eventually([this] {
        const auto rows = store_.newest(OwnTopic);
        return std::any_of(rows.begin(), rows.end(), [](const auto &row) {
            return row.first.rfind("quarantine/request/", 0) == 0;
        });
    }));
    edges_.clear();
    startAll();
    expectRefusedAtAll();
}

constexpr std::chrono::milliseconds LongPause(1500);

INSTANTIATE_TEST_SUITE_P(
        Rows, CrashingRequests,
        testing::Values(
                RequestCase{"ByItsOnlyPart", "/resume/a", "bad0bad0:100"},
                RequestCase{"ByItsOnlyPartSentOnce", "/stream/a", "bad0bad0:100"},
                RequestCase{"BehindASeldomPart", "/resume/a", "f1:120,5003:80,bad0bad0:100"},
                RequestCase{"BehindASeldomPartSentOnce", "/stream/a",
                            "f1:120,5003:80,bad0bad0:100"},
                RequestCase{.name = "Seldom",
                            .path = "/stream/a",
                            .prompt = "f1:120,5003:80,bad0bad0:100",
                            .pause = LongPause},
                RequestCase{.name = "BySeveralCallers",
                            .path = "/resume/a",
                            .prompt = "bad0bad0:100",
                            .callers = 3},
                RequestCase{.name = "ToEndpointsUnderKeptIds",
                            .path = "/resume/a",
                            .prompt = "bad0bad0:100",
                            .restarts = {RestartDelay, true}},
                RequestCase{.name = "ToTwoServices",
                            .path = "/split/a",
                            .prompt = "bad0bad0:100",
                            .endpointsOfOtherService = 3},
                RequestCase{.name = "WithoutPrompt", .path = "/lookup/bad0bad0", .prompt = ""},
                RequestCase{.name = "OfOneSession",
                            .path = "/resume/a",
                            .prompt = "f1:120,5003:80,bad0bad0:100",
                            .isSession = true,
                            .crashesAllowed = 6}),
        [](const auto &row) { return row.param.name; });

} // namespace
