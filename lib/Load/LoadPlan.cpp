#include "sequoiagate/Load/LoadPlan.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <fmt/format.h>

#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

namespace {

constexpr double Skew = 1.2;
constexpr uint32_t Prefixes = 100;
constexpr double LongShare = 0.01;
constexpr uint32_t LongFactor = 100;

/// What sets a load apart.
struct Shape
{
    const char *name;
    double utilization; ///< of the capacity
    double burstFactor; ///< in a sixth of the load's time, in its middle
    double prefixSkew;
    bool longWork;
    bool slowEndpoint;
};

constexpr Shape Shapes[] = {
        {"burst", 0.5, 10.0, 0.0, false, false},
        {"hot-keys", 0.7, 1.0, Skew, false, false},
        {"slow-endpoint", 0.6, 1.0, Skew, false, true},
        {"long-among-short", 0.6, 1.0, Skew, true, false},
        {"saturation", 1.5, 1.0, Skew, false, false},
};

const Shape *shapeOf(const std::string &load)
{
    const auto *found = std::find_if(std::begin(Shapes), std::end(Shapes),
                                     [&](const Shape &shape) { return load == shape.name; });
    return found == std::end(Shapes) ? nullptr : found;
}

std::discrete_distribution<uint32_t> zipf(std::size_t count, double skew)
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        weights.push_back(std::pow(static_cast<double>(rank), -skew));
    }
    return std::discrete_distribution<uint32_t>(weights.begin(), weights.end());
}

double rateAt(const Shape &shape, const LoadOptions &options, double second)
{
    const double from = options.seconds / 2.0;
    const bool burst = second >= from && second < from + options.seconds / 6.0;
    return options.capacity * shape.utilization * (burst ? shape.burstFactor : 1.0);
}

} // namespace

const std::vector<std::string> &loadNames()
{
    static const std::vector<std::string> Names = [] {
        std::vector<std::string> names;
        for (const Shape &shape : Shapes) {
            names.emplace_back(shape.name);
        }
        return names;
    }();
    return Names;
}

bool needsSlowEndpoint(const std::string &load)
{
    const Shape *shape = shapeOf(load);
    return shape != nullptr && shape->slowEndpoint;
}

std::vector<PlannedRequest> planLoad(const std::string &load, const LoadOptions &options,
                                     Instant start)
{
    const Shape *shape = shapeOf(load);
    if (shape == nullptr) {
        throw LoadError(
                fmt::format("unknown load '{}'; known are {}", load, fmt::join(loadNames(), ", ")));
    }
    std::mt19937_64 random(options.seed);
    auto workspaces = zipf(std::max<std::size_t>(options.workspaces, 1), Skew);
    auto prefixes = zipf(Prefixes, shape->prefixSkew);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    std::geometric_distribution<uint32_t> output(1.0 / std::max(options.outputTokens, 1U));
    std::vector<PlannedRequest> plan;
    double second = 0.0;
    while (true) {
        std::exponential_distribution<double> gap(rateAt(*shape, options, second));
        second += gap(random);
        if (second >= options.seconds) {
            return plan;
        }
        if (plan.size() >= options.mostRequests) {
            throw LoadError(fmt::format("load '{}' has more than {} requests; lower --capacity or "
                                        "--seconds, or raise --max-requests",
                                        load, options.mostRequests));
        }
        PlannedRequest request;
        request.at = start + intervalOf(second);
        request.workspace = workspaces(random);
        request.prefix = prefixes(random);
        request.isLong = shape->longWork && uniform(random) < LongShare;
        request.promptWords = options.promptWords * (request.isLong ? LongFactor : 1);
        request.maxTokens = 1 + output(random);
        plan.push_back(request);
    }
}

} // namespace sequoiagate
