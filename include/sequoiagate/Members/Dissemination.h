#ifndef SEQUOIAGATE_MEMBERS_DISSEMINATION_H
#define SEQUOIAGATE_MEMBERS_DISSEMINATION_H

/// Which changes of belief still ride on outgoing datagrams, and how often each
/// has ridden.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// Not thread safe.
class Dissemination
{
public:
    /// A change about \p member is to spread; one already spreading starts anew.
    void add(const Incarnation &member);
    void remove(const Incarnation &member);
    /// At most \p limit members for the next datagram, those sent least often
    /// first. Each is sent ceil(log2(members + 1)) + 4 times in all: with every node
    /// doing so, a change reaches all of them with high probability (SWIM, section 4.1),
    /// and what it costs a node grows with the logarithm only.
    std::vector<Incarnation> take(std::size_t limit, std::size_t members);

private:
    std::unordered_map<Incarnation, uint32_t> sendings_;
};

} // namespace sequoiagate

#endif
