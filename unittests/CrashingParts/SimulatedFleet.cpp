#include "SimulatedFleet.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>
#include <utility>

#include <fmt/format.h>

namespace sequoiagate::crashing {

namespace {

constexpr Interval Step = std::chrono::milliseconds(5);
constexpr Interval UntilWritten = std::chrono::milliseconds(400);
constexpr Interval RestartDelay = std::chrono::seconds(3);
/// How long hosts take to read the row of an endpoint that started again under its id.
constexpr Interval UntilListed = std::chrono::milliseconds(300);
/// How long a write to the store takes, and a host that starts until it has read.
constexpr Interval UntilStored = std::chrono::milliseconds(50);
constexpr Interval UntilProbed = std::chrono::milliseconds(2);
constexpr Interval MaxProbeTime = std::chrono::milliseconds(300);
constexpr Interval UntilRepeated = std::chrono::milliseconds(50);
/// How long a host leaves out an endpoint that it doesn't reach.
constexpr Interval AvoidedTime = std::chrono::seconds(1);

/// The part that crashes endpoints; 0: none does.
uint64_t badPart(const std::vector<uint64_t> &parts)
{
    const auto found = std::find_if(parts.begin(), parts.end(), [](uint64_t part) {
        return part == BadPart || part == SecondBadPart;
    });
    return found == parts.end() ? 0 : *found;
}

} // namespace

std::vector<uint64_t> fleetSeeds()
{
    constexpr std::size_t FewSeeds = 4;
    uint64_t first = 1;
    std::size_t count = FewSeeds;
    if (const char *const text = std::getenv("SEQUOIAGATE_FLEET_SEEDS")) {
        const std::string range(text);
        const std::size_t colon = range.find(':');
        first = std::stoull(range);
        count = colon == std::string::npos ? 1 : std::stoull(range.substr(colon + 1));
    }
    std::vector<uint64_t> seeds(count);
    std::iota(seeds.begin(), seeds.end(), first);
    return seeds;
}

SimulatedFleet::SimulatedFleet(FleetShape shape, uint64_t seed)
    : shape_(shape), random_(seed), lossRandom_(seed)
{
    for (int i = 0; i < shape.hosts; ++i) {
        places_.push_back(
                {HostId(fmt::format("h{}", i)), DomainId(fmt::format("d{}", i % Domains))});
    }
    startAllHosts();
    endpoints_.resize(static_cast<std::size_t>(shape.endpoints));
}

void SimulatedFleet::startHost(int number)
{
    const HostPlace &self = places_.at(static_cast<std::size_t>(number));
    auto host = std::make_unique<Host>(Host{CrashingParts({self.host, self.domain}),
                                            CrashConfirmation(self.domain),
                                            CrashingRequests(self.domain)});
    connectParts(self, host->parts);
    connectRequests(self, host->requests);
    host->parts.isExplainedByRequest = [requests = &host->requests](const auto &part,
                                                                    const auto &processes) {
        return requests->explains(part, processes);
    };
    connectConfirmation(self, host->confirmation);
    std::vector<HostPlace> others;
    for (const HostPlace &place : places_) {
        if (place.host != self.host) {
            others.push_back(place);
        }
    }
    host->parts.setHosts(others);
    host->confirmation.setHosts(others);
    host->requests.setHosts(others, now_);
    hosts_[self.host] = std::move(host);
    queue_.emplace(now_ + UntilStored, [this, to = self.host] {
        for (const auto &[part, quarantine] : stored_) {
            at(to).onQuarantine(quarantine, now_);
        }
    });
}

void SimulatedFleet::connectParts(const HostPlace &self, CrashingParts &parts)
{
    parts.sendReport = [this, from = self.host](const HostId &to, const CrashReport &report) {
        deliver(from, to, [this, to, report] { at(to).onReport(report, now_); });
    };
    parts.broadcastInquiry = [this, from = self.host](const PartInquiry &inquiry) {
        for (const HostPlace &place : places_) {
            deliver(from, place.host, [this, from, to = place.host, inquiry] {
                const auto response = at(to).onInquiry(inquiry);
                if (response && to != from) {
                    deliver(to, from, [this, from, response] {
                        at(from).onInquiryResponse(*response, now_);
                    });
                }
            });
        }
    };
    parts.broadcastQuarantine = [this, from = self.host](const Quarantine &quarantine) {
        for (const HostPlace &place : places_) {
            deliver(from, place.host,
                    [this, to = place.host, quarantine] { at(to).onQuarantine(quarantine, now_); });
        }
    };
    parts.onDecided = [this](const Quarantine &quarantine) {
        queue_.emplace(now_ + UntilStored,
                       [this, quarantine] { stored_[quarantine.part] = quarantine; });
    };
}

void SimulatedFleet::connectRequests(const HostPlace &self, CrashingRequests &requests)
{
    requests.sendReport = [this, from = self.host](const HostId &to, const RequestLosses &known) {
        deliverLosses(from, to, [this, to, known] { requestsAt(to).onReport(known, now_); });
    };
    requests.broadcast = [this, from = self.host](const RequestLosses &known) {
        for (const HostPlace &place : places_) {
            if (place.host == from) {
                continue;
            }
            deliverLosses(from, place.host, [this, from, to = place.host, known] {
                if (const auto own = requestsAt(to).onBroadcast(known, now_)) {
                    deliverLosses(to, from,
                                  [this, from, own] { requestsAt(from).onReport(*own, now_); });
                }
            });
        }
    };
    requests.onRefused = [](const RequestLosses &) {
    };
}

uint64_t SimulatedFleet::badOf(const std::vector<uint64_t> &parts, RequestKey key)
{
    return key == BadRequest ? BadRequest : badPart(parts);
}

RequestIdentity SimulatedFleet::identityOf(const std::vector<uint64_t> &parts, RequestKey key)
{
    RequestIdentity identity{1, key, ~key, {}};
    for (const uint64_t part : parts) {
        identity.sharedParts.push_back(partKey(Service, part));
    }
    return identity;
}

void SimulatedFleet::connectConfirmation(const HostPlace &self, CrashConfirmation &confirmation)
{
    const HostId from = self.host;
    confirmation.probe = [this, number = numberOf(from)](const EndpointProcess &process) {
        probe(number, process);
    };
    confirmation.sendRequest = [this, from](const HostId &to, const EndpointProcess &process) {
        deliver(from, to,
                [this, from, to, process] { confirmationAt(to).onRequest(from, process, now_); });
    };
    confirmation.sendResponse = [this, from](const HostId &to, const EndpointProcess &process,
                                             ProbeResult result) {
        deliver(from, to, [this, from, to, process, result] {
            confirmationAt(to).onResponse(from, process, result, now_);
        });
    };
    confirmation.onDecided = [this, from](const EndpointProcess &process, bool hasEnded) {
        at(from).onEndpointProbed(process, hasEnded, now_);
    };
}

void SimulatedFleet::probe(int host, const EndpointProcess &process)
{
    const auto number = static_cast<std::size_t>(std::stoul(process.endpoint.text().substr(1)));
    const Endpoint &endpoint = endpoints_[number];
    const bool isReachable = canReach(host, number);
    const bool listens = now_ >= endpoint.downUntil || endpoint.listensWhileDown;
    const Interval time =
            isReachable ? UntilProbed : std::min(UntilProbed + cut_.untilLost, MaxProbeTime);
    const ProbeResult result = isReachable && listens ? ProbeResult::Listens : ProbeResult::Ended;
    queue_.emplace(now_ + time, [this, to = idOf(host), process, result] {
        confirmationAt(to).onProbed(process, result, now_);
    });
}

void SimulatedFleet::startAllHosts()
{
    for (int i = 0; i < shape_.hosts; ++i) {
        startHost(i);
    }
}

int SimulatedFleet::numberOf(const HostId &host) const
{
    const auto found = std::find_if(places_.begin(), places_.end(),
                                    [&host](const auto &place) { return place.host == host; });
    return static_cast<int>(found - places_.begin());
}

EndpointProcess SimulatedFleet::runningProcess(std::size_t number) const
{
    const int starts = endpoints_[number].starts;
    return shape_.keepsIds ? EndpointProcess{EndpointId(fmt::format("e{}", number)),
                                             static_cast<uint64_t>(starts) + 1}
                           : EndpointProcess{EndpointId(fmt::format("e{}-{}", number, starts)), 1};
}

EndpointProcess SimulatedFleet::listedProcess(std::size_t number) const
{
    const Endpoint &endpoint = endpoints_[number];
    EndpointProcess listed = runningProcess(number);
    const bool isNew = endpoint.starts > 0 && now_ < endpoint.downUntil + UntilListed;
    listed.startedAtMillis -= shape_.keepsIds && isNew ? 1 : 0;
    return listed;
}

bool SimulatedFleet::canReach(int host, std::size_t endpoint) const
{
    if (!isCut()) {
        return true;
    }
    if (cut_.endpoints == Cut::Endpoints::All) {
        return !isBehind(host);
    }
    const bool isEndpointBehind = cut_.domains.count(static_cast<int>(endpoint) % Domains) > 0;
    return isBehind(host) == isEndpointBehind;
}

bool SimulatedFleet::canHear(int from, int to) const
{
    if (!isCut() || cut_.datagrams == Cut::Datagrams::Pass || isBehind(from) == isBehind(to)) {
        return true;
    }
    return cut_.datagrams == Cut::Datagrams::Inbound && !isBehind(to);
}

bool SimulatedFleet::chance(double share)
{
    return share > 0.0 && std::uniform_real_distribution<>(0.0, 1.0)(random_) < share;
}

HostId SimulatedFleet::drawRelay(int host)
{
    if (!chance(shape_.relayed)) {
        return {};
    }
    const auto other = (static_cast<std::size_t>(host) + 1 + random_() % (places_.size() - 1))
                       % places_.size();
    return places_[other].host;
}

void SimulatedFleet::send(const std::vector<uint64_t> &parts)
{
    sendRequest(parts, ++lastRequest_, 0);
}

void SimulatedFleet::sendAgain(const std::vector<uint64_t> &parts, RequestKey request)
{
    sendRequest(parts, request, shape_.repeats);
}

void SimulatedFleet::repeat(const Request &request)
{
    if (request.repeats < shape_.repeats) {
        sendRequest(request.parts, request.identity.request, request.repeats + 1);
    }
}

void SimulatedFleet::sendRequest(const std::vector<uint64_t> &parts, RequestKey key, int repeats)
{
    const bool isRepeat = repeats > 0;
    const auto host = static_cast<int>(random_() % places_.size());
    const bool isSoundFirst = !isRepeat && badOf(parts, key) == 0;
    sound_.sent += isSoundFirst ? 1 : 0;
    if (at(idOf(host)).find(Service, parts, now_) != nullptr) {
        ++refused;
        return;
    }
    const RequestIdentity identity = identityOf(parts, key);
    if (const auto *known = requestsAt(idOf(host)).findRefused(identity, now_)) {
        const bool isSound = badOf(parts, key) == 0;
        const bool isLong = known->refusedUntil >= now_ + CrashingRequests::LongRefusal;
        soundRequestsRefused += isSound ? 1 : 0;
        soundRequestsRefusedForLong += isSound && isLong ? 1 : 0;
        return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        const auto avoided = avoidedUntil_.find({host, i});
        const bool isAvoided = avoided != avoidedUntil_.end() && now_ < avoided->second;
        if (now_ >= endpoints_[i].downUntil && !isAvoided) {
            up.push_back(i);
        }
    }
    if (!up.empty()) {
        sendTo(up[random_() % up.size()],
               {host, parts, now_, isRepeat, drawRelay(host), {}, identity, repeats});
    }
}

void SimulatedFleet::sendBy(int host, const std::vector<uint64_t> &parts)
{
    if (at(idOf(host)).find(Service, parts, now_) != nullptr) {
        ++refused;
        return;
    }
    const std::size_t endpoint = randomEndpoint();
    if (now_ >= endpoints_[endpoint].downUntil) {
        sendTo(endpoint, {host,
                          parts,
                          now_,
                          true,
                          {},
                          {},
                          identityOf(parts, ++lastRequest_),
                          shape_.repeats});
    }
}

void SimulatedFleet::sendTo(std::size_t endpoint, Request request)
{
    request.process = listedProcess(endpoint);
    if (!canReach(request.host, endpoint)) {
        avoidedUntil_[{request.host, endpoint}] = now_ + AvoidedTime;
        queue_.emplace(now_ + cut_.untilLost, [this, request] {
            lose(request);
            repeat(request);
        });
        return;
    }
    const uint64_t bad = badOf(request.parts, request.identity.request);
    const bool isInTouch = !isCut() || !isBehind(request.host);
    endpoints_[endpoint].open.push_back(std::move(request));
    if (bad == 0) {
        return;
    }
    if (isInTouch) {
        badArrivals[bad].push_back(now_);
    }
    queue_.emplace(now_ + shape_.untilCrash,
                   [this, endpoint, bad, starts = endpoints_[endpoint].starts] {
                       if (endpoints_[endpoint].starts == starts) {
                           crash(endpoint);
                           badCrashes[bad].push_back(now_);
                       }
                   });
}

void SimulatedFleet::lose(const Request &request)
{
    const HostId &host = idOf(request.host);
    requestsAt(host).onEndpointLost(request.identity, request.process, request.sentAt, now_);
    if (at(host).onConnectionLost(Service, request.process, request.parts, request.sentAt, now_)) {
        confirmationAt(host).begin(request.process, request.relay, now_);
    }
}

void SimulatedFleet::beginCut()
{
    isCutBegun_ = true;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        std::vector<Request> kept;
        for (const Request &request : std::exchange(endpoints_[i].open, {})) {
            if (canReach(request.host, i)) {
                kept.push_back(request);
                continue;
            }
            queue_.emplace(now_ + cut_.untilLost, [this, request] { lose(request); });
        }
        endpoints_[i].open = std::move(kept);
    }
}

