#ifndef SEQUOIAGATE_DECISIONS_VERSIONHISTORY_H
#define SEQUOIAGATE_DECISIONS_VERSIONHISTORY_H

/// The software versions that the endpoints of each service had of late, as far as this host has
/// read. Pure.
///
/// While a service had one version for longer than any stream can have gone on, every stream began
/// at that version, and nothing needs to be recorded of it. This holds only for a host that has
/// read all changes of the list in that time and is up to date.
///
/// What hosts have seen is lost when all of them end at once, and the endpoints of a version may
/// leave before the hosts are back. So the store has a record of the versions of each service
/// (VersionRecorder). A host that hasn't read the list for long enough counts recorded versions as
/// if they were listed.

#include <map>
#include <set>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// A version that an endpoint of a service has.
struct ListedVersion
{
    ServiceId service;
    SoftwareVersion version;
};

/// What a host knows of the versions that a stream of a service can have begun at.
enum class VersionKnowledge {
    Unknown, ///< the host hasn't read the list for long enough, or isn't up to date
    Several,
    Sole,
};

struct VersionView
{
    VersionKnowledge knowledge = VersionKnowledge::Unknown;
    SoftwareVersion version; ///< the sole one; if Unknown, the only one that the host has seen
    /// Whether the store's record, as this host has read it, names that version and no other.
    bool isRecorded = false;
};

/// What streams of a service can have begun at, as kept in the store.
struct VersionRecord
{
    std::set<SoftwareVersion> versions;
    bool hasMovedRoute = false; ///< or at another service, from which a route was moved

    bool operator==(const VersionRecord &) const = default;
};

/// Not thread safe.
class VersionHistory
{
public:
    /// How long a version still counts after its last endpoint was removed from the list: a host
    /// that is partitioned from the store keeps endpoints whose entries were removed.
    static constexpr Interval RemovedVersionSpan = std::chrono::minutes(2);
    /// A list that was read longer ago isn't up to date. Reads return after less than a second.
    static constexpr Interval MaxListAge = std::chrono::seconds(2);

    /// Sets the longest time that a stream takes.
    void setLongestStream(Interval longest) { longestStream_ = longest; }
    /// Replaces the versions that are listed.
    void setListed(const std::vector<ListedVersion> &listed, Instant now);
    /// Called whenever the list is complete as of \p asOf, when the read was sent: the store may
    /// have answered just after that, and its answer may have waited here. \param sinceBoot the
    /// clock since boot at that time
    void onRead(Instant asOf, Millis sinceBoot = Millis::zero())
    {
        readAt_ = asOf;
        readSinceBoot_ = sinceBoot;
    }
    /// Called before view() with the clock since boot. It goes on while the host sleeps, and the
    /// steady clock doesn't: a list that seems recent may have been read before.
    void checkAge(Millis sinceBoot);
    /// Called if changes of the list may have been missed.
    void onGap(Instant now);
    /// Called if requests that went to another service so far go to \p service from now on.
    void onRouteMoved(const ServiceId &service, Instant now);
    /// Replaces the store's record of \p service.
    void setRecord(const ServiceId &service, VersionRecord record);
    /// Called once all records that the store had when this host started have been read.
    void onRecordsRead() { recordsRead_ = true; }
    /// What is to replace the records that are out of date. Empty until all records have been read.
    std::map<ServiceId, VersionRecord> outdatedRecords(Instant now) const;

    /// Whether the list that this host has read is recent.
    bool isUpToDate(Instant now) const { return now < readAt_ + MaxListAge; }
    /// Whether the list that this host has read is complete as of \p at.
    bool isReadSince(Instant at) const { return readAt_ >= at; }
    VersionView view(const ServiceId &service, Instant now) const;

private:
    struct Service
    {
        std::map<SoftwareVersion, Instant> lastListedAt; ///< Never while it is listed
        VersionRecord record;
        Instant observedSince{};
    };

    Interval span() const { return RemovedVersionSpan + longestStream_; }
    /// Whether this host has seen all versions of the last span() and is up to date.
    bool isComplete(const Service &service, Instant now) const;
    /// What streams can have begun at as far as this host has seen.
    VersionRecord observed(const Service &service, Instant now) const;
    /// The same with the record in the store, unless this host has seen enough by itself.
    VersionRecord known(const Service &service, Instant now) const;

    std::map<ServiceId, Service> services_;
    Interval longestStream_{};
    Instant observedSince_ = Never;
    Instant readAt_{};
    Millis readSinceBoot_{};
    bool recordsRead_ = false;
};

} // namespace sequoiagate

#endif
