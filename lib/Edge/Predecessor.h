#ifndef SEQUOIAGATE_LIB_EDGE_PREDECESSOR_H
#define SEQUOIAGATE_LIB_EDGE_PREDECESSOR_H

/// Determines an upper bound of the time between the last batch of this host's previous process
/// and its end, from the clocks of the peers that the batch names. Does no I/O: the caller sends
/// the requests and passes on the responses.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LedgerRows.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Ledger/ElapsedBound.h"

namespace sequoiagate {

/// Not thread safe.
class Predecessor
{
public:
    using Address = boost::asio::ip::udp::endpoint;

    /// \p last is the predecessor's last batch; \p listed are the addresses of the listed peers,
    /// the only ones that are queried.
    /// \pre the predecessor ended before this process started
    Predecessor(BatchHeader last, const std::set<Address> &listed, Instant now);

    const Incarnation &process() const { return process_; }
    /// The addresses to send a request to now; empty until the next one is due.
    std::vector<Address> addressesToQuery(Instant now);
    void onResponse(const ClockResponse &response);
    /// Whether to stop waiting for responses.
    bool isComplete(Instant now) const;
    std::size_t queriedCount() const { return queriedPeers_.size(); }
    std::size_t responseCount() const;
    /// An upper bound of the time between the predecessor's last batch and the start of this
    /// process; nullopt if the responses give none.
    std::optional<Millis> elapsedUpperBound() const;

private:
    struct QueriedPeer
    {
        PeerClock earlierReading;
        std::optional<ClockResponse> response;
    };

    Incarnation process_;
    std::map<Address, QueriedPeer> queriedPeers_;
    Instant nextQueryAt_{};
    Instant preferAllUntil_; ///< from then on a subset that gives a bound is enough
    Instant giveUpAt_;
};

} // namespace sequoiagate

#endif
