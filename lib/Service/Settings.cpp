#include "sequoiagate/Service/Settings.h"

#include <fstream>

#include <fmt/format.h>

namespace sequoiagate {

nlohmann::json loadSettings(const std::string &path, const nlohmann::json &schema)
{
    std::ifstream file(path);
    if (!file) {
        throw SettingsError(fmt::format("settings file '{}' can't be opened", path));
    }
    nlohmann::json settings = nlohmann::json::parse(file, nullptr, false);
    if (!settings.is_object()) {
        throw SettingsError(fmt::format("settings file '{}' is not a JSON object", path));
    }
    for (const auto &[key, rule] : schema.at("properties").items()) {
        if (!settings.contains(key) && rule.contains("default")) {
            settings[key] = rule.at("default");
        }
    }
    return settings;
}

Millis millisOf(const nlohmann::json &settings, const std::string &key)
{
    return Millis(settings.at(key).get<int64_t>());
}

} // namespace sequoiagate
