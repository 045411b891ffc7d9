#include "sequoiagate/Decisions/EndpointLimits.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

constexpr Interval RejectionWindow = std::chrono::seconds(1);

/// A rejection shrinks the window of open requests to this part of it; it grows again by this
/// part of the endpoint's slots per second.
constexpr double WindowDecrease = 0.7;
constexpr double WindowIncreasePerSecond = 0.1;

/// The time that a request is assumed to be open before one has ended.
constexpr Interval DefaultDuration = std::chrono::milliseconds(200);

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

void EndpointLimits::setEndpoint(const EndpointId &endpoint, uint64_t startedAtMillis,
                                 uint32_t slots)
{
    const auto [found, added] = endpoints_.try_emplace(endpoint);
    EndpointLimitRecord &known = found->second.record;
    found->second.dropAt = Never;
    if (found->second.slotCount != slots) {
        found->second.slotCount = slots;
        computeShare(found->second);
    }
    if (!added && known.startedAtMillis == startedAtMillis) {
        return;
    }
    if (known.hasLimit()) {
        unlisted_.keep(known);
    }
    EndpointLimitRecord unlimited;
    unlimited.endpoint = endpoint;
    unlimited.startedAtMillis = startedAtMillis;
    apply(found->second, unlisted_.take(endpoint, startedAtMillis).value_or(unlimited));
    found->second.lastNamedAt = known.observedAt;
    found->second.rejections.clear();
    found->second.windowChangedAt = Instant();
    found->second.slots.clear();
    found->second.slotRequest.reset();
}

void EndpointLimits::removeEndpoint(const EndpointId &endpoint, Instant now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return;
    }
    if (isLimited(found->second)) {
        found->second.dropAt = now + DelistedLifetime;
        return;
    }
    endpoints_.erase(found);
}

void EndpointLimits::setKnownLimit(const EndpointId &id, const KnownLimit &limit, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    const bool isSame =
            endpoint.known && endpoint.known->requestsPerSecond == limit.requestsPerSecond;
    if (limit.until <= now) {
        applyKnown(endpoint, std::nullopt);
    } else if (isSame) {
        endpoint.known->until = limit.until;
    } else {
        applyKnown(endpoint, limit);
    }
}

bool EndpointLimits::hasKnownLimit(const EndpointId &id) const
{
    const Endpoint *endpoint = find(id);
    return endpoint != nullptr && endpoint->known;
}

void EndpointLimits::dropExpired(Instant now)
{
    for (auto &[id, endpoint] : endpoints_) {
        if (endpoint.known && now >= endpoint.known->until) {
            applyKnown(endpoint, std::nullopt);
        }
    }
    unlisted_.dropExpired(now);
    std::erase_if(endpoints_, [this, now](const auto &entry) {
        const bool isExpired = now >= entry.second.dropAt;
        limitedCount_ -= isExpired && isLimited(entry.second) ? 1 : 0;
        return isExpired;
    });
}

void EndpointLimits::apply(Endpoint &endpoint, const EndpointLimitRecord &record)
{
    const bool wasLimited = isLimited(endpoint);
    endpoint.record = record;
    onLimitsChanged(endpoint, wasLimited);
}

void EndpointLimits::applyKnown(Endpoint &endpoint, const std::optional<KnownLimit> &known)
{
    const bool wasLimited = isLimited(endpoint);
    endpoint.known = known;
    onLimitsChanged(endpoint, wasLimited);
}

void EndpointLimits::onLimitsChanged(Endpoint &endpoint, bool wasLimited)
{
    endpoint.rate = endpoint.record.maxRequestsPerSecond;
    if (endpoint.known) {
        endpoint.rate = std::min(endpoint.rate.value_or(endpoint.known->requestsPerSecond),
                                 endpoint.known->requestsPerSecond);
    }
    limitedCount_ -= wasLimited ? 1 : 0;
    limitedCount_ += isLimited(endpoint) ? 1 : 0;
    computeShare(endpoint);
}

std::vector<HostId> EndpointLimits::holdersOf(const Endpoint &endpoint) const
{
    const EndpointLimitRecord &record = endpoint.record;
    const std::optional<double> &limit = endpoint.rate;
    std::size_t count = limit ? holderCount(*limit, hosts_.size()) : hosts_.size();
    if (record.maxRejectionsPerSecond) {
        count = std::clamp<std::size_t>(endpoint.slotCount, 1, count);
    }
    std::vector<std::pair<uint64_t, HostId>> ranked;
    ranked.reserve(hosts_.size());
    for (const HostId &host : hosts_) {
        ranked.emplace_back(rendezvousWeight(record.endpoint.text(), host.text()), host);
    }
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    std::vector<HostId> holders;
    for (std::size_t i = 0; i < count; ++i) {
        holders.push_back(std::move(ranked[i].second));
    }
    return holders;
}

