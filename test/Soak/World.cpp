#include "World.h"

#include <csignal>
#include <thread>
#include <unistd.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sequoiagate::soak {

namespace {

constexpr const char *OwnTopic = "keyed.sequoiagate";
constexpr const char *ConfigTopic = "keyed.op";
constexpr const char *EndpointTopic = "keyed.servers";
constexpr int CallerPort = 8740;
constexpr int ReadyPort = 8741;
constexpr int PeerPort = 8742;
constexpr int RelayPort = 8744;
constexpr int StoreHost = 200;
constexpr int RelayHost = 201;
constexpr int FirstEndpointHost = 210;
constexpr int PlainEndpoints = 2;
constexpr int SlowMs = 150;
constexpr int LossPercent = 30;
constexpr std::size_t Workers = 256;
constexpr int StopGraceMs = 5000;
constexpr int EngineMemoryTokens = 20'000;
constexpr int HostMemoryMb = 120;

/// Loopback addresses of this test process alone, so that ports needn't be found.
std::string ip(int host)
{
    const int id = static_cast<int>(::getpid());
    return fmt::format("127.{}.{}.{}", 1 + (id >> 8) % 250, id % 250, host);
}

std::string endpointId(int endpoint, int starts)
{
    return fmt::format("e{}-{}", endpoint, starts);
}

/// Two versions serve side by side, and an endpoint that starts anew may have the other one.
std::string softwareVersion(int endpoint, int starts)
{
    return fmt::format("v{}", 1 + (endpoint + starts / 2) % 2);
}

nlohmann::json route(const std::string &path, const std::string &kind, const std::string &service,
                     int priority = 0)
{
    return {{"name", path},         {"host", "h.example"},
            {"path-prefix", path},  {"type", kind},
            {"timeout-ms", 3000},   {"slo-ms", 800},
            {"priority", priority}, {"backend", service},
            {"max-attempts", 2},    {"resumable", path == "/talk/"},
            {"gap-target-ms", 400}};
}

/// What an endpoint's work takes, in percent of the usual.
int slownessOf(int endpoint)
{
    constexpr int Slowness[] = {70, 70, 170, 100, 300};
    return Slowness[static_cast<std::size_t>(endpoint) % std::size(Slowness)];
}

nlohmann::json backend(const std::string &name, bool hasColdStarts)
{
    nlohmann::json row = {{"name", name}, {"max-conns", 400}};
    if (hasColdStarts) {
        row["cold-s"] = ColdTime.count();
        row["cold-per-s"] = ColdPerSecond;
    }
    return row;
}

nlohmann::json configuration(uint64_t version, const WorldShape &shape, uint64_t smallBudget,
                             const nlohmann::json &limits)
{
    nlohmann::json routes = {route("/once/", "non_idempotent", "plain"),
                             route("/read/", "idempotent", "plain"),
                             route("/chat/", "streaming", "engines", shape.hasUnequalLoad ? 1 : 0),
                             route("/talk/", "streaming", "engines")};
    nlohmann::json keys = {"key-large"};
    // Each version's own route and key stay for one version more.
    for (uint64_t probe = version > 1 ? version - 1 : 1; probe <= version; ++probe) {
        routes.push_back(route(fmt::format("/v{}/", probe), "idempotent", "plain"));
        keys.push_back(fmt::format("key-{}", probe));
    }
    nlohmann::json engines = backend("engines", shape.hasColdStarts);
    engines["engine"] = {{"stride", TokensPerEvent}};
    if (shape.hasUnequalLoad) {
        engines["engine"]["kv-tokens"] = EngineMemoryTokens;
    }
    return {{"version", version},
            {"routes", routes},
            {"backends", {backend("plain", shape.hasColdStarts), engines}},
            {"limits", limits},
            {"tenants",
             {{{"name", "small"}, {"api-keys", {"key-small"}}, {"prepaid", smallBudget}},
              {{"name", "large"}, {"api-keys", keys}, {"prepaid", shape.largeBudget}}}}};
}

} // namespace

