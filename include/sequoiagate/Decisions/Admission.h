#ifndef SEQUOIAGATE_DECISIONS_ADMISSION_H
#define SEQUOIAGATE_DECISIONS_ADMISSION_H

/// What is let in, what waits and for how long, and what is turned away. Pure:
/// no network, no clock, no threads.
///
/// Answers a burst and saturation. Without it every request is let in: the
/// endpoints' own queues grow for as long as the overload lasts, first tokens come
/// after all callers have hung up, and the work done for these keeps the next ones
/// waiting (goodput falls while every endpoint is busy).
///
/// - Requests in flight are bounded by slots. A stream holds its slot for some 13 s,
///   so a slot that is empty until the next arrival costs next to nothing: the queue
///   need not be long, and a long one only turns into waiting.
/// - Requests without a first token are bounded by StartLimit, as prefill is the engines'
///   second narrow place.
/// - An interactive request waits at most interactiveWait: 0.63 s to the first token, less
///   0.23 s, in which 99 of 100 first tokens come once they are sent. With 0.3 s small
///   workspaces were refused more often at today's size, where a router has six slots
///   free a second (Jain 0.894, 0.907 with 0.4 s). Batch work waits maximumWait.
/// - A request whose expected wait (those ahead of it over the drain rate) is past its
///   end of waiting is refused at once, and so is one that waits and falls that far
///   behind: nobody is held until a deadline that can't be met. The drain rate is the
///   slots over the mean time that one is held (Little's law). Ends counted over
///   a while would do as well under steady load, but after a quiet hour they say that
///   nothing drains, and the first burst would be refused.
/// - Between workspaces the order is FairQueue's; when the queue is full, what stands
///   furthest beyond its workspace's share gives way, not what came last.
/// - While requests are refused, the last smallReserve of the slots are closed to the
///   workspace that holds most slots by its weight (trunk reservation, as in telephony).
///   The queue alone orders those who wait at the same time; with some six slots free a
///   second that is often one, and the largest workspace, which always has the next
///   request at hand, held 2.4 times its share while small ones lost a quarter of theirs.
/// - While both classes wait, interactive gets interactiveShare of the tokens and batch
///   the rest, so that Assessments go on under a flood of Chat Turns. Counted in tokens,
///   as a slot is held for about as long as they take: counted in requests, batch would
///   hold nearly all slots. (Counted in slots, a router with four gave batch none.)
///   Batch never takes the last interactiveReserve of the slots: its work is long, and
///   a caller who waits would otherwise wait for the end of an Assessment.
/// - A refusal names a time to come back, each the next place in a schedule that is paced
///   at a part of the drain rate. Callers told one delay, or one spread of delays, come
///   back faster than they can be served, and those who ask for the first time are
///   refused beside them: a tenfold burst of 5 s was felt for 22 s after its end.
///
/// Budgets are reserved before a request is offered here, so nothing waits in hope of
/// tokens it can't have.

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
    Instant deadline; ///< answered by then at the latest
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
    double interactiveShare = 0.8; ///< of the tokens, while both classes wait
    uint64_t seed = 1;             ///< of the jitter in times to come back
    Interval interactiveWait = std::chrono::milliseconds(400); ///< at most maximumWait
    /// First tokens later than this after sending say that the engines' prefill is full.
    Interval startTarget = std::chrono::milliseconds(330);
    /// Of the slots, closed to the workspace that holds most while requests are refused.
    double smallReserve = 0.03;
    double interactiveReserve = 0.1; ///< of the slots, never given to batch work
};

/// Not thread safe.
class Admission
{
public:
    explicit Admission(AdmissionSettings settings);

    /// Decides on a new request. A Verdict is final and carries a time to come back.
    /// Another request may have given way to it: poll afterwards.
    /// \pre no request of that id is in flight or waits.
    AdmissionOutcome offer(const WorkItem &item, Instant now);
    /// The first token of an admitted request came. Waiting ones are then to be had from
    /// poll. Until it is called for the first time, StartLimit is off.
    void onFirstToken(const RequestId &request, Instant now);
    /// An admitted request ended. Waiting ones are then to be had from poll.
    /// \param tokensServed prompt and output, as billed
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
    /// Waiting requests expected to be let in a second; 0 while nothing is known.
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
        bool starting; ///< its first token hasn't come
    };

    /// Start-time fair queueing between the two classes.
    struct ClassShares
    {
        double virtualTime = 0.0;
        double interactiveFinish = 0.0;
        double batchFinish = 0.0;
    };

    /// Slots in use by one workspace.
    struct Holding
    {
        uint32_t slots = 0;
        double weight = 1.0;
    };

    FairQueue &queueOf(WorkClass workClass);
    const FairQueue &queueOf(WorkClass workClass) const;
    bool mayRun(WorkClass workClass) const;
    bool lastSlotsClosedTo(const WorkItem &item, Instant now) const;
    std::optional<WorkClass> nextClass() const;
    void chargeClass(WorkClass workClass, double cost);
    void start(const WorkItem &item, Instant now);
    AdmissionOutcome enqueue(const WorkItem &item, Instant now);
    bool makeRoom(const WorkItem &item, Instant now);
    double slotRate() const;
    double classRate(WorkClass workClass) const;
    Instant expectedStart(std::size_t ahead, WorkClass workClass, Instant now) const;
    Verdict refusal(Reason reason, Instant now);
    Reason crowdingReason(const WorkItem &item) const;
    void giveUp(WorkClass workClass, std::vector<QueueRelease> &released, Instant now);
    void admitWaiting(std::vector<QueueRelease> &released, Instant now);
    Instant comeBackAt(Instant now);

    AdmissionSettings settings_;
    std::unordered_map<RequestId, Running> running_;
    std::unordered_map<WorkspaceId, Holding> holdings_;
    Instant contendedUntil_; ///< a request was refused shortly before
    uint32_t interactiveRunning_ = 0;
    uint32_t starting_ = 0;
    bool firstTokensTold_ = false; ///< onFirstToken is called at all
    PrefillLimit startLimit_;
    MovingMean promptTokens_;
    FairQueue interactive_;
    FairQueue batch_;
    std::vector<QueueRelease> displaced_; ///< gave way to others since the last poll
    Instant displacedAt_ = Never;
    ClassShares classShares_;
    MovingMean heldSeconds_;
    Instant nextReturnAt_; ///< of the next caller to be refused
    std::mt19937_64 jitter_;
};

} // namespace sequoiagate

#endif
