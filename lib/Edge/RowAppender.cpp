#include "RowAppender.h"

#include <utility>

namespace sequoiagate {

RowAppender::RowAppender(boost::asio::io_context &io, Store &store, std::string topic,
                         std::string writer, Handlers handlers)
    : store_(store), topic_(std::move(topic)), writer_(std::move(writer)),
      handlers_(std::move(handlers)), retryTimer_(io)
{}

void RowAppender::write()
{
    if (!batch_) {
        append();
    }
}

void RowAppender::append()
{
    if (!batch_) {
        std::vector<StoreRow> rows = handlers_.compose();
        if (rows.empty()) {
            return;
        }
        batch_ = StoreBatch{topic_, writer_, nextSeq_++, std::move(rows)};
    }
    const std::weak_ptr<bool> alive = alive_;
    store_.append(*batch_, [this, alive](const AppendAnswer &response) {
        if (!alive.expired()) {
            onAppended(response);
        }
    });
}

void RowAppender::onAppended(const AppendAnswer &response)
{
    const bool isTaken = response.outcome == StoreOutcome::Ok
                         || (response.outcome == StoreOutcome::OutOfOrder && response.expectedSeq
                             && *response.expectedSeq == batch_->seq + 1);
    handlers_.onAnswer(*batch_, isTaken, response.outcome);
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

} // namespace sequoiagate
