#include "sequoiagate/Keeper/AppendQueue.h"

#include <deque>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sequoiagate;

namespace {

const Incarnation Writer("writer");

AppendQueue makeQueue()
{
    return AppendQueue(Writer, HostId("h1"), Millis(200));
}

uint64_t sequenceOf(const std::string &data)
{
    wire::Record record;
    record.ParseFromString(data);
    return record.sequence();
}

/// What the log's readers make of it: the writer's mark only rises.
class FoldedOnce
{
public:
    void append(const std::vector<std::string> &batch)
    {
        for (const std::string &data : batch) {
            const uint64_t sequence = sequenceOf(data);
            if (sequence > mark_) {
                mark_ = sequence;
                accepted_.insert(sequence);
            }
        }
    }
    bool folded(uint64_t sequence) const { return sequence <= mark_; }
    const std::set<uint64_t> &accepted() const { return accepted_; }

private:
    uint64_t mark_ = 0;
    std::set<uint64_t> accepted_;
};

TEST(AppendQueue, SharesOneAppendUntilTheFirstIsDue)
{
    AppendQueue queue = makeQueue();
    const Instant start;
    queue.push(wire::Record(), start + Millis(100), WallTime());
    EXPECT_TRUE(queue.takeBatch(start).empty());
    queue.push(wire::Record(), start + Millis(50), WallTime());
    EXPECT_EQ(queue.nextDeadline(), start + Millis(50));
    EXPECT_EQ(queue.takeBatch(start + Millis(50)).size(), 2U);
    queue.push(wire::Record(), start, WallTime());
    EXPECT_TRUE(queue.takeBatch(start + Millis(60)).empty()) << "one batch in flight at a time";
}

/// The caller's bill is on the log once. The log takes a batch and its answer is lost,
/// or the batch is held up in the network and lands late; the queue sends its records
/// again. Without the resend a lost batch would lose bills; with the order of sequences
/// kept, the fold drops each second copy and no first one.
RC_GTEST_PROP(AppendQueue, EveryRecordIsFoldedOnceWhateverIsLost, ())
{
    AppendQueue queue = makeQueue();
    FoldedOnce fold;
    std::deque<std::vector<std::string>> late;
    Instant now;
    uint64_t pushed = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 6));
    for (const int step : steps) {
        now += Millis(100);
        if (step == 0) {
            pushed = queue.push(wire::Record(), now, WallTime());
            continue;
        }
        if (step == 5 && !late.empty()) {
            fold.append(late.front());
            late.pop_front();
        }
        const std::vector<std::string> batch = queue.takeBatch(now);
        if (!batch.empty()) {
            const bool lands = step <= 2;
            if (lands) {
                fold.append(batch);
            } else if (step == 3) {
                late.push_back(batch);
            }
            if (step == 1) {
                queue.onAcknowledged();
            } else {
                queue.onFailed(now);
            }
        }
        queue.dropFolded([&](uint64_t sequence) { return fold.folded(sequence); });
    }
    constexpr int RoundsToSettle = 20;
    for (int round = 0; round < RoundsToSettle; ++round) {
        now += Millis(300);
        const std::vector<std::string> batch = queue.takeBatch(now);
        if (batch.empty()) {
            break;
        }
        fold.append(batch);
        queue.onAcknowledged();
        queue.dropFolded([&](uint64_t sequence) { return fold.folded(sequence); });
    }
    RC_ASSERT(queue.empty());
    RC_ASSERT(fold.accepted().size() == pushed);
}

TEST(AppendQueue, AWithdrawnRecordIsNotSentAgain)
{
    AppendQueue queue = makeQueue();
    const Instant now;
    const uint64_t first = queue.push(wire::Record(), now, WallTime());
    const uint64_t second = queue.push(wire::Record(), now, WallTime());
    EXPECT_TRUE(queue.withdraw(first)) << "it never left";
    EXPECT_EQ(queue.takeBatch(now).size(), 1U);
    EXPECT_FALSE(queue.withdraw(second)) << "it is under way";
    queue.onFailed(now);
    EXPECT_EQ(queue.nextDeadline(), Never);
}

} // namespace
