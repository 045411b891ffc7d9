#include "sequoiagate/Decisions/EndpointLimits.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// An endpoint is sent requests at this rate at least, so that the end of its limit is noticed.
constexpr double MinRequestsPerSecond = 0.2;

/// Part of the interval between two requests of a share that may be made up for later.
constexpr double BurstShare = 0.4;

/// Relative change of a limit that other hosts are told at once; they learn others in time.
constexpr double NoticeableChange = 0.1;

bool hasLimit(const EndpointLimitRecord &record)
{
    return record.maxRequestsPerSecond || record.maxRejectionsPerSecond;
}

bool differsNoticeably(const std::optional<double> &before, const std::optional<double> &after)
{
    if (!before || !after) {
        return before.has_value() != after.has_value();
    }
    return std::abs(*before - *after) > NoticeableChange * *before;
}

Interval asInterval(std::chrono::duration<double> duration)
{
    return std::chrono::duration_cast<Interval>(duration);
}

} // namespace

std::size_t EndpointLimits::holderCount(double perSecond, std::size_t hosts)
{
    constexpr double MinHolders = 2.0;
    constexpr double HoldersPerRequest = 0.8;
    const double wanted = MinHolders + std::floor(HoldersPerRequest * perSecond);
    return wanted >= static_cast<double>(hosts) ? std::max<std::size_t>(hosts, 1)
                                                : static_cast<std::size_t>(wanted);
}

void EndpointLimits::setHosts(std::vector<HostId> hosts)
{
    hosts_ = std::move(hosts);
    for (auto &[id, endpoint] : endpoints_) {
        computeShare(endpoint);
    }
}

void EndpointLimits::setEndpoint(const EndpointId &endpoint, uint64_t startedAtMillis)
{
    const auto [found, added] = endpoints_.try_emplace(endpoint);
    EndpointLimitRecord &known = found->second.record;
    if (!added && known.startedAtMillis == startedAtMillis) {
        return;
    }
    EndpointLimitRecord unlimited;
    unlimited.endpoint = endpoint;
    unlimited.startedAtMillis = startedAtMillis;
    apply(found->second, unlimited);
    found->second.lastNamedAt = Instant();
}

void EndpointLimits::removeEndpoint(const EndpointId &endpoint)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        limitedCount_ -= hasLimit(found->second.record) ? 1 : 0;
        endpoints_.erase(found);
    }
}

void EndpointLimits::apply(Endpoint &endpoint, const EndpointLimitRecord &record)
{
    limitedCount_ -= hasLimit(endpoint.record) ? 1 : 0;
    limitedCount_ += hasLimit(record) ? 1 : 0;
    endpoint.record = record;
    computeShare(endpoint);
}

void EndpointLimits::computeShare(Endpoint &endpoint) const
{
    const std::optional<double> &limit = endpoint.record.maxRequestsPerSecond;
    if (!limit) {
        endpoint.isHolder = true;
        return;
    }
    // Without the list of hosts the share isn't known, and the whole limit would be used.
    if (hosts_.empty()) {
        endpoint.isHolder = false;
        return;
    }
    const std::string &key = endpoint.record.endpoint.text();
    const std::size_t holders = holderCount(*limit, hosts_.size());
    const uint64_t own = rendezvousWeight(key, self_.text());
    const auto before = std::count_if(hosts_.begin(), hosts_.end(), [&](const HostId &host) {
        return host != self_ && rendezvousWeight(key, host.text()) > own;
    });
    endpoint.isHolder = static_cast<std::size_t>(before) < holders;
    endpoint.share = std::max(*limit, MinRequestsPerSecond) / static_cast<double>(holders);
}

