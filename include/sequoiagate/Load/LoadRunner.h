#ifndef SEQUOIAGATE_LOAD_LOADRUNNER_H
#define SEQUOIAGATE_LOAD_LOADRUNNER_H

/// Plays a plan against a running system over HTTP and records what callers got.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Load/LoadPlan.h"

namespace sequoiagate {

/// A caller's workspace, as the report names it, and its key.
struct LoadCaller
{
    std::string workspace;
    std::string key;
};

struct LoadTarget
{
    std::string url; ///< http://HOST:PORT of a router, on loopback
    std::string model;
    std::vector<LoadCaller> callers;
    uint32_t connections = 256; ///< streams open at once
    Interval timeout = std::chrono::seconds(60);
};

/// What one caller got.
struct CallRecord
{
    PlannedRequest planned;
    bool sent = false; ///< false: all connections were in use, or the run had ended
    Instant sentAt;
    std::optional<Instant> firstTokenAt;
    Instant endedAt;
    int status = 0; ///< of HTTP; 0: no answer
    bool whole = false;
    uint64_t tokens = 0;
    std::string code;      ///< of a refusal or an error in the stream; empty if all went well
    bool toldWhen = false; ///< a refusal said when to come back
};

/// Throws unless \p url is http on a loopback address, by number, or localhost: the loads
/// are made to overrun what they meet.
/// \throws LoadError
void requireLoopback(const std::string &url);

/// Sends every planned request at its moment on a thread of its own pool, and waits for the
/// answers, for at most target.timeout after the last. Blocks; call from one thread.
/// \pre requireLoopback accepts target.url, and callers isn't empty.
std::vector<CallRecord> playLoad(const std::vector<PlannedRequest> &plan, const LoadTarget &target);

/// Makes an engine stand-in slow, and as it was again on destruction.
class SlowEndpoint
{
public:
    /// \throws LoadError if the stand-in doesn't take the order.
    SlowEndpoint(std::string url, double factor);
    ~SlowEndpoint();
    SlowEndpoint(const SlowEndpoint &) = delete;
    SlowEndpoint &operator=(const SlowEndpoint &) = delete;

private:
    bool order(double factor) const;

    std::string url_;
};

} // namespace sequoiagate

#endif
