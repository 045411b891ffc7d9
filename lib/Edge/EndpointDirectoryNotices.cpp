#include "sequoiagate/Edge/EndpointDirectory.h"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

/// When callers return whom no endpoint can serve, for a reason whose end isn't known.
constexpr Interval UnknownEndRetryDelay = std::chrono::seconds(2);

/// The descriptions of the first few endpoints and the number of the others, for logs.
std::string describeFirst(const std::vector<EndpointId> &endpoints,
                          const std::function<std::string(const EndpointId &)> &describe)
{
    constexpr std::size_t MaxDescribed = 3;
    std::string text;
    for (std::size_t i = 0; i < std::min(endpoints.size(), MaxDescribed); ++i) {
        text += (i == 0 ? "" : "; ") + describe(endpoints[i]);
    }
    return endpoints.size() > MaxDescribed
                   ? fmt::format("{}; {} more", text, endpoints.size() - MaxDescribed)
                   : text;
}

} // namespace

void EndpointDirectory::beginEvacuation(const DomainId &domain, uint64_t offset, Instant now)
{
    if (!evacuations_.begin(domain, offset, now)) {
        return;
    }
    const auto endpoints =
            std::count_if(entries_.begin(), entries_.end(), [&domain](const auto &entry) {
                return entry.second.entry.domain == domain;
            });
    log_.write(Event("domain.evacuated")
                       .with("evacuated", domain)
                       .with("offset", offset)
                       .with("region", regionOf(domain))
                       .with("endpoints", endpoints)
                       .essential());
}

void EndpointDirectory::endEvacuation(const DomainId &domain, Instant now)
{
    if (!evacuations_.end(domain)) {
        return;
    }
    log_.write(Event("domain.taken_back").with("evacuated", domain).essential());
    for (const auto &[id, listed] : entries_) {
        if (listed.entry.domain == domain) {
            cold_.onTakenBack(id, now);
            limitWhileCold(id, now);
        }
    }
}

void EndpointDirectory::setServices(const std::vector<ServiceSpec> &services, Instant now)
{
    std::map<ServiceId, ColdService> cold;
    for (const ServiceSpec &service : services) {
        if (service.coldRequestsPerSecond > 0.0) {
            cold[service.name] = {service.coldDuration, service.coldRequestsPerSecond};
        }
    }
    cold_.setServices(std::move(cold), now);
    for (const auto &[id, listed] : entries_) {
        limitWhileCold(id, now);
    }
}

SlotResponse EndpointDirectory::lendSlot(const SlotRequest &request, Instant now)
{
    const EndpointId &endpoint = request.record.endpoint;
    if (request.known) {
        cold_.onTold(endpoint, request.record.startedAtMillis, request.known->until, now);
        limitWhileCold(endpoint, now);
    }
    return limits_.lendSlot(request, now);
}

void EndpointDirectory::limitWhileCold(const EndpointId &endpoint, Instant now)
{
    const Instant until = cold_.coldUntil(endpoint);
    const bool wasLimited = limits_.hasKnownLimit(endpoint);
    if (until > now || wasLimited) {
        limits_.setKnownLimit(endpoint, {cold_.requestsPerSecond(endpoint), until}, now);
    }
    if (until > now && !wasLimited) {
        log_.write(Event("endpoint.cold")
                           .with("endpoint", endpoint)
                           .with("detail", cold_.describe(endpoint, now)));
    }
}

std::optional<Instant> EndpointDirectory::returnTime(const WorkItem &item, Instant now)
{
    return returnTime(item, excludedFor(item, now), now);
}

std::optional<Instant> EndpointDirectory::returnTime(const WorkItem &item,
                                                     const ExcludedEndpoints &excluded, Instant now)
{
    if (!excluded.areAll({Exclusion::Evacuated, Exclusion::BackingOff})) {
        return std::nullopt;
    }
    Instant earliest = excluded.firstEnd(Exclusion::BackingOff);
    if (earliest == Never) {
        earliest = now + UnknownEndRetryDelay;
    }
    return returns_[item.service].assign(item.priority, earliest);
}

Verdict EndpointDirectory::refuseByRegion(const WorkItem &item, Instant now)
{
    ++refusedByRegion_;
    return {Execution::NotRun, Reason::NoEndpoint,
            "no endpoint lies in an allowed region: " + item.regions.describe(),
            now + UnknownEndRetryDelay};
}

Verdict EndpointDirectory::refuseWithoutTakers(const ExcludedEndpoints &excluded, Instant returnAt,
                                               Instant now)
{
    const std::vector<EndpointId> &backingOff = excluded.of(Exclusion::BackingOff);
    const bool isEvacuated = !excluded.of(Exclusion::Evacuated).empty();
    refusedInBackoff_ += backingOff.empty() ? 0 : 1;
    refusedByEvacuation_ += isEvacuated ? 1 : 0;
    std::string detail = "no endpoint takes requests: ";
    detail += describeWithdrawals(backingOff, now);
    if (isEvacuated) {
        detail += (backingOff.empty() ? "" : "; ") + evacuations_.describe(now);
    }
    return {Execution::NotRun, Reason::NoEndpoint, detail, returnAt};
}

