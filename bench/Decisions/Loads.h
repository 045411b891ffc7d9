#ifndef BENCH_DECISIONS_LOADS_H
#define BENCH_DECISIONS_LOADS_H

/// The loads that the policies are measured under.

#include <string>
#include <vector>

#include "unittests/Support/FleetModel.h"

namespace sequoiagate::bench {

/// A load with what it is compared to.
struct Scenario
{
    std::string name;
    model::LoadSettings load;
};

/// The five loads of the brief, an endpoint that returns, one that fails, and the runs
/// without their fault that they are compared to.
std::vector<Scenario> scenarios();

} // namespace sequoiagate::bench

#endif
