#ifndef SEQUOIAGATE_DECISIONS_ADMISSION_H
#define SEQUOIAGATE_DECISIONS_ADMISSION_H

/// Admission control: which requests run now, which wait and for how long, and which
/// are refused. Pure: no network, no clock, no threads.
///
/// Guards against bursts and saturation. If every request were admitted, the endpoints'
/// own queues would grow for as long as the overload lasts, first tokens would arrive
/// after the callers have disconnected, and the work done for those callers would delay the
/// next ones: goodput falls while every endpoint is busy.
///
/// - Slots bound the requests in flight. A stream holds its slot for about 13 s, so a
///   slot that stays empty until the next arrival costs almost nothing. The queue can
///   therefore be short; a long one only adds waiting time.
/// - PrefillLimit bounds the requests without a first token, as prefill is the engines'
///   second bottleneck.
/// - An interactive request waits at most interactiveWait: the target of 0.63 s to the
///   first token, less the 0.23 s in which 99% of first tokens arrive once a request is
///   sent. With 0.3 s, small workspaces were refused more often in a small fleet, where
///   a router frees six slots a second (Jain index 0.894, against 0.907 with 0.4 s).
///   Batch requests wait at most maximumWait.
/// - A request is refused at once if its expected wait (the requests ahead of it over the
///   drain rate) ends after its deadline, and a waiting request is dropped when it falls
///   that far behind, so that no caller is kept waiting for a deadline that can't be met.
///   The drain rate is the number of slots over the mean time a slot is held (Little's
///   law). Counting completions over a time window would do as well under steady load,
///   but after an idle period it yields a rate of zero, and the first burst would be
///   refused.
/// - FairQueue orders the requests of different workspaces. When the queue is full, the
///   request furthest beyond its workspace's share is evicted, not the latest arrival.
/// - While requests are being refused, the last smallWorkspaceReserve of the slots are
///   closed to the workspace that holds the most slots relative to its weight (trunk
///   reservation, as in telephony). The queue only orders requests that wait at the same
///   time. With about six slots freed a second that is often a single request, and the
///   largest workspace, which always has the next request ready, held 2.4 times its share
///   while small workspaces lost a quarter of theirs.
/// - While both classes wait, interactive requests get interactiveShare of the tokens and
///   batch requests the rest, so that batch work proceeds under a flood of interactive
///   requests. The shares are counted in tokens because a slot is held for about as long
///   as its tokens take: counted in requests, batch would hold nearly all slots. (Counted
///   in slots, a router with four slots gave batch none.) Batch never takes the last
///   interactiveReserve of the slots: batch requests run long, and an interactive request
///   would otherwise wait for one of them to end.
/// - A refusal names a retry time, taken from a schedule that is paced at a fraction of
///   the drain rate. Callers that are given one delay, or delays drawn from one range,
///   return faster than they can be served, and new callers are refused as well: a
///   tenfold burst of 5 s was still noticeable 22 s after its end.
///
/// Budgets are reserved before a request is offered, so that no request waits
/// without the tokens to run.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Decisions/Estimates.h"
#include "sequoiagate/Decisions/FairQueue.h"
#include "sequoiagate/Decisions/PrefillLimit.h"
#include "sequoiagate/Decisions/WorkItem.h"

namespace sequoiagate {

struct Admitted
{
    RequestId request;
};

struct Queued
{
    Instant deadline; ///< poll returns the request by then at the latest
};

using AdmissionOutcome = std::variant<Admitted, Queued, Verdict>;

/// A request that left the queue.
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
    double interactiveShare = 0.8; ///< of the tokens, while both classes wait
    uint64_t seed = 1;             ///< of the jitter in retry times
    Interval interactiveWait = std::chrono::milliseconds(400); ///< at most maximumWait
    /// First tokens later than this after sending show that the engines' prefill capacity
    /// is exhausted.
    Interval firstTokenTarget = std::chrono::milliseconds(330);
    /// Share of the slots that is closed to the workspace holding the most while requests
    /// are refused.
    double smallWorkspaceReserve = 0.03;
    double interactiveReserve = 0.1; ///< of the slots, never given to batch requests
};

