#ifndef SEQUOIAGATE_EDGE_TOKENSERVICE_H
#define SEQUOIAGATE_EDGE_TOKENSERVICE_H

/// Reserves tokens for requests. Connects the TokenHolder to the store and the peers, and queues
/// requests for the short time that it takes to get tokens from them.

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sequoiagate/Base/BootClock.h"
#include "sequoiagate/Decisions/TokenAllocation.h"
#include "sequoiagate/Edge/PeerLink.h"
#include "sequoiagate/Ledger/TokenHolder.h"
#include "sequoiagate/Proxy/ProxyContext.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Service/Metrics.h"
#include "sequoiagate/Store/Store.h"
#include "sequoiagate/Store/TopicFollower.h"

namespace sequoiagate {

class PeerClocks;
class Predecessor;
class StoreLoss;
class TokenStateLog;
class TokenWaitQueue;

struct TokenServiceSettings
{
    HostId host;
    DomainId domain;
    boost::asio::ip::udp::endpoint listenPeers;
    boost::asio::ip::udp::endpoint advertisePeers; ///< the address at which peers reach listenPeers
    std::optional<boost::asio::ip::tcp::endpoint> advertiseRelay;
    std::string topic;
    Incarnation incarnation;
    TokenHolderSettings holder;
    TokenAllocationPolicy allocation = TokenAllocationPolicy::FirstCome;
    /// The allocation and the reserve policy apply to fleets of at least so many hosts.
    uint32_t policiesFromHosts = 1;
};

/// Single-threaded.
class TokenService : public TokenReservations
{
public:
    TokenService(boost::asio::io_context &io, Store &store, TokenServiceSettings settings,
                 EventLog &log, Metrics &metrics);
    ~TokenService() override;

    /// Called when the hosts of the fleet change, with the others.
    std::function<void(const std::vector<Peer> &)> onHostsChanged;
    /// Called for peers' messages about endpoints' limits. Set before start.
    std::function<void(const std::vector<EndpointLimitRecord> &, bool rejected)> onPeerLimits;
    std::function<SlotResponse(const SlotRequest &)> onSlotRequest;
    std::function<void(const SlotResponse &)> onSlotResponse;

    /// Called for the topic's rows of quarantined parts. Set before start.
    std::function<void(const StoreRow &)> onQuarantineRow;
    /// Called for the topic's rows of software versions. Set before start.
    std::function<void(const StoreRow &)> onVersionRow;
    /// Called when all rows that the topic had at a moment after the start were handed over.
    std::function<void()> onTopicRead;

    void start();
    void setHorizon(Interval horizon);
    void setBudgets(const std::vector<WorkspaceBudget> &budgets, Instant now);
    /// Returns all unreserved tokens to the store. Calls \p done when the store has acknowledged
    /// them or \p deadline has passed.
    void stop(Instant deadline, std::function<void()> done);
    bool storeReachable() const { return follower_.reachable(); }
    PeerLink &peers() { return peers_; }
    /// Whether \p process is that of a listed host.
    bool isListed(const Incarnation &process) const;

    ReservationTicket reserve(const ReservationRequest &request,
                              std::function<void(std::optional<Verdict>)> handler) override;
    void cancel(ReservationTicket ticket) override;
    void settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent) override;

private:
    void onRows(const std::vector<StoreRow> &rows);
    void confirmBatchIfReadBack(const StoreRow &row);
    void onBudgetRow(const StoreRow &row);
    void onBatchRow(const StoreRow &row);
    void onHostRow(const StoreRow &row);
    /// Writes this process's host row again, after another one was read behind it.
    void onOwnHostRowReplaced();
    void findPredecessor();
    void sealPredecessor(Instant now);
    /// Logs how many tokens of \p dead are returned and how many stay counted as spent.
    /// \pre seals_ holds the final allotment rows of \p dead
    void logWrittenOffTokens(const Incarnation &dead, std::optional<Interval> elapsed);
    void requestClocks(Instant now);
    void onClockResponse(const ClockResponse &response);
    void onTokenResponse(const nlohmann::json &message);
    void updatePeers();
    /// Sets the policies that apply to a fleet of \p hosts.
    void applyPolicies(uint32_t hosts);
    void chooseHomes();
    void tick();
    void armTick();
    void writeBatch();
    void appendBatch();
    void onAppended(const AppendAnswer &response);
    uint64_t transferOut(const TokenRequest &request, Instant now);
    void requestFromPeers(Instant now);
    void returnUnusedTokens(Instant now);
    /// When the store last responded; nullopt while it does, and until it was read once.
    std::optional<Instant> storeLostSince() const;
    bool predecessorPending() const;
    HeldTokens heldTokens(const WorkspaceId &workspace) const;
    void finishStop(Instant now);
    void logTokenStates();

    Store &store_;
    TokenServiceSettings settings_;
    EventLog &log_;
    Metrics &metrics_;
    TokenHolder holder_;
    std::unique_ptr<TokenWaitQueue> waiting_;
    PeerLink peers_;
    TopicFollower follower_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<StoreLoss> storeLoss_;
    std::unique_ptr<TokenStateLog> stateLog_;
    std::unordered_map<std::string, Peer> hosts_;
    std::unique_ptr<PeerClocks> peerClocks_;
    std::optional<Peer> previousProcess_; ///< this host's previous process, as listed in the store
    std::unique_ptr<Predecessor> predecessor_; ///< until its token use is known
    /// Final allotments of the previous process, to be written with the next batch.
    std::vector<AllotmentRow> seals_;
    Instant startedAt_;

    std::optional<StoreBatch> batch_; ///< the batch being written
    uint64_t nextSeq_ = 0;
    bool batchHasClaims_ = false;
    bool appending_ = false;
    bool batchAcknowledged_ = false;
    bool ownHostRowRead_ = false;    ///< this process's host row was read back
    bool hostRowQueued_ = false;     ///< the host row was put in a batch
    bool hostRemovalQueued_ = false; ///< its removal was put in a batch
    Instant retryAppendAt_{};
    std::function<void()> onStopped_;
    Instant stopDeadline_ = Never;
    Instant nextStateLogAt_{};
};

} // namespace sequoiagate

#endif
