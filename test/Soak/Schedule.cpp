#include "Schedule.h"

#include <algorithm>
#include <random>
#include <thread>

namespace sequoiagate::soak {

namespace {

using Act = void (World::*)(int);

enum class Target { Host, Endpoint };

/// Whom a disturbance reaches, for the checks that excuse what it explains.
enum class Reach { Nobody, ItsHost, AllHosts };

struct Kind
{
    const char *name;
    Target target;
    Reach reach;
    int shortestMs;
    int longestMs;
    Act begin;
    Act end; ///< nullptr: it is over at once
    bool closesCallers = false;
};

/// A stop ends with the process; the new one starts behind it.
constexpr Kind Planned[] = {
        {"stop", Target::Host, Reach::Nobody, 1500, 3000, &World::beginStop, &World::endStop},
        {"reload", Target::Host, Reach::Nobody, 0, 0, &World::reload, nullptr},
        {"configure", Target::Host, Reach::Nobody, 0, 0, &World::newConfiguration, nullptr},
        {"leave", Target::Endpoint, Reach::Nobody, 500, 2500, &World::beginLeaving,
         &World::endLeaving},
};

constexpr Kind Failures[] = {
        {"kill", Target::Host, Reach::ItsHost, 100, 2500, &World::kill, &World::restart, true},
        {"pause", Target::Host, Reach::ItsHost, 100, 3500, &World::pause, &World::resume},
        {"store one way", Target::Host, Reach::ItsHost, 300, 4000, &World::holdStoreForth,
         &World::healStore},
        {"store other way", Target::Host, Reach::ItsHost, 300, 4000, &World::holdStoreBack,
         &World::healStore},
        {"store silent to one", Target::Host, Reach::ItsHost, 300, 4000, &World::silenceStore,
         &World::healStore},
        {"store far", Target::Host, Reach::ItsHost, 300, 3000, &World::delayStore,
         &World::healStore},
        {"store resets", Target::Host, Reach::ItsHost, 0, 0, &World::resetStore, nullptr},
        {"store refuses", Target::Host, Reach::AllHosts, 300, 3000, &World::refuseAll,
         &World::healAll},
        {"store silent", Target::Host, Reach::AllHosts, 300, 5000, &World::silenceAll,
         &World::healAll},
        {"answers lost", Target::Host, Reach::AllHosts, 300, 3000, &World::loseAnswers,
         &World::healAll},
        {"appends late", Target::Host, Reach::AllHosts, 500, 3000, &World::executeLate,
         &World::healAll},
        {"history forgotten", Target::Host, Reach::AllHosts, 0, 0, &World::forget, nullptr},
        {"peers lossy", Target::Host, Reach::ItsHost, 500, 4000, &World::losePeers,
         &World::healPeers},
        {"peers cut", Target::Host, Reach::ItsHost, 500, 4000, &World::silencePeers,
         &World::healPeers},
        {"callers far", Target::Host, Reach::ItsHost, 300, 2000, &World::delayCallers,
         &World::healCallers},
        {"callers reset", Target::Host, Reach::ItsHost, 0, 0, &World::resetCallers, nullptr, true},
        {"endpoint far", Target::Endpoint, Reach::AllHosts, 300, 2000, &World::delayEndpoint,
         &World::healEndpoint},
        {"endpoint silent", Target::Endpoint, Reach::AllHosts, 300, 4000, &World::silenceEndpoint,
         &World::healEndpoint},
        {"endpoint one way", Target::Endpoint, Reach::AllHosts, 300, 4000, &World::holdEndpointBack,
         &World::healEndpoint},
        {"endpoint resets", Target::Endpoint, Reach::AllHosts, 0, 0, &World::resetEndpoint,
         nullptr},
        {"endpoint spoils", Target::Endpoint, Reach::AllHosts, 1000, 5000, &World::spoilAnswers,
         &World::spoilNoAnswers},
        {"endpoint delisted", Target::Endpoint, Reach::Nobody, 500, 2500, &World::delist,
         &World::endLeaving},
};

/// Conditions under which callers are to be served. A partition excuses what is open at its host.
constexpr Kind Partitions[] = {
        {"links hang", Target::Host, Reach::ItsHost, 2000, 5000, &World::hangLinks,
         &World::healLinks},
        {"links reset", Target::Host, Reach::ItsHost, 2000, 5000, &World::resetLinks,
         &World::healLinks},
        {"links refuse", Target::Host, Reach::ItsHost, 2000, 5000, &World::refuseLinks,
         &World::healLinks},
};
constexpr Kind Limits[] = {
        {"requests limited", Target::Endpoint, Reach::Nobody, 5000, 8000, &World::limitRequests,
         &World::unlimitRequests},
        {"rejections limited", Target::Endpoint, Reach::Nobody, 5000, 8000, &World::limitRejections,
         &World::unlimitRejections},
};
constexpr Kind ShortSilence = {
        "endpoint silent for a second", Target::Endpoint,    Reach::Nobody, 800, 1300,
        &World::silenceEndpoint,        &World::healEndpoint};

constexpr Kind Notices[] = {
        {"backoffs asked for", Target::Endpoint, Reach::Nobody, 2500, 5000, &World::beginBackoffs,
         &World::endBackoffs},
        {"leaves by its answers", Target::Endpoint, Reach::Nobody, 3000, 5000, &World::sayLeaving,
         &World::endLeaving},
};

constexpr Kind EndpointCrash = {
        Disturbance::EndpointCrash, Target::Endpoint,       Reach::AllHosts, 700, 2000,
        &World::crashEndpoint,      &World::restoreEndpoint};

constexpr Kind DomainEvacuation = {"domain evacuated", Target::Endpoint, Reach::Nobody, 1500, 4000,
                                   &World::evacuate,   &World::takeBack};

/// Played apart, at moments of their own.
constexpr Kind PowerLost = {"power lost", Target::Host,      Reach::ItsHost,  100,
                            3000,         &World::losePower, &World::restart, true};
constexpr Kind StoreDark = {"store dark", Target::Host,       Reach::AllHosts, 5000,
                            8000,         &World::silenceAll, &World::healAll};

/// A step of the schedule: a disturbance begins or ends.
struct Step
{
    std::chrono::milliseconds at{};
    const Kind *kind = nullptr;
    Act act = nullptr;
    int target = 0;
    bool begins = false;
};

int between(std::mt19937_64 &random, int least, int most)
{
    return least + static_cast<int>(random() % static_cast<uint64_t>(most - least + 1));
}

const Kind &draw(std::mt19937_64 &random, bool plannedOnly)
{
    constexpr int Hundred = 100;
    constexpr int PlannedPercent = 30;
    const bool planned = plannedOnly || between(random, 1, Hundred) <= PlannedPercent;
    if (planned) {
        return Planned[random() % std::size(Planned)];
    }
    return Failures[random() % std::size(Failures)];
}

void add(std::vector<Step> &steps, const Kind &kind, int target, std::chrono::milliseconds at,
         std::chrono::milliseconds lasts)
{
    steps.push_back({at, &kind, kind.begin, target, true});
    if (kind.end != nullptr) {
        steps.push_back({at + lasts, &kind, kind.end, target, false});
    }
}

std::chrono::milliseconds duration(std::mt19937_64 &random, const Kind &kind)
{
    return std::chrono::milliseconds(between(random, kind.shortestMs, kind.longestMs));
}

/// The store falls silent before all hosts lose power, in it or after it, and hosts start again
/// one by one, before it answers or later.
void addDarkTimes(std::vector<Step> &steps, const SoakPlan &plan, const WorldShape &shape)
{
    constexpr int MostDelayMs = 1000;
    // Apart from the other steps, which stay as they are.
    std::mt19937_64 random(~plan.seed);
    for (int i = 0; i < plan.darkTimes; ++i) {
        const auto part = plan.length / plan.darkTimes;
        const auto from = i * part + std::chrono::milliseconds(between(random, 0, MostDelayMs));
        const auto silent = duration(random, StoreDark);
        add(steps, StoreDark, 0, from, silent);
        // Mostly when holders have gone on beyond what their rows say.
        const int earliest = between(random, 1, 4) == 1 ? -MostDelayMs : StoreDark.shortestMs;
        const int latest = static_cast<int>(silent.count()) + MostDelayMs;
        const auto darkAt = from + std::chrono::milliseconds(between(random, earliest, latest));
        for (int host = 0; host < shape.hosts; ++host) {
            add(steps, PowerLost, host, darkAt, duration(random, PowerLost));
        }
        const int alone = between(random, 0, shape.hosts - 1);
        const std::chrono::milliseconds aloneAt(
                between(random, 0, static_cast<int>(plan.length.count())));
        add(steps, PowerLost, alone, aloneAt, duration(random, PowerLost));
    }
}

void addConditions(std::vector<Step> &steps, const SoakPlan &plan, const WorldShape &shape)
{
    // Apart from the other steps, which stay as they are.
    std::mt19937_64 random(plan.seed ^ 0x5bd1e995U);
    const auto addOne = [&](const Kind &kind) {
        const int most = kind.target == Target::Host ? shape.hosts : shape.endpoints;
        const std::chrono::milliseconds at(
                between(random, 0, static_cast<int>(plan.length.count()) / 2));
        add(steps, kind, between(random, 0, most - 1), at, duration(random, kind));
    };
    for (int i = 0; i < plan.conditions; ++i) {
        addOne(Partitions[random() % std::size(Partitions)]);
        addOne(Limits[random() % std::size(Limits)]);
        addOne(ShortSilence);
    }
}

void addNotices(std::vector<Step> &steps, const SoakPlan &plan, const WorldShape &shape)
{
    // Apart from the other steps, which stay as they are.
    std::mt19937_64 random(plan.seed ^ 0x85ebca6bU);
    for (int i = 0; i < plan.notices; ++i) {
        for (const Kind &kind : Notices) {
            const std::chrono::milliseconds at(
                    between(random, 0, static_cast<int>(plan.length.count()) / 2));
            add(steps, kind, between(random, 0, shape.endpoints - 1), at, duration(random, kind));
        }
    }
}

void addCrashes(std::vector<Step> &steps, const SoakPlan &plan, const WorldShape &shape)
{
    // Apart from the other steps, which stay as they are.
    std::mt19937_64 random(plan.seed ^ 0x9e3779b9U);
    for (int i = 0; i < plan.crashes; ++i) {
        const std::chrono::milliseconds at(
                between(random, 0, static_cast<int>(plan.length.count())));
        add(steps, EndpointCrash, between(random, 0, shape.endpoints - 1), at,
            duration(random, EndpointCrash));
    }
}

void addEvacuations(std::vector<Step> &steps, const SoakPlan &plan, const WorldShape &shape)
{
    // Apart from the other steps, which stay as they are.
    std::mt19937_64 random(plan.seed ^ 0xc2b2ae35U);
    for (int i = 0; i < plan.evacuations; ++i) {
        const std::chrono::milliseconds at(
                between(random, 0, static_cast<int>(plan.length.count()) / 2));
        add(steps, DomainEvacuation, between(random, 0, shape.endpoints - 1), at,
            duration(random, DomainEvacuation));
    }
}

std::vector<Step> steps(const SoakPlan &plan, const WorldShape &shape)
{
    std::mt19937_64 random(plan.seed);
    std::vector<Step> steps;
    for (int i = 0; i < plan.disturbances; ++i) {
        const Kind &kind = draw(random, plan.plannedOnly);
        const int most = kind.target == Target::Host ? shape.hosts : shape.endpoints;
        const int target = between(random, 0, most - 1);
        const std::chrono::milliseconds at(
                between(random, 0, static_cast<int>(plan.length.count())));
        add(steps, kind, target, at, duration(random, kind));
    }
    addDarkTimes(steps, plan, shape);
    addConditions(steps, plan, shape);
    addNotices(steps, plan, shape);
    addCrashes(steps, plan, shape);
    addEvacuations(steps, plan, shape);
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step &a, const Step &b) { return a.at < b.at; });
    return steps;
}

