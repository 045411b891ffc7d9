/// Which failure domains are evacuated, as the operator's records come and go.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/DomainEvacuations.h"

using namespace sequoiagate;

namespace {

/// A record that is read: of a domain, at an offset; without an offset it is gone.
struct EvacuationStep
{
    const char *domain;
    std::optional<uint64_t> offset;
    bool isChange;
};

struct EvacuationCase
{
    const char *name;
    std::vector<EvacuationStep> steps;
    std::vector<const char *> evacuated; ///< afterwards
};

class DomainEvacuationsTest : public testing::TestWithParam<EvacuationCase>
{};

const EvacuationCase EvacuationCases[] = {
        {"None", {}, {}},
        {"One", {{"a", 3, true}}, {"a"}},
        {"RecordIsReadAgain", {{"a", 3, true}, {"a", 3, false}, {"a", 5, false}}, {"a"}},
        {"TakenBack", {{"a", 3, true}, {"a", std::nullopt, true}}, {}},
        {"TakenBackTwice", {{"a", 3, true}, {"a", {}, true}, {"a", {}, false}}, {}},
        {"TwiceInARow", {{"a", 3, true}, {"a", {}, true}, {"a", 5, true}}, {"a"}},
        {"Several", {{"a", 3, true}, {"c", 4, true}, {"b", 5, true}, {"a", {}, true}}, {"b", "c"}},
};

TEST_P(DomainEvacuationsTest, HoldUntilTheirRecordsAreGone)
{
    const EvacuationCase &row = GetParam();
    const Instant now{std::chrono::hours(1)};
    DomainEvacuations evacuations;
    for (const EvacuationStep &step : row.steps) {
        const DomainId domain(step.domain);
        EXPECT_EQ(step.offset ? evacuations.begin(domain, *step.offset, now)
                              : evacuations.end(domain),
                  step.isChange);
    }
    std::vector<DomainId> expected;
    for (const char *domain : row.evacuated) {
        expected.emplace_back(domain);
        EXPECT_TRUE(evacuations.isEvacuated(DomainId(domain)));
    }
    EXPECT_EQ(evacuations.domains(), expected);
    EXPECT_EQ(evacuations.count(), expected.size());
    EXPECT_FALSE(evacuations.isEvacuated(DomainId("elsewhere")));
}

INSTANTIATE_TEST_SUITE_P(Rows, DomainEvacuationsTest, testing::ValuesIn(EvacuationCases),
                         [](const auto &row) { return row.param.name; });

TEST(DomainEvacuationsLog, NamesTheRecordsAndTheirAge)
{
    const Instant now{std::chrono::hours(1)};
    DomainEvacuations evacuations;
    EXPECT_EQ(evacuations.describe(now), "");
    evacuations.begin(DomainId("a"), 3, now);
    evacuations.begin(DomainId("b"), 4, now + Millis(10));
    EXPECT_EQ(evacuations.describe(now + Millis(30)),
              "a evacuated by row 3, read 30 ms ago; b evacuated by row 4, read 20 ms ago");
}

} // namespace
