#ifndef TEST_SOAK_CALLERS_H
#define TEST_SOAK_CALLERS_H

/// Callers that keep connections to all hosts and use them until the host is gone.

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>

#include "Record.h"

namespace sequoiagate::soak {

/// What callers know of the fleet. Called from many threads.
struct FleetView
{
    int hosts = 0;
    /// "IP:port" for callers of a host.
    std::function<std::string(int)> address;
    std::function<int(int)> incarnation;
    std::function<uint64_t()> newestVersion;
    bool hasCrashingPart = false; ///< a caller sends prompts that crash endpoints
    bool hasSlowReaders = false;  ///< some callers read their answers slowly
};

constexpr uint64_t UsualPrompt = 200; // tokens

/// One caller: its connections, and how it sends. Not thread safe.
class Caller
{
public:
    Caller(const FleetView &fleet, Record &record, std::string name);

    /// Sends a stream whose prompt crashes endpoints.
    void sendCrashing(int host);
    /// Takes up the stream that broke off in the last request, if one did and may be taken up.
    void takeUp(int host);
    /// Sends a request of \p route to \p host and notes how it went. \returns whether its own
    /// whole answer came. \p probes is the version whose own route is tried; 0: none. \p
    /// promptTokens counts for streams.
    bool send(const std::string &route, int host, const std::string &workspace, uint64_t probes = 0,
              bool hangsUp = false, uint64_t promptTokens = UsualPrompt);

private:
    void perform(Attempt attempt, int host, bool hangsUp);
    httplib::Client &client(int host);
    httplib::Request request(const Attempt &attempt) const;
    void judge(Attempt &attempt, const httplib::Result &result, const std::string &body) const;
    void judgeStream(Attempt &attempt, bool ended, const std::string &body) const;

    const FleetView &fleet_;
    Record &record_;
    std::string name_;
    uint64_t sent_ = 0;
    Attempt last_;
    std::map<int, std::unique_ptr<httplib::Client>> clients_;
};

/// Callers on threads of their own, from start to stop.
class Callers
{
public:
    /// \param idleLimit of callers' connections; if it isn't zero, \p count more callers keep a
    /// connection idle for about that long between requests, and send together.
    Callers(const FleetView &fleet, Record &record, int count, uint64_t seed,
            std::chrono::milliseconds idleLimit);
    ~Callers();
    void stop();

private:
    void run(int number, uint64_t seed);
    void runCrashing(uint64_t seed);
    void runIdle(int number, uint64_t seed, std::chrono::milliseconds idleLimit);

    const FleetView &fleet_;
    Record &record_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace sequoiagate::soak

#endif
