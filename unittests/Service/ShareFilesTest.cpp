#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <gtest/gtest.h>

#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"
#include "unittests/Support/TreePaths.h"

using namespace sequoiagate;

namespace {

TEST(ShareFiles, AreEmbeddedAsTheyStandInTheSourceTree)
{
    const std::filesystem::path folder = sourceFolder() / "share";
    int files = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(folder)) {
        if (!entry.is_regular_file()) {
            continue;
        }
        std::ifstream file(entry.path());
        const std::string text(std::istreambuf_iterator<char>(file), {});
        EXPECT_EQ(readShareFile(entry.path().lexically_relative(folder).string()), text);
        ++files;
    }
    EXPECT_GT(files, 0);
}

TEST(ShareFiles, UnknownOneIsAnErrorThatNamesIt)
{
    try {
        readShareFile("statecharts/nothing.json");
        FAIL() << "no error";
    } catch (const SettingsError &error) {
        EXPECT_NE(std::string(error.what()).find("statecharts/nothing.json"), std::string::npos);
    }
}

} // namespace
