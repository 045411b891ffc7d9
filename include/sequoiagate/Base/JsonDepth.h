#ifndef SEQUOIAGATE_BASE_JSONDEPTH_H
#define SEQUOIAGATE_BASE_JSONDEPTH_H

/// Bounds what it takes to parse JSON of other writers: each level of nesting costs allocations,
/// and the thread that parses it does nothing else meanwhile.

#include <cstddef>
#include <string_view>

namespace sequoiagate {

/// More than rows and configurations need.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Whether \p text nests lists and objects more than MaxJsonDepth deep. It needn't be valid JSON.
/// Thread safe.
bool isNestedTooDeeply(std::string_view text);

} // namespace sequoiagate

#endif