World::World(WorldShape shape, Record &record, const ScratchFolder &scratch)
    : shape_(shape), record_(record), scratch_(scratch), store_(ip(StoreHost), Workers),
      hosts_(at(shape.hosts)), endpoints_(at(shape.endpoints)),
      incarnations_(std::make_unique<std::atomic<int>[]>(at(shape.hosts))),
      smallBudget_(shape.smallBudget), random_(shape.seed)
{
    record_.prepaid = {{"small", smallBudget_}, {"large", shape_.largeBudget}};
    configure();
    for (int i = 0; i < shape_.endpoints; ++i) {
        EndpointPlace &place = endpoints_[at(i)];
        place.server = std::make_unique<Endpoint>(ip(FirstEndpointHost + i), endpointId(i, 0),
                                                  softwareVersion(i, 0), record_, Workers);
        place.relay = std::make_unique<TcpRelay>(loop_, ip(RelayHost), place.server->address());
        place.server->setColdAfterStart(shape_.hasColdStarts);
        if (shape_.hasUnequalLoad) {
            place.server->setSlowness(slownessOf(i));
        }
        if (shape_.hasCrashingPart) {
            place.server->onCrash = [this, i] {
                crashByPart(i);
            };
        }
        list(i, "ready");
    }
    for (int i = 0; i < shape_.hosts; ++i) {
        Host &host = hosts_[at(i)];
        host.store = std::make_unique<TcpRelay>(loop_, ip(RelayHost), store_.address());
        host.callers = std::make_unique<TcpRelay>(loop_, ip(RelayHost),
                                                  fmt::format("{}:{}", ip(1 + i), CallerPort));
        host.peers = std::make_unique<UdpRelay>(loop_, ip(RelayHost),
                                                fmt::format("{}:{}", ip(1 + i), PeerPort));
        if (shape_.ownLinks) {
            makeLinks(host);
        }
        start(i);
    }
    view_.hosts = shape_.hosts;
    view_.hasCrashingPart = shape_.hasCrashingPart;
    view_.hasSlowReaders = shape_.hasUnequalLoad;
    view_.address = [this](int host) {
        return hosts_[at(host)].callers->address();
    };
    view_.incarnation = [this](int host) {
        return incarnations_[at(host)].load();
    };
    view_.newestVersion = [this] {
        return version_.load();
    };
}

World::~World()
{
    // Held reads would hold up the stand-ins' ends.
    for (Host &host : hosts_) {
        host.process.reset();
    }
}

std::string World::sourceOf(const ProcessOf &process)
{
    // The store tells processes apart by the address that they come from. No other test
    // listens on these.
    return fmt::format("127.254.{}.{}", process.incarnation, process.host + 1);
}

nlohmann::json World::settings(int host, uint64_t reloads) const
{
    constexpr double Ratio = 0.2;
    constexpr double RatioStep = 0.01;
    constexpr uint64_t Steps = 10;
    const Host &of = hosts_[at(host)];
    nlohmann::json settings = {
            {"host", fmt::format("h{}", host)},
            {"domain", fmt::format("d{}", host % 2)},
            {"listen", fmt::format("{}:{}", ip(1 + host), CallerPort)},
            {"listen_ready", fmt::format("{}:{}", ip(1 + host), ReadyPort)},
            {"listen_peers", fmt::format("{}:{}", ip(1 + host), PeerPort)},
            {"announce_peers", of.peers->address()},
            {"listen_relay", fmt::format("{}:{}", ip(1 + host), RelayPort)},
            {"store", of.store->address()},
            {"ready_grace_ms", 1000},
            {"stop_grace_ms", StopGraceMs},
            {"retry_ratio", Ratio + RatioStep * static_cast<double>(reloads % Steps)}};
    if (shape_.hasUnequalLoad) {
        settings.update({{"token_allocation", "by_rank"},
                         {"token_reserve", "peak_demand"},
                         {"endpoint_rates", "shared"},
                         {"placement", "expected_time"},
                         {"memory_mb", HostMemoryMb}});
    }
    return settings;
}

void World::makeLinks(Host &host)
{
    for (const EndpointPlace &place : endpoints_) {
        const std::string address = place.relay->address();
        host.links[address] = std::make_unique<TcpRelay>(loop_, ip(RelayHost), address);
    }
}

void World::cutLinks(int host, RelayCut cut)
{
    for (const auto &[address, link] : hosts_[at(host)].links) {
        link->setCut(cut);
    }
}

void World::start(int host)
{
    Host &of = hosts_[at(host)];
    if (of.process) {
        of.process->wait(); // power that is lost isn't waited for
    }
    ++of.incarnation;
    // What a process before it still had under way must not be taken for this one's.
    of.store->resetAll();
    const std::string source = sourceOf({host, of.incarnation});
    of.store->setSource(source);
    if (shape_.ownLinks) {
        store_.setView(source, [&of](const std::string &topic, const std::string &,
                                     const std::string &value) {
            if (topic != EndpointTopic) {
                return value;
            }
            nlohmann::json row = nlohmann::json::parse(value);
            const auto link = of.links.find(row["address"].get<std::string>());
            if (link != of.links.end()) {
                row["address"] = link->second->address();
            }
            return row.dump();
        });
    }
    incarnations_[at(host)] = of.incarnation;
    of.process = std::make_unique<Process>(
            scratch_, "sequoia-edge", fmt::format("h{}-{}", host, of.incarnation),
            settings(host, of.reloads),
            std::vector<std::string>{fmt::format("SEQUOIAGATE_BOOT_CLOCK_OFFSET_MS={}",
                                                 of.bootClockOffset.count())});
    of.state = HostState::Running;
}

