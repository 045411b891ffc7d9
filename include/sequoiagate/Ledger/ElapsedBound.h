#ifndef SEQUOIAGATE_LEDGER_ELAPSEDBOUND_H
#define SEQUOIAGATE_LEDGER_ELAPSEDBOUND_H

/// How long a dead holder's last batch was written before its end, at most. What it may have
/// used since then follows from that (Allotment::usedAfter), and the rest is given back. Pure.
///
/// A holder's batch says what its own clocks read and what it had read of some peers' clocks
/// until then. The next process on its host asks the same peers for their clocks. A peer's first
/// reading is older than the batch and its second one younger than the start of the asker, by
/// which the holder had ended; so the time between them, by that peer's clock alone, is an upper
/// bound. No two hosts' clocks are compared.
///
/// - A peer whose process lived on answers by its clock since boot, which nobody sets and which
///   goes on while the host sleeps. One such bound is proof; the largest is taken.
/// - The own clock since boot alone is none: after a loss of power it may go on from elsewhere
///   under the same boot's name. Where it agrees with the own time of day, it went on, or both
///   were changed by the same amount.
/// - Where neither holds (all hosts lost power) only times of day are left, and they may be set
///   back. The largest bound of all hosts is taken, if at least three hosts in two failure
///   domains give one. Believing it means believing that not all of these clocks were set back
///   in the seconds around the end, by as much as the time that the holder had been without the
///   store. Believing one alone overspends as soon as it is set back.

#include <optional>
#include <vector>

#include "sequoiagate/Base/BootClock.h"
#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// One peer's clocks, read twice.
struct WitnessedSpan
{
    DomainId domain;
    Incarnation processBefore;
    Incarnation processAfter;
    ClockReading before; ///< as the dead holder had read it when it composed its batch
    ClockReading after;  ///< as the peer read it when it was asked
    /// Between the asking process's start and its asking, by its own steady clock.
    Millis askedAfterStart{};
};

/// What is known of the time between a dead holder's last batch and the start of the next
/// process on its host.
struct ElapsedEvidence
{
    DomainId domain;
    ClockReading before; ///< in the dead holder's last batch
    ClockReading after;  ///< when the next process started
    std::vector<WitnessedSpan> peers;
};

/// An upper bound of that time, or nullopt: nothing can be said.
std::optional<Millis> elapsedBound(const ElapsedEvidence &evidence);

} // namespace sequoiagate

#endif
