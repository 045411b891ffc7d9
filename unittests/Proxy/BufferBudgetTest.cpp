/// What a process of a given memory buffers for many connections. Guards against a process that is
/// killed for its memory, and against callers who read but are paused or cut off for others.

#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

#include "sequoiagate/Proxy/BufferBudget.h"

using namespace sequoiagate;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Megabyte = 1'000'000;
constexpr std::size_t ReadBytes = 8192; ///< of one read from an endpoint or a caller

class FakeHolder : public BufferHolder
{
public:
    void onBufferRoom() override { ++notified; }
    void onCutOff(const BufferCutOff &taken) override { cutOff = taken; }

    BufferBudget::Id id = 0;
    BufferUse use;
    int notified = 0;
    std::optional<BufferCutOff> cutOff;
};

class Process
{
public:
    explicit Process(std::size_t memory) : budget(BufferBudgetSettings::forProcess(memory)) {}

    FakeHolder &add()
    {
        FakeHolder &holder = holders.emplace_back();
        holder.id = budget.add(holder);
        return holder;
    }
    void set(FakeHolder &holder, const BufferUse &use)
    {
        holder.use = use;
        budget.update(holder.id, use, now);
    }
    /// One read from the endpoint of \p holder, unless it is paused.
    void receive(FakeHolder &holder, std::size_t bytes = ReadBytes)
    {
        if (!holder.cutOff && budget.resumeIfRoom(holder.id)) {
            set(holder, {holder.use.unread + bytes, holder.use.body, holder.use.other});
            budget.pauseIfFull(holder.id);
        }
        highest = std::max(highest, budget.total().unread);
        budget.act(now);
    }
    /// The caller of \p holder reads up to \p bytes.
    void take(FakeHolder &holder, std::size_t bytes)
    {
        const std::size_t taken = std::min(bytes, holder.use.unread);
        if (!holder.cutOff && taken > 0) {
            budget.onTaken(holder.id, taken, now);
            set(holder, {holder.use.unread - taken, holder.use.body, holder.use.other});
        }
    }
    std::size_t cutOffs() const
    {
        return std::count_if(holders.begin(), holders.end(),
                             [](const FakeHolder &holder) { return holder.cutOff.has_value(); });
    }

    BufferBudget budget;
    std::deque<FakeHolder> holders;
    Instant now{1h};
    std::size_t highest = 0;
};

struct LoadCase
{
    const char *name;
    std::size_t memory;
    std::size_t callersWhoDoNotRead;
    bool isAnyoneCutOff;
};

class SlowCallers : public testing::TestWithParam<LoadCase>
{};

const LoadCase LoadCases[] = {
        {"AFew", 120 * Megabyte, 20, false},
        {"ManyInASmallProcess", 120 * Megabyte, 200, false},
        {"AThousandInASmallProcess", 120 * Megabyte, 1000, false},
        {"MoreThanQueuesCanShrink", 120 * Megabyte, 2000, true},
        {"ManyInATinyProcess", 12 * Megabyte, 200, true},
        {"ManyInALargeProcess", 512 * Megabyte, 500, false},
};

