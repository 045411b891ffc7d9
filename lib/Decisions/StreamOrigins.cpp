#include "sequoiagate/Decisions/StreamOrigins.h"

#include <algorithm>
#include <iterator>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

StreamKey streamKey(const ServiceId &service, const RequestId &first)
{
    return stableHash(first.text(), stableHash(service.text()));
}

const char *originSourceName(OriginSource source)
{
    struct Row
    {
        OriginSource source;
        const char *name;
    };
    constexpr Row Rows[] = {{OriginSource::Own, "own"},
                            {OriginSource::Peer, "peer"},
                            {OriginSource::SoleVersion, "sole_version"},
                            {OriginSource::Unknown, "unknown"}};
    for (const Row &row : Rows) {
        if (row.source == source) {
            return row.name;
        }
    }
    return "";
}

void StreamOrigins::setLongestStream(Interval longest)
{
    longestStream_ = longest;
    versions_.setLongestStream(longest);
}

void StreamOrigins::keep(const StreamRecord &record, Instant now)
{
    expire(now);
    const Instant expiresAt = now + recordLifetime();
    records_[record.key] = {record.version, expiresAt};
    expiries_.emplace_back(expiresAt, record.key);
}

void StreamOrigins::expire(Instant now)
{
    while (!expiries_.empty()
           && (now >= expiries_.front().first || expiries_.size() >= MaxRecords)) {
        const auto [expiresAt, key] = expiries_.front();
        expiries_.pop_front();
        // A record that was renewed has another entry.
        const auto found = records_.find(key);
        if (found != records_.end() && found->second.expiresAt <= expiresAt) {
            records_.erase(found);
        }
    }
}

std::optional<SoftwareVersion> StreamOrigins::recorded(StreamKey key, Instant now) const
{
    const auto found = records_.find(key);
    if (found == records_.end() || now >= found->second.expiresAt) {
        return std::nullopt;
    }
    return found->second.version;
}

void StreamOrigins::onStreamBegan(const ServiceId &service, const RequestId &first,
                                  const SoftwareVersion &version, Instant now)
{
    const StreamRecord record{streamKey(service, first), version};
    keep(record, now);
    const bool isSole = versions_.view(service, now).knowledge == VersionKnowledge::Sole;
    if (isSole || placement_.isEmpty()) {
        return;
    }
    Delivery delivery{record, placement_.candidates(record.key), {}, 0, {}};
    send(delivery, now);
    if (deliveries_.size() < MaxDeliveries) {
        deliveries_.insert_or_assign(record.key, std::move(delivery));
    }
}

bool StreamOrigins::send(Delivery &delivery, Instant now)
{
    // Each repetition includes one more host of each domain, since a listed host may have ended.
    const auto count = placement_.replicasPerDomain() + static_cast<std::size_t>(delivery.sends);
    for (const ReplicaCandidates &hosts : delivery.candidates) {
        for (std::size_t i = 0; i < std::min(count, hosts.size()); ++i) {
            if (delivery.acknowledgedBy.count(hosts[i]) == 0) {
                sendRecord(hosts[i], delivery.record);
            }
        }
    }
    ++delivery.sends;
    delivery.resendAt = now + ResendDelay;
    return delivery.sends < MaxSends;
}

bool StreamOrigins::isDelivered(const Delivery &delivery) const
{
    return std::all_of(delivery.candidates.begin(), delivery.candidates.end(),
                       [this, &delivery](const ReplicaCandidates &hosts) {
                           const auto count = std::count_if(
                                   hosts.begin(), hosts.end(), [&delivery](const HostId &host) {
                                       return delivery.acknowledgedBy.count(host) > 0;
                                   });
                           const std::size_t wanted =
                                   std::min(placement_.replicasPerDomain(), hosts.size());
                           return static_cast<std::size_t>(count) >= wanted;
                       });
}

void StreamOrigins::onRecord(const StreamRecord &record, Instant now)
{
    keep(record, now);
}

void StreamOrigins::onAcknowledged(const HostId &by, StreamKey key)
{
    const auto found = deliveries_.find(key);
    if (found == deliveries_.end()) {
        return;
    }
    found->second.acknowledgedBy.insert(by);
    if (isDelivered(found->second)) {
        deliveries_.erase(found);
    }
}

void StreamOrigins::find(const ServiceId &service, const RequestId &first, Instant now,
                         FoundHandler handler)
{
    const OriginQuery query{streamKey(service, first), service};
    if (const auto version = recorded(query.key, now)) {
        handler({OriginSource::Own, *version, {}});
        return;
    }
    const auto [found, added] = lookups_.try_emplace(query.key);
    Lookup &lookup = found->second;
    lookup.handlers.push_back(std::move(handler));
    if (!added) {
        return;
    }
    lookup.query = query;
    lookup.isNamed = !first.empty();
    lookup.beganAt = now;
    lookup.resendAt = now + QueryResendDelay;
    lookup.endAt = now + QueryTimeout;
    for (const ReplicaCandidates &hosts : placement_.candidates(query.key)) {
        lookup.unanswered.insert(hosts.begin(), hosts.end());
    }
    lookup.asked = lookup.unanswered.size();
    if (lookup.unanswered.empty()) {
        conclude(query.key, originWithoutRecord(lookup, now));
        return;
    }
    for (const HostId &host : lookup.unanswered) {
        sendQuery(host, query);
    }
}

