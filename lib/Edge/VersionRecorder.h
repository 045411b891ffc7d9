#ifndef SEQUOIAGATE_LIB_EDGE_VERSIONRECORDER_H
#define SEQUOIAGATE_LIB_EDGE_VERSIONRECORDER_H

/// Keeps the records of VersionHistory in the store, so that they outlive the hosts.
///
/// A record is written when it changes: when a service gets its first endpoints, when a version is
/// added, and once a version has been gone for long. All hosts see the same list and would write
/// the same row, so the one that rendezvous hashing ranks first for the service writes at once, and
/// each further one only if the row hasn't come by then.

#include <map>
#include <string>
#include <vector>

#include "RowAppender.h"
#include "sequoiagate/Decisions/VersionHistory.h"
#include "sequoiagate/Edge/PeerLink.h"

namespace sequoiagate {

inline constexpr const char *VersionRowPrefix = "versions/";

/// Thread safe, as is the following.
StoreRow encodeVersionRow(const ServiceId &service, const VersionRecord &record);
struct VersionRow
{
    ServiceId service;
    VersionRecord record;
};
/// Decodes a row whose key has the prefix. One that can't be read says that streams may have begun
/// elsewhere, so that none is taken up at a version that it may have named.
VersionRow decodeVersionRow(const StoreRow &row);

/// Single-threaded.
class VersionRecorder
{
public:
    /// Between the writes of two hosts: longer than it takes to read a row in a fleet of 75 hosts.
    static constexpr Interval DelayPerRank = std::chrono::seconds(1);
    /// Hosts behind this rank write together.
    static constexpr std::size_t MaxRank = 4;
    /// After the start, until the other hosts are known: without it each host ranks itself first.
    static constexpr Interval StartDelay = std::chrono::seconds(1);

    /// \pre all arguments outlive it
    VersionRecorder(boost::asio::io_context &io, Store &store, std::string topic,
                    std::string writer, const HostId &self, VersionHistory &versions,
                    EventLog &log);

    void setHosts(const std::vector<Peer> &others);
    /// Takes a row of the topic.
    void onRow(const StoreRow &row);
    /// Called once all rows that the store had when this process started were handed over.
    void onTopicRead(Instant now);
    /// Writes what is due. To be called several times a second.
    void tick(Instant now);

private:
    std::vector<StoreRow> compose(Instant now);
    bool isDue(const ServiceId &service, Instant now) const;
    /// How many hosts write the record of \p service before this one.
    std::size_t rankFor(const ServiceId &service) const;

    HostId self_;
    VersionHistory &versions_;
    EventLog &log_;
    std::vector<HostId> others_;
    Instant writesFrom_ = Never;
    Instant tickedAt_{};
    std::map<ServiceId, Instant> outdatedSince_; ///< or since they were last written
    RowAppender appender_;
};

} // namespace sequoiagate

#endif
