#ifndef SEQUOIAGATE_MEMBERS_DISSEMINATION_H
#define SEQUOIAGATE_MEMBERS_DISSEMINATION_H

/// Tracks which membership changes are still piggybacked on outgoing datagrams, and
/// how often each has been sent.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// Not thread safe.
class Dissemination
{
public:
    /// Queues a change about \p member. If one is already queued, its count restarts.
    void add(const Incarnation &member);
    void remove(const Incarnation &member);
    /// Returns at most \p limit members for the next datagram, those sent least often
    /// first. Each is sent ceil(log2(members + 1)) + 4 times in total. If every node does
    /// so, a change reaches all nodes with high probability (SWIM, section 4.1), and the
    /// cost for each node grows only logarithmically.
    std::vector<Incarnation> take(std::size_t limit, std::size_t members);

private:
    std::unordered_map<Incarnation, uint32_t> transmissions_;
};

} // namespace sequoiagate

#endif
