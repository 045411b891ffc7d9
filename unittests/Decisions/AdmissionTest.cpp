#include "sequoiagate/Decisions/Admission.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);

WorkItem itemOf(const std::string &workspace, int number,
                WorkClass workClass = WorkClass::Interactive)
{
    WorkItem item;
    item.request = RequestId(workspace + "-" + std::to_string(number));
    item.workspace = WorkspaceId(workspace);
    item.workClass = workClass;
    item.promptTokens = 100;
    item.outputCeiling = 300;
    return item;
}

AdmissionSettings smallRouterSettings()
{
    AdmissionSettings settings;
    settings.slots = 4;
    settings.queueLimit = 8;
    settings.interactiveWait = Millis(300);
    return settings;
}

/// Admitted and refused requests of one workspace.
struct Tally
{
    int admitted = 0;
    std::map<Reason, int> refused;
};

/// Simulates an Admission whose requests all take the same time.
class AdmissionSimulation
{
public:
    AdmissionSimulation(AdmissionSettings settings, Interval service)
        : admission(settings), service_(service)
    {}

    void offer(const WorkItem &item, Instant now)
    {
        const AdmissionOutcome outcome = admission.offer(item, now);
        items_[item.request] = item;
        if (std::holds_alternative<Admitted>(outcome)) {
            admit(item.request, now);
        } else if (const auto *verdict = std::get_if<Verdict>(&outcome)) {
            refuse(item.request, *verdict);
        }
        poll(now);
    }

    /// Finishes the requests that end by \p now, in order.
    void runUntil(Instant now)
    {
        while (!ends_.empty() && ends_.begin()->first <= now) {
            const auto [at, request] = *ends_.begin();
            ends_.erase(ends_.begin());
            admission.finished(request, 400, at);
            poll(at);
        }
        poll(now);
    }

    Tally &tallyOf(const std::string &workspace) { return tallies_[WorkspaceId(workspace)]; }
    const std::vector<Verdict> &verdicts() const { return verdicts_; }

    Admission admission;

private:
    void admit(const RequestId &request, Instant now)
    {
        ++tallies_[items_[request].workspace].admitted;
        ends_.emplace(now + service_, request);
    }

    void refuse(const RequestId &request, const Verdict &verdict)
    {
        ++tallies_[items_[request].workspace].refused[verdict.reason];
        verdicts_.push_back(verdict);
    }

    void poll(Instant now)
    {
        for (const QueueRelease &release : admission.poll(now)) {
            if (release.admitted) {
                admit(release.request, now);
            } else {
                refuse(release.request, release.verdict);
            }
        }
    }

    Interval service_;
    std::unordered_map<RequestId, WorkItem> items_;
    std::multimap<Instant, RequestId> ends_;
    std::unordered_map<WorkspaceId, Tally> tallies_;
    std::vector<Verdict> verdicts_;
};

struct ShareCase
{
    const char *name;
    int largePerSmall;            ///< requests of the large workspace for each of the small one
    double largeWeight;           ///< the small workspace's is 1
    double minSmallServedShare;   ///< of the small workspace's requests
    double minLargeShareOfServed; ///< of all requests served
};

class FairShares : public testing::TestWithParam<ShareCase>
{};

// A large workspace sends ten times the requests of a small one, at 1.5 times the capacity
// in total. In order of arrival both would see the same share of refusals, although the
// small workspace requests less than its fair share.
constexpr ShareCase ShareCases[] = {
        {"TenTimesLarger", 10, 1.0, 0.95, 0.75},
        {"ThirtyTimesLarger", 30, 1.0, 0.95, 0.85},
        {"HigherWeight", 10, 4.0, 0.95, 0.75},
};

TEST_P(FairShares, ServesSmallWorkspaceDespiteLargeOne)
{
    const ShareCase &row = GetParam();
    // 4 slots of 100 ms serve 40 requests a second; 60 arrive.
    AdmissionSimulation simulation(smallRouterSettings(), Millis(100));
    constexpr int Arrivals = 60 * 30;
    int small = 0;
    for (int i = 0; i < Arrivals; ++i) {
        const Instant now = Start + i * std::chrono::microseconds(16667);
        simulation.runUntil(now);
        const bool fromSmall = i % (row.largePerSmall + 1) == 0;
        small += fromSmall ? 1 : 0;
        WorkItem item = itemOf(fromSmall ? "small" : "large", i);
        item.weight = fromSmall ? 1.0 : row.largeWeight;
        simulation.offer(item, now);
    }
    const double smallServed = simulation.tallyOf("small").admitted;
    const double largeServed = simulation.tallyOf("large").admitted;
    EXPECT_GE(smallServed, row.minSmallServedShare * small);
    EXPECT_GE(largeServed / (smallServed + largeServed), row.minLargeShareOfServed);
    EXPECT_GE(smallServed + largeServed, 0.95 * 40 * 30) << "slots were idle";
}

