/// The checker against hand-made histories: each bad one must be found, under
/// the property it breaks and no other; each good twin must pass.

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
    const char *property; ///< the one that must be found broken; empty: none
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

Step sent(int at, const char *field, const char *id, const char *tryName)
{
    return {at, events::CallerSent, {{"workspace", "w"}, {field, id}, {"try", tryName}}};
}

Step notRun(int at, const char *field, const char *id, const char *tryName)
{
    return {at,
            events::CallerGot,
            {{"workspace", "w"},
             {field, id},
             {"try", tryName},
             {"status", 503},
             {"execution", "not_run"}}};
}

Step received(int at, const char *field, const char *id)
{
    return {at, events::EndpointReceived, {{"workspace", "w"}, {field, id}, {"endpoint", "e"}}};
}

Step keyRan(int at, const char *key)
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
        {"SpentAll", None, {ran(1, "r", 10, "h")}, {{W, 10}}},
        {"SpentBeyond", "overspend", {ran(1, "r", 10, "h"), ran(2, "s", 1, "h")}, {{W, 10}}},
        {"BilledOnce", None, {ran(1, "r", 10, "h"), got(2, "r", "h")}, {}, {{W, R, 10}}},
        {"BilledTwice", "billed_once", {ran(1, "r", 10, "h")}, {}, {{W, R, 10}, {W, R, 10}}},
        {"NeverBilled", "billed_once", {ran(1, "r", 10, "h"), got(2, "r", "h")}},
        {"BilledTooMuch", "billed_once", {ran(1, "r", 10, "h")}, {}, {{W, R, 11}}},
        {"BilledInDoubt", None, {ran(1, "r", 10, "h")}, {}, {{W, R, 64, true}}},
        {"SomebodyElsesAnswer",
         "own_answer",
         {ran(1, "r", 10, "h"), ran(1, "s", 10, "other"), got(2, "r", "other")},
         {},
         {{W, R, 10}}},
        {"NotRunWasTrue", None, {sent(1, "request", "r", "a"), notRun(2, "request", "r", "a")}},
        {"NotRunWasFalse",
         "not_run_is_true",
         {sent(1, "request", "r", "a"), received(2, "request", "r"),
          notRun(3, "request", "r", "a")}},
        {"NotRunThenRun",
         None,
         {sent(1, "request", "r", "a"), notRun(2, "request", "r", "a"),
          sent(3, "request", "r", "b"), received(4, "request", "r")}},
        {"NotRunThenRanLateAndSentAgain",
         "not_run_is_true",
         {sent(1, "request", "r", "a"), notRun(2, "request", "r", "a"), received(3, "request", "r"),
          sent(4, "request", "r", "b")}},
        {"KeyNotRunWasFalse",
         "not_run_is_true",
         {sent(1, "key", "k", "a"), received(2, "key", "k"), notRun(3, "key", "k", "a")}},
        {"KeyRanOnce", None, {keyRan(1, "k"), keyRan(2, "l")}},
        {"KeyRanTwice", "at_most_once", {keyRan(1, "k"), keyRan(2, "k")}},
        {"WorkWhileLeaving", None, {leaving(1000), received(3900, "request", "r")}},
        {"WorkAfterLeaving", "leaving_endpoint", {leaving(1000), received(4100, "request", "r")}},
        {"StoppedWell", None, {stopped(0, 0)}},
        {"StoppedWithOpenStream", "planned_stop", {stopped(1, 0)}},
        {"StoppedWithGrant", "planned_stop", {stopped(0, 5)}},
        {"ConfigRises", None, {inForce(1, 3), inForce(2, 3), inForce(3, 5)}},
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

TEST_P(HistoryChecks, FindsJustWhatIsBroken)
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

TEST(HistoryChecks, EveryPropertyHasABadHistory)
{
    for (const std::string &property : historyProperties()) {
        const bool covered = std::any_of(std::begin(Rows), std::end(Rows),
                                         [&](const Row &row) { return property == row.property; });
        EXPECT_TRUE(covered) << property;
    }
}

} // namespace
