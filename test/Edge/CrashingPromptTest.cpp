/// Prompts with a part that crashes each endpoint that begins to write an answer on it.

#include <iterator>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "CrashingFleet.h"

using namespace sequoiagate;

namespace {

/// A restart that takes so long that most endpoints are down until the part is found.
constexpr std::chrono::milliseconds LongRestartDelay(2500);
/// How long after the fifth crash requests with the part may still reach endpoints.
constexpr std::chrono::seconds Settling(3);
constexpr std::size_t CrashesToLearn = 5;
constexpr int MaxArrivalsAfterwards = 3;

struct PromptCase
{
    const char *name;
    const char *path; ///< of all requests
    Restarts restarts;
    int endpoints = 6;
    int insistingCallers = 0; ///< 0: the part comes at a steady rate
};

class CrashingPrompts : public CrashingFleet, public testing::WithParamInterface<PromptCase>
{};

// Guards against a prompt that crashes one endpoint after the other, and against refusing the
// prompts that share its other parts.
TEST_P(CrashingPrompts, AreKeptFromEndpoints)
{
    const std::string path = GetParam().path;
    restartsOfEndpoints_ = GetParam().restarts;
    addEndpoints(GetParam().endpoints);
    startAll();
    std::vector<std::thread> callers;
    for (int i = 0; i < 10; ++i) {
        callers.emplace_back([this, path, i] { callSoundly(path, i); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    std::vector<std::thread> bad;
    for (int i = 0; i < GetParam().insistingCallers; ++i) {
        bad.emplace_back([this, path, i] { insistBadly(path, i); });
    }
    if (bad.empty()) {
        bad.emplace_back([this, path] { callBadly(path); });
    }
    const Instant limit = std::chrono::steady_clock::now() + std::chrono::seconds(6);
    Instant learnt = limit;
    while (std::chrono::steady_clock::now() < learnt + Settling) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        const std::lock_guard lock(mutex_);
        learnt = crashes_.size() >= CrashesToLearn ? crashes_[CrashesToLearn - 1] : limit;
    }
    std::this_thread::sleep_for(Settling);
    const int sentBefore = sound_.sent;
    const int servedBefore = sound_.served;
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const int sent = sound_.sent - sentBefore;
    const int served = sound_.served - servedBefore;
    isStopping_ = true;
    callers.insert(callers.end(), std::make_move_iterator(bad.begin()),
                   std::make_move_iterator(bad.end()));
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::this_thread::sleep_for(restartsOfEndpoints_.delay);
    const std::lock_guard lock(mutex_);
    const auto late = std::count_if(arrivals_.begin(), arrivals_.end(),
                                    [learnt](Instant time) { return time > learnt + Settling; });
    RecordProperty("crashes", static_cast<int>(crashes_.size()));
    RecordProperty("late_arrivals", static_cast<int>(late));
    RecordProperty("served", served);
    RecordProperty("sent", sent);
    EXPECT_LE(late, MaxArrivalsAfterwards) << crashes_.size() << " crashes";
    EXPECT_GE(2 * served, sent) << served << " of " << sent;
    EXPECT_GT(sent, 0);
}

class QuarantinedPart : public CrashingFleet
{};

// Guards against forgetting a part that crashes endpoints when all hosts start again.
TEST_F(QuarantinedPart, OutlivesAllHosts)
{
    addEndpoints(6);
    startAll();
    int number = 0;
    std::vector<std::thread> sound;
    for (int i = 0; i < 4; ++i) {
        sound.emplace_back([this, i] { callSoundly("stream", i); });
    }
    EXPECT_TRUE(eventually([this, &number] {
        sendBadly("stream", number++);
        const auto rows = store_.newest(OwnTopic);
        return std::any_of(rows.begin(), rows.end(),
                           [](const auto &row) { return row.first.rfind("quarantine/", 0) == 0; });
    }));
    isStopping_ = true;
    for (std::thread &caller : sound) {
        caller.join();
    }
    edges_.clear();
    startAll();
    const auto countArrivals = [this] {
        const std::lock_guard lock(mutex_);
        return arrivals_.size();
    };
    const std::size_t before = countArrivals();
    for (int i = 0; i < 2 * Hosts; ++i) {
        sendBadly("stream", number++);
    }
    EXPECT_EQ(countArrivals(), before);
}

INSTANTIATE_TEST_SUITE_P(
        Routes, CrashingPrompts,
        testing::Values(
                PromptCase{"SentOnce", "stream", {}}, PromptCase{"Resumable", "resume", {}},
                PromptCase{"SentOnceUnderKeptIds", "stream", {RestartDelay, true}},
                PromptCase{"ToFewEndpointsUnderKeptIds", "stream", {LongRestartDelay, true}, 4, 3},
                PromptCase{"ToFewEndpointsUnderNewIds", "stream", {LongRestartDelay, false}, 4, 3}),
        [](const auto &row) { return row.param.name; });

} // namespace
