/// What callers get while tokens are scarce, under the load of docs/design/hard-load.md: an outage
/// of the store of 8 s, and demand that doubles before and during it.

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/TokenAllocation.h"

using namespace sequoiagate;

namespace {

constexpr Instant OutageStart{std::chrono::hours(1)};

Instant after(double seconds)
{
    return OutageStart
           + std::chrono::duration_cast<Interval>(std::chrono::duration<double>(seconds));
}

struct Kind
{
    uint32_t rank;
    double perSecond; ///< usually
    uint64_t minTokens;
    uint64_t maxTokens;
    Interval deadline;
};

/// One workspace's requests at its home in one failure domain: 351 chats and 207 digests per
/// second, 24 workspaces, 3 domains.
const Kind Chat{0, 4.9, 600, 1'100, std::chrono::seconds(12)};
const Kind Digest{2, 2.9, 8'000, 10'000, std::chrono::seconds(4)};

struct Load
{
    std::vector<Kind> kinds;
    double supplySeconds; ///< tokens held at the start of the outage, in seconds of usual demand
    double outageSeconds = 8;
    double doubledFrom = -1;
    double doubledUntil = 4;
};

struct Counts
{
    int requests = 0;
    int granted = 0; ///< at the first attempt
    int refusedAgain = 0;
    int largest = 0; ///< requests in the largest tenth
    int largestGranted = 0;
    double share() const { return static_cast<double>(granted) / std::max(requests, 1); }
    double largestShare() const
    {
        return static_cast<double>(largestGranted) / std::max(largest, 1);
    }
};

struct Attempt
{
    std::size_t kind;
    TokenDemand demand;
    bool isRetry = false;
};

struct Arrivals
{
    std::multimap<Instant, Attempt> attempts;
    double tokensPerSecond = 0; ///< usually
};

/// The requests of \p load, from 8 s before the outage.
Arrivals arrivalsOf(const Load &load, uint32_t seed)
{
    std::mt19937 random(seed);
    Arrivals arrivals;
    for (std::size_t i = 0; i < load.kinds.size(); ++i) {
        const Kind &kind = load.kinds[i];
        arrivals.tokensPerSecond +=
                kind.perSecond * static_cast<double>(kind.minTokens + kind.maxTokens) / 2;
        std::uniform_int_distribution<uint64_t> size(kind.minTokens, kind.maxTokens);
        for (double at = -8; at < load.outageSeconds;) {
            const bool doubled = at >= load.doubledFrom && at < load.doubledUntil;
            at += std::exponential_distribution<double>(kind.perSecond * (doubled ? 2 : 1))(random);
            const TokenDemand demand{kind.rank, size(random), std::chrono::milliseconds(500),
                                     after(at) + kind.deadline};
            arrivals.attempts.insert({after(at), {i, demand}});
        }
    }
    return arrivals;
}

/// Plays \p load at one host that holds tokens. \returns the counts of the requests that arrive
/// during the outage, by kind.
std::vector<Counts> play(const Load &load, TokenAllocationPolicy policy, uint32_t seed)
{
    auto [attempts, tokensPerSecond] = arrivalsOf(load, seed);
    const Instant outageEnd = after(load.outageSeconds);
    TokenAllocation allocation;
    auto usable = static_cast<uint64_t>(load.supplySeconds * tokensPerSecond);
    std::vector<Counts> counts(load.kinds.size());
    for (auto next = attempts.begin(); next != attempts.end(); next = attempts.begin()) {
        const Instant now = next->first;
        Attempt attempt = next->second;
        attempts.erase(next);
        const bool isOutage = now >= OutageStart && now < outageEnd;
        TokenSupply supply;
        supply.usable = isOutage ? usable : UINT64_MAX;
        supply.horizon = std::chrono::seconds(9);
        if (isOutage) {
            supply.unreachableSince = OutageStart;
        }
        allocation.recordRequest(attempt.demand.rank, attempt.demand.tokens, supply, now);
        TokenDecision decision = allocation.decide(attempt.demand, supply, now);
        if (policy == TokenAllocationPolicy::FirstCome) {
            decision.kind = usable >= attempt.demand.tokens ? TokenDecision::Kind::Grant
                                                            : TokenDecision::Kind::Refuse;
            decision.at = now + std::chrono::seconds(1);
        }
        const bool isGranted = !isOutage || decision.kind == TokenDecision::Kind::Grant;
        if (isGranted) {
            allocation.recordGrant(attempt.demand.rank, attempt.demand.tokens);
            usable -= isOutage ? attempt.demand.tokens : 0;
        }
        Counts &counted = counts[attempt.kind];
        if (attempt.isRetry) {
            counted.refusedAgain += isGranted ? 0 : 1;
            continue;
        }
        if (!isOutage) {
            continue;
        }
        const Kind &kind = load.kinds[attempt.kind];
        const bool isLarge =
                attempt.demand.tokens > kind.maxTokens - (kind.maxTokens - kind.minTokens) / 10;
        ++counted.requests;
        counted.granted += isGranted ? 1 : 0;
        counted.largest += isLarge ? 1 : 0;
        counted.largestGranted += isLarge && isGranted ? 1 : 0;
        if (!isGranted) {
            attempt.isRetry = true;
            attempts.insert({decision.at, attempt});
        }
    }
    return counts;
}

/// Adds up 40 plays.
std::vector<Counts> playAll(const Load &load, TokenAllocationPolicy policy)
{
    std::vector<Counts> total(load.kinds.size());
    for (uint32_t seed = 1; seed <= 40; ++seed) {
        const std::vector<Counts> counts = play(load, policy, seed);
        for (std::size_t i = 0; i < counts.size(); ++i) {
            total[i].requests += counts[i].requests;
            total[i].granted += counts[i].granted;
            total[i].refusedAgain += counts[i].refusedAgain;
            total[i].largest += counts[i].largest;
            total[i].largestGranted += counts[i].largestGranted;
        }
    }
    return total;
}

struct ShareCase
{
    const char *name;
    Load load;
    std::vector<double> minShares; ///< of each kind, at the first attempt
};

class TokenAllocationShares : public testing::TestWithParam<ShareCase>
{};

// Guards against long requests that use the tokens of urgent ones, against a kind that is starved,
// and against large requests that are refused more often than others of their kind.
TEST_P(TokenAllocationShares, EachKindGetsItsShare)
{
    const ShareCase &row = GetParam();
    const std::vector<Counts> byRank = playAll(row.load, TokenAllocationPolicy::ByRank);
    const std::vector<Counts> firstCome = playAll(row.load, TokenAllocationPolicy::FirstCome);
    EXPECT_GE(byRank[0].share(), firstCome[0].share());
    for (std::size_t i = 0; i < byRank.size(); ++i) {
        SCOPED_TRACE(testing::Message()
                     << "kind " << i << ": " << byRank[i].share() << " of " << byRank[i].requests
                     << ", first come " << firstCome[i].share() << ", largest tenth "
                     << byRank[i].largestShare());
        EXPECT_GE(byRank[i].share(), row.minShares[i]);
        EXPECT_GE(byRank[i].share(), firstCome[i].share() / 4);
        EXPECT_GE(byRank[i].largestShare(), byRank[i].share() / 2);
    }
}

const Load Outage4{{Chat, Digest}, 4};
const Load Outage3{{Chat, Digest}, 3};
const Load Plenty{{Chat, Digest}, 20};
const Load ShortOutage{{Chat, Digest}, 4, 1};
// The horizon is 9 s.
const Load LongOutage{{Chat, Digest}, 6, 20};
const Load DigestsOnly{{Digest}, 4};
const Load MixedSizes{{Chat, {2, 2.9, 2'000, 16'000, std::chrono::seconds(4)}}, 4};
// Deployment B: fewer chats, digests of rank 1.
const Load FewChats{{{0, 1.8, 600, 1'100, std::chrono::seconds(15)},
                     {1, 3.4, 8'000, 10'000, std::chrono::seconds(5)}},
                    4};
const Load FarApartRanks{{Chat, {4'000'000'000, 2.9, 8'000, 10'000, std::chrono::seconds(4)}}, 4};

// Urgent requests are always to be served in an outage of up to the horizon; 0.98 allows for the
// chance arrivals of few requests.
const ShareCase ShareCases[] = {
        {"FourSecondsHeld", Outage4, {0.98, 0}},
        {"ThreeSecondsHeld", Outage3, {0.98, 0}},
        {"Plenty", Plenty, {1, 1}},
        {"ShortOutage", ShortOutage, {1, 0}},
        {"LongerThanExpected", LongOutage, {0, 0}},
        {"OnlyOneKind", DigestsOnly, {0}},
        {"MixedSizes", MixedSizes, {0.98, 0}},
        {"FewChats", FewChats, {0.98, 0}},
        {"FarApartRanks", FarApartRanks, {0.98, 0}},
};

INSTANTIATE_TEST_SUITE_P(Rows, TokenAllocationShares, testing::ValuesIn(ShareCases),
                         [](const auto &row) { return row.param.name; });

// Guards against an allocation that refuses more than the shortage requires when all requests are
// equally urgent.
TEST(TokenAllocation, EqualRanksAreServedFirstCome)
{
    const Load load{{Digest, Digest}, 4};
    const std::vector<Counts> byRank = playAll(load, TokenAllocationPolicy::ByRank);
    const std::vector<Counts> firstCome = playAll(load, TokenAllocationPolicy::FirstCome);
    EXPECT_NEAR(byRank[0].share(), firstCome[0].share(), 0.02);
    EXPECT_NEAR(byRank[1].share(), firstCome[1].share(), 0.02);
}

// Guards against retry times that lead callers into the same refusal.
TEST(TokenAllocation, FewUrgentCallersAreRefusedAgain)
{
    const int byRank = playAll(Outage3, TokenAllocationPolicy::ByRank)[0].refusedAgain;
    const int firstCome = playAll(Outage3, TokenAllocationPolicy::FirstCome)[0].refusedAgain;
    EXPECT_LE(byRank, firstCome / 3);
}

struct RetryCase
{
    const char *name;
    double outageAge; ///< negative: the store is reachable
    double timeLeft;
    double minDelay;
    double maxDelay;
};

class TokenAllocationRetry : public testing::TestWithParam<RetryCase>
{};

// Guards against retries that meet the same outage although the caller could wait for longer, and
// against retries too late to be served.
TEST_P(TokenAllocationRetry, FollowsTheAgeOfTheOutage)
{
    const RetryCase &row = GetParam();
    TokenAllocation allocation;
    const Instant now = after(std::max(row.outageAge, 0.0));
    TokenSupply supply;
    if (row.outageAge >= 0) {
        supply.unreachableSince = OutageStart;
    }
    const TokenDemand demand{0, 900, std::chrono::milliseconds(500),
                             now
                                     + std::chrono::duration_cast<Interval>(
                                             std::chrono::duration<double>(row.timeLeft))};
    const Instant at = allocation.retryTime(demand, supply, now + Millis(100), now);
    EXPECT_GE(secondsOf(at - now), row.minDelay - 1e-6);
    EXPECT_LE(secondsOf(at - now), row.maxDelay + 1e-6);
}

const RetryCase RetryCases[] = {
        {"JustBegun", 0.1, 12, 1, 1},         {"AsLongAgain", 2, 12, 2, 2},
        {"ThirdOfTheTimeLeft", 6, 12, 4, 4},  {"ShortDeadline", 2, 4, 4.0 / 3, 4.0 / 3},
        {"NoTimeLeft", 2, 0, 0, 0},           {"AfterTheDeadline", 2, -1, 0, 0},
        {"StoreReachable", -1, 12, 0.1, 0.1},
};

INSTANTIATE_TEST_SUITE_P(Rows, TokenAllocationRetry, testing::ValuesIn(RetryCases),
                         [](const auto &row) { return row.param.name; });

// Guards against callers that all return at once, and urgent ones behind others.
TEST(TokenAllocation, CallersReturnOneAfterAnother)
{
    TokenAllocation allocation;
    TokenSupply supply;
    supply.unreachableSince = OutageStart;
    const Instant now = after(2);
    const TokenDemand chat{0, 900, {}, now + std::chrono::seconds(12)};
    const TokenDemand digest{2, 9'200, {}, now + std::chrono::seconds(12)};
    const Instant firstDigest = allocation.retryTime(digest, supply, now, now);
    const Instant firstChat = allocation.retryTime(chat, supply, now, now);
    EXPECT_LE(firstChat, firstDigest);
    EXPECT_GT(allocation.retryTime(chat, supply, now, now), firstChat);
    EXPECT_GT(allocation.retryTime(digest, supply, now, now), firstDigest);
}

// Guards against refusals of requests whose tokens are on their way, and against waits past the
// deadline.
TEST(TokenAllocation, WaitsForTokensInTransit)
{
    TokenAllocation allocation;
    TokenSupply supply;
    supply.unreachableSince = OutageStart;
    const Instant now = after(3);
    supply.arrivesBy = now + Millis(50);
    TokenDemand demand{0, 900, Millis(300), now + std::chrono::seconds(12)};
    allocation.recordRequest(demand.rank, demand.tokens, supply, now);
    TokenDecision decision = allocation.decide(demand, supply, now);
    EXPECT_EQ(decision.kind, TokenDecision::Kind::Wait);
    EXPECT_EQ(decision.at, now + Millis(150));
    demand.deadline = now + Millis(40);
    EXPECT_EQ(allocation.decide(demand, supply, now).at, demand.deadline);
    supply.arrivesBy.reset();
    EXPECT_EQ(allocation.decide(demand, supply, now).kind, TokenDecision::Kind::Refuse);
}

// Guards against tokens that another host has granted to a request but that are kept back here.
TEST(TokenAllocation, ServesWhatAPeerHasGranted)
{
    TokenAllocation allocation;
    TokenSupply supply;
    supply.usable = 9'200;
    supply.unreachableSince = OutageStart;
    supply.horizon = std::chrono::seconds(9);
    for (int i = 0; i < 20; ++i) {
        allocation.recordRequest(0, 900, supply, after(i * 0.05));
    }
    const TokenDemand digest{2, 9'200, {}, Never};
    allocation.recordRequest(digest.rank, digest.tokens, supply, after(1));
    EXPECT_EQ(allocation.decide(digest, supply, after(1)).kind, TokenDecision::Kind::Refuse);
    supply.isGrantedByPeer = true;
    EXPECT_EQ(allocation.decide(digest, supply, after(1)).kind, TokenDecision::Kind::Grant);
}

} // namespace
