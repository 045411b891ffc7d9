#include "sequoiagate/Operate/FinalState.h"

#include <algorithm>
#include <map>
#include <stdexcept>

#include "sequoiagate/Config/ConfigFold.h"
#include "sequoiagate/Ledger/LedgerFold.h"
#include "sequoiagate/Platform/Streams.h"

namespace sequoiagate {

namespace {

constexpr std::size_t ReadLimit = 10'000;

} // namespace

std::vector<wire::Record> readRecords(LogService &log, const std::string &stream)
{
    std::vector<wire::Record> records;
    while (true) {
        const LogSlice slice =
                log.read(stream, records.size(), ReadLimit, std::chrono::steady_clock::now());
        if (slice.oldest > 0) {
            throw std::runtime_error("the oldest records of " + stream + " have expired");
        }
        if (slice.entries.empty()) {
            return records;
        }
        for (const LogEntry &entry : slice.entries) {
            wire::Record record;
            if (!record.ParseFromString(entry.data)) {
                throw std::runtime_error("a record of " + stream + " can't be parsed");
            }
            records.push_back(std::move(record));
        }
    }
}

std::vector<FinalBill> readBills(LogService &log, uint32_t shards)
{
    std::vector<FinalBill> bills;
    for (uint32_t shard = 0; shard < shards; ++shard) {
        LedgerFold fold;
        for (const wire::Record &record : readRecords(log, ledgerStreamOfShard(shard))) {
            const FoldResult result = fold.apply(record, fold.nextOffset());
            if (!record.has_bill() || result.outcome != FoldOutcome::Accepted) {
                continue;
            }
            const wire::Bill &bill = record.bill();
            bills.push_back({WorkspaceId(bill.workspace()), RequestId(bill.request()),
                             bill.prompt_tokens() + bill.completion_tokens(), bill.in_doubt()});
        }
    }
    return bills;
}

std::vector<FinalBudget> readBudgets(LogService &log)
{
    std::map<WorkspaceId, uint64_t> prepaid;
    ConfigFold fold;
    uint64_t offset = 0;
    for (const wire::Record &record : readRecords(log, configStream())) {
        fold.apply(record, offset++);
        for (const wire::WorkspaceConfig &workspace : fold.state().workspaces()) {
            uint64_t &highest = prepaid[WorkspaceId(workspace.workspace())];
            highest = std::max(highest, prepaidTotal(workspace));
        }
    }
    std::vector<FinalBudget> budgets;
    for (const auto &[workspace, tokens] : prepaid) {
        budgets.push_back({workspace, tokens});
    }
    return budgets;
}

} // namespace sequoiagate
