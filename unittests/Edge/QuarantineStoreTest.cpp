/// The rows by which quarantines outlive the hosts, and when they are written.

#include <deque>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "lib/Edge/LedgerRows.h"
#include "lib/Edge/QuarantineStore.h"

using namespace sequoiagate;

namespace {

const Instant Now{std::chrono::hours(1)};
const WallTime Wall{std::chrono::hours(500'000)};
constexpr PartKey Part = 0xFFFF'FFFF'FFFF'FFF1U;

Quarantine quarantineOf(PartKey part, Instant until)
{
    return {part, 1, until, {{EndpointId("e"), 17}, {EndpointId("f"), 0}}, HostId("h")};
}

TEST(QuarantineRow, IsDecodedByAHostWithAnotherClock)
{
    const Instant later{std::chrono::hours(7)};
    const StoreRow row =
            encodeQuarantineRow(quarantineOf(Part, Now + std::chrono::minutes(20)), Now, Wall);
    EXPECT_EQ(ledgerRowKind(row.key), LedgerRowKind::Quarantine);
    const auto decoded = decodeQuarantineRow(row, later, Wall + std::chrono::minutes(5));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->part, Part);
    EXPECT_EQ(decoded->level, 1U);
    EXPECT_EQ(decoded->until, later + std::chrono::minutes(15));
    EXPECT_EQ(decoded->decidedBy, HostId("h"));
    EXPECT_EQ(decoded->crashed, quarantineOf(Part, Now).crashed);
}

// Guards against taking the row of a request for that of a part, at any version.
TEST(QuarantineRow, OfARequestIsNoneOfAPart)
{
    const StoreRow row = encodeQuarantineRow(quarantineOf(Part, Now + std::chrono::minutes(20)),
                                             Now, Wall, RequestQuarantineRowPrefix);
    EXPECT_EQ(ledgerRowKind(row.key), LedgerRowKind::Quarantine);
    EXPECT_EQ(decodeQuarantineRow(row, Now, Wall), std::nullopt);
    const auto decoded = decodeQuarantineRow(row, Now, Wall, RequestQuarantineRowPrefix);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->part, Part);
    EXPECT_EQ(encodeQuarantineRemoval(Part, RequestQuarantineRowPrefix).key, row.key);
}

// Guards against a quarantine without an end, of a host whose clock is far ahead.
TEST(QuarantineRow, EndsWhateverTheClockOfItsWriter)
{
    const StoreRow row =
            encodeQuarantineRow(quarantineOf(Part, Now + std::chrono::minutes(20)), Now, Wall);
    const auto decoded = decodeQuarantineRow(row, Now, Wall - std::chrono::hours(1000));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->until, Now + CrashingParts::MaxQuarantine);
}

struct OddEndCase
{
    const char *name;
    int64_t untilMillis;
    Instant decoded;
};

class OddEnds : public testing::TestWithParam<OddEndCase>
{};

// Guards against an end beyond the range of its type.
TEST_P(OddEnds, AreWithinTheLongestQuarantine)
{
    StoreRow row = encodeQuarantineRow(quarantineOf(Part, Now), Now, Wall);
    nlohmann::json value = nlohmann::json::parse(row.value);
    value["until_ms"] = GetParam().untilMillis;
    row.value = value.dump();
    const auto decoded = decodeQuarantineRow(row, Now, Wall);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->until, GetParam().decoded);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, OddEnds,
        testing::Values(OddEndCase{"Largest", INT64_MAX, Now + CrashingParts::MaxQuarantine},
                        OddEndCase{"Smallest", INT64_MIN, Now - Wall.time_since_epoch()}),
        [](const auto &row) { return row.param.name; });

struct IgnoredRowCase
{
    const char *name;
    StoreRow row;
};

class IgnoredRows : public testing::TestWithParam<IgnoredRowCase>
{};

const IgnoredRowCase IgnoredRowCases[] = {
        {"Removal", {"quarantine/00000000000000ff", "", 0}},
        {"NoPart", {"quarantine/", "{}", 0}},
        {"OtherText", {"quarantine/xyz", "{}", 0}},
        {"NotJson", {"quarantine/00000000000000ff", "none", 0}},
        {"MissingField", {"quarantine/00000000000000ff", R"({"level":0})", 0}},
        {"OtherType", {"quarantine/00000000000000ff", R"({"level":"a","until_ms":[]})", 0}},
};

