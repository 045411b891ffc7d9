/// Plays every load against every policy in virtual time and prints what callers got
/// as a table in Markdown. With arguments, only the loads of those names; the argument
/// "today" plays them on a fleet of today's size, and "seed=N" on another draw. The
/// argument "time" measures the processor time of a decision instead.

#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/Decisions/DecisionTime.h"
#include "bench/Decisions/Loads.h"

using namespace sequoiagate;
using namespace sequoiagate::bench;
using namespace sequoiagate::model;

namespace {

/// The first user's today: 12 model servers behind 6 hosts, with smaller engines.
FleetSettings todaysFleet()
{
    FleetSettings fleet;
    fleet.endpoints = 12;
    fleet.slots = 40;
    fleet.routers = 6;
    fleet.cachedPrefixes = 60;
    return fleet;
}

std::vector<Policy> policies(const FleetSettings &fleet)
{
    EndpointSelectorSettings choice;
    choice.routerCount = fleet.routers;
    EndpointSelectorSettings pureAffinity = choice;
    pureAffinity.boundFactor = 1e9;
    Policy unbounded = sequoiagatePolicy({}, pureAffinity);
    unbounded.name = "sequoiagate, unbounded affinity";
    return {
            sequoiagatePolicy({}, choice),
            unbounded,
            plainChoicePolicy("random", PlainChoice::Random),
            plainChoicePolicy("round robin", PlainChoice::RoundRobin),
            plainChoicePolicy("least in flight", PlainChoice::LeastInFlight),
            plainChoicePolicy("consistent hash", PlainChoice::ConsistentHash),
            unlimitedPolicy("FIFO without limits", PlainChoice::LeastInFlight),
    };
}

std::string refusals(const Outcome &outcome)
{
    std::string text;
    for (const auto &[reason, count] : outcome.refused) {
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", reasonName(reason), count);
    }
    return text.empty() ? "none" : text;
}

void printRow(const Policy &policy, const Outcome &outcome)
{
    fmt::print("| {} | {:.0f} / {:.0f} / {:.0f} | {:.0f} / {:.0f} / {:.0f} | {:.1f}% | {:.1f}% | "
               "{:.3f} | {:.1f}% | {:.2f} | {:.3f} | {:.1f} | {} of {} | {} |\n",
               policy.name, outcome.all.p50 * 1e3, outcome.all.p95 * 1e3, outcome.all.p99 * 1e3,
               outcome.brief.p50 * 1e3, outcome.brief.p95 * 1e3, outcome.brief.p99 * 1e3,
               outcome.goodput * 100, outcome.throughput * 100, outcome.fairness,
               outcome.hitRate * 100, outcome.loadRatio, outcome.amplification, outcome.recovery,
               outcome.served, outcome.offered, refusals(outcome));
    std::fflush(stdout);
}

/// Takes "seed=N" out of the arguments.
uint64_t seedFrom(std::vector<std::string> &arguments)
{
    const std::string key = "seed=";
    const auto found = std::find_if(arguments.begin(), arguments.end(),
                                    [&](const std::string &a) { return a.rfind(key, 0) == 0; });
    if (found == arguments.end()) {
        return 1;
    }
    const uint64_t seed = std::stoull(found->substr(key.size()));
    arguments.erase(found);
    return seed;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> wanted(argv + 1, argv + argc);
    if (std::erase(wanted, "time") > 0) {
        printDecisionTimes();
        return 0;
    }
    const bool today = std::erase(wanted, "today") > 0;
    const FleetSettings fleet = today ? todaysFleet() : FleetSettings{};
    const uint64_t seed = seedFrom(wanted);
    for (Scenario scenario : scenarios()) {
        scenario.load.seed = seed;
        const bool skipped =
                !wanted.empty()
                && std::find(wanted.begin(), wanted.end(), scenario.name) == wanted.end();
        if (skipped) {
            continue;
        }
        fmt::print(
                "\n### {}\n\n"
                "| policy | first token ms p50 / p95 / p99 | of short interactive ones | goodput | "
                "throughput | Jain | prefix hits | busiest / mean | tries / first | "
                "recovery s | served | refused |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|\n",
                scenario.name);
        for (const Policy &policy : policies(fleet)) {
            printRow(policy, play(fleet, scenario.load, policy));
        }
    }
    return 0;
}
