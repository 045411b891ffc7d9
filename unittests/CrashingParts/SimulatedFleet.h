#ifndef SEQUOIAGATE_UNITTESTS_CRASHINGPARTS_SIMULATEDFLEET_H
#define SEQUOIAGATE_UNITTESTS_CRASHINGPARTS_SIMULATEDFLEET_H

/// Hosts that find crashing parts, their endpoints and callers, in simulated time.

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sequoiagate/Decisions/CrashConfirmation.h"
#include "sequoiagate/Decisions/CrashingParts.h"
#include "sequoiagate/Decisions/CrashingRequests.h"

namespace sequoiagate::crashing {

inline const ServiceId Service("s");
inline const Instant Start{std::chrono::hours(1)};
inline constexpr uint64_t BadPart = 0xBAD;
inline constexpr uint64_t SecondBadPart = 0xBAD2;
inline constexpr RequestKey BadRequest = 0xBAD3; ///< crashes endpoints by its own part
inline constexpr int Domains = 3;
inline constexpr Interval UntilCrash = std::chrono::milliseconds(60);
inline constexpr Interval StableTime = std::chrono::seconds(3); ///< the rules' stable-ms

inline Interval millis(int count)
{
    return std::chrono::milliseconds(count);
}

struct FleetShape
{
    int hosts = 6;
    int endpoints = 9;
    int soundPerSecond = 100;
    double loss = 0.0; ///< share of the datagrams that are lost
    Interval untilCrash = UntilCrash;
    bool keepsIds = false;  ///< endpoints start again under their ids
    double relayed = 0.0;   ///< share of the requests that another host relays
    double listening = 0.0; ///< share of the crashed endpoints whose address still accepts
                            ///< connections
    int repeats = 1;        ///< of a sound request, by its host and its caller
};

inline constexpr FleetShape Small{6, 9, 100, 0.0};
inline constexpr FleetShape Large{195, 116, 1500, 0.0};

/// The seeds of each row: a few, or those that SEQUOIAGATE_FLEET_SEEDS=FIRST:COUNT names.
std::vector<uint64_t> fleetSeeds();

/// A time in which some hosts don't reach endpoints, or each other.
struct Cut
{
    enum class Endpoints {
        All,          ///< the hosts reach none
        OtherDomains, ///< hosts and endpoints reach each other on the same side of the cut alone
    };
    enum class Datagrams {
        Pass,
        Lost,    ///< between the two sides
        Inbound, ///< those to the hosts that are cut off are lost
    };

    Instant from = Never;
    Instant until = Never;
    std::set<int> hosts;
    std::set<int> domains; ///< on the same side as the hosts
    Endpoints endpoints = Endpoints::All;
    Datagrams datagrams = Datagrams::Pass;
    Interval untilLost{}; ///< how long requests take to be lost at an endpoint behind it
};

/// First attempts of sound requests.
struct SoundRequests
{
    int sent = 0;
    int served = 0;
};

class SimulatedFleet
{
public:
    explicit SimulatedFleet(FleetShape shape, uint64_t seed = 1);

    /// Starts a host that knows nothing yet but what the store holds.
    void startHost(int number);
    /// Loses the memory of all hosts at the same moment.
    void startAllHosts();
    void setCut(Cut cut) { cut_ = std::move(cut); }

    /// Sends a prompt by any host to any endpoint that is up. Its own last part isn't among
    /// \p parts.
    void send(const std::vector<uint64_t> &parts);
    /// Sends the same prompt once more. \pre \p request is that of an earlier prompt
    void sendAgain(const std::vector<uint64_t> &parts, RequestKey request);
    /// Sends a sound prompt whose caller doesn't come back.
    void sendBy(int host, const std::vector<uint64_t> &parts);
    void crash(std::size_t number);
    void crashShare(int percent);

    std::size_t randomEndpoint() { return random_() % endpoints_.size(); }
    Instant now() const { return now_; }
    std::size_t sent() const { return sent_; }
    /// Those since the last call.
    SoundRequests takeSoundRequests() { return std::exchange(sound_, {}); }

    /// Lets time pass, with sound callers.
    void run(Interval time);

    /// The parts that some host has quarantined.
    std::set<PartKey> quarantined() const;
    bool knowsAll(int host, const std::vector<uint64_t> &parts);

