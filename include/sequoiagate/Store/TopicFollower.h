#ifndef SEQUOIAGATE_STORE_TOPICFOLLOWER_H
#define SEQUOIAGATE_STORE_TOPICFOLLOWER_H

/// Follows a topic: first the newest row of each key, then each row as it is written. After
/// a gap (the store forgot, or a read went unanswered) it reads the newest rows again, so
/// that what was missed is made up.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Store/Store.h"

namespace sequoiagate {

struct FollowerSettings
{
    std::string topic;
    /// Held by the store for news. Short, since a connection that went silent shows only
    /// by the answer that doesn't come.
    Interval pollWait = std::chrono::milliseconds(900);
    /// Between an answer and the next read: rows that come in the meantime share a read.
    Interval pace{};
    /// After a refusal or an unanswered read.
    Interval backoff = std::chrono::milliseconds(150);
};

/// Single-threaded.
class TopicFollower
{
public:
    struct Handlers
    {
        /// Rows in their order. \p whole: they are the newest of all keys, and a key
        /// that isn't among them is no more.
        std::function<void(const std::vector<StoreRow> &rows, bool whole)> onRows;
        /// All rows before \p next have been handed over.
        std::function<void(uint64_t next)> onPosition;
        /// The store answers again (true), or no longer does (false).
        std::function<void(bool reachable, StoreOutcome outcome)> onReachable;
    };

    TopicFollower(boost::asio::io_context &io, Store &store, FollowerSettings settings,
                  Handlers handlers);

    void start();
    void stop();
    /// Reads at once, without the pause: something is waited for.
    void hurry();
    /// Changes the pace from the next answer on.
    void setPace(Interval pace) { settings_.pace = pace; }
    bool caughtUp() const { return caughtUp_; }
    bool reachable() const { return reachable_; }
    /// Whether all rows that the store had by its last answer have been handed over.
    bool current() const { return current_; }
    /// When the last read that was answered had been sent, for a snapshot its first page.
    Instant lastReadSentAt() const { return answeredSentAt_; }
    /// The clock since boot at that time.
    Millis lastReadSentSinceBoot() const { return answeredSentSinceBoot_; }
    /// When the store last answered a read.
    Instant lastAnswerAt() const { return lastAnswerAt_; }
    uint64_t position() const { return position_; }

private:
    enum class Step {
        Snapshot,
        Tail,
    };

    void next(Interval after);
    void run();
    void onSnapshot(SnapshotAnswer answer);
    /// \p end is that of the last page.
    void finishSnapshot(uint64_t end);
    void onTail(TailAnswer answer);
    void onFailure(StoreOutcome outcome);
    void noteAnswer();

    Store &store_;
    FollowerSettings settings_;
    Handlers handlers_;
    boost::asio::steady_timer timer_;
    Step step_ = Step::Snapshot;
    std::vector<StoreRow> snapshot_;
    uint64_t snapshotEnd_ = 0;
    bool firstPage_ = true;
    uint64_t position_ = 0;
    bool caughtUp_ = false;
    bool current_ = false;
    bool reachable_ = false;
    bool told_ = false; ///< onReachable was called at all
    bool reading_ = false;
    bool stopped_ = false;
    bool unanswered_ = false; ///< the last read got no answer
    Instant lastAnswerAt_{};
    Instant sentAt_{};
    Millis sentSinceBoot_{};
    Instant answeredSentAt_{};
    Millis answeredSentSinceBoot_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiagate

#endif
