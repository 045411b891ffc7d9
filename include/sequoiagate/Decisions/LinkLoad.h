#ifndef SEQUOIAGATE_DECISIONS_LINKLOAD_H
#define SEQUOIAGATE_DECISIONS_LINKLOAD_H

/// Whether this host's network link still has room. Pure.
///
/// Answers callers that keep to one host, or a balancer's hash that gives it several times
/// its share. Prompts of 18 KB fill a link of 10 Mbit/s at 60 requests a second, while the
/// processor idles: packets wait for half a second, connections to endpoints time out, each
/// time-out sends a prompt again, and next to nothing is served. A host whose link fills takes
/// no new callers and closes the connections of those it has behind their answers, so that
/// they come back elsewhere; beyond that large requests are refused, which spares the way out.
/// A caller that alone fills the link comes back with the balancer's hash as soon as the host
/// takes callers again: each return costs some four seconds in which most requests fail, until
/// the balancer has noticed. So a host that fills again soon stays away twice as long.

#include <cstdint>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct LinkLoadSettings
{
    uint64_t bytesPerSecond = 0; ///< each way; 0: unknown, and never full
    /// Of the link, from which callers are sent elsewhere: queues grow without bound at 1, and
    /// frames and acknowledgements take some 5% that isn't counted.
    double shedAbove = 0.75;
    double refuseAbove = 0.92;
    /// The time over which bytes are counted: long beside one prompt's way through (15 ms at
    /// 10 Mbit/s), short beside the second that callers wait for an answer.
    Interval window = std::chrono::milliseconds(500);
    /// Shedding lasts so long at least: the balancer asks once a second and needs two answers.
    Interval shedFor = std::chrono::seconds(3);
    /// A link that is full again so soon after the shedding ended was filled by who came back:
    /// callers of users that press in waves need up to the wave's period of 8 to 13 s for it.
    Interval settledAfter = std::chrono::seconds(15);
    /// Each such time the next shedding lasts twice as long, so many times: up to 48 s.
    uint32_t mostDoublings = 4;
    /// Smaller requests are never refused: they aren't what fills the link.
    uint64_t largeBytes = 4096;
};

/// Not thread safe.
class LinkLoad
{
public:
    explicit LinkLoad(LinkLoadSettings settings) : settings_(settings) {}

    void setBytesPerSecond(uint64_t bytes) { settings_.bytesPerSecond = bytes; }
    void onReceived(uint64_t bytes, Instant now) { in_.add(bytes, now, settings_.window); }
    void onSent(uint64_t bytes, Instant now) { out_.add(bytes, now, settings_.window); }
    /// Whether callers are to go elsewhere.
    bool shedding(Instant now);
    /// Whether a request of \p bytes is to be refused.
    bool refuses(uint64_t bytes, Instant now) const;
    /// Whether what is sent and asked for may be late for the link's sake.
    bool busy(Instant now) const { return share(now) > settings_.shedAbove; }
    /// The fuller way's part of the link; above 1 it is late.
    double share(Instant now) const;

private:
    /// Bytes in the window that runs and in the one before.
    struct Direction
    {
        void add(uint64_t bytes, Instant now, Interval window);
        double over(Instant now, Interval window) const;

        Instant begun{};
        uint64_t current = 0;
        uint64_t previous = 0;
    };

    LinkLoadSettings settings_;
    Direction in_;
    Direction out_;
    Instant sheddingUntil_{};
    uint32_t doublings_ = 0;
};

} // namespace sequoiagate

#endif
