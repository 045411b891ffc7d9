#ifndef SEQUOIAGATE_EDGE_PEERCLOCKS_H
#define SEQUOIAGATE_EDGE_PEERCLOCKS_H

/// Collects readings of the peers' clocks since boot, to be included in this process's batches.
///
/// If this process is killed, its successor queries the same peers again. The difference between
/// the two readings of a peer is an upper bound of the time from the last batch to the end of this
/// process. An old reading loosens the bound, and unused tokens then count as spent. Batches
/// contain their writers' clocks, but are read less often the larger the fleet is, so some peers
/// are also queried directly.

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "LedgerRows.h"
#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Edge/PeerLink.h"
#include "sequoiagate/Store/Store.h"

namespace sequoiagate {

/// Not thread safe.
class PeerClocks
{
public:
    explicit PeerClocks(HostId self) : self_(std::move(self)) {}

    void setPeers(const std::vector<Peer> &peers);
    /// Stores \p row as the last batch of the peer process \p peer. Decoding is deferred until
    /// the batch is used, since every host reads the batches of all others.
    void onBatch(const Incarnation &peer, const StoreRow &row, Instant now);
    /// The last batch read from \p peer; nullopt if there is none or it is malformed.
    std::optional<BatchHeader> lastBatchOf(const Incarnation &peer) const;
    void onResponse(const ClockResponse &response, Instant now);
    /// The addresses of the peers to query now; empty until the next request is due.
    std::vector<boost::asio::ip::udp::endpoint> peersToQuery(Instant now);
    /// The newest readings, with a limit per failure domain. Unexpired responses come before
    /// readings from batches.
    std::vector<PeerClock> newestClocks(Instant now) const;

private:
    struct Batch
    {
        StoreRow row;
        Instant readAt{};
    };

    struct Response
    {
        Millis sinceBoot{};
        Instant expiresAt{}; ///< from then on the peer's last batch is used instead
    };

    std::optional<PeerClock> clockOf(const Peer &peer, Instant now) const;

    HostId self_;
    std::vector<Peer> peers_;
    std::vector<Peer> queriedPeers_;
    std::unordered_map<Incarnation, Batch> batches_;
    std::unordered_map<Incarnation, Response> responses_;
    Instant nextQueryAt_{};
};

} // namespace sequoiagate

#endif
