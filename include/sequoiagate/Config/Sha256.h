#ifndef SEQUOIAGATE_CONFIG_SHA256_H
#define SEQUOIAGATE_CONFIG_SHA256_H

#include <string>
#include <string_view>

namespace sequoiagate {

/// The SHA-256 of \p text in hex, the form in which the configuration stores API keys.
/// Operators' commands store keys by it and routers look them up by it, so both must use
/// this function. Thread safe.
/// \throws std::runtime_error if the library fails to compute it.
std::string sha256Hex(std::string_view text);

} // namespace sequoiagate

#endif
