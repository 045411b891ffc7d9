#ifndef SEQUOIAGATE_DECISIONS_TOKENALLOCATION_H
#define SEQUOIAGATE_DECISIONS_TOKENALLOCATION_H

/// Allocates a workspace's tokens on one host to requests while the store is unreachable. Pure.
///
/// Without the store, the tokens that hosts hold must last until it returns. First come, first
/// served, a few long requests use what many short urgent ones need. So a request is granted tokens
/// only if the rest covers what more urgent ranks are expected to request until then. A rank that
/// is served much less often than it would be without regard to rank is exempt from that, so that
/// none is starved.
///
/// The decision depends on the mean size of a rank's requests instead of on the request's own:
/// otherwise the largest requests of a rank would be refused most.

#include <cstdint>
#include <map>
#include <optional>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/Estimates.h"
#include "sequoiagate/Decisions/ReturnSchedule.h"

namespace sequoiagate {

/// The setting `token_allocation`.
enum class TokenAllocationPolicy {
    FirstCome,
    ByRank,
};

struct TokenAllocationSettings
{
    /// An outage is expected to last as long again as it has lasted, and at least this long.
    Interval minRemainingOutage = std::chrono::seconds(1);
    /// Time constants of the rate at which a rank requests tokens; the higher rate counts. The
    /// short one follows demand that doubles at the start of an outage, the long one keeps what
    /// a pause of a second would hide.
    Interval rateTimeConstant = std::chrono::seconds(4);
    Interval shortRateTimeConstant = std::chrono::seconds(1);
    /// Tokens are kept for this multiple of the demand of more urgent ranks, since requests don't
    /// arrive evenly: with 1.15, 4% of the urgent requests were refused where two arrive a second.
    double headroom = 1.25;
    /// Of a rank's requests during an outage, at least this part of the share is served that would
    /// be served without regard to rank.
    double minServedShare = 0.25;
};

/// A request for tokens.
struct TokenDemand
{
    uint32_t rank = 0; ///< 0 is the most urgent
    uint64_t tokens = 0;
    Interval latencyTarget{};
    Instant deadline = Never;
};

/// The tokens of a workspace that a host can use.
struct TokenSupply
{
    uint64_t usable = 0;
    /// When the store last responded; nullopt if it is reachable.
    std::optional<Instant> unreachableSince;
    /// Outages up to this length are to be outlasted.
    Interval horizon{};
    /// By when tokens in transit arrive, or peers respond; nullopt if none are awaited.
    std::optional<Instant> arrivesBy;
    /// Whether another host's allocation has already granted these tokens to the request.
    bool isGrantedByPeer = false;
};

struct TokenDecision
{
    enum class Kind {
        Grant,
        Wait,   ///< until `at`
        Refuse, ///< the caller should retry at `at`
    };
    Kind kind = Kind::Grant;
    Instant at{};
};

/// The allocation of one workspace. Not thread safe.
class TokenAllocation
{
public:
    /// Ranks above this are treated as this one.
    static constexpr uint32_t MaxRank = 15;

    explicit TokenAllocation(TokenAllocationSettings settings = {}) : settings_(settings) {}

    /// Counts a request for tokens. To be called once per request, before mayGrant.
    void recordRequest(uint32_t rank, uint64_t tokens, const TokenSupply &supply, Instant now);
    /// Counts a request that was granted its tokens.
    void recordGrant(uint32_t rank, uint64_t tokens);
    /// Whether a request of \p rank may be granted tokens of \p supply. A request for more tokens
    /// than are usable can't be served in any case.
    bool mayGrant(uint32_t rank, const TokenSupply &supply, Instant now) const;
    /// \p supply.arrivesBy determines whether the request may wait.
    /// \pre recordRequest was called for the request
    TokenDecision decide(const TokenDemand &demand, const TokenSupply &supply, Instant now);
    /// When the caller of a refused request should retry. It doesn't wait for longer than a third
    /// of its remaining time. \p earliest is when tokens can be had while the store is reachable.
    Instant retryTime(const TokenDemand &demand, const TokenSupply &supply, Instant earliest,
                      Instant now);
    /// Tokens that ranks more urgent than \p rank are expected to request until the store returns.
    uint64_t expectedOfMoreUrgent(uint32_t rank, const TokenSupply &supply, Instant now) const;
    /// Tokens per second that all ranks request.
    uint64_t tokensPerSecond(Instant now) const;

private:
    struct Rank
    {
        explicit Rank(const TokenAllocationSettings &settings)
            : requested(settings.rateTimeConstant),
              recentlyRequested(settings.shortRateTimeConstant)
        {}

        DecayingSum requested;         ///< tokens
        DecayingSum recentlyRequested; ///< tokens
        MovingMean size{8};            ///< of a request
        uint64_t requests = 0;         ///< during this outage
        uint64_t grants = 0;           ///< during this outage
    };

    Rank &rankOf(uint32_t rank);
    double tokensPerSecond(const Rank &rank, Instant now) const;
    Interval remainingOutage(const TokenSupply &supply, Instant now) const;
    bool isServedTooRarely(const Rank &rank) const;

    TokenAllocationSettings settings_;
    std::map<uint32_t, Rank> ranks_;
    std::optional<Instant> countedSince_; ///< the outage whose requests are counted
    double requestedTokens_ = 0;          ///< during this outage
    double grantedTokens_ = 0;            ///< during this outage
    ReturnSchedule returns_;
};

} // namespace sequoiagate

#endif
