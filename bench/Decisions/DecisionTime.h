#ifndef BENCH_DECISIONS_DECISIONTIME_H
#define BENCH_DECISIONS_DECISIONTIME_H

namespace sequoiagate::bench {

/// Prints the processor time of one choice among 140 endpoints, for each policy.
void printDecisionTimes();

} // namespace sequoiagate::bench

#endif
