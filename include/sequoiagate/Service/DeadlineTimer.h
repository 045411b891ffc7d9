#ifndef SEQUOIAGATE_SERVICE_DEADLINETIMER_H
#define SEQUOIAGATE_SERVICE_DEADLINETIMER_H

/// A timer whose handler isn't called any more once it was disarmed or armed anew.
///
/// Cancelling a timer of Boost.Asio doesn't reach a handler that is already queued: it runs as if
/// the time were over, behind whatever happened in the same round of the event loop.

#include <cstdint>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Single-threaded: all calls from the io_context's thread.
class DeadlineTimer
{
public:
    explicit DeadlineTimer(boost::asio::io_context &io) : timer_(io) {}
    explicit DeadlineTimer(const boost::asio::any_io_executor &executor) : timer_(executor) {}
    ~DeadlineTimer() { disarm(); }
    DeadlineTimer(const DeadlineTimer &) = delete;
    DeadlineTimer &operator=(const DeadlineTimer &) = delete;

    /// Calls \p handler at \p deadline, in place of what it was armed for before.
    template <typename Handler>
    void arm(Instant deadline, Handler handler)
    {
        const uint64_t arming = ++*newest_;
        timer_.expires_at(deadline);
        timer_.async_wait([arming, newest = newest_, handler = std::move(handler)](
                                  const boost::system::error_code &error) mutable {
            if (!error && arming == *newest) {
                handler();
            }
        });
    }

    void disarm()
    {
        ++*newest_;
        timer_.cancel();
    }

private:
    boost::asio::steady_timer timer_;
    /// Of the armings; handlers of earlier ones may still be queued when the timer is gone.
    std::shared_ptr<uint64_t> newest_ = std::make_shared<uint64_t>(0);
};

} // namespace sequoiagate

#endif
