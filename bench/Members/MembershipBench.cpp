/// What membership costs and how well it judges, at 9, 60 and 370 members: the pure
/// state machines in one process, over a network in virtual time.
/// Usage: bench-Members [all|quiet|loss|detection|healing [MEMBERS ...]]

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "unittests/Support/GossipNetwork.h"

using namespace sequoiagate;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr double Loss = 0.05;
constexpr int Deaths = 10;
constexpr int LossMinutes = 10;
constexpr minutes CutTime{10};
/// Asking all members about all others is slow; whole seconds do here.
constexpr seconds CheckPeriod{1};

double inSeconds(Interval interval)
{
    return std::chrono::duration<double>(interval).count();
}

GossipNetwork joinedNetwork(std::size_t members, double loss, uint32_t indirectProbes,
                            uint64_t seed)
{
    GossipNetwork::Options options;
    options.members = members;
    options.loss = loss;
    options.seed = seed;
    options.membership.indirectProbes = indirectProbes;
    GossipNetwork net(options);
    const auto took = net.runUntil([&] { return net.converged(); }, minutes(5), CheckPeriod);
    if (!took) {
        fmt::print("members {} didn't all join within 5 minutes\n", members);
        std::exit(1);
    }
    fmt::print("  all started at once, {:.0f}% loss: joined after {:.0f} s\n", loss * 100,
               inSeconds(*took));
    // The announcements of the joins die down before anything is measured.
    net.run(minutes(1));
    net.clearObservations();
    net.takeTraffic();
    return net;
}

void printTraffic(const char *what, GossipNetwork &net, std::size_t members, Interval duration)
{
    const GossipNetwork::Traffic traffic = net.takeTraffic();
    const double nodeSeconds = static_cast<double>(members) * inSeconds(duration);
    fmt::print("  {}: {:.0f} bytes and {:.1f} datagrams sent a second a node, largest {} bytes\n",
               what, static_cast<double>(traffic.bytes) / nodeSeconds,
               static_cast<double>(traffic.datagrams) / nodeSeconds, traffic.largest);
}

void measureQuiet(std::size_t members, uint32_t indirectProbes)
{
    GossipNetwork net = joinedNetwork(members, 0.0, indirectProbes, 1);
    const auto begin = std::chrono::steady_clock::now();
    net.run(minutes(2));
    const auto used = std::chrono::steady_clock::now() - begin;
    printTraffic("no loss", net, members, minutes(2));
    fmt::print("  processor: {:.0f} us a second a node, the simulated network included\n",
               inSeconds(used) * 1e6 / (static_cast<double>(members) * inSeconds(minutes(2))));
}

void measureLoss(std::size_t members, uint32_t indirectProbes)
{
    GossipNetwork net = joinedNetwork(members, Loss, indirectProbes, 2);
    const minutes duration(LossMinutes);
    net.run(duration);
    printTraffic("5% loss", net, members, duration);
    std::size_t begun = 0;
    std::size_t deaths = 0;
    for (const auto &observation : net.observations()) {
        const wire::MemberHealth health = observation.change.member.health();
        // The first to suspect a member under one refutation began that suspicion.
        begun += health == wire::MEMBER_SUSPECT ? 1 : 0;
        deaths += health == wire::MEMBER_DEAD ? 1 : 0;
    }
    std::vector<std::pair<std::string, uint64_t>> suspicions;
    for (const auto &observation : net.observations()) {
        const wire::MemberEntry &member = observation.change.member;
        if (member.health() == wire::MEMBER_SUSPECT) {
            suspicions.emplace_back(member.incarnation(), member.refutation());
        }
    }
    std::sort(suspicions.begin(), suspicions.end());
    suspicions.erase(std::unique(suspicions.begin(), suspicions.end()), suspicions.end());
    const double hours =
            inSeconds(duration) / inSeconds(minutes(60)) * static_cast<double>(members);
    fmt::print("  5% loss: {} false suspicions ({:.2f} a node an hour), seen {} times, {} false "
               "deaths seen, in {} minutes\n",
               suspicions.size(), static_cast<double>(suspicions.size()) / hours, begun, deaths,
               LossMinutes);
}

void measureDetection(std::size_t members, double loss, uint32_t indirectProbes)
{
    GossipNetwork net = joinedNetwork(members, loss, indirectProbes, 3);
    std::vector<double> first;
    std::vector<double> all;
    for (int i = 0; i < Deaths; ++i) {
        const std::size_t victim = (static_cast<std::size_t>(i) * 7 + 1) % members;
        net.kill(victim);
        const std::size_t others = members - 1;
        const auto toFirst =
                net.runUntil([&] { return net.believersIn(victim) < others; }, minutes(2));
        const auto toAll = net.runUntil([&] { return net.believersIn(victim) == 0; }, minutes(2));
        if (!toFirst || !toAll) {
            fmt::print("  a death was not seen by all within 2 minutes\n");
            continue;
        }
        first.push_back(inSeconds(*toFirst));
        all.push_back(inSeconds(*toFirst + *toAll));
        net.restart(victim);
        net.runUntil([&] { return net.converged(); }, minutes(5), CheckPeriod);
        net.run(seconds(30));
    }
    std::sort(first.begin(), first.end());
    std::sort(all.begin(), all.end());
    if (!all.empty()) {
        fmt::print(
                "  death at {:.0f}% loss: seen by the first after {:.2f} s (median), by all after "
                "{:.2f} s (median), {:.2f} s (worst of {})\n",
                loss * 100, first[first.size() / 2], all[all.size() / 2], all.back(), all.size());
    }
}

void measureHealing(std::size_t members, uint32_t indirectProbes)
{
    GossipNetwork net = joinedNetwork(members, 0.0, indirectProbes, 4);
    net.cutAt(members / 2);
    net.run(CutTime);
    net.clearObservations();
    net.takeTraffic();
    net.cutAt(0);
    const auto took = net.runUntil([&] { return net.converged(); }, minutes(10), CheckPeriod);
    if (!took) {
        fmt::print("  the halves didn't find each other within 10 minutes\n");
        return;
    }
    fmt::print("  cut in halves for 10 minutes: whole {:.0f} s after its end\n", inSeconds(*took));
    printTraffic("while healing", net, members, *took);
}

void measureDetectionBothWays(std::size_t members, uint32_t indirectProbes)
{
    measureDetection(members, 0.0, indirectProbes);
    measureDetection(members, Loss, indirectProbes);
}

struct Matter
{
    const char *name;
    void (*measure)(std::size_t members, uint32_t indirectProbes);
};

constexpr Matter Matters[] = {{"quiet", measureQuiet},
                              {"loss", measureLoss},
                              {"detection", measureDetectionBothWays},
                              {"healing", measureHealing}};

} // namespace

int main(int argc, char **argv)
{
    // A line at a time: a run of hundreds of members takes minutes.
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    const std::string wanted = argc > 1 ? argv[1] : "all";
    std::vector<std::size_t> sizes;
    for (int i = 2; i < argc; ++i) {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    if (sizes.empty()) {
        sizes = {9, 60, 370};
    }
    const uint32_t indirectProbes = MembershipSettings().indirectProbes;
    for (const std::size_t members : sizes) {
        fmt::print("{} members\n", members);
        for (const Matter &matter : Matters) {
            if (wanted == "all" || wanted == matter.name) {
                matter.measure(members, indirectProbes);
            }
        }
    }
    return 0;
}
