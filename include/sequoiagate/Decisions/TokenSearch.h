#ifndef SEQUOIAGATE_DECISIONS_TOKENSEARCH_H
#define SEQUOIAGATE_DECISIONS_TOKENSEARCH_H

/// Requests tokens of peers for one request while the store is unreachable: first of the near home,
/// then of all homes, then, for urgent requests, of other peers. Pure.
///
/// The next round is due as soon as the last one is answered, so that a request that can't be
/// served is refused after a few milliseconds.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct TokenSearchSettings
{
    /// After this time without all responses, the next round is due. Peers respond within a few
    /// milliseconds; a request waits for 200 ms at most, which leaves time for three such rounds.
    Interval responseTimeout = std::chrono::milliseconds(50);
    /// Time in which a peer that can claim tokens has them.
    Interval claimTime = std::chrono::milliseconds(60);
    /// Peers that get a request of the last round, if there are as many.
    std::size_t maxPeersPerRound = 8;
};

/// Not thread safe.
class TokenSearch
{
public:
    /// The rounds, numbered as in token requests.
    enum Round : uint32_t {
        NearHome = 0,
        AllHomes = 1,
        OtherPeers = 2,
    };

    /// \param homes number of other hosts that are homes of the workspace
    /// \param peers number of other hosts
    /// \param asksOtherPeers whether peers that aren't homes are asked too
    TokenSearch(std::size_t homes, std::size_t peers, bool asksOtherPeers,
                TokenSearchSettings settings = {});

    /// The round to send now; it then counts as sent. nullopt: none is due yet, or none is left.
    std::optional<Round> nextRound(Instant now);
    /// \p from has responded. \p hasMoreSoon: it may have more tokens in a moment.
    void onResponse(const Incarnation &from, bool hasMoreSoon);
    /// Whether all rounds were answered or timed out, and no peer will have more tokens soon.
    bool isOver(Instant now) const;

private:
    std::size_t recipients(Round round) const;
    bool isComplete(Instant now) const;
    std::optional<Round> following() const;

    std::size_t homes_;
    std::size_t peers_;
    bool asksOtherPeers_;
    TokenSearchSettings settings_;
    std::optional<Round> sent_; ///< the last round
    Instant sentAt_{};
    std::set<Incarnation> responded_; ///< in the last round
    bool hasMoreSoon_ = false;        ///< a peer may have more tokens soon
};

} // namespace sequoiagate

#endif
