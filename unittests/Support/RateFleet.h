#ifndef SEQUOIAGATE_UNITTESTS_SUPPORT_RATEFLEET_H
#define SEQUOIAGATE_UNITTESTS_SUPPORT_RATEFLEET_H

/// A simulated fleet of hosts that learn rates of endpoints from each other, by the real messages.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "sequoiagate/Decisions/EndpointRates.h"

namespace sequoiagate {

struct RateFleetSettings
{
    int hosts = 65;
    int endpoints = 90;
    double digestsPerSecond = 207.0; ///< 9,190 prompt tokens, 6,300 shared, 7 events
    double chatsPerSecond = 351.0;   ///< 826 prompt tokens, 198 shared, 42 events
    double messageLoss = 0.0;
    double silentShare = 0.0; ///< of the hosts, which neither send nor receive rates
    bool isNoiseInPeriods = false;
    uint64_t seed = 1;
};

/// Not thread safe.
class RateFleet
{
public:
    explicit RateFleet(RateFleetSettings settings);

    Instant now() const { return now_; }
    void runFor(Interval time);
    /// \p factor of the times of endpoint \p index from now on.
    void setFactor(int index, double factor) { factors_.at(index) = factor; }
    double factor(int index) const { return factors_.at(index); }
    /// How long prompts wait at endpoint \p index until they are prefilled, from now on.
    void setQueue(int index, Interval wait) { queues_.at(index) = wait; }
    /// Multiplies the times of all endpoints.
    void setLoad(double factor) { load_ = factor; }
    /// Multiplies all times that host \p index measures.
    void setHostSlowdown(int index, double factor) { hosts_.at(index).slowdown = factor; }
    /// Replaces the process of endpoint \p index.
    void restart(int index);
    /// Ends host \p index, which the others don't notice.
    void kill(int index) { hosts_.at(index).isAlive = false; }

    EndpointRate rate(int host, int endpoint) const;
    /// What the hosts that take part say of endpoint \p index.
    std::vector<EndpointRate> rates(int endpoint) const;
    /// The share of them for which \p predicate holds.
    double shareOf(int endpoint, const std::function<bool(const EndpointRate &)> &predicate) const;
    bool takesPart(int host) const { return hosts_.at(host).takesPart && hosts_.at(host).isAlive; }

    uint64_t bytesSent() const { return bytesSent_; }
    uint64_t bytesSentBy(int host) const { return hosts_.at(host).bytesSent; }
    uint64_t bytesReceivedBy(int host) const { return hosts_.at(host).bytesReceived; }
    std::size_t largestDatagram() const { return largestDatagram_; }

private:
    struct Host
    {
        HostId id;
        std::unique_ptr<EndpointRates> rates;
        std::size_t nextGossiped = 0;
        double slowdown = 1.0;
        bool takesPart = true;
        bool isAlive = true;
        uint64_t bytesSent = 0;
        uint64_t bytesReceived = 0;
    };

    struct Task
    {
        Instant at;
        uint64_t order;
        std::function<void()> run;
    };

    struct Later
    {
        bool operator()(const Task &a, const Task &b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    struct Stream
    {
        int host;
        int endpoint;
        RequestId request;
        int eventsLeft;
    };

    void schedule(Interval delay, std::function<void()> run);
    void addHost(int index);
    void tick(int host);
    void arrive();
    void begin(int host, int endpoint, bool isDigest);
    void continueStream(const Stream &stream);
    void transmit(int from, int to, const std::vector<SharedRate> &measured,
                  const std::vector<SharedRate> &rates);
    /// Multiplies the time of one request, or of one step.
    double noise(int endpoint);
    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }
    EndpointId endpointId(int index) const { return EndpointId("e" + std::to_string(index)); }

    RateFleetSettings settings_;
    std::mt19937_64 random_;
    Instant now_{std::chrono::hours(1)};
    std::vector<Host> hosts_;
    std::vector<double> factors_;
    std::vector<Interval> queues_;
    std::vector<uint64_t> processes_;
    std::map<HostId, int> byId_;
    double load_ = 1.0;
    std::priority_queue<Task, std::vector<Task>, Later> tasks_;
    uint64_t lastOrder_ = 0;
    uint64_t lastRequest_ = 0;
    uint64_t bytesSent_ = 0;
    std::size_t largestDatagram_ = 0;
};

} // namespace sequoiagate

#endif
