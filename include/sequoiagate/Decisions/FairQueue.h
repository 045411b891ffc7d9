#ifndef SEQUOIAGATE_DECISIONS_FAIRQUEUE_H
#define SEQUOIAGATE_DECISIONS_FAIRQUEUE_H

/// The order in which waiting requests are served: start-time fair queueing
/// between workspaces, measured in tokens.
///
/// Answers the load in which a few workspaces send most requests. In order of
/// arrival a small workspace's one request stands behind the hundred of a large
/// one, and its caller sees waits and refusals that it did nothing to cause.
///
/// Each workspace is a flow. A request's start tag is the later of the virtual
/// time and the flow's last finish tag, and its finish tag adds its tokens over
/// the workspace's weight. The lowest start tag goes first. Virtual time is the
/// start tag last served, so a workspace that was silent starts level with the
/// others and can neither save up service nor be made to pay for what it used
/// while nobody waited: then virtual time follows every finish tag (Goyal, Vin and Cheng,
/// "Start-time Fair Queuing", 1996).

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Decisions/WorkItem.h"

namespace sequoiagate {

/// A request that waits.
struct QueueEntry
{
    WorkItem item;
    Instant until; ///< it is given up then
};

/// Not thread safe.
class FairQueue
{
public:
    FairQueue();

    /// What a request is expected to cost: its prompt and its output ceiling. A
    /// ceiling that isn't used is given back by settle.
    static double expectedCost(const WorkItem &item);

    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    /// How many waiting requests would go before \p item if it were pushed now.
    std::size_t ahead(const WorkItem &item) const;
    /// How many requests of \p workspace wait.
    std::size_t waitingOf(const WorkspaceId &workspace) const;
    /// How many workspaces have requests waiting.
    std::size_t waitingWorkspaces() const;
    /// Whether \p item would stand behind every request that waits.
    bool wouldBeLast(const WorkItem &item) const { return ahead(item) == size(); }

    void push(const WorkItem &item, Instant until);
    /// Counts a request that was served without waiting.
    void chargeServed(const WorkItem &item);
    /// The request to serve next of those that \p allowed accepts; nullopt when none waits.
    template <typename Predicate>
    std::optional<QueueEntry> popFirst(const Predicate &allowed);
    /// The request furthest beyond its workspace's share; nullopt when none waits.
    std::optional<QueueEntry> popLast();
    /// Removes a request whose caller hung up. \returns whether it waited.
    bool remove(const RequestId &request);
    /// Replaces the expected cost of a served request by what it took.
    void settle(const WorkspaceId &workspace, double expected, double actual, double weight);

    /// Removes and returns, in order of service, the requests of which \p giveUp
    /// is true. It is called with the entry and its position.
    template <typename Predicate>
    std::vector<QueueEntry> takeIf(const Predicate &giveUp);

    /// The earliest end of waiting; Never when none waits.
    Instant nextDeadline() const;

private:
    /// Where an entry stands: by start tag, then by arrival.
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
    QueueEntry take(Entries::iterator entry, bool served);
    void forgetIdleFlows();

    Entries entries_;
    std::unordered_map<WorkspaceId, Flow> flows_;
    std::size_t waitingFlows_ = 0;
    std::size_t sweepAbove_; ///< flows, before idle ones are looked for
    double virtualTime_ = 0.0;
    uint64_t nextSequence_ = 0;
};

template <typename Predicate>
std::optional<QueueEntry> FairQueue::popFirst(const Predicate &allowed)
{
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        if (allowed(entry->second)) {
            return take(entry, true);
        }
    }
    return std::nullopt;
}

template <typename Predicate>
std::vector<QueueEntry> FairQueue::takeIf(const Predicate &giveUp)
{
    std::vector<QueueEntry> taken;
    std::size_t position = 0;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto current = entry++;
        if (giveUp(current->second, position)) {
            taken.push_back(take(current, false));
        } else {
            ++position;
        }
    }
    return taken;
}

} // namespace sequoiagate

#endif
