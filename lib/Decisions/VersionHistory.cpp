#include "sequoiagate/Decisions/VersionHistory.h"

#include <algorithm>
#include <utility>

namespace sequoiagate {

void VersionHistory::setListed(const std::vector<ListedVersion> &listed, Instant now)
{
    for (auto &[name, service] : services_) {
        for (auto &[version, lastListedAt] : service.lastListedAt) {
            lastListedAt = std::min(lastListedAt, now);
        }
        std::erase_if(service.lastListedAt,
                      [this, now](const auto &entry) { return now >= entry.second + span(); });
    }
    for (const ListedVersion &row : listed) {
        services_[row.service].lastListedAt[row.version] = Never;
    }
}

void VersionHistory::checkAge(Millis sinceBoot)
{
    if (sinceBoot >= readSinceBoot_ + MaxListAge) {
        readAt_ = Instant();
    }
}

void VersionHistory::onGap(Instant now)
{
    observedSince_ = now;
}

void VersionHistory::onRouteMoved(const ServiceId &service, Instant now)
{
    services_[service].observedSince = now;
}

void VersionHistory::setRecord(const ServiceId &service, VersionRecord record)
{
    services_[service].record = std::move(record);
}

bool VersionHistory::isComplete(const Service &service, Instant now) const
{
    const bool isLongEnough = observedSince_ != Never && now >= observedSince_ + span()
                              && now >= service.observedSince + span();
    return isLongEnough && isUpToDate(now);
}

VersionRecord VersionHistory::observed(const Service &service, Instant now) const
{
    VersionRecord observed;
    for (const auto &[version, lastListedAt] : service.lastListedAt) {
        if (lastListedAt == Never || now < lastListedAt + span()) {
            observed.versions.insert(version);
        }
    }
    observed.hasMovedRoute = now < service.observedSince + span();
    return observed;
}

VersionRecord VersionHistory::known(const Service &service, Instant now) const
{
    VersionRecord known = observed(service, now);
    if (!isComplete(service, now)) {
        known.versions.insert(service.record.versions.begin(), service.record.versions.end());
        known.hasMovedRoute = known.hasMovedRoute || service.record.hasMovedRoute;
    }
    return known;
}

std::map<ServiceId, VersionRecord> VersionHistory::outdatedRecords(Instant now) const
{
    std::map<ServiceId, VersionRecord> outdated;
    if (!recordsRead_) {
        return outdated;
    }
    for (const auto &[name, service] : services_) {
        VersionRecord record = known(service, now);
        if (!record.versions.empty() && record != service.record) {
            outdated.emplace(name, std::move(record));
        }
    }
    return outdated;
}

VersionView VersionHistory::view(const ServiceId &service, Instant now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    const VersionRecord known = this->known(found->second, now);
    if (known.versions.size() > 1) {
        return {VersionKnowledge::Several, {}};
    }
    if (observed(found->second, now).versions.empty() || known.hasMovedRoute) {
        return {};
    }
    const VersionKnowledge knowledge =
            isComplete(found->second, now) ? VersionKnowledge::Sole : VersionKnowledge::Unknown;
    return {knowledge, *known.versions.begin(), recordsRead_ && known == found->second.record};
}

} // namespace sequoiagate
