#include "sequoiagate/Decisions/FairQueue.h"

#include <algorithm>
#include <iterator>

namespace sequoiagate {

namespace {

/// Number of flows below which idle ones aren't dropped. The threshold is set to twice the
/// number of flows that a sweep leaves, so that sweeps cost one step a request on average
/// and state for 390,000 workspaces doesn't accumulate.
constexpr std::size_t MinSweepThreshold = 1024;

double weightedCost(double cost, double weight)
{
    constexpr double MinWeight = 1e-3;
    return cost / std::max(weight, MinWeight);
}

} // namespace

FairQueue::FairQueue() : sweepThreshold_(MinSweepThreshold) {}

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
    const auto firstBehind = entries_.lower_bound(Position{startTag(item), nextSequence_});
    return static_cast<std::size_t>(std::distance(entries_.begin(), firstBehind));
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

void FairQueue::push(const WorkItem &item, Instant deadline)
{
    const double start = startTag(item);
    Flow &flow = flows_[item.workspace];
    flow.lastFinish = start + weightedCost(expectedCost(item), item.weight);
    waitingFlows_ += flow.waiting == 0 ? 1 : 0;
    ++flow.waiting;
    entries_.emplace(Position{start, nextSequence_++}, QueueEntry{item, deadline});
}

void FairQueue::chargeUnqueued(const WorkItem &item)
{
    // No request waited, so none was delayed; all workspaces start level with this one.
    virtualTime_ = startTag(item) + weightedCost(expectedCost(item), item.weight);
    flows_[item.workspace].lastFinish = virtualTime_;
    dropIdleFlows();
}

std::optional<QueueEntry> FairQueue::popLast()
{
    if (entries_.empty()) {
        return std::nullopt;
    }
    return extract(std::prev(entries_.end()), false);
}

bool FairQueue::remove(const RequestId &request)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const auto &entry) {
        return entry.second.item.request == request;
    });
    if (found == entries_.end()) {
        return false;
    }
    extract(found, false);
    return true;
}

QueueEntry FairQueue::extract(Entries::iterator entry, bool served)
{
    QueueEntry extracted = std::move(entry->second);
    if (served) {
        virtualTime_ = std::max(virtualTime_, entry->first.startTag);
    }
    entries_.erase(entry);
    Flow &flow = flows_[extracted.item.workspace];
    --flow.waiting;
    waitingFlows_ -= flow.waiting == 0 ? 1 : 0;
    if (!served) {
        flow.lastFinish -= weightedCost(expectedCost(extracted.item), extracted.item.weight);
    }
    dropIdleFlows();
    return extracted;
}

void FairQueue::adjustCost(const WorkspaceId &workspace, double expected, double actual,
                           double weight)
{
    const auto flow = flows_.find(workspace);
    if (flow != flows_.end()) {
        flow->second.lastFinish += weightedCost(actual - expected, weight);
    }
}

Instant FairQueue::nextDeadline() const
{
    Instant next = Never;
    for (const auto &[position, entry] : entries_) {
        next = std::min(next, entry.deadline);
    }
    return next;
}

void FairQueue::dropIdleFlows()
{
    if (flows_.size() <= sweepThreshold_) {
        return;
    }
    // A flow whose last finish tag has passed would get the same start tag as a new flow.
    std::erase_if(flows_, [&](const auto &flow) {
        return flow.second.waiting == 0 && flow.second.lastFinish <= virtualTime_;
    });
    sweepThreshold_ = std::max(2 * flows_.size(), MinSweepThreshold);
}

} // namespace sequoiagate
