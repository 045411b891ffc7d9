#include "Members/Entries.h"

namespace sequoiagate {

bool presumedAlive(wire::MemberHealth health)
{
    return health == wire::MEMBER_ALIVE || health == wire::MEMBER_SUSPECT;
}

wire::MemberEntry compact(const wire::MemberEntry &entry)
{
    wire::MemberEntry result;
    result.set_incarnation(entry.incarnation());
    result.set_refutation(entry.refutation());
    result.set_health(entry.health());
    result.set_draining(entry.draining());
    return result;
}

bool isCompact(const wire::MemberEntry &entry)
{
    return entry.gossip_address().empty();
}

Incarnation incarnationOf(const wire::MemberEntry &entry)
{
    return Incarnation(entry.incarnation());
}

} // namespace sequoiagate
