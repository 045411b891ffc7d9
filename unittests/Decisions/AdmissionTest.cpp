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

AdmissionSettings smallSettings()
{
    AdmissionSettings settings;
    settings.slots = 4;
    settings.queueLimit = 8;
    settings.interactiveWait = Millis(300);
    return settings;
}

/// What became of requests, counted by workspace.
struct Tally
{
    int admitted = 0;
    std::map<Reason, int> refused;
};

/// Plays arrivals against an admission whose requests each take the same time.
class Player
{
public:
    Player(AdmissionSettings settings, Interval service) : admission(settings), service_(service) {}

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

    /// Ends what is due until \p now, one after another.
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

    Tally &of(const std::string &workspace) { return tallies_[WorkspaceId(workspace)]; }
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
    int largePerSmall;     ///< requests of the large workspace for one of the small
    double largeWeight;    ///< the small one's is 1
    double leastSmallPart; ///< of the small workspace's requests that must be served
    double leastLargePart; ///< of all served that must be the large one's
};

class FairShares : public testing::TestWithParam<ShareCase>
{};

// A small workspace's caller asks now and then while a large workspace asks ten
// times as often, at 1.5 times what can be served. In order of arrival both see
// the same share of refusals, though the small one asks for less than its part.
constexpr ShareCase ShareCases[] = {
        {"FewLargeManySmall", 10, 1.0, 0.95, 0.75},
        {"EvenLarger", 30, 1.0, 0.95, 0.85},
        {"WeightGivesMore", 10, 4.0, 0.95, 0.75},
};

TEST_P(FairShares, SmallWorkspaceIsServedBesideALargeOne)
{
    const ShareCase &row = GetParam();
    // 4 slots of 100 ms serve 40 requests a second; 60 arrive.
    Player player(smallSettings(), Millis(100));
    constexpr int Arrivals = 60 * 30;
    int small = 0;
    for (int i = 0; i < Arrivals; ++i) {
        const Instant now = Start + i * std::chrono::microseconds(16667);
        player.runUntil(now);
        const bool fromSmall = i % (row.largePerSmall + 1) == 0;
        small += fromSmall ? 1 : 0;
        WorkItem item = itemOf(fromSmall ? "small" : "large", i);
        item.weight = fromSmall ? 1.0 : row.largeWeight;
        player.offer(item, now);
    }
    const double smallServed = player.of("small").admitted;
    const double largeServed = player.of("large").admitted;
    EXPECT_GE(smallServed, row.leastSmallPart * small);
    EXPECT_GE(largeServed / (smallServed + largeServed), row.leastLargePart);
    EXPECT_GE(smallServed + largeServed, 0.95 * 40 * 30) << "slots stood empty";
}

