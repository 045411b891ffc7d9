#ifndef SEQUOIAGATE_DECISIONS_UNLISTEDLIMITS_H
#define SEQUOIAGATE_DECISIONS_UNLISTEDLIMITS_H

/// The limits of endpoints' processes that this host doesn't list now. Pure.
///
/// Hosts read the rows of endpoints at different times, and an older row may be read after a newer
/// one. A limit belongs to the process that named it, so that it must be there when this host lists
/// that process, again or for the first time.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "sequoiagate/Decisions/EndpointLimitRecord.h"

namespace sequoiagate {

/// Not thread safe.
class UnlistedLimits
{
public:
    /// How long a record is kept after it was observed.
    static constexpr Interval Lifetime = std::chrono::minutes(2);

    /// Keeps \p record, unless a newer one of its process is kept. One without a limit ends what an
    /// older one said.
    void keep(const EndpointLimitRecord &record);
    /// Returns what is kept of a process, and keeps it no longer.
    std::optional<EndpointLimitRecord> take(const EndpointId &endpoint, uint64_t startedAtMillis);
    /// Drops what was kept for long enough. To be called now and then.
    void dropExpired(Instant now);
    std::size_t size() const { return records_.size(); }

private:
    std::map<std::pair<EndpointId, uint64_t>, EndpointLimitRecord> records_;
};

} // namespace sequoiagate

#endif
