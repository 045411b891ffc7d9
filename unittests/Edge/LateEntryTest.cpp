/// Entries of an endpoint whose writes the store carries out late.

#include <set>

#include <gtest/gtest.h>

#include "sequoiagate/Edge/EndpointDirectory.h"

using namespace sequoiagate;

namespace {

/// What a host reads, or what happens to its connection to the store.
enum class Read {
    Nothing,
    Entry,
    DrainingEntry,
    Removal,
    Snapshot, ///< with the endpoint's entry
    SnapshotWithout,
    StoreLost,
    StoreBack,
};

struct Step
{
    int afterMs; ///< after the step before
    Read read;
    uint64_t startedAt;
    uint64_t sequence;
    bool isUsed;          ///< after it, beside another endpoint
    uint64_t listedStart; ///< of the process that is listed; 0: none is
};

struct LateEntryCase
{
    const char *name;
    std::vector<Step> steps;
};

using enum Read;

const LateEntryCase LateEntryCases[] = {
        {"AfterTheRemoval",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Removal, 0, 0, false, 0},
          {2300, Entry, 5, 4, false, 0}}},
        {"LastOneReadAgainAfterTheRemoval",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Removal, 0, 0, false, 0},
          {2300, Entry, 5, 6, false, 0}}},
        {"TwoAfterTheRemoval",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Removal, 0, 0, false, 0},
          {2300, Entry, 5, 4, false, 0},
          {300, Entry, 5, 5, false, 0}}},
        {"AfterADrainingReportAndTheRemoval",
         {{0, Snapshot, 5, 6, true, 5},
          {100, DrainingEntry, 5, 7, false, 5},
          {100, Removal, 0, 0, false, 0},
          {2300, Entry, 5, 6, false, 0}}},
        {"OfAReplacedProcessThatWasRemoved",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Removal, 0, 0, false, 0},
          {100, Entry, 9, 1, true, 9},
          {1000, Entry, 5, 7, true, 9},
          {1200, Entry, 9, 2, true, 9},
          {9000, Nothing, 0, 0, true, 9}}},
        {"OfAReplacedProcessThatWasNotRemoved",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Entry, 9, 1, true, 9},
          {1000, Entry, 5, 7, true, 9},
          {300, Entry, 5, 8, true, 9},
          {1200, Entry, 9, 2, true, 9},
          {9000, Nothing, 0, 0, true, 9}}},
        {"OfAReplacedProcessAfterBothWereRemoved",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Entry, 9, 1, true, 9},
          {100, Removal, 0, 0, false, 0},
          {1000, Entry, 5, 7, false, 0}}},
        {"OfAReplacedProcessBeforeItsRemoval",
         {{0, Snapshot, 9, 1, true, 9},
          {1000, Entry, 5, 7, true, 9},
          {1000, Removal, 0, 0, false, 0},
          {9000, Nothing, 0, 0, false, 0}}},
        {"OfAReplacedProcessBeforeAnOutage",
         {{0, Snapshot, 9, 1, true, 9},
          {1000, Entry, 5, 7, true, 9},
          {100, StoreLost, 0, 0, true, 9},
          {9000, StoreBack, 0, 0, true, 9},
          {1500, Entry, 9, 8, true, 9},
          {9000, Nothing, 0, 0, true, 9}}},
        {"AtAHostThatStartedAfterTheRemoval",
         {{0, SnapshotWithout, 0, 0, false, 0},
          {1000, Entry, 5, 7, false, 5},
          {5000, Nothing, 0, 0, false, 5}}},
        {"TwoAtAHostThatStartedAfterTheRemoval",
         {{0, SnapshotWithout, 0, 0, false, 0},
          {1000, Entry, 5, 7, false, 5},
          {1500, Entry, 5, 8, false, 5},
          {5000, Nothing, 0, 0, false, 5}}},
        {"InASnapshotAfterTheRemoval",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Removal, 0, 0, false, 0},
          {2300, Snapshot, 5, 4, false, 0}}},
        {"InASnapshotThatHidesTheRemoval",
         {{0, Snapshot, 5, 6, true, 5},
          {1000, Entry, 5, 7, true, 5},
          {1000, Snapshot, 5, 4, false, 5},
          {5000, Nothing, 0, 0, false, 5}}},
        {"OfAnEarlierProcessInASnapshotThatHidesTheRemoval",
         {{0, Snapshot, 9, 6, true, 9},
          {1000, Snapshot, 5, 8, false, 9},
          {5000, Nothing, 0, 0, false, 9}}},
        {"AfterTheNumbersWereForgotten",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Removal, 0, 0, false, 0},
          {600'000, Nothing, 0, 0, false, 0},
          {100, Entry, 5, 4, false, 5}}},
};

