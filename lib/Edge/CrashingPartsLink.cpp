#include "CrashingPartsLink.h"

#include <algorithm>
#include <memory>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "CrashMessage.h"
#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Proxy/ConnectProbe.h"

namespace sequoiagate {

namespace {

/// An endpoint that doesn't accept a connection within this time has ended. One that is sound does
/// within a round trip.
constexpr Interval ProbeTimeout = std::chrono::milliseconds(300);

/// An endpoint that is ending may still accept a connection, so it is alive only if it accepts one
/// a little later as well.
constexpr int ProbeAttempts = 2;
constexpr Interval ProbeInterval = std::chrono::milliseconds(100);

/// Hosts that get each round of gossip.
constexpr std::size_t GossipHosts = 3;

/// The last part belongs to one request, or to its session, and isn't shared.
std::vector<uint64_t> sharedParts(const std::vector<PromptPart> &prompt)
{
    std::vector<uint64_t> parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        parts.push_back(prompt[i].id);
    }
    return parts;
}

std::string listOf(const std::vector<EndpointProcess> &processes)
{
    std::string text;
    for (const EndpointProcess &process : processes) {
        text += fmt::format("{}{}@{}", text.empty() ? "" : " ", process.endpoint.text(),
                            process.startedAtMillis);
    }
    return text;
}

} // namespace

CrashingPartsLink::CrashingPartsLink(boost::asio::io_context &io, PeerLink &peers,
                                     const CrashingPartsSettings &settings, Resolve resolve,
                                     std::unique_ptr<QuarantineStore> records, EventLog &log,
                                     Metrics &metrics)
    : io_(io), peers_(peers), resolve_(std::move(resolve)), log_(log), metrics_(metrics),
      host_(settings.host), parts_(settings), confirmation_(settings.domain),
      records_(std::move(records)), hosts_(peers),
      // Hosts that know the same others must not all begin with the same ones.
      nextGossiped_(stableHash(settings.host.text())), timer_(io)
{
    parts_.sendReport = [this](const HostId &to, const CrashReport &report) {
        hosts_.send(to, encodeCrashReport(report, std::chrono::steady_clock::now()));
    };
    parts_.broadcastInquiry = [this](const PartInquiry &inquiry) {
        log_.write(Event("part.inquired").with("part", fmt::format("{:016x}", inquiry.part)));
        hosts_.broadcast(encodePartInquiry(inquiry, std::chrono::steady_clock::now()));
    };
    parts_.broadcastQuarantine = [this](const Quarantine &quarantine) {
        hosts_.broadcast(encodeQuarantine(quarantine, std::chrono::steady_clock::now()));
    };
    parts_.onDecided = [this](const Quarantine &quarantine) {
        records_->write(quarantine, std::chrono::steady_clock::now());
    };
    parts_.onQuarantined = [this](const Quarantine &quarantine) {
        onQuarantined(quarantine);
    };
    registerHandlers();
    registerProbeHandlers();
}

void CrashingPartsLink::registerProbeHandlers()
{
    confirmation_.probe = [this](const EndpointProcess &process) {
        probe(process);
    };
    confirmation_.sendRequest = [this](const HostId &to, const EndpointProcess &process) {
        hosts_.send(to, encodeProbeRequest({host_, process, ProbeResult::Unknown}));
    };
    confirmation_.sendResponse = [this](const HostId &to, const EndpointProcess &process,
                                        ProbeResult result) {
        hosts_.send(to, encodeProbeResponse({host_, process, result}));
    };
    confirmation_.onDecided = [this](const EndpointProcess &process, bool hasEnded) {
        onDecided(process, hasEnded);
    };
    peers_.setHandler(ProbeRequestMessageKind, [this](const nlohmann::json &message,
                                                      const Address &) {
        const ProbeMessage request = decodeProbeMessage(message);
        confirmation_.onRequest(request.from, request.process, std::chrono::steady_clock::now());
    });
    peers_.setHandler(ProbeResponseMessageKind,
                      [this](const nlohmann::json &message, const Address &) {
                          const ProbeMessage response = decodeProbeMessage(message);
                          confirmation_.onResponse(response.from, response.process, response.result,
                                                   std::chrono::steady_clock::now());
                          armTimer();
                      });
}

void CrashingPartsLink::setHosts(const std::vector<Peer> &others)
{
    const std::vector<HostPlace> places = hosts_.set(others);
    parts_.setHosts(places);
    confirmation_.setHosts(places);
}

void CrashingPartsLink::registerHandlers()
{
    peers_.setHandler(CrashReportMessageKind,
                      [this](const nlohmann::json &message, const Address &) {
                          const Instant now = std::chrono::steady_clock::now();
                          parts_.onReport(decodeCrashReport(message, now), now);
                          armTimer();
                      });
    peers_.setHandler(
            PartInquiryMessageKind, [this](const nlohmann::json &message, const Address &from) {
                const Instant now = std::chrono::steady_clock::now();
                if (const auto response = parts_.onInquiry(decodePartInquiry(message, now))) {
                    peers_.send(encodeInquiryResponse(*response, now), from);
                }
            });
    peers_.setHandler(InquiryResponseMessageKind,
                      [this](const nlohmann::json &message, const Address &) {
                          const Instant now = std::chrono::steady_clock::now();
                          parts_.onInquiryResponse(decodeInquiryResponse(message, now), now);
                      });
    peers_.setHandler(QuarantineMessageKind,
                      [this](const nlohmann::json &message, const Address &) {
                          const Instant now = std::chrono::steady_clock::now();
                          parts_.onQuarantine(decodeQuarantine(message, now), now);
                      });
}