OriginResponse StreamOrigins::respond(const OriginQuery &query, Instant now) const
{
    return {query.key, recorded(query.key, now), versions_.view(query.service, now)};
}

void StreamOrigins::onResponse(const HostId &from, const OriginResponse &response, Instant now)
{
    const auto found = lookups_.find(response.key);
    if (found == lookups_.end() || found->second.unanswered.erase(from) == 0) {
        return;
    }
    Lookup &lookup = found->second;
    if (response.recorded) {
        const std::size_t responded = lookup.asked - lookup.unanswered.size();
        conclude(response.key,
                 {OriginSource::Peer, *response.recorded, from, lookup.asked, responded});
        return;
    }
    lookup.views.push_back(response.listed);
    if (lookup.unanswered.empty()) {
        conclude(response.key, originWithoutRecord(lookup, now));
    }
}

bool StreamOrigins::isCurrent(const Lookup &lookup) const
{
    return lookup.asked == 0 || 2 * lookup.views.size() > lookup.asked
           || versions_.isReadSince(lookup.beganAt);
}

StreamOrigin StreamOrigins::originWithoutRecord(const Lookup &lookup, Instant now) const
{
    if (isCurrent(lookup)) {
        return originIfCurrent(lookup, now);
    }
    StreamOrigin unknown;
    unknown.asked = lookup.asked;
    unknown.responded = lookup.views.size();
    return unknown;
}

StreamOrigin StreamOrigins::originIfCurrent(const Lookup &lookup, Instant now) const
{
    StreamOrigin origin;
    origin.asked = lookup.asked;
    origin.responded = lookup.views.size();
    std::vector<VersionView> views = lookup.views;
    views.push_back(versions_.view(lookup.query.service, now));
    const VersionView *sole = nullptr;
    const VersionView *seen = nullptr;
    // A host that hears neither the store nor most of the others misses a version that came since.
    const bool mayTrustRecords =
            !lookup.isNamed
            && (versions_.isUpToDate(now) || 2 * lookup.views.size() > lookup.asked);
    for (const VersionView &view : views) {
        const bool isSole = view.knowledge == VersionKnowledge::Sole;
        // Without a name, one host that has seen another version is enough to refuse.
        const bool counts = isSole || (!lookup.isNamed && !view.version.empty());
        const bool contradicts = view.knowledge == VersionKnowledge::Several
                                 || (counts && seen != nullptr && seen->version != view.version);
        if (contradicts) {
            return origin;
        }
        seen = counts ? &view : seen;
        if (isSole || (mayTrustRecords && view.isRecorded)) {
            sole = &view;
        }
    }
    if (sole != nullptr) {
        origin.source = OriginSource::SoleVersion;
        origin.version = sole->version;
    }
    return origin;
}

bool StreamOrigins::isOver(Lookup &lookup, Instant now) const
{
    const Instant limit = lookup.beganAt + ListTimeout;
    if (isCurrent(lookup) || now >= limit
        || originIfCurrent(lookup, now).source == OriginSource::Unknown) {
        return true;
    }
    lookup.endAt = std::min(limit, now + ListCheckInterval);
    return false;
}

void StreamOrigins::conclude(StreamKey key, const StreamOrigin &origin)
{
    const auto found = lookups_.find(key);
    const std::vector<FoundHandler> handlers = std::move(found->second.handlers);
    lookups_.erase(found);
    for (const FoundHandler &handler : handlers) {
        handler(origin);
    }
}

void StreamOrigins::tick(Instant now)
{
    expire(now);
    for (auto delivery = deliveries_.begin(); delivery != deliveries_.end();) {
        const bool isOver = now >= delivery->second.resendAt && !send(delivery->second, now);
        delivery = isOver ? deliveries_.erase(delivery) : std::next(delivery);
    }
    std::vector<StreamKey> ended;
    for (auto &[key, lookup] : lookups_) {
        if (now >= lookup.endAt && isOver(lookup, now)) {
            ended.push_back(key);
        } else if (now >= lookup.resendAt) {
            lookup.resendAt = Never;
            for (const HostId &host : lookup.unanswered) {
                sendQuery(host, lookup.query);
            }
        }
    }
    for (const StreamKey key : ended) {
        conclude(key, originWithoutRecord(lookups_.at(key), now));
    }
}

Instant StreamOrigins::nextDeadline() const
{
    Instant next = Never;
    for (const auto &[key, delivery] : deliveries_) {
        next = std::min(next, delivery.resendAt);
    }
    for (const auto &[key, lookup] : lookups_) {
        next = std::min({next, lookup.resendAt, lookup.endAt});
    }
    return next;
}

} // namespace sequoiagate