bool EndpointLimits::onNotice(const EndpointId &id, const EndpointNotice &notice, Instant sentAt,
                              Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return false;
    }
    Endpoint &endpoint = found->second;
    const EndpointLimitRecord known = endpoint.record;
    const bool names = notice.maxRequestsPerSecond || notice.maxRejectionsPerSecond;
    // A response that left before the limit was named may arrive after one that names it.
    const bool mayBeOlder = !names && sentAt <= endpoint.lastNamedAt;
    if (mayBeOlder || (!names && !hasLimit(known))) {
        return false;
    }
    EndpointLimitRecord record = known;
    record.maxRequestsPerSecond = notice.maxRequestsPerSecond;
    record.maxRejectionsPerSecond = notice.maxRejectionsPerSecond;
    record.observedAt = now;
    apply(endpoint, record);
    endpoint.lastNamedAt = names ? now : endpoint.lastNamedAt;
    return known.maxRejectionsPerSecond != record.maxRejectionsPerSecond
           || differsNoticeably(known.maxRequestsPerSecond, record.maxRequestsPerSecond);
}

bool EndpointLimits::onRecord(const EndpointLimitRecord &record, Instant now)
{
    const auto found = endpoints_.find(record.endpoint);
    if (found == endpoints_.end()) {
        return false;
    }
    Endpoint &endpoint = found->second;
    const EndpointLimitRecord known = endpoint.record;
    if (known.startedAtMillis != record.startedAtMillis || record.observedAt <= known.observedAt) {
        return false;
    }
    apply(endpoint, record);
    endpoint.record.observedAt = std::min(record.observedAt, now);
    if (hasLimit(record)) {
        endpoint.lastNamedAt = std::max(endpoint.lastNamedAt, endpoint.record.observedAt);
    }
    return known.maxRejectionsPerSecond != record.maxRejectionsPerSecond
           || differsNoticeably(known.maxRequestsPerSecond, record.maxRequestsPerSecond);
}

void EndpointLimits::onSent(const EndpointId &id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    if (endpoint.record.maxRequestsPerSecond) {
        const auto interval = std::chrono::duration<double>(1.0 / endpoint.share);
        endpoint.nextSendAt = std::max(endpoint.nextSendAt, now - asInterval(BurstShare * interval))
                              + asInterval(interval);
    }
}

Instant EndpointLimits::availableAt(const EndpointId &id, Instant now) const
{
    const Endpoint *endpoint = find(id);
    if (endpoint == nullptr || !endpoint->record.maxRequestsPerSecond) {
        return now;
    }
    if (!endpoint->isHolder) {
        return Never;
    }
    return std::max(now, endpoint->nextSendAt);
}

std::optional<double> EndpointLimits::sharePerSecond(const EndpointId &id) const
{
    const Endpoint *endpoint = find(id);
    if (endpoint == nullptr || !endpoint->record.maxRequestsPerSecond) {
        return std::nullopt;
    }
    return endpoint->isHolder ? endpoint->share : 0.0;
}

std::string EndpointLimits::describe(const EndpointId &id, Instant now) const
{
    const Endpoint *endpoint = find(id);
    if (endpoint == nullptr || !hasLimit(endpoint->record)) {
        return {};
    }
    const EndpointLimitRecord &record = endpoint->record;
    const auto age = std::chrono::duration_cast<Millis>(now - record.observedAt).count();
    std::string text = fmt::format("{}:", id.text());
    if (record.maxRequestsPerSecond) {
        text += fmt::format(" {:g} requests/s, share {:.3g},", *record.maxRequestsPerSecond,
                            sharePerSecond(id).value_or(0.0));
    }
    return text + fmt::format(" observed {} ms ago", age);
}

std::vector<EndpointLimitRecord> EndpointLimits::records(Instant now) const
{
    std::vector<EndpointLimitRecord> records;
    for (const auto &[id, endpoint] : endpoints_) {
        const EndpointLimitRecord &record = endpoint.record;
        const bool wasObserved = record.observedAt != Instant();
        if (hasLimit(record) || (wasObserved && now < record.observedAt + EndedRecordLifetime)) {
            records.push_back(record);
        }
    }
    return records;
}

std::optional<EndpointLimitRecord> EndpointLimits::recordOf(const EndpointId &id) const
{
    const Endpoint *endpoint = find(id);
    return endpoint == nullptr ? std::nullopt : std::optional(endpoint->record);
}

const EndpointLimits::Endpoint *EndpointLimits::find(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

} // namespace sequoiagate
