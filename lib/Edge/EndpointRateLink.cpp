#include "EndpointRateLink.h"

#include <utility>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// Hosts read a change of the list of endpoints at different times, and until then drop records of
/// each other.
constexpr Interval DroppedLineInterval = std::chrono::seconds(5);

} // namespace

EndpointRateLink::EndpointRateLink(PeerLink &peers, const HostId &self, EndpointRates &rates,
                                   EventLog &log, Metrics &metrics)
    : self_(self), rates_(rates), log_(log), metrics_(metrics), hosts_(peers),
      // Hosts that know the same others must not all begin with the same ones.
      nextGossiped_(stableHash(self.text()))
{
    setSenders();
    peers.setHandler(EndpointRateMessageKind,
                     [this](const nlohmann::json &message, const boost::asio::ip::udp::endpoint &) {
                         onMessage(message);
                     });
}

void EndpointRateLink::setSenders()
{
    rates_.sendMeasurement = [this](const HostId &to, const SharedRate &measurement) {
        const Instant now = std::chrono::steady_clock::now();
        for (const std::string &text : encode({measurement}, {}, now)) {
            hosts_.send(to, text);
            count(text, 1);
        }
    };
    rates_.sendRate = [this](const HostId &to, const SharedRate &rate) {
        const Instant now = std::chrono::steady_clock::now();
        for (const std::string &text : encode({}, {rate}, now)) {
            hosts_.send(to, text);
            count(text, 1);
        }
    };
    rates_.gossipRates = [this](const std::vector<SharedRate> &rates) {
        if (hosts_.size() == 0) {
            return;
        }
        const std::size_t place = nextGossiped_++ % hosts_.size();
        const Instant now = std::chrono::steady_clock::now();
        for (const std::string &text : encode({}, rates, now)) {
            hosts_.sendToNth(place, text);
            count(text, 1);
        }
    };
    rates_.broadcastRate = [this](const SharedRate &rate) {
        const Instant now = std::chrono::steady_clock::now();
        for (const std::string &text : encode({}, {rate}, now)) {
            hosts_.broadcast(text);
            count(text, hosts_.size());
        }
    };
    rates_.onCrossed = [this](const EndpointId &endpoint, const EndpointRate &rate, bool isSlow) {
        log_.write(Event(isSlow ? "endpoint.slow" : "endpoint.not_slow")
                           .with("endpoint", endpoint)
                           .with("prefill_factor", rate.prefillFactor)
                           .with("decode_factor", rate.decodeFactor)
                           .with("samples", rate.samples)
                           .with("age_ms", std::chrono::duration_cast<Millis>(rate.age).count()));
    };
}

std::vector<std::string> EndpointRateLink::encode(std::vector<SharedRate> measurements,
                                                  std::vector<SharedRate> rates, Instant now) const
{
    EndpointRateMessage message{self_, std::move(measurements), std::move(rates)};
    message.requestsPerSecond = rates_.requestsPerSecond(now);
    return encodeEndpointRates(message, now);
}

void EndpointRateLink::count(const std::string &datagram, std::size_t recipients)
{
    metrics_.count("endpoint_rate_messages_sent_total", {}, recipients);
    metrics_.count("endpoint_rate_bytes_sent_total", {}, recipients * datagram.size());
}

void EndpointRateLink::onMessage(const nlohmann::json &message)
{
    const Instant now = std::chrono::steady_clock::now();
    EndpointRateMessage decoded = decodeEndpointRates(message, now);
    const auto onUnknown = [&decoded] {
        ++decoded.dropped;
        decoded.fault = "unknown endpoint";
    };
    if (decoded.requestsPerSecond) {
        rates_.onHostLoad(decoded.from, *decoded.requestsPerSecond, now);
    }
    for (const SharedRate &measurement : decoded.measurements) {
        if (!rates_.onMeasurement(measurement, decoded.from, now)) {
            onUnknown();
        }
    }
    for (const SharedRate &rate : decoded.rates) {
        if (!rates_.onRate(rate, now)) {
            onUnknown();
        }
    }
    if (decoded.dropped > 0) {
        logDropped(decoded, now);
    }
}

void EndpointRateLink::logDropped(const EndpointRateMessage &message, Instant now)
{
    metrics_.count("endpoint_rate_records_dropped_total", {}, message.dropped);
    dropped_ += message.dropped;
    if (now < nextDroppedLineAt_) {
        return;
    }
    nextDroppedLineAt_ = now + DroppedLineInterval;
    log_.write(Event("endpoint_rates.dropped")
                       .with("from", message.from)
                       .with("why", message.fault)
                       .with("records", dropped_));
    dropped_ = 0;
}

} // namespace sequoiagate
