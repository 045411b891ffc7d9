#include "sequoiagate/Store/TopicFollower.h"

#include <algorithm>

#include "sequoiagate/Base/BootClock.h"

namespace sequoiagate {

TopicFollower::TopicFollower(boost::asio::io_context &io, Store &store, FollowerSettings settings,
                             Handlers handlers)
    : store_(store), settings_(std::move(settings)), handlers_(std::move(handlers)), timer_(io)
{}

void TopicFollower::start()
{
    next(Interval::zero());
}

void TopicFollower::stop()
{
    stopped_ = true;
    *alive_ = false;
    timer_.cancel();
}

void TopicFollower::hurry()
{
    if (!reading_ && !stopped_ && caughtUp_ && !unanswered_) {
        next(Interval::zero());
    }
}

void TopicFollower::next(Interval after)
{
    timer_.expires_after(after);
    timer_.async_wait([this, alive = alive_](const boost::system::error_code &error) {
        if (!error && *alive) {
            run();
        }
    });
}

void TopicFollower::run()
{
    if (reading_) {
        return;
    }
    reading_ = true;
    if (step_ == Step::Tail || firstPage_) {
        sentAt_ = std::chrono::steady_clock::now();
        sentSinceBoot_ = sinceBoot();
    }
    if (step_ == Step::Snapshot) {
        if (firstPage_) {
            snapshot_.clear();
        }
        const std::string after = firstPage_ ? std::string() : snapshot_.back().key;
        store_.snapshot(settings_.topic, after, [this, alive = alive_](SnapshotAnswer answer) {
            if (*alive) {
                onSnapshot(std::move(answer));
            }
        });
        return;
    }
    store_.tail(settings_.topic, position_, settings_.pollWait,
                [this, alive = alive_](TailAnswer answer) {
                    if (*alive) {
                        onTail(std::move(answer));
                    }
                });
}

void TopicFollower::noteAnswer()
{
    lastAnswerAt_ = std::chrono::steady_clock::now();
    answeredSentAt_ = sentAt_;
    answeredSentSinceBoot_ = sentSinceBoot_;
    unanswered_ = false;
    if (!reachable_ || !told_) {
        reachable_ = true;
        told_ = true;
        handlers_.onReachable(true, StoreOutcome::Ok);
    }
}

void TopicFollower::onFailure(StoreOutcome outcome)
{
    current_ = false;
    if (reachable_ || !told_) {
        reachable_ = false;
        told_ = true;
        handlers_.onReachable(false, outcome);
    }
    // The next read goes on where the last good one ended, so nothing that came meanwhile is
    // missed; what was forgotten meanwhile is told as gone. Reading the newest rows instead
    // cost a host with a tenth of a core 110 KB a try, none of which ended in time.
    unanswered_ = outcome != StoreOutcome::Refused;
    firstPage_ = step_ == Step::Snapshot || firstPage_;
    next(settings_.backoff);
}

void TopicFollower::onSnapshot(SnapshotAnswer answer)
{
    reading_ = false;
    if (answer.outcome != StoreOutcome::Ok) {
        onFailure(answer.outcome);
        return;
    }
    noteAnswer();
    if (firstPage_) {
        snapshotEnd_ = answer.end;
    }
    const bool empty = answer.rows.empty();
    std::move(answer.rows.begin(), answer.rows.end(), std::back_inserter(snapshot_));
    firstPage_ = false;
    if (answer.more && !empty) {
        run();
        return;
    }
    finishSnapshot(answer.end);
}

void TopicFollower::finishSnapshot(uint64_t end)
{
    const std::vector<StoreRow> rows = std::move(snapshot_);
    snapshot_.clear();
    firstPage_ = true;
    step_ = Step::Tail;
    // A page older than what has been read would take back newer rows, and with them a
    // configuration that is in force. The tail says whether anything was missed.
    if (caughtUp_ && snapshotEnd_ < position_) {
        next(settings_.backoff);
        return;
    }
    // The pages aren't of one moment: a row of a late page may stand behind the first
    // page's end. The tail from that end on brings whatever the pages missed, and a row
    // that comes twice does no harm.
    current_ = false;
    handlers_.onRows(rows, true);
    position_ = snapshotEnd_;
    caughtUp_ = true;
    current_ = position_ >= end;
    handlers_.onPosition(position_);
    next(Interval::zero());
}

void TopicFollower::onTail(TailAnswer answer)
{
    reading_ = false;
    if (answer.outcome == StoreOutcome::Gone) {
        noteAnswer();
        current_ = false;
        step_ = Step::Snapshot;
        firstPage_ = true;
        next(Interval::zero());
        return;
    }
    if (answer.outcome != StoreOutcome::Ok) {
        onFailure(answer.outcome);
        return;
    }
    noteAnswer();
    // Rows whose handler throws are read again, and until then the reader isn't current.
    current_ = false;
    if (!answer.rows.empty()) {
        handlers_.onRows(answer.rows, false);
    }
    position_ = std::max(position_, answer.next);
    current_ = position_ >= answer.end;
    handlers_.onPosition(position_);
    next(answer.rows.empty() || !current_ ? Interval::zero() : settings_.pace);
}

} // namespace sequoiagate
