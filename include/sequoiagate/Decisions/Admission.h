#ifndef SEQUOIAGATE_DECISIONS_ADMISSION_H
#define SEQUOIAGATE_DECISIONS_ADMISSION_H

/// What is let in, what waits and for how long, and what is turned away. Pure:
/// no network, no clock, no threads.

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

enum class WorkClass {
    Interactive, ///< a Chat Turn: somebody waits for its first token
    Batch,       ///< an Assessment: long, waited for in the background
};

/// What the decisions know of a request.
struct WorkItem
{
    RequestId request;
    WorkspaceId workspace;
    ServiceId service;
    WorkClass workClass = WorkClass::Interactive;
    uint64_t promptTokens = 0;
    uint64_t outputCeiling = 0;
    uint64_t prefixHash = 0; ///< stable hash of the prompt's first block; 0: none
    bool idempotent = true;
    double weight = 1.0; ///< of its workspace, for fair shares
    Instant arrivedAt;
    Instant deadline = Never; ///< it is given up, and answered, when it still waits then
};

struct Admitted
{
    RequestId request;
};

struct Queued
{
    Instant until; ///< answered by then at the latest
};

using AdmissionOutcome = std::variant<Admitted, Queued, Verdict>;

/// A queued request's end of waiting.
struct QueueRelease
{
    RequestId request;
    bool admitted = false;
    Verdict verdict; ///< when not admitted
};

struct AdmissionSettings
{
    uint32_t slots = 64;       ///< requests in flight through this router
    uint32_t queueLimit = 256; ///< requests that may wait
    Interval maximumWait = std::chrono::seconds(2);
    double interactiveShare = 0.8; ///< of the slots, while both classes wait
    uint64_t seed = 1;             ///< of the jitter in times to come back
};

/// Not thread safe.
class Admission
{
public:
    explicit Admission(AdmissionSettings settings);

    /// Decides on a new request. A Verdict is final and carries a time to come back.
    AdmissionOutcome offer(const WorkItem &item, Instant now);
    /// An admitted request ended. Waiting ones are then to be had from poll.
    void finished(const RequestId &request, uint64_t tokensServed, Instant now);
    /// A caller hung up while its request waited.
    void cancelled(const RequestId &request, Instant now);
    /// How many requests may be in flight, from the endpoints' room.
    void setSlots(uint32_t slots, Instant now);
    /// Requests that stop waiting now: admitted or given up.
    std::vector<QueueRelease> poll(Instant now);
    /// When poll next has something to say without another event.
    Instant nextDeadline() const;

    uint32_t inFlight() const;
    uint32_t waiting() const;

private:
    struct Waiting
    {
        WorkItem item;
        Instant until;
    };

    void admitWaiting(std::vector<QueueRelease> &released);
    Instant comeBackAt(Instant now);

    AdmissionSettings settings_;
    std::unordered_set<RequestId> inFlight_;
    std::deque<Waiting> queue_;
    std::mt19937_64 jitter_;
};

} // namespace sequoiagate

#endif
