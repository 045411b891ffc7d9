#include "CrashingRequestsLink.h"

#include <algorithm>
#include <chrono>
#include <string>

#include <fmt/format.h>

#include "RequestLossMessage.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// Hosts that get each round of gossip.
constexpr std::size_t GossipHosts = 3;

std::string listOf(const std::map<EndpointProcess, RequestLoss> &losses)
{
    std::string text;
    for (const auto &[process, loss] : losses) {
        text += fmt::format("{}{}@{}", text.empty() ? "" : " ", process.endpoint.text(),
                            process.startedAtMillis);
    }
    return text;
}

Quarantine quarantineOf(const RequestLosses &known, const HostId &host)
{
    Quarantine quarantine{known.key, known.refusals - 1, known.refusedUntil, {}, host};
    for (const auto &[process, loss] : known.losses) {
        quarantine.crashed.push_back(process);
    }
    return quarantine;
}

/// A session is read as a request: it is refused for the same time, and again after as many losses.
RequestLosses lossesOf(const Quarantine &quarantine)
{
    RequestLosses known;
    known.key = quarantine.part;
    for (const EndpointProcess &process : quarantine.crashed) {
        known.losses.try_emplace(process);
    }
    known.refusals = quarantine.level + 1;
    known.refusedUntil = quarantine.until;
    return known;
}

} // namespace

CrashingRequestsLink::CrashingRequestsLink(boost::asio::io_context &io, PeerLink &peers,
                                           const HostId &host, const DomainId &domain,
                                           std::unique_ptr<QuarantineStore> records, EventLog &log,
                                           Metrics &metrics)
    : log_(log), metrics_(metrics), host_(host), requests_(domain), records_(std::move(records)),
      hosts_(peers),
      // Hosts that know the same others must not all begin with the same ones.
      nextGossiped_(stableHash(host.text())), timer_(io)
{
    requests_.sendReport = [this](const HostId &to, const RequestLosses &known) {
        hosts_.send(to, encodeRequestLosses(RequestLossReportKind, known,
                                            std::chrono::steady_clock::now()));
    };
    requests_.broadcast = [this](const RequestLosses &known) {
        hosts_.broadcast(encodeRequestLosses(RequestLossBroadcastKind, known,
                                             std::chrono::steady_clock::now()));
    };
    requests_.onRefused = [this](const RequestLosses &known) {
        logRefused(known);
    };
    requests_.onDecided = [this](const RequestLosses &known) {
        records_->write(quarantineOf(known, host_), std::chrono::steady_clock::now());
    };
    using Address = boost::asio::ip::udp::endpoint;
    peers.setHandler(RequestLossReportKind, [this](const nlohmann::json &message, const Address &) {
        const Instant now = std::chrono::steady_clock::now();
        requests_.onReport(decodeRequestLosses(message, now), now);
        armTimer();
    });
    peers.setHandler(RequestLossBroadcastKind, [this, &peers](const nlohmann::json &message,
                                                              const Address &from) {
        const Instant now = std::chrono::steady_clock::now();
        if (const auto own = requests_.onBroadcast(decodeRequestLosses(message, now), now)) {
            peers.send(encodeRequestLosses(RequestLossReportKind, *own, now), from);
        }
        armTimer();
    });
}

void CrashingRequestsLink::onRow(const StoreRow &row)
{
    const Instant now = std::chrono::steady_clock::now();
    if (const std::optional<Quarantine> quarantine = records_->onRow(row, now)) {
        requests_.onKept(lossesOf(*quarantine), now);
    }
}

void CrashingRequestsLink::setHosts(const std::vector<Peer> &others)
{
    requests_.setHosts(hosts_.set(others), std::chrono::steady_clock::now());
}

void CrashingRequestsLink::gossip(Instant now)
{
    const std::vector<RequestLosses> refused = requests_.nextGossiped(now);
    const std::size_t count = refused.empty() ? 0 : std::min(GossipHosts, hosts_.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t place = nextGossiped_++ % hosts_.size();
        for (const RequestLosses &known : refused) {
            hosts_.sendToNth(place, encodeRequestLosses(RequestLossBroadcastKind, known, now));
        }
    }
}

std::optional<Verdict> CrashingRequestsLink::refusal(const RequestIdentity &identity, Instant now)
{
    const RequestLosses *known = requests_.findRefused(identity, now);
    if (known == nullptr) {
        return std::nullopt;
    }
    const char *subject = known->scope == RequestScope::Session ? "session" : "request";
    return Verdict{Execution::NotRun, Reason::RequestQuarantined,
                   fmt::format("{} endpoints were lost under this {}, refused as {:016x}",
                               known->losses.size(), subject, known->key),
                   known->refusedUntil};
}

void CrashingRequestsLink::onAnswered(const RequestIdentity &identity, Instant now)
{
    requests_.onAnswered(identity, now);
}

void CrashingRequestsLink::onEndpointLost(const RequestIdentity &identity,
                                          const EndpointProcess &process, Instant sentAt,
                                          Instant now)
{
    requests_.onEndpointLost(identity, process, sentAt, now);
    armTimer();
}

void CrashingRequestsLink::logRefused(const RequestLosses &known)
{
    const auto remaining = std::chrono::duration_cast<Millis>(known.refusedUntil
                                                              - std::chrono::steady_clock::now());
    log_.write(Event("request.quarantined")
                       .with("key", fmt::format("{:016x}", known.key))
                       .with("session", known.scope == RequestScope::Session)
                       .with("lost", listOf(known.losses))
                       .with("level", known.refusals)
                       .with("answered_before", known.answeredAt.has_value())
                       .with("for_ms", remaining.count())
                       .essential());
    metrics_.count("request_quarantines_total");
}

void CrashingRequestsLink::armTimer()
{
    const Instant deadline = requests_.nextDeadline();
    if (deadline == Never) {
        timer_.disarm();
        return;
    }
    timer_.arm(deadline, [this] {
        requests_.tick(std::chrono::steady_clock::now());
        armTimer();
    });
}

} // namespace sequoiagate
