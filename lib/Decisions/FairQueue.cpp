#include "sequoiagate/Decisions/FairQueue.h"

#include <algorithm>
#include <iterator>

namespace sequoiagate {

namespace {

/// Flows kept before idle ones are looked for. The bound doubles what a sweep left,
/// so that sweeps cost a step a request on average, and the memory of 390,000
/// workspaces doesn't pile up.
constexpr std::size_t FewestFlowsSwept = 1024;

double share(double cost, double weight)
{
    constexpr double SmallestWeight = 1e-3;
    return cost / std::max(weight, SmallestWeight);
}

} // namespace

FairQueue::FairQueue() : sweepAbove_(FewestFlowsSwept) {}

double FairQueue::expectedCost(const WorkItem &item)
{
    return static_cast<double>(std::max<uint64_t>(item.promptTokens + item.outputCeiling, 1));
}

double FairQueue::startTag(const WorkItem &item) const
{
    const auto flow = flows_.find(item.workspace);
    return flow == flows_.end() ? virtualTime_ : std::max(virtualTime_, flow->second.lastFinish);
}

std::size_t FairQueue::ahead(const WorkItem &item) const
{
    const auto behind = entries_.lower_bound(Position{startTag(item), nextSequence_});
    return static_cast<std::size_t>(std::distance(entries_.begin(), behind));
}

std::size_t FairQueue::waitingOf(const WorkspaceId &workspace) const
{
    const auto flow = flows_.find(workspace);
    return flow == flows_.end() ? 0 : flow->second.waiting;
}

std::size_t FairQueue::waitingWorkspaces() const
{
    return waitingFlows_;
}

void FairQueue::push(const WorkItem &item, Instant until)
{
    const double start = startTag(item);
    Flow &flow = flows_[item.workspace];
    flow.lastFinish = start + share(expectedCost(item), item.weight);
    waitingFlows_ += flow.waiting == 0 ? 1 : 0;
    ++flow.waiting;
    entries_.emplace(Position{start, nextSequence_++}, QueueEntry{item, until});
}

void FairQueue::chargeServed(const WorkItem &item)
{
    // Nobody waited, so nobody lost by it, and all start level when they begin to.
    virtualTime_ = startTag(item) + share(expectedCost(item), item.weight);
    flows_[item.workspace].lastFinish = virtualTime_;
    forgetIdleFlows();
}

std::optional<QueueEntry> FairQueue::popLast()
{
    if (entries_.empty()) {
        return std::nullopt;
    }
    return take(std::prev(entries_.end()), false);
}

bool FairQueue::remove(const RequestId &request)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const auto &entry) {
        return entry.second.item.request == request;
    });
    if (found == entries_.end()) {
        return false;
    }
    take(found, false);
    return true;
}

QueueEntry FairQueue::take(Entries::iterator entry, bool served)
{
    QueueEntry taken = std::move(entry->second);
    if (served) {
        virtualTime_ = std::max(virtualTime_, entry->first.startTag);
    }
    entries_.erase(entry);
    Flow &flow = flows_[taken.item.workspace];
    --flow.waiting;
    waitingFlows_ -= flow.waiting == 0 ? 1 : 0;
    if (!served) {
        flow.lastFinish -= share(expectedCost(taken.item), taken.item.weight);
    }
    forgetIdleFlows();
    return taken;
}

void FairQueue::settle(const WorkspaceId &workspace, double expected, double actual, double weight)
{
    const auto flow = flows_.find(workspace);
    if (flow != flows_.end()) {
        flow->second.lastFinish += share(actual - expected, weight);
    }
}

Instant FairQueue::nextDeadline() const
{
    Instant next = Never;
    for (const auto &[position, entry] : entries_) {
        next = std::min(next, entry.until);
    }
    return next;
}

void FairQueue::forgetIdleFlows()
{
    if (flows_.size() <= sweepAbove_) {
        return;
    }
    // A flow whose last finish tag has passed starts level with an unknown one.
    std::erase_if(flows_, [&](const auto &flow) {
        return flow.second.waiting == 0 && flow.second.lastFinish <= virtualTime_;
    });
    sweepAbove_ = std::max(2 * flows_.size(), FewestFlowsSwept);
}

} // namespace sequoiagate
