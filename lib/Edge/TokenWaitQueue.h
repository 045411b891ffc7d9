#ifndef SEQUOIAGATE_LIB_EDGE_TOKENWAITQUEUE_H
#define SEQUOIAGATE_LIB_EDGE_TOKENWAITQUEUE_H

/// Requests that wait for tokens, and the refusal of those that can't get them.

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>

#include "sequoiagate/Ledger/TokenHolder.h"
#include "sequoiagate/Proxy/ProxyContext.h"

namespace sequoiagate {

/// Not thread safe.
class TokenWaitQueue
{
public:
    using Handler = std::function<void(std::optional<Verdict>)>;

    struct Hooks
    {
        /// Claims tokens and requests them from peers, as the holder requires.
        std::function<void(Instant now)> obtainTokens;
        /// Tokens that all peers reported since then; nullopt unless each of them did.
        std::function<std::optional<uint64_t>(const WorkspaceId &, Instant since)> heldByPeers;
        /// Whether unused tokens of this host's previous process may still be returned.
        std::function<bool()> predecessorPending;
    };

    /// \param holder outlives the queue
    TokenWaitQueue(TokenHolder &holder, Hooks hooks);

    /// See TokenReservations::reserve.
    ReservationTicket reserve(const ReservationRequest &request, Handler handler, Instant now);
    /// See TokenReservations::cancel.
    void cancel(ReservationTicket ticket);
    /// Serves waiting requests. To be called when there may be more usable tokens.
    void serve(Instant now);
    /// Refuses the requests that have waited for as long as they may.
    void expire(Instant now);
    /// Forgets which requests failed: budgets have changed.
    void forgetShortfalls() { shortfalls_.clear(); }

private:
    struct WaitingRequest
    {
        ReservationTicket ticket = 0;
        ReservationRequest request;
        Instant deadline{}; ///< of the wait
        Handler handler;
    };

    /// A recent reservation that failed for lack of tokens. Requests for at least as many are
    /// refused without waiting.
    struct Shortfall
    {
        uint64_t tokens = 0;
        Instant until{};
    };

    void updateRequiredTokens(const WorkspaceId &workspace);
    Verdict shortfallVerdict(const ReservationRequest &request, Instant now) const;

    TokenHolder &holder_;
    Hooks hooks_;
    std::list<WaitingRequest> waitingRequests_;
    std::unordered_map<WorkspaceId, Shortfall> shortfalls_;
    ReservationTicket lastTicket_ = 0;
};

} // namespace sequoiagate

#endif
