#include "sequoiagate/Service/Program.h"

#include <vector>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

struct CommandLine
{
    const char *name;
    std::vector<const char *> arguments;
    int exitCode;
    const char *message;
};

class ProgramAnswers : public testing::TestWithParam<CommandLine>
{};

TEST_P(ProgramAnswers, WithItsExitCodeAndOneLine)
{
    std::vector<const char *> arguments{"sequoia-nothing"};
    for (const char *argument : GetParam().arguments) {
        arguments.push_back(argument);
    }
    testing::internal::CaptureStderr();
    testing::internal::CaptureStdout();
    const int code =
            runDaemon(static_cast<int>(arguments.size()), const_cast<char **>(arguments.data()),
                      "sequoia-nothing", "does nothing", [](DaemonContext &) { return 99; });
    const std::string out = testing::internal::GetCapturedStdout();
    const std::string err = testing::internal::GetCapturedStderr();
    EXPECT_EQ(code, GetParam().exitCode);
    EXPECT_NE((out + err).find(GetParam().message), std::string::npos) << out << err;
}

const CommandLine CommandLines[] = {
        {"NoSettings", {}, ExitBadInput, "sequoia-nothing: option --settings FILE is missing\n"},
        {"UnknownOption", {"--bogus"}, ExitBadInput, "bogus"},
        {"StrayWord", {"settings.json"}, ExitBadInput, "settings.json"},
        {"NoSchema", {"--settings", "x.json"}, ExitBadInput, "schemas/sequoia-nothing.json"},
        {"Help", {"--help"}, ExitOk, "--check-settings"},
        {"Version", {"--version"}, ExitOk, "sequoia-nothing 0."},
};

INSTANTIATE_TEST_SUITE_P(Lines, ProgramAnswers, testing::ValuesIn(CommandLines),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
