#ifndef SEQUOIAGATE_KEEPER_KEEPERCORE_H
#define SEQUOIAGATE_KEEPER_KEEPERCORE_H

/// The keeper without its I/O: folds the log's streams, holds the grants of the
/// workspaces it is asked for, witnesses other keepers' grants, and answers for
/// reservations, bills and run claims. (event, now) -> answer, and work for the
/// drivers to fetch.

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Statechart.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Config/ConfigFold.h"
#include "sequoiagate/Keeper/AppendQueue.h"
#include "sequoiagate/Keeper/Books.h"
#include "sequoiagate/Keeper/KeeperSettings.h"
#include "sequoiagate/Keeper/KeeperView.h"
#include "sequoiagate/Ledger/GrantHolder.h"
#include "sequoiagate/Ledger/GrantWitness.h"
#include "sequoiagate/Ledger/LedgerFold.h"
#include "sequoiagate/Platform/LogService.h"
#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// Ask again when the core has moved on, at the latest then.
struct AskAgain
{
    Instant until;
};

template <typename Reply>
using Step = std::variant<Reply, AskAgain>;

/// Ask the engine how far a stream got, cancel it, and give the answer to
/// KeeperCore::onStreamAnswer.
struct StreamInquiry
{
    ReservationId reservation;
    RequestKey key;
    std::string routerAddress;
    bool routerGaveUp = false;     ///< the router itself asks
    bool routerSuperseded = false; ///< another process serves at its address
    std::string endpointAddress;   ///< empty: the router never said
    std::string engineStream;
    std::vector<std::string> candidates; ///< where to look when the router never said
};

/// What an engine counted for a stream, or for all of a request's.
struct StreamUsage
{
    /// nullopt: the engine doesn't say; the reservation's bound is billed.
    std::optional<uint64_t> promptTokens;
    uint64_t generated = 0;
};

struct StreamAnswer
{
    /// Of the stream, now cancelled or finished; nullopt: nobody could say.
    std::optional<StreamUsage> usage;
    /// All candidates were asked, and none knows the request.
    bool unknownEverywhere = false;
    /// The router's process is gone, not paused.
    bool routerGone = false;
    /// The router answers at its address: the stream was left alone.
    bool routerAlive = false;
};

/// A settle that reached a keeper that doesn't hold the reservation, for the one that does.
struct SettleForward
{
    wire::SettleRequest request;
    Instant notBefore;
    Instant giveUpAt;
    wire::MemberEntry keeper; ///< set when it is taken
};

/// What the drivers do; each kind is woken by itself.
enum class WorkKind {
    Append,
    AskWindow,
    Inquire,
    Forward,
};
inline constexpr std::size_t WorkKinds = 4;

/// One log stream with its fold's place.
enum class StreamState {
    CatchingUp,
    Current,
    Gap, ///< records expired that the fold needs: nothing is served from it
};

/// Not thread safe: Keeper holds a lock around it.
class KeeperCore
{
public:
    KeeperCore(const KeeperCoreSettings &settings, const wire::MemberEntry &self,
               const Statechart &drainChart, Instant now);

    // ---- calls from routers ----
    /// Sets tokens aside. \p id names the reservation over repeated calls. An AskAgain
    /// past settings.reserveWait of the first call must be given up by the caller.
    Step<wire::ReserveReply> reserve(const wire::ReserveRequest &request, const ReservationId &id,
                                     Instant now);
    /// Ends a reservation whose router didn't get the answer. Nothing was sent under it.
    void releaseUnheard(const ReservationId &id, Instant now);
    /// \param byRouter not handed on by another keeper
    wire::SettleReply settle(const wire::SettleRequest &request, bool byRouter, Instant now,
                             WallTime wall);
    /// Repeat under the same attempt until it gives an answer.
    Step<wire::ClaimRunReply> claimRun(const wire::ClaimRunRequest &request, Instant now,
                                       WallTime wall);
    /// The claimer's answer could not be delivered: the attempt must never run.
    void withdrawClaim(const AttemptId &attempt, Instant now, WallTime wall);
    /// What the log says of a key, as far as it is read here; claims nothing.
    wire::ReadRunReply readRun(const WorkspaceId &workspace, const RunKey &key) const;
    wire::FinishRunReply finishRun(const wire::FinishRunRequest &request, Instant now,
                                   WallTime wall);
    /// Answers at once if there is news for the router.
    Step<wire::ReadViewReply> readView(const wire::ReadViewRequest &request, Instant until,
                                       Instant now);

    // ---- calls from keepers and operators ----
    wire::SignWindowReply signWindow(const wire::SignWindowRequest &request, Instant now);
    wire::ReadConfigReply readConfig(const wire::ReadConfigRequest &request) const;
    wire::ReadStatusReply readStatus(const wire::ReadStatusRequest &request, Instant now,
                                     WallTime wall) const;

