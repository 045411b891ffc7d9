#include "sequoiagate/Decisions/TokenAllocation.h"

#include <algorithm>

namespace sequoiagate {

namespace {

/// Callers don't wait for longer than this part of their remaining time before they retry.
constexpr int RemainingTimePerRetryDelay = 3;

/// A request waits beyond the expected arrival of tokens for at most this part of its latency
/// target.
constexpr int LatencyTargetPerExtraWait = 3;

} // namespace

TokenAllocation::Rank &TokenAllocation::rankOf(uint32_t rank)
{
    return ranks_.try_emplace(std::min(rank, MaxRank), settings_).first->second;
}

void TokenAllocation::recordRequest(uint32_t rank, uint64_t tokens, const TokenSupply &supply,
                                    Instant now)
{
    if (supply.unreachableSince != countedSince_) {
        countedSince_ = supply.unreachableSince;
        requestedTokens_ = 0;
        grantedTokens_ = 0;
        for (auto &[number, counted] : ranks_) {
            counted.requests = 0;
            counted.grants = 0;
        }
    }
    Rank &counted = rankOf(rank);
    const auto size = static_cast<double>(tokens);
    counted.requested.add(size, now);
    counted.recentlyRequested.add(size, now);
    counted.size.add(size);
    ++counted.requests;
    requestedTokens_ += size;
}

void TokenAllocation::recordGrant(uint32_t rank, uint64_t tokens)
{
    ++rankOf(rank).grants;
    grantedTokens_ += static_cast<double>(tokens);
}

double TokenAllocation::tokensPerSecond(const Rank &rank, Instant now) const
{
    return std::max(rank.requested.at(now) / secondsOf(settings_.rateTimeConstant),
                    rank.recentlyRequested.at(now) / secondsOf(settings_.shortRateTimeConstant));
}

uint64_t TokenAllocation::tokensPerSecond(Instant now) const
{
    double total = 0;
    for (const auto &[number, rank] : ranks_) {
        total += tokensPerSecond(rank, now);
    }
    return static_cast<uint64_t>(total);
}

Interval TokenAllocation::remainingOutage(const TokenSupply &supply, Instant now) const
{
    // Up to the length that is to be outlasted, tokens for urgent requests are kept until then: an
    // outage of 8 s seems to end after 2 s when it has lasted for one. Tokens kept without need
    // aren't lost.
    const Interval age = std::max(now - *supply.unreachableSince, Interval::zero());
    const Interval expected = age < supply.horizon ? supply.horizon - age : age;
    return std::max(expected, settings_.minRemainingOutage);
}

uint64_t TokenAllocation::expectedOfMoreUrgent(uint32_t rank, const TokenSupply &supply,
                                               Instant now) const
{
    if (!supply.unreachableSince) {
        return 0;
    }
    double perSecond = 0;
    for (auto entry = ranks_.begin();
         entry != ranks_.end() && entry->first < std::min(rank, MaxRank); ++entry) {
        perSecond += tokensPerSecond(entry->second, now);
    }
    return static_cast<uint64_t>(settings_.headroom * perSecond
                                 * secondsOf(remainingOutage(supply, now)));
}

bool TokenAllocation::isServedTooRarely(const Rank &rank) const
{
    // The request that is decided on is counted already.
    const double share = grantedTokens_ / std::max(requestedTokens_, 1.0);
    const double due = settings_.minServedShare * share * static_cast<double>(rank.requests);
    return static_cast<double>(rank.grants) + 1 <= due;
}

bool TokenAllocation::mayGrant(uint32_t rank, const TokenSupply &supply, Instant now) const
{
    if (!supply.unreachableSince || supply.isGrantedByPeer) {
        return true;
    }
    const uint64_t reserve = expectedOfMoreUrgent(rank, supply, now);
    const auto counted = ranks_.find(std::min(rank, MaxRank));
    if (reserve == 0 || counted == ranks_.end() || isServedTooRarely(counted->second)) {
        return true;
    }
    const auto size = static_cast<uint64_t>(counted->second.size.mean());
    return supply.usable >= reserve + size;
}

TokenDecision TokenAllocation::decide(const TokenDemand &demand, const TokenSupply &supply,
                                      Instant now)
{
    if (supply.usable >= demand.tokens && mayGrant(demand.rank, supply, now)) {
        return {TokenDecision::Kind::Grant, now};
    }
    if (supply.arrivesBy) {
        const Instant until = *supply.arrivesBy + demand.latencyTarget / LatencyTargetPerExtraWait;
        return {TokenDecision::Kind::Wait, std::min(until, demand.deadline)};
    }
    return {TokenDecision::Kind::Refuse, retryTime(demand, supply, now, now)};
}

Instant TokenAllocation::retryTime(const TokenDemand &demand, const TokenSupply &supply,
                                   Instant earliest, Instant now)
{
    if (supply.unreachableSince) {
        earliest = now + std::max(now - *supply.unreachableSince, settings_.minRemainingOutage);
    }
    Instant latest = earliest + ReturnSchedule::MaxSpread;
    if (demand.deadline != Never) {
        const Interval left = std::max(demand.deadline - now, Interval::zero());
        latest = std::min(latest, now + left / RemainingTimePerRetryDelay);
    }
    return std::min(returns_.assign(demand.rank, std::min(earliest, latest)), latest);
}

} // namespace sequoiagate
