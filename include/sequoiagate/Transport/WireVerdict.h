#ifndef SEQUOIAGATE_TRANSPORT_WIREVERDICT_H
#define SEQUOIAGATE_TRANSPORT_WIREVERDICT_H

/// Verdicts as they travel between processes: a time to come back becomes an
/// interval, since hosts' clocks disagree. All functions are thread safe.

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

wire::Execution executionToWire(Execution execution);
/// An unset or unknown value reads as MayHaveRun, the careful reading.
Execution executionFromWire(wire::Execution execution);

wire::WireVerdict verdictToWire(const Verdict &verdict, Instant now);
/// A reason that this build doesn't know reads as Internal.
Verdict verdictFromWire(const wire::WireVerdict &wire, Instant now);

/// A refusal before anything ran. \p comeBackAt: nullopt if coming back makes no sense.
wire::WireVerdict notRunOnWire(Reason reason, std::string detail, std::optional<Instant> comeBackAt,
                               Instant now);

} // namespace sequoiagate

#endif
