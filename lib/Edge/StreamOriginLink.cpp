#include "StreamOriginLink.h"

#include <algorithm>

#include "StreamOriginMessage.h"
#include "sequoiagate/Base/BootClock.h"

namespace sequoiagate {

namespace {

bool leadsTo(const Route &route, const ServiceId &service)
{
    return std::any_of(
            route.services.begin(), route.services.end(),
            [&service](const WeightedService &target) { return target.service == service; });
}

} // namespace

std::vector<ServiceId> movedServices(const ServingConfig &config, const ServingConfig &previous)
{
    std::vector<ServiceId> moved;
    for (const Route &route : config.routes) {
        const auto before = std::find_if(
                previous.routes.begin(), previous.routes.end(), [&route](const Route &known) {
                    return known.host == route.host && known.pathPrefix == route.pathPrefix;
                });
        if (route.kind != RouteKind::Stream || before == previous.routes.end()) {
            continue;
        }
        for (const WeightedService &target : route.services) {
            if (!leadsTo(*before, target.service)) {
                moved.push_back(target.service);
            }
        }
    }
    return moved;
}

Interval longestStream(const ServingConfig &config)
{
    Interval longest{};
    for (const Route &route : config.routes) {
        if (route.kind == RouteKind::Stream) {
            longest = std::max(longest, route.timeout);
        }
    }
    return longest;
}

StreamOriginLink::StreamOriginLink(boost::asio::io_context &io, PeerLink &peers, const HostId &self,
                                   const DomainId &domain, Metrics &metrics)
    : peers_(peers), self_(self), metrics_(metrics), origins_(domain), hosts_(peers), timer_(io)
{
    origins_.sendRecord = [this](const HostId &to, const StreamRecord &record) {
        metrics_.count("stream_records_sent_total");
        hosts_.send(to, encodeStreamRecord(self_, record));
    };
    origins_.sendQuery = [this](const HostId &to, const OriginQuery &query) {
        hosts_.send(to, encodeOriginQuery(self_, query));
    };
    registerHandlers();
}

void StreamOriginLink::registerHandlers()
{
    peers_.setHandler(StreamRecordMessageKind,
                      [this](const nlohmann::json &message, const Address &from) {
                          const StreamRecord record = decodeStreamRecord(message);
                          origins_.onRecord(record, std::chrono::steady_clock::now());
                          peers_.send(encodeStreamAck(self_, record.key), from);
                      });
    peers_.setHandler(StreamAckMessageKind, [this](const nlohmann::json &message, const Address &) {
        origins_.onAcknowledged(decodeSender(message), decodeStreamAck(message));
    });
    peers_.setHandler(OriginQueryMessageKind, [this](const nlohmann::json &message,
                                                     const Address &from) {
        versions().checkAge(sinceBoot());
        const OriginResponse response =
                origins_.respond(decodeOriginQuery(message), std::chrono::steady_clock::now());
        peers_.send(encodeOriginResponse(self_, response), from);
    });
    peers_.setHandler(OriginResponseMessageKind,
                      [this](const nlohmann::json &message, const Address &) {
                          origins_.onResponse(decodeSender(message), decodeOriginResponse(message),
                                              std::chrono::steady_clock::now());
                          armTimer();
                      });
}

void StreamOriginLink::onConfig(const ServingConfig &config, const ServingConfig *previous,
                                Instant now)
{
    origins_.setLongestStream(longestStream(config));
    if (previous == nullptr) {
        return;
    }
    for (const ServiceId &service : movedServices(config, *previous)) {
        versions().onRouteMoved(service, now);
    }
}

void StreamOriginLink::onStreamBegan(const ServiceId &service, const RequestId &first,
                                     const SoftwareVersion &version, Instant now)
{
    origins_.onStreamBegan(service, first, version, now);
    armTimer();
}

void StreamOriginLink::find(const ServiceId &service, const RequestId &first, Instant now,
                            std::function<void(const StreamOrigin &)> handler)
{
    versions().checkAge(sinceBoot());
    origins_.find(service, first, now, std::move(handler));
    armTimer();
}

void StreamOriginLink::armTimer()
{
    const Instant deadline = origins_.nextDeadline();
    if (deadline == Never) {
        timer_.disarm();
        return;
    }
    timer_.arm(deadline, [this] {
        origins_.tick(std::chrono::steady_clock::now());
        armTimer();
    });
}

} // namespace sequoiagate