void CrashingPartsLink::gossip(Instant now)
{
    const std::vector<Quarantine> quarantines = parts_.quarantines(now);
    const std::size_t count = quarantines.empty() ? 0 : std::min(GossipHosts, hosts_.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t place = nextGossiped_++ % hosts_.size();
        for (const Quarantine &quarantine : quarantines) {
            hosts_.sendToNth(place, encodeQuarantine(quarantine, now));
        }
    }
}

std::optional<Verdict> CrashingPartsLink::refusal(const ServiceId &service,
                                                  const std::vector<PromptPart> &prompt,
                                                  Instant now)
{
    for (const uint64_t part : sharedParts(prompt)) {
        const Quarantine *quarantine = parts_.find(service, {part}, now);
        if (quarantine != nullptr) {
            return Verdict{Execution::NotRun, Reason::PromptQuarantined,
                           fmt::format("prompt part {:x}, quarantined as {:016x}, crashed {} "
                                       "endpoints",
                                       part, quarantine->part, quarantine->crashed.size()),
                           quarantine->until};
        }
    }
    return std::nullopt;
}

void CrashingPartsLink::onAnswerWritten(const ServiceId &service,
                                        const std::vector<PromptPart> &prompt, Instant now)
{
    parts_.onAnswerWritten(service, sharedParts(prompt), now);
}

void CrashingPartsLink::onConnectionLost(const LostRequest &request,
                                         const std::vector<PromptPart> &prompt, Instant now)
{
    const EndpointProcess &process = request.process;
    if (!resolve_(process.endpoint)) {
        // It is leaving.
        log_.write(Event("crash.not_counted")
                           .with("endpoint", process.endpoint)
                           .with("why", "not_listed"));
        return;
    }
    const bool isUndecided = parts_.onConnectionLost(request.service, process, sharedParts(prompt),
                                                     request.sentAt, now);
    if (isUndecided) {
        confirmation_.begin(process, request.relay, now);
    }
    armTimer();
}

void CrashingPartsLink::probe(const EndpointProcess &process)
{
    const std::optional<ListedProcess> listed = resolve_(process.endpoint);
    const bool isReplaced = listed && process.startedAtMillis != 0
                            && listed->startedAtMillis > process.startedAtMillis;
    if (listed && !isReplaced) {
        tryConnection(process, listed->address, ProbeAttempts);
        return;
    }
    // Not from inside the call that asks for it.
    boost::asio::post(io_, [this, process, isReplaced] {
        onProbed(process, isReplaced ? ProbeResult::Ended : ProbeResult::Unknown);
    });
}

void CrashingPartsLink::tryConnection(const EndpointProcess &process,
                                      const boost::asio::ip::tcp::endpoint &address, int attempts)
{
    const Instant deadline = std::chrono::steady_clock::now() + ProbeTimeout;
    probeConnection(io_.get_executor(), address, deadline,
                    [this, process, address, attempts](ProbeOutcome outcome) {
                        if (outcome != ProbeOutcome::Connected) {
                            onProbed(process, ProbeResult::Ended);
                            return;
                        }
                        if (attempts <= 1) {
                            onProbed(process, ProbeResult::Listens);
                            return;
                        }
                        const auto timer = std::make_shared<DeadlineTimer>(io_);
                        timer->arm(std::chrono::steady_clock::now() + ProbeInterval,
                                   [this, timer, process, address, attempts] {
                                       tryConnection(process, address, attempts - 1);
                                   });
                    });
}

void CrashingPartsLink::onProbed(const EndpointProcess &process, ProbeResult result)
{
    confirmation_.onProbed(process, result, std::chrono::steady_clock::now());
    armTimer();
}

void CrashingPartsLink::onDecided(const EndpointProcess &process, bool hasEnded)
{
    if (hasEnded) {
        log_.write(Event("endpoint.ended")
                           .with("endpoint", process.endpoint)
                           .with("started_at", process.startedAtMillis));
        metrics_.count("endpoint_crashes_seen_total");
    } else {
        log_.write(Event("crash.not_counted")
                           .with("endpoint", process.endpoint)
                           .with("why", "not_confirmed"));
    }
    parts_.onEndpointProbed(process, hasEnded, std::chrono::steady_clock::now());
}

void CrashingPartsLink::onQuarantined(const Quarantine &quarantine)
{
    const auto remaining =
            std::chrono::duration_cast<Millis>(quarantine.until - std::chrono::steady_clock::now());
    log_.write(Event("part.quarantined")
                       .with("part", fmt::format("{:016x}", quarantine.part))
                       .with("decided_by", quarantine.decidedBy)
                       .with("crashed", listOf(quarantine.crashed))
                       .with("level", quarantine.level)
                       .with("for_ms", remaining.count())
                       .essential());
    metrics_.count("prompt_quarantines_total");
}

void CrashingPartsLink::onRow(const StoreRow &row)
{
    const Instant now = std::chrono::steady_clock::now();
    if (const std::optional<Quarantine> quarantine = records_->onRow(row, now)) {
        parts_.onQuarantine(*quarantine, now);
    }
}

void CrashingPartsLink::onProcessReplaced(const EndpointProcess &process)
{
    parts_.onProcessReplaced(process, std::chrono::steady_clock::now());
    armTimer();
}

void CrashingPartsLink::armTimer()
{
    const Instant deadline = std::min(parts_.nextDeadline(), confirmation_.nextDeadline());
    if (deadline == Never) {
        timer_.disarm();
        return;
    }
    timer_.arm(deadline, [this] {
        confirmation_.tick(std::chrono::steady_clock::now());
        parts_.tick(std::chrono::steady_clock::now());
        armTimer();
    });
}

} // namespace sequoiagate
