#ifndef TEST_SOAK_TRACE_H
#define TEST_SOAK_TRACE_H

/// What is kept of a failed soak: the schedule as it was played, the requests that got no whole
/// answer, and the processes' log lines about the requests of a finding.

#include <string>
#include <vector>

#include "Record.h"

namespace sequoiagate::soak {

/// The steps that were played, and each request that got no whole answer with the endpoints that
/// ran it: one a line, ordered by time in milliseconds since the first. \pre no thread writes to
/// \p record
std::string timelineOf(const Record &record);

/// The lines of the logs in \p folder that name a request of \p findings.
std::string logLinesOf(const std::vector<std::string> &findings, const std::string &folder);

} // namespace sequoiagate::soak

#endif