    int refused = 0;
    int soundRequestsRefused = 0; ///< for the endpoints that were lost under them
    int soundRequestsRefusedForLong = 0;
    /// Those that hosts sent that weren't cut off, by part.
    std::map<uint64_t, std::vector<Instant>> badArrivals;
    std::map<uint64_t, std::vector<Instant>> badCrashes;

private:
    struct Request
    {
        int host = 0;
        std::vector<uint64_t> parts;
        Instant sentAt{};
        bool isRepeat = false;
        HostId relay;            ///< empty if none relays it
        EndpointProcess process; ///< as listed when it was sent
        RequestIdentity identity;
        int repeats = 0; ///< before it
    };

    struct Host
    {
        CrashingParts parts;
        CrashConfirmation confirmation;
        CrashingRequests requests;
    };

    struct Endpoint
    {
        int starts = 0;
        Instant downUntil{};
        bool listensWhileDown = false;
        std::vector<Request> open;
    };

    CrashingParts &at(const HostId &host) { return hosts_.at(host)->parts; }
    CrashingRequests &requestsAt(const HostId &host) { return hosts_.at(host)->requests; }
    CrashConfirmation &confirmationAt(const HostId &host) { return hosts_.at(host)->confirmation; }
    void connectParts(const HostPlace &self, CrashingParts &parts);
    void connectRequests(const HostPlace &self, CrashingRequests &requests);
    void connectConfirmation(const HostPlace &self, CrashConfirmation &confirmation);
    /// Tries the address of a process from a host.
    void probe(int host, const EndpointProcess &process);
    const HostId &idOf(int host) const { return places_.at(static_cast<std::size_t>(host)).host; }
    int numberOf(const HostId &host) const;
    EndpointProcess runningProcess(std::size_t number) const;
    /// The process that is listed, which is the one before for a moment after a start.
    EndpointProcess listedProcess(std::size_t number) const;
    bool isCut() const { return now_ >= cut_.from && now_ < cut_.until; }
    bool isBehind(int host) const { return cut_.hosts.count(host) > 0; }
    bool canReach(int host, std::size_t endpoint) const;
    bool canHear(int from, int to) const;
    bool chance(double share);
    /// What of the request crashes endpoints; 0: nothing does.
    static uint64_t badOf(const std::vector<uint64_t> &parts, RequestKey key);
    static RequestIdentity identityOf(const std::vector<uint64_t> &parts, RequestKey key);
    void sendRequest(const std::vector<uint64_t> &parts, RequestKey key, int repeats);
    /// Sends a request that was lost once more, if it may be.
    void repeat(const Request &request);
    /// Another host that relays a request of \p host; empty if none does.
    HostId drawRelay(int host);
    void sendTo(std::size_t endpoint, Request request);
    /// Loses a request and has its host look at the endpoint.
    void lose(const Request &request);
    void deliver(const HostId &from, const HostId &to, std::function<void()> arrive);
    /// The same for what is told of requests, without changing what the rest draws.
    void deliverLosses(const HostId &from, const HostId &to, std::function<void()> arrive);
    void deliverBy(std::mt19937_64 &random, const HostId &from, const HostId &to,
                   std::function<void()> arrive);
    /// Loses the requests that are open behind the cut.
    void beginCut();
    void complete();
    void gossip();

    FleetShape shape_;
    std::mt19937_64 random_;
    std::mt19937_64 lossRandom_;
    Instant now_ = Start;
    Instant nextGossipAt_{};
    double soundDue_ = 0.0;
    Cut cut_;
    bool isCutBegun_ = false;
    std::vector<HostPlace> places_;
    std::map<HostId, std::unique_ptr<Host>> hosts_;
    std::vector<Endpoint> endpoints_;
    /// When a host tries an endpoint again behind a cut.
    std::map<std::pair<int, std::size_t>, Instant> avoidedUntil_;
    std::multimap<Instant, std::function<void()>> queue_;
    std::map<PartKey, Quarantine> stored_;
    std::size_t sent_ = 0;
    RequestKey lastRequest_ = 0;
    SoundRequests sound_;
};

} // namespace sequoiagate::crashing

#endif
