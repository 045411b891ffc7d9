#include "bench/Escrow/Workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace sequoiagate::bench {

namespace {

constexpr double DaySeconds = 24 * 3600;

Interval fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Interval>(std::chrono::duration<double>(seconds));
}

/// A moment of the day: opening hours see three times the demand of the night.
double drawMoment(std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    while (true) {
        const double moment = uniform(random);
        const double load = 1 - 0.5 * std::cos(2 * std::numbers::pi * moment);
        if (uniform(random) * 1.5 < load) {
            return moment * DaySeconds;
        }
    }
}

Request makeRequest(const Shape &shape, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<double> zipf;
    for (std::size_t rank = 1; rank <= shape.workspaces; ++rank) {
        zipf.push_back(1.0 / static_cast<double>(rank));
    }
    std::discrete_distribution<std::size_t> workspace(zipf.begin(), zipf.end());
    const bool isLong = uniform(random) < shape.longShare;
    const uint64_t typicalPrompt = isLong ? shape.longPrompt : shape.shortPrompt;
    const uint64_t ceiling = isLong ? shape.longCeiling : shape.shortCeiling;
    const auto prompt = static_cast<uint64_t>(static_cast<double>(typicalPrompt)
                                              * (0.3 + 1.4 * uniform(random)));
    const double used = 0.1 + 0.9 * uniform(random);
    Request request;
    request.at = fromSeconds(drawMoment(random));
    request.runs = fromSeconds((isLong ? 20 : 5) * (0.5 + uniform(random)));
    request.workspace = workspace(random);
    request.domain = random() % shape.domains;
    request.reserve = prompt + ceiling;
    request.spend = prompt + static_cast<uint64_t>(static_cast<double>(ceiling) * used);
    return request;
}

} // namespace

Shape fretwise()
{
    return {"Fretwise", 4, 2, 10, 40'000, 0.15, 5'000, 600, 2'048, 512};
}

Shape daugavas()
{
    return {"Daugavas", 3, 3, 10, 20'000, 0.4, 6'000, 800, 1'024, 512};
}

Day makeDay(const Shape &shape, const Faults &faults, uint64_t seed)
{
    std::mt19937_64 random(seed);
    Day day;
    day.demand.assign(shape.workspaces, 0);
    for (std::size_t index = 0; index < shape.requestsPerDay; ++index) {
        const Request request = makeRequest(shape, random);
        day.demand[request.workspace] += request.spend;
        day.requests.push_back(request);
    }
    std::sort(day.requests.begin(), day.requests.end(),
              [](const Request &left, const Request &right) { return left.at < right.at; });
    std::uniform_real_distribution<double> moment(0, DaySeconds);
    std::uniform_real_distribution<double> length(
            std::chrono::duration<double>(faults.shortestCut).count(),
            std::chrono::duration<double>(faults.longestCut).count() + 1e-9);
    for (int cut = 0; cut < faults.cuts; ++cut) {
        const double from = moment(random);
        day.cuts.push_back(
                {fromSeconds(from), fromSeconds(from + length(random)), random() % shape.domains});
    }
    for (int death = 0; death < faults.deaths; ++death) {
        const double at = moment(random);
        day.deaths.push_back({fromSeconds(at), random() % (shape.domains * shape.hostsPerDomain)});
    }
    return day;
}

} // namespace sequoiagate::bench