    // ---- news ----
    /// All streams: the configuration, then the ledger's shards.
    std::size_t streamCount() const { return shards_.size() + 1; }
    std::string streamName(std::size_t stream) const;
    LogOffset nextOffset(std::size_t stream) const;
    StreamState streamState(std::size_t stream) const;
    /// The log answered a read from nextOffset(stream).
    void onSlice(std::size_t stream, const LogSlice &slice, Instant now, WallTime wall);
    /// A checkpoint that is newer than the fold's place was found beyond a gap.
    void onCheckpoint(std::size_t stream, const wire::Checkpoint &checkpoint, Instant now);
    /// What a peer answered to ReadConfig. \returns whether it was newer.
    bool onPeerConfig(const wire::ConfigState &config, Instant now);
    void onWindow(const RequestWindowAction &asked, uint64_t signedTotal, Instant now);
    /// The witness said no. \param final it will say so for ever
    void onWindowRefused(const RequestWindowAction &asked, bool final, Instant now);
    void onStreamAnswer(const StreamInquiry &inquiry, const StreamAnswer &answer, Instant now,
                        WallTime wall);
    void onMembers(std::vector<wire::MemberEntry> members, Instant now);
    void onObservation(const wire::EndpointObservation &observation);
    void onTick(Instant now, WallTime wall);

    // ---- planned stop ----
    void beginDrain();
    /// Whether others should count on this keeper: not while it drains, nor before it has
    /// read every ledger stream to its end, nor over a gap.
    bool fitForWork() const;
    bool draining() const { return drain_.state() != "serving"; }
    /// Whether no request is open, every bill and closed grant has been read back.
    bool drained(Instant now, WallTime wall);
    /// The server is about to close: held questions are answered at once.
    void endPolls();
    /// Tokens of grants that this keeper still holds.
    uint64_t strandedTokens() const;

    // ---- work for the drivers ----
    AppendQueue &queue(std::size_t stream);
    /// nullopt: nothing to ask.
    std::optional<RequestWindowAction> takeWindowAsk();
    std::optional<StreamInquiry> takeInquiry(Instant now);
    std::optional<SettleForward> takeForward(Instant now);
    /// It didn't arrive: it is tried again for a while.
    void returnForward(SettleForward forward, Instant now);
    std::vector<Event> takeEvents();
    /// Rises when somebody who was told AskAgain should ask again.
    uint64_t progress() const { return progress_; }
    /// Rises when the drivers of that kind have something to do.
    uint64_t work(WorkKind kind) const { return work_[static_cast<std::size_t>(kind)]; }

    bool configLogSilent(Instant now) const;
    /// The version that is served; 0: none yet.
    uint64_t configVersion() const { return inForceVersion_; }
    /// Another process has this version: an older one isn't put into force any more.
    void onVersionSeen(uint64_t version);
    const wire::ConfigState &config() const { return config_.state(); }
    const KeeperView &view() const { return view_; }

private:
    /// Where this keeper is in a stream.
    struct StreamPlace
    {
        StreamState state = StreamState::CatchingUp;
        Instant heardAt;                         ///< the log's last answer
        Instant reachableUntil = Instant::min(); ///< without a further answer
        LogOffset checkpointedTo = 0;
        Instant checkpointDueAt = Never;
        LogOffset checkpointAsked = 0; ///< written by this keeper up to there
    };
    struct Shard
    {
        LedgerFold fold;
        GrantWitness witness;
        AppendQueue queue;
        StreamPlace place;
        std::unordered_map<WorkspaceId, GrantHolder> holders;
        /// When a seal or rewitness of a grant may be asked for again.
        std::unordered_map<GrantId, Instant> suspicionAgainAt;
    };
    struct OutcomeOnWay
    {
        uint64_t sequence = 0;
        Instant forgetAt;
    };
    struct FundingDue
    {
        uint64_t total = 0;
        uint64_t version = 0;
        Instant fallbackAt;
        bool pushed = false;
    };

    Shard &shardOf(const WorkspaceId &workspace);
    const Shard &shardOf(const WorkspaceId &workspace) const;
    GrantHolder &holderOf(const WorkspaceId &workspace);
    bool reachable(const StreamPlace &place, Instant now) const;
    bool placeSlice(StreamPlace &place, LogOffset next, const LogSlice &slice, Instant now);
    void noteCheckpoint(StreamPlace &place, LogOffset offset, Instant now);
    void pump(Shard &shard, GrantHolder &holder, Instant now);
    void pumpWitness(Shard &shard, Instant now);
    void pumpAll(Shard &shard, Instant now);
    void addWork(WorkKind kind) { ++work_[static_cast<std::size_t>(kind)]; }
    uint64_t push(AppendQueue &queue, wire::Record record, Instant sendBy);

