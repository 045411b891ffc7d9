#ifndef SEQUOIAGATE_OPERATE_PUBLISHER_H
#define SEQUOIAGATE_OPERATE_PUBLISHER_H

/// Puts an operator's record on the log and finds out what came of it, also when
/// the answer to the append is lost.

#include <string>
#include <variant>

#include "sequoiagate/Operate/LogReader.h"

namespace sequoiagate {

struct Published
{
    uint64_t version = 0; ///< the configuration version it made; 0 for a ledger record
};

/// Somebody else's change came first. Nothing of ours is or will be in force.
struct LostRace
{
    uint64_t version = 0;
    std::string author;
};

/// A rule was not met.
struct RefusedRecord
{
    std::string why;
};

using PublishOutcome = std::variant<Published, LostRace, RefusedRecord>;

/// One operator's run. Not thread safe.
class Publisher
{
public:
    /// \pre log outlives this. \param giveUpAfter how long one publication may take
    Publisher(LogService &log, HostId host, Millis giveUpAfter);

    /// Publishes \p change, which names the version it is built on. Before anything
    /// is said of it, the stream is read again: an append whose answer was lost may
    /// stand. If it doesn't, it is sent again under the same (writer, sequence), of
    /// which the fold takes one.
    /// \throws VerdictError: NotRun if nothing was sent, MayHaveRun if it was sent
    /// and the log can't be read for \p giveUpAfter.
    PublishOutcome publish(wire::ConfigChange change);

    /// Publishes \p record, whose body is set, on a ledger stream.
    PublishOutcome publish(const std::string &stream, wire::Record record);

private:
    void stamp(wire::Record &record);
    template <typename Find>
    PublishOutcome send(const std::string &stream, const wire::Record &record, const Find &find);

    LogService &log_;
    HostId host_;
    Millis giveUpAfter_;
    Incarnation writer_;
    uint64_t sequence_ = 0;
};

} // namespace sequoiagate

#endif
