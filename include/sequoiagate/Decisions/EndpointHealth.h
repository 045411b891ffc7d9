#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTHEALTH_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTHEALTH_H

/// Which endpoints are slow or failing beside their peers, and how they return.
///
/// Answers a slow endpoint that doesn't fail, and an endpoint that returns. A slow one
/// looks healthy to every probe; its callers see first tokens late by its factor, and
/// as its streams stay open longest it holds a growing part of all slots. One that
/// returns is cold and, having nothing in hand, draws everything at once: its first
/// callers wait longest and it is ejected again.
///
/// - The yardstick is the median of the peers, not a fixed limit: under overload all
///   are slow, and ejecting any would only make it worse.
/// - An endpoint's own measure is a median as well, leaves out first tokens that waited
///   for a slot, and those that nobody notices. By a mean, endpoints that a few requests
///   overran at saturation were ejected, their load overran the next, and 18% of the
///   capacity stood idle.
/// - Never more than a third of the peers are out, and only a tenth of them (one at
///   least) leaves in a second: a fault that is seen everywhere, in the network or in
///   this router, must not empty the fleet, nor pile its load on a few.
/// - An ejection lasts 10 s, doubled each time up to a minute. Then one request at a
///   time goes there, and three good ones end the ejection: a slow endpoint costs one
///   late caller a minute, not one in a round.
/// - Its share then grows over 10 s, the time in which its cache fills and in which its
///   peers' streams, 13 s long, hand over.

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

struct HealthSettings
{
    double slowFactor = 3.0;      ///< times the peers' median; 10% of such means reach 2
    double failureMargin = 0.3;   ///< above the peers' median failure share
    double mostEjected = 1.0 / 3; ///< of the peers; 0 turns ejection off
    double shiftShare = 0.1;      ///< of the peers, that may leave in one shiftInterval
    Interval shiftInterval = std::chrono::seconds(1);
    Interval reviewInterval = std::chrono::milliseconds(250);
    Interval firstEjection = std::chrono::seconds(10);
    Interval longestEjection = std::chrono::seconds(60);
    Interval slowStart = std::chrono::seconds(10);
};

/// What is known of one endpoint's health. Not thread safe.
class EndpointHealth
{
public:
    EndpointHealth();

    /// \param expected the first token's time by the prompt's length, on any scale that
    ///     all peers share
    /// \param full it has no free slot as far as is known: a wait there is its queue's,
    ///     and its first token no evidence of sickness
    void onSent(const RequestId &request, Interval expected, bool full, Instant now);
    void onFirstToken(const RequestId &request, Instant now);
    /// \param firstToken counts when onFirstToken wasn't called; 0: none came
    void onEnd(const RequestId &request, bool succeeded, Interval firstToken, uint64_t tokens,
               Instant now);

    /// Out for now: no work.
    bool ejected(Instant now) const { return now < ejectedUntil_; }
    /// Back after an ejection, but not yet trusted: one request at a time.
    bool probing(Instant now) const { return probesLeft_ > 0 && !ejected(now); }
    /// Whether the next probe may be sent: the last one has its first token.
    bool wantsProbe(Instant now) const { return probing(now) && pending_.empty(); }
    /// Expected prefill of this router's requests that have no first token yet; zero while
    /// onFirstToken was never called.
    Interval pendingWork() const;
    /// The part of its slots it may fill: below 1 while it returns.
    double rampShare(Instant now) const;
    /// Starts a slow start, of an endpoint that is new or was away.
    void startRamp(Instant now, const HealthSettings &settings);

    /// First tokens are compared with those of peers in the same while. Ten that came
    /// late in a burst, kept until the peers' median had fallen, ejected a third of the
    /// fleet 20 s after the burst.
    static constexpr Interval FirstTokensLast = std::chrono::seconds(5);

private:
    friend class OutlierDetection;

    struct OpenTry
    {
        Interval expected;
        Instant sentAt;
        bool full = false;
        Instant firstTokenAt = Never;
    };

    /// Whether a try says something of how the endpoint is now: it was sent after the
    /// last ejection was over.
    bool counts(const OpenTry &open) const { return open.sentAt >= ejectedUntil_; }
    void sampleFirstToken(OpenTry &open, Instant at);
    void noLongerPending(const RequestId &request, const OpenTry &open);
    /// First-token time over the expected, 0 with fewer samples than \p fewest.
    double slowness(std::size_t fewest, Instant now) const;
    double tokenSlowness() const;
    /// How late the oldest requests still without a first token are, over the expected
    /// time; 0 if there are too few to tell.
    double pendingSlowness(Instant now) const;

    // What each choice reads stands together, for the cache.
    Instant ejectedUntil_;
    Instant rampFrom_;
    Instant rampUntil_;
    Interval pendingWork_{};
    uint32_t probesLeft_ = 0;
    bool firstTokensTold_ = false; ///< onFirstToken is called at all

    std::unordered_map<RequestId, OpenTry> open_;
    std::deque<RequestId> pending_; ///< open ones without a first token, oldest first
    Instant firstTokensExpireAt_;   ///< no first token counted for so long: old news
    RecentMedian firstToken_;       ///< over the expected time
    RecentMedian firstTokenSeconds_;
    RecentMedian tokenSeconds_;
    MovingMean failures_;
    uint32_t ejections_ = 0;
    Instant forgiveAt_;
};

/// Compares peers, which serve the same services, and ejects outliers. Not thread safe.
class OutlierDetection
{
public:
    explicit OutlierDetection(HealthSettings settings) : settings_(settings) {}

    const HealthSettings &settings() const { return settings_; }
    /// Whether review has something to do: its interval is over or a try failed.
    bool due(Instant now) const { return now >= nextReviewAt_; }
    void reviewSoon() { nextReviewAt_ = Instant(); }
    /// Whether a peer was out or probing at the last review; only a review ejects.
    bool someOut() const { return someOut_; }
    /// Ejects outliers among \p peers and settles probes.
    void review(std::span<EndpointHealth *const> peers, Instant now);

private:
    struct Medians
    {
        double firstToken = 0.0;
        double token = 0.0;
        double failures = 0.0;
    };

    static Medians mediansOf(std::span<EndpointHealth *const> peers, Instant now);
    bool isOutlier(const EndpointHealth &health, const Medians &medians, Instant now) const;
    void settleProbe(EndpointHealth &health, const Medians &medians, Instant now);
    void eject(EndpointHealth &health, Instant now);

    HealthSettings settings_;
    bool someOut_ = false;
    Instant nextReviewAt_;
    Instant nextShiftAt_;
};

} // namespace sequoiagate

#endif
