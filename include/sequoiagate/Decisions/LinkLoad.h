#ifndef SEQUOIAGATE_DECISIONS_LINKLOAD_H
#define SEQUOIAGATE_DECISIONS_LINKLOAD_H

/// Whether this host's network link has spare capacity. Pure.
///
/// Guards against callers that always use one host, and against a load balancer whose hash
/// gives a host several times its share. Prompts of 18 KB fill a link of 10 Mbit/s at 60
/// requests a second while the processor idles: packets are delayed by half a second,
/// connections to endpoints time out, each timeout sends a prompt again, and almost nothing
/// is served. A host whose link is nearly full accepts no new callers and closes existing
/// connections after their responses, so that the callers reconnect to other hosts. Above a
/// second threshold it refuses large requests, which saves outbound bandwidth.
///
/// A single caller that fills the link returns through the balancer's hash as soon as the host
/// accepts callers again. Each return costs about four seconds in which most requests fail,
/// until the balancer notices. A host whose link fills again soon therefore sheds load for
/// twice as long.

#include <cstdint>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct LinkLoadSettings
{
    uint64_t bytesPerSecond = 0; ///< in each direction; 0: unknown, and never full
    /// Link utilization above which callers are sent to other hosts: queues grow without bound
    /// at 1, and handshakes of connections and retransmissions aren't counted.
    double shedThreshold = 0.8;
    double refuseThreshold = 0.98;
    /// The time over which bytes are counted: long compared with one prompt's transmission
    /// (15 ms at 10 Mbit/s), short compared with the second that callers wait for a response.
    Interval window = std::chrono::milliseconds(500);
    /// Minimum duration of shedding: the balancer checks once a second and needs two results.
    Interval shedDuration = std::chrono::seconds(3);
    /// A link that is full again within this time after shedding ended was filled by returning
    /// callers: users whose load comes in waves take up to the wave's period of 8 to 13 s.
    Interval recurrenceWindow = std::chrono::seconds(15);
    /// Shedding lasts twice as long at each recurrence, up to this many times: at most 48 s.
    uint32_t maxDoublings = 4;
    /// Smaller requests are never refused: they don't fill the link.
    uint64_t minRefusedBytes = 4096;
};

/// Not thread safe.
class LinkLoad
{
public:
    explicit LinkLoad(LinkLoadSettings settings) : settings_(settings) {}

    void setBytesPerSecond(uint64_t bytes) { settings_.bytesPerSecond = bytes; }
    /// \p bytes are those of one message, which the link carries with the headers of its segments.
    void onReceived(uint64_t bytes, Instant now);
    void onSent(uint64_t bytes, Instant now);
    /// Whether callers are to be sent to other hosts.
    bool shedding(Instant now);
    /// Whether a request of \p bytes is to be refused.
    bool refuses(uint64_t bytes, Instant now) const;
    /// Whether traffic may be delayed because the link is nearly full.
    bool busy(Instant now) const { return share(now) > settings_.shedThreshold; }
    /// Utilization of the fuller direction; above 1 traffic is delayed.
    double share(Instant now) const;

private:
    /// Byte counts of the current and the previous window.
    struct Direction
    {
        void add(uint64_t bytes, Instant now, Interval window);
        double bytesInWindow(Instant now, Interval window) const;

        Instant windowStart{};
        uint64_t current = 0;
        uint64_t previous = 0;
    };

    void addMessage(Direction &data, Direction &acknowledgements, uint64_t bytes,
                    Instant now) const;

    LinkLoadSettings settings_;
    Direction in_;
    Direction out_;
    Instant sheddingUntil_{};
    uint32_t doublings_ = 0;
};

} // namespace sequoiagate

#endif
