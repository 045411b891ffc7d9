#ifndef TEST_SUPPORT_PROCESSCOST_H
#define TEST_SUPPORT_PROCESSCOST_H

/// What a process has cost so far, read from /proc. For the bench programs.

#include <chrono>
#include <cstdint>

#include <sys/types.h>

namespace sequoiagate {

/// User and system time; 0 for a process that is gone. In steps of 10 ms.
std::chrono::microseconds processorTime(pid_t id);

/// Memory in use; 0 for a process that is gone.
int64_t residentBytes(pid_t id);

} // namespace sequoiagate

#endif
