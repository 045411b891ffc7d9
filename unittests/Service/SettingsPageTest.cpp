/// Holds docs/Settings.md against the schemas: a setting that is added, dropped or
/// given another default shows on the page, or this fails.

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Service/Settings.h"
#include "unittests/Support/TreePaths.h"

using namespace sequoiagate;

namespace {

constexpr const char *Intro =
        "# Settings\n\n"
        "Each program reads one JSON file, named by `--settings`; `--check-settings` checks it\n"
        "and ends. An unknown key, a wrong type or a value out of range stops the program with\n"
        "one line that names the key, the value and what is allowed. A key without a default\n"
        "must be given, except where its row says what leaving it out means.\n\n"
        "This page is written from share/schemas by `utils/settings-page`; a unit test holds\n"
        "the two together.\n\n"
        "## Bounds that aren't settings\n\n"
        "Of what one message may contain, from callers, endpoints, the store and other hosts\n"
        "(include/sequoiagate/Proxy/HttpReader.h). Heads and bodies of callers are bounded by the\n"
        "configuration, all others by `HttpReaderLimits`.\n\n"
        "| constant | bytes | of what |\n|---|---|---|\n"
        "| `MaxChunkLineBytes` | 4096 | a line of the chunked coding, or the trailers |\n"
        "| `MaxFramingBytes` | 16384 | all such lines of a message |\n"
        "| `FramingBytesPerChunk` | 16 | added to that for each chunk |\n"
        "| `MaxEmptyLineBytes` | 64 | empty lines before a request |\n"
        "| `MaxInterimBytes` | 16384 | interim responses before the final one |\n\n"
        "A request beyond them is answered with 400 and its connection closed; an answer beyond "
        "them is its\n"
        "endpoint's failure. After a refusal 256 KB at most are read on from a caller, for 0.5 s.\n"
        "Behind an open request 256 KB are kept; beyond that all is dropped, 10 MB/s at most are\n"
        "read, and the connection ends with the response.\n"
        "Handshakes of relays (4 KB) and requests for status pages (8 KB) have no body.\n";

struct Suffix
{
    const char *ending;
    const char *unit;
};

constexpr Suffix Suffixes[] = {
        {"_ms", "milliseconds"}, {"_s", "seconds"}, {"_tokens", "tokens"}, {"_bytes", "bytes"}};

std::string unitOf(const std::string &key)
{
    for (const Suffix &suffix : Suffixes) {
        const std::string ending = suffix.ending;
        const bool ends = key.size() > ending.size()
                          && key.compare(key.size() - ending.size(), ending.size(), ending) == 0;
        if (ends) {
            return suffix.unit;
        }
    }
    return "";
}

/// A bar would end the table's cell.
std::string cell(std::string text)
{
    for (std::size_t at = text.find('|'); at != std::string::npos; at = text.find('|', at + 2)) {
        text.insert(at, 1, '\\');
    }
    return text;
}

void addRows(const nlohmann::json &schema, const std::string &prefix, std::string &page)
{
    const nlohmann::json properties = schema.value("properties", nlohmann::json::object());
    for (const auto &[key, rule] : properties.items()) {
        const std::string standard =
                rule.contains("default") ? fmt::format("`{}`", rule.at("default").dump()) : "";
        page += fmt::format("| `{}{}` | {} | {} | {} | {} |\n", prefix, key, unitOf(key),
                            cell(allowedText(rule)), cell(standard),
                            cell(rule.value("description", "")));
        addRows(rule, prefix + key + ".", page);
        if (rule.contains("items")) {
            addRows(rule.at("items"), prefix + key + "[].", page);
        }
    }
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string renderPage()
{
    std::vector<std::filesystem::path> schemas;
    const std::filesystem::path folder = sourceFolder() / "share/schemas";
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        schemas.push_back(entry.path());
    }
    std::sort(schemas.begin(), schemas.end());
    std::string page = Intro;
    for (const std::filesystem::path &path : schemas) {
        const nlohmann::json schema = nlohmann::json::parse(readFile(path));
        page += fmt::format("\n## {}\n", path.stem().string());
        if (schema.contains("description")) {
            page += fmt::format("\n{}\n", schema.at("description").get<std::string>());
        }
        if (!schema.at("properties").empty()) {
            page += "\n| key | unit | allowed | default | what it is for "
                    "|\n|---|---|---|---|---|\n";
            addRows(schema, "", page);
        }
    }
    return page;
}

TEST(SettingsPage, HoldsEverySettingOfEveryProgram)
{
    const std::filesystem::path path = sourceFolder() / "docs/Settings.md";
    const std::string expected = renderPage();
    if (std::getenv("SEQUOIAGATE_WRITE_PAGES") != nullptr) {
        std::ofstream(path) << expected;
    }
    EXPECT_EQ(readFile(path), expected) << "run utils/settings-page and commit docs/Settings.md";
}

TEST(SettingsPage, SaysWhatEachSettingIsFor)
{
    for (const auto &entry :
         std::filesystem::directory_iterator(sourceFolder() / "share/schemas")) {
        const nlohmann::json schema = nlohmann::json::parse(readFile(entry.path()));
        for (const auto &[key, rule] : schema.at("properties").items()) {
            EXPECT_FALSE(rule.value("description", "").empty()) << entry.path() << " " << key;
        }
    }
}

} // namespace
