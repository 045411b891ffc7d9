#ifndef SEQUOIAGATE_ROUTER_KEEPERCLIENT_H
#define SEQUOIAGATE_ROUTER_KEEPERCLIENT_H

/// How a router reaches the keepers of its failure domain. A workspace's calls
/// go to its home keeper, the rendezvous choice among those believed live; the
/// next choice is asked when the home doesn't answer or drains. Two routers that
/// disagree about the home cost grants, never safety.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "proto/keeper.grpc.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Transport/Security.h"

namespace sequoiagate {

/// Thread safe.
class KeeperClient
{
public:
    /// \param seeds gRPC addresses used until a view names the keepers
    KeeperClient(const std::vector<std::string> &seeds, Security &security, Millis timeout,
                 Millis claimTimeout);

    /// Replaces what is known. An empty list is ignored: the seeds are better than none.
    /// Keepers that the list no longer names may still back up a bill, see backupsFor().
    void setKeepers(const std::vector<wire::KeeperEntry> &keepers);

    /// \param unanswered the names of keepers that were asked and gave no answer: they may
    /// have made the reservation all the same
    /// \throws VerdictError with KeeperUnreachable, NotRun, when no keeper answers.
    wire::ReserveReply reserve(const wire::ReserveRequest &request,
                               std::vector<std::string> &unanswered);
    /// Ends the reservation that \p request may have made at the keeper \p name.
    /// \returns false when it must be tried again: the keeper gave no answer, or the last view
    /// doesn't name it.
    bool release(const std::string &name, const wire::ReserveRequest &request);
    /// Claims under an attempt of its own at each keeper asked. A keeper that gave no
    /// answer takes its claim back in time and writes that it wasn't run: were the
    /// next one asked under the same attempt, that record would speak of a call that
    /// did run.
    /// \param attempts the attempts made; the last is the one the reply is about
    wire::ClaimRunReply claimRun(wire::ClaimRunRequest request, std::vector<AttemptId> &attempts);
    /// Asks the keeper that holds the reservation first, draining or not: it waits for
    /// just this.
    wire::SettleReply settle(const wire::SettleRequest &request);
    /// The keepers that can back up a reservation of \p holder, best first: those on other
    /// hosts than \p host, which is the router's own. One that drains comes later, it still
    /// takes bills. One that the last view doesn't name comes last: the keeper that answered
    /// may not have heard of it yet. It is left out after a call to it has failed, or when no
    /// view has named it for some seconds. Empty: there is none, or \p holder is on
    /// another host and none is needed.
    std::vector<std::string> backupsFor(const std::string &workspace, const Incarnation &holder,
                                        const HostId &host) const;
    /// Settles with the keeper of that name alone. \throws VerdictError if it gives no answer.
    wire::SettleReply settleWith(const std::string &name, const wire::SettleRequest &request);
    wire::FinishRunReply finishRun(const wire::FinishRunRequest &request);
    wire::ReadRunReply readRun(const wire::ReadRunRequest &request);
    wire::ReadViewReply readView(const wire::ReadViewRequest &request, Millis wait);
    /// Ends a readView that waits, and fails later ones at once: the process stops.
    void cancelReadView();
    /// The keeper that answered the last readView; its view serials are its own.
    std::string viewSource() const;

private:
    struct Keeper
    {
        std::string name; ///< host, or the address of a seed
        std::string address;
        Incarnation incarnation; ///< empty: a seed, not heard of yet
        std::unique_ptr<wire::KeeperService::Stub> stub;
        bool draining = false;
        Instant avoidUntil;       ///< it didn't answer: others are asked first until then
        Instant forgetAt = Never; ///< armed when a view no longer names it
    };
    using KeeperPtr = std::shared_ptr<Keeper>;

    template <typename Request, typename Reply>
    using Method = grpc::Status (wire::KeeperService::Stub::*)(grpc::ClientContext *,
                                                               const Request &, Reply *);

    KeeperPtr keeperAt(const std::string &name, const std::string &address);
    /// \param holder the keeper that holds what the request is about, if one does
    std::vector<KeeperPtr> orderFor(const std::string &key, const Incarnation &holder) const;
    void avoid(Keeper &keeper);
    void setOpenView(grpc::ClientContext *context);

    template <typename Request, typename Reply>
    Reply call(Method<Request, Reply> method, const std::string &key, const Request &request,
               Millis timeout);
    /// \param prepare gives the request for the next keeper
    template <typename Request, typename Reply>
    Reply callEach(Method<Request, Reply> method, const std::vector<KeeperPtr> &order,
                   Millis timeout, const std::function<Request()> &prepare,
                   std::vector<std::string> &unanswered);
    KeeperPtr find(const std::string &name) const;
    KeeperPtr findUnlisted(const std::string &name) const;
    void keepUnlisted(const std::vector<KeeperPtr> &listed) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    Security &security_;
    Millis timeout_;
    Millis claimTimeout_;
    mutable absl::Mutex mutex_;
    std::vector<KeeperPtr> keepers_;
    std::vector<KeeperPtr> unlisted_; ///< seeds and earlier keepers that the last view lacks
    std::string viewSource_;
    grpc::ClientContext *openView_ = nullptr; ///< of the readView in progress
    bool viewCancelled_ = false;
};

} // namespace sequoiagate

#endif
