/// Runs the checks on constructed histories. Each invalid history must be reported under
/// the property that it violates and no other; each valid counterpart must pass.

#include "sequoiagate/History/History.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"

using namespace sequoiagate;

namespace {

struct Step
{
    int atMillis;
    std::string_view event;
    nlohmann::json fields;
};

struct Row
{
    const char *name;
    const char *property; ///< the property that must be reported; empty: none
    std::vector<Step> steps;
    std::vector<FinalBudget> budgets = {};
    std::vector<FinalBill> bills = {};
};

const WorkspaceId W("w");
const RequestId R("r");
constexpr const char *None = "";

Step ran(int at, const char *request, uint64_t tokens, const char *hash)
{
    return {at,
            events::EndpointRan,
            {{"workspace", "w"},
             {"request", request},
             {"tokens", tokens},
             {"answer_hash", hash},
             {"idempotent", true},
             {"endpoint", "e"}}};
}

Step got(int at, const char *request, const char *hash)
{
    return {at,
            events::CallerGot,
            {{"workspace", "w"},
             {"request", request},
             {"status", 200},
             {"whole", true},
             {"answer_hash", hash}}};
}

Step sent(int at, const char *field, const char *id, const char *attemptName)
{
    return {at, events::CallerSent, {{"workspace", "w"}, {field, id}, {"try", attemptName}}};
}

Step notRun(int at, const char *field, const char *id, const char *attemptName)
{
    return {at,
            events::CallerGot,
            {{"workspace", "w"},
             {field, id},
             {"try", attemptName},
             {"status", 503},
             {"execution", "not_run"}}};
}

Step received(int at, const char *field, const char *id)
{
    return {at, events::EndpointReceived, {{"workspace", "w"}, {field, id}, {"endpoint", "e"}}};
}

Step ranWithKey(int at, const char *key)
{
    return {at,
            events::EndpointRan,
            {{"workspace", "w"}, {"key", key}, {"idempotent", false}, {"endpoint", "e"}}};
}

Step leaving(int at)
{
    return {at, events::EndpointLeaving, {{"endpoint", "e"}}};
}

Step stopped(uint64_t cutOff, uint64_t stranded)
{
    return {0, events::ProcessStopped, {{"cut_off", cutOff}, {"stranded_tokens", stranded}}};
}

Step inForce(int at, uint64_t version)
{
    return {at, events::ConfigInForce, {{"version", version}}};
}

const Row Rows[] = {
        {"SpentExactlyPrepaid", None, {ran(1, "r", 10, "h")}, {{W, 10}}},
        {"SpentMoreThanPrepaid",
         "overspend",
         {ran(1, "r", 10, "h"), ran(2, "s", 1, "h")},
         {{W, 10}}},
        {"BilledOnce", None, {ran(1, "r", 10, "h"), got(2, "r", "h")}, {}, {{W, R, 10}}},
        {"BilledTwice", "billed_once", {ran(1, "r", 10, "h")}, {}, {{W, R, 10}, {W, R, 10}}},
        {"NeverBilled", "billed_once", {ran(1, "r", 10, "h"), got(2, "r", "h")}},
        {"BilledMoreThanCost", "billed_once", {ran(1, "r", 10, "h")}, {}, {{W, R, 11}}},
        {"BilledInDoubt", None, {ran(1, "r", 10, "h")}, {}, {{W, R, 64, true}}},
        {"ResponseOfOtherRequest",
         "own_answer",
         {ran(1, "r", 10, "h"), ran(1, "s", 10, "other"), got(2, "r", "other")},
         {},
         {{W, R, 10}}},
        {"NotRunReportedCorrectly",
         None,
         {sent(1, "request", "r", "a"), notRun(2, "request", "r", "a")}},
        {"NotRunReportedAfterReceipt",
         "not_run_is_true",
         {sent(1, "request", "r", "a"), received(2, "request", "r"),
          notRun(3, "request", "r", "a")}},
        {"NotRunThenRetried",
         None,
         {sent(1, "request", "r", "a"), notRun(2, "request", "r", "a"),
          sent(3, "request", "r", "b"), received(4, "request", "r")}},
        {"NotRunThenReceivedBeforeRetry",
         "not_run_is_true",
         {sent(1, "request", "r", "a"), notRun(2, "request", "r", "a"), received(3, "request", "r"),
          sent(4, "request", "r", "b")}},
        {"KeyNotRunReportedAfterReceipt",
         "not_run_is_true",
         {sent(1, "key", "k", "a"), received(2, "key", "k"), notRun(3, "key", "k", "a")}},
        {"KeyRanOnce", None, {ranWithKey(1, "k"), ranWithKey(2, "l")}},
        {"KeyRanTwice", "at_most_once", {ranWithKey(1, "k"), ranWithKey(2, "k")}},
        {"WorkWithinLeavingGrace", None, {leaving(1000), received(3900, "request", "r")}},
        {"WorkAfterLeavingGrace",
         "leaving_endpoint",
         {leaving(1000), received(4100, "request", "r")}},
        {"StoppedCleanly", None, {stopped(0, 0)}},
        {"StoppedWithOpenStream", "planned_stop", {stopped(1, 0)}},
        {"StoppedWithStrandedTokens", "planned_stop", {stopped(0, 5)}},
        {"ConfigVersionsIncrease", None, {inForce(1, 3), inForce(2, 3), inForce(3, 5)}},
        {"ConfigReverts", "config_never_reverts", {inForce(1, 3), inForce(2, 2)}},
};

History historyOf(const Row &row)
{
    History history;
    history.budgets = row.budgets;
    history.bills = row.bills;
    for (const Step &step : row.steps) {
        HistoryEvent event;
        event.stamp = fmt::format("{:017d}.000000", int64_t{1000} * step.atMillis);
        event.name = step.event;
        event.fields = step.fields;
        history.events.push_back(std::move(event));
    }
    return history;
}

class HistoryChecks : public testing::TestWithParam<Row>
{};

TEST_P(HistoryChecks, ReportsOnlyViolatedProperty)
{
    const std::vector<Violation> violations = checkHistory(historyOf(GetParam()));
    const std::string expected = GetParam().property;
    if (expected.empty()) {
        EXPECT_TRUE(violations.empty()) << describe(violations);
        return;
    }
    ASSERT_FALSE(violations.empty());
    for (const Violation &violation : violations) {
        EXPECT_EQ(violation.property, expected) << violation.what;
    }
}

INSTANTIATE_TEST_SUITE_P(Histories, HistoryChecks, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(HistoryChecks, EveryPropertyHasAnInvalidHistory)
{
    for (const std::string &property : historyProperties()) {
        const bool covered = std::any_of(std::begin(Rows), std::end(Rows),
                                         [&](const Row &row) { return property == row.property; });
        EXPECT_TRUE(covered) << property;
    }
}

} // namespace