void World::beginStop(int host)
{
    Host &of = hosts_[at(host)];
    if (of.state == HostState::Running) {
        of.process->signal(SIGTERM);
        of.state = HostState::Stopping;
    }
}

void World::endStop(int host)
{
    Host &of = hosts_[at(host)];
    if (of.state == HostState::Stopping) {
        stopped(host);
        start(host);
    }
}

void World::stopped(int host)
{
    Host &of = hosts_[at(host)];
    StopOf stop{{host, of.incarnation}, of.process->wait(), 0};
    for (const Process::Line &line : of.process->lines()) {
        if (line.value("event", "") == "process.stopped") {
            stop.cutOff = line.value("cut_off", int64_t{0});
        }
    }
    record_.stops.push_back(stop);
    of.state = HostState::Down;
}

void World::reload(int host)
{
    Host &of = hosts_[at(host)];
    if (of.state != HostState::Running) {
        return;
    }
    ++of.reloads;
    const std::string name = fmt::format("h{}-{}.json", host, of.incarnation);
    scratch_.write(name, settings(host, of.reloads).dump());
    of.process->signal(SIGHUP);
}

void World::publish(Published published, const std::string &topic, const std::string &key,
                    const std::string &value)
{
    published.at = std::chrono::steady_clock::now();
    const uint64_t offset = store_.put(topic, key, value);
    record_.published.push_back(std::move(published));
    places_.emplace_back(topic, offset);
}

nlohmann::json World::limits() const
{
    nlohmann::json limits = nlohmann::json::object();
    if (shape_.idleLimit > std::chrono::milliseconds::zero()) {
        limits["idle-timeout-ms"] = shape_.idleLimit.count();
    }
    return limits;
}

void World::configure()
{
    const uint64_t version = version_ + 1;
    const std::string row = configuration(version, shape_, smallBudget_, limits()).dump();
    publish({version, {}, {}, {}}, ConfigTopic, "config", row);
    version_ = version;
}

void World::newConfiguration(int)
{
    constexpr uint64_t TopUp = 5'000;
    smallBudget_ += TopUp;
    record_.prepaid["small"] = smallBudget_;
    configure();
}

void World::list(int endpoint, const std::string &state)
{
    EndpointPlace &place = endpoints_[at(endpoint)];
    const bool isColdStart = shape_.hasColdStarts && place.starts > 0;
    const std::chrono::milliseconds coldLeft(isColdStart ? ColdTime : std::chrono::seconds(0));
    const nlohmann::json row = {{"backend", endpoint < PlainEndpoints ? "plain" : "engines"},
                                {"address", place.relay->address()},
                                {"zone", domainOf(endpoint)},
                                {"cold-left-ms", coldLeft.count()},
                                {"slots", 16},
                                {"state", state},
                                {"version", place.server->version()},
                                {"born", 1 + place.starts}};
    const std::string id = place.server->id();
    record_.domains[id] = domainOf(endpoint);
    if (state == "draining") {
        publish({0, id, {}, {}}, EndpointTopic, id, row.dump());
        return;
    }
    store_.put(EndpointTopic, id, row.dump());
}

std::string World::domainOf(int endpoint)
{
    return fmt::format("d{}", endpoint % 2);
}

void World::evacuate(int endpoint)
{
    const std::string domain = domainOf(endpoint);
    record_.evacuations.push_back({domain, Never, {}});
    evacuationOffsets_.push_back(store_.put(ConfigTopic, "evacuate/" + domain, "{}"));
}

void World::takeBack(int endpoint)
{
    const std::string domain = domainOf(endpoint);
    const Instant now = std::chrono::steady_clock::now();
    for (Evacuation &evacuation : record_.evacuations) {
        if (evacuation.domain == domain) {
            evacuation.until = std::min(evacuation.until, now);
        }
    }
    store_.put(ConfigTopic, "evacuate/" + domain, "");
}

void World::beginLeaving(int endpoint)
{
    const std::lock_guard lock(endpointsMutex_);
    EndpointPlace &place = endpoints_[at(endpoint)];
    if (!place.leaving) {
        place.leaving = true;
        list(endpoint, "draining");
    }
}

