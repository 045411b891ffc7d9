#ifndef SEQUOIAGATE_EDGE_TOKENSERVICE_H
#define SEQUOIAGATE_EDGE_TOKENSERVICE_H

/// Reserves tokens for requests: drives the TokenHolder with the store and the peers, and
/// holds requests for the moment that it takes to get tokens from either.

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sequoiagate/Base/BootClock.h"
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
class TokenStateLog;

struct TokenServiceSettings
{
    HostId host;
    DomainId domain;
    boost::asio::ip::udp::endpoint listenPeers;
    boost::asio::ip::udp::endpoint announcePeers; ///< under which peers reach listenPeers
    std::string topic;
    Incarnation incarnation;
    TokenHolderSettings holder;
};

/// Single-threaded.
class TokenService : public TokenReservations
{
public:
    TokenService(boost::asio::io_context &io, Store &store, TokenServiceSettings settings,
                 EventLog &log, Metrics &metrics);
    ~TokenService() override;

    /// Called when the number of the fleet's processes, this one included, changes.
    std::function<void(uint32_t)> onProcesses;

    void start();
    void setHorizon(Interval horizon) { holder_.setHorizon(horizon); }
    void setBudgets(const std::vector<WorkspaceBudget> &budgets, Instant now);
    /// Gives all that isn't reserved back to the store. \p done is called when the store
    /// has it, or when \p deadline passes.
    void stop(Instant deadline, std::function<void()> done);
    bool storeReachable() const { return follower_.reachable(); }

    TokenRequestId reserve(const WorkspaceId &workspace, uint64_t tokens, Instant deadline,
                           std::function<void(std::optional<Verdict>)> handler) override;
    void cancel(TokenRequestId ticket) override;
    void settle(const WorkspaceId &workspace, uint64_t reserved, uint64_t spent) override;

private:
    struct Waiting
    {
        TokenRequestId ticket = 0;
        WorkspaceId workspace;
        uint64_t tokens = 0;
        Instant since{};
        Instant deadline{};
        std::function<void(std::optional<Verdict>)> handler;
    };

    /// A workspace was found short a moment ago: who asks for as much is told at once.
    struct Shortage
    {
        uint64_t tokens = 0;
        Instant until{};
    };

    void onRows(const std::vector<StoreRow> &rows);
    void noteReadBack(const StoreRow &row);
    void onBudgetRow(const StoreRow &row);
    void onBatchRow(const StoreRow &row);
    void onHostRow(const StoreRow &row);
    void findPredecessor();
    void sealPredecessor(Instant now);
    /// Logs what becomes of the tokens of \p dead. \pre seals_ are its own
    void reportGivenUp(const Incarnation &dead, std::optional<Interval> elapsed);
    void askClocks(Instant now);
    void onClock(const ClockAnswer &answer);
    void publishPeers();
    void chooseHomes();
    void tick();
    void armTick();
    void write();
    void append();
    void onAppended(const AppendAnswer &answer);
    void serveWaiting(Instant now);
    void expireWaiting(Instant now);
    void updateShortOf(const WorkspaceId &workspace);
    uint64_t give(const TokenRequest &ask, Instant now);
    void askPeers(Instant now);
    void returnLeftovers(Instant now);
    HeldTokens held(const WorkspaceId &workspace) const;
    Verdict shortage(const Waiting &waiting, Instant now) const;
    void finishStop(Instant now);
    void report();

    Store &store_;
    TokenServiceSettings settings_;
    EventLog &log_;
    Metrics &metrics_;
    TokenHolder holder_;
    PeerLink peers_;
    TopicFollower follower_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<TokenStateLog> stateLog_;
    std::unordered_map<std::string, Peer> hosts_;
    std::unique_ptr<PeerClocks> peerClocks_;
    std::optional<Peer> listedBefore_;         ///< the process that this host ran before
    std::unique_ptr<Predecessor> predecessor_; ///< while it is found out what it used
    std::vector<AllotmentRow> seals_;          ///< to be written
    Instant startedAt_;
    std::list<Waiting> waiting_;
    std::unordered_map<WorkspaceId, Shortage> shortages_;
    TokenRequestId lastTicket_ = 0;

    std::optional<StoreBatch> batch_; ///< being written
    uint64_t nextSeq_ = 0;
    bool batchHasTokens_ = false;
    bool appending_ = false;
    bool acknowledged_ = false;
    bool ownRowRead_ = false; ///< the host's, of this process
    bool announced_ = false;  ///< the host's own row has been written
    bool farewell_ = false;   ///< the row that takes it away has been put in a batch
    Instant appendAgainAt_{};
    std::function<void()> stopped_;
    Instant stopDeadline_ = Never;
    Instant reportAt_{};
};

} // namespace sequoiagate

#endif
