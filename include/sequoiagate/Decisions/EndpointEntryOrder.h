#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTENTRYORDER_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTENTRYORDER_H

/// Decides which entries of an endpoint hold when the store carries out their writes late. Pure.
///
/// A write whose answer was lost may be carried out seconds later: behind newer entries of the same
/// process, behind those of a process that has replaced it, or behind the endpoint's removal.
/// Entries are ordered by the start of their process, then by the number that the process counts up
/// with each write. The numbers of a removed endpoint are kept for a time.
///
/// | entry                                         | verdict                                      |
/// |-----------------------------------------------|----------------------------------------------|
/// | newer than the known one, or of a later start | holds                                        |
/// | not newer than the known one                  | older                                        |
/// | of an earlier start                           | deferred: holds if no entry of the known     |
/// |                                               | process follows within EarlierStartDelay     |
/// | unknown, in a snapshot or the first of its    | holds                                        |
/// | process, or just after an outage of the store |                                              |
/// | unknown, any other                            | holds; the endpoint is a suspect             |
/// | older or deferred, in a snapshot              | the known process is a suspect               |
///
/// A process with an earlier start runs on a machine whose clock was set back, or has ended. Where
/// it has ended and the known one lives, that one writes its entry again with its next heartbeat.
///
/// A suspect may have been removed before this host could see it. It is to be used only while no
/// other endpoint can be.

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/EndpointProcess.h"

namespace sequoiagate {

/// How an entry was read.
enum class EntrySource {
    Snapshot, ///< as the newest one of its endpoint; earlier ones and removals may be missed
    Tail,     ///< as it was written, behind all earlier ones
};

enum class EntryVerdict {
    Holds,
    Older,
    Deferred, ///< to be asked about again with isDue()
};

/// Not thread safe.
class EndpointEntryOrder
{
public:
    /// How long entries of the known process may take to follow one of an earlier start: a few
    /// heartbeats, of which some may be lost.
    static constexpr Interval EarlierStartDelay = std::chrono::seconds(8);
    /// How long an endpoint stays a suspect, unless its process goes on writing. An endpoint that
    /// was removed has ended by then.
    static constexpr Interval SuspicionLifetime = std::chrono::seconds(30);
    /// How long a suspect's process must go on writing: longer than late writes follow each other.
    static constexpr Interval ConfirmationSpan = std::chrono::seconds(3);
    /// How long after an outage of the store unknown entries count as those of endpoints that were
    /// listed before.
    static constexpr Interval ReturnSpan = std::chrono::milliseconds(2200);
    /// How long the numbers of a removed endpoint are kept, and of how many at most.
    static constexpr Interval RemovedLifetime = std::chrono::minutes(10);
    static constexpr std::size_t MaxRemoved = 4096;

    /// Records an entry of \p process, its write number \p sequence. Entries without a start or a
    /// number always hold.
    EntryVerdict onEntry(const EndpointProcess &process, uint64_t sequence, EntrySource source,
                         Instant now);
    /// Whether the deferred entry of \p process holds by now. From then on it is the known one.
    bool takeDue(const EndpointProcess &process, Instant now);
    /// Records that \p endpoint isn't listed any more.
    void onRemoved(const EndpointId &endpoint, Instant now);
    /// Records that all entries written before \p asOf have been read.
    void onListRead(Instant asOf) { readAsOf_ = asOf; }
    /// Records whether the store answers.
    void setStoreReachable(bool reachable, Instant now);
    /// Drops what was kept for long enough. To be called several times a second.
    void dropExpired(Instant now);

    bool isSuspect(const EndpointId &endpoint, Instant now) const;
    /// Whether there may be suspects.
    bool hasSuspects(Instant now) const { return now < lastSuspectUntil_; }
    /// Whether the entry of \p process is deferred still.
    bool isDeferred(const EndpointProcess &process) const;
    /// The number of endpoints, including removed ones, whose numbers are kept.
    std::size_t size() const { return endpoints_.size(); }

private:
    /// A process whose start lies before the known one's.
    struct EarlierProcess
    {
        uint64_t startedAtMillis = 0;
        uint64_t sequence = 0;
        Instant dueAt{};
    };

    struct Endpoint
    {
        uint64_t startedAtMillis = 0;
        uint64_t sequence = 0;
        Instant suspectUntil{};
        Instant confirmableAt{}; ///< when a newer entry ends the suspicion
        std::optional<EarlierProcess> earlier;
        uint64_t displacedStart = 0; ///< of a process with a later start that no longer holds
        Instant forgetAt = Never;    ///< set while it isn't listed

        bool isListed() const { return forgetAt == Never; }
    };

    struct Removal
    {
        EndpointId endpoint;
        Instant forgetAt{};
    };

    static EntryVerdict compare(Endpoint &known, uint64_t startedAtMillis, uint64_t sequence,
                                Instant now);
    static EntryVerdict defer(Endpoint &known, uint64_t startedAtMillis, uint64_t sequence,
                              Instant now);
    static void setKnown(Endpoint &endpoint, uint64_t startedAtMillis, uint64_t sequence);
    void suspect(Endpoint &endpoint, Instant now);
    bool isJustAfterOutage(Instant now) const;

    std::unordered_map<EndpointId, Endpoint> endpoints_;
    std::deque<Removal> removals_; ///< in their order; some are of endpoints listed again
    Instant readAsOf_{};
    Instant lastSuspectUntil_{};
    bool hasLostStore_ = false;
    Instant storeReturnedAt_{};
};

} // namespace sequoiagate

#endif
