#include "sequoiagate/Service/Settings.h"

#include <fstream>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

const char *const Schema = R"({
    "$schema": "http://json-schema.org/draft-07/schema#",
    "type": "object", "additionalProperties": false, "required": ["host"],
    "properties": {
        "host": {"type": "string", "minLength": 1},
        "shards": {"type": "integer", "minimum": 1, "maximum": 64, "default": 4},
        "share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1, "default": 0.5},
        "mode": {"enum": ["fast", "safe"], "default": "safe"},
        "peers": {"type": "array", "items": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
                  "default": []},
        "tls": {"type": "object", "additionalProperties": false, "required": ["key"],
                "properties": {"key": {"type": "string"},
                               "reload_s": {"type": "integer", "minimum": 1, "default": 10}}}
    }})";

nlohmann::json load(const std::string &text)
{
    const std::string path = testing::TempDir() + "/SettingsTest.json";
    std::ofstream(path) << text;
    return loadSettings(path, nlohmann::json::parse(Schema));
}

struct BadSettings
{
    const char *name;
    const char *text;
    const char *complaint;
};

class SettingsRefuse : public testing::TestWithParam<BadSettings>
{};

constexpr BadSettings BadFiles[] = {
        {"NotJson", R"({"host": "h1")", "is not JSON: fault at byte"},
        {"NotAnObject", "[1]", "is not a JSON object"},
        {"UnknownKey", R"({"host": "h1", "shard": 5})",
         "unknown key 'shard' with value 5; allowed: host, mode, peers, shards, share, tls"},
        {"WrongType", R"({"host": "h1", "shards": "5"})",
         R"(key 'shards' is "5"; allowed: an integer from 1 to 64)"},
        {"Fraction", R"({"host": "h1", "shards": 1.5})",
         "key 'shards' is 1.5; allowed: an integer from 1 to 64"},
        {"TooLow", R"({"host": "h1", "shards": 0})",
         "key 'shards' is 0; allowed: an integer from 1 to 64"},
        {"TooHigh", R"({"host": "h1", "shards": 65})",
         "key 'shards' is 65; allowed: an integer from 1 to 64"},
        {"OnExclusiveBound", R"({"host": "h1", "share": 0})",
         "key 'share' is 0; allowed: a number above 0 to 1"},
        {"NotInEnum", R"({"host": "h1", "mode": "wild"})",
         R"(key 'mode' is "wild"; allowed: one of ["fast","safe"])"},
        {"Missing", R"({})", "key 'host' is missing; allowed: a string of 1 characters or more"},
        {"Empty", R"({"host": ""})", "key 'host' is \"\"; allowed: a string of 1 characters"},
        {"NullHost", R"({"host": null})", "key 'host' is null; allowed: a string"},
        {"InArray", R"({"host": "h1", "peers": ["10.0.0.1:5", "no"]})",
         "key 'peers[1]' is \"no\"; allowed: a string that matches"},
        {"NestedUnknown", R"({"host": "h1", "tls": {"key": "k", "kay": 1}})",
         "unknown key 'tls.kay' with value 1; allowed: key, reload_s"},
        {"NestedMissing", R"({"host": "h1", "tls": {}})",
         "key 'tls.key' is missing; allowed: a string"},
        {"NestedRange", R"({"host": "h1", "tls": {"key": "k", "reload_s": 0}})",
         "key 'tls.reload_s' is 0; allowed: an integer from 1"},
};

TEST_P(SettingsRefuse, WithOneLineNamingKeyValueAndAllowed)
{
    try {
        load(GetParam().text);
        FAIL() << "the settings were taken";
    } catch (const SettingsError &error) {
        const std::string line = error.what();
        EXPECT_NE(line.find(GetParam().complaint), std::string::npos) << line;
        EXPECT_EQ(line.find('\n'), std::string::npos) << line;
    }
}

INSTANTIATE_TEST_SUITE_P(Files, SettingsRefuse, testing::ValuesIn(BadFiles),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Settings, DefaultsAreFilledInAlsoWithinObjects)
{
    const nlohmann::json settings = load(R"({"host": "h1", "tls": {"key": "k"}})");
    EXPECT_EQ(settings.at("shards"), 4);
    EXPECT_EQ(settings.at("mode"), "safe");
    EXPECT_EQ(settings.at("tls").at("reload_s"), 10);
    EXPECT_EQ(millisOf(settings, "shards"), Millis(4));
}

TEST(Settings, AnObjectWithoutDefaultStaysAway)
{
    EXPECT_FALSE(load(R"({"host": "h1"})").contains("tls"));
}

} // namespace
