#include "sequoiagate/Decisions/EndpointWithdrawals.h"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiagate {

void EndpointWithdrawals::setEndpoint(const EndpointId &endpoint, uint64_t startedAtMillis)
{
    Endpoint &known = endpoints_[endpoint];
    if (known.startedAtMillis != startedAtMillis) {
        replace(known, endpoint, startedAtMillis);
    }
    known.dropAt = Never;
}

void EndpointWithdrawals::replace(Endpoint &known, const EndpointId &endpoint,
                                  uint64_t startedAtMillis)
{
    Endpoint next;
    next.startedAtMillis = startedAtMillis;
    const auto earlier = replaced_.find(endpoint);
    if (earlier != replaced_.end() && earlier->second.startedAtMillis == startedAtMillis) {
        next = std::move(earlier->second);
        replaced_.erase(earlier);
    }
    if (known.leaving || known.backoff) {
        known.dropAt = Never;
        replaced_[endpoint] = std::move(known);
    }
    known = std::move(next);
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
    const auto isExpired = [now](const auto &entry) {
        return now >= entry.second.dropAt;
    };
    std::erase_if(endpoints_, isExpired);
    for (auto &[id, endpoint] : replaced_) {
        endpoint.dropAt = std::min(endpoint.dropAt, now + DelistedLifetime);
    }
    std::erase_if(replaced_, isExpired);
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

const EndpointWithdrawals::Endpoint *EndpointWithdrawals::find(const EndpointId &endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : &found->second;
}

bool EndpointWithdrawals::isLeaving(const EndpointId &id) const
{
    const Endpoint *endpoint = find(id);
    return endpoint != nullptr && endpoint->leaving;
}

bool EndpointWithdrawals::onBackoff(const NoticeSource &source, Interval duration, Instant now)
{
    Endpoint *endpoint = findProcess(source, now);
    if (endpoint == nullptr) {
        return false;
    }
    const bool tookRequests = now >= endpoint->backoffUntil;
    const Instant until = now + std::min(duration, MaxBackoff);
    if (until > endpoint->backoffUntil) {
        endpoint->backoff = Statement{source.request, now};
        endpoint->backoffUntil = until;
        quietFrom_ = std::max(quietFrom_, until);
    }
    endpoint->trialUntil = Instant();
    return tookRequests;
}

void EndpointWithdrawals::onAccepted(const NoticeSource &source)
{
    const auto found = endpoints_.find(source.endpoint);
    if (found == endpoints_.end() || found->second.startedAtMillis != source.startedAtMillis
        || source.sentAt < found->second.backoffUntil) {
        return;
    }
    found->second.backoff.reset();
    found->second.trialUntil = Instant();
}

void EndpointWithdrawals::onSent(const EndpointId &id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end() && found->second.backoff && now >= found->second.backoffUntil) {
        found->second.trialUntil = now + TrialTimeout;
        quietFrom_ = std::max(quietFrom_, found->second.trialUntil);
    }
}

Instant EndpointWithdrawals::backoffEnd(const EndpointId &id) const
{
    const Endpoint *endpoint = find(id);
    return endpoint == nullptr ? Instant() : endpoint->backoffUntil;
}

bool EndpointWithdrawals::isOnTrial(const EndpointId &id, Instant now) const
{
    const Endpoint *endpoint = now < quietFrom_ ? find(id) : nullptr;
    return endpoint != nullptr && now < endpoint->trialUntil;
}

Instant EndpointWithdrawals::trialEnd(const EndpointId &id) const
{
    const Endpoint *endpoint = find(id);
    return endpoint == nullptr ? Instant() : endpoint->trialUntil;
}

std::size_t EndpointWithdrawals::backingOffCount(Instant now) const
{
    const auto isListedAndBackingOff = [now](const auto &entry) {
        return entry.second.dropAt == Never && now < entry.second.backoffUntil;
    };
    return static_cast<std::size_t>(
            std::count_if(endpoints_.begin(), endpoints_.end(), isListedAndBackingOff));
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
    const Endpoint *known = find(endpoint);
    const bool isBackingOff = known != nullptr && known->backoff && now < known->backoffUntil;
    if (known == nullptr || (!known->leaving && !isBackingOff)) {
        return {};
    }
    const auto millis = [](Interval interval) {
        return std::chrono::duration_cast<Millis>(interval).count();
    };
    const Statement &statement = known->leaving ? *known->leaving : *known->backoff;
    const std::string what =
            known->leaving ? "leaving"
                           : fmt::format("backoff for {} ms", millis(known->backoffUntil - now));
    return fmt::format("{}: {}, said {} ms ago to {}", endpoint.text(), what,
                       millis(now - statement.saidAt), statement.request.text());
}

} // namespace sequoiagate
