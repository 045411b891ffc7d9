#ifndef SEQUOIAGATE_DECISIONS_FAIRQUEUE_H
#define SEQUOIAGATE_DECISIONS_FAIRQUEUE_H

/// The order in which waiting requests are served: start-time fair queueing
/// between workspaces, measured in tokens.
///
/// Guards against a load in which a few workspaces send most requests. In order of
/// arrival, the one request of a small workspace would wait behind a hundred of a large
/// one, and its caller would see delays and refusals caused by others.
///
/// Each workspace is a flow. A request's start tag is the later of the virtual time and
/// the flow's last finish tag; its finish tag adds its tokens over the workspace's weight.
/// The request with the lowest start tag is served first. Virtual time is the start tag
/// last served, so a workspace that was idle starts level with the others and can't save
/// up service. Nor is it charged for what it used while no request waited: then virtual
/// time follows every finish tag (Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996).

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Decisions/WorkItem.h"

namespace sequoiagate {

/// A waiting request.
struct QueueEntry
{
    WorkItem item;
    Instant deadline; ///< the request is dropped then
};

/// Not thread safe.
class FairQueue
{
public:
    FairQueue();

    /// The expected cost of a request: its prompt and its output ceiling. adjustCost
    /// credits the part of the ceiling that wasn't used.
    static double expectedCost(const WorkItem &item);

    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    /// How many waiting requests would be served before \p item if it were pushed now.
    std::size_t ahead(const WorkItem &item) const;
    /// How many requests of \p workspace wait.
    std::size_t waitingOf(const WorkspaceId &workspace) const;
    /// How many workspaces have requests waiting.
    std::size_t waitingWorkspaces() const;
    /// Whether \p item would be served after every waiting request.
    bool wouldBeLast(const WorkItem &item) const { return ahead(item) == size(); }

    void push(const WorkItem &item, Instant deadline);
    /// Charges a workspace for a request that was served without waiting.
    void chargeUnqueued(const WorkItem &item);
    /// Removes and returns the first request in order of service that \p allowed accepts;
    /// nullopt if there is none.
    template <typename Predicate>
    std::optional<QueueEntry> popFirst(const Predicate &allowed);
    /// Removes and returns the request furthest beyond its workspace's share; nullopt if
    /// none waits.
    std::optional<QueueEntry> popLast();
    /// Removes a request whose caller disconnected. \returns whether it waited.
    bool remove(const RequestId &request);
    /// Replaces the expected cost of a served request by its actual cost.
    void adjustCost(const WorkspaceId &workspace, double expected, double actual, double weight);

    /// Removes and returns, in order of service, the requests for which \p predicate
    /// is true. It is called with the entry and its position.
    template <typename Predicate>
    std::vector<QueueEntry> extractIf(const Predicate &predicate);

    /// The earliest deadline; Never if no request waits.
    Instant nextDeadline() const;

private:
    /// Sort key of an entry: by start tag, then by arrival.
    struct Position
    {
        double startTag;
        uint64_t sequence;

        friend bool operator<(const Position &left, const Position &right)
        {
            return left.startTag < right.startTag
                   || (left.startTag == right.startTag && left.sequence < right.sequence);
        }
    };

    struct Flow
    {
        double lastFinish = 0.0;
        std::size_t waiting = 0;
    };

    using Entries = std::map<Position, QueueEntry>;

    double startTag(const WorkItem &item) const;
    QueueEntry extract(Entries::iterator entry, bool served);
    void dropIdleFlows();

    Entries entries_;
    std::unordered_map<WorkspaceId, Flow> flows_;
    std::size_t waitingFlows_ = 0;
    std::size_t sweepThreshold_; ///< number of flows above which idle ones are dropped
    double virtualTime_ = 0.0;
    uint64_t nextSequence_ = 0;
};

template <typename Predicate>
std::optional<QueueEntry> FairQueue::popFirst(const Predicate &allowed)
{
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        if (allowed(entry->second)) {
            return extract(entry, true);
        }
    }
    return std::nullopt;
}

template <typename Predicate>
std::vector<QueueEntry> FairQueue::extractIf(const Predicate &predicate)
{
    std::vector<QueueEntry> extracted;
    std::size_t position = 0;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto current = entry++;
        if (predicate(current->second, position)) {
            extracted.push_back(extract(current, false));
        } else {
            ++position;
        }
    }
    return extracted;
}

} // namespace sequoiagate

#endif
