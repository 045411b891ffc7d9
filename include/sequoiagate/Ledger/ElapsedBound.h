#ifndef SEQUOIAGATE_LEDGER_ELAPSEDBOUND_H
#define SEQUOIAGATE_LEDGER_ELAPSEDBOUND_H

/// How long a dead holder's last batch was written before its end, at most. What it may have
/// used since then follows from that (Allotment::usedAfter), and the rest is given back. Pure.
///
/// A holder's batch names what it had read of some peers' clocks since boot. The next process on
/// its host asks the same peers. The first reading is older than the batch, the second one younger
/// than the start of the asker, by which the holder had ended; so the time between them, by that
/// peer's clock alone, is an upper bound.
///
/// - Only a peer whose process lived on between the readings counts. Its clock can't have been
///   set, or begun anew with another boot. No two hosts' clocks are compared.
/// - A peer that is paused, cut off or slow reads its clock earlier before the batch or later after
///   the start than it could have, so that its bound is larger and still holds.
/// - Where no such peer is left (all hosts died together) nothing is known: the own clock since
///   boot doesn't tell a boot from the one before, and a time of day may be set.

#include <optional>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// One peer's clock since boot, read twice.
struct PeerClockReadings
{
    Incarnation processBefore;
    Incarnation processAfter;
    Millis clockBefore{}; ///< as the dead holder had read it when it composed its batch
    Millis clockAfter{};  ///< as the peer read it when it was asked
    /// Between the asking process's start and its asking, by its own steady clock.
    Millis askedAfterStart{};
};

/// An upper bound of the time between a dead holder's last batch and the start of the next
/// process on its host, or nullopt: nothing is known.
std::optional<Millis> elapsedBound(const std::vector<PeerClockReadings> &peers);

} // namespace sequoiagate

#endif
