#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTPROCESS_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTPROCESS_H

/// Identifies a process that listens as an endpoint. One that starts again under the endpoint's id
/// is another process.

#include <cstdint>
#include <tuple>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

struct EndpointProcess
{
    EndpointId endpoint;
    uint64_t startedAtMillis = 0; ///< 0 if it isn't known

    friend bool operator==(const EndpointProcess &, const EndpointProcess &) = default;
    friend bool operator<(const EndpointProcess &a, const EndpointProcess &b)
    {
        return std::tie(a.endpoint, a.startedAtMillis) < std::tie(b.endpoint, b.startedAtMillis);
    }
};

/// \returns the key of \p map for \p process: where one of the two has no start, an endpoint's id
/// stands for its process. Thread safe.
template <typename Map>
EndpointProcess knownProcess(const Map &map, const EndpointProcess &process)
{
    const auto found = map.lower_bound(EndpointProcess{process.endpoint, 0});
    const bool isListed = found != map.end() && found->first.endpoint == process.endpoint;
    const bool isSame =
            isListed && (found->first.startedAtMillis == 0 || process.startedAtMillis == 0);
    return isSame ? found->first : process;
}

} // namespace sequoiagate

#endif