std::string EndpointDirectory::describeLimitsOf(const EndpointId &chosen,
                                                const ExcludedEndpoints &excluded,
                                                Instant now) const
{
    std::string text = limits_.describe(chosen, now);
    const auto append = [&text](const std::string &part) {
        text += (text.empty() ? "" : "; ") + part;
    };
    if (const std::string cold = cold_.describe(chosen, now); !cold.empty()) {
        append(cold);
    }
    if (const std::vector<EndpointId> &limited = excluded.of(Exclusion::Limited);
        !limited.empty()) {
        append("not available: " + describeLimits(limited, now));
    }
    if (const std::vector<EndpointId> &backingOff = excluded.of(Exclusion::BackingOff);
        !backingOff.empty()) {
        append(describeWithdrawals(backingOff, now));
    }
    if (!excluded.of(Exclusion::Evacuated).empty()) {
        append(evacuations_.describe(now));
    }
    return text;
}

void EndpointDirectory::onNotice(const NoticeSource &source, const EndpointNotice &notice,
                                 Instant now)
{
    if (notice.isLeaving) {
        onLeavingNotice(source, "response", now);
    }
    if (notice.backoff) {
        onBackoffNotice(source, *notice.backoff, "response", now);
    } else {
        withdrawals_.onAccepted(source);
    }
    // A response of an earlier process says nothing about the limits of the listed one.
    const uint64_t listed = startedAtMillis(source.endpoint);
    if (listed != 0 && listed != source.startedAtMillis) {
        return;
    }
    if (!limits_.onNotice(source.endpoint, notice, source.sentAt, now)) {
        return;
    }
    const EndpointLimitRecord record = *limits_.recordOf(source.endpoint);
    logLimit(record, notice.rejected ? "rejected" : "answer");
    if (onLimitObserved) {
        onLimitObserved(record, notice.rejected);
    }
}

void EndpointDirectory::onRelayedNotice(const NoticeSource &source, const EndpointNotice &notice,
                                        Instant now)
{
    if (notice.isLeaving) {
        onLeavingNotice(source, "relayed_response", now);
    }
    if (notice.backoff) {
        onBackoffNotice(source, *notice.backoff, "relayed_response", now);
    }
}

void EndpointDirectory::onBackoffNotice(const NoticeSource &source, Interval duration,
                                        const char *heardFrom, Instant now)
{
    if (withdrawals_.onBackoff(source, duration, now)) {
        log_.write(Event("endpoint.backoff")
                           .with("endpoint", source.endpoint)
                           .with("source", heardFrom)
                           .with("request", source.request)
                           .with("ms", std::chrono::duration_cast<Millis>(duration).count()));
    }
}

std::string EndpointDirectory::describeWithdrawals(const std::vector<EndpointId> &endpoints,
                                                   Instant now) const
{
    return describeFirst(endpoints, [this, now](const EndpointId &id) {
        return withdrawals_.describe(id, now);
    });
}

void EndpointDirectory::onLeavingNotice(const NoticeSource &source, const char *heardFrom,
                                        Instant now)
{
    if (!withdrawals_.onLeaving(source, now)) {
        return;
    }
    log_.write(Event("endpoint.leaving")
                       .with("endpoint", source.endpoint)
                       .with("source", heardFrom)
                       .with("request", source.request));
    changed_ = true;
    publish(now);
}

void EndpointDirectory::onPeerLimits(const std::vector<EndpointLimitRecord> &records, Instant now)
{
    for (const EndpointLimitRecord &record : records) {
        if (limits_.onRecord(record, now)) {
            logLimit(record, "peer");
        }
    }
}

void EndpointDirectory::onPeerRejection(const EndpointLimitRecord &record, Instant now)
{
    limits_.onRecord(record, now);
    limits_.onPeerRejection(record.endpoint, record.startedAtMillis, now);
}

void EndpointDirectory::logLimit(const EndpointLimitRecord &record, const char *source) const
{
    constexpr double None = -1.0;
    log_.write(
            Event("endpoint.notice")
                    .with("endpoint", record.endpoint)
                    .with("source", source)
                    .with("max_requests_per_s", record.maxRequestsPerSecond.value_or(None))
                    .with("max_rejections_per_s",
                          record.maxRejectionsPerSecond ? *record.maxRejectionsPerSecond : None)
                    .with("share_per_s", limits_.sharePerSecond(record.endpoint).value_or(None)));
}

std::string EndpointDirectory::describeLimits(const std::vector<EndpointId> &endpoints,
                                              Instant now) const
{
    return describeFirst(endpoints,
                         [this, now](const EndpointId &id) { return limits_.describe(id, now); });
}

} // namespace sequoiagate
