/// A randomized soak: edges as processes, callers that keep calling, and failures from outside
/// that overlap. The promises are checked from what callers and endpoints saw.
///
/// By hand, other seeds: SEQUOIAGATE_SOAK_SEEDS=FIRST:COUNT, with SEQUOIAGATE_SOAK_HOSTS and
/// SEQUOIAGATE_SOAK_SECONDS for larger and longer ones; SEQUOIAGATE_KEEP=1 keeps the logs; those of
/// a seed that fails are always kept.

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "Checks.h"
#include "HoldUps.h"
#include "Schedule.h"
#include "Trace.h"

using namespace sequoiagate;
using namespace sequoiagate::soak;

namespace {

/// Every so many seeds only planned work is played.
constexpr uint64_t PlannedEach = 4;
/// In the seeds of this remainder of it, hosts lose power: all of them, more than once.
constexpr uint64_t DarkRemainder = 3;
/// In the seeds of this remainder of so many, callers return after about the idle limit.
constexpr uint64_t IdleEach = 8;
constexpr uint64_t IdleRemainder = 6;
constexpr std::chrono::milliseconds IdleLimit(250);
/// In the seeds of this remainder of so many, hosts are partitioned from endpoints, which name
/// limits.
constexpr uint64_t ConditionsEach = 8;
constexpr uint64_t ConditionsRemainder = 1;

/// In the seeds of this remainder of so many, endpoints crash, most of them by a part of prompts.
constexpr uint64_t CrashesEach = 8;
constexpr uint64_t CrashesRemainder = 5;

/// In the seeds of this remainder of so many, endpoints ask for backoffs and say that they are
/// leaving.
constexpr uint64_t NoticesEach = 8;
constexpr uint64_t NoticesRemainder = 2;

/// In the seeds of this remainder of so many, failure domains are evacuated, and endpoints are cold
/// after their starts.
constexpr uint64_t EvacuationsEach = 11;
constexpr uint64_t EvacuationsRemainder = 1;

/// In the seeds of this remainder of so many, endpoints and callers are unequal.
constexpr uint64_t UnequalEach = 5;
constexpr uint64_t UnequalRemainder = 2;

int numberFrom(const char *variable, int otherwise)
{
    const char *const text = std::getenv(variable);
    return text == nullptr ? otherwise : std::atoi(text);
}

/// The seeds that are always run: some for each kind of schedule, and each that ever failed.
std::vector<uint64_t> seeds()
{
    const char *const text = std::getenv("SEQUOIAGATE_SOAK_SEEDS");
    if (text == nullptr) {
        return {4, 5, 6, 7, 9, 10, 12, 15, 17, 34, 1020};
    }
    const std::string range(text);
    const uint64_t first = std::stoull(range);
    const std::size_t colon = range.find(':');
    const uint64_t count = colon == std::string::npos ? 1 : std::stoull(range.substr(colon + 1));
    std::vector<uint64_t> chosen;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        chosen.push_back(seed);
    }
    return chosen;
}

/// Prints what is needed to trace a seed that failed, beside its logs.
void report(uint64_t seed, const Record &record, const ScratchFolder &scratch)
{
    const std::vector<std::string> broken = brokenPromises(record);
    if (broken.empty()) {
        return;
    }
    const std::string timeline = timelineOf(record);
    scratch.write("timeline.txt", timeline);
    for (const std::string &promise : broken) {
        ADD_FAILURE() << "seed " << seed << ": " << promise;
    }
    fmt::print("{}{}", timeline, logLinesOf(broken, scratch.path("")));
}

class Soak : public testing::TestWithParam<uint64_t>
{};

TEST_P(Soak, KeepsItsPromises)
{
    constexpr int DisturbancesASecond = 2;
    SoakPlan plan;
    plan.seed = GetParam();
    plan.plannedOnly = plan.seed % PlannedEach == 0;
    const int seconds = numberFrom("SEQUOIAGATE_SOAK_SECONDS", 8);
    const bool dark = plan.seed % PlannedEach == DarkRemainder;
    plan.length = std::chrono::seconds(dark ? 2 * seconds : seconds);
    plan.disturbances = DisturbancesASecond * seconds;
    plan.darkTimes = dark ? std::max(2, seconds / 4) : 0;
    WorldShape shape;
    shape.seed = plan.seed;
    if (plan.seed % ConditionsEach == ConditionsRemainder) {
        plan.conditions = std::max(2, seconds / 4);
        plan.length += std::chrono::seconds(4);
        shape.ownLinks = true;
    }
    if (plan.seed % NoticesEach == NoticesRemainder) {
        plan.notices = std::max(2, seconds / 4);
        plan.length += std::chrono::seconds(4);
    }
    if (plan.seed % CrashesEach == CrashesRemainder) {
        plan.crashes = seconds / 4;
        plan.length += std::chrono::seconds(6);
        shape.hasCrashingPart = true;
    }
    if (plan.seed % EvacuationsEach == EvacuationsRemainder) {
        plan.evacuations = std::max(2, seconds / 4);
        plan.length += std::chrono::seconds(4);
        shape.hasColdStarts = true;
    }
    shape.hasUnequalLoad = plan.seed % UnequalEach == UnequalRemainder;
    shape.hosts = numberFrom("SEQUOIAGATE_SOAK_HOSTS", shape.hosts);
    if (plan.seed % IdleEach == IdleRemainder) {
        shape.idleLimit = IdleLimit;
    }
    // Holders that have much to do use much of what they have while the store is silent.
    shape.callers = (dark ? 8 : 2) * shape.hosts;
    shape.smallBudget = dark ? 4 * shape.smallBudget : shape.smallBudget;
    Record record;
    ScratchFolder scratch;
    HoldUps holdUps;
    {
        World world(shape, record, scratch);
        {
            Callers callers(world.view(), record, shape.callers, plan.seed, shape.idleLimit);
            play(plan, world, record);
        }
        world.finish();
    }
    const std::vector<PlayedStep> heldUp = holdUps.stop();
    record.played.insert(record.played.end(), heldUp.begin(), heldUp.end());
    report(plan.seed, record, scratch);
    std::map<std::string, int> outcomes;
    for (const Attempt &attempt : record.attempts) {
        ++outcomes[fmt::format("{} {}", attempt.route,
                               attempt.whole ? "whole" : std::to_string(attempt.status))];
        if (attempt.resumedAt > 0) {
            ++outcomes[attempt.events > attempt.resumedAt ? "taken up, went on" : "taken up"];
        }
        if (attempt.crashesEndpoints) {
            ++outcomes[attempt.reason == "prompt_quarantined" ? "crashing, refused" : "crashing"];
        }
    }
    for (const Arrival &arrival : record.arrivals) {
        outcomes["backoffs asked for"] += arrival.backoff > Interval::zero() ? 1 : 0;
        outcomes["told of leaving"] += arrival.saidLeaving ? 1 : 0;
    }
    outcomes["crashes by a part"] = static_cast<int>(record.partCrashes.size());
    for (const auto &[outcome, count] : outcomes) {
        RecordProperty(outcome, count);
        if (std::getenv("SEQUOIAGATE_SOAK_SEEDS") != nullptr) {
            fmt::print("{}: {}\n", outcome, count);
        }
    }
    EXPECT_GT(outcomes["chat whole"], 0);
    EXPECT_GT(outcomes["once whole"], 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, testing::ValuesIn(seeds()),
                         [](const auto &row) { return fmt::format("Seed{}", row.param); });

} // namespace
