#include "sequoiagate/Config/ConfigFold.h"

#include <gtest/gtest.h>

#include "unittests/Support/LedgerRecords.h"

using namespace sequoiagate;

namespace {

wire::Record change(uint64_t base, const std::string &author)
{
    wire::Record record;
    record.mutable_config_change()->set_base_version(base);
    record.mutable_config_change()->set_author(author);
    return record;
}

wire::Record budget(uint64_t base, const std::string &workspace, uint64_t tokens)
{
    wire::Record record = change(base, "rasa");
    wire::WorkspaceChange *entry = record.mutable_config_change()->add_workspaces();
    entry->set_workspace(workspace);
    entry->set_budget_tokens(tokens);
    return record;
}

wire::Record topUp(uint64_t base, const std::string &workspace, const std::string &id,
                   uint64_t tokens)
{
    wire::Record record = change(base, "rasa");
    wire::WorkspaceChange *entry = record.mutable_config_change()->add_workspaces();
    entry->set_workspace(workspace);
    wire::TopUp *added = entry->add_top_ups();
    added->set_id(id);
    added->set_tokens(tokens);
    return record;
}

wire::Record keyFor(uint64_t base, const std::string &workspace, const std::string &hash)
{
    wire::Record record = change(base, "rasa");
    wire::WorkspaceChange *entry = record.mutable_config_change()->add_workspaces();
    entry->set_workspace(workspace);
    entry->add_add_key_hashes(hash);
    return record;
}

wire::Record removal(uint64_t base, const std::string &workspace)
{
    wire::Record record = change(base, "rasa");
    record.mutable_config_change()->add_removed_workspaces(workspace);
    return record;
}

/// Applies bodies as the records of one writer.
class SingleWriterFold
{
public:
    explicit SingleWriterFold(ConfigSafeguards safeguards = {}) : fold(safeguards) {}

    FoldOutcome apply(wire::Record body)
    {
        ++sequence;
        return fold.apply(records::from("op", sequence, std::move(body)), fold.state().offset())
                .outcome;
    }
    uint64_t total(const std::string &workspace) const
    {
        const wire::WorkspaceConfig *config = fold.findWorkspace(WorkspaceId(workspace));
        return config ? prepaidTotal(*config) : 0;
    }

