#ifndef SEQUOIAGATE_SERVICE_OPTIONS_H
#define SEQUOIAGATE_SERVICE_OPTIONS_H

/// The command-line options that every program has: --help, --version,
/// --settings and --check-settings.

#include <optional>
#include <string>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace sequoiagate {

/// Adds the common options to \p options.
void addCommonOptions(cxxopts::Options &options);

/// Parses \p argv and answers --help and --version on standard output.
/// \returns the parsed options, or nullopt if the program was answered for and
/// is to exit with ExitOk.
/// \throws cxxopts::exceptions::exception for a bad option or a stray argument.
std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &options, int argc,
                                                 const char *const *argv);

/// Loads the file that --settings names by the schema of \p program in
/// share/schemas. \throws SettingsError, also when --settings is missing.
nlohmann::json settingsFromOptions(const cxxopts::ParseResult &parsed, const std::string &program);

} // namespace sequoiagate

#endif
