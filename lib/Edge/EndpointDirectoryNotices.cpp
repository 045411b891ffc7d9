#include "sequoiagate/Edge/EndpointDirectory.h"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

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
