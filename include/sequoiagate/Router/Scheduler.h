#ifndef SEQUOIAGATE_ROUTER_SCHEDULER_H
#define SEQUOIAGATE_ROUTER_SCHEDULER_H

/// Lets the router's threads use the decisions, which know neither threads nor
/// clocks. It holds no policy of its own.

#include <optional>
#include <unordered_map>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Decisions/Admission.h"
#include "sequoiagate/Decisions/EndpointSelector.h"
#include "sequoiagate/Decisions/RetryBudget.h"
#include "sequoiagate/Router/RouterView.h"

namespace sequoiagate {

/// Thread safe. WorkItem::request is a name unique within this process here, not
/// the caller's id, which two workspaces may both use.
class Scheduler
{
public:
    Scheduler(const AdmissionSettings &admission, DomainId domain);

    /// Waits until the request is let in.
    /// \throws VerdictError when it is turned away or its wait ends.
    void admit(const WorkItem &item);
    /// An admitted request ended.
    void finished(const WorkItem &item, uint64_t tokensServed);

    /// \param tried endpoints that failed this request already
    /// \throws VerdictError when no endpoint can take it.
    EndpointId choose(const WorkItem &item, const std::vector<EndpointId> &tried);
    void onFirstToken(const WorkItem &item, const EndpointId &endpoint);
    void onEnd(const AttemptResult &result);
    bool mayRetry(const Verdict &verdict, bool idempotent);

    void applyView(const RouterView &view);
    uint32_t inFlight() const;
    uint32_t waiting() const;

private:
    struct Waiter
    {
        absl::CondVar released;
        std::optional<QueueRelease> release;
    };

    void releaseWaiters(Instant now);
    void await(Waiter &waiter);

    mutable absl::Mutex mutex_;
    Admission admission_;
    EndpointSelector choice_;
    RetryBudget retries_;
    uint32_t slotLimit_; ///< of the settings; the endpoints' room may be less
    std::unordered_map<RequestId, Waiter *> waiters_;
};

} // namespace sequoiagate

#endif
