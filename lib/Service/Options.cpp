#include "sequoiagate/Service/Options.h"

#include <fmt/format.h>

#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

void addCommonOptions(cxxopts::Options &options)
{
    cxxopts::OptionAdder add = options.add_options();
    add("h,help", "print this help and exit");
    add("version", "print the version and exit");
    add("settings", "the JSON settings file", cxxopts::value<std::string>(), "FILE");
    add("check-settings", "check the settings file and exit");
}

std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &options, int argc,
                                                 const char *const *argv)
{
    cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return std::nullopt;
    }
    if (parsed.count("version") > 0) {
        fmt::print("{} {}\n", options.program(), SEQUOIAGATE_VERSION);
        return std::nullopt;
    }
    // A stray word is mostly an option whose dashes were forgotten.
    if (!parsed.unmatched().empty()) {
        throw cxxopts::exceptions::no_such_option(parsed.unmatched().front());
    }
    return parsed;
}

nlohmann::json settingsFromOptions(const cxxopts::ParseResult &parsed, const std::string &program)
{
    if (parsed.count("settings") == 0) {
        throw SettingsError("option --settings FILE is missing");
    }
    const nlohmann::json schema =
            nlohmann::json::parse(readShareFile("schemas/" + program + ".json"));
    return loadSettings(parsed["settings"].as<std::string>(), schema);
}

} // namespace sequoiagate
