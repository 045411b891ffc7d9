#ifndef TEST_SOAK_SCHEDULE_H
#define TEST_SOAK_SCHEDULE_H

/// A seeded schedule of planned work and failures, which overlap.

#include <string>
#include <vector>

#include "World.h"

namespace sequoiagate::soak {

/// What a seed plays.
struct SoakPlan
{
    uint64_t seed = 1;
    bool plannedOnly = false; ///< then nothing at all may be cut off, and bills are exact
    std::chrono::milliseconds length{8000};
    int disturbances = 14;
    /// All hosts lose power this often, each time while the store is silent for all or about then;
    /// single hosts lose it in between.
    int darkTimes = 0;
    /// Hosts are partitioned from all endpoints, and endpoints name limits or are silent for about
    /// a second, this often each.
    int conditions = 0;
    int notices = 0; ///< endpoints ask for backoffs, and say that they are leaving, this often each
    int crashes = 0; ///< of endpoints, for reasons of their own
    int evacuations = 0; ///< of failure domains, which may overlap
};

/// Plays \p plan on \p world while callers call, and notes in \p record what was done.
void play(const SoakPlan &plan, World &world, Record &record);

} // namespace sequoiagate::soak

#endif