TEST_P(IgnoredRows, QuarantineNothing)
{
    EXPECT_EQ(decodeQuarantineRow(GetParam().row, Now, Wall), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(Rows, IgnoredRows, testing::ValuesIn(IgnoredRowCases),
                         [](const auto &row) { return row.param.name; });

/// Answers each append as a test says.
class ScriptedStore : public Store
{
public:
    explicit ScriptedStore(boost::asio::io_context &io) : io_(io) {}

    void tail(const std::string &, uint64_t, Interval, std::function<void(TailAnswer)>) override {}
    void snapshot(const std::string &, const std::string &,
                  std::function<void(SnapshotAnswer)>) override
    {}
    void append(const StoreBatch &batch, std::function<void(AppendAnswer)> handler) override
    {
        batches.push_back(batch);
        AppendAnswer answer{StoreOutcome::Ok, 0, std::nullopt};
        if (!answers.empty()) {
            answer = answers.front();
            answers.pop_front();
        }
        io_.post([handler = std::move(handler), answer] { handler(answer); });
    }

    std::deque<AppendAnswer> answers; ///< Ok once there are none left
    std::vector<StoreBatch> batches;

private:
    boost::asio::io_context &io_;
};

class QuarantineStoreTest : public testing::Test
{
protected:
    QuarantineStoreTest()
        : store_(io_), log_({"test", HostId("h"), DomainId("d"), Incarnation("i")}, sink()),
          records_(io_, store_, "topic", "writer", log_)
    {}

    class NoLines : public LineSink
    {
    public:
        void write(std::string_view) override {}
    };

    static std::unique_ptr<LineSink> sink() { return std::make_unique<NoLines>(); }

    void runAll()
    {
        io_.restart();
        io_.run();
    }

    Quarantine soon(PartKey part) const
    {
        return quarantineOf(part, now_ + std::chrono::minutes(30));
    }

    const Instant now_ = std::chrono::steady_clock::now();
    boost::asio::io_context io_;
    ScriptedStore store_;
    EventLog log_;
    QuarantineStore records_;
};

TEST_F(QuarantineStoreTest, WritesEachQuarantineOnce)
{
    records_.write(soon(1), now_);
    records_.write(soon(2), now_);
    runAll();
    ASSERT_EQ(store_.batches.size(), 2U);
    EXPECT_EQ(store_.batches[0].seq, 0U);
    EXPECT_EQ(store_.batches[1].seq, 1U);
    EXPECT_EQ(store_.batches[1].rows.size(), 1U);
    EXPECT_EQ(store_.batches[1].topic, "topic");
    const auto read = records_.onRow(store_.batches[0].rows.front(), now_);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->part, 1U);
}

// Guards against losing a quarantine that is decided while the store doesn't answer.
TEST_F(QuarantineStoreTest, WritesAgainUntilTheStoreHasIt)
{
    store_.answers = {{StoreOutcome::Unreachable, 0, std::nullopt},
                      {StoreOutcome::OutOfOrder, 0, uint64_t{1}}};
    records_.write(soon(1), now_);
    runAll();
    ASSERT_EQ(store_.batches.size(), 2U);
    EXPECT_EQ(store_.batches[0].seq, store_.batches[1].seq);
}

// Guards against rows that pile up, and against calls to the store for them alone.
TEST_F(QuarantineStoreTest, RemovesOldRowsWithTheNextWrite)
{
    const Instant longAgo = now_ - QuarantineStore::EndedRowLifetime - std::chrono::minutes(1);
    const WallTime wall = std::chrono::system_clock::now();
    const StoreRow old = encodeQuarantineRow(quarantineOf(7, longAgo), now_, wall);
    const StoreRow recent =
            encodeQuarantineRow(quarantineOf(8, now_ - std::chrono::minutes(1)), now_, wall);
    EXPECT_FALSE(records_.onRow(old, now_));
    EXPECT_FALSE(records_.onRow(recent, now_));
    runAll();
    EXPECT_TRUE(store_.batches.empty());
    records_.write(soon(1), now_);
    runAll();
    ASSERT_EQ(store_.batches.size(), 1U);
    ASSERT_EQ(store_.batches[0].rows.size(), 2U);
    EXPECT_EQ(store_.batches[0].rows[1].key, old.key);
    EXPECT_TRUE(store_.batches[0].rows[1].value.empty());
}

} // namespace
