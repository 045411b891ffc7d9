#ifndef SEQUOIAGATE_STORE_STORE_H
#define SEQUOIAGATE_STORE_STORE_H

/// The durable, ordered store that this program relies on: topics of rows, each with a
/// key, of which the newest of each key is kept for good. Asynchronous; an answer may
/// never come, and what was asked may take effect all the same, also later.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct StoreRow
{
    std::string key;
    std::string value; ///< empty: the key was removed
    uint64_t offset = 0;
};

/// How a call to the store ended.
enum class StoreOutcome {
    Ok,
    Unreachable, ///< no answer: it may have taken effect, or may yet
    Refused,     ///< not now: nothing was done
    Gone,        ///< rows from there on are no longer kept
    OutOfOrder,  ///< another batch of this writer is expected
    Rejected,    ///< it will never be accepted: fenced off, malformed, not allowed
};

std::string_view storeOutcomeName(StoreOutcome outcome);

/// Rows behind an offset.
struct TailAnswer
{
    StoreOutcome outcome = StoreOutcome::Unreachable;
    std::vector<StoreRow> rows;
    uint64_t next = 0; ///< where the next read goes on
    uint64_t end = 0;  ///< the offset behind the newest row, when the answer was made
};

/// A page of the newest row of each key.
struct SnapshotAnswer
{
    StoreOutcome outcome = StoreOutcome::Unreachable;
    std::vector<StoreRow> rows;
    bool more = false;
    uint64_t end = 0; ///< the offset behind the newest row, when the page was made
};

struct AppendAnswer
{
    StoreOutcome outcome = StoreOutcome::Unreachable;
    uint64_t end = 0;                    ///< the offset behind the last row written
    std::optional<uint64_t> expectedSeq; ///< with OutOfOrder
};

/// A batch of one writer. The store takes a writer's batches in the order of seq, each
/// once: a batch whose answer was lost is sent again under the same seq.
struct StoreBatch
{
    std::string topic;
    std::string writer;
    uint64_t seq = 0;
    std::vector<StoreRow> rows; ///< offsets don't count
};

/// Single-threaded: handlers are called from the io_context's thread, never from inside
/// the call that names them.
class Store
{
public:
    virtual ~Store() = default;

    /// Answers as soon as there is a row at \p from, or when \p wait is over.
    virtual void tail(const std::string &topic, uint64_t from, Interval wait,
                      std::function<void(TailAnswer)> handler) = 0;
    /// The keys behind \p after; an empty one begins.
    virtual void snapshot(const std::string &topic, const std::string &after,
                          std::function<void(SnapshotAnswer)> handler) = 0;
    virtual void append(const StoreBatch &batch, std::function<void(AppendAnswer)> handler) = 0;
};

} // namespace sequoiagate

#endif
