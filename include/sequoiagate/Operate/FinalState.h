#ifndef SEQUOIAGATE_OPERATE_FINALSTATE_H
#define SEQUOIAGATE_OPERATE_FINALSTATE_H

/// What the log holds at a run's end, folded from its records. For runs whose
/// log still keeps all of them: tests, trials and audits soon after.

#include <string>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/History/History.h"
#include "sequoiagate/Platform/LogService.h"

namespace sequoiagate {

/// All records of \p stream. \throws LogError; std::runtime_error if its oldest
/// records have expired or one can't be parsed.
std::vector<wire::Record> readRecords(LogService &log, const std::string &stream);

/// The accepted bills of all \p shards ledger streams. \throws as readRecords.
std::vector<FinalBill> readBills(LogService &log, uint32_t shards);

/// The highest prepaid total that each workspace ever had. \throws as readRecords.
std::vector<FinalBudget> readBudgets(LogService &log);

} // namespace sequoiagate

#endif
