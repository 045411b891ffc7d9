#ifndef UNITTESTS_SUPPORT_FLEETMODEL_H
#define UNITTESTS_SUPPORT_FLEETMODEL_H

/// A small model of engines at their interface, in virtual time: continuous batching
/// with a number of slots, prefill of one prompt after another, a bounded cache of
/// prefixes, load reports and cache events that come late. Routers with a policy each
/// stand before it. It knows no network and no failures of hosts.
///
/// The same seed gives the same run.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "unittests/Support/FleetPolicies.h"

namespace sequoiagate::model {

/// The fleet. The defaults are one failure domain's part at the design size, cut to 20
/// of its 140 servers: 9,000 requests and 3 million tokens a second over 840 servers
/// are 10.7 requests of 333 tokens a second each, in 150 slots at 40 ms a token.
struct FleetSettings
{
    uint32_t endpoints = 20;
    uint32_t slots = 150;
    uint32_t routers = 6;
    Interval tokenTime = std::chrono::milliseconds(40);
    Interval prefillBase = std::chrono::milliseconds(20);
    double prefillTokensPerSecond = 40'000.0;
    std::size_t cachedPrefixes = 200;
    Interval reportInterval = std::chrono::milliseconds(500);
    Interval reportLag = std::chrono::seconds(1);
    Interval cacheEventLag = std::chrono::seconds(2);
    double cacheEventLoss = 0.2;

    /// Output tokens a second with all slots busy.
    double capacity() const;
    /// Requests a second that fill it, at \p outputTokens each on average.
    double requestsPerSecond(double outputTokens) const;
};

/// What one endpoint does wrong, and when (since the start of the run).
struct EndpointFault
{
    uint32_t endpoint = 0;
    Interval from{};
    Interval until{};
    double slowFactor = 1.0;
    double failureShare = 0.0; ///< of the requests, answered with an error before they run
    bool away = false;         ///< refuses connections; reports say so
};

/// What callers send.
struct LoadSettings
{
    double utilization = 0.5; ///< of the fleet's capacity
    Interval duration = std::chrono::seconds(60);
    Interval warmUp = std::chrono::seconds(20); ///< not measured
    Interval burstFrom{};
    Interval burstUntil{};
    double burstFactor = 1.0;
    uint32_t workspaces = 210;
    double workspaceSkew = 1.2; ///< of the Zipf distribution
    uint32_t prefixes = 2000;
    double prefixSkew = 1.2;
    uint64_t promptTokens = 1000;
    uint64_t prefixTokens = 800;
    double outputTokens = 333.0; ///< mean of a geometric distribution
    double longShare = 0.0;      ///< of the requests, with longFactor times the prompt
    double longFactor = 100.0;
    double batchShare = 0.0;
    uint32_t comebacks = 0; ///< times a refused caller asks again, when it was told to
    std::vector<EndpointFault> faults;
    uint64_t seed = 1;
};

/// First-token times of a group of requests.
struct FirstTokens
{
    double p50 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
};

/// What callers got, measured after the warm-up.
struct Outcome
{
    uint64_t offered = 0; ///< requests, comebacks not counted
    uint64_t served = 0;
    FirstTokens all;         ///< seconds from the offer that was served
    FirstTokens brief;       ///< of those that aren't long
    double goodput = 0.0;    ///< tokens of streams begun within 0.63 s over the capacity
    double throughput = 0.0; ///< tokens of all streams over the capacity
    double fairness = 0.0;   ///< Jain's index of what workspaces got over their fair part
    double hitRate = 0.0;
    double loadRatio = 0.0;     ///< mean load of the busiest endpoint over that of all
    double amplification = 0.0; ///< tries over first tries
    double recovery = 0.0;      ///< seconds from the burst's end until callers see no trace of it
    std::map<Reason, uint64_t> refused;
    std::vector<uint64_t> sentTo; ///< tries by endpoint
};

Outcome play(const FleetSettings &fleet, const LoadSettings &load, const Policy &policy);

} // namespace sequoiagate::model

#endif
