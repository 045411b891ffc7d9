#include "sequoiagate/Decisions/ReturnSchedule.h"

#include <algorithm>

namespace sequoiagate {

Instant ReturnSchedule::assign(uint32_t priority, Instant earliest)
{
    Instant at = earliest;
    const auto lessUrgent = next_.upper_bound(priority);
    for (auto entry = next_.begin(); entry != lessUrgent; ++entry) {
        at = std::max(at, entry->second);
    }
    at = std::min(at, earliest + MaxSpread);
    next_[priority] = at + Step;
    return at;
}

} // namespace sequoiagate