void SimulatedFleet::crash(std::size_t number)
{
    Endpoint &endpoint = endpoints_[number];
    if (now_ < endpoint.downUntil) {
        return;
    }
    const EndpointProcess crashed = runningProcess(number);
    ++endpoint.starts;
    endpoint.downUntil = now_ + RestartDelay;
    endpoint.listensWhileDown = chance(shape_.listening);
    queue_.emplace(endpoint.downUntil + UntilListed, [this, crashed] {
        for (const auto &[id, host] : hosts_) {
            host->parts.onProcessReplaced(crashed, now_);
        }
    });
    for (const Request &request : std::exchange(endpoint.open, {})) {
        if (now_ < request.sentAt + UntilWritten) {
            lose(request);
        }
        if (request.repeats < shape_.repeats) {
            queue_.emplace(now_ + UntilRepeated, [this, request] { repeat(request); });
        }
    }
}

void SimulatedFleet::crashShare(int percent)
{
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        if (static_cast<int>(random_() % 100) < percent) {
            crash(i);
        }
    }
}

void SimulatedFleet::run(Interval time)
{
    const Instant end = now_ + time;
    while (now_ < end) {
        now_ += Step;
        if (isCut() && !isCutBegun_) {
            beginCut();
        }
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            const std::function<void()> handle = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            handle();
        }
        soundDue_ += shape_.soundPerSecond * std::chrono::duration<double>(Step).count();
        for (; soundDue_ >= 1.0; soundDue_ -= 1.0) {
            const uint64_t first = 1 + random_() % 4;
            send({first, 1000 + random_() % 190});
        }
        complete();
        for (const auto &[id, host] : hosts_) {
            if (now_ >= host->confirmation.nextDeadline()) {
                host->confirmation.tick(now_);
            }
            if (now_ >= host->parts.nextDeadline()) {
                host->parts.tick(now_);
            }
            if (now_ >= host->requests.nextDeadline()) {
                host->requests.tick(now_);
            }
        }
        gossip();
    }
}

