#ifndef SEQUOIAGATE_ROUTER_ROUTERCONTEXT_H
#define SEQUOIAGATE_ROUTER_ROUTERCONTEXT_H

/// What the parts that handle requests share.

#include <memory>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Base/Statechart.h"
#include "sequoiagate/Router/ChatRun.h"
#include "sequoiagate/Router/DrainGate.h"
#include "sequoiagate/Router/KeeperClient.h"
#include "sequoiagate/Router/KeeperOutbox.h"
#include "sequoiagate/Router/ResumeToken.h"
#include "sequoiagate/Router/RouterSettings.h"
#include "sequoiagate/Router/RouterView.h"
#include "sequoiagate/Router/Scheduler.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

/// The latest view. Thread safe.
class ViewHolder
{
public:
    /// Never nullptr.
    std::shared_ptr<const RouterView> get() const
    {
        absl::MutexLock lock(&mutex_);
        return view_;
    }
    void set(std::shared_ptr<const RouterView> view)
    {
        absl::MutexLock lock(&mutex_);
        view_ = std::move(view);
    }

private:
    mutable absl::Mutex mutex_;
    std::shared_ptr<const RouterView> view_ = std::make_shared<RouterView>();
};

/// All members are thread safe.
struct RouterContext
{
    RouterContext(RouterSettings settings, Security &security, EventLog &log);

    const RouterSettings settings;
    EventLog &log;
    const Statechart requestChart;
    const Statechart drainChart;
    const ResumeSigner signer;
    Metrics metrics;
    ViewHolder view;
    KeeperClient keepers;
    KeeperOutbox outbox;
    Scheduler scheduler;
    OpenRuns runs;
    DrainGate gate;
    std::string address; ///< where callers reach this router; set before it serves
};

/// What a request's handler knows of its caller.
struct CallerIdentity
{
    std::shared_ptr<const RouterView> view; ///< keeps `workspace` alive
    const wire::WorkspaceConfig *workspace = nullptr;

    WorkspaceId id() const { return WorkspaceId(workspace->workspace()); }
    double weight() const;
};

/// Finds the workspace of an Authorization header's value.
/// \throws VerdictError with NotReady or Unauthenticated.
CallerIdentity identifyCaller(const RouterContext &context, const std::string &authorization);

/// \throws VerdictError with UnknownService or NotAllowed.
void requireService(const CallerIdentity &caller, const ServiceId &service,
                    wire::EndpointKind kind);

} // namespace sequoiagate

#endif
