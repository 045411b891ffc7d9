/// Which endpoints are used as entries are added, changed, expire and are removed.

#include <set>

#include <gtest/gtest.h>

#include "sequoiagate/Edge/EndpointDirectory.h"

using namespace sequoiagate;

namespace {

EndpointEntry entry(const std::string &id, bool draining = false, uint64_t startedAt = 1)
{
    EndpointEntry result;
    result.id = EndpointId(id);
    result.service = ServiceId("s");
    result.domain = DomainId("d");
    result.address = "127.0.0.1:9";
    result.slots = 4;
    result.draining = draining;
    result.startedAtMillis = startedAt;
    return result;
}

NoticeSource fromEndpoint(const std::string &id, uint64_t startedAt = 1)
{
    return {EndpointId(id), startedAt, RequestId("told"), Instant(std::chrono::hours(2))};
}

class EndpointDirectoryTest : public testing::Test
{
protected:
    EndpointDirectoryTest()
        : file_(std::tmpfile()),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("i")}, file_),
          directory_(HostId("h"), DomainId("d"), {}, log_)
    {
        directory_.setStoreReachable(true, now_);
        now_ += std::chrono::minutes(1);
    }
    ~EndpointDirectoryTest() override { std::fclose(file_); }

    /// The endpoint chosen for a request; empty if the request is refused.
    std::string chosenEndpoint(const std::vector<EndpointId> &tried = {})
    {
        directory_.publish(now_);
        WorkItem item;
        item.request = RequestId("r");
        item.service = ServiceId("s");
        item.arrivedAt = now_;
        item.deadline = now_ + std::chrono::seconds(1);
        const PlacementResult placing = directory_.place(item, {}, tried, now_);
        const auto *found = std::get_if<PlacementTarget>(&placing);
        return found == nullptr ? std::string() : found->endpoint.text();
    }

    /// All log lines so far.
    std::string logged()
    {
        std::string text;
        std::rewind(file_);
        for (int c = std::fgetc(file_); c != EOF; c = std::fgetc(file_)) {
            text += static_cast<char>(c);
        }
        return text;
    }

    Instant now_{std::chrono::hours(1)};
    std::FILE *file_;
    EventLog log_;
    EndpointDirectory directory_;
};

struct ConfirmationCase
{
    const char *name;
    /// Entries read after a failed connection: the start of the process and the sequence number.
    std::vector<std::pair<uint64_t, uint64_t>> entries;
    bool isResumed; ///< whether a stream that began at the entry's version may be resumed there
    bool isRestarted;
    bool isRelayed = false; ///< whether a relay reported the failed connection
};

class UnconfirmedVersion : public EndpointDirectoryTest,
                           public testing::WithParamInterface<ConfirmationCase>
{};

const ConfirmationCase ConfirmationCases[] = {
        {"NoEntry", {}, false, false},
        {"OneEntryWhichMayBeOlder", {{1, 11}}, false, false},
        {"SameEntryAgain", {{1, 10}, {1, 10}}, false, false},
        {"TwoEntries", {{1, 11}, {1, 12}}, true, false},
        {"EntryOfTheNextProcess", {{2, 1}}, false, true},
        {"NoEntryBehindARelay", {}, false, false, true},
        {"TwoEntriesBehindARelay", {{1, 11}, {1, 12}}, true, false, true},
};

