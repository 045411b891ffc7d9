#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTRATE_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTRATE_H

/// How fast an endpoint works compared with the other endpoints of its service.

#include <cstdint>
#include <optional>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Factors of the time that the median endpoint of the service takes: 2 is twice as slow.
struct EndpointRate
{
    double prefillFactor = 1.0;
    double decodeFactor = 1.0;
    uint32_t samples = 0; ///< 0: the endpoint's process is unknown
    Interval age{};       ///< of the newest sample
};

/// Not thread safe.
class EndpointRateSource
{
public:
    virtual ~EndpointRateSource() = default;
    /// The rate of the process that is listed as \p endpoint; the usual one if it is unknown.
    virtual EndpointRate rateOf(const EndpointId &endpoint, Instant now) const = 0;
    /// The part of the fleet's requests that this host sends, in (0, 1]; nullopt if the load of the
    /// other hosts isn't known. The balancer may give one host ten times as many as another.
    virtual std::optional<double> hostShare(Instant) const { return std::nullopt; }
};

} // namespace sequoiagate

#endif
