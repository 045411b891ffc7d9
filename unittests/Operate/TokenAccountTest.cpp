/// Hand-written logs of edge processes, and what the account makes of them.

#include "sequoiagate/Operate/TokenAccount.h"

#include <fstream>

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

using Json = nlohmann::json;
using Seconds = std::chrono::seconds;

/// A process is named by its host and its number there: "h1.2" is the second on h1.
AccountEvent line(int second, const std::string &process, const char *name, Json fields)
{
    fields["event"] = name;
    fields["incarnation"] = process;
    fields["host"] = process.substr(0, process.find('.'));
    fields["workspace"] = "w";
    return {Seconds(second), std::move(fields)};
}

struct State
{
    int prepaid;
    int owned;
    int usable;
    int reserved;
    int spent;
    int unallotted;
};

AccountEvent state(int second, const std::string &process, const State &is, bool current = true)
{
    return line(second, process, "tokens.state",
                {{"prepaid", is.prepaid},
                 {"owned", is.owned},
                 {"usable", is.usable},
                 {"reserved", is.reserved},
                 {"spent", is.spent},
                 {"unallotted", is.unallotted},
                 {"current", current}});
}

AccountEvent ended(int second, const std::string &process, const char *outcome, int status,
                   int tokens)
{
    return line(second, process, "request.ended",
                {{"outcome", outcome}, {"status", status}, {"tokens", tokens}});
}

AccountEvent given(int second, const std::string &from, const std::string &to, int id, int tokens)
{
    return line(second, from, "tokens.given", {{"to", to}, {"id", id}, {"tokens", tokens}});
}

AccountEvent taken(int second, const std::string &to, const std::string &from, int id, int tokens)
{
    return line(second, to, "tokens.taken", {{"from", from}, {"id", id}, {"tokens", tokens}});
}

AccountEvent givenUp(int second, const std::string &process, const std::string &dead, int tokens,
                     int givenBack, const char *why)
{
    return line(second, process, "tokens.given_up",
                {{"holder", dead}, {"tokens", tokens}, {"given_back", givenBack}, {"why", why}});
}

AccountEvent refused(int second, const std::string &process, const char *reason)
{
    return line(second, process, "request.refused", {{"reason", reason}});
}

struct Sums
{
    int64_t prepaid = 0;
    int64_t charged = 0;
    int64_t held = 0;
    int64_t reserved = 0;
    int64_t unallotted = 0;
    std::map<std::string, int64_t> givenUp;
    int64_t onTheWay = 0;
    int64_t lost = 0;
    int64_t missing = 0;
};

struct AccountRow
{
    const char *name;
    std::vector<AccountEvent> events;
    Sums sums;
};

WorkspaceAccount accountOf(const std::vector<AccountEvent> &events)
{
    TokenAccount account;
    for (const AccountEvent &event : events) {
        account.take(event);
    }
    const std::vector<WorkspaceAccount> all = account.workspaces();
    EXPECT_EQ(all.size(), 1U);
    return all.empty() ? WorkspaceAccount() : all.front();
}

class TokenAccounts : public testing::TestWithParam<AccountRow>
{};

TEST_P(TokenAccounts, SaysWhereTokensWent)
{
    const WorkspaceAccount is = accountOf(GetParam().events);
    const Sums &wanted = GetParam().sums;
    EXPECT_EQ(is.prepaid, wanted.prepaid);
    EXPECT_EQ(is.totalCharged(), wanted.charged);
    EXPECT_EQ(is.held, wanted.held);
    EXPECT_EQ(is.reserved, wanted.reserved);
    EXPECT_EQ(is.unallotted, wanted.unallotted);
    EXPECT_EQ(is.givenUp, wanted.givenUp);
    EXPECT_EQ(is.onTheWay, wanted.onTheWay);
    EXPECT_EQ(is.lost, wanted.lost);
    EXPECT_EQ(is.missing(), wanted.missing);
}

