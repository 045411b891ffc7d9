#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTHEALTH_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTHEALTH_H

/// Outlier detection: which endpoints are slow or failing compared with their peers,
/// and how they return to service.
///
/// Guards against two failures. A slow endpoint that doesn't fail passes every health
/// check; its callers get late first tokens, and as its streams stay open longest it
/// holds a growing share of all slots. An endpoint that returns has a cold cache and,
/// having no requests, attracts all new ones at once: its first callers wait longest
/// and it is ejected again.
///
/// - An endpoint is compared with the median of its peers, not with a fixed limit: under
///   overload all of them are slow, and ejecting any would only make it worse.
/// - An endpoint's own figure is a median as well. It leaves out first tokens that waited
///   for a slot, and delays too short to notice. With a mean, endpoints that a few
///   requests overloaded at saturation were ejected, their load overloaded the next, and
///   18% of the capacity was idle.
/// - At most a third of the peers are out of service, and at most a tenth of them (but at
///   least one) is ejected per second: a fault seen at all endpoints, in the network or
///   in this router, must not empty the fleet or concentrate its load on a few.
/// - An ejection lasts 10 s, doubled each time up to a minute. The endpoint then gets one
///   request at a time, and three good ones end the ejection: a slow endpoint costs one
///   late caller a minute, not one in every round.
/// - Its share then grows over 10 s (slow start), the time in which its cache fills and
///   its peers' streams, which last 13 s, are replaced.

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
    /// A factor of the peers' median. Of moving means over up to 16 samples of an endpoint,
    /// 10% reach 2.
    double slowFactor = 3.0;
    double failureMargin = 0.3;       ///< above the peers' median failure share
    double maxEjectedShare = 1.0 / 3; ///< of the peers; 0 turns ejection off
    double ejectionBatchShare = 0.1;  ///< of the peers, ejected in one ejectionInterval
    Interval ejectionInterval = std::chrono::seconds(1);
    Interval reviewInterval = std::chrono::milliseconds(250);
    Interval firstEjection = std::chrono::seconds(10);
    Interval maxEjection = std::chrono::seconds(60);
    Interval slowStart = std::chrono::seconds(10);
};

/// Health statistics of one endpoint. Not thread safe.
class EndpointHealth
{
public:
    EndpointHealth();

    /// \param expected the first token's time by the prompt's length, on any scale that
    ///     all peers share
    /// \param full the endpoint has no free slot as far as is known: a delay there is due
    ///     to queueing, and its first token says nothing about its health
    void onSent(const RequestId &request, Interval expected, bool full, Instant now);
    void onFirstToken(const RequestId &request, Instant now);
    /// \param firstToken used if onFirstToken wasn't called; 0: no token arrived
    void onEnd(const RequestId &request, bool succeeded, Interval firstToken, uint64_t tokens,
               Instant now);

    /// Whether the endpoint is out of service.
    bool ejected(Instant now) const { return now < ejectedUntil_; }
    /// Whether the endpoint is back after an ejection but gets one request at a time.
    bool probing(Instant now) const { return probesLeft_ > 0 && !ejected(now); }
    /// Whether the next probe may be sent: the last one has its first token.
    bool wantsProbe(Instant now) const { return probing(now) && pending_.empty(); }
    /// Expected prefill time of this router's requests that have no first token yet; zero
    /// until onFirstToken has been called.
    Interval pendingWork() const;
    /// The share of its slots that may be used: below 1 during slow start.
    double slowStartShare(Instant now) const;
    /// Begins the slow start of an endpoint that is new or was unavailable.
    void beginSlowStart(Instant now, const HealthSettings &settings);

    /// First tokens are compared with those of peers over the same period. Ten that were
    /// late in a burst, kept until the peers' median had fallen, ejected a third of the
    /// fleet 20 s after the burst.
    static constexpr Interval FirstTokenLifetime = std::chrono::seconds(5);

private:
    friend class OutlierDetection;

    struct OpenAttempt
    {
        Interval expected;
        Instant sentAt;
        bool full = false;
        Instant firstTokenAt = Never;
    };

    /// Whether an attempt describes the endpoint's current state: it was sent after the
    /// last ejection ended.
    bool isCurrent(const OpenAttempt &open) const { return open.sentAt >= ejectedUntil_; }
    void sampleFirstToken(OpenAttempt &open, Instant at);
    void removePending(const RequestId &request, const OpenAttempt &open);
    /// Ratio of first-token time to expected time, 0 with fewer than \p minSamples samples.
    double slowness(std::size_t minSamples, Instant now) const;
    double tokenSlowness() const;
    /// Ratio of waiting time to expected time for the oldest requests still without a
    /// first token; 0 if there are too few of them.
    double pendingSlowness(Instant now) const;

    // The members that each selection reads come first, to share cache lines.
    Instant ejectedUntil_;
    Instant slowStartFrom_;
    Instant slowStartUntil_;
    Interval pendingWork_{};
    uint32_t probesLeft_ = 0;
    bool firstTokensReported_ = false; ///< onFirstToken has been called

    std::unordered_map<RequestId, OpenAttempt> open_;
    std::deque<RequestId> pending_; ///< in flight without a first token, oldest first
    Instant firstTokensExpireAt_;   ///< the first-token samples are discarded then
    RecentMedian firstToken_;       ///< over the expected time
    RecentMedian firstTokenSeconds_;
    RecentMedian tokenSeconds_;
    MovingMean failures_;
    uint32_t ejections_ = 0;
    Instant ejectionsExpireAt_; ///< ejections_ starts at 0 again then
};

/// Compares peers, which serve the same services, and ejects outliers. Not thread safe.
class OutlierDetection
{
public:
    explicit OutlierDetection(HealthSettings settings) : settings_(settings) {}

    const HealthSettings &settings() const { return settings_; }
    /// Whether a review is due: its interval is over or an attempt failed.
    bool due(Instant now) const { return now >= nextReviewAt_; }
    void requestReview() { nextReviewAt_ = Instant(); }
    /// Whether a peer was ejected or probing at the last review; only a review ejects.
    bool anyOutOfService() const { return anyOutOfService_; }
    /// Ejects outliers among \p peers and evaluates probes.
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
    void evaluateProbe(EndpointHealth &health, const Medians &medians, Instant now);
    void eject(EndpointHealth &health, Instant now);

    HealthSettings settings_;
    bool anyOutOfService_ = false;
    Instant nextReviewAt_;
    Instant nextEjectionAt_;
};

} // namespace sequoiagate

#endif
