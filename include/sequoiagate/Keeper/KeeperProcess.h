#ifndef SEQUOIAGATE_KEEPER_KEEPERPROCESS_H
#define SEQUOIAGATE_KEEPER_KEEPERPROCESS_H

/// A whole keeper: the core, its drivers and its gRPC face.

#include "sequoiagate/Service/Program.h"

namespace sequoiagate {

/// Serves until the process is asked to stop, then drains: no new reservations, open
/// ones come to their end, bills and returned grants reach the log, peers are told.
/// \returns ExitOk, or ExitUnavailable if the log was away for too long and tokens or
/// bills had to be left behind.
/// \throws SettingsError, std::runtime_error if an address can't be bound.
int runKeeper(DaemonContext &context);

} // namespace sequoiagate

#endif
