#include "sequoiagate/Ledger/ElapsedBound.h"

#include <algorithm>

namespace sequoiagate {

std::optional<Millis> elapsedBound(const std::vector<PeerClockReadings> &peers)
{
    std::optional<Millis> smallest;
    for (const PeerClockReadings &peer : peers) {
        const Millis span = peer.clockAfter - peer.clockBefore - peer.askedAfterStart;
        // A negative span is contradictory: at least one of its values is wrong.
        if (peer.processBefore != peer.processAfter || span < Millis::zero()) {
            continue;
        }
        smallest = std::min(smallest.value_or(span), span);
    }
    return smallest;
}

} // namespace sequoiagate