INSTANTIATE_TEST_SUITE_P(Loads, FairShares, testing::ValuesIn(ShareCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct ClassCase
{
    const char *name;
    int interactivePerSecond;
    int batchPerSecond;
    int minInteractive; ///< served in 30 s
    int minBatch;
};

class WorkClasses : public testing::TestWithParam<ClassCase>
{};

// Interactive requests compete with batch requests. In order of arrival, interactive ones
// would wait behind the batch; with strict priority, a flood of interactive requests would
// stop all batch work. 40 requests a second can be served.
constexpr ClassCase ClassCases[] = {
        {"InteractiveDuringBatchFlood", 20, 100, 590, 300},
        {"BatchDuringInteractiveFlood", 100, 20, 800, 150},
        {"BothFlood", 100, 100, 800, 150},
};

TEST_P(WorkClasses, GetTheirSharesUnderFlood)
{
    const ClassCase &row = GetParam();
    AdmissionSimulation simulation(smallRouterSettings(), Millis(100));
    for (int ms = 0; ms < 30000; ++ms) {
        const Instant now = Start + Millis(ms);
        simulation.runUntil(now);
        if (ms % (1000 / row.interactivePerSecond) == 0) {
            simulation.offer(itemOf("chat", ms), now);
        }
        if (ms % (1000 / row.batchPerSecond) == 0) {
            simulation.offer(itemOf("assess", ms, WorkClass::Batch), now);
        }
    }
    EXPECT_GE(simulation.tallyOf("chat").admitted, row.minInteractive);
    EXPECT_GE(simulation.tallyOf("assess").admitted, row.minBatch);
}

INSTANTIATE_TEST_SUITE_P(Loads, WorkClasses, testing::ValuesIn(ClassCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Admission, ReservesSlotsForInteractiveRequests)
{
    // Batch requests take all slots while there are no interactive ones. Without a reserve
    // the next interactive request waits for one of them to end, which takes minutes.
    AdmissionSettings settings = smallRouterSettings();
    settings.slots = 20;
    Admission admission(settings);
    for (int i = 0; i < 40; ++i) {
        admission.offer(itemOf("assess", i, WorkClass::Batch), Start);
    }
    EXPECT_EQ(admission.inFlight(), 18U);
    const AdmissionOutcome outcome = admission.offer(itemOf("chat", 0), Start);
    EXPECT_TRUE(std::holds_alternative<Admitted>(outcome));
}

TEST(Admission, RefusesImmediatelyWhatCannotBeServedInTime)
{
    // A burst arrives at a router that serves 40 requests a second: after the first dozen, a
    // request can't start within 300 ms. It is refused at once, not after the 300 ms.
    AdmissionSettings settings = smallRouterSettings();
    settings.queueLimit = 1000;
    AdmissionSimulation simulation(settings, Millis(100));
    for (int i = 0; i < 40; ++i) {
        simulation.runUntil(Start + i * Millis(25));
        simulation.offer(itemOf("steady", i), Start + i * Millis(25));
    }
    const Instant burst = Start + Millis(1000);
    simulation.runUntil(burst);
    for (int i = 0; i < 200; ++i) {
        simulation.offer(itemOf("burst", i), burst);
    }
    EXPECT_LE(simulation.admission.waiting(), 20U);
    EXPECT_GE(simulation.tallyOf("burst").refused[Reason::QueueFull]
                      + simulation.tallyOf("burst").refused[Reason::RateShare],
              180);
    simulation.runUntil(burst + Seconds(2));
    const int late = simulation.tallyOf("burst").refused[Reason::QueueTimeout];
    EXPECT_LE(late, 5) << "waited and then timed out";
    EXPECT_EQ(simulation.admission.waiting(), 0U);
}

TEST(Admission, SpreadsRetryTimes)
{
    // A thousand callers are refused in one second by a router that serves 40 a second. With
    // one retry time they would be the next burst; serving them takes 25 s, so their retries
    // are spread over that time.
    AdmissionSimulation simulation(smallRouterSettings(), Millis(100));
    for (int i = 0; i < 100; ++i) {
        simulation.runUntil(Start + i * Millis(25));
        simulation.offer(itemOf("steady", i), Start + i * Millis(25));
    }
    const Instant burst = Start + Millis(2500);
    for (int i = 0; i < 1000; ++i) {
        simulation.offer(itemOf("burst", i), burst + i * Millis(1));
    }
    std::map<int64_t, int> perSecond;
    for (const Verdict &verdict : simulation.verdicts()) {
        ASSERT_TRUE(verdict.retryAt.has_value());
        EXPECT_GT(*verdict.retryAt, burst);
        EXPECT_EQ(verdict.execution, Execution::NotRun);
        ++perSecond[std::chrono::duration_cast<Seconds>(*verdict.retryAt - burst).count()];
    }
    ASSERT_GE(simulation.verdicts().size(), 900U);
    int most = 0;
    for (const auto &[second, count] : perSecond) {
        most = std::max(most, count);
    }
    EXPECT_LE(most, 200) << "too many callers retry in the same second";
    EXPECT_GE(perSecond.size(), 15U);
}

TEST(Admission, EvictsRequestFurthestBeyondItsShare)
{
    // A large workspace has filled the queue when a request of a small one arrives. Refusing
    // the new request would let the workspace with the highest rate hold the whole queue.
    AdmissionSettings settings = smallRouterSettings();
    Admission admission(settings);
    for (int i = 0; i < 12; ++i) {
        admission.offer(itemOf("large", i), Start);
    }
    ASSERT_EQ(admission.waiting(), settings.queueLimit);
    const AdmissionOutcome outcome = admission.offer(itemOf("small", 0), Start);
    ASSERT_TRUE(std::holds_alternative<Queued>(outcome));
    EXPECT_LE(admission.nextDeadline(), Start) << "the evicted request is refused at once";
    const std::vector<QueueRelease> released = admission.poll(Start);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].request, RequestId("large-11"));
    EXPECT_EQ(released[0].verdict.reason, Reason::RateShare);
    // The large workspace's first waiting request has the same start tag and arrived earlier:
    // it alone is served before the small one's.
    admission.finished(RequestId("large-0"), 400, Start + Millis(100));
    admission.finished(RequestId("large-1"), 400, Start + Millis(100));
    const std::vector<QueueRelease> next = admission.poll(Start + Millis(100));
    ASSERT_EQ(next.size(), 2U);
    EXPECT_EQ(next[0].request, RequestId("large-4"));
    EXPECT_EQ(next[1].request, RequestId("small-0"));
}

TEST(Admission, DropsAtDeadlineAndNeverAdmitsAfterwards)
{
    // A request's own deadline passes while it waits, and a slot becomes free at the same
    // moment. It is refused with a timeout and doesn't run.
    Admission admission(smallRouterSettings());
    for (int i = 0; i < 4; ++i) {
        admission.offer(itemOf("a", i), Start);
    }
    WorkItem item = itemOf("b", 0);
    item.deadline = Start + Millis(50);
    const AdmissionOutcome outcome = admission.offer(item, Start);
    ASSERT_TRUE(std::holds_alternative<Queued>(outcome));
    EXPECT_EQ(std::get<Queued>(outcome).deadline, item.deadline);
    EXPECT_EQ(admission.nextDeadline(), item.deadline);
    admission.finished(RequestId("a-0"), 400, item.deadline);
    const std::vector<QueueRelease> released = admission.poll(item.deadline);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_FALSE(released[0].admitted);
    EXPECT_EQ(released[0].verdict.reason, Reason::QueueTimeout);
    EXPECT_EQ(admission.nextDeadline(), Never);
}

TEST(Admission, RemovesWaitingRequestOfCallerThatHungUp)
{
    // A caller disconnects while its request waits. The next slot goes to the request after it.
    Admission admission(smallRouterSettings());
    for (int i = 0; i < 6; ++i) {
        admission.offer(itemOf("a", i), Start);
    }
    admission.cancelled(RequestId("a-4"), Start);
    EXPECT_EQ(admission.waiting(), 1U);
    admission.finished(RequestId("a-0"), 400, Start);
    const std::vector<QueueRelease> released = admission.poll(Start);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].request, RequestId("a-5"));
}

} // namespace
