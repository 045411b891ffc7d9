#ifndef TEST_SOAK_WORLD_H
#define TEST_SOAK_WORLD_H

/// A fleet of edges as processes, its store and endpoints, and the relays between them; and
/// what can be done to each from outside.

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Callers.h"
#include "Endpoint.h"
#include "Record.h"
#include "test/Support/PlatformStandin.h"
#include "test/Support/Process.h"
#include "test/Support/Relay.h"

namespace sequoiagate::soak {

struct WorldShape
{
    int hosts = 4;
    int endpoints = 5; ///< the first two serve plain requests, the others streams
    int callers = 8;
    uint64_t smallBudget = 40'000; ///< runs dry within a few seconds
    uint64_t largeBudget = 4'000'000;
    uint64_t seed = 1;
    std::chrono::milliseconds idleLimit{}; ///< of callers' connections; zero: the default
    bool ownLinks = false;                 ///< each host reaches the endpoints by links of its own
    bool hasCrashingPart = false;          ///< of prompts; it crashes endpoints
    bool hasColdStarts = false;            ///< endpoints are cold for a while after their starts
    /// Endpoints of unequal speed, routes of unequal rank, callers that read slowly, and hosts that
    /// decide by these.
    bool hasUnequalLoad = false;
};

/// Used by the thread that plays the faults.
class World
{
public:
    /// \pre \p scratch outlives it. The processes' logs are written there.
    World(WorldShape shape, Record &record, const ScratchFolder &scratch);
    ~World();

    const WorldShape &shape() const { return shape_; }
    const FleetView &view() const { return view_; }

    // ---- planned work ----
    void beginStop(int host);
    void endStop(int host);
    void reload(int host);
    void newConfiguration(int);
    void beginLeaving(int endpoint);
    void endLeaving(int endpoint);
    /// Evacuates the failure domain of \p endpoint, and takes it back.
    void evacuate(int endpoint);
    void takeBack(int endpoint);

    // ---- failures of hosts ----
    void kill(int host);
    void restart(int host);
    void pause(int host);
    void resume(int host);
    /// Returns at once, so that hosts which lose power in one step die together. The clocks since
    /// boot of their next processes begin anew together.
    void losePower(int host);

    // ---- failures between hosts and the store ----
    void holdStoreForth(int host) { hosts_[at(host)].store->faults().holdForth = true; }
    void holdStoreBack(int host) { hosts_[at(host)].store->faults().holdBack = true; }
    void silenceStore(int host);
    void delayStore(int host);
    void resetStore(int host);
    void healStore(int host);
    void refuseAll(int) { store_.setFault(StoreFault::Refuse); }
    void silenceAll(int) { store_.setFault(StoreFault::Silent); }
    void loseAnswers(int) { store_.setFault(StoreFault::LoseAnswers); }
    void executeLate(int) { store_.setFault(StoreFault::Late); }
    void forget(int);
    void healAll(int) { store_.setFault(StoreFault::None); }

    // ---- failures between hosts, callers and endpoints ----
    void losePeers(int host);
    void silencePeers(int host);
    void healPeers(int host);
    void delayCallers(int host);
    void resetCallers(int host);
    void healCallers(int host);
    void delayEndpoint(int endpoint);
    void silenceEndpoint(int endpoint);
    void holdEndpointBack(int endpoint);
    void resetEndpoint(int endpoint);
    void healEndpoint(int endpoint);
    void spoilAnswers(int endpoint) { endpoints_[at(endpoint)].server->setSpoils(true); }
    void spoilNoAnswers(int endpoint) { endpoints_[at(endpoint)].server->setSpoils(false); }
    void delist(int endpoint);
    /// Resets and refuses the connections of \p endpoint, until it is back under another id.
    void crashEndpoint(int endpoint);
    void restoreEndpoint(int endpoint);

