#include "sequoiagate/Decisions/EndpointLimits.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// An endpoint is sent requests at this rate at least, so that the end of its limit is noticed.
constexpr double MinRequestsPerSecond = 0.2;

/// Part of the interval between two requests of a share that may be made up for later.
constexpr double BurstShare = 0.4;

/// Part of that interval for which a holder leaves a slot unused before it is lent in advance.
constexpr double IdleShare = 0.25;

/// A holder that doesn't respond, or isn't one, isn't asked again for this time.
constexpr Interval UnresponsiveHolderPause = std::chrono::seconds(1);

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
    found->second.slots.clear();
    found->second.slotRequest.reset();
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
    std::vector<std::pair<uint64_t, const HostId *>> ranked;
    ranked.reserve(hosts_.size());
    for (const HostId &host : hosts_) {
        ranked.emplace_back(rendezvousWeight(key, host.text()), &host);
    }
    const std::size_t holders = holderCount(*limit, hosts_.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(holders),
                      ranked.end(), std::greater<>());
    endpoint.isHolder = false;
    std::vector<Holder> others;
    for (std::size_t i = 0; i < holders; ++i) {
        const HostId &host = *ranked[i].second;
        endpoint.isHolder = endpoint.isHolder || host == self_;
        if (host != self_) {
            others.push_back({host, {}});
        }
    }
    const bool isSame =
            std::equal(others.begin(), others.end(), endpoint.otherHolders.begin(),
                       endpoint.otherHolders.end(),
                       [](const Holder &a, const Holder &b) { return a.host == b.host; });
    if (!isSame) {
        endpoint.otherHolders = std::move(others);
        endpoint.slotRequest.reset();
    }
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
    if (!endpoint.record.maxRequestsPerSecond) {
        return;
    }
    expire(endpoint, now);
    const auto usable = std::find_if(endpoint.slots.begin(), endpoint.slots.end(),
                                     [now](const Slot &slot) { return slot.usableAt <= now; });
    if (usable != endpoint.slots.end()) {
        endpoint.slots.erase(usable);
        return;
    }
    advance(endpoint, now);
}

void EndpointLimits::advance(Endpoint &endpoint, Instant now)
{
    const auto interval = std::chrono::duration<double>(1.0 / endpoint.share);
    endpoint.nextSendAt = std::max(endpoint.nextSendAt, now - asInterval(BurstShare * interval))
                          + asInterval(interval);
}

void EndpointLimits::expire(Endpoint &endpoint, Instant now)
{
    std::erase_if(endpoint.slots, [now](const Slot &slot) { return now >= slot.expiresAt; });
    std::optional<OpenSlotRequest> &open = endpoint.slotRequest;
    if (open && now >= open->expiresAt) {
        // A holder that doesn't respond isn't asked again for a while.
        endpoint.otherHolders[open->holder].emptyUntil = now + UnresponsiveHolderPause;
        open.reset();
    }
}

bool EndpointLimits::bookOwnSlot(const EndpointId &id, Interval maxDelay, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !found->second.record.maxRequestsPerSecond
        || !found->second.isHolder) {
        return false;
    }
    Endpoint &endpoint = found->second;
    const Instant at = std::max(endpoint.nextSendAt, now);
    if (at > now + maxDelay) {
        return false;
    }
    advance(endpoint, now);
    endpoint.slots.push_back({at, at + SlotLifetime});
    return true;
}

std::optional<SlotRequest> EndpointLimits::requestSlot(const EndpointId &id, Interval maxDelay,
                                                       Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !found->second.record.maxRequestsPerSecond) {
        return std::nullopt;
    }
    Endpoint &endpoint = found->second;
    expire(endpoint, now);
    if (endpoint.slotRequest) {
        return std::nullopt;
    }
    // The one that has had a slot for longest, so that all holders' shares are used.
    const auto holder = std::min_element(
            endpoint.otherHolders.begin(), endpoint.otherHolders.end(),
            [](const Holder &a, const Holder &b) { return a.emptyUntil < b.emptyUntil; });
    if (holder == endpoint.otherHolders.end() || holder->emptyUntil > now + maxDelay) {
        return std::nullopt;
    }
    const auto index = static_cast<std::size_t>(holder - endpoint.otherHolders.begin());
    endpoint.slotRequest = {++lastSlotRequest_, index, now + SlotResponseTimeout};
    return SlotRequest{holder->host, lastSlotRequest_, maxDelay, endpoint.record};
}

SlotResponse EndpointLimits::lendSlot(const SlotRequest &request, Instant now)
{
    onRecord(request.record, now);
    SlotResponse response{request.id, std::nullopt, UnresponsiveHolderPause};
    const auto found = endpoints_.find(request.record.endpoint);
    if (found == endpoints_.end() || !found->second.record.maxRequestsPerSecond
        || !found->second.isHolder) {
        return response;
    }
    Endpoint &endpoint = found->second;
    // A slot for a request that may come isn't taken from a holder that is about to use it.
    const bool isForLater = request.maxDelay == Interval::zero();
    const auto idle = std::chrono::duration<double>(isForLater ? IdleShare / endpoint.share : 0.0);
    const Interval delay = std::max(endpoint.nextSendAt + asInterval(idle), now) - now;
    if (delay > request.maxDelay) {
        response.retryAfter = delay - request.maxDelay;
        return response;
    }
    advance(endpoint, now);
    response.delay = delay;
    return response;
}

void EndpointLimits::onSlotResponse(const SlotResponse &response, Instant now)
{
    for (auto &[id, endpoint] : endpoints_) {
        if (!endpoint.slotRequest || endpoint.slotRequest->id != response.id) {
            continue;
        }
        Holder &holder = endpoint.otherHolders[endpoint.slotRequest->holder];
        endpoint.slotRequest.reset();
        if (response.delay) {
            const Instant at = now + *response.delay;
            endpoint.slots.push_back({at, at + SlotLifetime});
            holder.emptyUntil = at;
        } else {
            holder.emptyUntil = now + response.retryAfter;
        }
        return;
    }
}

std::size_t EndpointLimits::pendingSlots(const EndpointId &id, Instant now) const
{
    const Endpoint *endpoint = find(id);
    if (endpoint == nullptr) {
        return 0;
    }
    const auto live = std::count_if(endpoint->slots.begin(), endpoint->slots.end(),
                                    [now](const Slot &slot) { return now < slot.expiresAt; });
    const bool isRequestOpen = endpoint->slotRequest && now < endpoint->slotRequest->expiresAt;
    return static_cast<std::size_t>(live) + (isRequestOpen ? 1 : 0);
}

Instant EndpointLimits::availableAt(const EndpointId &id, Instant now) const
{
    const Endpoint *endpoint = find(id);
    if (endpoint == nullptr || !endpoint->record.maxRequestsPerSecond) {
        return now;
    }
    Instant at = endpoint->isHolder ? std::max(now, endpoint->nextSendAt) : Never;
    for (const Slot &slot : endpoint->slots) {
        if (now < slot.expiresAt) {
            at = std::min(at, std::max(now, slot.usableAt));
        }
    }
    return at;
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
