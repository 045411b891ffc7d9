#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTNOTICE_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTNOTICE_H

/// What an endpoint's response says about the load that the endpoint bears.

#include <cstdint>
#include <optional>

namespace sequoiagate {

struct EndpointNotice
{
    /// Requests per second that the endpoint accepts from all hosts together.
    std::optional<double> maxRequestsPerSecond;
    /// Requests per second that it can reject for lack of capacity without failing.
    std::optional<uint32_t> maxRejectionsPerSecond;
    /// It rejected this request, for lack of capacity.
    bool rejected = false;
};

} // namespace sequoiagate

#endif
