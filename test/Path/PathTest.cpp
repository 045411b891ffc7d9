/// The whole path by separate processes: a caller's request goes through a
/// router and a keeper to an engine and back, and is billed in the log.

#include <gtest/gtest.h>

#include "test/Support/Fleet.h"

using namespace sequoiagate;

namespace {

FleetShape oneHost(uint64_t budget)
{
    FleetShape shape;
    shape.hosts = {{"a1", "a"}};
    shape.endpoints = {{"engine-1", "a"}};
    shape.workspaces = {{"fretwise", budget}, {"other", budget}};
    return shape;
}

struct PathRow
{
    const char *name;
    bool stream;
};

class Path : public testing::TestWithParam<PathRow>
{};

TEST_P(Path, AnswersAndBillsOnce)
{
    Fleet fleet(oneHost(100'000));
    ChatCall call = fleet.chatCall(0, "fretwise", "r1");
    call.stream = GetParam().stream;
    call.prompt = "what ails a neck that bows tokens=12";
    const CallerAnswer answer = fleet.caller().chat(call);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.whole);
    fleet.waitBilled("fretwise", {"r1"});
    const History history = fleet.history();
    ASSERT_EQ(history.bills.size(), 1U);
    expectHolds(history);
}

INSTANTIATE_TEST_SUITE_P(Ways, Path,
                         testing::Values(PathRow{"Streamed", true}, PathRow{"Whole", false}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Path, RefusesAtTheBudgetsEnd)
{
    // Each call costs at least its prompt and an answer of 100 tokens, so that ten
    // of them can't fit. The refusal is final, and says that nothing ran.
    Fleet fleet(oneHost(600));
    CallerAnswer last;
    for (int i = 0; i < 10 && last.code.empty(); ++i) {
        ChatCall call = fleet.chatCall(0, "fretwise", "r" + std::to_string(i));
        call.prompt = "tokens=100";
        call.maxTokens = 100;
        last = fleet.caller().chat(call);
    }
    EXPECT_EQ(last.status, 402);
    EXPECT_EQ(last.code, "budget_spent");
    EXPECT_EQ(last.execution, "not_run");
    expectHolds(fleet.history());
}

TEST(Path, KnowsCallersByTheirKeys)
{
    Fleet fleet(oneHost(100'000));
    ChatCall call = fleet.chatCall(0, "fretwise", "r1");
    call.key = "no such key";
    const CallerAnswer answer = fleet.caller().chat(call);
    EXPECT_EQ(answer.status, 401);
    EXPECT_EQ(answer.code, "unauthenticated");
    EXPECT_EQ(answer.execution, "not_run");
}

} // namespace
