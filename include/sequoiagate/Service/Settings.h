#ifndef SEQUOIAGATE_SERVICE_SETTINGS_H
#define SEQUOIAGATE_SERVICE_SETTINGS_H

/// Settings files: JSON, checked against the program's schema before anything
/// else starts.

#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// One line: the key, the value found, and what is allowed.
class SettingsError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Reads \p path and checks it against \p schema (JSON Schema, draft 7, in which
/// every key has a description and a default).
/// \returns the settings with defaults filled in.
/// \throws SettingsError
nlohmann::json loadSettings(const std::string &path, const nlohmann::json &schema);

/// Checks \p settings, a part of a file that \p where names, in the same way.
/// \returns it with defaults filled in. \throws SettingsError
nlohmann::json checkSettings(nlohmann::json settings, const nlohmann::json &schema,
                             const std::string &where);

/// What \p rule, a key's part of a schema, allows, in words: "an integer from 1 to 64".
std::string allowedText(const nlohmann::json &rule);

/// Reads an interval that the key names in milliseconds (\p key ends in "_ms").
/// \pre the settings passed their schema.
Millis millisOf(const nlohmann::json &settings, const std::string &key);

} // namespace sequoiagate

#endif
