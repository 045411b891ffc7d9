#include <fstream>

#include <gtest/gtest.h>

#include "sequoiagate/Operate/LogReader.h"
#include "sequoiagate/Platform/Streams.h"
#include "unittests/Operate/OperateSupport.h"

using namespace sequoiagate;

namespace {

const char *const GoodSheet = "workspace,name,budget_tokens,top_up_id,top_up_tokens,services,"
                              "weight,max_output_tokens\r\n"
                              "w,Works,1000,t1,50,chat,1,\r\n";

std::string sheetFile(const std::string &text)
{
    const std::string path = testing::TempDir() + "/ConfigCommandsTest.csv";
    std::ofstream(path) << text;
    return path;
}

uint64_t prepaidOf(OperatedFleet &fleet)
{
    const ConfigView view = readConfig(fleet.log);
    return prepaidTotal(*view.fold.findWorkspace(WorkspaceId("w")));
}

CommandArguments hasty()
{
    CommandArguments arguments;
    arguments.giveUpAfter = Millis(1);
    return arguments;
}

TEST(SheetCommands, AppliedTwiceItTopsUpOnce)
{
    OperatedFleet fleet;
    const std::string sheet = sheetFile(GoodSheet);
    EXPECT_EQ(fleet.run({"sheet", "apply", sheet}).json.at("accepted"), true);
    const CommandResult again = fleet.run({"sheet", "apply", sheet});
    EXPECT_EQ(again.json.at("accepted"), false);
    EXPECT_EQ(again.exitCode, ExitOk);
    EXPECT_EQ(prepaidOf(fleet), 1050U);
    EXPECT_EQ(fleet.version(), 2U);
}

TEST(SheetCommands, EveryFaultIsListedAndNothingPutIntoForce)
{
    OperatedFleet fleet;
    const std::string sheet = sheetFile("workspace,name,budget_tokens,top_up_id,top_up_tokens,"
                                        "services,weight,max_output_tokens\n"
                                        "w,Works,-5,,,chat,1,\nv,,10,,,chat,1,\n");
    for (const char *verb : {"check", "apply"}) {
        const CommandResult result = fleet.run({"sheet", verb, sheet});
        EXPECT_EQ(result.exitCode, ExitBadInput);
        EXPECT_EQ(result.json.at("faults").size(), 2U) << result.text;
        EXPECT_NE(result.text.find("line 2, column budget_tokens"), std::string::npos);
        EXPECT_NE(result.text.find("line 3, column name"), std::string::npos) << result.text;
    }
    EXPECT_EQ(fleet.version(), 1U);
}

// The append takes effect, but its answer is lost. The operator would be told of a
// failure and apply again, or worse, undo it. The stream is read first: the record
// stands, so the change is reported as accepted, and it is there once.
TEST(Publishing, ALostAnswerIsLookedUpBeforeAnythingIsSaid)
{
    OperatedFleet fleet;
    fleet.log.loseAnswers(1);
    const CommandResult result = fleet.run({"sheet", "apply", sheetFile(GoodSheet)});
    EXPECT_EQ(result.json.at("version"), 2U);
    EXPECT_EQ(fleet.version(), 2U);
    EXPECT_EQ(prepaidOf(fleet), 1050U);
}

// Two operators read the same version. The other's change reaches the log first;
// ours is refused there. Its operator must be told by whom and by which version,
// or he would believe his budgets in force.
TEST(Publishing, TheLoserOfARaceIsToldTheWinner)
{
    OperatedFleet fleet;
    fleet.log.beforeAppend = [&] {
        fleet.publishByRival();
    };
    std::string message;
    const std::string sheet = sheetFile(GoodSheet);
    EXPECT_EQ(exitCodeOf(fleet, {"sheet", "apply", sheet}, {}, message), ExitConflict);
    EXPECT_NE(message.find("version 2 by 'boris'"), std::string::npos) << message;
    EXPECT_EQ(prepaidOf(fleet), 1000U);
}

// The same race, and the answer to the losing append is lost as well.
TEST(Publishing, TheLoserIsToldAlsoWhenItsAnswerIsLost)
{
    OperatedFleet fleet;
    fleet.log.beforeAppend = [&] {
        fleet.publishByRival();
        fleet.log.loseAnswers(1);
    };
    std::string message;
    const std::string sheet = sheetFile(GoodSheet);
    EXPECT_EQ(exitCodeOf(fleet, {"sheet", "apply", sheet}, {}, message), ExitConflict);
    EXPECT_EQ(fleet.version(), 2U);
}

TEST(Publishing, WithTheLogDownNothingIsChangedAndSaidSo)
{
    OperatedFleet fleet;
    fleet.log.beforeAppend = [&] {
        fleet.log.setDown(true);
    };
    std::string message;
    EXPECT_EQ(exitCodeOf(fleet, {"endpoint", "leave", "e1"}, hasty(), message), ExitUnavailable);
    EXPECT_NE(message.find("nothing was changed"), std::string::npos) << message;
    fleet.log.setDown(false);
    EXPECT_EQ(fleet.version(), 1U);
}

/// Keeps the append and goes away before it can be read.
class VanishingLog : public FakeLogService
{
public:
    LogOffset append(const std::string &stream, const std::vector<std::string> &batch,
                     Instant deadline) override
    {
        const LogOffset offset = FakeLogService::append(stream, batch, deadline);
        setDown(true);
        return offset;
    }
};

// The append went out and then the log went away: it may stand. Saying "nothing was
// changed" would be untrue.
TEST(Publishing, WithTheLogGoneAfterTheAppendItMayBeInForce)
{
    VanishingLog log;
    FakeKeepers keepers;
    CommandArguments arguments = hasty();
    arguments.words = {"w2"};
    arguments.address = "10.0.0.1:80";
    arguments.domain = "d1";
    arguments.services = {"chat"};
    std::vector<std::string> words = {"endpoint", "add"};
    words.push_back("w2");
    const Command &command = findCommand(words);
    try {
        command.body({log, keepers}, arguments);
        FAIL() << "an unknown outcome was taken for a known one";
    } catch (const VerdictError &error) {
        EXPECT_EQ(error.verdict().execution, Execution::MayHaveRun);
        EXPECT_NE(std::string(error.what()).find("may be in force"), std::string::npos);
    }
}

struct BadLine
{
    const char *name;
    std::vector<std::string> words;
    const char *message;
};

class CommandsRefuse : public testing::TestWithParam<BadLine>
{};

TEST_P(CommandsRefuse, BadInputWithOneLineAndChangeNothing)
{
    OperatedFleet fleet;
    std::string message;
    EXPECT_EQ(exitCodeOf(fleet, GetParam().words, {}, message), ExitBadInput);
    EXPECT_NE(message.find(GetParam().message), std::string::npos) << message;
    EXPECT_EQ(fleet.version(), 1U);
}

const BadLine BadLines[] = {
        {"NoCommand", {}, "a command is missing"},
        {"Unknown", {"sheat", "apply"}, "unknown command 'sheat apply'"},
        {"HalfACommand", {"endpoint"}, "'endpoint' needs another word; there are: endpoint list"},
        {"TooFewWords", {"key", "add"}, "usage: key add WORKSPACE"},
        {"TooManyWords", {"status", "now"}, "usage: status"},
        {"NoFile", {"sheet", "apply", "/nowhere.csv"}, "can't be opened"},
        {"NoWorkspace", {"key", "add", "nobody"}, "there is no workspace 'nobody'"},
        {"NoKey", {"key", "remove", "w", "sg-1"}, "has no such key"},
        {"NoEndpoint", {"endpoint", "remove", "e7"}, "there is no endpoint 'e7'"},
        {"NoAddress", {"endpoint", "add", "e7"}, "allowed: IP:port"},
        {"NoBudget", {"budget", "nobody"}, "there is no workspace 'nobody'"},
};

INSTANTIATE_TEST_SUITE_P(Lines, CommandsRefuse, testing::ValuesIn(BadLines),
                         [](const auto &row) { return std::string(row.param.name); });

struct AddressRow
{
    const char *text;
    bool good;
};

class EndpointAddress : public testing::TestWithParam<AddressRow>
{};

TEST_P(EndpointAddress, IsAnIpNumberAndAPort)
{
    OperatedFleet fleet;
    CommandArguments arguments;
    arguments.address = GetParam().text;
    arguments.domain = "d1";
    arguments.services = {"chat"};
    std::string message;
    const int code = exitCodeOf(fleet, {"endpoint", "add", "e2"}, arguments, message);
    EXPECT_EQ(code == ExitOk, GetParam().good) << message;
}

constexpr AddressRow Addresses[] = {
        {"10.0.0.1:8000", true},  {"255.255.255.255:65535", true},
        {"10.0.0.1", false},      {"10.0.0.1:", false},
        {"10.0.0.1:0", false},    {"10.0.0.1:70000", false},
        {"10.0.0.256:80", false}, {"10.0.0:80", false},
        {"host:80", false},       {"10.0.0.1:80 ", false},
        {"10.0.0.-1:80", false},
};

INSTANTIATE_TEST_SUITE_P(Texts, EndpointAddress, testing::ValuesIn(Addresses));

TEST(EndpointCommands, AddListLeaveRemove)
{
    OperatedFleet fleet;
    CommandArguments arguments;
    arguments.address = "10.0.0.1:8000";
    arguments.domain = "d2";
    arguments.kind = "service";
    arguments.services = {"booking"};
    fleet.run({"endpoint", "add", "e2"}, arguments);
    fleet.run({"endpoint", "leave", "e2"});
    EXPECT_NE(fleet.run({"endpoint", "list"})
                      .text.find("e2 10.0.0.1:8000 d2 service slots=1 services=booking leaving"),
              std::string::npos);
    fleet.run({"endpoint", "remove", "e2"});
    EXPECT_EQ(fleet.run({"endpoint", "list"}).json.at("endpoints").size(), 1U);
    EXPECT_NE(fleet.run({"config", "history"}).text.find("4 "), std::string::npos);
}

TEST(KeyCommands, TheKeyIsPrintedOnceAndOnlyItsHashIsStored)
{
    OperatedFleet fleet;
    const nlohmann::json added = fleet.run({"key", "add", "w"}).json;
    const ConfigView view = readConfig(fleet.log);
    const wire::WorkspaceConfig *owner = view.fold.findWorkspaceByKeyHash(added.at("sha256"));
    ASSERT_NE(owner, nullptr);
    EXPECT_EQ(owner->workspace(), "w");
    const std::string stored = view.fold.state().SerializeAsString();
    EXPECT_EQ(stored.find(added.at("key").get<std::string>()), std::string::npos);
    fleet.run({"key", "remove", "w", added.at("key")});
    EXPECT_EQ(readConfig(fleet.log).fold.findWorkspaceByKeyHash(added.at("sha256")), nullptr);
}

// Old records expire. A reader that folded only what is left would show budgets
// and keys that are long changed; it starts from a checkpoint, or says it can't.
TEST(LogReader, AGapIsBridgedByACheckpointOrRefused)
{
    OperatedFleet fleet;
    fleet.publishByRival();
    wire::Record checkpoint;
    const wire::ConfigState state = readConfig(fleet.log).fold.state();
    *checkpoint.mutable_checkpoint()->mutable_config() = state;
    fleet.append(configStream(), checkpoint);
    fleet.publishByRival();
    fleet.log.expireBelow(configStream(), 2);
    EXPECT_EQ(fleet.version(), 3U);
    EXPECT_EQ(prepaidOf(fleet), 1000U);
    fleet.log.expireBelow(configStream(), 3);
    EXPECT_THROW(fleet.version(), VerdictError);
}

} // namespace
