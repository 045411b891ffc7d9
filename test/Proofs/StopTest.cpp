/// Planned stops under load: no request is cut off, grants go back to the log,
/// no token is stranded.

#include <csignal>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"
#include "test/Support/Fleet.h"

using namespace sequoiagate;

namespace {

constexpr int Callers = 12;

FleetShape twoHosts()
{
    FleetShape shape;
    shape.hosts = {{"a1", "a"}, {"a2", "a"}};
    shape.endpoints = {{"engine-1", "a"}, {"engine-2", "a"}};
    shape.workspaces = {{"fretwise", 1'000'000}, {"daugavas", 1'000'000}};
    return shape;
}

struct StopRow
{
    const char *name;
    Process &(*stopped)(Fleet &);
};

class PlannedStop : public testing::TestWithParam<StopRow>
{};

/// Long streams of two workspaces by both hosts; \returns what the callers saw.
std::vector<CallerAnswer> playLoad(Fleet &fleet, Process &stopped)
{
    std::vector<CallerAnswer> answers(Callers);
    std::vector<std::thread> threads;
    for (int i = 0; i < Callers; ++i) {
        threads.emplace_back([&fleet, &answers, i] {
            const std::string workspace = i % 2 == 0 ? "fretwise" : "daugavas";
            ChatCall call = fleet.chatCall(static_cast<std::size_t>(i) % 4 / 2, workspace,
                                           fmt::format("r{}", i));
            call.prompt = "tokens=300";
            call.maxTokens = 300;
            answers[static_cast<std::size_t>(i)] = fleet.caller().chat(call);
        });
    }
    // All streams are open when the stop is asked for.
    for (int i = 0; i < Callers; ++i) {
        const std::string request = fmt::format("r{}", i);
        fleet.standins().waitFor(
                std::string(events::EndpointReceived),
                [&](const Process::Line &line) { return line.value("request", "") == request; });
    }
    stopped.signal(SIGTERM);
    for (std::thread &thread : threads) {
        thread.join();
    }
    return answers;
}

TEST_P(PlannedStop, CutsNothingOffAndStrandsNothing)
{
    // The caller sees its stream go on to its end while the program that carries it
    // has been asked to stop. Without the wait for open streams the stream ends
    // short; without closing its grants the keeper's share of the budget is stranded.
    Fleet fleet(twoHosts());
    Process &stopped = GetParam().stopped(fleet);
    for (const CallerAnswer &answer : playLoad(fleet, stopped)) {
        EXPECT_EQ(answer.status, 200) << answer.code;
        EXPECT_TRUE(answer.whole) << answer.code;
        EXPECT_EQ(answer.chunks, 300U);
    }
    EXPECT_EQ(stopped.wait(), 0);
    stopped.waitFor(std::string(events::ProcessStopped));
    std::vector<std::string> even;
    for (int i = 0; i < Callers; i += 2) {
        even.push_back(fmt::format("r{}", i));
    }
    fleet.waitBilled("fretwise", even);
    expectHolds(fleet.history());
}

INSTANTIATE_TEST_SUITE_P(Programs, PlannedStop,
                         testing::Values(StopRow{"Router",
                                                 [](Fleet &fleet) -> Process & {
                                                     return fleet.router(0);
                                                 }},
                                         StopRow{"FirstKeeper",
                                                 [](Fleet &fleet) -> Process & {
                                                     return fleet.keeper(0);
                                                 }},
                                         StopRow{"SecondKeeper",
                                                 [](Fleet &fleet) -> Process & {
                                                     return fleet.keeper(1);
                                                 }}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
