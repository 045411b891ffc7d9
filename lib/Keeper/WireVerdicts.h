#ifndef LIB_KEEPER_WIREVERDICTS_H
#define LIB_KEEPER_WIREVERDICTS_H

/// Verdicts as they travel between processes: a time to come back becomes an
/// interval, since hosts' clocks disagree.

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

wire::WireVerdict toWire(const Verdict &verdict, Instant now);

/// A refusal before anything ran. \p comeBackAt: nullopt if coming back makes no sense.
wire::WireVerdict notRun(Reason reason, std::string detail, std::optional<Instant> comeBackAt,
                         Instant now);

} // namespace sequoiagate

#endif