TEST_P(SlowCallers, StayWithinTheirShare)
{
    const LoadCase &row = GetParam();
    Process process(row.memory);
    std::deque<FakeHolder *> slow;
    for (std::size_t i = 0; i < row.callersWhoDoNotRead; ++i) {
        slow.push_back(&process.add());
    }
    FakeHolder &reader = process.add();
    for (int round = 0; round < 40; ++round) {
        process.now += 100ms;
        for (FakeHolder *holder : slow) {
            process.receive(*holder);
        }
        process.receive(reader);
        EXPECT_TRUE(process.budget.resumeIfRoom(reader.id)) << "round " << round;
        process.take(reader, ReadBytes);
    }
    // One read may arrive before the decision that follows it.
    EXPECT_LE(process.highest, process.budget.cutOffLimit() + ReadBytes);
    EXPECT_LE(process.budget.total().unread, process.budget.cutOffLimit());
    EXPECT_EQ(process.cutOffs() > 0, row.isAnyoneCutOff) << process.cutOffs();
    EXPECT_FALSE(reader.cutOff);
    EXPECT_EQ(reader.use.unread, 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, SlowCallers, testing::ValuesIn(LoadCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct PauseCase
{
    const char *name;
    double share; ///< of the limit that others have unread
    std::size_t unread;
    bool isPaused;
};

class Pausing : public testing::TestWithParam<PauseCase>
{};

const PauseCase PauseCases[] = {
        {"NoPressure", 0.1, 128 * 1024, false},
        {"UsualLimitWithoutPressure", 0.1, 129 * 1024, true},
        {"LongQueueFirst", 0.18, 120 * 1024, true},
        {"ShorterQueueLater", 0.18, 80 * 1024, false},
        {"ShorterQueueWithLessRoom", 0.23, 80 * 1024, true},
        {"OneReadNever", 0.49, 8 * 1024, false},
};

TEST_P(Pausing, DependsOnTheQueueAndTheTotal)
{
    const PauseCase &row = GetParam();
    Process process(120 * Megabyte);
    FakeHolder &holder = process.add();
    FakeHolder &others = process.add();
    const auto total = static_cast<std::size_t>(row.share * 40 * Megabyte);
    process.set(holder, {row.unread, 0, 0});
    process.set(others, {total - row.unread, 0, 0});
    EXPECT_EQ(process.budget.pauseIfFull(holder.id), row.isPaused);
}

INSTANTIATE_TEST_SUITE_P(Rows, Pausing, testing::ValuesIn(PauseCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(BufferBudget, PausedStreamsGoOnAtHalfTheLength)
{
    Process process(120 * Megabyte);
    FakeHolder &holder = process.add();
    process.set(holder, {129 * 1024, 0, 0});
    EXPECT_TRUE(process.budget.pauseIfFull(holder.id));
    EXPECT_EQ(process.budget.paused(), 1);
    for (const std::size_t unread : {127, 65}) {
        process.set(holder, {unread * 1024, 0, 0});
        EXPECT_FALSE(process.budget.resumeIfRoom(holder.id)) << unread;
    }
    process.set(holder, {64 * 1024, 0, 0});
    EXPECT_TRUE(process.budget.resumeIfRoom(holder.id));
    EXPECT_EQ(process.budget.paused(), 0);
}

/// A stream that was paused for others' queues would otherwise stay paused until its own caller
/// reads, who may be waiting for the next event.
TEST(BufferBudget, PausedStreamsAreNotifiedWhenOthersHaveRead)
{
    Process process(120 * Megabyte);
    FakeHolder &holder = process.add();
    FakeHolder &others = process.add();
    process.set(holder, {40 * 1024, 0, 0});
    process.set(others, {20 * Megabyte - 40 * 1024, 0, 0});
    ASSERT_TRUE(process.budget.pauseIfFull(holder.id));
    EXPECT_FALSE(process.budget.needsAction());
    process.set(others, {Megabyte, 0, 0});
    ASSERT_TRUE(process.budget.needsAction());
    process.budget.act(process.now);
    EXPECT_EQ(holder.notified, 1);
    EXPECT_TRUE(process.budget.resumeIfRoom(holder.id));
    EXPECT_FALSE(process.budget.needsAction());
}

struct SlowCaller
{
    std::size_t unread;
    std::size_t taken;
    Interval behindFor;
    Interval lastTakenAgo;
};

struct CutOffCase
{
    const char *name;
    std::vector<SlowCaller> callers;
    std::size_t expected;
};

class CutOff : public testing::TestWithParam<CutOffCase>
{};

const CutOffCase CutOffCases[] = {
        {"WhoReadsNothing", {{100'000, 1000, 10s, 1s}, {100'000, 0, 10s, 10s}}, 1},
        {"WhoReadsMoreSlowly", {{100'000, 9000, 10s, 1s}, {100'000, 8000, 10s, 1s}}, 1},
        {"TheLongerQueueOfTwoWhoReadNothing", {{90'000, 0, 10s, 10s}, {100'000, 0, 10s, 10s}}, 1},
        {"WhoStoppedReading", {{100'000, 900'000, 10s, 1s}, {90'000, 9'000'000, 60s, 30s}}, 1},
        {"NotWhoHasJustBegun", {{100'000, 0, 500ms, 500ms}, {30'000, 9000, 10s, 1s}}, 1},
        {"NotAShortQueue", {{5'000, 0, 10s, 10s}, {30'000, 9000, 10s, 1s}}, 1},
        {"TheLongestOfThoseWhoHaveJustBegun", {{90'000, 0, 9ms, 9ms}, {99'000, 9, 8ms, 8ms}}, 1},
};

TEST_P(CutOff, ClosesTheSlowest)
{
    const CutOffCase &row = GetParam();
    Process process(3 * Megabyte);
    std::size_t sum = 0;
    for (const SlowCaller &caller : row.callers) {
        FakeHolder &holder = process.add();
        process.now = Instant(1h) - caller.behindFor;
        process.set(holder, {caller.unread, 0, 0});
        process.now = Instant(1h) - caller.lastTakenAgo;
        process.budget.onTaken(holder.id, caller.taken, process.now);
        sum += caller.unread;
    }
    process.now = Instant(1h);
    // Many callers with short queues exceed the share, each too fast to be cut off.
    while (sum <= process.budget.cutOffLimit()) {
        FakeHolder &holder = process.add();
        process.set(holder, {1000, 0, 0});
        sum += 1000;
    }
    ASSERT_TRUE(process.budget.needsAction());
    process.budget.act(process.now);
    EXPECT_EQ(process.cutOffs(), 1);
    ASSERT_TRUE(process.holders[row.expected].cutOff);
    const BufferCutOff &figures = *process.holders[row.expected].cutOff;
    EXPECT_EQ(figures.unread, row.callers[row.expected].unread);
    EXPECT_EQ(figures.unreadTotal, sum);
    EXPECT_EQ(figures.behindFor, row.callers[row.expected].behindFor);
    EXPECT_EQ(process.budget.total().unread, sum - figures.unread);
}

INSTANTIATE_TEST_SUITE_P(Rows, CutOff, testing::ValuesIn(CutOffCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct BodyCase
{
    const char *name;
    std::size_t bodyBytes;
    std::size_t count;
    bool allAtOnce; ///< none has to wait
};

class Bodies : public testing::TestWithParam<BodyCase>
{};

const BodyCase BodyCases[] = {
        {"Chats", 4'000, 200, true},
        {"Digests", 40'000, 60, true},
        {"LargestAllowed", 4 * Megabyte, 8, false},
        {"ManyOfAMegabyte", Megabyte, 60, false},
        {"MoreDigestsThanFit", 40'000, 400, false},
};

/// Bodies come in at the same time, piece by piece; each is kept for ten rounds after it has been
/// received. Guards against bodies that exceed the share, and against bodies that all wait for each
/// other.
TEST_P(Bodies, AreBoundedAndAllComplete)
{
    const BodyCase &row = GetParam();
    Process process(120 * Megabyte);
    std::vector<int> keptUntil(row.count, 0);
    std::vector<std::size_t> received(row.count, 0);
    std::size_t completed = 0;
    bool anyWaited = false;
    for (std::size_t i = 0; i < row.count; ++i) {
        process.add();
    }
    for (int round = 1; completed < row.count && round < 20'000; ++round) {
        for (std::size_t i = 0; i < row.count; ++i) {
            FakeHolder &holder = process.holders[i];
            if (keptUntil[i] > 0 && round >= keptUntil[i] && holder.use.body > 0) {
                process.set(holder, {});
                ++completed;
            } else if (keptUntil[i] == 0 && process.budget.admitBody(holder.id, row.bodyBytes)) {
                received[i] += std::min(ReadBytes, row.bodyBytes - received[i]);
                process.set(holder, {0, 2 * received[i], 0});
                if (received[i] == row.bodyBytes) {
                    process.budget.endBody(holder.id);
                    keptUntil[i] = round + 10;
                }
            }
            anyWaited = anyWaited || process.budget.waiting() > 0;
            process.highest = std::max(process.highest, process.budget.total().body);
        }
    }
    EXPECT_EQ(completed, row.count);
    EXPECT_NE(anyWaited, row.allAtOnce);
    EXPECT_LE(process.highest, 14 * Megabyte);
    EXPECT_EQ(process.budget.total(), BufferUse());
    EXPECT_EQ(process.budget.waiting(), 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, Bodies, testing::ValuesIn(BodyCases),
                         [](const auto &row) { return std::string(row.param.name); });

/// Slow callers must not keep others from sending requests, nor large requests cut callers off.
TEST(BufferBudget, SharesAreIndependent)
{
    Process process(120 * Megabyte);
    FakeHolder &slow = process.add();
    FakeHolder &sender = process.add();
    process.set(slow, {20 * Megabyte, 0, 0});
    process.set(process.add(), {0, Megabyte, 0});
    EXPECT_TRUE(process.budget.admitBody(sender.id, 40'000));
    process.set(slow, {0, 0, 0});
    process.set(sender, {100'000, 14 * Megabyte, 4 * Megabyte});
    EXPECT_FALSE(process.budget.pauseIfFull(sender.id));
    EXPECT_FALSE(process.budget.needsAction());
}

TEST(BufferBudget, WaitingBodiesAreNotifiedWhenOthersEnd)
{
    Process process(120 * Megabyte);
    FakeHolder &first = process.add();
    FakeHolder &second = process.add();
    process.set(first, {0, 13 * Megabyte, 0});
    process.set(second, {0, 16'000, 0});
    EXPECT_FALSE(process.budget.admitBody(second.id, Megabyte));
    EXPECT_TRUE(process.budget.isWaiting(second.id));
    EXPECT_FALSE(process.budget.needsAction());
    process.budget.remove(first.id);
    ASSERT_TRUE(process.budget.needsAction());
    process.budget.act(process.now);
    EXPECT_EQ(second.notified, 1);
    EXPECT_TRUE(process.budget.admitBody(second.id, Megabyte));
    EXPECT_EQ(process.budget.waiting(), 0);
}

/// Few callers who announce large bodies must not keep those with small ones waiting.
TEST(BufferBudget, SmallBodiesHaveRoomBesideLargeOnes)
{
    Process process(120 * Megabyte);
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
        admitted += process.budget.admitBody(process.add().id, 4 * Megabyte) ? 1 : 0;
    }
    EXPECT_EQ(admitted, 1);
    for (int i = 0; i < 50; ++i) {
        EXPECT_TRUE(process.budget.admitBody(process.add().id, 40'000)) << i;
    }
}

TEST(BufferBudget, OtherBuffersShrinkWithTheRoom)
{
    Process process(120 * Megabyte);
    FakeHolder &holder = process.add();
    EXPECT_EQ(process.budget.otherLimit(), 256 * 1024);
    process.set(holder, {0, 0, 39 * Megabyte / 10});
    EXPECT_EQ(process.budget.otherLimit(), Megabyte / 10);
    process.set(holder, {0, 0, 5 * Megabyte});
    EXPECT_EQ(process.budget.otherLimit(), 8 * 1024);
}

TEST(BufferBudget, IsZeroWhenAllHaveEnded)
{
    Process process(12 * Megabyte);
    for (std::size_t i = 0; i < 100; ++i) {
        FakeHolder &holder = process.add();
        process.set(holder, {i * 3000, i * 50'000, i * 20'000});
        process.budget.pauseIfFull(holder.id);
        process.budget.admitBody(holder.id, Megabyte);
    }
    process.budget.act(process.now);
    for (const FakeHolder &holder : process.holders) {
        process.budget.remove(holder.id);
    }
    EXPECT_EQ(process.budget.total(), BufferUse());
    EXPECT_EQ(process.budget.paused(), 0);
    EXPECT_EQ(process.budget.waiting(), 0);
    EXPECT_EQ(process.budget.queueLimit(), 128 * 1024);
}

} // namespace
