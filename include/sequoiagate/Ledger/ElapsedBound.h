#ifndef SEQUOIAGATE_LEDGER_ELAPSEDBOUND_H
#define SEQUOIAGATE_LEDGER_ELAPSEDBOUND_H

/// Upper bound on the time between a terminated holder's last batch and its end. It limits what the
/// holder may have used since that batch (Allotment::maxUsedAfter); the rest is returned to the
/// budget. Pure.
///
/// A holder's batch contains the readings that it had of some peers' clocks since boot. The next
/// process on its host asks the same peers. The first reading is older than the batch, and the
/// second one is newer than the start of the asking process, by which time the holder had ended; so
/// the time between them, by that peer's clock alone, is an upper bound.
///
/// - Only a peer whose process kept running between the readings counts. Its clock can't have been
///   set, or have restarted with another boot. Clocks of different hosts are never compared.
/// - A peer that is paused, partitioned or slow reads its clock earlier before the batch or later
///   after the start than it could have, so its bound is larger and still holds.
/// - Without such a peer (all hosts terminated together) nothing is known: the host's own clock
///   since boot doesn't distinguish a boot from the previous one, and the time of day may be set.

#include <optional>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Two readings of one peer's clock since boot.
struct PeerClockReadings
{
    Incarnation processBefore;
    Incarnation processAfter;
    Millis clockBefore{}; ///< read by the terminated holder before it composed its batch
    Millis clockAfter{};  ///< read by the peer when it was asked
    /// Time from the start of the asking process to its request, by its own steady clock.
    Millis askedAfterStart{};
};

/// Upper bound on the time between a terminated holder's last batch and the start of the next
/// process on its host, or nullopt if nothing is known.
std::optional<Millis> elapsedBound(const std::vector<PeerClockReadings> &peers);

} // namespace sequoiagate

#endif
