#include "sequoiagate/Decisions/TokenSearch.h"

#include <algorithm>

namespace sequoiagate {

TokenSearch::TokenSearch(std::size_t homes, std::size_t peers, bool asksOtherPeers,
                         TokenSearchSettings settings)
    : homes_(homes), peers_(peers), asksOtherPeers_(asksOtherPeers), settings_(settings)
{}

std::size_t TokenSearch::recipients(Round round) const
{
    switch (round) {
    case NearHome:
        return std::min<std::size_t>(homes_, 1);
    case AllHomes:
        return homes_;
    case OtherPeers:
        return asksOtherPeers_ ? std::min(peers_, settings_.maxPeersPerRound) : 0;
    }
    return 0;
}

std::optional<TokenSearch::Round> TokenSearch::following() const
{
    for (const Round round : {NearHome, AllHomes, OtherPeers}) {
        const bool isRepeat = round == AllHomes && homes_ == 1;
        if ((!sent_ || round > *sent_) && recipients(round) > 0 && !isRepeat) {
            return round;
        }
    }
    return std::nullopt;
}

bool TokenSearch::isComplete(Instant now) const
{
    return !sent_ || responded_.size() >= recipients(*sent_)
           || now >= sentAt_ + settings_.responseTimeout;
}

std::optional<TokenSearch::Round> TokenSearch::nextRound(Instant now)
{
    if (!isComplete(now)) {
        return std::nullopt;
    }
    std::optional<Round> round = following();
    const bool repeats = !round && hasMoreSoon_ && now >= sentAt_ + settings_.claimTime;
    if (repeats) {
        // Homes count the requests of the first round as new demand, so it isn't repeated.
        round = homes_ > 0 ? AllHomes : OtherPeers;
        hasMoreSoon_ = false;
    }
    if (round) {
        sent_ = round;
        sentAt_ = now;
        responded_.clear();
    }
    return round;
}

void TokenSearch::onResponse(const Incarnation &from, bool hasMoreSoon)
{
    responded_.insert(from);
    hasMoreSoon_ = hasMoreSoon_ || hasMoreSoon;
}

bool TokenSearch::isOver(Instant now) const
{
    return isComplete(now) && !following() && !hasMoreSoon_;
}

} // namespace sequoiagate
