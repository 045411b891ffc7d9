/// Requests that wait for tokens while the store is unreachable: at a host that gets the tokens of
/// each request from a home, and at a home.

#include <array>
#include <cstdio>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "lib/Edge/TokenWaitQueue.h"

using namespace sequoiagate;

namespace {

constexpr Instant Lost{std::chrono::hours(1)};
const WorkspaceId Space("w");

ReservationRequest chat(Instant now)
{
    return {Space, "chat", 0, 900, now, Millis(500), now + std::chrono::seconds(12)};
}

ReservationRequest digest(Instant now)
{
    return {Space, "digest", 2, 9'200, now, Millis(1'200), now + std::chrono::seconds(4)};
}

class TokenWaitQueueTest : public testing::Test
{
protected:
    explicit TokenWaitQueueTest(TokenAllocationPolicy policy = TokenAllocationPolicy::ByRank)
        : file_(std::tmpfile()),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("self")}, file_),
          holder_(Incarnation("self")), queue_(holder_, policy, log_, metrics_, hooks())
    {
        holder_.setBudgets({{Space, 10'000'000}, {WorkspaceId("other"), 10'000'000}}, Lost);
        holder_.setHomes(Space, 3, false);
        holder_.setStoreReachable(false);
        queue_.setPeerCount(8);
        queue_.setHomeCount(Space, 3);
        queue_.setHorizon(std::chrono::seconds(9));
        queue_.setUnreachableSince(Lost);
    }
    ~TokenWaitQueueTest() override { std::fclose(file_); }

    TokenWaitQueue::Hooks hooks()
    {
        TokenWaitQueue::Hooks hooks;
        hooks.obtainTokens = [this](Instant) {
            ++obtained_;
        };
        hooks.requestTokens = [this](const TokenRequest &request) {
            sent_.push_back(request);
        };
        hooks.heldByPeers = [](const WorkspaceId &, Instant) {
            return std::optional<uint64_t>();
        };
        hooks.predecessorPending = [] {
            return false;
        };
        return hooks;
    }

    /// A request's result: none yet, served, or refused.
    struct Result
    {
        bool isDone = false;
        std::optional<Verdict> refusal;
        bool isServed() const { return isDone && !refusal; }
        bool isRefused() const { return isDone && refusal; }
    };

    ReservationTicket reserve(const ReservationRequest &request, Result &result, Instant now)
    {
        return queue_.reserve(
                request,
                [&result](std::optional<Verdict> refusal) {
                    EXPECT_FALSE(result.isDone);
                    result = {true, std::move(refusal)};
                },
                now);
    }

    void grant(uint64_t tokens, Instant now)
    {
        holder_.transferIn(Space, tokens, now);
        queue_.onTokensReceived(Space, tokens, now);
    }

    void respond(const char *home, Instant now, bool mayClaim = false)
    {
        queue_.onTokenResponse({Space, Incarnation(home), 0, 0, mayClaim}, now);
    }

    void respondAll(Instant now)
    {
        for (const char *home : {"home1", "home2", "home3"}) {
            respond(home, now);
        }
    }

    /// Makes this host a home that holds \p tokens and has got \p chats requests per second.
    void makeHome(uint64_t tokens, int chats)
    {
        holder_.setHomes(Space, 3, true);
        holder_.transferIn(Space, tokens, Lost);
        for (int i = 0; i < chats; ++i) {
            queue_.mayTransfer(transferRequest(0, 900), Lost + Millis(1000 * i / chats));
        }
    }

    std::string lastLoggedCause() const
    {
        std::rewind(file_);
        std::string cause;
        std::array<char, 1024> line{};
        while (std::fgets(line.data(), line.size(), file_) != nullptr) {
            cause = nlohmann::json::parse(line.data()).value("why", "");
        }
        return cause;
    }

    static TokenRequest transferRequest(std::optional<uint32_t> priority, uint64_t tokens,
                                        const WorkspaceId &workspace = Space)
    {
        TokenRequest request;
        request.workspace = workspace;
        request.need = tokens;
        request.priority = priority;
        return request;
    }

    std::FILE *file_;
    EventLog log_;
    Metrics metrics_;
    TokenHolder holder_;
    int obtained_ = 0;
    std::vector<TokenRequest> sent_;
    TokenWaitQueue queue_;
};

const Instant Now = Lost + std::chrono::seconds(3);