    // ---- conditions that excuse nothing, or only what is open at a host when they begin ----
    /// Partitions \p host from all endpoints. \pre shape().ownLinks
    void hangLinks(int host) { cutLinks(host, RelayCut::Hang); }
    void resetLinks(int host) { cutLinks(host, RelayCut::Reset); }
    void refuseLinks(int host) { cutLinks(host, RelayCut::RefuseNew); }
    void healLinks(int host) { cutLinks(host, RelayCut::None); }
    void limitRequests(int endpoint) { endpoints_[at(endpoint)].server->limitRequests(true); }
    void unlimitRequests(int endpoint) { endpoints_[at(endpoint)].server->limitRequests(false); }
    void limitRejections(int endpoint) { endpoints_[at(endpoint)].server->limitRejections(true); }
    void unlimitRejections(int endpoint)
    {
        endpoints_[at(endpoint)].server->limitRejections(false);
    }

    void beginBackoffs(int endpoint) { endpoints_[at(endpoint)].server->askForBackoff(true); }
    void endBackoffs(int endpoint) { endpoints_[at(endpoint)].server->askForBackoff(false); }
    /// Lets \p endpoint say in its answers alone that it is leaving; endLeaving starts it anew.
    void sayLeaving(int endpoint);

    /// Ends every failure, waits until each host serves again, spends what is left of the small
    /// budget, stops all as planned, and notes what the store holds. \pre no callers run
    void finish();

private:
    enum class HostState { Running, Stopping, Paused, Down };

    struct Host
    {
        HostState state = HostState::Down;
        int incarnation = -1;
        std::unique_ptr<Process> process;
        std::unique_ptr<TcpRelay> store;
        std::unique_ptr<TcpRelay> callers;
        std::unique_ptr<UdpRelay> peers;
        std::map<std::string, std::unique_ptr<TcpRelay>> links; ///< by the endpoint's address
        uint64_t reloads = 0;
        std::chrono::milliseconds bootClockOffset{};
    };

    struct EndpointPlace
    {
        std::unique_ptr<Endpoint> server;
        std::unique_ptr<TcpRelay> relay;
        int starts = 0;
        bool leaving = false;
        bool crashed = false;
    };

    static std::size_t at(int number) { return static_cast<std::size_t>(number); }
    static std::string sourceOf(const ProcessOf &process);
    nlohmann::json settings(int host, uint64_t reloads) const;
    void start(int host);
    void makeLinks(Host &host);
    void cutLinks(int host, RelayCut cut);
    void stopped(int host);
    void list(int endpoint, const std::string &state);
    /// Crashes \p endpoint by the part of a prompt, and waits until it is back.
    void crashByPart(int endpoint);
    /// Lists \p endpoint under a new id. \pre endpointsMutex_ is held
    void listAnew(int endpoint);
    static std::string domainOf(int endpoint);
    nlohmann::json limits() const;
    void configure();
    void publish(Published published, const std::string &topic, const std::string &key,
                 const std::string &value);
    bool serves(Caller &caller, int host);
    void spendRest(Caller &caller);
    /// When each process had read past a row and acted on it.
    std::map<ProcessOf, Instant> actedOn(const std::string &topic, uint64_t offset);
    void noteActedOn();

    WorldShape shape_;
    Record &record_;
    const ScratchFolder &scratch_;
    RelayLoop loop_;
    StoreStandin store_;
    std::vector<Host> hosts_;
    std::vector<EndpointPlace> endpoints_;
    std::mutex endpointsMutex_; ///< of their states; crashes by a part come from other threads
    std::unique_ptr<std::atomic<int>[]> incarnations_;
    std::atomic<uint64_t> version_{0};
    uint64_t smallBudget_;
    /// Of record_.published, in the same order: where each stands in the store.
    std::vector<std::pair<std::string, uint64_t>> places_;
    std::vector<uint64_t> evacuationOffsets_; ///< of the rows of Record::evacuations
    FleetView view_;
    std::mt19937_64 random_;
    Instant powerLostAt_{};
    std::chrono::milliseconds bootClocksBack_{}; ///< of hosts that lost power then
};

} // namespace sequoiagate::soak

#endif
