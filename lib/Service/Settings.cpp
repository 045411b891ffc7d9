#include "sequoiagate/Service/Settings.h"

#include <fstream>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace sequoiagate {

namespace {

using Json = nlohmann::json;

/// A place in the settings together with the schema's rule for it.
struct Place
{
    std::string key; ///< dotted, empty for the whole file
    const Json *value;
    const Json *rule;
};

void fillDefaults(Json &settings, const Json &schema)
{
    if (!settings.is_object() || !schema.contains("properties")) {
        return;
    }
    for (const auto &[key, rule] : schema.at("properties").items()) {
        if (!settings.contains(key) && rule.contains("default")) {
            settings[key] = rule.at("default");
        }
        if (settings.contains(key)) {
            fillDefaults(settings[key], rule);
        }
    }
}

/// Follows the validator's path: "<root>", then "[name]" for each key or index.
Place placeOf(const std::vector<std::string> &context, const Json &settings, const Json &schema)
{
    Place place{"", &settings, &schema};
    for (std::size_t i = 1; i < context.size(); ++i) {
        const std::string name = context[i].substr(1, context[i].size() - 2);
        if (place.value->is_array() && place.rule->contains("items")) {
            place.value = &place.value->at(std::stoul(name));
            place.rule = &place.rule->at("items");
            place.key += fmt::format("[{}]", name);
            continue;
        }
        const bool known = place.value->is_object() && place.value->contains(name)
                           && place.rule->contains("properties")
                           && place.rule->at("properties").contains(name);
        if (!known) {
            break;
        }
        place.value = &place.value->at(name);
        place.rule = &place.rule->at("properties").at(name);
        place.key += (place.key.empty() ? "" : ".") + name;
    }
    return place;
}

std::string typeText(const Json &rule)
{
    const std::string type = rule.value("type", "value");
    const bool vowel = !type.empty() && std::string("aeiou").find(type[0]) != std::string::npos;
    return (vowel ? "an " : "a ") + type;
}

std::vector<std::string> keysOf(const Json &object)
{
    std::vector<std::string> keys;
    for (const auto &[key, value] : object.items()) {
        keys.push_back(key);
    }
    return keys;
}

std::string childKey(const Place &place, const std::string &name)
{
    return place.key.empty() ? name : place.key + "." + name;
}

/// Why an object fails by its own rule: a key too many or too few.
std::string objectFault(const Place &place)
{
    const Json properties = place.rule->value("properties", Json::object());
    for (const auto &[key, value] : place.value->items()) {
        if (!properties.contains(key)) {
            return fmt::format("unknown key '{}' with value {}; allowed: {}", childKey(place, key),
                               value.dump(), fmt::join(keysOf(properties), ", "));
        }
    }
    for (const Json &required : place.rule->value("required", Json::array())) {
        const auto key = required.get<std::string>();
        if (!place.value->contains(key)) {
            return fmt::format("key '{}' is missing; allowed: {}", childKey(place, key),
                               allowedText(properties.value(key, Json::object())));
        }
    }
    return "";
}

std::string faultText(const Place &place, const std::string &description)
{
    if (place.value->is_object() && place.rule->value("type", "object") == "object") {
        const std::string fault = objectFault(place);
        if (!fault.empty()) {
            return fault;
        }
    }
    if (place.key.empty()) {
        return description;
    }
    return fmt::format("key '{}' is {}; allowed: {}", place.key, place.value->dump(),
                       allowedText(*place.rule));
}

void checkBySchema(const std::string &where, const Json &settings, const Json &schemaJson)
{
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), schema);
    // Strong types, so that "5" isn't taken for 5.
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter target(settings);
    if (validator.validate(schema, target, &results)) {
        return;
    }
    // The innermost place comes first; those after it are the objects around it.
    valijson::ValidationResults::Error error;
    results.popError(error);
    const Place place = placeOf(error.context, settings, schemaJson);
    throw SettingsError(fmt::format("{}: {}", where, faultText(place, error.description)));
}

} // namespace

std::string allowedText(const nlohmann::json &rule)
{
    if (rule.contains("enum")) {
        return "one of " + rule.at("enum").dump();
    }
    std::string text = typeText(rule);
    if (rule.contains("minimum")) {
        text += " from " + rule.at("minimum").dump();
    }
    if (rule.contains("exclusiveMinimum")) {
        text += " above " + rule.at("exclusiveMinimum").dump();
    }
    if (rule.contains("maximum")) {
        text += " to " + rule.at("maximum").dump();
    }
    if (rule.contains("minLength")) {
        text += fmt::format(" of {} characters or more", rule.at("minLength").dump());
    }
    if (rule.contains("minItems")) {
        text += fmt::format(" of {} items or more", rule.at("minItems").dump());
    }
    if (rule.contains("pattern")) {
        text += " that matches " + rule.at("pattern").get<std::string>();
    }
    return text;
}

nlohmann::json loadSettings(const std::string &path, const nlohmann::json &schema)
{
    std::ifstream file(path);
    if (!file) {
        throw SettingsError(fmt::format("settings file '{}' can't be opened", path));
    }
    Json settings;
    try {
        settings = Json::parse(file);
    } catch (const Json::parse_error &error) {
        throw SettingsError(
                fmt::format("settings file '{}' is not JSON: fault at byte {}", path, error.byte));
    }
    if (!settings.is_object()) {
        throw SettingsError(fmt::format("settings file '{}' is not a JSON object", path));
    }
    return checkSettings(std::move(settings), schema, fmt::format("settings file '{}'", path));
}

nlohmann::json checkSettings(nlohmann::json settings, const nlohmann::json &schema,
                             const std::string &where)
{
    fillDefaults(settings, schema);
    checkBySchema(where, settings, schema);
    return settings;
}

Millis millisOf(const nlohmann::json &settings, const std::string &key)
{
    return Millis(settings.at(key).get<int64_t>());
}

} // namespace sequoiagate
