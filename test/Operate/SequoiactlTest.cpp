/// sequoiactl as operators run it, against real processes.

#include <fstream>
#include <future>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "test/Support/Fleet.h"

using namespace sequoiagate;

namespace {

using Json = nlohmann::json;

constexpr const char *Header =
        "workspace,name,budget_tokens,top_up_id,top_up_tokens,services,weight,max_output_tokens\n";

FleetShape shapeOf(std::vector<FleetHost> hosts, bool withRouters = false)
{
    FleetShape shape;
    shape.hosts = std::move(hosts);
    shape.endpoints = {{"engine-1", "a"}};
    shape.workspaces = {{"fretwise", 1000}};
    shape.withRouters = withRouters;
    return shape;
}

/// A fleet and its operator.
class Operated
{
public:
    explicit Operated(FleetShape shape) : hosts_(shape.hosts.size()), fleet_(std::move(shape)) {}

    Fleet &fleet() { return fleet_; }

    ProgramResult run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--log", fleet_.logAddress(), "--json"});
        std::string keepers;
        for (std::size_t host = 0; host < hosts_; ++host) {
            keepers += (host == 0 ? "" : ",") + fleet_.keeper(host).address();
        }
        if (!keepers.empty()) {
            arguments.insert(arguments.end(), {"--keepers", keepers});
        }
        // A folder for each run: two at once would write their output over each other's.
        const ScratchFolder own;
        return runProgram(own, "sequoiactl", arguments);
    }

    Json ask(std::vector<std::string> arguments)
    {
        const ProgramResult result = run(std::move(arguments));
        EXPECT_EQ(result.exitCode, 0) << result.err << result.out;
        return Json::parse(result.out, nullptr, false);
    }

    std::string sheet(const std::string &name, const std::string &rows)
    {
        return fleet_.scratch().write(name, Header + rows);
    }

    uint64_t prepaid()
    {
        return ask({"budget", "fretwise"}).at("budgets").at(0).at("prepaid_tokens");
    }

    std::size_t versions() { return ask({"config", "history"}).at("history").size(); }

private:
    std::size_t hosts_;
    Fleet fleet_;
};

TEST(Sheet, AppliedTwiceTopsUpOnceAndIsInForceOnAllHosts)
{
    Operated operated(shapeOf({{"a1", "a"}, {"a2", "a"}}));
    const std::string sheet = operated.sheet("s.csv", "fretwise,Fretwise,1000,t1,50,chat,1,\n");
    const Json first = operated.ask({"sheet", "apply", sheet, "--wait"});
    EXPECT_EQ(first.at("version"), 2);
    EXPECT_EQ(first.at("in_force").size(), 2U) << first;
    EXPECT_EQ(operated.ask({"sheet", "apply", sheet, "--wait"}).at("accepted"), false);
    EXPECT_EQ(operated.prepaid(), 1050U);
    EXPECT_EQ(operated.versions(), 2U);
}

// The log service takes the append and its answer is lost. An operator who is told
// of a failure applies again, or by hand undoes half of what is in force.
TEST(Sheet, ALostAnswerIsReportedAsWhatHappened)
{
    Operated operated(shapeOf({}));
    const std::string sheet = operated.sheet("s.csv", "fretwise,Fretwise,1000,t1,50,chat,1,\n");
    setFaults(operated.fleet().logAddress(), {{"lose_answers", 1}});
    EXPECT_EQ(operated.ask({"sheet", "apply", sheet}).at("version"), 2);
    EXPECT_EQ(operated.prepaid(), 1050U);
    EXPECT_EQ(operated.versions(), 2U);
}

