#ifndef SEQUOIAGATE_LIB_EDGE_ROWAPPENDER_H
#define SEQUOIAGATE_LIB_EDGE_ROWAPPENDER_H

/// Appends rows to a topic, one batch at a time, each again and again until the store has it.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "sequoiagate/Service/DeadlineTimer.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Store/Store.h"

namespace sequoiagate {

/// Single-threaded.
class RowAppender
{
public:
    /// After a write that failed.
    static constexpr Interval RetryDelay = std::chrono::milliseconds(500);

    struct Handlers
    {
        /// The rows of the next batch; empty if nothing is to be written.
        std::function<std::vector<StoreRow>()> compose;
        /// The store has taken the batch, or hasn't and will be sent it again.
        std::function<void(const StoreBatch &batch, bool isTaken, StoreOutcome outcome)> onAnswer;
    };

    /// \param writer names this process's batches of these rows and no others
    /// \pre \p io and \p store outlive it
    RowAppender(boost::asio::io_context &io, Store &store, std::string topic, std::string writer,
                Handlers handlers);

    /// Writes what is to be written, now or once the batch being written is in the store.
    void write();

private:
    void append();
    void onAppended(const AppendAnswer &response);

    Store &store_;
    std::string topic_;
    std::string writer_;
    Handlers handlers_;
    std::optional<StoreBatch> batch_; ///< the batch being written
    uint64_t nextSeq_ = 0;
    DeadlineTimer retryTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiagate

#endif
