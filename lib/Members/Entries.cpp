#include "Members/Entries.h"

namespace sequoiagate {

bool believedLive(wire::MemberHealth health)
{
    return health == wire::MEMBER_ALIVE || health == wire::MEMBER_SUSPECT;
}

wire::MemberEntry compact(const wire::MemberEntry &entry)
{
    wire::MemberEntry small;
    small.set_incarnation(entry.incarnation());
    small.set_refutation(entry.refutation());
    small.set_health(entry.health());
    small.set_draining(entry.draining());
    return small;
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