std::set<PartKey> SimulatedFleet::quarantined() const
{
    std::set<PartKey> parts;
    for (const auto &[id, host] : hosts_) {
        for (const Quarantine &quarantine : host->parts.quarantines(now_)) {
            parts.insert(quarantine.part);
        }
    }
    return parts;
}

bool SimulatedFleet::knowsAll(int host, const std::vector<uint64_t> &parts)
{
    return at(idOf(host)).find(Service, parts, now_) != nullptr;
}

void SimulatedFleet::deliver(const HostId &from, const HostId &to, std::function<void()> arrive)
{
    ++sent_;
    deliverBy(random_, from, to, std::move(arrive));
}

void SimulatedFleet::deliverLosses(const HostId &from, const HostId &to,
                                   std::function<void()> arrive)
{
    deliverBy(lossRandom_, from, to, std::move(arrive));
}

void SimulatedFleet::deliverBy(std::mt19937_64 &random, const HostId &from, const HostId &to,
                               std::function<void()> arrive)
{
    if (std::uniform_real_distribution<>(0.0, 1.0)(random) < shape_.loss
        || (isCut() && !canHear(numberOf(from), numberOf(to)))) {
        return;
    }
    const std::chrono::microseconds delay(500 + random() % 3000);
    queue_.emplace(now_ + delay, std::move(arrive));
}

