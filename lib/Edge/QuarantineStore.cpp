#include "QuarantineStore.h"

#include <utility>

#include <fmt/format.h>

namespace sequoiagate {

QuarantineStore::QuarantineStore(boost::asio::io_context &io, Store &store, std::string topic,
                                 std::string writer, EventLog &log)
    : store_(store), topic_(std::move(topic)), writer_(std::move(writer)), log_(log),
      retryTimer_(io)
{}

void QuarantineStore::write(const Quarantine &quarantine, Instant now)
{
    dropEnded(now);
    unwritten_[quarantine.part] = quarantine;
    if (!batch_) {
        append();
    }
}

std::optional<Quarantine> QuarantineStore::onRow(const StoreRow &row, Instant now)
{
    const auto quarantine = decodeQuarantineRow(row, now, std::chrono::system_clock::now());
    if (!quarantine) {
        log_.write(Event("quarantine.row_ignored").with("key", row.key));
        return std::nullopt;
    }
    rowEnds_[quarantine->part] = quarantine->until;
    return now < quarantine->until ? quarantine : std::nullopt;
}

void QuarantineStore::append()
{
    const Instant now = std::chrono::steady_clock::now();
    if (!batch_) {
        dropEnded(now);
        if (unwritten_.empty()) {
            return;
        }
        batched_ = std::exchange(unwritten_, {});
        batch_ = StoreBatch{topic_, writer_, nextSeq_++, {}};
        for (const auto &[part, quarantine] : batched_) {
            batch_->rows.push_back(
                    encodeQuarantineRow(quarantine, now, std::chrono::system_clock::now()));
        }
        std::erase_if(rowEnds_, [this, now](const auto &entry) {
            const bool isOld = now >= entry.second + EndedRowLifetime;
            if (isOld && batched_.count(entry.first) == 0) {
                batch_->rows.push_back(encodeQuarantineRemoval(entry.first));
            }
            return isOld;
        });
    }
    const std::weak_ptr<bool> alive = alive_;
    store_.append(*batch_, [this, alive](const AppendAnswer &response) {
        if (!alive.expired()) {
            onAppended(response);
        }
    });
}

void QuarantineStore::onAppended(const AppendAnswer &response)
{
    const bool isTaken = response.outcome == StoreOutcome::Ok
                         || (response.outcome == StoreOutcome::OutOfOrder && response.expectedSeq
                             && *response.expectedSeq == batch_->seq + 1);
    log_.write(Event(isTaken ? "quarantine.stored" : "quarantine.not_stored")
                       .with("parts", batched_.size())
                       .with("outcome", storeOutcomeName(response.outcome)));
    if (isTaken) {
        batch_.reset();
        append();
        return;
    }
    if (response.outcome == StoreOutcome::OutOfOrder && response.expectedSeq) {
        batch_->seq = *response.expectedSeq;
        nextSeq_ = batch_->seq + 1;
    }
    retryTimer_.arm(std::chrono::steady_clock::now() + RetryDelay, [this] { append(); });
}

void QuarantineStore::dropEnded(Instant now)
{
    std::erase_if(unwritten_, [now](const auto &entry) { return now >= entry.second.until; });
}

} // namespace sequoiagate
