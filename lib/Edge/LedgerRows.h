#ifndef SEQUOIAGATE_LIB_EDGE_LEDGERROWS_H
#define SEQUOIAGATE_LIB_EDGE_LEDGERROWS_H

/// Encodes and decodes the rows of the edge's own topic: the tokens of a workspace's budget that a
/// holder has, the time of each process's last batch, and the address of each host's process. Rows
/// of quarantined parts are those of QuarantineRows.h, rows of software versions those of
/// VersionRecorder.h.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiagate/Edge/PeerLink.h"
#include "sequoiagate/Ledger/AllotmentTable.h"
#include "sequoiagate/Store/Store.h"

namespace sequoiagate {

/// The kind of a row, given by the prefix of its key.
enum class LedgerRowKind { Budget, Batch, Host, Quarantine, Versions, Unknown };

LedgerRowKind ledgerRowKind(const std::string &key);

StoreRow encodeAllotment(const AllotmentRow &row);
/// Decodes a row of encodeAllotment; nullopt if it is malformed. A workspace's name may contain the
/// separator.
std::optional<AllotmentRow> decodeAllotment(const StoreRow &row);

/// A short id that distinguishes a process from the earlier and later ones of its host.
std::string shortProcessId(const Incarnation &process);

/// A reading of a peer's clock since boot.
struct PeerClock
{
    boost::asio::ip::udp::endpoint address; ///< identifies the peer's host
    Incarnation process;                    ///< only its short id if it was read from a row
    Millis sinceBoot{};
};

/// When a holder composed its last batch, and its newest readings of peers' clocks at that time.
struct BatchHeader
{
    Incarnation holder;
    Millis sinceBoot{}; ///< the holder's clock, to be named in its peers' batches
    std::vector<PeerClock> peers;
};

StoreRow encodeBatch(const BatchHeader &batch);
/// The holder that wrote a batch row.
Incarnation batchHolder(const StoreRow &row);
std::optional<BatchHeader> decodeBatch(const StoreRow &row);

StoreRow encodeHost(const Peer &peer);
/// The row that removes a host from the list.
StoreRow encodeHostRemoval(const HostId &host);
/// The host that a host row describes.
HostId hostOf(const StoreRow &row);
/// \pre the row's value isn't empty (an empty one removes the host)
/// \throws nlohmann::json::exception, std::invalid_argument
Peer decodeHost(const StoreRow &row);

} // namespace sequoiagate

#endif
