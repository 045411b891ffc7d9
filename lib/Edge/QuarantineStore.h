#ifndef SEQUOIAGATE_LIB_EDGE_QUARANTINESTORE_H
#define SEQUOIAGATE_LIB_EDGE_QUARANTINESTORE_H

/// Keeps quarantined parts, or requests, in the store, so that they outlive the hosts that know
/// them.
///
/// Each quarantine is written once, by the host that decided it, and read by all with the rest of
/// the edge's topic. A write also removes the rows of quarantines that ended long ago, so that
/// nothing is called while no part is quarantined.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "QuarantineRows.h"
#include "RowAppender.h"
#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// Single-threaded.
class QuarantineStore
{
public:
    /// How long the row of a quarantine that is over is kept, for the length of the next one.
    static constexpr Interval EndedRowLifetime = std::chrono::hours(24);

    /// \param writer names this process's batches and no others
    /// \param prefix of the keys of its rows
    /// \pre \p io, \p store and \p log outlive it
    QuarantineStore(boost::asio::io_context &io, Store &store, std::string topic,
                    std::string writer, EventLog &log, std::string prefix = QuarantineRowPrefix);

    /// Writes \p quarantine, again and again until the store has it or it is over.
    void write(const Quarantine &quarantine, Instant now);
    /// Takes a row of the topic. \returns the quarantine that it keeps in force, if any
    std::optional<Quarantine> onRow(const StoreRow &row, Instant now);

private:
    std::vector<StoreRow> compose();
    /// Drops what is over from what is to be written.
    void dropEnded(Instant now);

    EventLog &log_;
    std::string prefix_;
    std::map<PartKey, Quarantine> unwritten_;
    std::map<PartKey, Instant> rowEnds_; ///< of quarantines that have a row
    RowAppender appender_;
};

} // namespace sequoiagate

#endif
