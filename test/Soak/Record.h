#ifndef TEST_SOAK_RECORD_H
#define TEST_SOAK_RECORD_H

/// What a soak saw from outside the programs: what callers sent and got, what endpoints ran,
/// what was done to the fleet, and what the store held at the end. The checks judge this and
/// nothing else.

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate::soak {

/// Of the streams' service, as its configuration says.
constexpr uint64_t TokensPerEvent = 4;

/// One process of a host: the host's number, and how many ran there before it.
struct ProcessOf
{
    int host = 0;
    int incarnation = 0;

    auto operator<=>(const ProcessOf &) const = default;
};

/// A request as its caller saw it.
struct Attempt
{
    std::string id;
    std::string route; ///< "once", "read", "chat", "talk", "probe"
    std::string workspace;
    ProcessOf sentTo;
    uint64_t promptTokens = 0;
    uint64_t probes = 0; ///< the version whose own route and key it used; 0: none
    Instant sentAt{};
    Instant endedAt{};
    int status = 0;                 ///< 0: no answer
    bool notRun = false;            ///< the answer says that it has not run
    bool whole = false;             ///< the whole of its own answer came
    bool answerBegan = false;       ///< the head of an answer came
    std::string wrong;              ///< what was wrong with a success, if anything
    uint64_t events = 0;            ///< of a stream, as they came
    std::string stream;             ///< the request that brought the stream's first event
    uint64_t resumedAt = 0;         ///< the event at which a stream that was taken up goes on
    std::set<std::string> versions; ///< of the endpoints' software, as the events name them
    bool crashesEndpoints = false;  ///< a part of its prompt does
    std::string reason;             ///< of a refusal
    bool leftByCaller = false;      ///< it gave up or hung up: how it would have ended isn't known
    std::string error;              ///< why its connection failed, as the caller's library says it
};

/// A request as an endpoint ran it.
struct Run
{
    std::string id;
    std::string workspace; ///< as the endpoint was told
    std::string endpoint;
    uint64_t events = 0; ///< written
    bool spoilt = false; ///< the endpoint broke its own answer off, lost or garbled it
    Instant at{};
};

/// A request as it reached an endpoint, run or not, while endpoints say what they want.
struct Arrival
{
    std::string request;
    std::string endpoint;
    Instant at{};
    Interval backoff{};       ///< that its answer asked for
    bool saidLeaving = false; ///< its answer did
};

/// Something done to one host, or to all of them.
struct Disturbance
{
    static constexpr int AllHosts = -1;
    static constexpr const char *EndpointCrash = "endpoint crashes";

    std::string what;
    int host = AllHosts;
    Instant from{};
    Instant until{};
    bool closesCallers = false; ///< it breaks callers' connections
};

/// A step of the schedule, as it was played.
struct PlayedStep
{
    static constexpr int TestItself = -1;

    std::string what;
    bool begins = false;
    int target = 0; ///< a host's or an endpoint's number, or TestItself
    Instant at{};
    Instant doneAt{};
};

/// A record of the store that processes must act on once they have read past it.
struct Published
{
    uint64_t version = 0; ///< of a configuration; 0: none
    std::string leaving;  ///< the endpoint that it says is leaving; empty: none
    Instant at{};
    std::map<ProcessOf, Instant> actedOn;
};

/// A failure domain from which an operator keeps requests away.
struct Evacuation
{
    std::string domain;
    Instant until = Never; ///< when it was taken back
    std::map<ProcessOf, Instant> actedOn;
};

struct StopOf
{
    ProcessOf process;
    int exitCode = 0;
    int64_t cutOff = 0; ///< requests that the process says it cut
};

/// Thread safe while it is filled; read it when all threads have ended.
struct Record
{
    std::vector<Attempt> attempts;
    std::vector<Run> runs;
    std::vector<Arrival> arrivals;
    std::set<std::string> received; ///< requests that reached an endpoint, also if not run
    std::vector<Disturbance> unplanned;
    std::vector<PlayedStep> played;
    std::vector<Published> published;
    std::vector<Evacuation> evacuations;
    std::map<std::string, std::string> domains; ///< of endpoints
    std::vector<StopOf> stops;
    std::map<std::string, uint64_t> prepaid;  ///< the most that was in force, by workspace
    std::map<std::string, uint64_t> allotted; ///< by the store's rows after all had stopped
    std::vector<std::string> unserved; ///< hosts that didn't serve after the end of all faults
    std::vector<std::string> excesses; ///< beyond what an endpoint said that it bears
    std::vector<Instant> partCrashes;  ///< of endpoints, by the part that crashes them
    /// Nothing was killed and no datagram lost: the store's totals must be what was used.
    bool exact = false;

    void add(Attempt attempt)
    {
        const std::lock_guard lock(mutex);
        attempts.push_back(std::move(attempt));
    }
    void add(Run run)
    {
        const std::lock_guard lock(mutex);
        runs.push_back(std::move(run));
    }
    void add(Arrival arrival)
    {
        const std::lock_guard lock(mutex);
        arrivals.push_back(std::move(arrival));
    }
    void addReceived(const std::string &id)
    {
        const std::lock_guard lock(mutex);
        received.insert(id);
    }

    std::mutex mutex;
};

} // namespace sequoiagate::soak

#endif