void World::sayLeaving(int endpoint)
{
    const std::lock_guard lock(endpointsMutex_);
    EndpointPlace &place = endpoints_[at(endpoint)];
    if (!place.leaving) {
        place.leaving = true;
        place.server->sayLeaving();
    }
}

void World::endLeaving(int endpoint)
{
    const std::lock_guard lock(endpointsMutex_);
    if (endpoints_[at(endpoint)].leaving) {
        listAnew(endpoint);
    }
}

void World::listAnew(int endpoint)
{
    EndpointPlace &place = endpoints_[at(endpoint)];
    store_.put(EndpointTopic, place.server->id(), "");
    place.leaving = false;
    ++place.starts;
    place.server->restart(endpointId(endpoint, place.starts),
                          softwareVersion(endpoint, place.starts));
    list(endpoint, "ready");
}

void World::crashEndpoint(int endpoint)
{
    const std::lock_guard lock(endpointsMutex_);
    endpoints_[at(endpoint)].crashed = true;
    endpoints_[at(endpoint)].relay->setCut(RelayCut::Reset);
}

void World::restoreEndpoint(int endpoint)
{
    const std::lock_guard lock(endpointsMutex_);
    EndpointPlace &place = endpoints_[at(endpoint)];
    if (!place.crashed) {
        return;
    }
    place.crashed = false;
    if (!place.leaving) {
        listAnew(endpoint);
    }
    place.relay->setCut(RelayCut::None);
}

void World::crashByPart(int endpoint)
{
    constexpr std::chrono::milliseconds RestartDelay(700);
    std::size_t noted = 0;
    {
        const std::lock_guard lock(record_.mutex);
        const Instant now = std::chrono::steady_clock::now();
        record_.partCrashes.push_back(now);
        noted = record_.unplanned.size();
        record_.unplanned.push_back({Disturbance::EndpointCrash, Disturbance::AllHosts, now,
                                     now + RestartDelay, false});
    }
    crashEndpoint(endpoint);
    std::this_thread::sleep_for(RestartDelay);
    restoreEndpoint(endpoint);
    const std::lock_guard lock(record_.mutex);
    record_.unplanned[noted].until = std::chrono::steady_clock::now();
}

void World::delist(int endpoint)
{
    const std::lock_guard lock(endpointsMutex_);
    EndpointPlace &place = endpoints_[at(endpoint)];
    if (!place.leaving) {
        store_.put(EndpointTopic, place.server->id(), "");
        place.leaving = true;
    }
}

void World::kill(int host)
{
    Host &of = hosts_[at(host)];
    if (of.state == HostState::Running || of.state == HostState::Stopping) {
        of.process->kill();
        of.state = HostState::Down;
    }
}

void World::restart(int host)
{
    if (hosts_[at(host)].state == HostState::Down) {
        start(host);
    }
}

void World::pause(int host)
{
    Host &of = hosts_[at(host)];
    if (of.state == HostState::Running) {
        of.process->signal(SIGSTOP);
        of.state = HostState::Paused;
    }
}

void World::resume(int host)
{
    Host &of = hosts_[at(host)];
    if (of.state == HostState::Paused) {
        of.process->signal(SIGCONT);
        of.state = HostState::Running;
    }
}

void World::losePower(int host)
{
    // So that readings of the two clocks can pass for readings of one shortly after each other.
    constexpr int MostBackMs = 12'000;
    constexpr std::chrono::milliseconds Together(100);
    Host &of = hosts_[at(host)];
    if (of.state == HostState::Down) {
        return;
    }
    of.process->signal(SIGKILL);
    of.state = HostState::Down;
    const Instant now = std::chrono::steady_clock::now();
    if (now - powerLostAt_ > Together) {
        std::uniform_int_distribution<int> back(0, MostBackMs);
        bootClocksBack_ = std::chrono::milliseconds(back(random_));
    }
    powerLostAt_ = now;
    of.bootClockOffset -= bootClocksBack_;
}

void World::silenceStore(int host)
{
    holdStoreForth(host);
    holdStoreBack(host);
}

void World::delayStore(int host)
{
    hosts_[at(host)].store->faults().delayMs = SlowMs;
}

void World::resetStore(int host)
{
    hosts_[at(host)].store->resetAll();
}

void World::healStore(int host)
{
    RelayFaults &faults = hosts_[at(host)].store->faults();
    faults.holdForth = false;
    faults.holdBack = false;
    faults.delayMs = 0;
}

void World::forget(int)
{
    for (const char *topic : {OwnTopic, ConfigTopic, EndpointTopic}) {
        store_.forget(topic);
    }
}

void World::losePeers(int host)
{
    hosts_[at(host)].peers->faults().lossPercent = LossPercent;
}

