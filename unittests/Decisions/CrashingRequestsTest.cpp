/// How the losses under one request are counted, and for how long it is refused.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/CrashingRequests.h"

using namespace sequoiagate;

namespace {

const Instant Start{std::chrono::hours(1)};
const RequestIdentity Prompted{1, 11, 12, {101, 102}};
const RequestIdentity Plain{1, 21, 0, {}};
const std::vector<HostPlace> Hosts = {{HostId("a"), DomainId("d1")}, {HostId("b"), DomainId("d2")}};

Interval seconds(int count)
{
    return std::chrono::seconds(count);
}

class Requests : public testing::Test
{
protected:
    Requests()
    {
        requests_.setHosts(Hosts, now_);
        requests_.sendReport = [this](const HostId &to, const RequestLosses &known) {
            reported_.push_back(known);
            reportedTo_.push_back(to);
        };
        requests_.broadcast = [this](const RequestLosses &known) {
            broadcast_.push_back(known);
        };
        requests_.onRefused = [this](const RequestLosses &known) {
            refused_.push_back(known);
        };
    }

    void lose(const RequestIdentity &identity, int endpoint, uint64_t startedAtMillis = 1)
    {
        now_ += std::chrono::milliseconds(10);
        requests_.onEndpointLost(identity,
                                 {EndpointId("e" + std::to_string(endpoint)), startedAtMillis},
                                 now_, now_);
    }
    void loseSeveral(const RequestIdentity &identity, int first, int count)
    {
        for (int i = 0; i < count; ++i) {
            lose(identity, first + i);
        }
    }
    bool isRefused(const RequestIdentity &identity) const
    {
        return requests_.findRefused(identity, now_) != nullptr;
    }
    /// How long it is refused from now on, to the second.
    int64_t refusedSeconds(const RequestIdentity &identity) const
    {
        const RequestLosses *known = requests_.findRefused(identity, now_);
        return known == nullptr
                       ? 0
                       : std::chrono::round<std::chrono::seconds>(known->refusedUntil - now_)
                                 .count();
    }