// Two operators read the same version and publish. The log's first wins. The other
// must be told so, or he believes in force what is not. Raced until it was seen.
TEST(Sheet, OfTwoOperatorsWhoRaceOneWinsAndTheOtherIsTold)
{
    constexpr int MostRaces = 50;
    Operated operated(shapeOf({}));
    uint64_t accepted = 0;
    int conflicts = 0;
    for (int race = 0; race < MostRaces && conflicts == 0; ++race) {
        std::vector<std::future<ProgramResult>> runs;
        for (const char *author : {"anna", "boris"}) {
            const std::string sheet = operated.sheet(
                    fmt::format("{}-{}.csv", author, race),
                    fmt::format("fretwise,Fretwise,1000,{}-{},1,chat,1,\n", author, race));
            runs.push_back(std::async(std::launch::async, [&operated, author, sheet] {
                return operated.run({"sheet", "apply", sheet, "--author", author});
            }));
        }
        for (std::future<ProgramResult> &run : runs) {
            const ProgramResult result = run.get();
            ASSERT_TRUE(result.exitCode == 0 || result.exitCode == 4) << result.err;
            accepted += result.exitCode == 0 ? 1 : 0;
            if (result.exitCode == 4) {
                ++conflicts;
                EXPECT_NE(result.err.find("came first"), std::string::npos) << result.err;
                const bool namesWinner = result.err.find("'anna'") != std::string::npos
                                         || result.err.find("'boris'") != std::string::npos;
                EXPECT_TRUE(namesWinner) << result.err;
            }
        }
    }
    EXPECT_GT(conflicts, 0);
    EXPECT_EQ(operated.versions(), accepted + 1);
    EXPECT_EQ(operated.prepaid(), 1000 + accepted);
}

struct BadSheet
{
    const char *name;
    std::string rows;
    std::size_t line;
    const char *column;
};

class SheetRefused : public testing::TestWithParam<BadSheet>
{};

const BadSheet BadSheets[] = {
        {"Negative", "fretwise,F,-1,,,chat,1,\n", 2, "budget_tokens"},
        {"Fraction", "fretwise,F,1.5,,,chat,1,\n", 2, "budget_tokens"},
        {"Overflow", "fretwise,F,99999999999999999999,,,chat,1,\n", 2, "budget_tokens"},
        {"Doubled", "fretwise,F,1,t,5,chat,1,\nfretwise,F,1,t,5,chat,1,\n", 3, "top_up_id"},
        {"CutOff", "fretwise,F,1,,,chat\n", 2, ""},
        {"Nul", std::string("fretwise,F\0F,1,,,chat,1,\n", 25), 2, ""},
        {"Empty", "", 0, ""},
};

