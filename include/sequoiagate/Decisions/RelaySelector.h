#ifndef SEQUOIAGATE_DECISIONS_RELAYSELECTOR_H
#define SEQUOIAGATE_DECISIONS_RELAYSELECTOR_H

/// Selects the host that relays a request of a partitioned host. Pure.
///
/// Hosts are picked at random, so that those that relay share the load evenly whatever they know
/// of each other. One that refuses or can't be reached is left out for a while: a partition often
/// hits several hosts of a failure domain. If several in a row can't be reached, this host is cut
/// off from them as well, and none is selected for a while: each try would keep a caller waiting.

#include <functional>
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
    /// How many hosts in a row have to be unreachable, and for how long none is selected then.
    static constexpr uint32_t MaxUnreachableInARow = 2;
    static constexpr Interval IsolationPause = std::chrono::seconds(1);

    explicit RelaySelector(uint64_t seed) : random_(seed) {}

    /// Sets the other hosts, without those that can't relay.
    void setHosts(std::vector<HostId> hosts);
    /// Whether a host may get the body of the request.
    using Filter = std::function<bool(const HostId &)>;
    /// \returns std::nullopt if no host that \p mayRelay is likely to relay
    std::optional<HostId> select(const Filter &mayRelay, Instant now);
    std::optional<HostId> select(Instant now)
    {
        return select([](const HostId &) { return true; }, now);
    }
    /// \p host was reached, and refused.
    void onRefused(const HostId &host, Instant now);
    void onConnected() { unreachableInARow_ = 0; }
    void onUnreachable(const HostId &host, Instant now);

private:
    std::vector<HostId> hosts_;
    std::map<HostId, Instant> pausedUntil_;
    uint32_t unreachableInARow_ = 0;
    Instant isolatedUntil_{};
    std::mt19937_64 random_;
};

} // namespace sequoiagate

#endif
