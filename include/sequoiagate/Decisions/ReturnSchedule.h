#ifndef SEQUOIAGATE_DECISIONS_RETURNSCHEDULE_H
#define SEQUOIAGATE_DECISIONS_RETURNSCHEDULE_H

/// Decides when callers that were refused until a common time should return: one after another, the
/// more urgent before the others and those refused first before later ones. Pure.

#include <cstdint>
#include <map>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class ReturnSchedule
{
public:
    /// Between two callers' returns.
    static constexpr Interval Step = std::chrono::milliseconds(10);
    /// The last callers return this long after the first ones, however many there are.
    static constexpr Interval MaxSpread = std::chrono::seconds(1);

    /// \param priority 0 is the most urgent
    /// \param earliest when callers may be served again
    /// \returns when this caller should return, at \p earliest or up to MaxSpread later
    Instant assign(uint32_t priority, Instant earliest);

private:
    std::map<uint32_t, Instant> next_; ///< by priority
};

} // namespace sequoiagate

#endif
