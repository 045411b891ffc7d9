#include "RateFleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "lib/Edge/EndpointRateMessage.h"

namespace sequoiagate {

namespace {

const ServiceId Service("s");
constexpr int Domains = 3;

/// Prompt tokens per millisecond, the time of a decoding step, and how often hosts see progress.
constexpr double TokensPerMs = 56.6;
constexpr double StepMs = 45.0;
constexpr int ProgressEvents = 4;

/// Periods of slowness: a seventh of the time.
constexpr double PeriodSeconds = 3.5;
constexpr double SlowPeriodShare = 1.0 / 7.0;

constexpr double UncachedShare = 0.05;

Interval millis(double value)
{
    return std::chrono::duration_cast<Interval>(std::chrono::duration<double, std::milli>(value));
}

} // namespace

RateFleet::RateFleet(RateFleetSettings settings)
    : settings_(settings), random_(settings.seed), factors_(settings.endpoints, 1.0),
      queues_(settings.endpoints, Interval::zero()), processes_(settings.endpoints, 1)
{
    hosts_.resize(settings_.hosts);
    std::vector<HostPlace> places;
    for (int i = 0; i < settings_.hosts; ++i) {
        hosts_[i].id = HostId("host-" + std::to_string(i));
        byId_[hosts_[i].id] = i;
        places.push_back({hosts_[i].id, DomainId("d" + std::to_string(i % Domains))});
    }
    std::vector<int> shuffled(hosts_.size());
    std::iota(shuffled.begin(), shuffled.end(), 0);
    std::shuffle(shuffled.begin(), shuffled.end(), random_);
    for (int i = 0; i < static_cast<int>(settings_.silentShare * settings_.hosts); ++i) {
        hosts_[shuffled[i]].takesPart = false;
    }
    for (int i = 0; i < settings_.hosts; ++i) {
        addHost(i);
        std::vector<HostPlace> others = places;
        others.erase(others.begin() + i);
        hosts_[i].rates->setHosts(others);
        schedule(millis(500.0 * uniform()), [this, i] { tick(i); });
    }
    schedule(Interval::zero(), [this] { arrive(); });
}

void RateFleet::addHost(int index)
{
    Host &host = hosts_[index];
    host.rates = std::make_unique<EndpointRates>(host.id,
                                                 DomainId("d" + std::to_string(index % Domains)));
    host.nextGossiped = random_();
    host.rates->sendMeasurement = [this, index](const HostId &to, const SharedRate &measurement) {
        transmit(index, byId_.at(to), {measurement}, {});
    };
    host.rates->sendRate = [this, index](const HostId &to, const SharedRate &rate) {
        transmit(index, byId_.at(to), {}, {rate});
    };
    host.rates->gossipRates = [this, index](const std::vector<SharedRate> &rates) {
        const std::size_t others = hosts_.size() - 1;
        const std::size_t next = hosts_[index].nextGossiped++ % others;
        transmit(index, static_cast<int>((index + 1 + next) % hosts_.size()), {}, rates);
    };
    host.rates->broadcastRate = [this, index](const SharedRate &rate) {
        for (int to = 0; to < settings_.hosts; ++to) {
            if (to != index) {
                transmit(index, to, {}, {rate});
            }
        }
    };
    for (int i = 0; i < settings_.endpoints; ++i) {
        host.rates->setEndpoint({endpointId(i), processes_[i]}, Service);
    }
}

void RateFleet::schedule(Interval delay, std::function<void()> run)
{
    tasks_.push({now_ + delay, ++lastOrder_, std::move(run)});
}

void RateFleet::runFor(Interval time)
{
    const Instant end = now_ + time;
    while (!tasks_.empty() && tasks_.top().at <= end) {
        const Task task = tasks_.top();
        tasks_.pop();
        now_ = task.at;
        task.run();
    }
    now_ = end;
}

void RateFleet::tick(int host)
{
    if (!takesPart(host)) {
        return;
    }
    hosts_[host].rates->tick(now_);
    schedule(EndpointRates::RoundInterval, [this, host] { tick(host); });
}

void RateFleet::arrive()
{
    const double perSecond = settings_.digestsPerSecond + settings_.chatsPerSecond;
    const bool isDigest = uniform() * perSecond < settings_.digestsPerSecond;
    const auto host = static_cast<int>(random_() % hosts_.size());
    const auto endpoint = static_cast<int>(random_() % factors_.size());
    begin(host, endpoint, isDigest);
    schedule(millis(-1000.0 * std::log(1.0 - uniform()) / perSecond), [this] { arrive(); });
}

double RateFleet::noise(int endpoint)
{
    const double jitter = 0.85 + 0.3 * uniform();
    if (!settings_.isNoiseInPeriods) {
        return jitter * (uniform() < SlowPeriodShare ? 2.0 : 1.0);
    }
    const double seconds = std::chrono::duration<double>(now_.time_since_epoch()).count();
    const double place = std::fmod(seconds / PeriodSeconds + 0.37 * endpoint, 1.0);
    return jitter * (place < SlowPeriodShare ? 2.0 : 1.0);
}

void RateFleet::begin(int host, int endpoint, bool isDigest)
{
    if (!takesPart(host)) {
        return;
    }
    WorkItem item;
    item.request = RequestId(std::to_string(++lastRequest_));
    item.service = Service;
    item.promptTokens = isDigest ? 9190 : 826;
    item.cacheablePrefixTokens = isDigest ? 6300 : 198;
    item.prefixHash = isDigest ? 1 : 2;
    hosts_[host].rates->onSent(endpointId(endpoint), item, now_);
    const bool isCached = uniform() >= UncachedShare;
    const auto tokens =
            static_cast<double>(item.promptTokens - (isCached ? item.cacheablePrefixTokens : 0));
    const double prefill = (tokens / TokensPerMs + StepMs) * factors_[endpoint] * load_
                           * noise(endpoint) * hosts_[host].slowdown;
    const Stream stream{host, endpoint, item.request, isDigest ? 6 : 41};
    schedule(queues_[endpoint] + millis(prefill), [this, stream] {
        hosts_[stream.host].rates->onFirstEvent(endpointId(stream.endpoint), stream.request, now_);
        continueStream(stream);
    });
}

void RateFleet::continueStream(const Stream &stream)
{
    const int events = std::min(stream.eventsLeft, ProgressEvents);
    const double time = events * StepMs * factors_[stream.endpoint] * load_ * noise(stream.endpoint)
                        * hosts_[stream.host].slowdown;
    schedule(millis(time), [this, stream, events] {
        EndpointRates &rates = *hosts_[stream.host].rates;
        rates.onProgress(endpointId(stream.endpoint), stream.request, static_cast<uint64_t>(events),
                         now_);
        if (stream.eventsLeft > events) {
            continueStream(
                    {stream.host, stream.endpoint, stream.request, stream.eventsLeft - events});
        } else {
            rates.onEnd(stream.request);
        }
    });
}

void RateFleet::transmit(int from, int to, const std::vector<SharedRate> &measured,
                         const std::vector<SharedRate> &rates)
{
    if (!hosts_[from].isAlive) {
        return;
    }
    for (const std::string &datagram :
         encodeEndpointRates({hosts_[from].id, measured, rates, 0, {}}, now_)) {
        hosts_[from].bytesSent += datagram.size();
        bytesSent_ += datagram.size();
        largestDatagram_ = std::max(largestDatagram_, datagram.size());
        if (uniform() < settings_.messageLoss || !takesPart(to)) {
            continue;
        }
        schedule(millis(1.0 + 9.0 * uniform()), [this, to, datagram] {
            if (!takesPart(to)) {
                return;
            }
            hosts_[to].bytesReceived += datagram.size();
            const EndpointRateMessage message =
                    decodeEndpointRates(nlohmann::json::parse(datagram), now_);
            for (const SharedRate &measurement : message.measurements) {
                hosts_[to].rates->onMeasurement(measurement, message.from, now_);
            }
            for (const SharedRate &rate : message.rates) {
                hosts_[to].rates->onRate(rate, now_);
            }
        });
    }
}

void RateFleet::restart(int index)
{
    ++processes_[index];
    for (Host &host : hosts_) {
        host.rates->setEndpoint({endpointId(index), processes_[index]}, Service);
    }
}

EndpointRate RateFleet::rate(int host, int endpoint) const
{
    return hosts_[host].rates->rateOf(endpointId(endpoint), now_);
}

std::vector<EndpointRate> RateFleet::rates(int endpoint) const
{
    std::vector<EndpointRate> all;
    for (int i = 0; i < settings_.hosts; ++i) {
        if (takesPart(i)) {
            all.push_back(rate(i, endpoint));
        }
    }
    return all;
}

double RateFleet::shareOf(int endpoint,
                          const std::function<bool(const EndpointRate &)> &predicate) const
{
    const std::vector<EndpointRate> all = rates(endpoint);
    const auto count = std::count_if(all.begin(), all.end(), predicate);
    return static_cast<double>(count) / static_cast<double>(all.size());
}

} // namespace sequoiagate