    CrashingRequests requests_{DomainId("d1")};
    Instant now_ = Start;
    std::vector<RequestLosses> reported_;
    std::vector<HostId> reportedTo_;
    std::vector<RequestLosses> broadcast_;
    std::vector<RequestLosses> refused_;
};

struct LossCase
{
    const char *name;
    RequestIdentity identity;
    int losses;
    bool isAnsweredBefore;
    int64_t refusedSeconds;
};

class Losses : public Requests, public testing::WithParamInterface<LossCase>
{};

// Guards against a request that is sent on after three crashes, and against refusing for long one
// that is mostly sound.
TEST_P(Losses, AreCounted)
{
    const LossCase &row = GetParam();
    if (row.isAnsweredBefore) {
        requests_.onAnswered(row.identity, now_);
    }
    loseSeveral(row.identity, 0, row.losses);
    EXPECT_EQ(refusedSeconds(row.identity), row.refusedSeconds);
    EXPECT_EQ(refused_.size(), row.refusedSeconds > 0 ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Rows, Losses,
                         testing::Values(LossCase{"TwoWithPrompt", Prompted, 2, false, 0},
                                         LossCase{"ThreeWithPrompt", Prompted, 3, false, 1800},
                                         LossCase{"ThreeOfAnAnsweredOne", Prompted, 3, true, 10},
                                         LossCase{"TwoWithoutPrompt", Plain, 2, false, 0},
                                         LossCase{"ThreeWithoutPrompt", Plain, 3, false, 10},
                                         LossCase{"ThreeOfAnAnsweredOneWithoutPrompt", Plain, 3,
                                                  true, 10}),
                         [](const auto &row) { return row.param.name; });

// Guards against counting one crash that several attempts saw as several.
TEST_F(Requests, LossesOfOneProcessCountOnce)
{
    for (int i = 0; i < 5; ++i) {
        lose(Prompted, 1);
    }
    EXPECT_FALSE(isRefused(Prompted));
    lose(Prompted, 1, 2);
    lose(Prompted, 1, 3);
    EXPECT_TRUE(isRefused(Prompted));
}

struct HerdCase
{
    const char *name;
    int others; ///< endpoints that are lost meanwhile under other requests
    uint64_t service;
    int64_t refusedSeconds;
};

class LossesInAHerd : public Requests, public testing::WithParamInterface<HerdCase>
{};

// Guards against refusing a sound request for long when many endpoints crash for another reason.
TEST_P(LossesInAHerd, AreRefusedForAShortTime)
{
    loseSeveral({GetParam().service, 70, 71, {}}, 50, 1); // before, so that it doesn't count
    now_ += seconds(1);
    lose(Prompted, 0);
    for (int i = 0; i < GetParam().others; ++i) {
        lose({GetParam().service, static_cast<RequestKey>(100 + i), 0, {}}, 20 + i);
    }
    loseSeveral(Prompted, 1, 2);
    EXPECT_EQ(refusedSeconds(Prompted), GetParam().refusedSeconds);
}

INSTANTIATE_TEST_SUITE_P(Rows, LossesInAHerd,
                         testing::Values(HerdCase{"FewOthers", 1, 1, 1800},
                                         HerdCase{"ManyOthers", 2, 1, 120},
                                         HerdCase{"MoreOfAnotherService", 4, 2, 1800}),
                         [](const auto &row) { return row.param.name; });

struct ParallelCase
{
    const char *name;
    RequestIdentity identity;
    bool isRefused;
};

class ParallelLosses : public Requests, public testing::WithParamInterface<ParallelCase>
{};

// Guards against refusing what many callers send alike when several endpoints crash at once.
TEST_P(ParallelLosses, CountOnceWhereCallersSendTheSame)
{
    const Instant sentAt = now_;
    now_ += seconds(1);
    for (int i = 0; i < 5; ++i) {
        now_ += std::chrono::milliseconds(5);
        requests_.onEndpointLost(GetParam().identity, {EndpointId("e" + std::to_string(i)), 1},
                                 sentAt, now_);
    }
    EXPECT_EQ(isRefused(GetParam().identity), GetParam().isRefused);
    loseSeveral(GetParam().identity, 5, 2);
    EXPECT_TRUE(isRefused(GetParam().identity));
}

INSTANTIATE_TEST_SUITE_P(Rows, ParallelLosses,
                         testing::Values(ParallelCase{"WithPrompt", Prompted, true},
                                         ParallelCase{"WithoutPrompt", Plain, false}),
                         [](const auto &row) { return row.param.name; });

// Guards against refusing a request that is sent often, for crashes of hours.
TEST_F(Requests, LossesBeforeAnAnswerOrLongAgoDontCount)
{
    loseSeveral(Prompted, 0, 2);
    requests_.onAnswered(Prompted, now_);
    lose(Prompted, 2);
    EXPECT_FALSE(isRefused(Prompted));
    loseSeveral(Plain, 0, 2);
    now_ += CrashingRequests::LossLifetime + seconds(2);
    lose(Plain, 2);
    EXPECT_FALSE(isRefused(Plain));
}

// Guards against refusing the other requests of a session for one of them, and against a session
// that crashes endpoints by each new request.
TEST_F(Requests, OfOneSessionAreRefusedAfterSix)
{
    const auto turn = [](RequestKey key) {
        return RequestIdentity{1, key, 12, {101}};
    };
    loseSeveral(turn(31), 0, 3);
    EXPECT_TRUE(isRefused(turn(31)));
    EXPECT_FALSE(isRefused(turn(32)));
    loseSeveral(turn(32), 3, 2);
    EXPECT_FALSE(isRefused(turn(33)));
    lose(turn(33), 5);
    EXPECT_TRUE(isRefused(turn(34)));
    EXPECT_FALSE(isRefused(Plain));
}

// Guards against a request that may crash three more endpoints each time that it was refused.
TEST_F(Requests, AreRefusedLongerAfterEachFurtherLoss)
{
    loseSeveral(Plain, 0, 3);
    EXPECT_EQ(refusedSeconds(Plain), 10);
    lose(Plain, 3); // was under way
    EXPECT_EQ(refusedSeconds(Plain), 10);
    now_ += seconds(11);
    EXPECT_FALSE(isRefused(Plain));
    for (int i = 0; i < 30; ++i) {
        lose(Plain, 10 + i);
        EXPECT_EQ(refusedSeconds(Plain),
                  std::min<int64_t>(10LL << std::min(2 * (i + 1), 16), 86'400));
        now_ += seconds(static_cast<int>(refusedSeconds(Plain)) + 1);
        ASSERT_FALSE(isRefused(Plain));
    }
}

// Guards against a host that repeats a request because it didn't see its earlier losses.
TEST_F(Requests, LossesOfOtherHostsCount)
{
    lose(Prompted, 1);
    const RequestLosses seen = reported_.front();
    EXPECT_TRUE(broadcast_.empty());
    CrashingRequests other(DomainId("d2"));
    std::vector<RequestLosses> told;
    other.broadcast = [&told](const RequestLosses &known) {
        told.push_back(known);
    };
    other.sendReport = [](const HostId &, const RequestLosses &) {
    };
    other.onRefused = [](const RequestLosses &) {
    };
    other.onEndpointLost(Prompted, {EndpointId("e2"), 1}, now_, now_);
    EXPECT_TRUE(told.empty());
    other.onReport(seen, now_);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_FALSE(requests_.onBroadcast(told.front(), now_));
    lose(Prompted, 3);
    EXPECT_TRUE(isRefused(Prompted));
    // The broadcasts of others aren't repeated.
    ASSERT_EQ(broadcast_.back().key, Prompted.request);
    EXPECT_FALSE(other.onBroadcast(broadcast_.back(), now_));
    EXPECT_EQ(told.size(), 1U);
    EXPECT_NE(other.findRefused(Prompted, now_), nullptr);
}

// Guards against refusing a request that another host has served since.
TEST_F(Requests, AreAllowedOnceAnAnswerIsKnown)
{
    loseSeveral(Plain, 0, 3);
    RequestLosses response = broadcast_.back();
    response.answeredAt = now_;
    response.losses.clear();
    requests_.onReport(response, now_);
    EXPECT_FALSE(isRefused(Plain));
    const std::size_t before = broadcast_.size();
    now_ = requests_.nextDeadline();
    requests_.tick(now_);
    ASSERT_EQ(broadcast_.size(), before + 1);
    EXPECT_EQ(broadcast_.back().answeredAt, response.answeredAt);
    EXPECT_EQ(requests_.nextDeadline(), Never);
}

class KeptRequests : public Requests
{
protected:
    KeptRequests()
    {
        requests_.onDecided = [this](const RequestLosses &known) {
            kept_.push_back(known);
        };
        started_.onRefused = [](const RequestLosses &) {
        };
        started_.broadcast = started_.onRefused;
    }

    std::vector<RequestLosses> kept_;
    CrashingRequests started_{DomainId("d2")}; ///< at a host that knows nothing else
};

// Guards against forgetting a refused request when all hosts start again, and against a row for
// each of the many that are refused for a moment.
TEST_F(KeptRequests, AreRefusedForLong)
{
    loseSeveral(Plain, 0, 3);
    EXPECT_TRUE(kept_.empty());
    loseSeveral(Prompted, 0, 3);
    ASSERT_EQ(kept_.size(), 1U);
    started_.onKept(kept_.front(), now_);
    EXPECT_NE(started_.findRefused(Prompted, now_), nullptr);
}

// Guards against refusing a request for its row though it was answered after its losses.
TEST_F(KeptRequests, AreAllowedOnceAnAnswerIsKnown)
{
    loseSeveral(Prompted, 0, 3);
    ASSERT_EQ(kept_.size(), 1U);
    requests_.onAnswered(Prompted, now_);
    now_ += seconds(1);
    requests_.onKept(kept_.front(), now_);
    EXPECT_FALSE(isRefused(Prompted));
    started_.onKept(kept_.front(), now_);
    const std::vector<RequestLosses> gossiped = started_.nextGossiped(now_);
    ASSERT_EQ(gossiped.size(), 1U);
    const auto response = requests_.onBroadcast(gossiped.front(), now_);
    ASSERT_TRUE(response);
    started_.onReport(*response, now_);
    EXPECT_EQ(started_.findRefused(Prompted, now_), nullptr);
}

// Guards against hosts that go on sending a refused request since a datagram was lost.
TEST_F(Requests, RefusalsAreBroadcastTwice)
{
    loseSeveral(Plain, 0, 3);
    const std::size_t before = broadcast_.size();
    now_ = requests_.nextDeadline();
    EXPECT_EQ(now_, refused_.front().refusedUntil - CrashingRequests::RefusalOfAnswered
                            + CrashingRequests::ResendDelay);
    requests_.tick(now_);
    ASSERT_EQ(broadcast_.size(), before + 1);
    EXPECT_EQ(broadcast_.back().refusals, 1U);
}

// Guards against a refusal that a host learns late, after an answer that it knows of.
TEST_F(Requests, AnswersAreToldToAHostThatRefuses)
{
    lose(Plain, 1);
    const RequestLosses earlier = reported_.front();
    requests_.onAnswered(Plain, now_);
    RequestLosses late = earlier;
    late.losses[{EndpointId("e2"), 1}] = {now_ - seconds(1), now_ - seconds(1)};
    late.losses[{EndpointId("e3"), 1}] = {now_ - seconds(1), now_ - seconds(1)};
    late.refusals = 1;
    late.refusedUntil = now_ + seconds(10);
    const auto own = requests_.onBroadcast(late, now_);
    ASSERT_TRUE(own);
    EXPECT_EQ(own->answeredAt, now_);
    EXPECT_FALSE(isRefused(Plain));
}

// Guards against losses that no other host counts, since this one knew no other yet.
TEST_F(Requests, LossesAreReportedToHostsThatAreAdded)
{
    requests_.setHosts({}, now_);
    loseSeveral(Plain, 0, 2);
    EXPECT_TRUE(reported_.empty());
    requests_.setHosts({Hosts.front()}, now_);
    EXPECT_EQ(reportedTo_, std::vector<HostId>{HostId("a")});
    EXPECT_EQ(reported_.back().losses.size(), 2U);
    requests_.setHosts(Hosts, now_);
    EXPECT_EQ(reportedTo_, (std::vector<HostId>{HostId("a"), HostId("b")}));
}

// Guards against a delay for which there is no host to hear of.
TEST_F(Requests, RepeatsWaitOnlyForOtherHosts)
{
    EXPECT_EQ(requests_.repeatTime(now_), now_ + CrashingRequests::RepeatDelay);
    requests_.setHosts({}, now_);
    EXPECT_EQ(requests_.repeatTime(now_), now_);
}

// Guards against memory and datagrams without bound when many endpoints crash at once.
TEST_F(Requests, AndMessagesAreBounded)
{
    std::vector<HostPlace> others;
    constexpr int Others = 369;
    for (int i = 0; i < Others; ++i) {
        others.push_back({HostId("h" + std::to_string(i)), DomainId("d2")});
    }
    requests_.setHosts(others, now_);
    constexpr int Count = 5000;
    for (int i = 0; i < Count; ++i) {
        const RequestIdentity identity{1, static_cast<RequestKey>(1000 + i), 0, {}};
        requests_.onEndpointLost(identity, {EndpointId("e1"), 1}, now_, now_);
        requests_.onEndpointLost(identity, {EndpointId("e2"), 1}, now_, now_);
    }
    EXPECT_LE(broadcast_.size() * Others, CrashingRequests::MaxBroadcastDatagrams);
    // Nothing is sent later that was held back.
    now_ += seconds(2);
    const std::size_t before = broadcast_.size();
    requests_.tick(now_);
    EXPECT_LE((broadcast_.size() - before) * Others, 2 * CrashingRequests::MaxBroadcastDatagrams);
    reported_.clear();
    others.erase(others.begin());
    others.push_back({HostId("added"), DomainId("d3")});
    requests_.setHosts(others, now_);
    EXPECT_GT(reported_.size(), 0U);
    EXPECT_LE(reported_.size(), CrashingRequests::MaxBroadcastDatagrams);
    loseSeveral(Prompted, 10, 40);
    const RequestLosses *known = requests_.findRefused(Prompted, now_);
    ASSERT_NE(known, nullptr);
    EXPECT_EQ(known->losses.size(), CrashingRequests::MaxLosses);
    EXPECT_EQ(known->losses.count({EndpointId("e49"), 1}), 1U);
}

// Guards against blaming a sound part since its request went on at another service.
TEST_F(Requests, AttemptsAtAnotherServiceCountAsOnesOfTheRequest)
{
    RequestIdentity elsewhere = Prompted;
    elsewhere.service = 2;
    elsewhere.sharedParts = {201, 202};
    loseSeveral(Prompted, 0, 2);
    lose(elsewhere, 2);
    EXPECT_TRUE(isRefused(Prompted));
    EXPECT_TRUE(requests_.explains(101, {{EndpointId("e0"), 1}, {EndpointId("e1"), 1}}));
    EXPECT_TRUE(requests_.explains(201, {{EndpointId("e2"), 1}}));
}

struct ExplainedCase
{
    const char *name;
    int lostUnderRequest; ///< of the crashes e0, e1 and on
    int crashes;          ///< under the part
    PartKey part;
    bool isExplained;
};

class Explained : public Requests, public testing::WithParamInterface<ExplainedCase>
{};

// Guards against blaming a sound part for crashes of one request, and against never blaming one
// since each crash has its request.
TEST_P(Explained, CrashesAreThoseOfOneRequest)
{
    const ExplainedCase &row = GetParam();
    loseSeveral(Prompted, 0, row.lostUnderRequest);
    std::vector<EndpointProcess> processes;
    for (int i = 0; i < row.crashes; ++i) {
        processes.push_back({EndpointId("e" + std::to_string(i)), 1});
    }
    EXPECT_EQ(requests_.explains(row.part, processes), row.isExplained);
}

INSTANTIATE_TEST_SUITE_P(Rows, Explained,
                         testing::Values(ExplainedCase{"All", 3, 3, 101, true},
                                         ExplainedCase{"AllButOne", 3, 4, 101, true},
                                         ExplainedCase{"AllButTwo", 3, 5, 101, false},
                                         ExplainedCase{"OneOfThree", 1, 3, 101, false},
                                         ExplainedCase{"OtherPart", 3, 3, 999, false}),
                         [](const auto &row) { return row.param.name; });

} // namespace