void EndpointLimits::computeShare(Endpoint &endpoint) const
{
    if (!isLimited(endpoint)) {
        endpoint.isHolder = true;
        return;
    }
    // Without the list of hosts the share isn't known, and the whole limit would be used.
    if (hosts_.empty()) {
        endpoint.isHolder = false;
        return;
    }
    const std::vector<HostId> holders = holdersOf(endpoint);
    const double limit = endpoint.rate.value_or(0.0);
    endpoint.holders = holders.size();
    endpoint.share = std::max(limit, MinRequestsPerSecond) / static_cast<double>(holders.size());
    endpoint.isHolder = false;
    std::vector<Holder> others;
    for (const HostId &host : holders) {
        if (host == self_) {
            endpoint.isHolder = true;
        } else {
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
    if (mayBeOlder || (!names && !known.hasLimit())) {
        return false;
    }
    EndpointLimitRecord record = known;
    record.maxRequestsPerSecond = notice.maxRequestsPerSecond;
    record.maxRejectionsPerSecond = notice.maxRejectionsPerSecond;
    record.observedAt = now;
    apply(endpoint, record);
    endpoint.lastNamedAt = names ? now : endpoint.lastNamedAt;
    const bool isCounted = notice.rejected && notice.maxRejectionsPerSecond;
    if (isCounted) {
        addRejection(endpoint, now);
        // Its end, which follows, says nothing about how long requests run.
        endpoint.ends = std::max(endpoint.ends - 1.0, -1.0);
    }
    return isCounted || known.maxRejectionsPerSecond != record.maxRejectionsPerSecond
           || differsNoticeably(known.maxRequestsPerSecond, record.maxRequestsPerSecond);
}

bool EndpointLimits::onRecord(const EndpointLimitRecord &record, Instant now)
{
    const auto found = endpoints_.find(record.endpoint);
    const bool isListed = found != endpoints_.end()
                          && found->second.record.startedAtMillis == record.startedAtMillis;
    if (!isListed) {
        unlisted_.keep(record);
        return false;
    }
    Endpoint &endpoint = found->second;
    const EndpointLimitRecord known = endpoint.record;
    if (record.observedAt <= known.observedAt) {
        return false;
    }
    apply(endpoint, record);
    endpoint.record.observedAt = std::min(record.observedAt, now);
    if (record.hasLimit()) {
        endpoint.lastNamedAt = std::max(endpoint.lastNamedAt, endpoint.record.observedAt);
    }
    return known.maxRejectionsPerSecond != record.maxRejectionsPerSecond
           || differsNoticeably(known.maxRequestsPerSecond, record.maxRequestsPerSecond);
}

void EndpointLimits::onPeerRejection(const EndpointId &id, uint64_t startedAtMillis, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end() && found->second.record.startedAtMillis == startedAtMillis) {
        addRejection(found->second, now);
    }
}

void EndpointLimits::addRejection(Endpoint &endpoint, Instant now)
{
    std::deque<Instant> &rejections = endpoint.rejections;
    while (!rejections.empty() && now >= rejections.front() + RejectionWindow) {
        rejections.pop_front();
    }
    // Rejections of requests that were sent at about the same time have one cause.
    const bool isNew = rejections.empty() || now >= rejections.back() + RejectionPause;
    rejections.push_back(now);
    if (isNew) {
        endpoint.window = std::max(WindowDecrease * windowAt(endpoint, now), 1.0);
        endpoint.windowChangedAt = now;
    }
}

double EndpointLimits::windowAt(const Endpoint &endpoint, Instant now)
{
    const double slots = std::max(endpoint.slotCount, 1U);
    if (endpoint.windowChangedAt == Instant()) {
        return slots;
    }
    const std::chrono::duration<double> elapsed = now - endpoint.windowChangedAt;
    return std::min(slots, endpoint.window + WindowIncreasePerSecond * slots * elapsed.count());
}

void EndpointLimits::recordOpen(Endpoint &endpoint, Instant now)
{
    const std::chrono::duration<double> elapsed = now - endpoint.openChangedAt;
    endpoint.openSeconds += endpoint.open * elapsed.count();
    endpoint.openChangedAt = now;
    constexpr double MaxEnds = 64.0;
    if (endpoint.ends >= MaxEnds) {
        endpoint.ends /= 2;
        endpoint.openSeconds /= 2;
    }
}

std::chrono::duration<double> EndpointLimits::meanDuration(const Endpoint &endpoint)
{
    const std::chrono::duration<double> unknown = DefaultDuration;
    return endpoint.ends < 1.0
                   ? unknown
                   : std::chrono::duration<double>(endpoint.openSeconds / endpoint.ends);
}

void EndpointLimits::onSent(const EndpointId &id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    recordOpen(endpoint, now);
    ++endpoint.open;
    if (!isLimited(endpoint)) {
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

void EndpointLimits::onEnd(const EndpointId &id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end() && found->second.open > 0) {
        recordOpen(found->second, now);
        --found->second.open;
        found->second.ends += 1.0;
    }
}

Interval EndpointLimits::slotLifetime(const Endpoint &endpoint)
{
    return endpoint.rate ? SlotLifetime : WindowSlotLifetime;
}

void EndpointLimits::advance(Endpoint &endpoint, Instant now)
{
    endpoint.lastSentAt = now;
    if (!endpoint.rate) {
        return;
    }
    const auto interval = std::chrono::duration<double>(1.0 / endpoint.share);
    const double burst = endpoint.known ? 0.0 : BurstShare;
    endpoint.nextSendAt = std::max(endpoint.nextSendAt, now - asInterval(burst * interval))
                          + asInterval(interval);
}

void EndpointLimits::expire(Endpoint &endpoint, Instant now)
{
    std::erase_if(endpoint.slots, [now](const Slot &slot) { return now >= slot.expiresAt; });
    std::erase_if(endpoint.lentUntil, [now](Instant until) { return now >= until; });
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
    if (found == endpoints_.end() || !found->second.rate || !found->second.isHolder) {
        return false;
    }
    Endpoint &endpoint = found->second;
    const Instant at =
            std::max(availableByOwnShare(endpoint, now), resumesAfterRejections(endpoint, now));
    if (at > now + maxDelay || availableByWindow(endpoint, now) > now) {
        return false;
    }
    advance(endpoint, now);
    endpoint.slots.push_back({at, at + slotLifetime(endpoint)});
    return true;
}

std::optional<SlotRequest> EndpointLimits::requestSlot(const EndpointId &id, Interval maxDelay,
                                                       Instant now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !isLimited(found->second)) {
        return std::nullopt;
    }
    Endpoint &endpoint = found->second;
    expire(endpoint, now);
    // A holder's part of a window bounds what it has open, whoever's part that was.
    const bool hasOwnPart = endpoint.isHolder && !endpoint.rate;
    if (endpoint.slotRequest || hasOwnPart) {
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
    return SlotRequest{holder->host, lastSlotRequest_, maxDelay, endpoint.record, endpoint.known};
}

SlotResponse EndpointLimits::lendSlot(const SlotRequest &request, Instant now)
{
    onRecord(request.record, now);
    SlotResponse response{request.id, std::nullopt, UnresponsiveHolderPause};
    const auto found = endpoints_.find(request.record.endpoint);
    if (found == endpoints_.end()) {
        return response;
    }
    Endpoint &endpoint = found->second;

    if (!isLimited(endpoint) || !endpoint.isHolder) {
        return response;
    }
    expire(endpoint, now);
    // A slot for a request that may come isn't taken from a holder that is about to use it.
    const bool isForLater = request.maxDelay == Interval::zero();
    const bool hasRate = endpoint.rate.has_value();
    const std::chrono::duration<double> idle(isForLater && hasRate ? IdleShare / endpoint.share
                                                                   : 0.0);
    const Instant at =
            std::max(resumesAfterRejections(endpoint, now),
                     availableByOwnShare(endpoint, now - asInterval(idle)) + asInterval(idle));
    const Interval delay = std::max(at, now) - now;
    // When room in a window becomes free is only an estimate, so it isn't promised ahead.
    const Interval byWindow = availableByWindow(endpoint, now) - now;
    if (delay > request.maxDelay || byWindow > Interval::zero()) {
        response.retryAfter = std::max(delay - request.maxDelay, byWindow);
        return response;
    }
    advance(endpoint, now);
    endpoint.lentUntil.push_back(now + delay + slotLifetime(endpoint)
                                 + asInterval(meanDuration(endpoint)));
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
            endpoint.slots.push_back({at, at + slotLifetime(endpoint)});
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

Instant EndpointLimits::resumesAfterRejections(const Endpoint &endpoint, Instant now)
{
    const std::deque<Instant> &rejections = endpoint.rejections;
    if (rejections.empty()) {
        return now;
    }
    const std::size_t bearable =
            std::max<std::size_t>(endpoint.record.maxRejectionsPerSecond.value_or(0) / 2, 1);
    Instant at = std::max(now, rejections.back() + RejectionPause);
    if (rejections.size() >= bearable) {
        at = std::max(at, rejections[rejections.size() - bearable] + RejectionWindow);
    }
    return at;
}

Instant EndpointLimits::availableByWindow(const Endpoint &endpoint, Instant now)
{
    if (!endpoint.record.maxRejectionsPerSecond) {
        return now;
    }
    const double share = windowAt(endpoint, now) / static_cast<double>(endpoint.holders);
    const std::chrono::duration<double> duration = meanDuration(endpoint);
    const auto lent = std::count_if(endpoint.lentUntil.begin(), endpoint.lentUntil.end(),
                                    [now](Instant until) { return now < until; });
    const double open = endpoint.open + static_cast<double>(lent);
    Instant at = now;
    if (open >= std::max(std::floor(share), 1.0)) {
        // About when the next of the open requests ends.
        at = now + asInterval(duration / open);
    }
    if (share < 1.0) {
        at = std::max(at, endpoint.lastSentAt + asInterval(duration / share));
    }
    return at;
}

Instant EndpointLimits::availableByOwnShare(const Endpoint &endpoint, Instant now)
{
    if (!endpoint.isHolder) {
        return Never;
    }
    const Instant byRate = endpoint.rate ? std::max(now, endpoint.nextSendAt) : now;
    return std::max(byRate, availableByWindow(endpoint, now));
}

Instant EndpointLimits::availableAt(const EndpointId &id, Instant now) const
{
    const Endpoint *endpoint = find(id);
    if (endpoint == nullptr || !isLimited(*endpoint)) {
        return now;
    }
    Instant at = availableByOwnShare(*endpoint, now);
    for (const Slot &slot : endpoint->slots) {
        if (now < slot.expiresAt) {
            at = std::min(at, std::max(now, slot.usableAt));
        }
    }
    return std::max(at, resumesAfterRejections(*endpoint, now));
}

std::optional<double> EndpointLimits::sharePerSecond(const EndpointId &id) const
{
    const Endpoint *endpoint = find(id);
    if (endpoint == nullptr || !endpoint->rate) {
        return std::nullopt;
    }
    return endpoint->isHolder ? endpoint->share : 0.0;
}

std::string EndpointLimits::describe(const EndpointId &id, Instant now) const
{
    const Endpoint *endpoint = find(id);
    if (endpoint == nullptr || !isLimited(*endpoint)) {
        return {};
    }
    const EndpointLimitRecord &record = endpoint->record;
    const auto millis = [](Interval interval) {
        return std::chrono::duration_cast<Millis>(interval).count();
    };
    std::string text = fmt::format("{}:", id.text());
    if (endpoint->known) {
        text += fmt::format(" {:g} requests/s for {} ms, share {:.3g}{}",
                            endpoint->known->requestsPerSecond,
                            millis(endpoint->known->until - now), sharePerSecond(id).value_or(0.0),
                            record.hasLimit() ? "," : "");
    }
    if (!record.hasLimit()) {
        return text;
    }
    if (record.maxRequestsPerSecond) {
        text += fmt::format(" {:g} requests/s, share {:.3g},", *record.maxRequestsPerSecond,
                            sharePerSecond(id).value_or(0.0));
    }
    if (record.maxRejectionsPerSecond) {
        text += fmt::format(" {} rejections/s, {} lately, window {:.3g}, {} open here,",
                            *record.maxRejectionsPerSecond, endpoint->rejections.size(),
                            windowAt(*endpoint, now), endpoint->open);
    }
    return text + fmt::format(" observed {} ms ago", millis(now - record.observedAt));
}

std::vector<EndpointLimitRecord> EndpointLimits::records(Instant now) const
{
    std::vector<EndpointLimitRecord> records;
    for (const auto &[id, endpoint] : endpoints_) {
        const EndpointLimitRecord &record = endpoint.record;
        const bool wasObserved = record.observedAt != Instant();
        if (record.hasLimit() || (wasObserved && now < record.observedAt + EndedRecordLifetime)) {
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