const LateEntryCase ReturnCases[] = {
        {"WithALaterNumber",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Removal, 0, 0, false, 0},
          {2000, Entry, 5, 7, true, 5},
          {9000, Nothing, 0, 0, true, 5}}},
        {"AsANewProcess",
         {{0, Snapshot, 5, 6, true, 5},
          {100, Removal, 0, 0, false, 0},
          {250, Entry, 9, 1, true, 9},
          {9000, Nothing, 0, 0, true, 9}}},
        {"AsANewProcessWithoutARemoval",
         {{0, Snapshot, 5, 6, true, 5}, {250, Entry, 9, 1, true, 9}}},
        {"AsANewEndpoint",
         {{0, SnapshotWithout, 0, 0, false, 0},
          {250, Entry, 9, 1, true, 9},
          {9000, Nothing, 0, 0, true, 9}}},
        {"AtAHostThatStartedMeanwhile",
         {{0, SnapshotWithout, 0, 0, false, 0},
          {1000, Entry, 5, 9, false, 5},
          {1200, Entry, 5, 10, false, 5},
          {1200, Entry, 5, 11, false, 5},
          {1200, Entry, 5, 12, true, 5}}},
        {"AtAHostThatStartedMeanwhileWithOneEntry",
         {{0, SnapshotWithout, 0, 0, false, 0},
          {1000, Entry, 5, 9, false, 5},
          {30'000, Nothing, 0, 0, true, 5}}},
        {"AfterAnOutage",
         {{0, Snapshot, 5, 6, true, 5},
          {1000, StoreLost, 0, 0, true, 5},
          {9000, StoreBack, 0, 0, true, 5},
          {100, SnapshotWithout, 0, 0, true, 5},
          {1700, Entry, 5, 15, true, 5},
          {9000, Nothing, 0, 0, true, 5}}},
        {"AtAHostThatStartedInAnOutage",
         {{0, StoreLost, 0, 0, false, 0},
          {9000, StoreBack, 0, 0, false, 0},
          {100, SnapshotWithout, 0, 0, false, 0},
          {1700, Entry, 5, 15, true, 5},
          {9000, Nothing, 0, 0, true, 5}}},
        {"AfterAnOlderEntryInASnapshot",
         {{0, Snapshot, 5, 6, true, 5},
          {1000, Snapshot, 5, 4, false, 5},
          {1200, Entry, 5, 7, false, 5},
          {1200, Entry, 5, 8, false, 5},
          {1200, Entry, 5, 9, true, 5}}},
        {"WithTheClockSetBack",
         {{0, Snapshot, 9, 6, true, 9},
          {100, Removal, 0, 0, false, 0},
          {1000, Entry, 5, 1, false, 0},
          {8000, Nothing, 0, 0, true, 5},
          {1000, Entry, 9, 7, true, 5},
          {1000, Entry, 5, 8, true, 5},
          {9000, Nothing, 0, 0, true, 5}}},
        {"WithTheClockSetBackWithoutARemoval",
         {{0, Snapshot, 9, 6, true, 9},
          {1000, Entry, 5, 1, true, 9},
          {1200, Entry, 5, 2, true, 9},
          {6800, Nothing, 0, 0, true, 5}}},
        {"AsANewProcessWithTheClockSetRight",
         {{0, Snapshot, 9, 6, true, 9},
          {1000, Entry, 5, 1, true, 9},
          {8000, Nothing, 0, 0, true, 5},
          {1000, Entry, 12, 1, true, 12}}},
};

class LateEntryTest : public testing::Test
{
protected:
    LateEntryTest()
        : file_(std::tmpfile()),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("i")}, file_),
          directory_(HostId("h"), DomainId("d"), {}, log_)
    {}
    ~LateEntryTest() override { std::fclose(file_); }

    EndpointEntry entryOf(const char *id, uint64_t startedAt, uint64_t sequence) const
    {
        EndpointEntry entry;
        entry.id = EndpointId(id);
        entry.service = ServiceId("s");
        entry.domain = DomainId("d");
        entry.address = "127.0.0.1:9";
        entry.slots = 4;
        entry.startedAtMillis = startedAt;
        entry.sequence = sequence;
        return entry;
    }

    /// Without a start, the other endpoint's entries are never late.
    void readOther() { directory_.update(entryOf("other", 0, 0), now_); }

    void read(const Step &step)
    {
        EndpointEntry entry = entryOf("e", step.startedAt, step.sequence);
        entry.draining = step.read == Read::DrainingEntry;
        switch (step.read) {
        case Read::Nothing:
            break;
        case Read::Entry:
        case Read::DrainingEntry:
            directory_.update(entry, now_, EntrySource::Tail);
            break;
        case Read::Removal:
            directory_.remove(entry.id, RemovalReason::Removed, now_);
            break;
        case Read::Snapshot:
            directory_.update(entry, now_, EntrySource::Snapshot);
            directory_.keepOnly({EndpointId("other"), entry.id}, now_);
            break;
        case Read::SnapshotWithout:
            directory_.keepOnly({EndpointId("other")}, now_);
            break;
        case Read::StoreLost:
        case Read::StoreBack:
            isReachable_ = step.read == Read::StoreBack;
            directory_.setStoreReachable(isReachable_, now_);
            break;
        }
        if (isReachable_) {
            directory_.onListRead(now_);
        }
        directory_.tick(now_);
        directory_.publish(now_);
    }

    bool isUsed()
    {
        std::set<std::string> used;
        for (int i = 0; i < 20; ++i) {
            WorkItem item;
            item.request = RequestId("r" + std::to_string(++requests_));
            item.service = ServiceId("s");
            item.arrivedAt = now_;
            item.deadline = now_ + std::chrono::seconds(1);
            const PlacementResult placed = directory_.place(item, {}, {}, now_);
            const EndpointId &endpoint = std::get<PlacementTarget>(placed).endpoint;
            directory_.onSent(endpoint, item, now_);
            sent_.push_back({endpoint, item.request, true, {}, 0});
            used.insert(endpoint.text());
        }
        for (const AttemptResult &result : sent_) {
            directory_.onAttemptEnd(result, now_);
        }
        sent_.clear();
        return used.count("e") > 0;
    }

    Instant now_{std::chrono::hours(1)};
    std::FILE *file_;
    EventLog log_;
    EndpointDirectory directory_;
    bool isReachable_ = true;
    int requests_ = 0;
    std::vector<AttemptResult> sent_;
};

