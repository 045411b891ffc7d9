#ifndef LIB_KEEPER_LOGDRIVERS_H
#define LIB_KEEPER_LOGDRIVERS_H

/// The threads between the log service and the core: one tail and one writer a stream.

#include <optional>

#include "sequoiagate/Keeper/Keeper.h"
#include "sequoiagate/Keeper/KeeperSettings.h"
#include "sequoiagate/Platform/LogService.h"

#include "Worker.h"

namespace sequoiagate {

/// Reads one stream from the core's place on, and finds a checkpoint over a gap.
class LogTail
{
public:
    /// \pre keeper and log outlive this.
    LogTail(Keeper &keeper, LogService &log, std::size_t stream, const KeeperSettings &settings);

private:
    Interval step();
    /// \returns how long to pause before the next read.
    Interval readOn();
    /// Looks through all records that the log keeps for the newest checkpoint that can be
    /// folded on from.
    std::optional<wire::Checkpoint> newestCheckpoint(LogOffset oldest);

    Keeper &keeper_;
    LogService &log_;
    std::size_t stream_;
    std::string name_;
    KeeperSettings settings_;
    Worker worker_;
};

/// Appends what the core owes one stream, one batch at a time.
class LogWriter
{
public:
    /// \pre keeper and log outlive this.
    LogWriter(Keeper &keeper, LogService &log, std::size_t stream, const KeeperSettings &settings);

private:
    Interval step();

    Keeper &keeper_;
    LogService &log_;
    std::size_t stream_;
    std::string name_;
    Interval appendTimeout_;
    Worker worker_;
};

} // namespace sequoiagate

#endif
