#ifndef SEQUOIAGATE_LIB_EDGE_TOKENWAITQUEUE_H
#define SEQUOIAGATE_LIB_EDGE_TOKENWAITQUEUE_H

/// Requests that wait for tokens, and the refusal of those that can't get them.
///
/// With TokenAllocationPolicy::ByRank, and while the store is unreachable, requests are granted
/// tokens by rank, here and to other hosts' requests. What a request lacks is requested from peers
/// by one TokenSearch per workspace at a time; the request is refused when that has failed.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "sequoiagate/Decisions/Estimates.h"
#include "sequoiagate/Decisions/TokenAllocation.h"
#include "sequoiagate/Decisions/TokenSearch.h"
#include "sequoiagate/Ledger/TokenHolder.h"
#include "sequoiagate/Proxy/ProxyContext.h"

namespace sequoiagate {

/// A peer's response to a request for tokens. Tokens it contained were passed on before.
struct TokenResponse
{
    WorkspaceId workspace;
    Incarnation from;
    uint64_t tokens = 0;  ///< transferred
    uint64_t usable = 0;  ///< of the peer
    bool mayClaim = true; ///< whether the peer can claim more; true if it doesn't say
};

/// Not thread safe.
class TokenWaitQueue
{
public:
    using Handler = std::function<void(std::optional<Verdict>)>;

    struct Hooks
    {
        /// Claims tokens and requests them from peers, as the holder requires.
        std::function<void(Instant now)> obtainTokens;
        /// Sends a request for tokens to the peers of its round.
        std::function<void(const TokenRequest &)> requestTokens;
        /// Tokens that all peers reported since then; nullopt unless each of them did.
        std::function<std::optional<uint64_t>(const WorkspaceId &, Instant since)> heldByPeers;
        /// Whether unused tokens of this host's previous process may still be returned.
        std::function<bool()> predecessorPending;
    };

    /// \param holder, \p log and \p metrics outlive the queue
    TokenWaitQueue(TokenHolder &holder, TokenAllocationPolicy policy, EventLog &log,
                   Metrics &metrics, Hooks hooks);

    /// See TokenReservations::reserve.
    ReservationTicket reserve(const ReservationRequest &request, Handler handler, Instant now);
    /// See TokenReservations::cancel.
    void cancel(ReservationTicket ticket, Instant now);
    /// Sets who gets scarce tokens, also of the requests that are waiting.
    void setPolicy(TokenAllocationPolicy policy) { policy_ = policy; }
    /// Serves waiting requests. To be called when there may be more usable tokens.
    void serve(Instant now);
    /// Serves waiting requests, continues the searches for tokens, and refuses requests that have
    /// waited for as long as they may. To be called several times a second.
    void tick(Instant now);
    /// Forgets which requests failed: budgets have changed.
    void forgetShortfalls();

    /// Sets when the store last responded; nullopt while it is reachable.
    void setUnreachableSince(std::optional<Instant> since) { unreachableSince_ = since; }
    /// Sets the length of outages of the store that are to be outlasted.
    void setHorizon(Interval horizon) { horizon_ = horizon; }
    void setPeerCount(std::size_t count) { peerCount_ = count; }
    /// Sets the number of other hosts that are homes of \p workspace.
    void setHomeCount(const WorkspaceId &workspace, std::size_t count);

    /// Counts tokens that peers have transferred, and serves waiting requests.
    /// \pre the holder has got the tokens
    void onTokensReceived(const WorkspaceId &workspace, uint64_t tokens, Instant now);
    void onTokenResponse(const TokenResponse &response, Instant now);
    /// Prepares a request that the holder wants to send to peers. \returns false if it isn't to be
    /// sent, since the queue requests the tokens itself.
    bool prepareRequest(TokenRequest &request) const;
    /// Whether tokens may be transferred for a peer's request.
    bool mayTransfer(const TokenRequest &request, Instant now);
    /// Counts the tokens transferred for a peer's request.
    /// \pre mayTransfer returned true
    void onTransferred(const TokenRequest &request, uint64_t tokens);

private:
    struct WaitingRequest
    {
        ReservationTicket ticket = 0;
        ReservationRequest request;
        Instant since{};
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

    /// A search for the tokens of one waiting request.
    struct Search
    {
        TokenSearch rounds;
        ReservationTicket ticket = 0;
        uint32_t priority = 0;
        uint64_t tokens = 0;   ///< of the request
        uint64_t need = 0;     ///< to be received from peers
        uint64_t received = 0; ///< from peers, since the search started
        /// Whether peers don't keep tokens for more urgent ranks.
        bool isMostUrgent = false;
    };

    struct Account
    {
        TokenAllocation allocation;
        /// By rank; they concern less urgent ranks too. Without ranks, all are of rank 0.
        std::map<uint32_t, Shortfall> shortfalls;
        std::optional<Search> search;
        std::size_t homes = 0; ///< other hosts that are homes
        uint64_t withheld = 0; ///< peers' requests since the last line about them
        Instant nextWithheldLogAt{};
    };

    bool isByRank() const { return policy_ == TokenAllocationPolicy::ByRank; }
    bool allocatesByRank() const { return isByRank() && unreachableSince_.has_value(); }
    TokenSupply supplyOf(const WorkspaceId &workspace) const;
    bool tryReserve(Account &account, const ReservationRequest &request, ReservationTicket ticket,
                    Instant now);
    /// The deadline of a request's wait for tokens; nullopt if it is to be refused.
    std::optional<Instant> waitDeadline(Account &account, const ReservationRequest &request,
                                        Instant now);
    bool isKnownShort(const Account &account, const ReservationRequest &request, Instant now) const;
    /// Whether a request has recently waited for tokens without success.
    static bool hasUnsuccessfulWait(const Account &account, Instant now);
    void recordShortfall(Account &account, const ReservationRequest &request, Instant now);
    bool isMostUrgent(const ReservationRequest &request) const;
    void insert(WaitingRequest waiting);
    void continueSearch(const WorkspaceId &workspace, Instant now);
    void startSearch(const WorkspaceId &workspace, Account &account, Instant now);
    void sendRound(const WorkspaceId &workspace, Account &account, TokenSearch::Round round,
                   Instant now);
    void refuse(std::list<WaitingRequest> refused, std::string_view cause, Instant now);
    void expire(Instant now);
    void updateRequiredTokens(const WorkspaceId &workspace);
    Verdict shortfallVerdict(const ReservationRequest &request, Instant now);
    Instant retryTime(const ReservationRequest &request, BudgetState state, Instant now);
    void logWithheld(Account &account, const TokenRequest &request, Instant now);
    void logRefusal(const WaitingRequest &waiting, const Verdict &verdict, std::string_view cause,
                    Instant now);

    TokenHolder &holder_;
    TokenAllocationPolicy policy_;
    EventLog &log_;
    Metrics &metrics_;
    Hooks hooks_;
    std::optional<Instant> unreachableSince_;
    Interval horizon_{};
    std::size_t peerCount_ = 0;
    std::list<WaitingRequest> waitingRequests_; ///< by rank if allocated by rank, then by age
    std::unordered_map<WorkspaceId, Account> accounts_;
    MovingMean claimSeconds_{8}; ///< how long served requests waited with the store reachable
    uint32_t mostUrgentRank_ = UINT32_MAX; ///< of all requests at this host
    ReservationTicket lastTicket_ = 0;
};

} // namespace sequoiagate

#endif