const AccountRow Rows[] = {
        {"TwoHostsAtWork",
         {state(0, "h1.1", {1000, 300, 200, 60, 40, 500}), ended(0, "h2.1", "answered", 200, 50),
          state(0, "h2.1", {1000, 200, 150, 0, 50, 500})},
         {1000, 90, 350, 60, 500, {}, 0, 0, 0}},
        {"ChargedAfterTheLastState",
         {state(0, "h1.1", {1000, 300, 200, 60, 40, 700}), ended(1, "h1.1", "answered", 200, 80)},
         {1000, 120, 180, 0, 700, {}, 0, 0, 0}},
        {"DeathThatSeals",
         {state(0, "h1.1", {1000, 300, 250, 0, 50, 500}),
          state(0, "h2.1", {1000, 200, 200, 0, 0, 500}), ended(1, "h1.1", "answered", 200, 20),
          givenUp(3, "h1.2", "h1.1", 110, 190, "sealed"), state(4, "h1.2", {1000, 0, 0, 0, 0, 690}),
          state(4, "h2.1", {1000, 200, 200, 0, 0, 690})},
         {1000, 70, 200, 0, 690, {{"sealed", 40}}, 0, 0, 0}},
        {"DeathThatDoesNotSeal",
         {state(0, "h1.1", {1000, 300, 250, 0, 50, 500}),
          state(0, "h2.1", {1000, 200, 200, 0, 0, 500}), ended(1, "h1.1", "answered", 200, 20),
          givenUp(3, "h1.2", "h1.1", 300, 0, "end_not_dated"),
          state(4, "h1.2", {1000, 0, 0, 0, 0, 500}), state(4, "h2.1", {1000, 200, 200, 0, 0, 500})},
         {1000, 70, 200, 0, 500, {{"end_not_dated", 230}}, 0, 0, 0}},
        {"DeathOfOneThatGaveAndTook",
         {state(0, "h1.1", {1000, 300, 300, 0, 0, 500}),
          state(0, "h2.1", {1000, 200, 200, 0, 0, 500}), given(1, "h1.1", "h2.1", 1, 100),
          taken(1, "h2.1", "h1.1", 1, 100), given(1, "h2.1", "h1.1", 1, 10),
          taken(1, "h1.1", "h2.1", 1, 10), givenUp(3, "h1.2", "h1.1", 300, 0, "end_not_dated"),
          state(4, "h2.1", {1000, 200, 290, 0, 0, 500})},
         {1000, 0, 290, 0, 500, {{"end_not_dated", 210}}, 0, 0, 0}},
        {"DeathOfOneThatHadOnlyPeersTokens",
         {state(0, "h1.1", {1000, 300, 200, 0, 0, 700}), taken(1, "h2.1", "h1.1", 1, 100),
          ended(2, "h2.1", "failed", 502, 30), givenUp(3, "h2.2", "h2.1", 0, 0, "sealed"),
          state(4, "h1.1", {1000, 300, 200, 0, 0, 700})},
         {1000, 30, 200, 0, 700, {{"sealed", 70}}, 0, 0, 0}},
        {"DeathThatNobodyHasFoundOut",
         {state(0, "h1.1", {1000, 300, 250, 10, 40, 700}),
          state(1, "h1.2", {1000, 0, 0, 0, 0, 700})},
         {1000, 40, 0, 0, 700, {{"not_found_out", 260}}, 0, 0, 0}},
        {"HostThatIsGoneForGood",
         {state(0, "h1.1", {1000, 300, 250, 10, 40, 700}),
          state(60, "h2.1", {1000, 0, 0, 0, 0, 700})},
         {1000, 40, 0, 0, 700, {{"not_found_out", 260}}, 0, 0, 0}},
        {"SealThatAllowedLessThanWasUsed",
         {state(0, "h1.1", {1000, 300, 250, 0, 50, 700}), ended(1, "h1.1", "answered", 200, 200),
          givenUp(3, "h1.2", "h1.1", 100, 200, "sealed"),
          state(4, "h1.2", {1000, 0, 0, 0, 0, 900})},
         {1000, 250, 0, 0, 900, {{"sealed", -150}}, 0, 0, 0}},
        {"MoveOnTheWay",
         {state(0, "h1.1", {1000, 300, 300, 0, 0, 700}), state(0, "h2.1", {1000, 0, 0, 0, 0, 700}),
          given(1, "h1.1", "h2.1", 1, 100)},
         {1000, 0, 200, 0, 700, {}, 100, 0, 0}},
        {"MoveThatIsLost",
         {state(0, "h1.1", {1000, 300, 300, 0, 0, 700}), state(0, "h2.1", {1000, 0, 0, 0, 0, 700}),
          given(1, "h1.1", "h2.1", 1, 100),
          line(2, "h1.1", "tokens.lost", {{"id", 1}, {"tokens", 100}})},
         {1000, 0, 200, 0, 700, {}, 0, 100, 0}},
        {"MoveToAProcessThatEnded",
         {state(0, "h1.1", {1000, 300, 300, 0, 0, 700}), state(0, "h2.1", {1000, 0, 0, 0, 0, 700}),
          given(1, "h1.1", "h2.1", 1, 100), state(2, "h2.2", {1000, 0, 0, 0, 0, 700})},
         {1000, 0, 200, 0, 700, {}, 0, 100, 0}},
        {"MoveWhoseAcknowledgementIsLost",
         {state(0, "h1.1", {1000, 300, 300, 0, 0, 700}), state(0, "h2.1", {1000, 0, 0, 0, 0, 700}),
          given(1, "h1.1", "h2.1", 1, 100), taken(1, "h2.1", "h1.1", 1, 100),
          line(2, "h1.1", "tokens.lost", {{"id", 1}, {"tokens", 100}})},
         {1000, 0, 300, 0, 700, {}, 0, 0, 0}},
        {"MoveWhoseGiversLineWasDropped",
         {state(0, "h1.1", {1000, 300, 300, 0, 0, 700}), state(0, "h2.1", {1000, 0, 0, 0, 0, 700}),
          taken(1, "h2.1", "h1.1", 1, 100)},
         {1000, 0, 300, 0, 700, {}, 0, 0, 0}},
        {"BudgetThatIsToppedUp",
         {state(0, "h1.1", {1000, 300, 300, 0, 0, 700}), state(0, "h2.1", {1000, 0, 0, 0, 0, 700}),
          state(2, "h1.1", {1500, 400, 300, 0, 100, 1100}),
          state(2, "h2.1", {1000, 0, 0, 0, 0, 700}, false)},
         {1500, 100, 300, 0, 1100, {}, 0, 0, 0}},
        {"ChargesWhoseLinesWereDropped",
         {ended(0, "h1.1", "answered", 200, 10), state(1, "h1.1", {1000, 300, 200, 0, 100, 700})},
         {1000, 100, 200, 0, 700, {}, 0, 0, 0}},
        {"GapWhereAHostsLogIsMissing",
         {state(0, "h1.1", {1000, 300, 200, 0, 100, 550})},
         {1000, 100, 200, 0, 550, {}, 0, 0, 150}},
        {"MoreFoundThanPrepaid",
         {state(0, "h1.1", {1000, 600, 500, 0, 100, 400}),
          state(0, "h2.1", {1000, 200, 200, 0, 0, 400})},
         {1000, 100, 700, 0, 400, {}, 0, 0, -200}},
};

