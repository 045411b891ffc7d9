#ifndef SEQUOIAGATE_KEEPER_APPENDQUEUE_H
#define SEQUOIAGATE_KEEPER_APPENDQUEUE_H

/// The records that one process owes one log stream. Group commit: one batch is
/// in flight at a time, and what comes meanwhile shares the next.

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Pure; not thread safe.
///
/// An append's answer can be lost after it took effect. A record therefore keeps
/// its (writer, sequence) and stays here until the fold has read it back; the
/// fold drops the second copy. One batch at a time keeps the sequences in
/// order on the log: were two in flight, the later could land first, and the
/// fold would drop the earlier as a double, so that a bill would be lost.
class AppendQueue
{
public:
    AppendQueue(Incarnation writer, HostId host, Interval retryAfter);

    /// Takes a record; it is sent at \p sendBy at the latest, sooner with others.
    /// \returns its sequence.
    uint64_t push(wire::Record record, Instant sendBy, WallTime wall);

    /// The records to append now, as one append; empty: nothing is due. One that
    /// isn't empty must be followed by onAcknowledged or onFailed.
    std::vector<std::string> takeBatch(Instant now);
    /// The log has the batch. Its records still wait to be read back.
    void onAcknowledged();
    /// The batch may or may not stand: it is sent again.
    void onFailed(Instant now);

    /// Drops the records that \p isFolded says have been read back.
    void dropFolded(const std::function<bool(uint64_t)> &isFolded);
    /// Forgets a record. \returns whether it surely never left this process.
    bool withdraw(uint64_t sequence);

    /// When takeBatch next has something; Never while a batch is in flight.
    Instant nextDeadline() const;
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

private:
    enum class Progress {
        Waiting,
        InFlight,
        Unsure, ///< sent, and the answer was lost
        Acknowledged,
    };
    struct Entry
    {
        uint64_t sequence = 0;
        std::string data;
        Instant sendBy;
        Progress progress = Progress::Waiting;
    };

    Incarnation writer_;
    HostId host_;
    Interval retryAfter_;
    std::deque<Entry> entries_;
    uint64_t nextSequence_ = 1;
    bool inFlight_ = false;
    Instant notBefore_ = Instant::min();
};

} // namespace sequoiagate

#endif
