#include "sequoiagate/Decisions/ColdEndpoints.h"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

struct ReasonName
{
    ColdReason reason;
    const char *name;
};

constexpr ReasonName ReasonNames[] = {
        {ColdReason::Stated, "stated"},         {ColdReason::Started, "started"},
        {ColdReason::TakenBack, "taken_back"},  {ColdReason::Unreachable, "unreachable"},
        {ColdReason::Reached, "reached_again"}, {ColdReason::Told, "told"}};

} // namespace

const char *ColdEndpoints::nameOf(ColdReason reason)
{
    for (const ReasonName &row : ReasonNames) {
        if (row.reason == reason) {
            return row.name;
        }
    }
    return "";
}

void ColdEndpoints::setServices(std::map<ServiceId, ColdService> services, Instant now)
{
    services_ = std::move(services);
    // Of entries that were read before.
    for (auto &[id, endpoint] : endpoints_) {
        applyEntry(endpoint, now);
    }
}

const ColdService *ColdEndpoints::serviceOf(const Endpoint &endpoint) const
{
    const auto found = services_.find(endpoint.service);
    return found == services_.end() || found->second.requestsPerSecond <= 0.0 ? nullptr
                                                                              : &found->second;
}

void ColdEndpoints::extend(Endpoint &endpoint, Instant until, ColdReason reason, Instant now)
{
    if (until > endpoint.coldUntil) {
        endpoint.coldUntil = until;
        endpoint.reason = reason;
        endpoint.knownSince = now;
    }
}

void ColdEndpoints::onEntry(const ColdEntry &entry, Instant now)
{
    const auto [found, added] = endpoints_.try_emplace(entry.endpoint);
    Endpoint &endpoint = found->second;
    if (added || endpoint.startedAtMillis != entry.startedAtMillis) {
        endpoint = Endpoint{};
        endpoint.startedAtMillis = entry.startedAtMillis;
        endpoint.firstSeen = now;
    }
    endpoint.service = entry.service;
    if (entry.left) {
        endpoint.statedUntil = now + *entry.left;
    }
    applyEntry(endpoint, now);
}

void ColdEndpoints::applyEntry(Endpoint &endpoint, Instant now) const
{
    const ColdService *service = serviceOf(endpoint);
    if (service == nullptr) {
        return;
    }
    if (endpoint.statedUntil) {
        extend(endpoint, *endpoint.statedUntil, ColdReason::Stated, now);
    } else {
        extend(endpoint, endpoint.firstSeen + service->duration, ColdReason::Started, now);
    }
}

void ColdEndpoints::onTakenBack(const EndpointId &id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    if (const ColdService *service = serviceOf(found->second)) {
        extend(found->second, now + service->duration, ColdReason::TakenBack, now);
    }
}

void ColdEndpoints::onTold(const EndpointId &id, uint64_t startedAtMillis, Instant until,
                           Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.startedAtMillis != startedAtMillis) {
        return;
    }
    if (const ColdService *service = serviceOf(found->second)) {
        extend(found->second, std::min(until, now + service->duration), ColdReason::Told, now);
    }
}

void ColdEndpoints::onConnectFailed(const EndpointId &id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end() && serviceOf(found->second) != nullptr) {
        extend(found->second, now + UnreachableLifetime, ColdReason::Unreachable, now);
    }
}

void ColdEndpoints::onConnected(const EndpointId &id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.reason != ColdReason::Unreachable
        || now >= found->second.coldUntil) {
        return;
    }
    Endpoint &endpoint = found->second;
    const ColdService *service = serviceOf(endpoint);
    endpoint.coldUntil = service == nullptr ? now : now + service->duration;
    endpoint.reason = ColdReason::Reached;
    endpoint.knownSince = now;
}

Instant ColdEndpoints::coldUntil(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? Instant() : found->second.coldUntil;
}

double ColdEndpoints::requestsPerSecond(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    const ColdService *service = found == endpoints_.end() ? nullptr : serviceOf(found->second);
    return service == nullptr ? 0.0 : service->requestsPerSecond;
}

std::size_t ColdEndpoints::coldCount(Instant now) const
{
    return static_cast<std::size_t>(
            std::count_if(endpoints_.begin(), endpoints_.end(),
                          [now](const auto &entry) { return now < entry.second.coldUntil; }));
}

std::string ColdEndpoints::describe(const EndpointId &id, Instant now) const
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || now >= found->second.coldUntil) {
        return {};
    }
    const Endpoint &endpoint = found->second;
    const auto millis = [](Interval interval) {
        return std::chrono::duration_cast<Millis>(interval).count();
    };
    return fmt::format("{}: cold for {} ms, {} {} ms ago", id.text(),
                       millis(endpoint.coldUntil - now), nameOf(endpoint.reason),
                       millis(now - endpoint.knownSince));
}

} // namespace sequoiagate