INSTANTIATE_TEST_SUITE_P(Rows, TokenAccounts, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(TokenAccount, ChargesStandByTheirRequestsEnds)
{
    const WorkspaceAccount is = accountOf(
            {state(0, "h1.1", {1000, 300, 300, 0, 0, 700}), ended(1, "h1.1", "answered", 200, 30),
             ended(1, "h1.1", "answered", 200, 20), ended(1, "h1.1", "failed", 502, 5),
             ended(1, "h1.1", "refused", 402, 0), refused(1, "h1.1", "budget_spent"),
             refused(1, "h1.1", "budget_unreachable"), refused(1, "h1.1", "no_endpoint")});
    ASSERT_EQ(is.charged.size(), 3U);
    EXPECT_EQ(is.charged.at("answered 200").tokens, 50);
    EXPECT_EQ(is.charged.at("answered 200").requests, 2U);
    EXPECT_EQ(is.charged.at("failed 502").tokens, 5);
    EXPECT_EQ(is.charged.at("refused 402").tokens, 0);
    EXPECT_EQ(is.refused, 2U);
}

TEST(TokenAccount, TextSaysByHowMuchItDoesNotAddUp)
{
    const std::string gap =
            accountText(accountOf({state(0, "h1.1", {1000, 300, 200, 0, 100, 550})}));
    EXPECT_NE(gap.find("doesn't add up: missing"), std::string::npos) << gap;
    EXPECT_NE(gap.find("150   15.00%"), std::string::npos) << gap;
    const std::string whole =
            accountText(accountOf({state(0, "h1.1", {1000, 300, 200, 0, 100, 700})}));
    EXPECT_NE(whole.find("  adds up\n"), std::string::npos) << whole;
}

struct FormatRow
{
    const char *name;
    std::vector<std::string> lines;
    std::vector<std::string> events; ///< in the order of time
    std::chrono::microseconds first;
};

class AccountLogs : public testing::TestWithParam<FormatRow>
{};

TEST_P(AccountLogs, AreReadInTheOrderOfTime)
{
    const std::string path = testing::TempDir() + "/TokenAccount-" + GetParam().name + ".log";
    std::ofstream file(path);
    for (const std::string &text : GetParam().lines) {
        file << text << "\n";
    }
    file.close();
    const std::vector<AccountEvent> events = readAccountEvents({path});
    std::vector<std::string> names;
    for (const AccountEvent &event : events) {
        names.push_back(event.fields.at("event"));
    }
    EXPECT_EQ(names, GetParam().events);
    ASSERT_FALSE(events.empty());
    EXPECT_EQ(events.front().at, GetParam().first);
}

const FormatRow Formats[] = {
        {"PlainLines",
         {R"({"event":"b","hlc":"00000000020000000.000000"})",
          R"({"event":"a","hlc":"00000000010000000.000000"})"},
         {"a", "b"},
         Seconds(10)},
        {"PrefixedLinesOfAClockThatJumps",
         {R"(   2.5000 h1 {"event":"b","hlc":"00000000010000000.000000"})",
          R"(  -1.5000 h2 {"event":"a","hlc":"00000000020000000.000000"})", "played in 9 s"},
         {"a", "b"},
         std::chrono::milliseconds(-1500)},
        {"LineWithoutAStampStaysBehindTheOneBefore",
         {R"({"event":"a","hlc":"00000000010000000.000000"})", R"({"event":"log.dropped"})",
          R"({"event":"b","hlc":"00000000020000000.000000"})"},
         {"a", "log.dropped", "b"},
         Seconds(10)},
        {"LineThatIsCutOff",
         {R"({"event":"a","hlc":"00000000010000000.000000"})", R"({"event":"b","hl)"},
         {"a"},
         Seconds(10)},
};

INSTANTIATE_TEST_SUITE_P(Rows, AccountLogs, testing::ValuesIn(Formats),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(TokenAccount, AMissingLogIsAnError)
{
    EXPECT_THROW(readAccountEvents({testing::TempDir() + "/TokenAccount-none"}),
                 std::runtime_error);
}

} // namespace
