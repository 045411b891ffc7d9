/// What callers see while the edge's process is held up again and again.

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <random>

#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

// Requests on kept connections end with a closed connection, since their host was held up.
TEST_F(EdgeProcess, HeldUpProcessAnswersAll)
{
    constexpr std::chrono::seconds Length(3);
    EndpointStandin other(ip(202), "e-2");
    list(other, "ready");
    const auto edge = start(1, "edge");
    const auto second = start(2, "second");
    store_.put("keyed.op", "config", configRow(2, 2'000'000'000));
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    std::atomic<bool> over = false;
    std::mutex mutex;
    std::map<std::string, int> ends;
    std::vector<std::thread> callers;
    for (int n = 0; n < 16; ++n) {
        callers.emplace_back([&, n] {
            std::mt19937 random(static_cast<unsigned>(n));
            httplib::Client client(ip(1), CallerPort);
            client.set_keep_alive(true);
            client.set_read_timeout(std::chrono::seconds(30));
            for (int i = 0; !over; ++i) {
                const uint64_t tokens = random() % 4 == 0 ? 200'000 + random() % 3'000'000 : 1000;
                const httplib::Headers headers = {{"Host", "h.example"},
                                                  {"Request-Id", fmt::format("c{}-{}", n, i)},
                                                  {"Authorization", "Token key"},
                                                  {"Deadline-Ms", "5000"},
                                                  {"Token-Count", fmt::format("{},10", tokens)}};
                const httplib::Result result =
                        client.Post("/once/a", headers, "body", "text/plain");
                const std::string end = result ? std::to_string(result->status)
                                               : httplib::to_string(result.error());
                {
                    std::lock_guard lock(mutex);
                    ++ends[end];
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(random() % 60));
            }
        });
    }
    const auto until = std::chrono::steady_clock::now() + Length;
    std::mt19937 random(7);
    while (std::chrono::steady_clock::now() < until) {
        edge->signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(60 + random() % 60));
        edge->signal(SIGCONT);
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 60));
        store_.put("keyed.servers", "e-3", random() % 2 == 0 ? "" : "{broken");
    }
    over = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    int unanswered = 0;
    for (const auto &[end, count] : ends) {
        unanswered += end.size() == 3 ? 0 : count;
    }
    EXPECT_EQ(unanswered, 0);
    edge->signal(SIGTERM);
    EXPECT_EQ(edge->wait(), 0);
}

// A process that is held up at the end of a stop closes its connections without telling callers.
TEST_F(EdgeProcess, RequestThatOutlastsTheGraceIsToldByAHeldUpProcess)
{
    nlohmann::json brief = settings(1);
    brief["stop_grace_ms"] = 3000;
    Process edge(scratch_, "sequoia-edge", "edge", brief);
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    HeldRequest held(endpoint_, "r2");
    edge.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(2330));
    edge.signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    edge.signal(SIGCONT);
    EXPECT_EQ(held.answer(), 502);
    EXPECT_EQ(edge.wait(), 0);
}

} // namespace
