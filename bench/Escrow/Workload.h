#ifndef BENCH_ESCROW_WORKLOAD_H
#define BENCH_ESCROW_WORKLOAD_H

/// A day of requests and faults in virtual time, the same for every strategy that is
/// compared on one seed.

#include <cstdint>
#include <string>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate::bench {

/// One user's fleet and demand.
struct Shape
{
    std::string name;
    std::size_t domains = 0;
    std::size_t hostsPerDomain = 0;
    std::size_t workspaces = 10;
    std::size_t requestsPerDay = 0;
    double longShare = 0; ///< share of requests that read long documents
    uint64_t longPrompt = 0;
    uint64_t shortPrompt = 0;
    uint64_t longCeiling = 0;
    uint64_t shortCeiling = 0;
};

Shape fretwise();
Shape daugavas();

/// How many faults a day has.
struct Faults
{
    int cuts = 0;
    int deaths = 0;
    std::chrono::minutes shortestCut{30};
    std::chrono::minutes longestCut{120};
};

struct Request
{
    Interval at;   ///< since the day's start
    Interval runs; ///< from reservation to settlement
    std::size_t workspace = 0;
    std::size_t domain = 0;
    uint64_t reserve = 0; ///< prompt and output ceiling
    uint64_t spend = 0;   ///< prompt and what is generated
};

/// A failure domain is separated from the others and from the log.
struct Cut
{
    Interval from;
    Interval until;
    std::size_t domain = 0;
};

/// A host's process ends without a word; another takes its place later.
struct Death
{
    Interval at;
    std::size_t host = 0;
};

struct Day
{
    std::vector<Request> requests; ///< by time
    std::vector<Cut> cuts;
    std::vector<Death> deaths;
    std::vector<uint64_t> demand; ///< tokens that each workspace would spend
};

Day makeDay(const Shape &shape, const Faults &faults, uint64_t seed);

} // namespace sequoiagate::bench

#endif