    ConfigFold fold;
    uint64_t sequence = 0;
};

struct ConfigHistory
{
    const char *name;
    std::vector<wire::Record> bodies;
    std::vector<FoldOutcome> outcomes;
    uint64_t version;
    uint64_t total; ///< of workspace w
};

constexpr FoldOutcome Accepted = FoldOutcome::Accepted;
constexpr FoldOutcome Rejected = FoldOutcome::Refused;

const ConfigHistory ConfigHistories[] = {
        {"Budget", {budget(0, "w", 5)}, {Accepted}, 1, 5},
        {"RacingOperators", {budget(0, "w", 5), budget(0, "w", 9)}, {Accepted, Rejected}, 1, 5},
        {"BasedOnFutureVersion", {budget(1, "w", 5)}, {Rejected}, 0, 0},
        {"TopUpOnce",
         {budget(0, "w", 5), topUp(1, "w", "t", 3), topUp(2, "w", "t", 3)},
         {Accepted, Accepted, Accepted},
         3,
         8},
        {"TopUpOnceAcrossRemoval",
         {topUp(0, "w", "t", 3), removal(1, "w"), topUp(2, "w", "t", 3)},
         {Accepted, Accepted, Accepted},
         3,
         3},
        {"TotalOverflows",
         {budget(0, "w", UINT64_MAX), topUp(1, "w", "t", 1)},
         {Accepted, Rejected},
         1,
         UINT64_MAX},
        {"KeyOfTwoWorkspaces",
         {keyFor(0, "v", "ab"), keyFor(1, "w", "ab")},
         {Accepted, Rejected},
         1,
         0},
        {"NoWorkspaceId", {budget(0, "", 5)}, {Rejected}, 0, 0},
        {"LedgerRecord", {records::bill("w", "r", 1)}, {Rejected}, 0, 0},
};

class ConfigFoldHistory : public testing::TestWithParam<ConfigHistory>
{};

TEST_P(ConfigFoldHistory, GivesExpectedOutcomes)
{
    SingleWriterFold writer;
    std::vector<FoldOutcome> outcomes;
    for (const wire::Record &body : GetParam().bodies) {
        outcomes.push_back(writer.apply(body));
    }
    EXPECT_EQ(outcomes, GetParam().outcomes);
    EXPECT_EQ(writer.fold.version(), GetParam().version);
    EXPECT_EQ(writer.total("w"), GetParam().total);
}

INSTANTIATE_TEST_SUITE_P(Rules, ConfigFoldHistory, testing::ValuesIn(ConfigHistories),
                         [](const auto &row) { return std::string(row.param.name); });

/// The same history with a safeguard enabled and disabled.
struct SafeguardCase
{
    const char *name;
    ConfigSafeguards without;
    std::vector<wire::Record> bodies;
    uint64_t totalWith;
    uint64_t totalWithout;
};

const SafeguardCase SafeguardCases[] = {
        // Two operators start from version 1; the second hasn't seen the first's budget.
        {"CompareAndSwap",
         {.compareAndSwap = false},
         {budget(0, "w", 1), budget(1, "w", 50), budget(1, "w", 9)},
         50,
         9},
        // A sheet is applied, then applied again after a correction.
        {"DeduplicateTopUps",
         {.deduplicateTopUps = false},
         {topUp(0, "w", "t", 3), topUp(1, "w", "t", 3)},
         3,
         6},
};

class ConfigSafeguard : public testing::TestWithParam<SafeguardCase>
{};

TEST_P(ConfigSafeguard, ChangesTheTotal)
{
    SingleWriterFold with;
    SingleWriterFold without(GetParam().without);
    for (const wire::Record &body : GetParam().bodies) {
        with.apply(body);
        without.apply(body);
    }
    EXPECT_EQ(with.total("w"), GetParam().totalWith);
    EXPECT_EQ(without.total("w"), GetParam().totalWithout);
}

INSTANTIATE_TEST_SUITE_P(Flags, ConfigSafeguard, testing::ValuesIn(SafeguardCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(ConfigFold, AdoptsOnlyNewerStates)
{
    SingleWriterFold old;
    old.apply(budget(0, "w", 5));
    SingleWriterFold newer;
    newer.apply(budget(0, "w", 5));
    newer.apply(budget(1, "w", 6));
    EXPECT_TRUE(old.fold.adoptIfNewer(newer.fold.state()));
    EXPECT_EQ(old.total("w"), 6U);
    SingleWriterFold older;
    older.apply(budget(0, "w", 5));
    EXPECT_FALSE(old.fold.adoptIfNewer(older.fold.state()));
    EXPECT_EQ(old.fold.version(), 2U);
}

/// An operator loses the reply to a change and retries at a keeper that has adopted
/// the state from a peer: the change must still be known as accepted.
TEST(ConfigFold, KnowsAcceptedChangesOfAnAdoptedState)
{
    SingleWriterFold newer;
    newer.apply(budget(0, "w", 5));
    ConfigFold fresh;
    ASSERT_TRUE(fresh.adoptIfNewer(newer.fold.state()));
    EXPECT_EQ(fresh.outcomeOf(Incarnation("op"), 1), FoldOutcome::Accepted);
    EXPECT_EQ(fresh.outcomeOf(Incarnation("op"), 2), std::nullopt);
    EXPECT_EQ(fresh.apply(records::from("op", 1, budget(0, "w", 5)), 1).outcome,
              FoldOutcome::Duplicate);
    EXPECT_EQ(fresh.outcomeOf(Incarnation("op"), 1), FoldOutcome::Accepted);
}

TEST(ConfigFold, FindsAWorkspaceByKey)
{
    SingleWriterFold writer;
    writer.apply(keyFor(0, "v", "aa"));
    writer.apply(keyFor(1, "w", "bb"));
    ASSERT_NE(writer.fold.findWorkspaceByKeyHash("bb"), nullptr);
    EXPECT_EQ(writer.fold.findWorkspaceByKeyHash("bb")->workspace(), "w");
    writer.apply(removal(2, "w"));
    EXPECT_EQ(writer.fold.findWorkspaceByKeyHash("bb"), nullptr);
}

} // namespace