INSTANTIATE_TEST_SUITE_P(Loads, FairShares, testing::ValuesIn(ShareCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct ClassCase
{
    const char *name;
    int interactivePerSecond;
    int batchPerSecond;
    int leastInteractive; ///< served in 30 s
    int leastBatch;
};

class WorkClasses : public testing::TestWithParam<ClassCase>
{};

// An owner chats while Assessments wait in the background. Served in order of
// arrival, the Chat Turn stands behind them; served strictly first, a flood of Chat
// Turns stops all Assessments. 40 requests a second can be served.
constexpr ClassCase ClassCases[] = {
        {"ChatBesideABatchFlood", 20, 100, 590, 300},
        {"BatchBesideAChatFlood", 100, 20, 800, 150},
        {"BothFlood", 100, 100, 800, 150},
};

TEST_P(WorkClasses, NeitherStarvesTheOther)
{
    const ClassCase &row = GetParam();
    Player player(smallSettings(), Millis(100));
    for (int ms = 0; ms < 30000; ++ms) {
        const Instant now = Start + Millis(ms);
        player.runUntil(now);
        if (ms % (1000 / row.interactivePerSecond) == 0) {
            player.offer(itemOf("chat", ms), now);
        }
        if (ms % (1000 / row.batchPerSecond) == 0) {
            player.offer(itemOf("assess", ms, WorkClass::Batch), now);
        }
    }
    EXPECT_GE(player.of("chat").admitted, row.leastInteractive);
    EXPECT_GE(player.of("assess").admitted, row.leastBatch);
}

INSTANTIATE_TEST_SUITE_P(Loads, WorkClasses, testing::ValuesIn(ClassCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Admission, LeavesASlotForACallerWhileAssessmentsRun)
{
    // Assessments take all slots while nobody chats. Without a reserve the next Chat
    // Turn's caller waits for the end of one, which takes minutes.
    AdmissionSettings settings = smallSettings();
    settings.slots = 20;
    Admission admission(settings);
    for (int i = 0; i < 40; ++i) {
        admission.offer(itemOf("assess", i, WorkClass::Batch), Start);
    }
    EXPECT_EQ(admission.inFlight(), 18U);
    const AdmissionOutcome outcome = admission.offer(itemOf("chat", 0), Start);
    EXPECT_TRUE(std::holds_alternative<Admitted>(outcome));
}

TEST(Admission, AnswersAtOnceWhatCannotBeServedInTime)
{
    // A burst meets a router that serves 40 a second: after the first dozen a request
    // can't start within 300 ms. Its caller is told at once, not when the 300 ms end.
    AdmissionSettings settings = smallSettings();
    settings.queueLimit = 1000;
    Player player(settings, Millis(100));
    for (int i = 0; i < 40; ++i) {
        player.runUntil(Start + i * Millis(25));
        player.offer(itemOf("steady", i), Start + i * Millis(25));
    }
    const Instant burst = Start + Millis(1000);
    player.runUntil(burst);
    for (int i = 0; i < 200; ++i) {
        player.offer(itemOf("burst", i), burst);
    }
    EXPECT_LE(player.admission.waiting(), 20U);
    EXPECT_GE(player.of("burst").refused[Reason::QueueFull]
                      + player.of("burst").refused[Reason::RateShare],
              180);
    player.runUntil(burst + Seconds(2));
    const int late = player.of("burst").refused[Reason::QueueTimeout];
    EXPECT_LE(late, 5) << "waited in vain";
    EXPECT_EQ(player.admission.waiting(), 0U);
}

TEST(Admission, SpreadsTheTimesToComeBack)
{
    // A thousand callers are refused in one second at 40 a second. Told the same time
    // they would be the next burst; serving them takes 25 s, so they come over that.
    Player player(smallSettings(), Millis(100));
    for (int i = 0; i < 100; ++i) {
        player.runUntil(Start + i * Millis(25));
        player.offer(itemOf("steady", i), Start + i * Millis(25));
    }
    const Instant burst = Start + Millis(2500);
    for (int i = 0; i < 1000; ++i) {
        player.offer(itemOf("burst", i), burst + i * Millis(1));
    }
    std::map<int64_t, int> perSecond;
    for (const Verdict &verdict : player.verdicts()) {
        ASSERT_TRUE(verdict.retryAt.has_value());
        EXPECT_GT(*verdict.retryAt, burst);
        EXPECT_EQ(verdict.execution, Execution::NotRun);
        ++perSecond[std::chrono::duration_cast<Seconds>(*verdict.retryAt - burst).count()];
    }
    ASSERT_GE(player.verdicts().size(), 900U);
    int most = 0;
    for (const auto &[second, count] : perSecond) {
        most = std::max(most, count);
    }
    EXPECT_LE(most, 200) << "callers come back together";
    EXPECT_GE(perSecond.size(), 15U);
}

TEST(Admission, DisplacesWhatIsFurthestBeyondItsShare)
{
    // A large workspace has filled the queue when a small one's caller comes. Turning
    // the newcomer away would let whoever asks fastest hold the whole queue.
    AdmissionSettings settings = smallSettings();
    Admission admission(settings);
    for (int i = 0; i < 12; ++i) {
        admission.offer(itemOf("large", i), Start);
    }
    ASSERT_EQ(admission.waiting(), settings.queueLimit);
    const AdmissionOutcome outcome = admission.offer(itemOf("small", 0), Start);
    ASSERT_TRUE(std::holds_alternative<Queued>(outcome));
    EXPECT_LE(admission.nextDeadline(), Start) << "the displaced caller is answered at once";
    const std::vector<QueueRelease> released = admission.poll(Start);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].request, RequestId("large-11"));
    EXPECT_EQ(released[0].verdict.reason, Reason::RateShare);
    // The large one's first waiting request came while all were level: it alone goes before.
    admission.finished(RequestId("large-0"), 400, Start + Millis(100));
    admission.finished(RequestId("large-1"), 400, Start + Millis(100));
    const std::vector<QueueRelease> next = admission.poll(Start + Millis(100));
    ASSERT_EQ(next.size(), 2U);
    EXPECT_EQ(next[0].request, RequestId("large-4"));
    EXPECT_EQ(next[1].request, RequestId("small-0"));
}

TEST(Admission, GivesUpAtTheDeadlineAndNeverAdmitsAfterIt)
{
    // A caller's own deadline passes while it waits; a slot gets free in the same
    // moment. It is answered with a timeout and not run for nobody.
    Admission admission(smallSettings());
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

TEST(Admission, ForgetsACallerThatHungUp)
{
    // A caller hangs up while it waits. Its place goes to the next, not to nobody.
    Admission admission(smallSettings());
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
