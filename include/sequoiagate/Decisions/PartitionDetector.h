#ifndef SEQUOIAGATE_DECISIONS_PARTITIONDETECTOR_H
#define SEQUOIAGATE_DECISIONS_PARTITIONDETECTOR_H

/// Detects that this host can't establish connections to any endpoint. Pure.
///
/// An endpoint that is down, or silent for a moment, looks the same to a single request. The
/// difference is that other endpoints still accept connections or respond: connections to two
/// endpoints must fail, with no connection established and no response of a third endpoint in
/// between. Connections that were open before a partition may go on working, so responses of
/// endpoints to which new connections fail don't count. A partition ends only when a connection
/// is established again.

#include <cstddef>
#include <map>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class PartitionDetector
{
public:
    /// Failures longer ago say nothing about the present.
    static constexpr Interval FailureLifetime = std::chrono::seconds(3);

    void setEndpointCount(std::size_t count) { endpointCount_ = count; }
    void onConnected(Instant now);
    void onConnectFailed(const EndpointId &endpoint, Instant now);
    /// \p endpoint responded on a connection of this host.
    void onResponse(const EndpointId &endpoint, Instant now);

    bool isPartitioned() const { return partitionedSince_ != Never; }
    /// Whether the last connections failed, so that the next is likely to fail as well.
    bool isSuspect(Instant now) const;
    /// Whether connections to \p endpoint that were open before the partition still work.
    bool hasRespondedSince(const EndpointId &endpoint) const;
    Instant partitionedSince() const { return partitionedSince_; }
    /// The number of endpoints to which connections failed.
    std::size_t failedEndpoints() const { return failures_.size(); }

private:
    void expire(Instant now);

    std::size_t endpointCount_ = 0;
    std::map<EndpointId, Instant> failures_;  ///< last failure, by endpoint
    std::map<EndpointId, Instant> responses_; ///< during a partition
    Instant partitionedSince_ = Never;
};

} // namespace sequoiagate

#endif