    /// The reservation that this very attempt of the router opened; nullptr if there is none.
    const OpenReservation *findOpenedBy(const wire::ReserveRequest &request, const RequestKey &key);
    std::optional<wire::ReserveReply> answerKnown(const wire::ReserveRequest &request,
                                                  const RequestKey &key, Instant now);
    std::optional<wire::ReserveReply> refuseEarly(const wire::ReserveRequest &request,
                                                  Instant now) const;
    wire::ReserveReply openReservation(const wire::ReserveRequest &request, const RequestKey &key,
                                       const ReservationDraws &draws);
    bool budgetOnItsWay(const WorkspaceId &workspace, uint64_t tokens, Instant now) const;
    void heardRouter(const std::string &router, Instant now);
    /// Notes a stream whose reservation is held on its router's own host.
    bool openBackup(const wire::SettleRequest &request);
    wire::SettleReply noteOpen(const wire::SettleRequest &request);
    wire::SettleReply settleOpen(OpenReservation &reservation, const wire::SettleRequest &request,
                                 Instant now);
    wire::SettleReply billState(const RequestKey &key);
    void endReservation(OpenReservation &reservation, wire::Bill bill, uint64_t spent, Instant now);
    void holdBill(const RequestKey &key, wire::Bill bill, const std::string &bodyHash, Instant now);
    void inquire(OpenReservation &reservation);
    void closeBilledElsewhere(const RequestKey &key, const wire::Bill &bill, Instant now);
    void forwardSettle(const wire::SettleRequest &request, Instant now);
    const LedgerGrant *grantDrawnOn(const wire::SettleRequest &request) const;
    bool inquiryNeeded(const StreamInquiry &inquiry, Instant now);

    std::optional<wire::ClaimRunReply> refuseKey(const wire::RunClaim &claim, Instant now,
                                                 WallTime wall) const;
    wire::ClaimRunReply standingRun(const wire::RunClaim &claim, const LedgerRun &run) const;
    Step<wire::ClaimRunReply> followClaim(PendingClaim &pending, Instant now, WallTime wall);
    void undoClaim(PendingClaim &pending, Instant now);

    void foldConfigSlice(const LogSlice &slice, Instant now);
    void foldLedgerSlice(Shard &shard, const LogSlice &slice, Instant now);
    void afterLedgerRecord(Shard &shard, const wire::Record &record, const FoldResult &result,
                           LogOffset offset, Instant now);
    void noteRecord(const wire::Record &record, const FoldResult &result, LogOffset offset);
    void afterFold(Shard &shard, Instant now);
    void putInForce(Instant now);
    void afterConfig(uint64_t before, const wire::ConfigState &old, Instant now);
    void fundWorkspaces(Instant now);
    bool fundWorkspace(const WorkspaceId &workspace, FundingDue &due, Instant now);
    bool checkpointDue(StreamPlace &place, const std::string &stream, LogOffset next,
                       Instant now) const;
    void writeCheckpoints(Instant now);
    void describeShard(const Shard &shard, const wire::ReadStatusRequest &request,
                       wire::ReadStatusReply &reply) const;
    void suspectPeers(Shard &shard, Instant now);
    void askAfterSilentRouters(Instant now);

    KeeperCoreSettings settings_;
    Incarnation self_;
    KeeperView view_;
    StatechartInstance drain_;
    WallTime wall_; ///< as of the event under way, for records' stamps

    ConfigFold config_;
    AppendQueue configQueue_;
    StreamPlace configPlace_;
    bool configFromLog_ = false; ///< read to its end once
    bool configFromPeer_ = false;
    Instant peersHeardAt_; ///< by then whoever lives has been heard by gossip
    uint64_t inForceVersion_ = 0;
    uint64_t highestVersionSeen_ = 0; ///< at peers and routers
    std::unordered_map<WorkspaceId, FundingDue> fundingDue_;

    std::vector<std::unique_ptr<Shard>> shards_;
    std::unordered_map<std::string, std::size_t> shardIndex_; ///< by the stream's name
    ReservationBook reservations_;
    BillBook bills_;
    std::unordered_map<AttemptId, PendingClaim> claims_;
    std::unordered_map<AttemptId, OutcomeOnWay> outcomes_;
    std::unordered_map<Incarnation, Instant> routerSilentAt_;
    std::unordered_map<std::string, Incarnation> routerAt_; ///< latest heard at an address

    std::deque<RequestWindowAction> windowAsks_;
    std::deque<StreamInquiry> inquiries_;
    std::deque<SettleForward> forwards_;
    std::vector<Event> events_;
    bool pollsEnded_ = false;
    uint64_t progress_ = 1;
    std::array<uint64_t, WorkKinds> work_{};
};

} // namespace sequoiagate

#endif
