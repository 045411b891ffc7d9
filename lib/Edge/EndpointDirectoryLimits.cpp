/// Requests that wait for slots of endpoints that limit them, or are refused for these limits.

#include <algorithm>
#include <iterator>
#include <utility>

#include "sequoiagate/Edge/EndpointDirectory.h"

namespace sequoiagate {

namespace {

/// How often a request that waits for a slot of a limited endpoint is placed again.
constexpr Interval SlotPollInterval = std::chrono::milliseconds(10);

/// For this long after a request was refused because of endpoints' limits, less urgent ones of
/// the service leave them to it.
constexpr Interval ScarcityDuration = std::chrono::seconds(1);

/// Retry delays told to callers refused because of endpoints' limits: the first where this host
/// has no share that becomes free earlier.
constexpr Interval LimitRetryDelay = std::chrono::milliseconds(500);
constexpr Interval MaxLimitRetryDelay = std::chrono::seconds(2);

} // namespace

PlacementResult EndpointDirectory::awaitSlotOrRefuse(const WorkItem &item,
                                                     const std::vector<EndpointId> &tried,
                                                     const std::vector<EndpointId> &limited,
                                                     Instant now)
{
    std::vector<EndpointId> untried;
    std::copy_if(limited.begin(), limited.end(), std::back_inserter(untried),
                 [&tried](const EndpointId &id) {
                     return std::find(tried.begin(), tried.end(), id) == tried.end();
                 });
    if (const auto delay = awaitSlot(item, untried, now)) {
        return *delay;
    }
    waiting_.erase(item.request);
    return refuseByLimits(item, limited, now);
}

bool EndpointDirectory::requestSlot(const EndpointId &endpoint, Interval maxDelay, Instant now)
{
    const std::optional<SlotRequest> request = limits_.requestSlot(endpoint, maxDelay, now);
    if (request && onSlotNeeded) {
        onSlotNeeded(*request);
    }
    return request.has_value();
}

void EndpointDirectory::prefetchSlot(const ServiceId &service,
                                     const std::vector<EndpointId> &limited, Instant now)
{
    const Instant last = std::exchange(lastPlacedAt_[service], now);
    const EndpointId &endpoint = limited[nextLimited_++ % limited.size()];
    if (now < last + EndpointLimits::SlotLifetime && limits_.pendingSlots(endpoint, now) == 0) {
        requestSlot(endpoint, Interval::zero(), now);
    }
}

std::optional<PlacementDelay> EndpointDirectory::awaitSlot(const WorkItem &item,
                                                           const std::vector<EndpointId> &limited,
                                                           Instant now)
{
    const auto added =
            waiting_.try_emplace(item.request, WaitingRequest{item.service, now + MaxSlotWait});
    const Interval left = std::min(added.first->second.until, item.deadline) - now;
    if (limited.empty() || left <= Interval::zero()) {
        return std::nullopt;
    }
    const auto waiting =
            std::count_if(waiting_.begin(), waiting_.end(), [&item](const auto &entry) {
                return entry.second.service == item.service;
            });
    std::size_t pending = 0;
    for (const EndpointId &id : limited) {
        const bool isSoon = limits_.availableAt(id, now) < now + left;
        pending += limits_.pendingSlots(id, now) + (isSoon ? 1 : 0);
    }
    for (std::size_t i = 0; i < limited.size() && pending < static_cast<std::size_t>(waiting);
         ++i) {
        const EndpointId &id = limited[nextLimited_++ % limited.size()];
        pending += limits_.bookOwnSlot(id, left, now) || requestSlot(id, left, now) ? 1 : 0;
    }
    if (pending == 0) {
        return std::nullopt;
    }
    return PlacementDelay{now + SlotPollInterval};
}

bool EndpointDirectory::yieldsToMoreUrgent(const WorkItem &item, Instant now) const
{
    const auto found = scarcities_.find(item.service);
    if (found == scarcities_.end()) {
        return false;
    }
    const std::map<uint32_t, Instant> &refusedUntil = found->second.refusedUntil;
    return std::any_of(refusedUntil.begin(), refusedUntil.lower_bound(item.priority),
                       [now](const auto &refused) { return now < refused.second; });
}

Verdict EndpointDirectory::refuseByLimits(const WorkItem &item,
                                          const std::vector<EndpointId> &limited, Instant now)
{
    Scarcity &scarcity = scarcities_[item.service];
    scarcity.refusedUntil[item.priority] = now + ScarcityDuration;
    Instant earliest = now + LimitRetryDelay;
    double perSecond = 0.0;
    for (const EndpointId &id : limited) {
        earliest = std::min(earliest, std::max(limits_.availableAt(id, now), now));
        perSecond += limits_.sharePerSecond(id).value_or(0.0);
    }
    // Refused callers return one by one, as fast as this host's shares allow.
    Instant returnAt = std::max(earliest, scarcity.nextReturn);
    if (perSecond > 0.0) {
        const std::chrono::duration<double> step(1.0 / perSecond);
        scarcity.nextReturn = returnAt + std::chrono::duration_cast<Interval>(step);
    }
    returnAt = std::min(returnAt, now + MaxLimitRetryDelay);
    scarcity.nextReturn = std::min(scarcity.nextReturn, now + MaxLimitRetryDelay);
    return {Execution::NotRun, Reason::QueueFull,
            "endpoints limit their requests: " + describeLimits(limited, now), returnAt};
}

} // namespace sequoiagate