class LateEntry : public LateEntryTest, public testing::WithParamInterface<LateEntryCase>
{};

// Guards against sending to an endpoint that has left, or that another process has replaced, and
// against leaving one unused that has come back.
TEST_P(LateEntry, IsToldFromAReturn)
{
    if (GetParam().steps.front().read != Read::StoreLost) {
        directory_.setStoreReachable(true, now_ - std::chrono::minutes(1));
    }
    readOther();
    for (std::size_t i = 0; i < GetParam().steps.size(); ++i) {
        const Step &step = GetParam().steps[i];
        now_ += std::chrono::milliseconds(step.afterMs);
        read(step);
        EXPECT_EQ(isUsed(), step.isUsed) << "step " << i;
        EXPECT_EQ(directory_.startedAtMillis(EndpointId("e")), step.listedStart) << "step " << i;
    }
}

INSTANTIATE_TEST_SUITE_P(Late, LateEntry, testing::ValuesIn(LateEntryCases),
                         [](const auto &row) { return row.param.name; });
INSTANTIATE_TEST_SUITE_P(Returns, LateEntry, testing::ValuesIn(ReturnCases),
                         [](const auto &row) { return row.param.name; });

// Guards against a host that uses few endpoints since it started when the entries of the others had
// expired in an outage.
TEST_F(LateEntryTest, OfMostEndpointsMakesNoSuspects)
{
    directory_.setStoreReachable(true, now_ - std::chrono::minutes(1));
    readOther();
    directory_.update(entryOf("e", 5, 9), now_, EntrySource::Tail);
    directory_.publish(now_);
    EXPECT_FALSE(isUsed());
    directory_.update(entryOf("another", 5, 9), now_, EntrySource::Tail);
    directory_.publish(now_);
    EXPECT_TRUE(isUsed());
}

} // namespace
