#include "QuarantineStore.h"

#include <utility>

#include <fmt/format.h>

namespace sequoiagate {

QuarantineStore::QuarantineStore(boost::asio::io_context &io, Store &store, std::string topic,
                                 std::string writer, EventLog &log, std::string prefix)
    : log_(log), prefix_(std::move(prefix)),
      appender_(io, store, std::move(topic), std::move(writer),
                {[this] { return compose(); },
                 [this](const StoreBatch &batch, bool isTaken, StoreOutcome outcome) {
                     log_.write(Event(isTaken ? "quarantine.stored" : "quarantine.not_stored")
                                        .with("rows", batch.rows.size())
                                        .with("outcome", storeOutcomeName(outcome)));
                 }})
{}

void QuarantineStore::write(const Quarantine &quarantine, Instant now)
{
    dropEnded(now);
    unwritten_[quarantine.part] = quarantine;
    appender_.write();
}

std::optional<Quarantine> QuarantineStore::onRow(const StoreRow &row, Instant now)
{
    const auto quarantine =
            decodeQuarantineRow(row, now, std::chrono::system_clock::now(), prefix_);
    if (!quarantine) {
        log_.write(Event("quarantine.row_ignored").with("key", row.key));
        return std::nullopt;
    }
    rowEnds_[quarantine->part] = quarantine->until;
    return now < quarantine->until ? quarantine : std::nullopt;
}

std::vector<StoreRow> QuarantineStore::compose()
{
    const Instant now = std::chrono::steady_clock::now();
    dropEnded(now);
    std::vector<StoreRow> rows;
    if (unwritten_.empty()) {
        return rows;
    }
    const std::map<PartKey, Quarantine> batched = std::exchange(unwritten_, {});
    for (const auto &[part, quarantine] : batched) {
        rows.push_back(
                encodeQuarantineRow(quarantine, now, std::chrono::system_clock::now(), prefix_));
    }
    std::erase_if(rowEnds_, [this, &rows, &batched, now](const auto &entry) {
        const bool isOld = now >= entry.second + EndedRowLifetime;
        if (isOld && batched.count(entry.first) == 0) {
            rows.push_back(encodeQuarantineRemoval(entry.first, prefix_));
        }
        return isOld;
    });
    return rows;
}

void QuarantineStore::dropEnded(Instant now)
{
    std::erase_if(unwritten_, [now](const auto &entry) { return now >= entry.second.until; });
}

} // namespace sequoiagate
