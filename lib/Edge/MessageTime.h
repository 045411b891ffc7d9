#ifndef SEQUOIAGATE_LIB_EDGE_MESSAGETIME_H
#define SEQUOIAGATE_LIB_EDGE_MESSAGETIME_H

/// Times in the datagrams between hosts.

#include <algorithm>
#include <cstdint>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// The milliseconds that \p value states, between 0 and \p longest.
///
/// A peer may state a number that Interval can't hold, so it is bounded before any conversion.
///
/// \pre \p longest isn't negative
/// \throws nlohmann::json::exception if \p value isn't a number. Thread safe.
inline Millis parseBoundedMillis(const nlohmann::json &value, Interval longest)
{
    return std::clamp(Millis(value.get<int64_t>()), Millis(0),
                      std::chrono::duration_cast<Millis>(longest));
}

} // namespace sequoiagate

#endif
