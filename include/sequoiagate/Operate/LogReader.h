#ifndef SEQUOIAGATE_OPERATE_LOGREADER_H
#define SEQUOIAGATE_OPERATE_LOGREADER_H

/// Reads whole log streams and folds them, as operators' tools need them: one
/// look at the present state, no tail.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Config/ConfigFold.h"
#include "sequoiagate/Ledger/LedgerFold.h"
#include "sequoiagate/Platform/LogService.h"

namespace sequoiagate {

/// Names one record for ever; what came of it is asked by this.
struct RecordName
{
    Incarnation writer;
    uint64_t sequence = 0;
};

/// What the fold did with a record that was looked for.
struct FoundRecord
{
    FoldResult result;
    uint64_t versionBefore = 0; ///< of the configuration; 0 for a ledger
};

struct ConfigView
{
    ConfigFold fold;
    std::optional<FoundRecord> found;
};

struct LedgerView
{
    LedgerFold fold;
    std::optional<FoundRecord> found;
};

/// Reads all that the configuration stream holds. \p wanted: a record whose outcome
/// is looked for. Thread safe.
/// \throws LogError if the log can't be read, VerdictError if its oldest records
/// have expired and no checkpoint bridges the gap.
ConfigView readConfig(LogService &log, const RecordName &wanted = {});

/// The same for one ledger stream.
LedgerView readLedger(LogService &log, const std::string &stream, const RecordName &wanted = {});

} // namespace sequoiagate

#endif
