#include <gtest/gtest.h>

#include "sequoiagate/Platform/Streams.h"
#include "unittests/Operate/OperateSupport.h"
#include "unittests/Support/LedgerRecords.h"

using namespace sequoiagate;

namespace {

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

TEST(Wait, NamesWhoIsBehindAndWhoIsNotHeard)
{
    OperatedFleet fleet;
    fleet.keepers.statuses = {keeperStatus("h1", 2), keeperStatus("h2", 1),
                              keeperStatus("h3", 0, false)};
    CommandArguments arguments;
    arguments.wait = true;
    arguments.waitLimit = Millis(1);
    const CommandResult result = fleet.run({"endpoint", "leave", "e1"}, arguments);
    EXPECT_EQ(result.exitCode, ExitUnavailable);
    EXPECT_TRUE(has(result.text, "not yet in force on: h2")) << result.text;
    EXPECT_TRUE(has(result.text, "not heard from: h3")) << result.text;
    EXPECT_EQ(fleet.version(), 2U) << "the change stands, whoever has heard of it";
}

TEST(Wait, EndsWellOnceAllHaveIt)
{
    OperatedFleet fleet;
    fleet.keepers.statuses = {keeperStatus("h1", 2), keeperStatus("h2", 5)};
    CommandArguments arguments;
    arguments.wait = true;
    EXPECT_EQ(fleet.run({"endpoint", "leave", "e1"}, arguments).exitCode, ExitOk);
}

TEST(Wait, HearingNobodyIsNotInForceEverywhere)
{
    OperatedFleet fleet;
    CommandArguments arguments;
    arguments.wait = true;
    arguments.waitLimit = Millis(1);
    EXPECT_EQ(fleet.run({"endpoint", "leave", "e1"}, arguments).exitCode, ExitUnavailable);
}

struct ObservedEndpoint
{
    const char *name;
    bool observed;
    bool reachable;
    bool leaving;
    const char *reason; ///< nullptr: served
};

class StatusOfEndpoint : public testing::TestWithParam<ObservedEndpoint>
{};

TEST_P(StatusOfEndpoint, SaysWhyItIsNotServed)
{
    OperatedFleet fleet;
    KeeperStatus keeper = keeperStatus("h1", 1);
    if (GetParam().observed) {
        wire::EndpointObservation *seen = keeper.reply.add_endpoints();
        seen->set_endpoint("e1");
        seen->set_observed_wall_us(1);
        seen->set_reachable(GetParam().reachable);
        seen->set_leaving(GetParam().leaving);
    }
    fleet.keepers.statuses = {keeper};
    const CommandResult result = fleet.run({"status"});
    EXPECT_TRUE(has(result.text, "host h1")) << result.text;
    EXPECT_TRUE(has(result.text, "service booking isn't served: no endpoint offers it"));
    const bool chatServed = !has(result.text, "service chat isn't served");
    EXPECT_EQ(chatServed, GetParam().reason == nullptr) << result.text;
    if (GetParam().reason != nullptr) {
        EXPECT_TRUE(has(result.text, GetParam().reason)) << result.text;
    }
}

constexpr ObservedEndpoint Observed[] = {
        {"Served", true, true, false, nullptr},
        {"Unreachable", true, false, false, "endpoint e1 isn't served: unreachable"},
        {"Leaving", true, true, true, "leaving, by its own report"},
        {"Unobserved", false, false, false, "not observed by any host"},
};

INSTANTIATE_TEST_SUITE_P(Endpoints, StatusOfEndpoint, testing::ValuesIn(Observed),
                         [](const auto &row) { return std::string(row.param.name); });

// Operators look at the status above all while the log is out. What the keepers
// say must still be shown, and the log's outage with it.
TEST(Status, IsShownDuringALogOutage)
{
    OperatedFleet fleet;
    fleet.keepers.statuses = {keeperStatus("h1", 1), keeperStatus("h2", 0, false)};
    fleet.log.setDown(true);
    const CommandResult result = fleet.run({"status"});
    EXPECT_EQ(result.exitCode, ExitUnavailable);
    EXPECT_TRUE(has(result.text, "the log can't be read"));
    EXPECT_TRUE(has(result.text, "host h1"));
    EXPECT_TRUE(has(result.text, "host h2 domain= address=address of h2 not heard: no answer"));
}

TEST(Drain, AsksTheKeeperOfThatHost)
{
    OperatedFleet fleet;
    fleet.keepers.statuses = {keeperStatus("h1", 1), keeperStatus("h2", 1)};
    fleet.run({"drain", "h2"});
    EXPECT_EQ(fleet.keepers.drained, std::vector<std::string>{"address of h2"});
    std::string message;
    EXPECT_EQ(exitCodeOf(fleet, {"drain", "h9"}, {}, message), ExitBadInput);
}

class LedgerOperated : public testing::Test
{
protected:
    LedgerOperated()
    {
        fleet_.append("ledger-0", records::funding("w", 1, 1000));
        fleet_.append("ledger-0", records::claim("g1", "w", 400, "rival", "witness"));
        fleet_.append("ledger-0", records::bill("w", "r1", 30));
        fleet_.append("ledger-0", records::bill("w", "r1", 30));
        fleet_.append("ledger-0", records::bill("w", "r2", 12));
        fleet_.append("ledger-0", records::runClaim("w", "key-1", "attempt-1"));
    }