// Guards against requests that are refused at a host without tokens although its home has some.
TEST_F(TokenWaitQueueTest, ServesWhatTheNearHomeGrants)
{
    Result result;
    reserve(digest(Now), result, Now);
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(sent_[0].round, 0U);
    EXPECT_EQ(sent_[0].need, 9'200U);
    EXPECT_EQ(sent_[0].priority, 2U);
    grant(9'200, Now + Millis(3));
    EXPECT_TRUE(result.isServed());
}

// Guards against homes that aren't asked, and against a wait after the last of them has responded.
TEST_F(TokenWaitQueueTest, RefusesWhenTheLastHomeHasResponded)
{
    Result earlier;
    reserve(chat(Now), earlier, Now);
    grant(900, Now);
    sent_.clear();
    Result result;
    reserve(digest(Now), result, Now);
    respond("home1", Now + Millis(3));
    ASSERT_EQ(sent_.size(), 2U);
    EXPECT_EQ(sent_[1].round, 1U);
    respond("home1", Now + Millis(5));
    respond("home2", Now + Millis(6));
    EXPECT_FALSE(result.isDone);
    respond("home3", Now + Millis(7));
    ASSERT_TRUE(result.isRefused());
    EXPECT_EQ(result.refusal->reason, Reason::BudgetUnreachable);
    // A third of the remaining time is less than the age of the outage.
    EXPECT_NEAR(std::chrono::duration<double>(*result.refusal->retryAt - Now).count(), 4.0 / 3,
                0.01);
}

// Guards against requests that each ask peers that are known to lack tokens, and against a known
// shortfall of a less urgent rank that refuses more urgent requests.
TEST_F(TokenWaitQueueTest, RefusesAtOnceWhatIsKnownToFail)
{
    Result first;
    Result second;
    Result urgent;
    reserve(chat(Now), urgent, Now);
    grant(900, Now);
    reserve(digest(Now), first, Now);
    respond("home1", Now);
    respondAll(Now + Millis(5));
    ASSERT_TRUE(first.isRefused());
    const std::size_t sent = sent_.size();
    reserve(digest(Now), second, Now + Millis(400));
    EXPECT_TRUE(second.isRefused());
    EXPECT_EQ(sent_.size(), sent);
    urgent = {};
    reserve(chat(Now), urgent, Now + Millis(410));
    EXPECT_FALSE(urgent.isDone);
    EXPECT_EQ(sent_.size(), sent + 1);
    grant(900, Now + Millis(413));
    EXPECT_TRUE(urgent.isServed());
}

struct RefusalCauseCase
{
    const char *name;
    std::size_t peers;
    int requests; ///< that the last home's response refuses, before the logged one
    const char *cause;
};

class RefusalCause : public TokenWaitQueueTest, public testing::WithParamInterface<RefusalCauseCase>
{};

// Guards against a log that names an earlier request's shortfall where there was none.
TEST_P(RefusalCause, IsLogged)
{
    const RefusalCauseCase &row = GetParam();
    Result result;
    reserve(chat(Now), result, Now);
    grant(900, Now);
    queue_.setPeerCount(row.peers);
    for (int i = 0; i < row.requests; ++i) {
        result = {};
        reserve(digest(Now), result, Now);
        respond("home1", Now);
        respondAll(Now);
        ASSERT_TRUE(result.isRefused());
    }
    result = {};
    reserve(digest(Now), result, Now);
    respond("home1", Now);
    respondAll(Now);
    ASSERT_TRUE(result.isRefused());
    EXPECT_EQ(lastLoggedCause(), row.cause);
}

INSTANTIATE_TEST_SUITE_P(Rows, RefusalCause,
                         testing::ValuesIn(std::vector<RefusalCauseCase>{
                                 {"NoPeers", 0, 0, "no_peers"},
                                 {"NoPeersAgain", 0, 1, "no_peers"},
                                 {"PeersLackTokens", 8, 0, "peers_lack_tokens"},
                                 {"PeersLackedTokens", 8, 1, "known_shortfall"},
                         }),
                         [](const auto &row) { return row.param.name; });

// Guards against several requests that ask the same peers at the same time, and against urgent ones
// behind others.
TEST_F(TokenWaitQueueTest, OneRequestAsksAtATime)
{
    Result first;
    Result second;
    Result urgent;
    reserve(chat(Now), urgent, Now);
    grant(900, Now);
    urgent = {};
    sent_.clear();
    reserve(digest(Now), first, Now);
    reserve(digest(Now), second, Now);
    reserve(chat(Now), urgent, Now);
    EXPECT_EQ(sent_.size(), 1U);
    grant(9'200, Now + Millis(3));
    EXPECT_TRUE(urgent.isServed());
    EXPECT_FALSE(first.isDone);
    respond("home1", Now + Millis(3));
    ASSERT_EQ(sent_.size(), 2U);
    EXPECT_EQ(sent_[1].need, 900U);
    respondAll(Now + Millis(7));
    EXPECT_TRUE(first.isRefused());
    EXPECT_TRUE(second.isRefused());
}

// Guards against requests that are held for ever when all datagrams are lost.
TEST_F(TokenWaitQueueTest, LostDatagramsEndInARefusal)
{
    Result result;
    reserve(chat(Now), result, Now);
    for (Millis elapsed(25); elapsed <= Millis(200); elapsed += Millis(25)) {
        EXPECT_FALSE(result.isDone && elapsed < Millis(100));
        queue_.tick(Now + elapsed);
    }
    EXPECT_TRUE(result.isRefused());
}

// Guards against refusals of requests whose tokens a home with a store is just claiming.
TEST_F(TokenWaitQueueTest, WaitsForAHomeThatClaims)
{
    Result result;
    reserve(digest(Now), result, Now);
    respond("home1", Now + Millis(3), true);
    respondAll(Now + Millis(6));
    queue_.tick(Now + Millis(25));
    EXPECT_FALSE(result.isDone);
    const std::size_t sent = sent_.size();
    queue_.tick(Now + Millis(75));
    EXPECT_EQ(sent_.size(), sent + 1);
    grant(9'200, Now + Millis(78));
    EXPECT_TRUE(result.isServed());
}

// Guards against requests that wait behind one whose caller has left.
TEST_F(TokenWaitQueueTest, CancelledRequestsEndTheirSearch)
{
    Result cancelled;
    Result next;
    const ReservationTicket ticket = reserve(digest(Now), cancelled, Now);
    reserve(digest(Now), next, Now);
    queue_.cancel(ticket, Now);
    EXPECT_EQ(sent_.size(), 2U);
    grant(9'200, Now);
    EXPECT_FALSE(cancelled.isDone);
    EXPECT_TRUE(next.isServed());
}

// Guards against waiting requests that nobody claims tokens for when the store is back.
TEST_F(TokenWaitQueueTest, TheHolderAsksAgainWhenTheStoreReturns)
{
    Result result;
    reserve(chat(Now), result, Now);
    TokenRequest request = transferRequest(std::nullopt, 900);
    EXPECT_FALSE(queue_.prepareRequest(request));
    queue_.setUnreachableSince(std::nullopt);
    queue_.tick(Now + Millis(25));
    EXPECT_TRUE(queue_.prepareRequest(request));
    EXPECT_EQ(request.priority, 0U);
    grant(900, Now + Millis(40));
    EXPECT_TRUE(result.isServed());
}

struct PeerWaitCase
{
    const char *name;
    Millis latencyTarget;
    Millis wait;
};

class PeerWait : public TokenWaitQueueTest, public testing::WithParamInterface<PeerWaitCase>
{};

// Guards against callers who wait until their latency target is half over for tokens that only
// peers can have, and are refused then.
TEST_P(PeerWait, DependsOnTheLatencyTarget)
{
    holder_.setBudgets({{Space, 500}}, Lost);
    holder_.setStoreReachable(true);
    queue_.setUnreachableSince(std::nullopt);
    ReservationRequest request = chat(Now);
    request.latencyTarget = GetParam().latencyTarget;
    // The second request comes when the first one's refusal is no longer taken for its own.
    const Instant starts[] = {Now, Now + std::chrono::seconds(1)};
    const Millis waits[] = {Millis(200), GetParam().wait};
    for (std::size_t i = 0; i < 2; ++i) {
        Result result;
        reserve(request, result, starts[i]);
        queue_.tick(starts[i] + waits[i] - Millis(1));
        EXPECT_FALSE(result.isDone) << i;
        queue_.tick(starts[i] + waits[i]);
        EXPECT_TRUE(result.isRefused()) << i;
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, PeerWait,
                         testing::ValuesIn(std::vector<PeerWaitCase>{
                                 {"Tight", Millis(100), Millis(40)},
                                 {"Usual", Millis(1200), Millis(150)},
                                 {"Relaxed", Millis(5000), Millis(200)},
                         }),
                         [](const auto &row) { return row.param.name; });

// Guards against one faulty message by which a home withholds its tokens for minutes.
TEST_F(TokenWaitQueueTest, DemandOfOneMessageIsBoundedByTheBudget)
{
    makeHome(90'000, 0);
    constexpr uint64_t Max = std::numeric_limits<uint64_t>::max();
    queue_.mayTransfer(transferRequest(0, Max), Lost);
    EXPECT_FALSE(queue_.mayTransfer(transferRequest(2, 9'200), Lost + std::chrono::seconds(1)));
    EXPECT_TRUE(queue_.mayTransfer(transferRequest(2, 9'200), Lost + std::chrono::seconds(90)));
}

struct TransferCase
{
    const char *name;
    uint64_t usable;
    std::optional<uint32_t> priority;
    const char *workspace;
    bool isOutage;
    bool expected;
};

class TokenTransferTest : public TokenWaitQueueTest,
                          public testing::WithParamInterface<TransferCase>
{};

// Guards against homes that give the tokens of urgent requests to other hosts' less urgent ones,
// against shortages that affect other workspaces, and against hosts without ranks that get nothing.
TEST_P(TokenTransferTest, HomesAllocateByRank)
{
    const TransferCase &row = GetParam();
    makeHome(row.usable, 5);
    if (!row.isOutage) {
        queue_.setUnreachableSince(std::nullopt);
    }
    const TokenRequest request = transferRequest(row.priority, 9'200, WorkspaceId(row.workspace));
    EXPECT_EQ(queue_.mayTransfer(request, Lost + std::chrono::seconds(1)), row.expected);
}

// Five chats of 900 tokens per second until the horizon of 9 s need 36,000 tokens.
const TransferCase TransferCases[] = {
        {"Scarce", 30'000, 2, "w", true, false},
        {"UrgentWhileScarce", 30'000, 0, "w", true, true},
        {"Enough", 90'000, 2, "w", true, true},
        {"StoreReachable", 30'000, 2, "w", false, true},
        {"OtherWorkspace", 30'000, 2, "other", true, true},
        {"WithoutRank", 30'000, std::nullopt, "w", true, true},
        {"UnknownWorkspace", 30'000, 2, "unknown", true, true},
};

INSTANTIATE_TEST_SUITE_P(Rows, TokenTransferTest, testing::ValuesIn(TransferCases),
                         [](const auto &row) { return row.param.name; });

// Guards against a home that serves its own less urgent requests with the tokens of urgent ones.
TEST_F(TokenWaitQueueTest, AHomeAllocatesItsOwnRequestsByRank)
{
    makeHome(30'000, 5);
    const Instant now = Lost + std::chrono::seconds(1);
    Result lessUrgent;
    Result urgent;
    reserve(digest(now), lessUrgent, now);
    EXPECT_FALSE(lessUrgent.isDone);
    reserve(chat(now), urgent, now);
    EXPECT_TRUE(urgent.isServed());
}

class FirstComeTest : public TokenWaitQueueTest
{
protected:
    FirstComeTest() : TokenWaitQueueTest(TokenAllocationPolicy::FirstCome) {}
};

// Guards against a change of behaviour without the setting.
TEST_F(FirstComeTest, WaitsForTheFullTimeAndIgnoresRanks)
{
    Result result;
    Result next;
    reserve(digest(Now), result, Now);
    EXPECT_EQ(obtained_, 1);
    respond("home1", Now + Millis(3));
    queue_.tick(Now + Millis(199));
    EXPECT_FALSE(result.isDone);
    EXPECT_TRUE(sent_.empty());
    TokenRequest request = transferRequest(std::nullopt, 900);
    EXPECT_TRUE(queue_.prepareRequest(request));
    EXPECT_FALSE(request.priority);
    queue_.tick(Now + Millis(200));
    ASSERT_TRUE(result.isRefused());
    EXPECT_EQ(result.refusal->retryAt, Now + Millis(1'200));
    reserve(digest(Now), next, Now + Millis(300));
    EXPECT_TRUE(next.isRefused());
    makeHome(9'200, 5);
    EXPECT_TRUE(queue_.mayTransfer(transferRequest(2, 9'200), Now));
}

} // namespace
