#ifndef TEST_SOAK_CHECKS_H
#define TEST_SOAK_CHECKS_H

/// The promises of the system, held against what a soak saw from outside.

#include <string>
#include <vector>

#include "Record.h"

namespace sequoiagate::soak {

/// One broken promise a line, each beginning with the promise's name. Empty: all were kept.
/// Thread safe for different records.
std::vector<std::string> brokenPromises(const Record &record);

/// Whether no failure that was played reaches \p attempt.
bool undisturbed(const Record &record, const Attempt &attempt);

} // namespace sequoiagate::soak

#endif