/// Not thread safe.
class Admission
{
public:
    explicit Admission(AdmissionSettings settings);

    /// Decides on a new request. A Verdict is final and carries a retry time. Another
    /// request may have been evicted from the queue to make room: poll afterwards.
    /// \pre no request with that id is in flight or waiting.
    AdmissionOutcome offer(const WorkItem &item, Instant now);
    /// Records the first token of an admitted request. Poll afterwards, as waiting
    /// requests may now be admitted. PrefillLimit is inactive until the first call.
    void onFirstToken(const RequestId &request, Instant now);
    /// Records the end of an admitted request. Poll afterwards, as waiting requests may
    /// now be admitted.
    /// \param tokensServed prompt and output, as billed
    void finished(const RequestId &request, uint64_t tokensServed, Instant now);
    /// Removes a waiting request whose caller disconnected.
    void cancelled(const RequestId &request, Instant now);
    /// Sets how many requests may be in flight, from the endpoints' free capacity.
    void setSlots(uint32_t slots, Instant now);
    /// Returns the requests that stop waiting now: admitted, expired or evicted.
    std::vector<QueueRelease> poll(Instant now);
    /// When poll next returns a request without another event.
    Instant nextDeadline() const;

    uint32_t inFlight() const;
    uint32_t waiting() const;
    /// Expected rate at which waiting requests are admitted, per second; 0 while unknown.
    double drainRate() const;

private:
    struct Running
    {
        WorkspaceId workspace;
        WorkClass workClass;
        double expectedCost;
        double weight;
        uint64_t promptTokens;
        Instant startedAt;
        bool prefilling; ///< its first token hasn't arrived
    };

    /// Start-time fair queueing between the two classes.
    struct ClassShares
    {
        double virtualTime = 0.0;
        double interactiveFinish = 0.0;
        double batchFinish = 0.0;
    };

    /// Slots in use by one workspace.
    struct SlotUsage
    {
        uint32_t slots = 0;
        double weight = 1.0;
    };

    FairQueue &queueOf(WorkClass workClass);
    const FairQueue &queueOf(WorkClass workClass) const;
    bool mayRun(WorkClass workClass) const;
    bool isBlockedByReserve(const WorkItem &item, Instant now) const;
    std::optional<WorkClass> nextClass() const;
    void chargeClass(WorkClass workClass, double cost);
    void start(const WorkItem &item, Instant now);
    AdmissionOutcome enqueue(const WorkItem &item, Instant now);
    bool evictFor(const WorkItem &item, Instant now);
    double slotReleaseRate() const;
    double classRate(WorkClass workClass) const;
    Instant expectedStart(std::size_t ahead, WorkClass workClass, Instant now) const;
    Verdict refusal(Reason reason, Instant now);
    Reason refusalReason(const WorkItem &item) const;
    void dropOverdue(WorkClass workClass, std::vector<QueueRelease> &released, Instant now);
    void admitWaiting(std::vector<QueueRelease> &released, Instant now);
    Instant nextRetryTime(Instant now);

    AdmissionSettings settings_;
    std::unordered_map<RequestId, Running> running_;
    std::unordered_map<WorkspaceId, SlotUsage> slotUsage_;
    Instant contendedUntil_; ///< a request was refused recently
    uint32_t interactiveRunning_ = 0;
    uint32_t prefilling_ = 0;
    bool firstTokensReported_ = false; ///< onFirstToken has been called
    PrefillLimit prefillLimit_;
    MovingMean promptTokens_;
    FairQueue interactive_;
    FairQueue batch_;
    std::vector<QueueRelease> evicted_; ///< since the last poll
    Instant evictedAt_ = Never;
    ClassShares classShares_;
    MovingMean slotHoldSeconds_;
    Instant nextRetryAt_; ///< retry time of the next caller to be refused
    std::mt19937_64 jitter_;
};

} // namespace sequoiagate

#endif
