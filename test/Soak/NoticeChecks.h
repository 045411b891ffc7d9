#ifndef TEST_SOAK_NOTICECHECKS_H
#define TEST_SOAK_NOTICECHECKS_H

/// Checks of what reaches endpoints: requests that an endpoint or an operator has asked a host not
/// to send, and requests of callers that have left.

#include <string>
#include <vector>

#include "Record.h"

namespace sequoiagate::soak {

/// Requests of a process that reach an endpoint in a backoff that it asked that process for.
void checkBackoffs(const Record &record, std::vector<std::string> &findings);

/// Requests that callers sent to a process later than it had passed on that an endpoint is leaving.
void checkLeavingByAnswer(const Record &record, std::vector<std::string> &findings);

/// Requests that callers sent to a process later than it had read that the domain of the endpoint
/// that ran them is evacuated, and that ran before the domain was taken back.
void checkEvacuations(const Record &record, std::vector<std::string> &findings);

/// Requests that endpoints ran after their callers had left.
void checkCallersThatLeft(const Record &record, std::vector<std::string> &findings);

} // namespace sequoiagate::soak

#endif