/// Guards against resuming a stream at an endpoint that has started again under its id with
/// another software version, before its new entry is read.
TEST_P(UnconfirmedVersion, TakesNoResumedStream)
{
    const ConfirmationCase &row = GetParam();
    EndpointEntry listed = entry("e");
    listed.version = SoftwareVersion("v1");
    listed.sequence = 10;
    directory_.update(listed, now_);
    if (row.isRelayed) {
        directory_.onStaleEndpoint(EndpointId("e"), now_);
    } else {
        directory_.onConnectFailed(EndpointId("e"), now_);
    }
    for (const auto &[startedAt, sequence] : row.entries) {
        listed.startedAtMillis = startedAt;
        listed.sequence = sequence;
        listed.version = SoftwareVersion(startedAt == 1 ? "v1" : "v2");
        directory_.update(listed, now_);
    }
    directory_.publish(now_);
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    item.arrivedAt = now_;
    item.deadline = now_ + std::chrono::seconds(4);
    const PlacementResult fresh = directory_.place(item, {}, {}, now_);
    ASSERT_TRUE(std::holds_alternative<PlacementTarget>(fresh));
    EXPECT_EQ(std::get<PlacementTarget>(fresh).isVersionConfirmed,
              row.isResumed || row.isRestarted);
    item.version = SoftwareVersion("v1");
    const PlacementResult resumed = directory_.place(item, {}, {}, now_);
    EXPECT_EQ(std::holds_alternative<PlacementTarget>(resumed), row.isResumed);
    if (const auto *verdict = std::get_if<Verdict>(&resumed)) {
        // Until the entry is written again, the caller may return; at another version it can't.
        EXPECT_EQ(verdict->retryAt.has_value(), !row.isRestarted);
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, UnconfirmedVersion, testing::ValuesIn(ConfirmationCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct ReplacedCase
{
    const char *name;
    const char *id;
    uint64_t startedAt;
    const char *address;
    bool isReplaced;
};

class ReplacedProcess : public EndpointDirectoryTest,
                        public testing::WithParamInterface<ReplacedCase>
{};

const ReplacedCase ReplacedCases[] = {
        {"SameIdLaterStart", "a", 6, "127.0.0.1:9", true},
        {"OtherIdSameAddress", "b", 6, "127.0.0.1:9", true},
        {"OtherIdOtherAddress", "b", 6, "127.0.0.1:10", false},
        {"SameStart", "a", 5, "127.0.0.1:9", false},
        // Guards against rows of earlier processes that are read late.
        {"EarlierStart", "b", 4, "127.0.0.1:9", false},
};

TEST_P(ReplacedProcess, IsReported)
{
    std::vector<EndpointProcess> replaced;
    directory_.onProcessReplaced = [&replaced](const EndpointProcess &process) {
        replaced.push_back(process);
    };
    directory_.update(entry("a", false, 5), now_);
    EndpointEntry next = entry(GetParam().id, false, GetParam().startedAt);
    next.address = GetParam().address;
    directory_.update(next, now_);
    const std::vector<EndpointProcess> expected = {{EndpointId("a"), 5}};
    EXPECT_EQ(replaced, GetParam().isReplaced ? expected : std::vector<EndpointProcess>());
}

INSTANTIATE_TEST_SUITE_P(Rows, ReplacedProcess, testing::ValuesIn(ReplacedCases),
                         [](const auto &row) { return row.param.name; });

// Guards against endpoints whose times are measured under another process, or not at all.
TEST_F(EndpointDirectoryTest, TimesAtAnEndpointReachItsRates)
{
    EndpointRates rates(HostId("h"), DomainId("d"));
    directory_.setRates(&rates);
    directory_.update(entry("e"), now_);
    for (int i = 0; i < 60; ++i) {
        ASSERT_EQ(chosenEndpoint(), "e");
        now_ += std::chrono::milliseconds(100);
        directory_.onFirstToken(EndpointId("e"), RequestId("r"), now_);
        now_ += std::chrono::milliseconds(200);
        directory_.onStreamProgress(EndpointId("e"), RequestId("r"), 4, now_);
        directory_.onAttemptEnd({EndpointId("e"), RequestId("r"), true, {}, 5}, now_);
        rates.tick(now_);
    }
    EXPECT_GT(rates.rateOf(EndpointId("e"), now_).samples, 0U);
    directory_.update(entry("e", false, 2), now_);
    EXPECT_EQ(rates.rateOf(EndpointId("e"), now_).samples, 0U);
    directory_.setRates(nullptr);
}

TEST_F(EndpointDirectoryTest, DrainingEndpointGetsNoNewRequests)
{
    directory_.update(entry("a"), now_);
    EXPECT_EQ(chosenEndpoint(), "a");
    directory_.update(entry("a", true), now_);
    EXPECT_EQ(chosenEndpoint(), "");
}

struct VersionCase
{
    const char *name;
    std::vector<std::pair<const char *, const char *>> endpoints; ///< ids and versions
    std::vector<const char *> unreachable;
    std::vector<const char *> draining;
    const char *chosen;            ///< for a request that v1 has to run; empty: refused
    std::optional<Reason> refusal; ///< of a refused request
};

class DirectoryVersions : public EndpointDirectoryTest,
                          public testing::WithParamInterface<VersionCase>
{};

const VersionCase VersionCases[] = {
        {"OneOfTwoVersions", {{"a", "v2"}, {"b", "v1"}, {"c", "v2"}}, {}, {}, "b", {}},
        {"UnreachableIsBetterThanAnotherVersion", {{"a", "v2"}, {"b", "v1"}}, {"b"}, {}, "b", {}},
        // Guards against a caller that comes back for a stream that can't go on any more.
        {"VersionIsGone", {{"a", "v2"}}, {}, {}, "", Reason::StreamNotResumable},
        {"VersionIsDraining",
         {{"a", "v2"}, {"b", "v1"}},
         {},
         {"b"},
         "",
         Reason::StreamNotResumable},
        {"VersionIsNotStated", {{"a", "v2"}, {"b", ""}}, {}, {}, "", Reason::StreamNotResumable},
};

TEST_P(DirectoryVersions, AreKeptApart)
{
    const VersionCase &row = GetParam();
    for (const auto &[id, version] : row.endpoints) {
        EndpointEntry listed = entry(id);
        listed.version = SoftwareVersion(version);
        directory_.update(listed, now_);
    }
    for (const char *id : row.draining) {
        EndpointEntry listed = entry(id, true);
        listed.version = SoftwareVersion("v1");
        directory_.update(listed, now_);
    }
    directory_.publish(now_);
    for (const char *id : row.unreachable) {
        directory_.onStaleEndpoint(EndpointId(id), now_);
    }
    constexpr int Requests = 20;
    for (int i = 0; i < Requests; ++i) {
        WorkItem item;
        item.request = RequestId("r" + std::to_string(i));
        item.service = ServiceId("s");
        item.version = SoftwareVersion("v1");
        item.arrivedAt = now_;
        item.deadline = now_ + std::chrono::seconds(1);
        const PlacementResult placed = directory_.place(item, {}, {}, now_);
        const auto *target = std::get_if<PlacementTarget>(&placed);
        EXPECT_EQ(target == nullptr ? std::string() : target->endpoint.text(), row.chosen);
        if (row.refusal) {
            const auto *verdict = std::get_if<Verdict>(&placed);
            ASSERT_NE(verdict, nullptr);
            EXPECT_EQ(verdict->reason, *row.refusal);
            EXPECT_FALSE(verdict->retryAt);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, DirectoryVersions, testing::ValuesIn(VersionCases),
                         [](const auto &row) { return row.param.name; });

TEST_F(EndpointDirectoryTest, RemovedEndpointGetsNoNewRequests)
{
    directory_.update(entry("a"), now_);
    directory_.remove(EndpointId("a"), RemovalReason::Removed, now_);
    EXPECT_EQ(chosenEndpoint(), "");
}

// Guards against refusing all requests while all endpoints are running: their entries expired
// during an outage of the store and are missing after it until they are written again.
TEST_F(EndpointDirectoryTest, EntryExpiredInStoreOutageStaysInUseForGracePeriod)
{
    directory_.update(entry("a"), now_);
    directory_.setStoreReachable(false, now_);
    now_ += std::chrono::seconds(5);
    directory_.setStoreReachable(true, now_);
    directory_.keepOnly({}, now_);
    EXPECT_EQ(chosenEndpoint(), "a");
    now_ += std::chrono::seconds(1);
    directory_.update(entry("a"), now_);
    now_ += std::chrono::seconds(10);
    directory_.tick(now_);
    EXPECT_EQ(chosenEndpoint(), "a");
}

// Guards against sending requests permanently to an endpoint that left during an outage of the
// store, because its missing entry is mistaken for an expired one.
TEST_F(EndpointDirectoryTest, EntryMissingAfterGracePeriodIsRemoved)
{
    directory_.update(entry("a"), now_);
    directory_.setStoreReachable(false, now_);
    now_ += std::chrono::seconds(5);
    directory_.setStoreReachable(true, now_);
    directory_.keepOnly({}, now_);
    now_ += EndpointDirectory::ExpiredEntryGrace;
    directory_.tick(now_);
    EXPECT_EQ(chosenEndpoint(), "");
}

TEST_F(EndpointDirectoryTest, UnreachableEndpointIsExcludedForAWhile)
{
    directory_.update(entry("a"), now_);
    directory_.update(entry("b"), now_);
    directory_.onStaleEndpoint(EndpointId("a"), now_);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(chosenEndpoint(), "b");
    }
    // It is still chosen if there is no other endpoint.
    EXPECT_EQ(chosenEndpoint({EndpointId("b")}), "a");
}

TEST_F(EndpointDirectoryTest, RestartedEndpointIsUsedAtOnce)
{
    directory_.update(entry("a"), now_);
    directory_.update(entry("b"), now_);
    directory_.onStaleEndpoint(EndpointId("a"), now_);
    directory_.update(entry("a", false, 2), now_);
    EXPECT_EQ(chosenEndpoint({EndpointId("b")}), "a");
}

// Guards against responding with 404 on a configured route, after which callers don't retry: the
// last endpoint of the service was removed and the next one isn't listed yet. The request is
// refused with a retry time, as if the listed endpoints couldn't be used.
TEST_F(EndpointDirectoryTest, ServiceWithoutEndpointsIsRefusedWithRetryTime)
{
    directory_.update(entry("a"), now_);
    directory_.remove(EndpointId("a"), RemovalReason::Removed, now_);
    directory_.publish(now_);
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    item.deadline = now_ + std::chrono::seconds(1);
    const PlacementResult placing = directory_.place(item, {}, {}, now_);
    const auto *verdict = std::get_if<Verdict>(&placing);
    ASSERT_NE(verdict, nullptr);
    EXPECT_EQ(verdict->reason, Reason::NoEndpoint);
    EXPECT_EQ(verdict->execution, Execution::NotRun);
    EXPECT_TRUE(verdict->retryAt);
}

EndpointNotice requestLimit(double perSecond)
{
    EndpointNotice notice;
    notice.maxRequestsPerSecond = perSecond;
    return notice;
}

// Guards against sending to a limited endpoint for the sake of its cached prefix, or because it is
// the only one left, beyond this host's share.
TEST_F(EndpointDirectoryTest, LimitedEndpointGetsItsShareAndOthersTheRest)
{
    directory_.setHosts({HostId("h")});
    directory_.update(entry("a"), now_);
    directory_.update(entry("b"), now_);
    directory_.onNotice(fromEndpoint("a"), requestLimit(2.0), now_);
    directory_.onSent(EndpointId("a"), WorkItem(), now_);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(chosenEndpoint(), "b");
    }
    EXPECT_EQ(chosenEndpoint({EndpointId("b")}), "");
    EXPECT_GT(directory_.limitedRequests(), 0U);
    now_ += std::chrono::milliseconds(500);
    EXPECT_EQ(chosenEndpoint({EndpointId("b")}), "a");
}

TEST_F(EndpointDirectoryTest, PeersLimitHolds)
{
    directory_.setHosts({HostId("h")});
    directory_.update(entry("a"), now_);
    directory_.publish(now_);
    EndpointLimitRecord record;
    record.endpoint = EndpointId("a");
    record.startedAtMillis = 1;
    record.maxRequestsPerSecond = 1.0;
    record.observedAt = now_;
    directory_.onPeerLimits({record}, now_);
    EXPECT_EQ(directory_.limitedEndpoints(), 1U);
    EXPECT_EQ(chosenEndpoint(), "a");
    directory_.onSent(EndpointId("a"), WorkItem(), now_);
    EXPECT_EQ(chosenEndpoint(), "");
}

/// The verdict on a request of \p priority that no endpoint's limit allows.
Verdict refusalOf(EndpointDirectory &directory, uint32_t priority, Instant now)
{
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    item.priority = priority;
    const PlacementResult placing = directory.place(item, {}, {}, now);
    const auto *verdict = std::get_if<Verdict>(&placing);
    return verdict == nullptr ? Verdict() : *verdict;
}

// Guards against refusing a request that could be served within a few milliseconds.
TEST_F(EndpointDirectoryTest, RequestWaitsForASlotOfAnotherHostsShare)
{
    std::vector<SlotRequest> requests;
    directory_.onSlotNeeded = [&requests](const SlotRequest &request) {
        requests.push_back(request);
    };
    directory_.setHosts({HostId("h"), HostId("i")});
    directory_.update(entry("a"), now_);
    directory_.publish(now_);
    directory_.onNotice(fromEndpoint("a"), requestLimit(2.0), now_);
    directory_.onSent(EndpointId("a"), WorkItem(), now_);
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    EXPECT_TRUE(std::holds_alternative<PlacementDelay>(directory_.place(item, {}, {}, now_)));
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].holder, HostId("i"));
    directory_.onSlotResponse({requests[0].id, Millis(5), {}}, now_ + Millis(2));
    EXPECT_TRUE(std::holds_alternative<PlacementDelay>(
            directory_.place(item, {}, {}, now_ + Millis(3))));
    EXPECT_TRUE(std::holds_alternative<PlacementTarget>(
            directory_.place(item, {}, {}, now_ + Millis(8))));
}

// Guards against holding a request back when it is known that no share has room for it.
TEST_F(EndpointDirectoryTest, RequestIsRefusedAtOnceIfNoShareHasRoom)
{
    std::vector<SlotRequest> requests;
    directory_.onSlotNeeded = [&requests](const SlotRequest &request) {
        requests.push_back(request);
    };
    directory_.setHosts({HostId("h"), HostId("i")});
    directory_.update(entry("a"), now_);
    directory_.publish(now_);
    directory_.onNotice(fromEndpoint("a"), requestLimit(2.0), now_);
    directory_.onSent(EndpointId("a"), WorkItem(), now_);
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    directory_.place(item, {}, {}, now_);
    ASSERT_EQ(requests.size(), 1U);
    directory_.onSlotResponse({requests[0].id, std::nullopt, std::chrono::seconds(1)}, now_);
    EXPECT_TRUE(std::holds_alternative<Verdict>(directory_.place(item, {}, {}, now_ + Millis(3))));
}

// Guards against callers who are all told to return at the same time, when one can be served.
TEST_F(EndpointDirectoryTest, RefusedCallersReturnAtTheLimitsPace)
{
    directory_.setHosts({HostId("h")});
    directory_.update(entry("a"), now_);
    directory_.publish(now_);
    directory_.onNotice(fromEndpoint("a"), requestLimit(2.0), now_);
    directory_.onSent(EndpointId("a"), WorkItem(), now_);
    for (int i = 0; i < 3; ++i) {
        const Verdict verdict = refusalOf(directory_, 0, now_);
        EXPECT_EQ(verdict.execution, Execution::NotRun);
        ASSERT_TRUE(verdict.retryAt);
        EXPECT_GE(*verdict.retryAt,
                  now_ + (i + 1) * std::chrono::milliseconds(500) - std::chrono::milliseconds(201));
        EXPECT_LE(*verdict.retryAt, now_ + (i + 1) * std::chrono::milliseconds(500));
    }
}

// Guards against serving less urgent requests from a limit that refuses more urgent ones.
TEST_F(EndpointDirectoryTest, LessUrgentRequestsLeaveALimitToMoreUrgentOnes)
{
    directory_.setHosts({HostId("h")});
    directory_.update(entry("a"), now_);
    directory_.publish(now_);
    directory_.onNotice(fromEndpoint("a"), requestLimit(2.0), now_);
    directory_.onSent(EndpointId("a"), WorkItem(), now_);
    EXPECT_EQ(refusalOf(directory_, 0, now_).reason, Reason::QueueFull);
    now_ += std::chrono::milliseconds(400);
    EXPECT_EQ(refusalOf(directory_, 5, now_).reason, Reason::QueueFull);
    EXPECT_EQ(refusalOf(directory_, 0, now_).reason, Reason::None);
}

struct LeavingNoticeCase
{
    const char *name;
    uint64_t saidBy; ///< the start of the process whose response says that it is leaving
    void (*then)(EndpointDirectory &directory, Instant now);
    bool isUsed; ///< afterwards, when it is listed
};

class LeavingNotice : public EndpointDirectoryTest,
                      public testing::WithParamInterface<LeavingNoticeCase>
{};

const LeavingNoticeCase LeavingNoticeCases[] = {
        {"EntryStaysReady", 1, [](EndpointDirectory &, Instant) {}, false},
        {"EntryIsWrittenAgain", 1,
         [](EndpointDirectory &directory, Instant now) {
             directory.update(entry("a", true), now);
             directory.update(entry("a"), now);
         },
         false},
        {"EntryGoesAndReturns", 1,
         [](EndpointDirectory &directory, Instant now) {
             directory.remove(EndpointId("a"), RemovalReason::Removed, now);
             directory.update(entry("a"), now);
         },
         false},
        {"EndpointStartsAnew", 1,
         [](EndpointDirectory &directory, Instant now) {
             directory.update(entry("a", false, 2), now);
         },
         true},
        // Guards against taking what the process before said for the new one's.
        {"OfTheProcessBefore", 0, [](EndpointDirectory &, Instant) {}, true},
};

// Guards against new work for an endpoint that says in its responses that it is leaving.
TEST_P(LeavingNotice, EndsWithTheProcessOnly)
{
    const LeavingNoticeCase &row = GetParam();
    directory_.update(entry("a"), now_);
    EXPECT_EQ(chosenEndpoint(), "a");
    EndpointNotice leaving;
    leaving.isLeaving = true;
    directory_.onNotice(fromEndpoint("a", row.saidBy), leaving, now_);
    now_ += std::chrono::seconds(1);
    row.then(directory_, now_);
    EXPECT_EQ(chosenEndpoint(), row.isUsed ? "a" : "");
    EXPECT_EQ(directory_.addressOf(EndpointId("a")).has_value(), row.isUsed);
    EXPECT_EQ(directory_.usable(), row.isUsed ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Rows, LeavingNotice, testing::ValuesIn(LeavingNoticeCases),
                         [](const auto &row) { return row.param.name; });

TEST_F(EndpointDirectoryTest, RelaysAvoidEndpointsThatSaidThatTheyLeave)
{
    directory_.update(entry("a"), now_);
    EndpointNotice leaving;
    leaving.isLeaving = true;
    directory_.onRelayedNotice(fromEndpoint("a"), leaving, now_);
    EXPECT_EQ(chosenEndpoint(), "");
    EXPECT_FALSE(directory_.addressOf(EndpointId("a")));
}

EndpointNotice backoffNotice(Interval duration)
{
    EndpointNotice notice;
    notice.rejected = true;
    notice.backoff = duration;
    return notice;
}

struct DirectoryBackoffCase
{
    const char *name;
    std::vector<const char *> listed;
    std::vector<std::pair<const char *, Millis>> backoffs;
    std::vector<const char *> draining;
    const char *chosen; ///< empty: refused
    Millis returnsAfter;
};

class DirectoryBackoff : public EndpointDirectoryTest,
                         public testing::WithParamInterface<DirectoryBackoffCase>
{};

const DirectoryBackoffCase DirectoryBackoffCases[] = {
        {"AnotherServes", {"a", "b"}, {{"a", Millis(3000)}}, {}, "b", Millis(0)},
        {"AllBackOff",
         {"a", "b"},
         {{"a", Millis(3000)}, {"b", Millis(1200)}},
         {},
         "",
         Millis(1200)},
        // Guards against waiting for an endpoint that won't come back.
        {"TheOtherIsLeaving", {"a", "b"}, {{"a", Millis(3000)}}, {"b"}, "", Millis(3000)},
        {"TheFirstBackOfIsOfALeavingOne",
         {"a", "b"},
         {{"a", Millis(3000)}, {"b", Millis(100)}},
         {"b"},
         "",
         Millis(3000)},
};

// Guards against sending to an endpoint that asked for a backoff, and against refusing without the
// time of its end.
TEST_P(DirectoryBackoff, IsKept)
{
    const DirectoryBackoffCase &row = GetParam();
    for (const char *id : row.listed) {
        directory_.update(entry(id), now_);
    }
    for (const char *id : row.draining) {
        directory_.update(entry(id, true), now_);
    }
    directory_.publish(now_);
    for (const auto &[id, duration] : row.backoffs) {
        directory_.onNotice(fromEndpoint(id), backoffNotice(duration), now_);
    }
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    item.deadline = now_ + std::chrono::seconds(1);
    const PlacementResult placed = directory_.place(item, {}, {}, now_);
    if (const auto *verdict = std::get_if<Verdict>(&placed)) {
        EXPECT_EQ(std::string(), row.chosen);
        EXPECT_EQ(verdict->execution, Execution::NotRun);
        EXPECT_EQ(verdict->retryAt, now_ + row.returnsAfter);
        EXPECT_NE(verdict->detail.find("told"), std::string::npos) << verdict->detail;
    } else {
        EXPECT_EQ(std::get<PlacementTarget>(placed).endpoint.text(), row.chosen);
    }
    now_ += std::chrono::seconds(3);
    EXPECT_NE(chosenEndpoint(), "");
}

INSTANTIATE_TEST_SUITE_P(Rows, DirectoryBackoff, testing::ValuesIn(DirectoryBackoffCases),
                         [](const auto &row) { return row.param.name; });

// Guards against a prompt that stays away from its home after a backoff, and against sending the
// home more than a trial at first.
TEST_F(EndpointDirectoryTest, PromptsReturnHomeAfterABackoffOneByOne)
{
    const std::vector<PromptPart> prompt = {{1, 6000}, {2, 100}};
    for (const char *id : {"a", "b", "c"}) {
        directory_.update(entry(id), now_);
    }
    directory_.publish(now_);
    int lastRequest = 0;
    const auto send = [&] {
        WorkItem item;
        item.request = RequestId("r" + std::to_string(++lastRequest));
        item.service = ServiceId("s");
        item.deadline = now_ + std::chrono::seconds(1);
        const auto target = std::get<PlacementTarget>(directory_.place(item, prompt, {}, now_));
        directory_.onSent(target.endpoint, item, now_);
        return target.endpoint;
    };
    const auto end = [&](const EndpointId &endpoint, int request) {
        AttemptResult result;
        result.endpoint = endpoint;
        result.request = RequestId("r" + std::to_string(request));
        result.succeeded = true;
        directory_.onAttemptEnd(result, now_);
    };
    const EndpointId home = send();
    end(home, lastRequest);
    directory_.onNotice(fromEndpoint(home.text()), backoffNotice(std::chrono::seconds(3)), now_);
    const EndpointId other = send();
    EXPECT_NE(other, home);
    end(other, lastRequest);
    now_ += std::chrono::seconds(3);
    const EndpointId trial = send();
    const int trialRequest = lastRequest;
    EXPECT_EQ(trial, home);
    const EndpointId second = send();
    EXPECT_NE(second, home);
    end(second, lastRequest);
    NoticeSource answered = fromEndpoint(home.text());
    directory_.onNotice(answered, {}, now_);
    end(home, trialRequest);
    EXPECT_EQ(send(), home);
}

// Guards against relaying to, or choosing, an endpoint that asked this host to back off as a relay.
TEST_F(EndpointDirectoryTest, BackoffOfARelayedRequestHolds)
{
    directory_.update(entry("a"), now_);
    directory_.onRelayedNotice(fromEndpoint("a"), backoffNotice(std::chrono::seconds(3)), now_);
    EXPECT_TRUE(directory_.isBackingOff(EndpointId("a"), now_));
    EXPECT_EQ(chosenEndpoint(), "");
    now_ += std::chrono::seconds(3);
    EXPECT_EQ(chosenEndpoint(), "a");
}

// Guards against taking a backoff for a failure of the endpoint, or for the end of its limit.
TEST_F(EndpointDirectoryTest, BackoffEjectsNobodyAndEndsNoLimit)
{
    directory_.update(entry("a"), now_);
    directory_.setHosts({HostId("h")});
    directory_.onNotice(fromEndpoint("a"), requestLimit(2.0), now_);
    EndpointNotice both = requestLimit(2.0);
    both.backoff = Millis(100);
    directory_.onNotice(fromEndpoint("a"), both, now_);
    EXPECT_EQ(directory_.limitedEndpoints(), 1U);
    now_ += Millis(1000);
    EXPECT_EQ(chosenEndpoint(), "a");
}

// Guards against a limit that an endpoint's process named before it was started anew.
TEST_F(EndpointDirectoryTest, LimitOfTheProcessBeforeIsIgnored)
{
    directory_.update(entry("a", false, 2), now_);
    directory_.onNotice(fromEndpoint("a", 1), requestLimit(0.0), now_);
    EXPECT_EQ(directory_.limitedEndpoints(), 0U);
}

struct DirectoryEvacuationCase
{
    const char *name;
    std::vector<std::pair<const char *, const char *>> endpoints; ///< ids and domains
    std::vector<const char *> evacuated;
    std::vector<const char *> backingOff;
    std::vector<const char *> tried;
    const char *chosen; ///< empty: refused
};

class DirectoryEvacuation : public EndpointDirectoryTest,
                            public testing::WithParamInterface<DirectoryEvacuationCase>
{};

const DirectoryEvacuationCase DirectoryEvacuationCases[] = {
        {"AnotherDomainServes", {{"a", "x"}, {"b", "y"}}, {"x"}, {}, {}, "b"},
        {"UnknownDomain", {{"a", "x"}}, {"z"}, {}, {}, "a"},
        {"RetryGoesElsewhere", {{"a", "x"}, {"b", "y"}, {"c", "z"}}, {"x"}, {}, {"b"}, "c"},
        {"AllTried", {{"a", "x"}, {"b", "y"}}, {"x"}, {}, {"b"}, ""},
        {"OneOfThreeIsLeft", {{"a", "x"}, {"b", "y"}, {"c", "z"}}, {"x", "y"}, {}, {}, "c"},
        {"All", {{"a", "x"}, {"b", "y"}}, {"x", "y"}, {}, {}, ""},
        {"TheOthersBackOff", {{"a", "x"}, {"b", "y"}}, {"x"}, {"b"}, {}, ""},
};

// Guards against requests for evacuated endpoints, first ones and retries, and against refusing
// without a time to return.
TEST_P(DirectoryEvacuation, LeavesEndpointsWithoutRequests)
{
    const DirectoryEvacuationCase &row = GetParam();
    for (const auto &[id, domain] : row.endpoints) {
        EndpointEntry listed = entry(id);
        listed.domain = DomainId(domain);
        directory_.update(listed, now_);
    }
    directory_.publish(now_);
    std::vector<EndpointId> tried;
    for (const char *id : row.tried) {
        tried.emplace_back(id);
    }
    for (const char *domain : row.evacuated) {
        directory_.beginEvacuation(DomainId(domain), 7, now_);
    }
    for (const char *id : row.backingOff) {
        directory_.onNotice(fromEndpoint(id), backoffNotice(std::chrono::seconds(3)), now_);
    }
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    item.deadline = now_ + std::chrono::seconds(1);
    const PlacementResult placed = directory_.place(item, {}, tried, now_);
    if (const auto *verdict = std::get_if<Verdict>(&placed)) {
        EXPECT_EQ(std::string(), row.chosen);
        EXPECT_EQ(verdict->execution, Execution::NotRun);
        ASSERT_TRUE(verdict->retryAt);
        EXPECT_GT(*verdict->retryAt, now_);
    } else {
        EXPECT_EQ(std::get<PlacementTarget>(placed).endpoint.text(), row.chosen);
    }
    for (const char *domain : row.evacuated) {
        directory_.endEvacuation(DomainId(domain), now_);
    }
    now_ += std::chrono::seconds(3);
    EXPECT_NE(chosenEndpoint(tried), "");
}

INSTANTIATE_TEST_SUITE_P(Rows, DirectoryEvacuation, testing::ValuesIn(DirectoryEvacuationCases),
                         [](const auto &row) { return row.param.name; });

// Guards against prompts that stay away from their homes after an evacuation, and against a relay
// to evacuated endpoints.
TEST_F(EndpointDirectoryTest, EvacuationHoldsForRelaysAndEndsForPrompts)
{
    const std::vector<PromptPart> prompt = {{1, 6000}, {2, 100}};
    for (const char *id : {"a", "b", "c"}) {
        EndpointEntry listed = entry(id);
        listed.domain = DomainId(std::string("d-") + id);
        directory_.update(listed, now_);
    }
    directory_.publish(now_);
    const auto home = [&] {
        WorkItem item;
        item.request = RequestId("r");
        item.service = ServiceId("s");
        item.deadline = now_ + std::chrono::seconds(1);
        const PlacementResult placed = directory_.place(item, prompt, {}, now_);
        return std::get<PlacementTarget>(placed).endpoint;
    };
    const EndpointId first = home();
    const DomainId domain("d-" + first.text());
    EXPECT_TRUE(directory_.mayRelayTo(first, now_));
    directory_.beginEvacuation(domain, 7, now_);
    EXPECT_NE(home(), first);
    EXPECT_FALSE(directory_.mayRelayTo(first, now_));
    EXPECT_EQ(directory_.evacuatedDomains(), std::vector<DomainId>{domain});
    directory_.endEvacuation(domain, now_);
    EXPECT_EQ(home(), first);
    EXPECT_TRUE(directory_.mayRelayTo(first, now_));
}

struct DirectoryRegionCase
{
    const char *name;
    std::vector<std::pair<const char *, const char *>> endpoints; ///< ids and domains
    std::vector<RegionId> allowed;
    std::vector<const char *> evacuated;
    const char *chosen; ///< empty: refused
};

class DirectoryRegions : public EndpointDirectoryTest,
                         public testing::WithParamInterface<DirectoryRegionCase>
{};

const DirectoryRegionCase DirectoryRegionCases[] = {
        {"InTheRegion", {{"a", "x1"}, {"b", "y1"}}, {RegionId("y")}, {}, "b"},
        {"InOneOfTwoRegions", {{"a", "x1"}, {"b", "z1"}}, {RegionId("y"), RegionId("x")}, {}, "a"},
        {"InNone", {{"a", "x1"}, {"b", "y1"}}, {RegionId("q")}, {}, ""},
        {"NoRegionIsAllowed", {{"a", "x1"}}, {}, {}, ""},
        // Guards against taking a domain whose region isn't known for one that is allowed.
        {"RegionIsNotKnown", {{"a", "w1"}}, {RegionId("w")}, {}, ""},
        {"DomainIsEvacuated", {{"a", "x1"}, {"b", "y1"}}, {RegionId("x")}, {"x1"}, ""},
        {"OtherDomainOfTheRegion",
         {{"a", "x1"}, {"b", "y1"}, {"c", "x2"}},
         {RegionId("x")},
         {"x1"},
         "c"},
};

// Guards against sending a request out of the regions that its route or workspace allows.
TEST_P(DirectoryRegions, AreKept)
{
    const DirectoryRegionCase &row = GetParam();
    directory_.setRegions({{DomainId("x1"), RegionId("x")},
                           {DomainId("x2"), RegionId("x")},
                           {DomainId("y1"), RegionId("y")},
                           {DomainId("z1"), RegionId("z")}});
    for (const auto &[id, domain] : row.endpoints) {
        EndpointEntry listed = entry(id);
        listed.domain = DomainId(domain);
        directory_.update(listed, now_);
    }
    directory_.publish(now_);
    for (const char *domain : row.evacuated) {
        directory_.beginEvacuation(DomainId(domain), 7, now_);
    }
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    item.regions = RegionRestriction(row.allowed);
    item.deadline = now_ + std::chrono::seconds(1);
    for (int i = 0; i < 10; ++i) {
        const PlacementResult placed = directory_.place(item, {}, {}, now_);
        if (const auto *verdict = std::get_if<Verdict>(&placed)) {
            EXPECT_EQ(std::string(), row.chosen);
            EXPECT_EQ(verdict->execution, Execution::NotRun);
            EXPECT_EQ(verdict->reason, Reason::NoEndpoint);
            EXPECT_TRUE(verdict->retryAt);
        } else {
            EXPECT_EQ(std::get<PlacementTarget>(placed).endpoint.text(), row.chosen);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, DirectoryRegions, testing::ValuesIn(DirectoryRegionCases),
                         [](const auto &row) { return row.param.name; });

// Guards against sending the body of a request to a host in a region that isn't allowed.
TEST_F(EndpointDirectoryTest, RelaysLieInAllowedRegions)
{
    directory_.setRegions({{DomainId("x1"), RegionId("x")}, {DomainId("y1"), RegionId("y")}});
    const auto address = boost::asio::ip::tcp::endpoint();
    directory_.setRelays({{HostId("in-x"), {address, DomainId("x1")}},
                          {HostId("in-y"), {address, DomainId("y1")}},
                          {HostId("unknown"), {address, DomainId("w1")}}});
    for (const char *id : {"a", "b", "c", "d"}) {
        EndpointEntry listed = entry(id);
        listed.domain = DomainId("x1");
        directory_.update(listed, now_);
    }
    directory_.publish(now_);
    while (!directory_.isPartitioned()) {
        for (const char *id : {"a", "b", "c", "d"}) {
            directory_.onConnectFailed(EndpointId(id), now_);
        }
        now_ += std::chrono::milliseconds(100);
    }
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    item.deadline = now_ + std::chrono::seconds(1);
    std::set<HostId> relays;
    for (int i = 0; i < 40; ++i) {
        item.regions = RegionRestriction({RegionId("x")});
        const auto target = std::get<PlacementTarget>(directory_.place(item, {}, {}, now_));
        ASSERT_TRUE(target.relay);
        EXPECT_EQ(target.relay->host, HostId("in-x"));
        item.regions = RegionRestriction();
        relays.insert(std::get<PlacementTarget>(directory_.place(item, {}, {}, now_)).relay->host);
    }
    EXPECT_EQ(relays.size(), 3U);
}

TEST_F(EndpointDirectoryTest, MalformedAddressRemovesEndpoint)
{
    directory_.update(entry("a"), now_);
    EXPECT_EQ(chosenEndpoint(), "a");
    EndpointEntry moved = entry("a");
    moved.address = "elsewhere";
    directory_.update(moved, now_);
    EXPECT_EQ(chosenEndpoint(), "");
}

TEST_F(EndpointDirectoryTest, LogsReasonWhenServiceLosesItsLastEndpoint)
{
    directory_.update(entry("a"), now_);
    directory_.publish(now_);
    EXPECT_NE(logged().find("\"event\":\"service.served\""), std::string::npos);
    directory_.keepOnly({}, now_);
    EXPECT_NE(logged().find("\"why\":\"missing\""), std::string::npos);
    EXPECT_NE(logged().find("\"event\":\"service.unserved\""), std::string::npos);
}

TEST(SharedPromptHash, CoversAllPartsButTheLast)
{
    const uint64_t both = sharedPromptHash({{1, 10}, {2, 10}, {3, 10}});
    EXPECT_EQ(both, sharedPromptHash({{1, 10}, {2, 10}, {9, 10}}));
    EXPECT_NE(both, sharedPromptHash({{2, 10}, {1, 10}, {3, 10}}));
    EXPECT_EQ(sharedPromptHash({{1, 10}}), 0U);
    EXPECT_EQ(sharedPromptHash({}), 0U);
}

// Guards against a badly placed request whose cause can't be found, and against a memory that the
// configuration states but placement doesn't know.
TEST_F(EndpointDirectoryTest, ExpectedTimeIsPartOfTheReasonAndMemoryBoundsRequests)
{
    EndpointDirectory directory(HostId("h"), DomainId("d"), {}, log_,
                                EndpointPlacement::ExpectedTime);
    ServiceSpec service;
    service.name = ServiceId("s");
    service.kvTokens = 2000;
    directory.setServices({service}, now_);
    directory.update(entry("a", false, 5), now_);
    directory.publish(now_);
    WorkItem item;
    item.request = RequestId("r1");
    item.service = ServiceId("s");
    item.promptTokens = 1200;
    const std::vector<PromptPart> prompt = {{7, 1000}, {8, 200}};
    const PlacementResult first = directory.place(item, prompt, {}, now_);
    const auto *target = std::get_if<PlacementTarget>(&first);
    ASSERT_NE(target, nullptr);
    EXPECT_EQ(target->reason.rfind("expected_time ", 0), 0U) << target->reason;
    EXPECT_NE(target->reason.find("queue"), std::string::npos) << target->reason;
    directory.onSent(target->endpoint, item, now_);
    item.request = RequestId("r2");
    const PlacementResult second = directory.place(item, {{9, 1000}, {8, 200}}, {}, now_);
    EXPECT_TRUE(std::holds_alternative<Verdict>(second));
    EXPECT_EQ(directory.expectedTimeCounts().refused, 1U);
}

} // namespace
