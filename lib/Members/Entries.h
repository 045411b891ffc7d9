#ifndef SEQUOIAGATE_LIB_MEMBERS_ENTRIES_H
#define SEQUOIAGATE_LIB_MEMBERS_ENTRIES_H

/// Small questions about member entries. All thread safe.

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

bool believedLive(wire::MemberHealth health);

/// The entry without what a peer that knows the member has already. A third of
/// the bytes, and most of gossip is suspicions and refutations.
wire::MemberEntry compact(const wire::MemberEntry &entry);
bool isCompact(const wire::MemberEntry &entry);

Incarnation incarnationOf(const wire::MemberEntry &entry);

} // namespace sequoiagate

#endif
