#include "sequoiagate/Decisions/PartitionDetector.h"

#include <algorithm>

namespace sequoiagate {

void PartitionDetector::expire(Instant now)
{
    std::erase_if(failures_,
                  [now](const auto &failure) { return now >= failure.second + FailureLifetime; });
}

void PartitionDetector::onConnected(Instant)
{
    failures_.clear();
    responses_.clear();
    partitionedSince_ = Never;
}

void PartitionDetector::onConnectFailed(const EndpointId &endpoint, Instant now)
{
    if (isPartitioned()) {
        return;
    }
    expire(now);
    failures_[endpoint] = now;
    constexpr std::size_t MinFailures = 2;
    if (failures_.size() >= std::min(MinFailures, std::max<std::size_t>(endpointCount_, 1))) {
        partitionedSince_ = now;
    }
}

void PartitionDetector::onResponse(const EndpointId &endpoint, Instant now)
{
    if (isPartitioned()) {
        responses_[endpoint] = now;
        return;
    }
    if (failures_.count(endpoint) == 0) {
        failures_.clear();
    }
}

bool PartitionDetector::isSuspect(Instant now) const
{
    return isPartitioned()
           || std::any_of(failures_.begin(), failures_.end(), [now](const auto &failure) {
                  return now < failure.second + FailureLifetime;
              });
}

bool PartitionDetector::hasRespondedSince(const EndpointId &endpoint) const
{
    return responses_.count(endpoint) > 0;
}

} // namespace sequoiagate
