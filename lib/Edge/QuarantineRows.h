#ifndef SEQUOIAGATE_LIB_EDGE_QUARANTINEROWS_H
#define SEQUOIAGATE_LIB_EDGE_QUARANTINEROWS_H

/// Encodes and decodes the rows of quarantined parts and requests in the edge's own topic, by which
/// a quarantine outlives the hosts that know it.
///
/// Steady clocks of hosts have no common origin and begin again with their machines, so a row names
/// the end by the time of day. A clock that is wrong changes the end by as much, and never beyond
/// MaxQuarantine.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiagate/Decisions/CrashingParts.h"
#include "sequoiagate/Store/Store.h"

namespace sequoiagate {

using WallTime = std::chrono::system_clock::time_point;

inline constexpr const char *QuarantineRowPrefix = "quarantine/";
/// Of requests. Processes of earlier versions take such a row for a malformed one of a part.
inline constexpr const char *RequestQuarantineRowPrefix = "quarantine/request/";

/// \param prefix that of the rows' keys
/// Thread safe, as are the following.
StoreRow encodeQuarantineRow(const Quarantine &quarantine, Instant now, WallTime wallNow,
                             std::string_view prefix = QuarantineRowPrefix);
/// The row that removes the row of \p part.
StoreRow encodeQuarantineRemoval(PartKey part, std::string_view prefix = QuarantineRowPrefix);
/// \returns the quarantine of a row, which may be over; nullopt if the row is malformed or a
///     removal. Fields of later versions are ignored.
std::optional<Quarantine> decodeQuarantineRow(const StoreRow &row, Instant now, WallTime wallNow,
                                              std::string_view prefix = QuarantineRowPrefix);

} // namespace sequoiagate

#endif
