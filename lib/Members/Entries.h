#ifndef SEQUOIAGATE_LIB_MEMBERS_ENTRIES_H
#define SEQUOIAGATE_LIB_MEMBERS_ENTRIES_H

/// Helper functions for member entries. All are thread safe.

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// Returns true for alive and suspect members.
bool presumedAlive(wire::MemberHealth health);

/// Returns the entry without the fields that a peer that knows the member already
/// has. This takes a third of the bytes, and most gossip is suspicions and
/// refutations.
wire::MemberEntry compact(const wire::MemberEntry &entry);
bool isCompact(const wire::MemberEntry &entry);

Incarnation incarnationOf(const wire::MemberEntry &entry);

} // namespace sequoiagate

#endif