void World::silencePeers(int host)
{
    hosts_[at(host)].peers->faults().holdForth = true;
}

void World::healPeers(int host)
{
    RelayFaults &faults = hosts_[at(host)].peers->faults();
    faults.lossPercent = 0;
    faults.holdForth = false;
}

void World::delayCallers(int host)
{
    hosts_[at(host)].callers->faults().delayMs = SlowMs;
}

void World::resetCallers(int host)
{
    hosts_[at(host)].callers->resetAll();
}

void World::healCallers(int host)
{
    hosts_[at(host)].callers->faults().delayMs = 0;
}

void World::delayEndpoint(int endpoint)
{
    endpoints_[at(endpoint)].relay->faults().delayMs = SlowMs;
}

void World::silenceEndpoint(int endpoint)
{
    endpoints_[at(endpoint)].relay->faults().holdForth = true;
    holdEndpointBack(endpoint);
}

void World::holdEndpointBack(int endpoint)
{
    endpoints_[at(endpoint)].relay->faults().holdBack = true;
}

void World::resetEndpoint(int endpoint)
{
    endpoints_[at(endpoint)].relay->resetAll();
}

void World::healEndpoint(int endpoint)
{
    RelayFaults &faults = endpoints_[at(endpoint)].relay->faults();
    faults.delayMs = 0;
    faults.holdForth = false;
    faults.holdBack = false;
}

bool World::serves(Caller &caller, int host)
{
    return caller.send("read", host, "large") && caller.send("chat", host, "large")
           && caller.send("probe", host, "large", version_);
}

void World::spendRest(Caller &caller)
{
    // From large to small: what is left then is less than the smallest request at each host.
    constexpr uint64_t Smallest = 50;
    constexpr uint64_t Part = 16; // of the budget
    for (uint64_t prompt = smallBudget_ / Part; prompt >= Smallest; prompt /= 2) {
        int refusedInARow = 0;
        for (int host = 0; refusedInARow < shape_.hosts; host = (host + 1) % shape_.hosts) {
            const bool served = caller.send("chat", host, "small", 0, false, prompt);
            refusedInARow = served ? 0 : refusedInARow + 1;
        }
    }
}

void World::finish()
{
    healAll(0);
    for (int i = 0; i < shape_.endpoints; ++i) {
        healEndpoint(i);
        spoilNoAnswers(i);
        unlimitRequests(i);
        unlimitRejections(i);
        endBackoffs(i);
        endLeaving(i);
    }
    for (int i = 0; i < shape_.hosts; ++i) {
        healStore(i);
        healPeers(i);
        healCallers(i);
        healLinks(i);
        resume(i);
        endStop(i);
        restart(i);
    }
    // The limit is for a run that has failed already: each host serves within seconds.
    constexpr int Tries = 300;
    constexpr std::chrono::milliseconds Between(100);
    Caller caller(view_, record_, "last");
    for (int i = 0; i < shape_.hosts; ++i) {
        int left = Tries;
        while (left > 0 && !serves(caller, i)) {
            std::this_thread::sleep_for(Between);
            --left;
        }
        if (left == 0) {
            record_.unserved.push_back(fmt::format("h{}", i));
        }
    }
    noteActedOn();
    spendRest(caller);
    for (int i = 0; i < shape_.hosts; ++i) {
        beginStop(i);
    }
    for (int i = 0; i < shape_.hosts; ++i) {
        stopped(i);
    }
    for (const auto &[key, value] : store_.newest(OwnTopic)) {
        if (key.rfind("budget/", 0) == 0) {
            record_.allotted[key.substr(key.rfind('/') + 1)] += std::stoull(value);
        }
    }
}

std::map<ProcessOf, Instant> World::actedOn(const std::string &topic, uint64_t offset)
{
    std::map<ProcessOf, Instant> acted;
    for (int host = 0; host < shape_.hosts; ++host) {
        for (int incarnation = 0; incarnation <= hosts_[at(host)].incarnation; ++incarnation) {
            const ProcessOf process{host, incarnation};
            if (const auto when = store_.readPast(sourceOf(process), topic, offset)) {
                acted[process] = *when;
            }
        }
    }
    return acted;
}

void World::noteActedOn()
{
    for (std::size_t i = 0; i < places_.size(); ++i) {
        record_.published[i].actedOn = actedOn(places_[i].first, places_[i].second);
    }
    for (std::size_t i = 0; i < evacuationOffsets_.size(); ++i) {
        record_.evacuations[i].actedOn = actedOn(ConfigTopic, evacuationOffsets_[i]);
    }
}

} // namespace sequoiagate::soak