TEST_P(SheetRefused, WithItsLineAndColumnAndNothingInForce)
{
    Operated operated(shapeOf({}));
    const std::string sheet = operated.sheet("bad.csv", GetParam().rows);
    for (const char *verb : {"check", "apply"}) {
        const ProgramResult result = operated.run({"sheet", verb, sheet});
        EXPECT_EQ(result.exitCode, 2) << result.out << result.err;
        const Json fault = Json::parse(result.out, nullptr, false).at("faults").at(0);
        EXPECT_EQ(fault.at("line"), GetParam().line) << result.out;
        EXPECT_EQ(fault.at("column"), GetParam().column) << result.out;
    }
    EXPECT_EQ(operated.versions(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Sheets, SheetRefused, testing::ValuesIn(BadSheets),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Invoice, ShowsWhatARequestCost)
{
    Operated operated(shapeOf({{"a1", "a"}}, true));
    ChatCall call = operated.fleet().chatCall(0, "fretwise", "r1");
    call.maxTokens = 8;
    ASSERT_EQ(operated.fleet().caller().chat(call).status, 200);
    operated.fleet().waitBilled("fretwise", {"r1"});
    const Json invoice = operated.ask({"invoice", "fretwise"}).at("invoices").at(0);
    EXPECT_EQ(invoice.at("requests"), 1) << invoice;
    EXPECT_GT(invoice.at("billed_tokens"), 0) << invoice;
    const Json budget = operated.ask({"budget", "fretwise"}).at("budgets").at(0);
    EXPECT_EQ(budget.at("billed_tokens"), invoice.at("billed_tokens"));
}

// The drain is asked for by the host's name alone. The keeper ends by itself, and
// what it held of the budget is back: nothing is stranded.
TEST(Drain, EndsTheKeeperAndReturnsItsGrants)
{
    Operated operated(shapeOf({{"a1", "a"}, {"a2", "a"}}));
    operated.ask({"drain", "a2"});
    EXPECT_EQ(operated.fleet().keeper(1).wait(), 0);
    const Process::Line stopped = operated.fleet().keeper(1).waitFor("process.stopped");
    EXPECT_EQ(stopped.value("stranded_tokens", uint64_t{1}), 0U) << stopped;
}

// A host dies. Operators must see that it isn't heard, by name, next to those that
// are, and not an error instead of a status.
TEST(Status, NamesTheHostThatIsNotHeard)
{
    Operated operated(shapeOf({{"a1", "a"}, {"a2", "a"}}));
    const Json before = operated.ask({"status"});
    EXPECT_EQ(before.at("hosts").size(), 2U) << before;
    operated.fleet().keeper(1).kill();
    const ProgramResult result = operated.run({"status"});
    EXPECT_EQ(result.exitCode, 3);
    const Json after = Json::parse(result.out, nullptr, false);
    int heard = 0;
    for (const Json &host : after.at("hosts")) {
        heard += host.at("heard").get<bool>() ? 1 : 0;
    }
    EXPECT_EQ(heard, 1) << after;
}

TEST(Log, WhenItCantBeReachedNothingIsSaidToBeChanged)
{
    const ScratchFolder scratch;
    const ProgramResult result =
            runProgram(scratch, "sequoiactl", {"endpoint", "leave", "e", "--log", "127.0.0.1:1"});
    EXPECT_EQ(result.exitCode, 3);
    EXPECT_NE(result.err.find("log service"), std::string::npos) << result.err;
}

TEST(Key, OpensTheRouterUntilItIsRemoved)
{
    Operated operated(shapeOf({{"a1", "a"}}, true));
    const std::string key = operated.ask({"key", "add", "fretwise", "--wait"}).at("key");
    const auto status = [&](const std::string &request) {
        ChatCall call = operated.fleet().chatCall(0, "fretwise", request);
        call.key = key;
        call.maxTokens = 4;
        return operated.fleet().caller().chat(call).status;
    };
    // The keeper has the version; its router learns it by a long poll.
    const auto statusBecomes = [&](int wanted) {
        constexpr int MostTries = 500;
        for (int i = 0; i < MostTries; ++i) {
            if (status(fmt::format("until-{}-{}", wanted, i)) == wanted) {
                return true;
            }
        }
        return false;
    };
    EXPECT_TRUE(statusBecomes(200));
    operated.ask({"key", "remove", "fretwise", key, "--wait"});
    EXPECT_TRUE(statusBecomes(401));
}

/// One request's time line over the logs of router, keeper, endpoint and log service.
TEST(Timeline, ShowsOneRequestAcrossProcesses)
{
    Operated operated(shapeOf({{"a1", "a"}}, true));
    Fleet &fleet = operated.fleet();
    for (const char *request : {"r1", "r2"}) {
        ASSERT_EQ(fleet.caller().chat(fleet.chatCall(0, "fretwise", request)).status, 200);
    }
    fleet.waitBilled("fretwise", {"r1", "r2"});
    const std::string trace = fleet.scratch().path("trace.json");
    std::vector<std::string> arguments = {fleet.standins().logPath(), fleet.router(0).logPath(),
                                          fleet.keeper(0).logPath(), "--request", "r1"};
    const ProgramResult text = runProgram(fleet.scratch(), "sequoia-timeline", arguments);
    ASSERT_EQ(text.exitCode, 0) << text.err;
    std::size_t at = 0;
    for (const char *event : {"request.received", "request.reserved", "request.sent",
                              "endpoint.received", "endpoint.ran", "request.answered"}) {
        at = text.out.find(event, at);
        ASSERT_NE(at, std::string::npos) << event << " is missing or out of order:\n" << text.out;
    }
    EXPECT_EQ(text.out.find("request=r2"), std::string::npos) << text.out;
    arguments.insert(arguments.end(), {"--trace", trace});
    EXPECT_EQ(runProgram(fleet.scratch(), "sequoia-timeline", arguments).exitCode, 0);
    std::ifstream file(trace);
    EXPECT_FALSE(Json::parse(file, nullptr, false).at("traceEvents").empty());
}

} // namespace
