#ifndef SEQUOIAGATE_CONFIG_SHA256_H
#define SEQUOIAGATE_CONFIG_SHA256_H

#include <string>
#include <string_view>

namespace sequoiagate {

/// The hex SHA-256 of \p text: how API keys stand in the configuration. Operators
/// store by it and routers look up by it, so that there is this one only. Thread safe.
/// \throws std::runtime_error if the library can't compute it.
std::string sha256Hex(std::string_view text);

} // namespace sequoiagate

#endif
