#ifndef SEQUOIAGATE_PLATFORM_LOGSERVICE_H
#define SEQUOIAGATE_PLATFORM_LOGSERVICE_H

/// The platform's log service as the system sees it: named append-only streams
/// with offsets, limited retention, outages, and answers that are lost after
/// the append took effect.

#include <cstdint>
#include <string>
#include <vector>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

using LogOffset = uint64_t;

/// Thrown when the service didn't do, or didn't say that it did, what was asked.
/// For an append the verdict is NotRun only if nothing was sent.
class LogError : public VerdictError
{
public:
    using VerdictError::VerdictError;
};

struct LogEntry
{
    LogOffset offset = 0;
    std::string data; ///< a serialized wire::Record
};

/// What a read found.
struct LogSlice
{
    LogOffset oldest = 0; ///< the oldest offset still kept
    LogOffset next = 0;   ///< where the stream ends: the next append's offset
    std::vector<LogEntry> entries;
};

/// Thread safe: calls may overlap.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Appends \p batch to \p stream in order, without gaps, as one append.
    /// \returns the offset of the first.
    /// \throws LogError; with MayHaveRun the batch may stand: send it again under
    /// the same (writer, sequence) pairs, the fold drops the second copy.
    virtual LogOffset append(const std::string &stream, const std::vector<std::string> &batch,
                             Instant deadline) = 0;

    /// Reads at most \p limit entries from \p from on. Waits for the first one
    /// until \p waitUntil. A \p from below LogSlice::oldest gives no entries: the
    /// caller sees the gap by comparing.
    /// \throws LogError
    virtual LogSlice read(const std::string &stream, LogOffset from, std::size_t limit,
                          Instant waitUntil) = 0;
};

} // namespace sequoiagate

#endif
