#ifndef SEQUOIAGATE_DECISIONS_RELAYSELECTOR_H
#define SEQUOIAGATE_DECISIONS_RELAYSELECTOR_H

/// Selects the host that relays a request of a partitioned host. Pure.
///
/// Hosts are picked at random, so that those that relay share the load evenly whatever they know
/// of each other. One that refuses or can't be reached is left out for a while: a partition often
/// hits several hosts of a failure domain.

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class RelaySelector
{
public:
    /// How long a host that refused, or couldn't be reached, is left out.
    static constexpr Interval FailurePause = std::chrono::seconds(2);

    explicit RelaySelector(uint64_t seed) : random_(seed) {}

    /// Sets the other hosts, without those that can't relay.
    void setHosts(std::vector<HostId> hosts);
    /// \returns std::nullopt if no host is likely to relay
    std::optional<HostId> select(Instant now);
    void onFailed(const HostId &host, Instant now);

private:
    std::vector<HostId> hosts_;
    std::map<HostId, Instant> pausedUntil_;
    std::mt19937_64 random_;
};

} // namespace sequoiagate

#endif
