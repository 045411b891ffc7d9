#ifndef SEQUOIAGATE_ROUTER_KEEPEROUTBOX_H
#define SEQUOIAGATE_ROUTER_KEEPEROUTBOX_H

/// What keepers must be told of ended work, kept here until a log offset
/// confirms it: bills, and outcomes of calls that run at most once. Two
/// processes thus hold each bill from the request's end until it is durable, and
/// either may die. Bills are told apart by (workspace, request), so sending one
/// twice, or to two keepers, bills once.

#include <deque>
#include <string>
#include <thread>
#include <variant>

#include <absl/synchronization/mutex.h>

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Router/KeeperClient.h"
#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// Thread safe.
class KeeperOutbox
{
public:
    KeeperOutbox(KeeperClient &keepers, EventLog &log, Millis sendAgain);
    ~KeeperOutbox();
    KeeperOutbox(const KeeperOutbox &) = delete;
    KeeperOutbox &operator=(const KeeperOutbox &) = delete;

    /// Sends a bill, again and again until it is durable.
    void settle(wire::SettleRequest request);
    /// Tells the keeper once where a stream runs, so that it can ask the engine
    /// when this router dies. Losing it costs a bill in doubt, nothing else.
    void announceOpen(wire::SettleRequest request);
    /// Tells the keeper of that name alone of an open stream, once.
    void announceBackup(std::string keeper, wire::SettleRequest request);
    void finishRun(wire::FinishRunRequest request);
    /// Ends, once the keeper answers again, the reservation that \p request may have made
    /// there. Without it a keeper that was paused for a second holds tokens for a request
    /// which another keeper's reservation served, for as long as this router lives.
    void release(std::string keeper, wire::ReserveRequest request);

    /// Waits until keepers hold all that was posted, durable or not: a keeper that
    /// holds a bill goes on appending it by itself.
    void awaitHeld();
    std::size_t pending() const;

private:
    struct BackupNote
    {
        std::string keeper;
        wire::SettleRequest request;
    };

    struct Release
    {
        std::string keeper;
        wire::ReserveRequest request;
        Instant giveUpAt; ///< the keeper counts as gone then, and its reservations with it
    };

    struct Item
    {
        std::variant<wire::SettleRequest, wire::FinishRunRequest, Release, BackupNote> message;
        Instant sendAt;
        bool held = false;
        bool once = false;
    };

    void post(Item item);
    void run();
    bool awaitDue(Item &item);
    void deliver(Item &item);
    wire::SettleReply send(const Item &item);

    KeeperClient &keepers_;
    EventLog &log_;
    Millis sendAgain_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    std::deque<Item> items_;
    std::size_t notHeld_ = 0; ///< posted, and no keeper has said that it holds it
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace sequoiagate

#endif
