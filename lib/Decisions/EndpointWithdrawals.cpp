#include "sequoiagate/Decisions/EndpointWithdrawals.h"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiagate {

void EndpointWithdrawals::setEndpoint(const EndpointId &endpoint, uint64_t startedAtMillis)
{
    Endpoint &known = endpoints_[endpoint];
    if (known.startedAtMillis != startedAtMillis) {
        known = Endpoint{};
        known.startedAtMillis = startedAtMillis;
    }
    known.dropAt = Never;
}

void EndpointWithdrawals::removeEndpoint(const EndpointId &endpoint, Instant now)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        found->second.dropAt = now + DelistedLifetime;
    }
}

void EndpointWithdrawals::dropExpired(Instant now)
{
    std::erase_if(endpoints_, [now](const auto &entry) { return now >= entry.second.dropAt; });
}

EndpointWithdrawals::Endpoint *EndpointWithdrawals::findProcess(const NoticeSource &source,
                                                                Instant now)
{
    const auto [found, added] = endpoints_.try_emplace(source.endpoint);
    Endpoint &known = found->second;
    if (added) {
        known.startedAtMillis = source.startedAtMillis;
        known.dropAt = now + DelistedLifetime;
    }
    return known.startedAtMillis == source.startedAtMillis ? &known : nullptr;
}

bool EndpointWithdrawals::onLeaving(const NoticeSource &source, Instant now)
{
    Endpoint *endpoint = findProcess(source, now);
    if (endpoint == nullptr || endpoint->leaving) {
        return false;
    }
    endpoint->leaving = Statement{source.request, now};
    return true;
}

bool EndpointWithdrawals::isLeaving(const EndpointId &endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return found != endpoints_.end() && found->second.leaving;
}

std::size_t EndpointWithdrawals::leavingCount() const
{
    const auto isListedAndLeaving = [](const auto &entry) {
        return entry.second.dropAt == Never && entry.second.leaving;
    };
    return static_cast<std::size_t>(
            std::count_if(endpoints_.begin(), endpoints_.end(), isListedAndLeaving));
}

std::string EndpointWithdrawals::describe(const EndpointId &endpoint, Instant now) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || !found->second.leaving) {
        return {};
    }
    const Statement &leaving = *found->second.leaving;
    return fmt::format("{}: leaving, said {} ms ago to {}", endpoint.text(),
                       std::chrono::duration_cast<Millis>(now - leaving.saidAt).count(),
                       leaving.request.text());
}

} // namespace sequoiagate