void note(Record &record, const Step &step, Instant now)
{
    if (step.kind->reach == Reach::Nobody) {
        return;
    }
    const int host = step.kind->reach == Reach::AllHosts ? Disturbance::AllHosts : step.target;
    const std::lock_guard lock(record.mutex);
    if (step.begins) {
        // Until its end is noted it lasts.
        const Instant until =
                step.kind->end == nullptr ? now : Instant::max() - std::chrono::hours(1);
        record.unplanned.push_back({step.kind->name, host, now, until, step.kind->closesCallers});
        return;
    }
    for (Disturbance &disturbance : record.unplanned) {
        if (disturbance.what == step.kind->name && disturbance.host == host) {
            disturbance.until = std::min(disturbance.until, now);
        }
    }
}

} // namespace

void play(const SoakPlan &plan, World &world, Record &record)
{
    record.exact = plan.plannedOnly;
    const Instant start = std::chrono::steady_clock::now();
    for (const Step &step : steps(plan, world.shape())) {
        std::this_thread::sleep_until(start + step.at);
        const Instant before = std::chrono::steady_clock::now();
        if (step.begins) {
            note(record, step, before);
        }
        (world.*step.act)(step.target);
        const Instant after = std::chrono::steady_clock::now();
        if (!step.begins) {
            note(record, step, after);
        }
        record.played.push_back({step.kind->name, step.begins, step.target, before, after});
    }
    std::this_thread::sleep_until(start + plan.length);
}

} // namespace sequoiagate::soak
