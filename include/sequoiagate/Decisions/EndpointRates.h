#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTRATES_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTRATES_H

/// Learns from responses how fast endpoints work, together with the other hosts. Pure.
///
/// A host sees each of 90 endpoints about once in 10 s, too rarely for a rate of its own. Two
/// collectors per endpoint, chosen by rendezvous hashing in different failure domains, therefore
/// get the measurements of all hosts, and publish the rate:
/// - A measurement is sent to the collectors at once, and nowhere else, so it is counted once. If
///   hosts merged estimates by gossip, each would have to keep and send what each other host
///   contributed, or count it twice.
/// - A published rate replaces an older one. It spreads by gossip, a few records to one host per
///   round. A rate that has changed considerably is sent to all hosts at once, since gossip takes
///   several rounds to reach all hosts, and a slow endpoint is to be known within 2 s.
/// - Cost: measurements that agree with the published rate are thinned out, the rest having a
///   higher weight; the sends to all hosts have a budget for the whole fleet. So the cost per host
///   doesn't depend on the number of hosts.
/// - The second collector gets each rate that the first one publishes, and publishes only after
///   3 s without one. Two that publish would alternate where messages are lost. If both are gone,
///   which takes two failure domains, the endpoint's rate fades to the usual one until the hosts'
///   list changes, and placement is as good as without rates.
///
/// Hosts of earlier versions neither send nor collect. While both collectors of an endpoint are
/// such hosts, it counts as unknown.

#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Decisions/EndpointProcess.h"
#include "sequoiagate/Decisions/EndpointRate.h"
#include "sequoiagate/Decisions/EndpointRateEstimates.h"
#include "sequoiagate/Decisions/Estimates.h"
#include "sequoiagate/Decisions/ReplicaPlacement.h"
#include "sequoiagate/Decisions/WorkItem.h"

namespace sequoiagate {

/// Identifies an endpoint's process in messages. Thread safe.
uint32_t processKey(const EndpointProcess &process);

/// What one measurement, or the fleet, says of an endpoint. The factors are relative to what hosts
/// usually measure; 0: not measured.
struct SharedRate
{
    uint32_t process = 0; ///< processKey()
    double prefillFactor = 0.0;
    double decodeFactor = 0.0;
    uint32_t samples = 0;
    Instant observedAt{};
};

/// Not thread safe.
class EndpointRates : public EndpointRateSource
{
public:
    /// How often tick() is to be called.
    static constexpr Interval RoundInterval = std::chrono::milliseconds(500);
    /// A rate fades to the usual one between these ages of its newest sample, so that an endpoint
    /// that isn't used because it was slow gets requests again.
    static constexpr Interval FullAge = std::chrono::seconds(10);
    static constexpr Interval FadedAge = std::chrono::seconds(25);
    /// A factor is logged when it crosses this.
    static constexpr double SlowFactor = 1.5;
    /// Time constant of a host's load.
    static constexpr Interval LoadTime = std::chrono::seconds(3);

    EndpointRates(const HostId &self, const DomainId &domain);

    /// Called with measurements for a collector.
    std::function<void(const HostId &to, const SharedRate &measurement)> sendMeasurement;
    /// Called with a rate that this host publishes, for the other collector of its endpoint.
    std::function<void(const HostId &to, const SharedRate &rate)> sendRate;
    /// Called with rates for the next host in rotation.
    std::function<void(const std::vector<SharedRate> &)> gossipRates;
    /// Called with a rate that has changed considerably, for all hosts.
    std::function<void(const SharedRate &)> broadcastRate;
    /// Called when a factor of \p endpoint crosses SlowFactor.
    std::function<void(const EndpointId &endpoint, const EndpointRate &rate, bool isSlow)>
            onCrossed;

    /// In fleets of fewer hosts, nothing is measured or sent, and no rate is known.
    void setMinHosts(std::size_t count) { minHosts_ = count; }
    /// Sets the other hosts.
    void setHosts(const std::vector<HostPlace> &others);
    /// Adds an endpoint, or the process that replaces its process, of which nothing is known.
    void setEndpoint(const EndpointProcess &process, const ServiceId &service);
    void removeEndpoint(const EndpointId &endpoint);

    /// A request is sent to \p endpoint; \p item has its prefix.
    void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now);
    void onFirstEvent(const EndpointId &endpoint, const RequestId &request, Instant now);
    /// \p events have come since the last call for the request, or its first event. 0: the time
    /// since then isn't the endpoint's.
    void onProgress(const EndpointId &endpoint, const RequestId &request, uint64_t events,
                    Instant now);
    void onEnd(const RequestId &request) { open_.erase(request); }

    /// Takes a measurement of host \p from, which chose this one as a collector.
    /// \returns false if it is of an unknown process
    bool onMeasurement(const SharedRate &measurement, const HostId &from, Instant now);
    /// Takes over the load that another host states of itself.
    void onHostLoad(const HostId &host, double requestsPerSecond, Instant now);
    /// Requests that this host sends per second, averaged over a few seconds.
    double requestsPerSecond(Instant now) const;
    /// Takes over a published rate. \returns false if it is of an unknown process
    bool onRate(const SharedRate &rate, Instant now);
    /// Publishes and gossips. To be called each RoundInterval.
    void tick(Instant now);