void SimulatedFleet::complete()
{
    for (Endpoint &endpoint : endpoints_) {
        std::erase_if(endpoint.open, [this](const Request &request) {
            if (now_ < request.sentAt + UntilWritten) {
                return false;
            }
            at(idOf(request.host)).onAnswerWritten(Service, request.parts, now_);
            requestsAt(idOf(request.host)).onAnswered(request.identity, now_);
            sound_.served += !request.isRepeat && badPart(request.parts) == 0 ? 1 : 0;
            return true;
        });
    }
}

void SimulatedFleet::gossip()
{
    if (now_ < nextGossipAt_) {
        return;
    }
    nextGossipAt_ = now_ + millis(500);
    for (const auto &[id, host] : hosts_) {
        for (const RequestLosses &known : host->requests.nextGossiped(now_)) {
            for (int i = 0; i < 3; ++i) {
                const HostId &to = places_[lossRandom_() % places_.size()].host;
                deliverLosses(id, to,
                              [this, to, known] { requestsAt(to).onBroadcast(known, now_); });
            }
        }
        for (const Quarantine &quarantine : host->parts.quarantines(now_)) {
            for (int i = 0; i < 3; ++i) {
                const HostId &to = places_[random_() % places_.size()].host;
                deliver(id, to, [this, to, quarantine] { at(to).onQuarantine(quarantine, now_); });
            }
        }
    }
}

} // namespace sequoiagate::crashing