    OperatedFleet fleet_;
};

TEST_F(LedgerOperated, BudgetShowsWhatIsAllocatedAndBilled)
{
    const nlohmann::json budget = fleet_.run({"budget", "w"}).json.at("budgets").at(0);
    EXPECT_EQ(budget.at("prepaid_tokens"), 1000);
    EXPECT_EQ(budget.at("allocated_tokens"), 400);
    EXPECT_EQ(budget.at("remaining_tokens"), 600);
    EXPECT_EQ(budget.at("billed_tokens"), 42);
    EXPECT_EQ(budget.at("grants").at(0).at("grant"), "g1");
}

// A name that begins with = is run as a formula by a spreadsheet that opens the
// invoice; the apostrophe makes it text.
TEST_F(LedgerOperated, InvoiceCountsEachRequestOnceAndQuotes)
{
    EXPECT_EQ(fleet_.run({"invoice"}).text, "workspace,name,prepaid_tokens,billed_tokens,requests\n"
                                            "w,\"'=Works, \"\"W\"\"\",1000,42,2\n");
}

TEST_F(LedgerOperated, AClaimWithoutOutcomeMayHaveRun)
{
    EXPECT_TRUE(has(fleet_.run({"claims", "key-1"}).text, "pending"));
    EXPECT_EQ(fleet_.run({"claims", "key-1"}).json.at("claims").at(0).at("execution"),
              "may_have_run");
    EXPECT_TRUE(fleet_.run({"claims", "key-2"}).json.at("claims").empty());
    fleet_.append("ledger-0", records::runOutcome("w", "key-1", "attempt-1", wire::RAN));
    EXPECT_EQ(fleet_.run({"claims", "key-1"}).json.at("claims").at(0).at("execution"), "ran");
}

TEST_F(LedgerOperated, AttestationGivesBackWhatWasNotSpent)
{
    CommandArguments arguments;
    arguments.hasSpentAtMost = true;
    arguments.spentAtMost = 100;
    fleet_.log.loseAnswers(1);
    fleet_.run({"grant", "attest", "g1"}, arguments);
    EXPECT_EQ(fleet_.run({"budget", "w"}).json.at("budgets").at(0).at("remaining_tokens"), 900);
    std::string message;
    EXPECT_EQ(exitCodeOf(fleet_, {"grant", "attest", "g1"}, arguments, message), ExitBadInput);
}

// The operator attests for the wrong host: the grant's holder still runs and spends.
// Its tokens would be given out a second time, and the workspace overspends.
TEST_F(LedgerOperated, AttestationIsRefusedWhileTheHolderRuns)
{
    KeeperStatus holder = keeperStatus("h1", 1);
    holder.reply.mutable_self()->set_incarnation("rival");
    fleet_.keepers.statuses = {holder};
    CommandArguments arguments;
    arguments.hasSpentAtMost = true;
    std::string message;
    EXPECT_EQ(exitCodeOf(fleet_, {"grant", "attest", "g1"}, arguments, message), ExitBadInput);
    EXPECT_TRUE(has(message, "runs")) << message;
}

} // namespace