    EndpointRate rateOf(const EndpointId &endpoint, Instant now) const override;
    std::optional<double> hostShare(Instant now) const override;
    /// The number of endpoints whose rate is known.
    std::size_t knownCount(Instant now) const;

private:
    struct Endpoint
    {
        EndpointProcess process;
        ServiceId service;
        std::vector<HostId> collectors; ///< the preferred first
        RateEstimate prefill;           ///< of measurements sent to this host
        /// The prefill of other prompts lies between two events of a stream and only adds to their
        /// distance, so the shorter ones tell the endpoint's speed from its load.
        RateEstimate decode{0.35};
        Instant measuredAt{};
        SharedRate rate;        ///< as published; no samples: none is
        Instant changedAt{};    ///< when the factors of a known rate changed
        bool isOwnRate = false; ///< published by this host
        bool isUrgent = false;  ///< to be broadcast as soon as the budget allows it
        Instant mayBroadcastAt{};
        uint32_t gossiped = 0; ///< how often since gossipedAt
        Instant gossipedAt{};  ///< observedAt of the rate that was to be gossiped again
        EndpointRate relative; ///< rate over the median of the service
        bool isSlow = false;   ///< as last reported
    };

    /// A stream that is open at an endpoint.
    struct OpenRequest
    {
        EndpointId endpoint;
        uint32_t size = 0;
        Instant sentAt{};
        Instant lastEventAt{}; ///< epoch before the first event
    };

    /// How many measurements of one kind are sent.
    struct Sampling
    {
        uint32_t measured = 0;      ///< in this round
        uint32_t sent = 0;          ///< in this round
        double usualMeasured = 0.0; ///< moving mean of the rounds
        uint32_t weight = 1;        ///< of measurements that agree with the published rate
    };

    struct HostLoad
    {
        double requestsPerSecond = 0.0;
        Instant statedAt{};
    };

    struct ServiceTimes
    {
        RelativeTimes prefill;
        RelativeTimes decode;
    };

    /// Median factors over the endpoints of a service.
    struct UsualFactors
    {
        double prefill = 1.0;
        double decode = 1.0;
    };

    Endpoint *findByKey(uint32_t key);
    OpenRequest *findOpen(const EndpointId &endpoint, const RequestId &request);
    uint64_t uncachedTokens(const EndpointId &endpoint, const WorkItem &item, Instant now);
    void chooseCollectors(Endpoint &endpoint) const;
    /// Sends \p measurement to the collectors, unless it is thinned out.
    void share(Endpoint &endpoint, SharedRate measurement, Sampling &sampling, Instant now);
    void measurePrefill(Endpoint &endpoint, const OpenRequest &open, Instant now);
    void measureDecode(Endpoint &endpoint, Interval time, Instant now);
    void collect(Endpoint &endpoint, const SharedRate &measurement, const HostId &from,
                 Instant now);
    /// The rank of this host among the collectors of \p endpoint; their number if it is none.
    std::size_t rankAt(const Endpoint &endpoint) const;
    void publish(Endpoint &endpoint, Instant now);
    void setRate(Endpoint &endpoint, const SharedRate &rate, Instant now);
    bool mayPublish(const Endpoint &endpoint, Instant now) const;
    SharedRate estimateOf(const Endpoint &endpoint) const;
    /// Broadcasts the rate of \p endpoint if it is urgent and the budget allows it.
    void broadcastUrgent(Endpoint &endpoint, Instant now);
    void gossip(Instant now);
    void updateUsual(Instant now);
    void updateRelative(Endpoint &endpoint, Instant now);
    void dropExpired(Instant now);

    bool isActive() const { return hosts_.size() >= minHosts_; }

    HostId self_;
    DomainId domain_;
    std::size_t minHosts_ = 1;
    std::vector<HostPlace> hosts_; ///< including this one
    std::unordered_map<EndpointId, Endpoint> endpoints_;
    std::unordered_map<uint32_t, EndpointId> byKey_;
    std::unordered_map<ServiceId, ServiceTimes> times_;
    std::unordered_map<ServiceId, UsualFactors> usual_;
    std::unordered_map<RequestId, OpenRequest> open_;
    std::unordered_map<uint64_t, Instant> cachedUntil_; ///< prefixes sent to endpoints
    /// Prompts sent to endpoints. Short enough to follow a burst, and long enough for a host with
    /// one request per second.
    DecayingSum sent_{LoadTime};
    std::unordered_map<HostId, HostLoad> loads_; ///< of the other hosts
    Sampling prefillSampling_;
    Sampling decodeSampling_;
    Instant mayBroadcastAt_{};
    std::mt19937_64 random_;
};

} // namespace sequoiagate

#endif
