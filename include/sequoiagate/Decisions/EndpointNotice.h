#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTNOTICE_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTNOTICE_H

/// What an endpoint's response says about the endpoint: the load that it bears, and whether it
/// wants more.

#include <cstdint>
#include <optional>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct EndpointNotice
{
    /// Requests per second that the endpoint accepts from all hosts together.
    std::optional<double> maxRequestsPerSecond;
    /// Requests per second that it can reject for lack of capacity without failing.
    std::optional<uint32_t> maxRejectionsPerSecond;
    /// It rejected this request, for lack of capacity.
    bool rejected = false;
    /// It is about to end and takes no new requests.
    bool isLeaving = false;
    /// It turned this request away and wants no other from this host for so long.
    std::optional<Interval> backoff;
};

/// The process of an endpoint that a notice is about, and the request whose response bears it.
struct NoticeSource
{
    EndpointId endpoint;
    uint64_t startedAtMillis = 0; ///< of the process that was listed when the request was sent
    RequestId request;
    Instant sentAt{};
};

} // namespace sequoiagate

#endif
