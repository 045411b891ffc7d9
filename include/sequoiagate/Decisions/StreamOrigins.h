#ifndef SEQUOIAGATE_DECISIONS_STREAMORIGINS_H
#define SEQUOIAGATE_DECISIONS_STREAMORIGINS_H

/// Remembers at which software version each resumable stream began, so that it goes on only there.
/// Pure: messages and deadlines are the caller's.
///
/// What endpoints of two versions write doesn't fit together, endpoints don't check it, and a
/// caller that takes a stream up names only the request that brought its first event. The host that
/// it asks may be another one than began the stream, which may have ended. So the host that
/// forwards a stream's first event sends a record to a few others (ReplicaPlacement) before, and
/// repeats it until it is acknowledged. A host that is asked to go on looks for the record at the
/// same hosts.
///
/// A stream without a record may go on only if its service had one version all the time
/// (VersionHistory), as this host or one of those that it asked knows, and none of them knows
/// better. Where most of them don't answer, this host has to read the list once more: a version may
/// have been listed since it last did. While a service has one version, nothing is sent when
/// streams begin.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/ReplicaPlacement.h"
#include "sequoiagate/Decisions/VersionHistory.h"

namespace sequoiagate {

/// Identifies a stream of a service. A stream of another service isn't the same one, even if it
/// began with the same request.
using StreamKey = uint64_t;

/// \param first the request that brought the stream's first event
StreamKey streamKey(const ServiceId &service, const RequestId &first);

struct StreamRecord
{
    StreamKey key = 0;
    SoftwareVersion version;
};

struct OriginQuery
{
    StreamKey key = 0;
    ServiceId service;
};

struct OriginResponse
{
    StreamKey key = 0;
    std::optional<SoftwareVersion> recorded;
    VersionView listed; ///< what the responding host knows of the service
};

enum class OriginSource {
    Own,         ///< this host's own record
    Peer,        ///< another host's record
    SoleVersion, ///< no record, but the service had no other version
    Unknown,
};

/// The source's stable name in lower_snake_case.
const char *originSourceName(OriginSource source);

struct StreamOrigin
{
    OriginSource source = OriginSource::Unknown;
    SoftwareVersion version; ///< unless the source is Unknown
    HostId host;             ///< the other host that said so, if one did
    std::size_t asked = 0;
    std::size_t responded = 0;
};

/// Not thread safe.
class StreamOrigins
{
public:
    /// How long a stream may be taken up after it broke off.
    static constexpr Interval ResumptionWindow = std::chrono::minutes(1);
    /// Bounds memory; a record takes about a hundred bytes.
    static constexpr std::size_t MaxRecords = 100'000;
    /// Bounds the records that wait for acknowledgements.
    static constexpr std::size_t MaxDeliveries = 4'096;
    static constexpr Interval ResendDelay = std::chrono::milliseconds(60);
    static constexpr int MaxSends = 3;
    /// How long responses are awaited, and when those that are missing are asked again.
    static constexpr Interval QueryTimeout = std::chrono::milliseconds(120);
    static constexpr Interval QueryResendDelay = std::chrono::milliseconds(40);
    /// How long this host waits for its list where most responses are missing, and how often it
    /// looks.
    static constexpr Interval ListTimeout = std::chrono::milliseconds(300);
    static constexpr Interval ListCheckInterval = std::chrono::milliseconds(20);

    using FoundHandler = std::function<void(const StreamOrigin &)>;

    explicit StreamOrigins(DomainId self) : placement_(std::move(self)) {}

    /// Called to send a message to another host. Set before any other call.
    std::function<void(const HostId &to, const StreamRecord &)> sendRecord;
    std::function<void(const HostId &to, const OriginQuery &)> sendQuery;

    void setHosts(const std::vector<HostPlace> &others) { placement_.setHosts(others); }
    /// Sets the longest time that a stream takes.
    void setLongestStream(Interval longest);
    VersionHistory &versions() { return versions_; }

    /// Called before an event of a stream is forwarded for the first time in a request.
    void onStreamBegan(const ServiceId &service, const RequestId &first,
                       const SoftwareVersion &version, Instant now);
    /// Calls \p handler, possibly from inside this call, at the latest after ListTimeout.
    /// \param first empty if the caller doesn't name it. Such a stream goes on if no host that is
    ///     asked has seen more than one version of its service, and the store's record names that
    ///     one alone: hosts that all started again have seen no version that left before.
    void find(const ServiceId &service, const RequestId &first, Instant now, FoundHandler handler);

    /// Another host's record, which is to be acknowledged to it.
    void onRecord(const StreamRecord &record, Instant now);
    void onAcknowledged(const HostId &by, StreamKey key);
    /// Returns the response to another host's query.
    OriginResponse respond(const OriginQuery &query, Instant now) const;
    void onResponse(const HostId &from, const OriginResponse &response, Instant now);

    /// Resends what is due and ends queries. To be called at nextDeadline().
    void tick(Instant now);
    Instant nextDeadline() const;
    std::size_t recordCount() const { return records_.size(); }

private:
    struct Record
    {
        SoftwareVersion version;
        Instant expiresAt{};
    };

    /// A record that isn't acknowledged by as many hosts as it should be.
    struct Delivery
    {
        StreamRecord record;
        std::vector<ReplicaCandidates> candidates;
        std::set<HostId> acknowledgedBy;
        int sends = 0;
        Instant resendAt{};
    };

    struct Lookup
    {
        OriginQuery query;
        bool isNamed = true;
        std::vector<FoundHandler> handlers;
        std::set<HostId> unanswered;
        std::vector<VersionView> views;
        std::size_t asked = 0;
        Instant beganAt{};
        Instant resendAt{};
        Instant endAt{};
    };

    Interval recordLifetime() const { return longestStream_ + ResumptionWindow; }
    void keep(const StreamRecord &record, Instant now);
    void expire(Instant now);
    std::optional<SoftwareVersion> recorded(StreamKey key, Instant now) const;
    bool send(Delivery &delivery, Instant now);
    bool isDelivered(const Delivery &delivery) const;
    /// Whether a version that was listed before the lookup can't have been missed.
    bool isCurrent(const Lookup &lookup) const;
    /// What the responses say of a stream that nobody has a record of.
    StreamOrigin originWithoutRecord(const Lookup &lookup, Instant now) const;
    /// The same if a version can't have been missed.
    StreamOrigin originIfCurrent(const Lookup &lookup, Instant now) const;
    /// Ends a lookup, or lets it wait for the list. \returns whether it ends
    bool isOver(Lookup &lookup, Instant now) const;
    void conclude(StreamKey key, const StreamOrigin &origin);

    ReplicaPlacement placement_;
    VersionHistory versions_;
    Interval longestStream_{};
    std::unordered_map<StreamKey, Record> records_;
    std::deque<std::pair<Instant, StreamKey>> expiries_; ///< in the order of the records
    std::map<StreamKey, Delivery> deliveries_;
    std::map<StreamKey, Lookup> lookups_;
};

} // namespace sequoiagate

#endif
